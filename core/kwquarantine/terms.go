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
	// With are parts that a prompt has to have too, sorted, while it is not known which of them servers crash under. Entries of earlier
	// versions ignore it.
	With []kwid.PromptPartID `cbor:"3,keyasint,omitempty"`
}

// keeps reports whether a quarantine keeps a prompt with these parts from model servers.
func (q Quarantine) keeps(parts []kwid.PromptPartID) bool {
	return slices.Contains(parts, q.Part) && containsAll(parts, q.With)
}

func containsAll(parts, wanted []kwid.PromptPartID) bool {
	return !slices.ContainsFunc(wanted, func(part kwid.PromptPartID) bool { return !slices.Contains(parts, part) })
}

type quarantineState struct {
	// part and with are the parts of a quarantine of prompts; a held request has none. heldAt is when it began.
	part   kwid.PromptPartID
	with   []kwid.PromptPartID
	heldAt time.Time
	term   time.Duration
	// until is when the term ends.
	until time.Time
	// trialAt is the start of the last trial in this term, if any.
	trialAt time.Time
}

// has reports whether a part is one of the quarantine's.
func (q *quarantineState) has(part kwid.PromptPartID) bool {
	return part == q.part || slices.Contains(q.with, part)
}

// keeps reports whether the quarantine keeps a prompt with these parts from model servers.
func (q *quarantineState) keeps(parts []kwid.PromptPartID) bool {
	return Quarantine{Part: q.part, With: q.with}.keeps(parts)
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
		remaining := max(q.trialDueAt(r.cfg).Sub(now), 0)
		quarantined = append(quarantined, Quarantine{Part: part, Remaining: remaining, With: slices.Clone(q.with)})
	}
	slices.SortFunc(quarantined, compareQuarantines)
	return quarantined
}

func compareQuarantines(a, b Quarantine) int { return cmp.Compare(a.Part, b.Part) }

// quarantine begins the quarantine of a part together with those that were in the same requests of all its crashes; the term is doubled
// if an earlier quarantine was lifted shortly before. One with more parts that the part was in is replaced, and its term goes on.
func (r *Registry) quarantine(now time.Time, c candidate) {
	q := &quarantineState{part: c.part, with: c.with, heldAt: now, term: r.cfg.FirstTerm}
	firstCrash := c.state.crashes[0].crash.recordedAt
	if l, ok := r.lifted[c.part]; ok && firstCrash.Sub(l.liftedAt) <= r.cfg.Memory {
		q.term = min(2*l.term, r.cfg.MaxTerm)
	}
	q.until = now.Add(q.term)
	for part, old := range r.quarantined {
		if !old.has(c.part) {
			continue
		}
		delete(r.quarantined, part)
		q.term, q.until = max(q.term, old.term), later(q.until, old.until)
		for _, crash := range r.crashes {
			if crash.explainedBy == old {
				crash.explainedBy = q
			}
		}
	}
	// Those without a remembered prompt are explained too, so that no crash is decided on twice.
	for _, own := range c.state.crashes {
		if !own.crash.explained {
			r.removeFromRequests(own.crash)
		}
		own.crash.explained, own.crash.explainedBy = true, q
	}
	r.hold(q)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hold adds a quarantine, which explains the crashes under its parts.
func (r *Registry) hold(q *quarantineState) {
	if len(r.quarantined) >= maxQuarantined {
		first := slices.MinFunc(slices.Collect(maps.Keys(r.quarantined)), func(a, b kwid.PromptPartID) int {
			return cmp.Or(r.quarantined[a].until.Compare(r.quarantined[b].until), cmp.Compare(a, b))
		})
		delete(r.quarantined, first)
	}
	for _, crash := range r.crashes {
		if !crash.explained && slices.ContainsFunc(crash.prompts, q.keeps) {
			crash.explained, crash.explainedBy = true, q
			r.removeFromRequests(crash)
		}
	}
	r.removeExplained()
	r.quarantined[q.part] = q
	delete(r.lifted, q.part)
	r.suspectsValid, r.changed = false, true
}

// removeExplained stops explained crashes from counting against all parts but those of the quarantine that explains them.
func (r *Registry) removeExplained() {
	for part, p := range r.parts {
		p.crashes = slices.DeleteFunc(p.crashes, func(c partCrash) bool { return c.crash.explained && !c.crash.explainedWith(part) })
	}
	r.suspectsValid = false
}

// quarantineWith returns the quarantine that a part belongs to, alone or with others, or nil.
func (r *Registry) quarantineWith(part kwid.PromptPartID) *quarantineState {
	if q, ok := r.quarantined[part]; ok {
		return q
	}
	for _, q := range r.quarantined {
		if slices.Contains(q.with, part) {
			return q
		}
	}
	return nil
}

// clearFrom takes a part that was served soundly out of a quarantine of several parts: servers crash under one of the others.
func (r *Registry) clearFrom(q *quarantineState, part kwid.PromptPartID, soundAt time.Time) {
	delete(r.quarantined, q.part)
	if part == q.part {
		q.part, q.with = q.with[0], slices.Clone(q.with[1:])
	} else {
		q.with = slices.DeleteFunc(slices.Clone(q.with), func(other kwid.PromptPartID) bool { return other == part })
	}
	r.quarantined[q.part] = q
	delete(r.parts, part)
	r.makeRoom()
	r.parts[part] = &partState{soundAt: soundAt}
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
	delete(r.parts, part)
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
