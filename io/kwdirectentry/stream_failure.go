package kwdirectentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"knapweedproxy/core/kwanswer"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// firstEndpointFailed ends an attempt whose first endpoint could not be reached or, if sent is set, dropped the
// connection while the request was sent.
func (g *Gateway) firstEndpointFailed(s *streamState, chain kwchainsearch.Chain, err error, sent bool) attemptResult {
	first := chain.First()
	s.attempts.excludeFailed(time.Now(), first.Endpoint, err)
	s.attempts.lastErr = kwcode.New(kwcode.StreamCut, "endpoint %s: %v", first.Endpoint, err)
	if !s.q.stopped() {
		g.eject(s.q.meta.ID, first.Endpoint, first.Address, errors.Is(err, kwupstream.ErrNoConnection), err.Error())
		g.probeChain(chain)
	}
	if !sent {
		g.noteRefusal(first.Endpoint, err)
		return resultNotRun
	}
	s.attempts.mayHaveRun++
	g.checkStreamForCrash(s, first.Endpoint, first.Address)
	return resultBroken
}

// checkStreamForCrash checks whether an endpoint that was to answer a stream has crashed. A stream that has been sound before is evidence
// against itself alone, not against the parts of its prompt.
func (g *Gateway) checkStreamForCrash(s *streamState, id kwid.EndpointID, address string) {
	var parts []kwid.PromptPartID
	if !s.sound {
		parts = s.q.guardedParts()
	}
	g.checkForCrash(s.q, s.process(id), address, parts)
}

// handleErrorResponse handles a response with a status other than 200; complete means that its body was read to the
// end.
func (g *Gateway) handleErrorResponse(ctx context.Context, s *streamState, chain kwchainsearch.Chain, resp *http.Response, meta kwupstream.ResponseMeta) (result attemptResult, complete bool) {
	body, err := kwupstream.ReadBody(resp, maxResponseBytes, s.q.buffers)
	if err != nil {
		return g.handleBrokenStream(ctx, s, chain, err), false
	}
	first := chain.First().Endpoint
	switch meta.Head(resp).Outcome(s.q.route.Retryable()) {
	case kwanswer.Misleading:
		s.attempts.mayHaveRun++
		s.attempts.lastErr = misleadingError(first, resp.StatusCode)
		g.deps.Events.Emit(kwevent.AttemptFailed, s.q.meta.ID, kwevent.F("chain", formatChain(chain)), kwevent.F("error", s.attempts.lastErr.Error()))
		return resultBroken, true
	case kwanswer.Answered, kwanswer.Failed:
		s.attempts.mayHaveRun++
		s.attempts.response = &kwupstream.Result{Response: resp, Body: body}
		s.attempts.lastErr = kwcode.New(kwcode.StreamCut, "endpoint %s responded with status %d", first, resp.StatusCode)
		return resultBroken, true
	}
	s.attempts.notRun++
	address := meta.FailedAddress
	if address == "" {
		address = chain.First().Address
	}
	id, known := g.scheduler.endpointAt(address)
	if known {
		s.attempts.exclude[id] = true
		g.scheduler.ejector.RecordRefusal(time.Now(), id)
		// The endpoint may also be gone, which the first endpoint of the chain reports in the same way.
		g.probeStage(chain, id)
	}
	s.attempts.lastErr = kwcode.New(kwcode.NoChain, "endpoint %s at %s responded with status %d, not run", id, address, resp.StatusCode)
	g.deps.Events.Emit(kwevent.AttemptFailed, s.q.meta.ID, kwevent.F("endpoint", id), kwevent.F("address", address),
		kwevent.F("status", resp.StatusCode), kwevent.F("chain", formatChain(chain)))
	return resultNotRun, true
}

// handleBrokenStream ends an attempt that broke off or fell silent, and looks for the faulty endpoint.
func (g *Gateway) handleBrokenStream(ctx context.Context, s *streamState, chain kwchainsearch.Chain, err error) attemptResult {
	if g.activeStreams.hedgeHasWon(s.watched) {
		return g.loseToHedge(s, chain)
	}
	s.attempts.mayHaveRun++
	s.attempts.lastErr = kwcode.New(kwcode.StreamCut, "chain %s: %v", formatChain(chain), err)
	blamed := g.activeStreams.blamed(s.watched)
	excludeFaulty(s.attempts.exclude, chain, blamed)
	switch {
	case ctx.Err() != nil:
		for _, process := range s.processes {
			g.partGuard.RecordAbandoned(time.Now(), process, s.q.digest)
		}
	case blamed != "":
		if stage, ok := chain.StageOf(blamed); ok {
			g.checkStreamForCrash(s, blamed, stage.Address)
		}
	case oversized(err):
		first := chain.First()
		s.attempts.exclude[first.Endpoint] = true
		g.eject(s.q.meta.ID, first.Endpoint, first.Address, false, err.Error())
	case connectionDropped(err):
		g.checkStreamForCrash(s, chain.First().Endpoint, chain.First().Address)
		g.recordStreamFailure(s.q, chain.First(), "resets streams", err)
	case noAnswer(err):
		g.recordStreamFailure(s.q, chain.First(), "answers streams with something else", err)
	}
	if ctx.Err() == nil {
		g.deps.Events.Emit(kwevent.AttemptFailed, s.q.meta.ID, kwevent.F("chain", formatChain(chain)), kwevent.F("error", err.Error()),
			kwevent.F("begun", s.begun), kwevent.F("last-event", s.lastEventID), kwevent.F("blamed", blamed),
			kwevent.F("parts", s.q.meta.SharedParts))
		g.queryStalls(chain)
	}
	return resultBroken
}

// oversized reports whether the first endpoint of a chain has sent more than an answer may hold.
func oversized(err error) bool {
	return kwcode.Is(err, kwcode.FrameTooLarge) || kwcode.Is(err, kwcode.BuffersFull)
}

// noAnswer reports whether the first endpoint of a chain has sent something that is no answer to the request, or no events.
func noAnswer(err error) bool {
	return kwcode.Is(err, kwcode.EngineFailed) || errors.Is(err, kwupstream.ErrNotEvents)
}

// connectionDropped reports whether the first endpoint of a chain closed the connection, rather than being silent for
// too long.
func connectionDropped(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// recordStreamFailure records that the first endpoint of a chain failed a stream. Stall reports and probes do not show an endpoint that fails all
// its streams, so it is found only here.
func (g *Gateway) recordStreamFailure(q *request, first kwchainsearch.Stage, cause string, err error) {
	if g.scheduler.ejector.RecordTransientFailure(time.Now(), first.Endpoint) {
		g.logEjection(q.meta.ID, first.Endpoint, first.Address, cause, kwevent.F("error", err.Error()))
	}
}

// excludeFaulty excludes the faulty endpoint of a chain from the next attempt, or the whole chain if the faulty one is not known.
func excludeFaulty(exclude endpointSet, chain kwchainsearch.Chain, blamed kwid.EndpointID) {
	if blamed != "" && chain.Uses(blamed) {
		exclude[blamed] = true
		return
	}
	for _, stage := range chain.Stages {
		exclude[stage.Endpoint] = true
	}
}
