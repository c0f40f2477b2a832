package kwquarantine

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Sound says how long ago a request with the part was served soundly.
type Sound struct {
	Part kwid.PromptPartID `cbor:"1,keyasint"`
	Age  time.Duration     `cbor:"2,keyasint,omitempty"`
}

// servedReport is a report of a sound request.
type servedReport struct {
	servedAt, reportedAt time.Time
}

// RecordSound records requests that were served soundly: crashes before them no longer count against their parts, and one that is
// dated after the start of a trial lifts the quarantine. Of several parts in quarantine together, one that is served after its
// begin is cleared. Sound requests of parts without recorded crashes are ignored.
func (r *Registry) RecordSound(now time.Time, sounds []Sound) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	var latest time.Time
	for _, s := range sounds {
		if s.Age >= r.cfg.Memory {
			continue
		}
		at := now.Add(-max(s.Age, 0))
		if at.After(latest) {
			latest = at
		}
		if q := r.quarantineWith(s.Part); q != nil {
			switch {
			case len(q.with) > 0 && at.After(q.heldAt):
				r.clearFrom(q, s.Part, at)
			case len(q.with) == 0 && !q.trialAt.IsZero() && at.After(q.trialAt):
				r.lift(now, s.Part, at)
			}
			continue
		}
		p, ok := r.parts[s.Part]
		if !ok || !at.After(p.soundAt) {
			continue
		}
		p.soundAt = at
		before := len(p.crashes)
		p.crashes = slices.DeleteFunc(p.crashes, func(c partCrash) bool { return !c.crash.recordedAt.After(at) })
		if len(p.crashes) != before {
			r.suspectsValid = false
		}
	}
	r.recordServed(now, latest)
}

// RecordServed records how long ago an entry last served a request soundly, whatever its parts. It answers outages: while nothing
// is served, no sound request tells the parts that all requests share from one that crashes servers.
func (r *Registry) RecordServed(now time.Time, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	r.recordServed(now, now.Add(-max(age, 0)))
}

// recordServed notes a sound request with each part whose decisive crash came before it.
func (r *Registry) recordServed(now, at time.Time) {
	if !at.After(r.servedAt) {
		return
	}
	r.servedAt = at
	for _, p := range r.parts {
		if i, ok := r.decisiveCrash(p); ok && !p.crashes[i].precedes(p.served.servedAt) && p.crashes[i].precedes(at) {
			p.served = servedReport{servedAt: at, reportedAt: now}
			r.newEvidence = true
		}
	}
}

// precedes reports whether a crash came before a sound request of a date.
func (c partCrash) precedes(servedAt time.Time) bool {
	return servedAt.Sub(c.recordedAt) >= evidenceDelay
}
