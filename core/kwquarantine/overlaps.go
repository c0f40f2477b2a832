package kwquarantine

import "math/bits"

// overlaps finds requests that were on the same crashes, for one decision.
type overlaps struct {
	r *Registry
	// on holds the requests on each crash that are on two at least.
	on map[*crashState][]*overlap
	of map[*requestState]*overlap
}

// overlap is a request with its crashes as a set of bits.
type overlap struct {
	state   *requestState
	crashes []uint64
	// by is the request that was last found to contest this one; searched is set after a search.
	by       *overlap
	searched bool
}

// index fills the overlaps with the requests that are not held.
func (o *overlaps) index() {
	o.on, o.of = make(map[*crashState][]*overlap), make(map[*requestState]*overlap)
	bit := make(map[*crashState]int, len(o.r.crashes))
	for i, c := range o.r.crashes {
		bit[c] = i
	}
	words := (len(o.r.crashes) + 63) / 64
	for _, q := range o.r.requests {
		if len(q.crashes) < 2 {
			continue
		}
		entry := &overlap{state: q, crashes: make([]uint64, words)}
		for _, c := range q.crashes {
			entry.crashes[bit[c.crash]/64] |= 1 << (bit[c.crash] % 64)
			o.on[c.crash] = append(o.on[c.crash], entry)
		}
		o.of[q] = entry
	}
}

// contested reports whether another request that is not held was on all crashes of one, or on all but one.
func (o *overlaps) contested(q *requestState) bool {
	if len(q.crashes) < 2 {
		return false
	}
	if o.of == nil {
		o.index()
	}
	entry := o.of[q]
	if entry == nil {
		return false
	}
	if entry.searched && (entry.by == nil || entry.by.state.held == nil) {
		return entry.by != nil
	}
	entry.searched, entry.by = true, nil
	// One that misses a crash at most is on the first or on the second.
	for _, c := range q.crashes[:2] {
		for _, other := range o.on[c.crash] {
			if other != entry && other.state.held == nil && missed(entry.crashes, other.crashes) <= 1 {
				entry.by = other
				return true
			}
		}
	}
	return false
}

// missed returns the number of bits that are in the first set and not in the second.
func missed(a, b []uint64) int {
	n := 0
	for i := range a {
		n += bits.OnesCount64(a[i] &^ b[i])
	}
	return n
}
