package kwquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// requestCandidate is a request that may be held, now or once it is settled.
type requestCandidate struct {
	digest kwid.RequestDigest
	state  *requestState
	// crashes are those that count, and count their number with those of an earlier leader.
	crashes []requestCrash
	count   int
	// unexplained is the part of count that no held request explains.
	unexplained int
	// answered is set if the request was answered within Memory.
	answered bool
	// settledAt is when entries have had the time to report the decisive crash and the answers after it.
	settledAt time.Time
}

// decideRequests holds the requests that qualify, and releases those that were held for crashes of another one. It returns the
// candidates that are left.
func (r *Registry) decideRequests(now time.Time) []requestCandidate {
	r.correctRequests(now)
	o := &overlaps{r: r}
	for {
		candidates := r.requestCandidates(o)
		digest, ok := r.firstRequest(now, candidates)
		if !ok {
			return candidates
		}
		r.holdRequest(now, digest, o)
	}
}

// firstRequest returns, of the candidates that are settled, the first that yields to no other.
func (r *Registry) firstRequest(now time.Time, candidates []requestCandidate) (kwid.RequestDigest, bool) {
	for _, c := range candidates {
		if now.Before(c.settledAt) {
			continue
		}
		if !slices.ContainsFunc(candidates, func(other requestCandidate) bool { return r.yieldsRequest(c, other) }) {
			return c.digest, true
		}
	}
	return kwid.RequestDigest{}, false
}

// yieldsRequest reports whether a candidate leaves the decision to another one that explains its crashes: to one that goes first, and,
// if nothing but MinCrashes common crashes are known of both, to the next crash. It answers innocent requests that ran next to a
// crashing one each time.
func (r *Registry) yieldsRequest(c, other requestCandidate) bool {
	if c.digest == other.digest || r.count(c, other) >= r.cfg.MinCrashes {
		return false
	}
	order := compareRequestCandidates(other, c)
	return order < 0 || order == 0 && (c.unexplained == r.cfg.MinCrashes || compareDigests(other.digest, c.digest) < 0)
}

// count returns the number of crashes under a candidate that another one does not explain.
func (r *Registry) count(c, other requestCandidate) int {
	n := c.state.adopted
	for _, own := range c.crashes {
		if _, ok := own.crash.digests[other.digest]; !ok {
			n++
		}
	}
	return n
}

// firmlyExplained returns the crashes that are under a held request which was not contested.
func (r *Registry) firmlyExplained() map[*crashState]bool {
	explained := make(map[*crashState]bool)
	for _, h := range r.heldRequests {
		if h.contested {
			continue
		}
		for _, c := range h.crashes {
			explained[c.crash] = true
		}
	}
	return explained
}

// lastHolds returns, for each crash under held requests, when the last of these was held.
func (r *Registry) lastHolds() map[*crashState]time.Time {
	holds := make(map[*crashState]time.Time)
	for _, h := range r.heldRequests {
		for _, c := range h.crashes {
			if h.heldAt.After(holds[c.crash]) {
				holds[c.crash] = h.heldAt
			}
		}
	}
	return holds
}

// correctRequests releases the requests that were held for the crashes of others, once those explain all of them and have crashed a
// server since.
func (r *Registry) correctRequests(now time.Time) {
	for digest, q := range r.requests {
		last := len(q.crashes) - 1
		if last < r.cfg.MinCrashes || q.crashes[last].crash.heldBy > 0 || now.Before(q.lastAt().Add(r.cfg.RequestSettle)) {
			continue
		}
		for _, held := range slices.SortedFunc(maps.Keys(r.heldRequests), compareDigests) {
			h := r.heldRequests[held]
			if len(h.crashes) < r.cfg.MinCrashes || !h.held.trialAt.IsZero() || !q.lastAt().After(h.heldAt) {
				continue
			}
			if !q.answeredAt.IsZero() && h.answeredAt.IsZero() {
				// A popular request is on many crashes by chance.
				continue
			}
			if !slices.ContainsFunc(h.crashes, func(c requestCrash) bool { _, ok := c.crash.digests[digest]; return !ok }) {
				r.exonerate(now, held)
			}
		}
	}
	for _, held := range slices.SortedFunc(maps.Keys(r.heldRequests), compareDigests) {
		h := r.heldRequests[held]
		if len(h.crashes) >= r.cfg.MinCrashes && h.held.trialAt.IsZero() && r.explainedByLater(h) {
			r.exonerate(now, held)
		}
	}
}

