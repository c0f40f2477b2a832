package kwdirectcontrol

import (
	"slices"
	"sync"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdelta"
	"knapweedproxy/io/kwdirectproto"
)

// maxKnownDeclarations is how many declarations are kept to make deltas from. Entries are at most a few changes behind, and
// one that is further behind gets the whole declaration.
const maxKnownDeclarations = 4

// declarationDeltas makes deltas between the declarations that this process has sent, each only once for all entries. It is
// safe for concurrent use.
type declarationDeltas struct {
	mu sync.Mutex
	// known are the last declarations sent, the newest last.
	known []knownDeclaration
	// cached are the compressed deltas to the newest declaration, by the number of the old one.
	cached map[kwdeclaration.Number][]byte
}

type knownDeclaration struct {
	number  kwdeclaration.Number
	content []byte
}

// between returns the delta from the declaration of an entry to the one that is to be sent, or nil if the whole declaration is
// to be sent.
func (d *declarationDeltas) between(from kwdeclaration.Number, to *kwdirectproto.CompressedDeclaration) (*kwdirectproto.DeclarationDelta, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.add(to); err != nil {
		return nil, err
	}
	newest := d.known[len(d.known)-1]
	i := slices.IndexFunc(d.known, func(k knownDeclaration) bool { return k.number == from })
	if i < 0 || newest.number != to.Number {
		return nil, nil
	}
	delta, ok := d.cached[from]
	if !ok {
		var err error
		if delta, err = kwdirectproto.Compress(kwdelta.Encode(d.known[i].content, newest.content)); err != nil {
			return nil, err
		}
		d.cached[from] = delta
	}
	if len(delta) >= len(to.Content) {
		return nil, nil
	}
	return &kwdirectproto.DeclarationDelta{From: from, Number: to.Number, Delta: delta}, nil
}

// add keeps a declaration if it is newer than the known ones; the caller holds mu.
func (d *declarationDeltas) add(c *kwdirectproto.CompressedDeclaration) error {
	if len(d.known) > 0 && d.known[len(d.known)-1].number >= c.Number {
		return nil
	}
	content, err := kwdirectproto.Decompress(c.Content)
	if err != nil {
		return err
	}
	d.known = append(d.known, knownDeclaration{number: c.Number, content: content})
	if len(d.known) > maxKnownDeclarations {
		d.known = slices.Delete(d.known, 0, 1)
	}
	d.cached = make(map[kwdeclaration.Number][]byte)
	return nil
}
