package kwquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// HeldRequest is a request that is kept from servers; a trial of it is due when Remaining is 0.
type HeldRequest struct {
	Digest    kwid.RequestDigest `cbor:"1,keyasint"`
	Remaining time.Duration      `cbor:"2,keyasint,omitempty"`
	// Term is the whole term, which a failed trial doubles.
	Term time.Duration `cbor:"3,keyasint,omitempty"`
}

func compareHeldRequests(a, b HeldRequest) int { return compareDigests(a.Digest, b.Digest) }

// HeldRequests returns the held requests, sorted.
func (r *Registry) HeldRequests(now time.Time) []HeldRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	held := make([]HeldRequest, 0, len(r.heldRequests))
	for digest, q := range r.heldRequests {
		held = append(held, HeldRequest{Digest: digest, Remaining: max(q.held.trialDueAt(r.cfg).Sub(now), 0), Term: q.held.term})
	}
	slices.SortFunc(held, compareHeldRequests)
	return held
}

// StartRequestTrial reports whether the caller may send one held request with the digest now: once the term is over, and again when a
// trial had no result within TrialTimeout.
func (r *Registry) StartRequestTrial(now time.Time, digest kwid.RequestDigest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	q, ok := r.heldRequests[digest]
	if !ok || now.Before(q.held.trialDueAt(r.cfg)) {
		return false
	}
	q.held.trialAt = now
	r.changed = true
	return true
}

// holdRequest begins to hold a request; the term is doubled if it was released shortly before.
func (r *Registry) holdRequest(now time.Time, digest kwid.RequestDigest, o *overlaps) {
	term := r.cfg.FirstRequestTerm
	if l, ok := r.releasedRequests[digest]; ok && now.Sub(l.liftedAt) <= 2*r.cfg.Memory {
		term = min(max(2*l.term, term), r.cfg.MaxTerm)
	}
	r.addHeldRequest(now, digest, &quarantineState{term: term, until: now.Add(term)}, o)
}

// addHeldRequest holds a request, which explains the crashes under it.
func (r *Registry) addHeldRequest(now time.Time, digest kwid.RequestDigest, held *quarantineState, o *overlaps) {
	if len(r.heldRequests) >= maxHeldRequests {
		first := slices.MinFunc(slices.Collect(maps.Keys(r.heldRequests)), func(a, b kwid.RequestDigest) int {
			return cmp.Or(r.heldRequests[a].held.until.Compare(r.heldRequests[b].held.until), compareDigests(a, b))
		})
		r.removeHeldRequest(first)
	}
	q, ok := r.requests[digest]
	if !ok {
		q = &requestState{}
	}
	q.contested = o.contested(q)
	delete(r.requests, digest)
	q.held, q.heldAt = held, now
	q.forgetAdopted()
	r.heldRequests[digest] = q
	delete(r.releasedRequests, digest)
	for _, c := range q.crashes {
		r.explainByRequest(c.crash)
	}
	r.requestsValid, r.changed = false, true
}

// removeHeldRequest forgets a held request; its crashes count again against others.
func (r *Registry) removeHeldRequest(digest kwid.RequestDigest) {
	r.removeCrashes(digest, r.heldRequests[digest], func(*crashState) bool { return true })
	delete(r.heldRequests, digest)
	r.requestsValid, r.changed, r.newEvidence = false, true, true
}

// releaseRequest ends the hold of a request that had a sound run.
func (r *Registry) releaseRequest(now time.Time, digest kwid.RequestDigest, soundAt time.Time) {
	held := r.heldRequests[digest].held
	r.removeHeldRequest(digest)
	released := liftedState{liftedAt: now}
	if !held.trialAt.IsZero() {
		released.term = held.term
	}
	r.noteRelease(digest, released)
	r.makeRoomForRequest()
	r.requests[digest] = &requestState{soundAt: soundAt, answeredAt: soundAt}
}

// exonerate ends the hold of a request whose crashes another one explains; they count again.
func (r *Registry) exonerate(now time.Time, digest kwid.RequestDigest) {
	q := r.heldRequests[digest]
	delete(r.heldRequests, digest)
	q.held = nil
	for _, c := range q.crashes {
		c.crash.heldBy--
	}
	r.requests[digest] = q
	r.noteRelease(digest, liftedState{liftedAt: now})
	r.requestsValid, r.changed = false, true
}

// noteRelease remembers a release, so that no entry's view of an earlier leader undoes it.
func (r *Registry) noteRelease(digest kwid.RequestDigest, released liftedState) {
	if len(r.releasedRequests) >= maxHeldRequests {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.releasedRequests)), func(a, b kwid.RequestDigest) int {
			return cmp.Or(r.releasedRequests[a].liftedAt.Compare(r.releasedRequests[b].liftedAt), compareDigests(a, b))
		})
		delete(r.releasedRequests, oldest)
	}
	r.releasedRequests[digest] = released
}

// forgetHeldRequests forgets held requests that nobody asks for, and releases that are too old to matter.
func (r *Registry) forgetHeldRequests(now time.Time) {
	for digest, q := range r.heldRequests {
		idleSince := q.held.until
		if q.held.trialAt.After(idleSince) {
			idleSince = q.held.trialAt
		}
		if now.Sub(idleSince) > r.cfg.IdleExpiry {
			r.removeHeldRequest(digest)
		}
	}
	maps.DeleteFunc(r.releasedRequests, func(_ kwid.RequestDigest, l liftedState) bool { return now.Sub(l.liftedAt) > 2*r.cfg.Memory })
}

// heldRequest returns the hold of one request.
func (r *Registry) heldRequest(now time.Time, digest kwid.RequestDigest) (HeldRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	q, ok := r.heldRequests[digest]
	if !ok {
		return HeldRequest{}, false
	}
	return HeldRequest{Digest: digest, Remaining: max(q.held.trialDueAt(r.cfg).Sub(now), 0), Term: q.held.term}, true
}

// dropHeldRequest forgets the hold of a request.
func (r *Registry) dropHeldRequest(digest kwid.RequestDigest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heldRequests[digest] != nil {
		r.removeHeldRequest(digest)
	}
}
