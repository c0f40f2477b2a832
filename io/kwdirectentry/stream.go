package kwdirectentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwdrain"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// streamState is the state of one stream over all its attempts.
type streamState struct {
	q        *request
	size     kwchainsearch.RequestSize
	attempts attemptState
	// begun means that the caller has received the header and the first event.
	begun bool
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	// reads counts the reads of one or more events in the current attempt.
	reads int
	// sound means that a server has gone on with the answer after its beginning.
	sound bool
	// processes are those of the chain of the current attempt, as of its begin.
	processes []kwmembership.Process
	// watched is the current attempt.
	watched *watchedStream
	// attemptFirstEvent is when the current attempt delivered its first event.
	attemptFirstEvent time.Time
	// attemptPause is the longest time between two reads in the current attempt.
	attemptPause time.Duration
	// reserved is the chain of the next attempt of a stream that is handed over.
	reserved *reservedChain
	// hedge is that of the current attempt, nil if it has none or it is over.
	hedge *streamHedge
	// nextHandOverCheck is when the stream is next checked for a hand-over.
	nextHandOverCheck time.Time
	// call is set once the stream was sent to a chain.
	call *kwdrain.Call
}

// attemptResult is how an attempt of a stream ended.
type attemptResult uint8

const (
	// resultComplete means that the caller has received the whole stream.
	resultComplete attemptResult = iota
	// resultNotRun means that the request has not run in this attempt.
	resultNotRun
	// resultBroken means that the request may have run but failed, broke off or fell silent.
	resultBroken
	// resultHandedOver means that the stream goes on on the chain that is reserved for it.
	resultHandedOver
)

// serveStream serves a streaming request; a broken stream resumes after its last event on another chain.
func (g *Gateway) serveStream(ctx context.Context, q *request) {
	if q.view.modelEngine(q.service) == nil {
		g.serveUnary(ctx, q)
		return
	}
	s := &streamState{q: q, size: estimateSize(q), attempts: attemptState{exclude: make(endpointSet)}, lastEventID: q.meta.LastEventID}
	defer g.releaseReserved(s)
	served := false
	defer func() { s.endCall(g, served) }()
	for {
		chain, ok := s.takeReserved()
		if !ok {
			if chain, ok = g.acquireStreamChain(ctx, s); !ok {
				break
			}
		}
		s.beginCall(g)
		result := g.attemptChains(ctx, s, chain)
		if q.callerLeft() {
			g.abortCallerGone(q)
		}
		switch result {
		case resultComplete:
			served = true
			return
		case resultHandedOver:
			continue
		}
		if q.mayCrashAgain() || !g.mayRetry(ctx, q, s.attempts.count(q)) {
			break
		}
		if s.begun {
			q.broken = true
			q.resumptions++
			g.metrics.resumed.Inc(1)
		}
	}
	g.finishStream(ctx, s)
}

// acquireStreamChain acquires a chain for the next attempt, or records why there is none.
func (g *Gateway) acquireStreamChain(ctx context.Context, s *streamState) (kwchainsearch.Chain, bool) {
	q := s.q
	for {
		if err := g.checkBeforeSend(ctx, s); err != nil {
			s.recordNoChain(err)
			return kwchainsearch.Chain{}, false
		}
		chain, waited, err := g.awaitChain(ctx, s)
		g.countAdmission(q, waited, err)
		q.waited += waited
		g.metrics.queueWait.Update(waited)
		if q.callerLeft() {
			if err == nil {
				g.scheduler.releaseUnsent(chain, s.size.TotalTokens)
			}
			g.abortCallerGone(q)
		}
		if errors.Is(err, errHeld) {
			continue
		}
		if err != nil {
			s.recordNoChain(err)
			return kwchainsearch.Chain{}, false
		}
		// The part may have been quarantined while the request waited, or the entry may be stopping since.
		if err := g.checkBeforeSend(ctx, s); err != nil {
			g.scheduler.releaseUnsent(chain, s.size.TotalTokens)
			s.recordNoChain(err)
			return kwchainsearch.Chain{}, false
		}
		return chain, true
	}
}

