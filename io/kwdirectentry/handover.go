package kwdirectentry

import (
	"context"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/io/kwevent"
)

// handOverInterval is the time between two checks whether a stream of a stopping entry needs a faster chain.
const handOverInterval = 250 * time.Millisecond

// handOver looks for a faster chain for a stream that may not end before the entry exits, and reserves it for the next attempt.
// eventsBefore is the number of events of earlier attempts.
func (g *Gateway) handOver(ctx context.Context, s *streamState, chain kwchainsearch.Chain, eventsBefore int) bool {
	q := s.q
	now := time.Now()
	if g.exitTime().IsZero() || now.Before(s.nextHandOverCheck) {
		return false
	}
	s.nextHandOverCheck = now.Add(handOverInterval)
	events := q.events - eventsBefore
	attempts := s.attempts.count(q)
	attempts.InProgress = 1
	if events < minPacedEvents || s.lastEventID == "" || !attempts.MayAdd() || g.activeStreams.replaced(s.watched) {
		return false
	}
	// A trial of a part is made on one chain only.
	if _, held := g.partGuard.Check(now, q.guardedParts()); held || g.kept(q) != nil {
		return false
	}
	req := s.chainRequest(g)
	delivered := q.events * tokensPerEvent(q)
	req.size.PromptTokens = float64(q.meta.PromptTokens + delivered)
	req.size.TotalTokens = max(req.size.TotalTokens, req.size.PromptTokens)
	progress := kwdispatch.Progress{
		EstimatedTokens: q.answerTokens(), MaxTokens: q.meta.MaxAnswerTokens, Tokens: delivered,
		// A chain that was silent for once may be fast again, so the longest pause does not count.
		TokenTime: (q.lastEventAt.Sub(s.attemptFirstEvent) - s.attemptPause) / time.Duration((events-2)*tokensPerEvent(q)),
	}
	next, ok := g.scheduler.handOver(ctx, req, chain, progress)
	if !ok {
		return false
	}
	if !g.retryBudgets.ForService(q.service).TrySpend(now) {
		g.scheduler.releaseUnsent(next, req.size.TotalTokens)
		return false
	}
	s.reserved = &reservedChain{next, req.size}
	s.attempts.mayHaveRun++
	// It may still be at work on the stream.
	s.attempts.exclude[chain.First().Endpoint] = true
	s.attempts.lastErr = kwcode.New(kwcode.StreamCut, "chain %s: too slow for the stream to end before the entry stops", formatChain(chain))
	q.broken = true
	q.resumptions++
	g.metrics.resumed.Inc(1)
	g.metrics.retried.Inc(1)
	g.deps.Events.Emit(kwevent.StreamHandedOver, q.meta.ID, kwevent.F("from", formatChain(chain)), kwevent.F("to", formatChain(next)),
		kwevent.F("last-event", s.lastEventID), kwevent.F("left-ms", time.Until(g.exitTime()).Milliseconds()))
	return true
}

// reservedChain is a chain that is reserved for a stream, with the size that it is reserved for.
type reservedChain struct {
	chain kwchainsearch.Chain
	size  kwchainsearch.RequestSize
}

// releaseReserved frees the chain of a stream whose caller has left as it was handed over.
func (g *Gateway) releaseReserved(s *streamState) {
	if chain, ok := s.takeReserved(); ok {
		g.scheduler.releaseUnsent(chain, s.size.TotalTokens)
	}
}

// takeReserved returns the chain that was reserved for the next attempt, if any, and makes its size that of the stream.
func (s *streamState) takeReserved() (chain kwchainsearch.Chain, ok bool) {
	if s.reserved == nil {
		return kwchainsearch.Chain{}, false
	}
	chain, s.size = s.reserved.chain, s.reserved.size
	s.reserved = nil
	return chain, true
}
