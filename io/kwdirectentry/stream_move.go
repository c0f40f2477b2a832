package kwdirectentry

import (
	"context"
	"maps"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwevent"
)

// silentAttempt is what decides on another chain for an attempt that has fallen silent: a copy of the state with which the attempt
// began, since the request goes on meanwhile.
type silentAttempt struct {
	req      chainRequest
	attempts kwretry.Attempts
	// begun means that the caller had received the first event before the attempt.
	begun bool
}

// silentAttempt returns the state with which the present attempt begins.
func (s *streamState) silentAttempt(g *Gateway) silentAttempt {
	q := *s.q
	a := silentAttempt{req: s.chainRequest(g), attempts: s.attempts.count(s.q), begun: s.begun}
	a.req.r = &q
	a.req.exclude, a.req.unreached = maps.Clone(s.attempts.exclude), maps.Clone(s.attempts.unreached)
	a.attempts.InProgress = 1
	return a
}

// count returns the attempts of a request so far.
func (a *attemptState) count(q *request) kwretry.Attempts {
	return kwretry.Attempts{
		Limit: q.route.MaxAttempts, Extra: extraAttempts, Repeatable: q.route.Retryable(), Sent: q.sends, MayHaveRun: a.mayHaveRun,
	}
}

// attemptChains makes an attempt on a chain, and further ones on the chains that are granted while an attempt is silent.
func (g *Gateway) attemptChains(ctx context.Context, s *streamState, chain kwchainsearch.Chain) attemptResult {
	var next *kwchainsearch.Chain
	var opened *openedStream
	defer func() {
		switch {
		case next != nil && opened != nil:
			opened.conn.Close()
			g.scheduler.release(*next, s.size.TotalTokens)
		case next != nil:
			g.scheduler.releaseUnsent(*next, s.size.TotalTokens)
		}
	}()
	for {
		s.watched = nil
		result := func() attemptResult {
			present := opened
			opened = nil
			defer func() { next, opened = g.activeStreams.takeReplacement(s.watched) }()
			return g.attemptOpened(ctx, s, chain, present)
		}()
		if next == nil || result == resultComplete || result == resultHandedOver || ctx.Err() != nil || s.q.mayCrashAgain() {
			return result
		}
		if s.begun {
			s.q.broken = true
			s.q.resumptions++
			g.metrics.resumed.Inc(1)
		}
		if opened == nil {
			g.metrics.retried.Inc(1)
		}
		chain, next = *next, nil
	}
}

// replaceChain seeks another chain for a silent attempt and gives the attempt up once one is granted (make before break). A server
// may fall silent for a while and go on, so silence alone is no reason to end an answer.
func (g *Gateway) replaceChain(ctx context.Context, w *watchedStream, a silentAttempt) {
	if !a.attempts.MayAdd() || a.req.r.mayCrashAgain() {
		return
	}
	search, ok := g.activeStreams.beginSearch(ctx, a.req.r.meta.ID, w)
	if !ok {
		return
	}
	silence := w.silence()
	g.goBackground(func() {
		defer g.activeStreams.searchFailed(search, w)
		chain, ok := g.acquireReplacement(search, w, a)
		if !ok {
			return
		}
		if !g.activeStreams.replace(search, w, chain) {
			g.scheduler.releaseUnsent(chain, a.req.size.TotalTokens)
			return
		}
		g.deps.Events.Emit(kwevent.StreamMoved, a.req.r.meta.ID, kwevent.F("chain", formatChain(w.chain)),
			kwevent.F("next", formatChain(chain)), kwevent.F("silent-ms", silence.Milliseconds()))
	})
}

// acquireReplacement reserves capacity on another chain for a silent attempt and spends the retry budget for it.
func (g *Gateway) acquireReplacement(ctx context.Context, w *watchedStream, a silentAttempt) (kwchainsearch.Chain, bool) {
	q := a.req.r
	if g.kept(q) != nil {
		return kwchainsearch.Chain{}, false
	}
	req := a.req
	req.exclude = maps.Clone(a.req.exclude)
	excludeFaulty(req.exclude, w.chain, g.activeStreams.blamed(w))
	broken := *q
	broken.broken = broken.broken || a.begun || w.begun.Load()
	broken.meta.EstimatedAnswerTokens = a.tokensLeft(w)
	req.r = &broken
	chain, ok := g.scheduler.tryChain(ctx, req)
	if !ok {
		return kwchainsearch.Chain{}, false
	}
	if !g.spendRetryBudget(ctx, q) {
		g.scheduler.releaseUnsent(chain, req.size.TotalTokens)
		return kwchainsearch.Chain{}, false
	}
	return chain, true
}

// tokensLeft estimates how many tokens of the answer have not come yet, at least one; zero means that the caller has given no estimate.
func (a silentAttempt) tokensLeft(w *watchedStream) int {
	q := a.req.r
	estimated := q.answerTokens()
	if estimated <= 0 {
		return 0
	}
	delivered := max(q.events, int(w.events.Load())) * tokensPerEvent(q)
	return max(1, estimated-delivered)
}