// explainedByLater reports whether each crash under a held request was under one with more crashes that is held since.
func (r *Registry) explainedByLater(h *requestState) bool {
	return !slices.ContainsFunc(h.crashes, func(c requestCrash) bool {
		for digest := range c.crash.digests {
			if other := r.heldRequests[digest]; other != nil && other.heldAt.After(h.heldAt) && len(other.crashes) > len(h.crashes) {
				return false
			}
		}
		return true
	})
}

// requestCandidates returns the requests under which enough servers crashed, not all at one moment, in the order of the decision. What
// a held request explains does not count, unless that was contested and minCrashesSinceHold servers have crashed without it since.
func (r *Registry) requestCandidates(o *overlaps) []requestCandidate {
	var candidates []requestCandidate
	firm, holds := r.firmlyExplained(), r.lastHolds()
	r.countAbout()
	for digest, q := range r.requests {
		if len(q.crashes)+q.adopted < r.cfg.MinCrashes {
			continue
		}
		since, ok := q.unexplainedSince()
		if !ok {
			continue
		}
		c := requestCandidate{digest: digest, state: q, answered: !q.answeredAt.IsZero()}
		apart := r.crashesApart(q)
		contest := !c.answered && q.crashesSinceHold(holds) >= minCrashesSinceHold
		for _, crash := range q.crashes {
			if (crash.crash.heldBy == 0 || contest && !firm[crash.crash]) && (apart || r.share(q, crash.crash)) {
				c.crashes = append(c.crashes, crash)
				if crash.crash.heldBy == 0 {
					c.unexplained++
				}
			}
		}
		c.count, c.unexplained = len(c.crashes)+q.adopted, c.unexplained+q.adopted
		if c.answered && c.count < r.cfg.MinCrashes+r.crashesWithout(digest, q, answeredHandicap) {
			// Crashes without the request show that servers crash for another reason too. A popular request is on some of these by chance.
			continue
		}
		at, ok := r.decisiveRequestCrash(c, r.cfg.RequestSettle)
		if !ok {
			continue
		}
		if c.answered || o.contested(q) {
			at, _ = r.decisiveRequestCrash(c, r.cfg.DoubtSettle)
		}
		if c.settledAt = since.Add(r.cfg.RequestSettle); at.After(c.settledAt) {
			c.settledAt = at
		}
		if confirmed := q.answeredAt.Add(confirmTime); r.countSince(c, q.answeredAt) < r.cfg.MinCrashes && confirmed.After(c.settledAt) {
			c.settledAt = confirmed
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b requestCandidate) int {
		return cmp.Or(compareRequestCandidates(a, b), compareDigests(a.digest, b.digest))
	})
	return candidates
}

// crashesSinceHold returns the number of unexplained crashes under a request since the last hold of one that was on some of its crashes.
func (q *requestState) crashesSinceHold(holds map[*crashState]time.Time) int {
	var heldAt time.Time
	for _, c := range q.crashes {
		if at := holds[c.crash]; at.After(heldAt) {
			heldAt = at
		}
	}
	n := 0
	for _, c := range q.crashes {
		if c.crash.heldBy == 0 && c.crash.recordedAt.After(heldAt) {
			n++
		}
	}
	return n
}

// crashesWithout returns how many crashes there were without a request since its first one, whatever explains them, up to a limit.
func (r *Registry) crashesWithout(digest kwid.RequestDigest, q *requestState, limit int) int {
	n, first := 0, q.crashes[0].crash.recordedAt
	for _, crash := range slices.Backward(r.crashes) {
		if n >= limit || crash.recordedAt.Before(first) {
			break
		}
		if _, ok := crash.digests[digest]; !ok {
			n++
		}
	}
	return n
}

