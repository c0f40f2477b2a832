package kwdelta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const limit = 1 << 20

// declaration returns a declaration with n routes; changed is the number of the one that differs from the others of its kind.
func declaration(n, changed int) []byte {
	var routes []string
	for i := range n {
		timeout := 20_000
		if i == changed {
			timeout = 15_000
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","path_prefix":"/p%d/","timeout_ms":%d}`, i, i%7, i, timeout))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"limits":{"max_body_bytes":4194304}}`, changed, strings.Join(routes, ","))
}

func TestDeltaOfOneChange(t *testing.T) {
	before, after := declaration(1200, 3), declaration(1200, 900)
	delta := Encode(before, after)
	got, err := delta.Apply(before, limit)
	if err != nil || !bytes.Equal(got, after) {
		t.Fatalf("got %d bytes, %v, want the %d bytes of the new declaration", len(got), err, len(after))
	}
	if got, want := len(delta), 1000; got > want {
		t.Errorf("size of the delta: got %d bytes for declarations of %d, want %d at most", got, len(after), want)
	}
}

func TestDeltaCases(t *testing.T) {
	long := bytes.Repeat([]byte("abc"), 5000)
	cases := []struct {
		name          string
		before, after []byte
	}{
		{"equal", declaration(3, 1), declaration(3, 1)},
		{"from nothing", nil, declaration(3, 1)},
		{"to nothing", declaration(3, 1), nil},
		{"routes added", declaration(3, 1), declaration(40, 1)},
		{"routes removed", declaration(40, 1), declaration(3, 1)},
		{"text without objects", long, append([]byte("x"), long...)},
		{"repeated objects", []byte("{a}{a}{a}{b}"), []byte("{b}{a}{a}{b}{a}")},
	}
	for _, c := range cases {
		got, err := Encode(c.before, c.after).Apply(c.before, limit)
		if err != nil || !bytes.Equal(got, c.after) {
			t.Errorf("%s: got %q, %v, want %q", c.name, got, err, c.after)
		}
	}
}

// TestDeltaOfAnotherText checks that a delta is not applied to a text that it was not made from, and that its limit holds.
func TestDeltaOfAnotherText(t *testing.T) {
	before, after := declaration(50, 3), declaration(50, 9)
	delta := Encode(before, after)
	if got, err := delta.Apply(declaration(50, 4), limit); err == nil {
		t.Errorf("applied to another declaration: got %d bytes, want an error", len(got))
	}
	if got, err := delta.Apply(before, len(after)-1); err == nil {
		t.Errorf("beyond the limit: got %d bytes, want an error", len(got))
	}
	for n := range delta {
		if got, err := delta[:n].Apply(before, limit); err == nil {
			t.Errorf("cut to %d of %d bytes: got %d bytes, want an error", n, len(delta), len(got))
		}
	}
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte("{a}{b}"), []byte("{b}{c}"), []byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 0})
	f.Fuzz(func(t *testing.T, before, after, raw []byte) {
		got, err := Encode(before, after).Apply(before, limit)
		if len(after) <= limit && (err != nil || !bytes.Equal(got, after)) {
			t.Errorf("got %q, %v, want %q", got, err, after)
		}
		if got, err := Delta(raw).Apply(before, limit); err == nil && len(got) > limit {
			t.Errorf("got %d bytes, want %d at most", len(got), limit)
		}
	})
}
