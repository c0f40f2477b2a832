package kwdirectentry

import (
	"context"
	"maps"
	"time"

	"knapweedproxy/core/kwhedge"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwevent"
)

// hedgeOutcome says which attempt of a hedged request brought the answer, for the log.
type hedgeOutcome string

const (
	hedgeNone hedgeOutcome = ""
	// neitherWon means that neither has brought it so far.
	neitherWon hedgeOutcome = "neither"
	firstWon   hedgeOutcome = "first"
	hedgeWon   hedgeOutcome = "hedge"
)

// hedgeShare returns the limit on hedged requests: the declaration's, or the flag's if it names none.
func (g *Gateway) hedgeShare(v *view) float64 {
	if v.index != nil && v.index.Declaration.Limits.HedgeShare != nil {
		return *v.index.Declaration.Limits.HedgeShare
	}
	return g.cfg.HedgeShare
}

// hedgeClass returns the class whose latencies the request is compared with.
func (q *request) hedgeClass() kwhedge.Class {
	return kwhedge.Class{Service: q.service, Route: q.route.Name}
}

// hedgeSituation returns what decides whether a request may be hedged now; mayAdd tells whether it may have another attempt.
func (g *Gateway) hedgeSituation(now time.Time, q *request, mayAdd bool) kwhedge.Situation {
	suspect := q.suspect || q.suspectRequest || q.trial || q.requestTrial || q.ownCrashes > 0
	return kwhedge.Situation{
		Stopping:   g.stopping.Load(),
		Repeatable: mayAdd,
		Suspect:    suspect || g.kept(q) != nil || g.partGuard.Suspected(now, q.guardedParts()),
		Queued:     g.scheduler.anyWaiting(q.service),
		Limited:    g.scheduler.anyLimitOrPause(now, g.liveEndpoints(q)),
		ShareSpent: !g.hedger.Available(now, q.service),
	}
}

// anyWaiting reports whether streams wait for a chain, or calls of a service for a turn of an endpoint.
func (s *scheduler) anyWaiting(service kwid.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.callQueues[service]
	return s.dispatcher.Waiting() > 0 || queue != nil && queue.Len() > 0
}

// anyLimitOrPause reports whether one of some endpoints has a limit or wants no requests for a while.
func (s *scheduler) anyLimitOrPause(now time.Time, endpoints []kwmembership.Announcement) bool {
	if !s.limits.None() && s.anyLimited(endpoints) {
		return true
	}
	if s.pauses.None() {
		return false
	}
	for _, a := range endpoints {
		if s.pauses.Remaining(now, a.Process()) > 0 {
			return true
		}
	}
	return false
}

// notForHedges returns the endpoints that a hedge must not use: those of the attempts so far, and those that are ejected or as slow.
func (g *Gateway) notForHedges(now time.Time, q *request, tried endpointSet) endpointSet {
	out := maps.Clone(tried)
	for _, a := range g.liveEndpoints(q) {
		if g.scheduler.ejector.Ejected(now, a.ID) || g.hedger.Slow(now, a.ID) {
			out[a.ID] = true
		}
	}
	return out
}

// spendHedge counts a hedge against its limit and the retry budget.
func (g *Gateway) spendHedge(now time.Time, q *request) kwhedge.Reason {
	return g.hedger.Spend(now, q.service, func() bool { return g.retryBudgets.ForService(q.service).TrySpend(now) })
}

// callHedge is the hedge of a call. Unlike hedgeUnary, which rescues a call from a silent endpoint, it is sent when the first attempt takes
// longer than most of its class, and says nothing against the endpoint.
type callHedge struct {
	// timer fires when the first attempt takes that long, and again while the hedge is held back.
	timer *time.Timer
	// first is the endpoint of the first attempt, hedge that of the hedge, empty until it is sent.
	first, hedge kwid.EndpointID
	began        time.Time
	// pending holds those of the two endpoints whose result is missing.
	pending map[kwid.EndpointID]kwmembership.Announcement
	// held holds the reasons for which the hedge was held back so far.
	held  map[kwhedge.Reason]bool
	ended bool
}