// awaitChain acquires a chain and returns how long that took. The wait ends with errHeld once the request is kept from servers, and with a
// rejection once a stop leaves it too little time.
func (g *Gateway) awaitChain(ctx context.Context, s *streamState) (kwchainsearch.Chain, time.Duration, error) {
	waiting, leave := ctx, func() {}
	if s.attempts.mayHaveRun == 0 {
		waiting, leave = g.whileInTime(ctx, g.streams, s.q)
	}
	defer leave()
	waiting, leaveQueue := g.queued.enter(waiting, s.q)
	defer leaveQueue()
	chain, waited, err := g.scheduler.acquireChain(waiting, s.chainRequest(g))
	if err == nil {
		return chain, waited, nil
	}
	switch cause := context.Cause(waiting); {
	case errors.Is(cause, errHeld):
		err = errHeld
	case errors.Is(cause, errTooLate):
		err = endsLateError()
	}
	return chain, waited, err
}

// checkBeforeSend returns why a stream may not be sent to any chain now, nil if it may.
func (g *Gateway) checkBeforeSend(ctx context.Context, s *streamState) error {
	if err := g.checkQuarantine(ctx, s.q); err != nil {
		return err
	}
	if s.attempts.mayHaveRun == 0 && !g.mayEndBeforeExit(g.streams, s.q) {
		return endsLateError()
	}
	return nil
}

// beginCall records that a stream is sent for the first time.
func (s *streamState) beginCall(g *Gateway) {
	if s.call == nil {
		s.call = g.streams.Begin(time.Now(), s.q.service)
	}
}

// endCall records that a stream is over; served is whether its caller got all of it.
func (s *streamState) endCall(g *Gateway, served bool) {
	if s.call != nil {
		g.streams.End(time.Now(), s.call, served)
	}
}

// chainRequest returns the request for a chain for the next attempt.
func (s *streamState) chainRequest(g *Gateway) chainRequest {
	return chainRequest{r: s.q, size: s.size, exclude: s.attempts.exclude, unreached: s.attempts.unreached, currentView: g.view.Load, exitTime: g.exitTime}
}

// recordNoChain records that no chain was found, unless an earlier attempt may have run: its error is the one to
// report.
func (s *streamState) recordNoChain(err error) {
	if s.attempts.mayHaveRun == 0 {
		s.attempts.lastErr = kwcode.FromError(err)
	}
}

// estimateSize estimates the KV cache use of a request: its prompt and the whole answer that its caller expects. With a
// smaller estimate, such as the average use over the life of a stream, full engines preempt requests and compute them
// again, which keeps the engines full for good (docs/MEASUREMENTS.md).
func estimateSize(q *request) kwchainsearch.RequestSize {
	return kwchainsearch.RequestSize{TotalTokens: float64(q.meta.PromptTokens + q.answerTokens()), PromptTokens: float64(q.meta.PromptTokens)}
}

// answerTokens returns the length of the answer that the caller expects.
func (q *request) answerTokens() int {
	n := q.meta.EstimatedAnswerTokens
	if n <= 0 || q.meta.MaxAnswerTokens > 0 && n > q.meta.MaxAnswerTokens {
		n = q.meta.MaxAnswerTokens
	}
	return n
}

// attemptStream sends the request to one chain and relays its events.
func (g *Gateway) attemptStream(ctx context.Context, s *streamState, chain kwchainsearch.Chain) attemptResult {
	return g.attemptOpened(ctx, s, chain, nil)
}

