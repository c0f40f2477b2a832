package kwdiscovery

import (
	"slices"

	"knapweedproxy/core/kwraft"
)

// Record is what a process knows of the replicated log; the zero Record knows nothing.
type Record struct {
	// Position is that of the membership in the log.
	Position kwraft.Position `cbor:"1,keyasint"`
	// Members are the addresses of the voters and the learners.
	Members []string `cbor:"2,keyasint,omitempty"`
	// Leader is the address of the leader of Term, "" if it is unknown.
	Term   kwraft.Term `cbor:"3,keyasint,omitempty"`
	Leader string      `cbor:"4,keyasint,omitempty"`
}

// merge returns what two records together know: the members of the later membership, and the leader of the newer term.
func (r Record) merge(o Record) Record {
	if len(o.Members) > 0 && (len(r.Members) == 0 || o.Position.After(r.Position)) {
		r.Position, r.Members = o.Position, o.Members
	}
	if o.Term > r.Term || o.Term == r.Term && o.Leader != "" {
		r.Term, r.Leader = o.Term, o.Leader
	}
	return r
}

// equal reports whether two records hold the same.
func (r Record) equal(o Record) bool {
	return r.Position == o.Position && r.Term == o.Term && r.Leader == o.Leader && slices.Equal(r.Members, o.Members)
}
