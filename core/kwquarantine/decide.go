package kwquarantine

import "time"

// Decide quarantines the parts and holds the requests that qualify, and reports whether any quarantine or hold has begun, ended or
// changed its term since the last call. Requests go first: they take less time to settle, and what a held request explains counts
// against no part but its own.
//
// A part is one that crashes every server while its requests keep coming, and whose requests are caught together with sound ones
// that the same crashes end. An outage, in which nothing is served, is no evidence against any part.
func (r *Registry) Decide(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	if now.Before(r.handoverUntil) {
		r.evaluateBy(r.handoverUntil)
	} else if r.newEvidence || r.evaluateLater && !now.Before(r.evaluateAt) {
		candidates := r.decideRequests(now)
		for {
			c, ok := r.firstQualifying(now)
			if !ok {
				break
			}
			r.quarantine(now, c)
		}
		r.newEvidence, r.evaluateLater = false, false
		r.scheduleParts(now)
		r.scheduleRequests(now, candidates)
	}
	changed := r.changed
	r.changed = false
	return changed
}

// DecideAt returns when Decide may hold or quarantine something without further evidence, if ever.
func (r *Registry) DecideAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evaluateAt, r.evaluateLater
}

// evaluateBy makes Decide evaluate at a point in time, or earlier.
func (r *Registry) evaluateBy(at time.Time) {
	if !r.evaluateLater || at.Before(r.evaluateAt) {
		r.evaluateAt, r.evaluateLater = at, true
	}
}
