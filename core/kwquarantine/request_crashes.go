package kwquarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// SuspectRequest is a request under which processes have crashed since its last sound run.
type SuspectRequest struct {
	Digest  kwid.RequestDigest `cbor:"1,keyasint"`
	Crashes int                `cbor:"2,keyasint"`
	// Processes are some of those that crashed, at most maxSuspectProcesses; earlier versions name none.
	Processes []kwmembership.Process `cbor:"3,keyasint,omitempty"`
}

// SoundRequest says how long ago a request was answered by a server that outlived the answer.
type SoundRequest struct {
	Digest kwid.RequestDigest `cbor:"1,keyasint"`
	Age    time.Duration      `cbor:"2,keyasint,omitempty"`
	// Unconfirmed is set while the server may still crash under the answer.
	Unconfirmed bool `cbor:"3,keyasint,omitempty"`
}

// requestCrash is a crash under a request.
type requestCrash struct {
	crash *crashState
	// recordedAt is when the first evidence with the request was recorded.
	recordedAt time.Time
}

// requestState holds the crashes under a request since its last sound run, without those that a quarantined part explains.
type requestState struct {
	crashes []requestCrash
	soundAt time.Time
	// answeredAt is the last answer, sound or not yet confirmed.
	answeredAt time.Time
	// adopted is the number of crashes that an earlier leader counted and this one has no report of; it was taken over at adoptedAt.
	// adoptedFrom are the processes of them that are known.
	adopted     int
	adoptedFrom []kwmembership.Process
	adoptedAt   time.Time
	// held is nil unless the request is held, since heldAt.
	held   *quarantineState
	heldAt time.Time
	// contested is set if another one may have caused the crashes.
	contested bool
}

// unexplainedSince returns when the first crash under a request that is not under a held one too was recorded.
func (q *requestState) unexplainedSince() (time.Time, bool) {
	for _, c := range q.crashes {
		if c.crash.heldBy == 0 {
			return c.recordedAt, true
		}
	}
	return time.Time{}, false
}

// count returns the number of unexplained crashes with those of an earlier leader.
func (q *requestState) count() int {
	n := q.adopted
	for _, c := range q.crashes {
		if c.crash.heldBy == 0 {
			n++
		}
	}
	return n
}

// processes returns the processes of the unexplained crashes, the latest first, at most maxSuspectProcesses.
func (q *requestState) processes() []kwmembership.Process {
	var processes []kwmembership.Process
	for _, c := range slices.Backward(q.crashes) {
		if c.crash.heldBy == 0 && len(processes) < maxSuspectProcesses {
			processes = append(processes, c.crash.id)
		}
	}
	return append(processes, q.adoptedFrom[:min(len(q.adoptedFrom), maxSuspectProcesses-len(processes))]...)
}

// lastAt returns when the latest crash under a request was recorded.
func (q *requestState) lastAt() time.Time {
	if n := len(q.crashes); n > 0 {
		return q.crashes[n-1].recordedAt
	}
	return q.adoptedAt
}

// on reports whether a crash is one of those under a request.
func (q *requestState) on(crash *crashState) bool {
	return slices.ContainsFunc(q.crashes, func(c requestCrash) bool { return c.crash == crash })
}

// request returns the state of a request, held or not, or nil.
func (r *Registry) request(digest kwid.RequestDigest) *requestState {
	if q, ok := r.heldRequests[digest]; ok {
		return q
	}
	return r.requests[digest]
}

// repeatingRequests returns the requests that crash servers by themselves, as far as is known.
func (r *Registry) repeatingRequests() []kwid.RequestDigest {
	digests := slices.Collect(maps.Keys(r.heldRequests))
	for digest, q := range r.requests {
		if len(q.crashes) >= r.cfg.MinCrashes {
			digests = append(digests, digest)
		}
	}
	return digests
}

