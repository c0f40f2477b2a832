package kwquarantine

import (
	"cmp"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// requestCandidate is a request that may be held, now or once it is settled.
type requestCandidate struct {
	digest kwid.RequestDigest
	state  *requestState
	// crashes are its unexplained crashes, and count their number with those of an earlier leader.
	crashes []requestCrash
	count   int
	// settledAt is when entries have had the time to report the decisive crash.
	settledAt time.Time
}

// decideRequests holds the requests that qualify.
func (r *Registry) decideRequests(now time.Time) {
	for {
		digest, ok := r.firstRequest(now)
		if !ok {
			return
		}
		r.holdRequest(now, digest)
	}
}

// firstRequest returns, of the requests that qualify, the one with the most crashes.
func (r *Registry) firstRequest(now time.Time) (kwid.RequestDigest, bool) {
	for _, c := range r.requestCandidates() {
		if !now.Before(c.settledAt) {
			return c.digest, true
		}
	}
	return kwid.RequestDigest{}, false
}

// requestCandidates returns the requests under which enough servers crashed, not all at one moment. Those with the most crashes go
// first: what they explain counts against no other. Of several with as many, the one with the oldest sound run goes first.
func (r *Registry) requestCandidates() []requestCandidate {
	var candidates []requestCandidate
	for digest, q := range r.requests {
		if len(q.crashes)+q.adopted < r.cfg.MinCrashes {
			continue
		}
		crashes := q.unexplained()
		at, ok := r.decisiveRequestCrash(crashes, q.adopted)
		if !ok {
			continue
		}
		candidates = append(candidates, requestCandidate{
			digest: digest, state: q, crashes: crashes, count: len(crashes) + q.adopted, settledAt: at.Add(r.cfg.RequestSettle),
		})
	}
	slices.SortFunc(candidates, func(a, b requestCandidate) int {
		return cmp.Or(
			cmp.Compare(b.count, a.count),
			a.state.soundAt.Compare(b.state.soundAt),
			compareDigests(a.digest, b.digest),
		)
	})
	return candidates
}

// decisiveRequestCrash returns when the crash was recorded that makes crashes enough to hold their request: there are MinCrashes up to
// it, over MinSpread. One of them has to be of this leader's sight.
func (r *Registry) decisiveRequestCrash(crashes []requestCrash, adopted int) (time.Time, bool) {
	for i := max(r.cfg.MinCrashes-adopted-1, 0); i < len(crashes); i++ {
		if adopted > 0 || crashes[i].recordedAt.Sub(crashes[0].recordedAt) >= r.cfg.MinSpread {
			return crashes[i].recordedAt, true
		}
	}
	return time.Time{}, false
}

// scheduleRequests sets when the next request may be held without further evidence.
func (r *Registry) scheduleRequests(now time.Time) {
	for _, c := range r.requestCandidates() {
		if now.Before(c.settledAt) {
			r.evaluateBy(c.settledAt)
		}
	}
}