// attemptOpened is attemptStream for an attempt that has been sent before, as a hedge, if opened is not nil.
func (g *Gateway) attemptOpened(ctx context.Context, s *streamState, chain kwchainsearch.Chain, opened *openedStream) attemptResult {
	q := s.q
	first := chain.First()
	begin := time.Now()
	s.processes = g.processesOf(q, chain)
	process := s.process(first.Endpoint)
	sent := opened != nil
	defer func() {
		if sent {
			g.scheduler.release(chain, s.size.TotalTokens)
			return
		}
		g.scheduler.releaseUnsent(chain, s.size.TotalTokens)
	}()
	patience := g.scheduler.firstEventPatience(ctx, s.chainRequest(g), chain)
	firstWait, c, err := g.openConnection(ctx, q.meta.ID, first, begin, opened)
	defer firstWait.end(false)
	if err != nil {
		return g.firstEndpointFailed(s, chain, err, false)
	}
	reusable := false
	stopClose := context.AfterFunc(ctx, c.Close)
	defer func() {
		stopClose()
		if !reusable {
			c.Close()
		}
	}()
	if opened == nil && !g.mayStillSend(s, chain) {
		return resultNotRun
	}
	sent = true
	q.sends++
	s.reads = 0
	q.endpoint = first.Endpoint
	q.chain = formatChain(chain)
	q.expected = chain.AnswerTime(q.answerTokens())
	upstreamReq := q.upstreamRequest(g.deps.Dialect, kwupstream.ForwardMeta{Endpoint: first.Endpoint, Chain: &chain, LastEventID: s.lastEventID})
	if opened == nil {
		err = c.Send(upstreamReq)
	}
	if err != nil {
		return g.firstEndpointFailed(s, chain, err, true)
	}
	silent := s.silentAttempt(g)
	s.watched = g.activeStreams.watch(q.meta.ID, c, chain, silenceLimitsFor(q, chain, patience), silenceActions{
		probe: g.probeChain, queryStalls: g.queryStalls, replace: func(w *watchedStream) { g.replaceChain(ctx, w, silent) },
		firstEventLate: func() { firstWait.exceeded(patience) },
	})
	defer g.activeStreams.unwatch(q.meta.ID, s.watched)
	if opened != nil {
		result := g.relay(ctx, s, chain, opened.resp, opened, firstWait)
		g.activeStreams.unwatch(q.meta.ID, s.watched)
		if reusable = result == resultComplete && stopClose(); reusable {
			g.upstreamPool.Put(c, opened.resp)
		}
		return result
	}
	s.hedge = g.armStreamHedge(ctx, s, chain, begin, silent)
	defer g.endStreamHedge(s)
	resp, meta, err := c.Receive(upstreamReq, g.deps.Dialect)
	g.recordNotices(q.meta.ID, process, first.Address, meta)
	if err != nil {
		return g.handleBrokenStream(ctx, s, chain, err)
	}
	var result attemptResult
	if resp.StatusCode != http.StatusOK {
		result, reusable = g.handleErrorResponse(ctx, s, chain, resp, meta)
	} else {
		result = g.relay(ctx, s, chain, resp, nil, firstWait)
		reusable = result == resultComplete
	}
	g.endStreamHedge(s)
	// No search for another chain may close the connection once it is in the pool, and a hedge that has won has closed it.
	g.activeStreams.unwatch(q.meta.ID, s.watched)
	reusable = reusable && !g.activeStreams.hedgeHasWon(s.watched)
	if reusable = reusable && stopClose(); reusable {
		g.upstreamPool.Put(c, resp)
	}
	return result
}

// openConnection returns the connection of an attempt, and its wait for the first event, which is over for one that was opened before.
func (g *Gateway) openConnection(
	ctx context.Context, id kwid.RequestID, first kwchainsearch.Stage, begin time.Time, opened *openedStream,
) (*firstEventWait, *kwupstream.Conn, error) {
	if opened != nil {
		return opened.wait, opened.conn, nil
	}
	wait := g.startFirstEventWait(first.Endpoint, begin)
	c, err := g.upstreamPool.Get(ctx, first.Address, id, false)
	return wait, c, err
}

// mayStillSend reports whether an attempt may be sent to its chain: the news against it may have come since the chain was chosen.
func (g *Gateway) mayStillSend(s *streamState, chain kwchainsearch.Chain) bool {
	if id, closed := g.scheduler.closedStage(time.Now(), chain); closed {
		s.attempts.exclude[id] = true
		s.attempts.lastErr = kwcode.New(kwcode.NoChain, "endpoint %s leaves or wants no requests", id)
		return false
	}
	if err := g.kept(s.q); err != nil {
		s.attempts.lastErr = err
		return false
	}
	return true
}