// suspectRequest counts a crash that was first reported at a time against a request, unless that had a sound run after it.
func (r *Registry) suspectRequest(at time.Time, digest kwid.RequestDigest, crash *crashState, answered bool) {
	q := r.request(digest)
	if len(crash.digests) >= maxDigests(q, answered) {
		return
	}
	if q == nil {
		r.makeRoomForRequest()
		q = &requestState{}
		r.requests[digest] = q
	}
	if !crash.recordedAt.After(q.soundAt) || q.on(crash) {
		return
	}
	q.replaceAdopted(crash.id)
	c := requestCrash{crash: crash, recordedAt: at}
	q.crashes = insertByTime(q.crashes, c, func(c requestCrash) time.Time { return c.recordedAt })
	crash.digests[digest] = struct{}{}
	// The answer may be the one that the server did not outlive.
	q.answeredAt = q.soundAt
	r.requestCrashes++
	r.newEvidence, r.requestsValid = true, false
	if q.held == nil {
		return
	}
	r.explainByRequest(crash)
	if h := q.held; !h.trialAt.IsZero() && !crash.recordedAt.Before(h.trialAt) {
		h.term = min(2*h.term, r.cfg.MaxTerm)
		h.until, h.trialAt = at.Add(h.term), time.Time{}
		r.changed = true
	}
}

// maxDigests returns the number of requests of a crash from which on a request is not counted with them.
func maxDigests(q *requestState, answered bool) int {
	switch {
	case q != nil && q.held != nil:
		return math.MaxInt
	case q != nil && len(q.crashes)+q.adopted > 0:
		return 2 * maxDigestsPerCrash
	case answered:
		return maxDigestsPerCrash / 2
	}
	return maxDigestsPerCrash
}

// explainByRequest notes that a held request was on a crash, which counts no longer against parts that only others had.
func (r *Registry) explainByRequest(crash *crashState) {
	crash.heldBy++
	r.requestsValid = false
	if crash.heldBy > 1 {
		return
	}
	r.removeFromParts(func(c partCrash) bool {
		return c.crash == crash && !slices.ContainsFunc(c.digests, func(d kwid.RequestDigest) bool { return r.heldRequests[d] != nil })
	})
}

// removeFromRequests removes a crash from all requests.
func (r *Registry) removeFromRequests(crash *crashState) {
	for digest := range crash.digests {
		if q := r.request(digest); q != nil {
			r.removeCrashes(digest, q, func(c *crashState) bool { return c == crash })
		}
	}
	crash.digests = make(map[kwid.RequestDigest]struct{})
	crash.heldBy = 0
}

// removeCrashes removes crashes from a request.
func (r *Registry) removeCrashes(digest kwid.RequestDigest, q *requestState, remove func(*crashState) bool) {
	before := len(q.crashes)
	q.crashes = slices.DeleteFunc(q.crashes, func(c requestCrash) bool {
		if !remove(c.crash) {
			return false
		}
		delete(c.crash.digests, digest)
		if q.held != nil {
			c.crash.heldBy--
		}
		return true
	})
	r.requestCrashes -= before - len(q.crashes)
	r.requestsValid = false
}

// makeRoomForRequest forgets an eighth of the requests if there are too many: those with the fewest crashes, and the oldest of
// these. Requests that ride along on crashed servers, or crash one each, displace none that crash several.
func (r *Registry) makeRoomForRequest() {
	if len(r.requests) < maxSuspectRequests && r.requestCrashes < maxRequestCrashes {
		return
	}
	digests := slices.SortedFunc(maps.Keys(r.requests), func(a, b kwid.RequestDigest) int {
		qa, qb := r.requests[a], r.requests[b]
		return cmp.Or(
			cmp.Compare(len(qa.crashes)+qa.adopted, len(qb.crashes)+qb.adopted),
			qa.lastAt().Compare(qb.lastAt()),
			compareDigests(a, b),
		)
	})
	for _, digest := range digests[:(len(digests)+7)/8] {
		r.removeCrashes(digest, r.requests[digest], func(*crashState) bool { return true })
		delete(r.requests, digest)
	}
}

