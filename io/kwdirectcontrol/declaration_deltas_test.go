package kwdirectcontrol

import (
	"bytes"
	"fmt"
	"testing"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/io/kwdirectproto"
)

// TestDeclarationDeltas sends one declaration after the other to entries that are one, two and many behind. The first two get
// small deltas that give the declaration, the last and those with an unknown declaration the whole.
func TestDeclarationDeltas(t *testing.T) {
	const versions = 10
	content := func(n int) []byte {
		var b bytes.Buffer
		for i := range 1000 {
			_, _ = fmt.Fprintf(&b, `{"route":%d,"host":"h%d.example","timeout":%d}`, i, i*i, 1000+n/(1+i))
		}
		return b.Bytes()
	}
	var d declarationDeltas
	for n := 1; n <= versions; n++ {
		compressed, err := kwdirectproto.Compress(content(n))
		if err != nil {
			t.Fatal(err)
		}
		to := &kwdirectproto.CompressedDeclaration{Number: kwdeclaration.Number(n), Content: compressed}
		for _, behind := range []int{1, 2, maxKnownDeclarations, 100} {
			from := n - behind
			got, err := d.between(kwdeclaration.Number(from), to)
			if err != nil {
				t.Fatal(err)
			}
			if known := from >= 1 && behind < maxKnownDeclarations; (got != nil) != known {
				t.Fatalf("declaration %d for an entry with %d: got a delta %t, want %t", n, from, got != nil, known)
			}
			if got == nil {
				continue
			}
			applied, err := kwdirectproto.ApplyDelta(content(from), got.Delta)
			if err != nil || !bytes.Equal(applied, content(n)) || got.From != kwdeclaration.Number(from) || got.Number != to.Number {
				t.Errorf("delta from %d to %d: got %d bytes, %v, want the declaration", from, n, len(applied), err)
			}
			if len(got.Delta)*10 > len(compressed) {
				t.Errorf("delta from %d to %d: got %d bytes, want a tenth of the whole, %d, at most", from, n, len(got.Delta), len(compressed))
			}
		}
	}
	// An entry may have a declaration from a leader that knew a newer one than this process has sent.
	old, err := kwdirectproto.Compress(content(1))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := d.between(versions, &kwdirectproto.CompressedDeclaration{Number: 1, Content: old}); got != nil || err != nil {
		t.Errorf("a declaration older than those sent: got %+v, %v, want no delta", got, err)
	}
}
