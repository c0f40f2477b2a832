package kwquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Quarantine is a part that is kept from model servers; a trial of it is due when Remaining is 0.
type Quarantine struct {
	Part      kwid.PromptPartID `cbor:"1,keyasint"`
	Remaining time.Duration     `cbor:"2,keyasint,omitempty"`
}

type quarantineState struct {
	term time.Duration
	// until is when the term ends.
	until time.Time
	// trialAt is the start of the last trial in this term, if any.
	trialAt time.Time
}

// trialDueAt returns when the next trial may start.
func (q *quarantineState) trialDueAt(cfg Config) time.Time {
	if q.trialAt.IsZero() {
		return q.until
	}
	return q.trialAt.Add(cfg.TrialTimeout)
}

// liftedState is a quarantine that a sound trial has lifted.
type liftedState struct {
	term     time.Duration
	liftedAt time.Time
}

// Quarantined returns the quarantined parts, sorted.
func (r *Registry) Quarantined(now time.Time) []Quarantine {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	quarantined := make([]Quarantine, 0, len(r.quarantined))
	for part, q := range r.quarantined {
		quarantined = append(quarantined, Quarantine{Part: part, Remaining: max(q.trialDueAt(r.cfg).Sub(now), 0)})
	}
	slices.SortFunc(quarantined, compareQuarantines)
	return quarantined
}

func compareQuarantines(a, b Quarantine) int { return cmp.Compare(a.Part, b.Part) }

// quarantine begins the quarantine of a part; the term is doubled if an earlier quarantine was lifted shortly before.
func (r *Registry) quarantine(now time.Time, part kwid.PromptPartID) {
	term := r.cfg.FirstTerm
	firstCrash := r.parts[part].crashes[0].crash.recordedAt
	if l, ok := r.lifted[part]; ok && firstCrash.Sub(l.liftedAt) <= r.cfg.Memory {
		term = min(2*l.term, r.cfg.MaxTerm)
	}
	r.hold(part, &quarantineState{term: term, until: now.Add(term)})
}

// hold adds a quarantine, which explains the crashes under the part.
func (r *Registry) hold(part kwid.PromptPartID, q *quarantineState) {
	if len(r.quarantined) >= maxQuarantined {
		first := slices.MinFunc(slices.Collect(maps.Keys(r.quarantined)), func(a, b kwid.PromptPartID) int {
			return cmp.Or(r.quarantined[a].until.Compare(r.quarantined[b].until), cmp.Compare(a, b))
		})
		delete(r.quarantined, first)
	}
	delete(r.parts, part)
	for _, crash := range r.crashes {
		if _, ok := crash.parts[part]; ok && !crash.explained {
			crash.explained = true
			r.removeFromRequests(crash)
		}
	}
	r.removeFromParts(func(c partCrash) bool { return c.crash.explained })
	r.quarantined[part] = q
	delete(r.lifted, part)
	r.suspectsValid, r.changed = false, true
}

// lift ends the quarantine of a part that was served soundly in a trial.
func (r *Registry) lift(now time.Time, part kwid.PromptPartID, soundAt time.Time) {
	if len(r.lifted) >= maxQuarantined {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.lifted)), func(a, b kwid.PromptPartID) int {
			return cmp.Or(r.lifted[a].liftedAt.Compare(r.lifted[b].liftedAt), cmp.Compare(a, b))
		})
		delete(r.lifted, oldest)
	}
	r.lifted[part] = liftedState{term: r.quarantined[part].term, liftedAt: now}
	delete(r.quarantined, part)
	r.makeRoom()
	r.parts[part] = &partState{soundAt: soundAt}
	r.suspectsValid, r.changed = false, true
}

// StartTrial reports whether the caller may send one request with a quarantined part now: once the term is over, and again when a
// trial had no result within TrialTimeout.
func (r *Registry) StartTrial(now time.Time, part kwid.PromptPartID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	q, ok := r.quarantined[part]
	if !ok || now.Before(q.trialDueAt(r.cfg)) {
		return false
	}
	q.trialAt = now
	r.changed = true
	return true
}