// forgetRequests forgets requests of which nothing is left to count.
func (r *Registry) forgetRequests(now time.Time) {
	for _, q := range r.requests {
		if q.adopted > 0 && now.Sub(q.adoptedAt) > r.cfg.Memory {
			q.forgetAdopted()
			r.requestsValid = false
		}
	}
	maps.DeleteFunc(r.requests, func(_ kwid.RequestDigest, q *requestState) bool {
		return len(q.crashes) == 0 && q.adopted == 0 && now.Sub(q.soundAt) > r.cfg.Memory
	})
}

// RecordSoundRequests records requests that were answered soundly: crashes before them no longer count. A sound run after the start
// of a trial ends the hold; so does one after the last crash under a request that is held.
func (r *Registry) RecordSoundRequests(now time.Time, sounds []SoundRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	for _, s := range sounds {
		r.recordSoundRequest(now, s)
	}
}

func (r *Registry) recordSoundRequest(now time.Time, s SoundRequest) {
	q, at := r.request(s.Digest), now.Add(-max(s.Age, 0))
	if q == nil || s.Age >= r.cfg.Memory || !at.After(q.soundAt) {
		return
	}
	if s.Unconfirmed {
		if at.After(q.answeredAt) {
			q.answeredAt = at
			r.newEvidence = true
		}
		return
	}
	if h := q.held; h != nil {
		if !h.trialAt.IsZero() && at.After(h.trialAt) || h.trialAt.IsZero() && len(q.crashes) > 0 && at.After(q.lastAt()) {
			r.releaseRequest(now, s.Digest, at)
		}
		return
	}
	q.soundAt = at
	if at.After(q.answeredAt) {
		q.answeredAt = at
	}
	r.newEvidence = true
	if q.adopted > 0 && at.After(q.adoptedAt) {
		q.forgetAdopted()
	}
	r.removeCrashes(s.Digest, q, func(c *crashState) bool { return !c.recordedAt.After(at) })
}

// SuspectRequests returns the held requests and those with unexplained crashes since their last sound run, the ones with the most
// crashes first. The number is bounded.
func (r *Registry) SuspectRequests(now time.Time) []SuspectRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	if !r.requestsValid {
		r.suspectRequests = r.suspectRequests[:0]
		for digest, q := range r.requests {
			if n := q.count(); n > 0 {
				r.suspectRequests = append(r.suspectRequests, SuspectRequest{Digest: digest, Crashes: n, Processes: q.processes()})
			}
		}
		slices.SortFunc(r.suspectRequests, func(a, b SuspectRequest) int {
			return cmp.Or(
				cmp.Compare(b.Crashes, a.Crashes),
				r.requests[b.Digest].lastAt().Compare(r.requests[a.Digest].lastAt()),
				compareDigests(a.Digest, b.Digest),
			)
		})
		r.suspectRequests = r.suspectRequests[:min(len(r.suspectRequests), maxRequestsInView)]
		r.requestsValid = true
	}
	return slices.Clone(r.suspectRequests)
}

// suspectDigests returns the held requests and those with crashes, the ones with the most crashes first.
func (r *Registry) suspectDigests(now time.Time) []kwid.RequestDigest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	type suspect struct {
		digest  kwid.RequestDigest
		crashes int
	}
	var suspects []suspect
	for digest, q := range r.heldRequests {
		suspects = append(suspects, suspect{digest, len(q.crashes)})
	}
	for digest, q := range r.requests {
		if len(q.crashes) > 0 {
			suspects = append(suspects, suspect{digest, len(q.crashes)})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), compareDigests(a.digest, b.digest))
	})
	digests := make([]kwid.RequestDigest, 0, len(suspects))
	for _, s := range suspects {
		digests = append(digests, s.digest)
	}
	return digests
}

// crashesOf returns the number of unexplained crashes under a request.
func (r *Registry) crashesOf(digest kwid.RequestDigest) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[digest]; q != nil {
		return q.count()
	}
	return 0
}
