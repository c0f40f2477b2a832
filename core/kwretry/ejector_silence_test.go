package kwretry

import (
	"testing"
	"time"
)

// TestEjectionForSilence checks which ejected endpoints may still be used where there is no other.
func TestEjectionForSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name            string
		fail            func(e *Ejector)
		ejected, silent bool
	}{
		{"sound", func(*Ejector) {}, false, false},
		{"silent", func(e *Ejector) { e.FailSilent(now, "m") }, true, true},
		{"failed", func(e *Ejector) { e.Fail(now, "m") }, true, false},
		{"silent, then failed", func(e *Ejector) { e.FailSilent(now, "m"); e.Fail(now, "m") }, true, false},
		{"failed, then silent", func(e *Ejector) { e.Fail(now, "m"); e.FailSilent(now, "m") }, true, false},
		{"silent, then without room", func(e *Ejector) { e.FailSilent(now, "m"); e.RecordRefusal(now, "m") }, true, false},
		{"silent, then answers", func(e *Ejector) { e.FailSilent(now, "m"); e.RecordSuccess("m") }, false, false},
	}
	for _, c := range cases {
		e := NewEjector(DefaultEjectorConfig())
		e.SetEndpointCount(2)
		c.fail(e)
		at := now.Add(100 * time.Millisecond)
		if got := e.Ejected(at, "m"); got != c.ejected {
			t.Errorf("%s: got ejected %t, want %t", c.name, got, c.ejected)
		}
		if got := e.Silent(at, "m"); got != c.silent {
			t.Errorf("%s: got silent %t, want %t", c.name, got, c.silent)
		}
		if at = now.Add(DefaultEjectorConfig().BaseEjection); e.Ejected(at, "m") || e.Silent(at, "m") {
			t.Errorf("%s: got the endpoint out of use after the ejection, want it in use", c.name)
		}
	}
}