// firstEventTimeout is how long the first event may take at least before another chain is sought.
func firstEventTimeout(q *request) time.Duration {
	return max(firstEventTimeoutFactor*q.route.LatencyObjective, minEventTimeout)
}

// stallQueryWait is how long a chain may be silent before its first endpoint is asked which endpoint stalls it.
func stallQueryWait(q *request) time.Duration {
	return max(time.Duration(stallQueryGapFactor*float64(q.route.EventGapObjective)), minStallQueryWait)
}

// silenceLimitsFor returns the silence limits of an attempt on a chain, whose first event may take as long as patience; the probe never
// comes after the stall query.
func silenceLimitsFor(q *request, chain kwchainsearch.Chain, patience time.Duration) silenceLimits {
	queryStalls := stallQueryWait(q)
	probe := max(minProbeWait, probeGapFactor*chain.EventInterval(q.view.index.Service(q.service).Engine))
	return silenceLimits{probe: min(probe, queryStalls), queryStalls: queryStalls, firstEvent: patience, eventGap: eventGapTimeout(q)}
}

// eventGapTimeout is how long a stream may be silent between two events before another chain is sought.
func eventGapTimeout(q *request) time.Duration {
	return max(eventGapTimeoutFactor*q.route.EventGapObjective, minEventTimeout)
}

// firstEventWait tracks the wait of an attempt for its first event.
type firstEventWait struct {
	scheduler *scheduler
	endpoint  kwid.EndpointID
	began     time.Time
	ended     atomic.Bool
}

func (g *Gateway) startFirstEventWait(id kwid.EndpointID, began time.Time) *firstEventWait {
	g.scheduler.beginFirstEventWait(id, began)
	return &firstEventWait{scheduler: g.scheduler, endpoint: id, began: began}
}

// end records the end of the wait, unless it has exceeded its patience before.
func (f *firstEventWait) end(received bool) {
	if !f.ended.Swap(true) {
		f.scheduler.endFirstEventWait(f.endpoint, time.Now(), f.began, received)
	}
}

// exceeded records that the wait takes longer than its patience. How long a silent endpoint keeps its requests waiting beyond that
// tells nothing of how long later ones will wait.
func (f *firstEventWait) exceeded(patience time.Duration) {
	if !f.ended.Swap(true) {
		f.scheduler.endFirstEventWait(f.endpoint, f.began.Add(patience), f.began, false)
	}
}

// relay passes events on to the caller as they arrive.
func (g *Gateway) relay(
	ctx context.Context, s *streamState, chain kwchainsearch.Chain, resp *http.Response, opened *openedStream, firstWait *firstEventWait,
) attemptResult {
	q := s.q
	events := opened.reader(resp, s.lastEventID, q.buffers)
	flusher := http.NewResponseController(q.w)
	eventsBefore := q.events
	for {
		chunk, err := opened.next(events)
		if errors.Is(err, io.EOF) && s.begun && (s.reads > 0 || kwupstream.Framed(resp)) {
			g.finishComplete(s, chain)
			return resultComplete
		}
		if err != nil {
			return g.handleBrokenStream(ctx, s, chain, err)
		}
		firstWait.end(true)
		if !s.begun && !g.activeStreams.claimFirstEvent(s.watched) {
			return g.handleBrokenStream(ctx, s, chain, errHedgeWon)
		}
		if !s.begun {
			s.begun = true
			g.scheduler.ejector.RecordSuccess(chain.First().Endpoint)
			q.firstEvent = time.Since(q.arrived)
			g.metrics.firstEvent.Update(q.firstEvent)
			copyHeaders(q.w, resp.Header)
			q.writeHead(http.StatusOK)
		}
		if _, err := q.w.Write(chunk); err != nil {
			g.abortUndelivered(q)
		}
		if err := flusher.Flush(); err != nil {
			g.abortUndelivered(q)
		}
		g.endStreamHedge(s)
		now := time.Now()
		s.recordRead(now)
		q.recordEvent(now)
		if s.reads++; s.reads == soundReads {
			g.recordSoundStream(s)
		}
		s.lastEventID = events.LastID
		q.events = eventsBefore + events.Count
		g.metrics.eventWrites.Inc(1)
		s.watched.events.Store(int64(q.events))
		g.activeStreams.eventReceived(s.watched, now)
		if g.handOver(ctx, s, chain, eventsBefore) {
			return resultHandedOver
		}
	}
}