// armCallHedge begins to time the first attempt of a call; the channel is nil if the call is not hedged.
func (g *Gateway) armCallHedge(u *unaryState) <-chan time.Time {
	h := u.hedge
	// Attempts after a failed one are left to the rescue.
	if h == nil || !h.began.IsZero() {
		return nil
	}
	h.first, h.began = u.q.endpoint, time.Now()
	h.pending = map[kwid.EndpointID]kwmembership.Announcement{h.first: u.awaited[h.first]}
	delay, ok := g.hedger.Delay(h.began, u.q.hedgeClass())
	if !ok {
		return nil
	}
	h.timer = time.NewTimer(delay)
	return h.timer.C
}

// hedgeCall sends the hedge of a call, or looks again later if it is held back.
func (g *Gateway) hedgeCall(ctx context.Context, u *unaryState) {
	// An answer that has come is about to be read.
	if len(u.results) > 0 || ctx.Err() != nil || u.q.remaining() <= 0 {
		return
	}
	if reason := g.sendCallHedge(ctx, u); reason != kwhedge.NotHeldBack {
		g.recordHeldBack(&u.hedge.held, reason)
		u.hedge.timer.Reset(hedgeRecheck)
	}
}

// recordHeldBack counts once for each request and reason that a hedge was held back.
func (g *Gateway) recordHeldBack(held *map[kwhedge.Reason]bool, reason kwhedge.Reason) {
	if *held == nil {
		*held = make(map[kwhedge.Reason]bool)
	}
	if !(*held)[reason] {
		(*held)[reason] = true
		g.metrics.hedgesHeld[reason].Inc(1)
	}
}

// sendCallHedge sends the hedge of a call, or returns why not.
func (g *Gateway) sendCallHedge(ctx context.Context, u *unaryState) kwhedge.Reason {
	q, h, now := u.q, u.hedge, time.Now()
	if reason := g.hedgeSituation(now, q, u.mayHedge()).HeldBack(); reason != kwhedge.NotHeldBack {
		return reason
	}
	endpoint, ok := g.scheduler.pickUnary(now, g.liveEndpoints(q), g.notForHedges(now, q, u.attempts.exclude), u.attempts.unreached)
	if !ok {
		return kwhedge.NoEndpoint
	}
	if reason := g.spendHedge(now, q); reason != kwhedge.NotHeldBack {
		g.scheduler.withdrawUnary(endpoint)
		return reason
	}
	h.hedge, q.hedged = endpoint.ID, neitherWon
	g.recordHedgeSent(q, h.first, endpoint.ID, kwevent.F("address", endpoint.Address), kwevent.F("after-ms", now.Sub(h.began).Milliseconds()))
	h.pending[endpoint.ID] = endpoint
	g.sendUnary(ctx, u, endpoint)
	return kwhedge.NotHeldBack
}

// recordResult records that the attempt at an endpoint has ended by itself.
func (h *callHedge) recordResult(id kwid.EndpointID) {
	if h != nil {
		delete(h.pending, id)
	}
}

// recordHedgeSent counts and logs a hedge.
func (g *Gateway) recordHedgeSent(q *request, first, hedge kwid.EndpointID, fields ...kwevent.Field) {
	g.metrics.hedgesSent.Inc(1)
	g.deps.Events.Emit(kwevent.RequestHedged, q.meta.ID, append(fields, kwevent.F("endpoint", hedge), kwevent.F("beside", first))...)
}

// endCallHedge records how the hedge of a call went, once its attempts have ended, and how long its first attempt took.
func (g *Gateway) endCallHedge(u *unaryState) {
	h := u.hedge
	if h == nil || h.ended {
		return
	}
	h.ended = true
	if h.timer != nil {
		h.timer.Stop()
	}
	now := time.Now()
	_, firstPending := h.pending[h.first]
	if u.answeredBy != "" && (u.answeredBy == h.first || firstPending && u.answeredBy == h.hedge) {
		g.hedger.RecordLatency(now, u.q.hedgeClass(), h.first, now.Sub(h.began))
	}
	if h.hedge == "" {
		return
	}
	switch u.answeredBy {
	case "":
	case h.first:
		u.q.hedged = firstWon
	case h.hedge:
		u.q.hedged = hedgeWon
		g.metrics.hedgesWon.Inc(1)
	}
	g.metrics.hedgesCancelled.Inc(int64(len(h.pending)))
	for _, endpoint := range h.pending {
		g.partGuard.RecordAbandoned(now, endpoint.Process(), u.q.digest)
	}
}
