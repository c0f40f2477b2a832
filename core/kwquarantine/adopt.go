package kwquarantine

import (
	"time"
)

// Adopt takes over the quarantines that an entry holds from an earlier leader; of several terms the one that ends last counts. A
// quarantine that this Registry has lifted is not taken over again.
func (r *Registry) Adopt(now time.Time, quarantined []Quarantine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	for _, adopted := range quarantined {
		if _, ok := r.lifted[adopted.Part]; ok {
			continue
		}
		remaining := min(max(adopted.Remaining, 0), r.cfg.MaxTerm)
		until := now.Add(remaining)
		q, ok := r.quarantined[adopted.Part]
		if !ok {
			r.hold(adopted.Part, &quarantineState{term: max(remaining, r.cfg.FirstTerm), until: until})
			continue
		}
		if q.trialAt.IsZero() && until.After(q.until) {
			q.until, q.term = until, max(q.term, remaining)
			r.changed = true
		}
	}
}