// recordRead updates the times of the current attempt before the next read is counted.
func (s *streamState) recordRead(now time.Time) {
	if s.reads == 0 {
		s.attemptFirstEvent, s.attemptPause = now, 0
		return
	}
	s.attemptPause = max(s.attemptPause, now.Sub(s.q.lastEventAt))
}

// recordEvent updates the longest pause between two events that the caller received, over all attempts.
func (q *request) recordEvent(now time.Time) {
	if !q.lastEventAt.IsZero() {
		q.longestPause = max(q.longestPause, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
}

// finishComplete ends a stream that the caller has received in full.
func (g *Gateway) finishComplete(s *streamState, chain kwchainsearch.Chain) {
	g.recordSoundStream(s)
	g.recordAnswered(s)
	g.scheduler.recordSuccess(chain)
	s.observeAnswer(g, chain)
	g.metrics.served.Inc(1)
	g.metrics.longestPause.Update(s.q.longestPause)
	g.logEnd(kwevent.RequestAnswered, s.q, http.StatusOK, nil)
}

// minPacedEvents is the number of events from which the time between them tells the pace of a chain.
const minPacedEvents = 8

// observeAnswer has the scheduler learn from an answer that one attempt has delivered in full.
func (s *streamState) observeAnswer(g *Gateway, chain kwchainsearch.Chain) {
	q := s.q
	if q.sends != 1 || q.meta.LastEventID != "" {
		return
	}
	answer := kwdispatch.Answer{
		EstimatedTokens: q.answerTokens(), ExpectedTokenTime: chain.TokenTime, Tokens: q.events * tokensPerEvent(q),
	}
	if q.events >= minPacedEvents {
		answer.TokenTime = q.lastEventAt.Sub(q.arrived.Add(q.firstEvent)) / time.Duration((q.events-1)*tokensPerEvent(q))
	}
	g.scheduler.observe(q.service, answer)
}

// tokensPerEvent returns how many tokens an event of an answer holds.
func tokensPerEvent(q *request) int {
	return max(1, q.view.index.Service(q.service).Engine.TokensPerEvent)
}

// finishStream ends a stream that no attempt has completed.
func (g *Gateway) finishStream(ctx context.Context, s *streamState) {
	q := s.q
	s.attempts.recordStop(q)
	switch {
	case s.begun:
		g.metrics.failed.Inc(1)
		g.logEnd(kwevent.RequestFailed, q, http.StatusOK, s.attempts.lastErr)
		panic(http.ErrAbortHandler)
	case s.attempts.response != nil:
		g.writeResponse(q, s.attempts.response)
	case s.attempts.mayHaveRun > 0 && ctx.Err() != nil && !q.stopped():
		g.fail(q, kwcode.New(kwcode.DeadlineExceeded, "%v", s.attempts.lastErr))
	case s.attempts.mayHaveRun > 0:
		g.fail(q, kwcode.New(kwcode.StreamCut, "%v", s.attempts.lastErr))
	case q.stopped():
		g.reject(q, stoppingError("the entry has stopped before a chain accepted the request"))
	case ctx.Err() != nil:
		g.reject(q, kwcode.New(kwcode.DeadlineTooShort, "the deadline passed before a chain accepted the request"))
	default:
		err := s.attempts.lastErr
		if err.RetryAfter == 0 {
			err = err.After(g.scheduler.promise(ctx, s.chainRequest(g)))
		}
		g.reject(q, err)
	}
}

// formatChain lists the addresses and layers of a chain for log lines.
func formatChain(c kwchainsearch.Chain) string {
	var b bytes.Buffer
	for i, stage := range c.Stages {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(stage.Address)
		b.WriteByte('=')
		b.WriteString(strconv.Itoa(int(stage.Layers.From)))
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(int(stage.Layers.To)))
	}
	return b.String()
}