// countSince returns the number of crashes under a candidate after an answer.
func (r *Registry) countSince(c requestCandidate, answeredAt time.Time) int {
	n := c.state.adopted
	for _, own := range c.crashes {
		if own.crash.recordedAt.After(answeredAt) {
			n++
		}
	}
	return n
}

// compareRequestCandidates orders candidates: what the first explains counts against no other. The one with the most unexplained crashes goes
// first; an answered one has to have more than another one. Of several with as many, the one with the oldest sound run goes first.
func compareRequestCandidates(a, b requestCandidate) int {
	score := func(c requestCandidate) int {
		if c.answered {
			return c.unexplained - answeredHandicap
		}
		return c.unexplained
	}
	return cmp.Or(cmp.Compare(score(b), score(a)), a.state.soundAt.Compare(b.state.soundAt))
}

// decisiveRequestCrash returns when the crashes under a request are enough to hold it: settle after MinCrashes of them, if they span
// RequestSpread. If the request was answered within Memory, they have to span AnsweredSpread, each of them MinSpread after another. One of the crashes has to
// be of this leader's sight.
func (r *Registry) decisiveRequestCrash(c requestCandidate, settle time.Duration) (time.Time, bool) {
	n := c.state.adopted
	spread := r.cfg.RequestSpread
	if c.answered {
		spread = r.cfg.AnsweredSpread
	}
	var first, last, enough time.Time
	for i, crash := range c.crashes {
		at := crash.crash.recordedAt
		if i == 0 {
			first = at
		}
		if i == 0 || !c.answered || at.Sub(last) >= r.cfg.MinSpread {
			n, last = n+1, at
		}
		if n >= r.cfg.MinCrashes && enough.IsZero() {
			enough = crash.recordedAt.Add(settle)
		}
		if n >= r.cfg.MinCrashes && (c.state.adopted > 0 || at.Sub(first) >= spread) {
			if crash.recordedAt.After(enough) {
				return crash.recordedAt, true
			}
			return enough, true
		}
	}
	return time.Time{}, false
}

// countAbout counts, for each remembered crash, those within shareTime of it that are not explained.
func (r *Registry) countAbout() {
	from, to, n := 0, 0, 0
	add := func(c *crashState, d int) {
		if !c.explained && c.heldBy == 0 {
			n += d
		}
	}
	for _, c := range r.crashes {
		for ; to < len(r.crashes) && r.crashes[to].recordedAt.Sub(c.recordedAt) <= shareTime; to++ {
			add(r.crashes[to], 1)
		}
		for ; c.recordedAt.Sub(r.crashes[from].recordedAt) > shareTime; from++ {
			add(r.crashes[from], -1)
		}
		c.about = n
	}
}

// share reports whether a request was on a fair share of the crashes about the time of one of its own: servers that crash together for
// another reason end many requests, each on a few of them.
func (r *Registry) share(q *requestState, crash *crashState) bool {
	on, all := 0, crash.about
	for _, c := range q.crashes {
		if c.crash.recordedAt.Sub(crash.recordedAt).Abs() > shareTime {
			continue
		}
		on++
		if c.crash.heldBy > 0 {
			all++
		}
	}
	return minShare*on >= all
}

// crashesApart reports whether enough crashes under a request are so far apart that no other crash is about the time of two of them. Then
// its share does not matter: several requests that crash servers in turn leave each a small one.
func (r *Registry) crashesApart(q *requestState) bool {
	n := 0
	var last time.Time
	for _, c := range q.crashes {
		if at := c.crash.recordedAt; c.crash.heldBy == 0 && (n == 0 || at.Sub(last) > 2*shareTime) {
			n, last = n+1, at
		}
	}
	return n >= r.cfg.MinCrashes
}

// scheduleRequests sets when the next request may be held without further evidence.
func (r *Registry) scheduleRequests(now time.Time, candidates []requestCandidate) {
	for _, c := range candidates {
		if now.Before(c.settledAt) {
			r.evaluateBy(c.settledAt)
		}
	}
	for _, q := range r.requests {
		if at := q.lastAt().Add(r.cfg.RequestSettle); len(q.crashes) > r.cfg.MinCrashes && now.Before(at) && len(r.heldRequests) > 0 {
			r.evaluateBy(at)
		}
	}
}
