package kwdirectentry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhedge"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// errHedgeWon ends an attempt whose hedge was faster.
var errHedgeWon = errors.New("the hedge has answered first")

// openedStream is an attempt of a stream that has received its first event.
type openedStream struct {
	conn   *kwupstream.Conn
	resp   *http.Response
	events *kwupstream.EventReader
	// first holds the first events until they are relayed.
	first []byte
	wait  *firstEventWait
}

// reader returns the reader of the events of a response, which an opened attempt has already.
func (o *openedStream) reader(resp *http.Response, lastEventID string, buffers *kwbuffer.Account) *kwupstream.EventReader {
	if o != nil {
		return o.events
	}
	return kwupstream.NewEventReader(resp.Body, lastEventID, buffers)
}

// next returns the first events of an opened attempt, and then those that the reader brings.
func (o *openedStream) next(events *kwupstream.EventReader) ([]byte, error) {
	if o != nil && o.first != nil {
		first := o.first
		o.first = nil
		return first, nil
	}
	return events.Next()
}

// lostHedge is a hedge that has not won: err is nil if it was cancelled, and notRun is set if its first endpoint has not run it.
type lostHedge struct {
	chain  kwchainsearch.Chain
	err    error
	notRun bool
}

// streamHedge is the hedge of a stream: a second attempt on another chain that races the first one for the first event. The loser's
// connection is closed at once and its chain released. It counts as a search for another chain (activeStreams.beginSearch), so there is no
// other search beside it, and an event or the end of the first attempt ends it. All but these fields belong to its own goroutine.
type streamHedge struct {
	chain kwchainsearch.Chain
	began time.Time
	timer *time.Timer
	// done is closed when the hedge has been decided on, has been lost, has failed or has won.
	done chan struct{}
	// stop ends the looks for a hedge that is held back.
	stop chan struct{}
}

// armStreamHedge begins to time the first attempt of a stream; it returns nil if the stream is not hedged.
func (g *Gateway) armStreamHedge(ctx context.Context, s *streamState, chain kwchainsearch.Chain, began time.Time, a silentAttempt) *streamHedge {
	q := s.q
	if !g.hedger.On() || !q.route.Retryable() || q.sends != 1 || s.begun {
		return nil
	}
	h := &streamHedge{chain: chain, began: began, done: make(chan struct{}), stop: make(chan struct{})}
	delay, ok := g.hedger.Delay(began, q.hedgeClass())
	if !ok {
		close(h.done)
		return h
	}
	h.timer = time.NewTimer(time.Until(began.Add(delay)))
	w := s.watched
	w.raced = true
	g.goBackground(func() {
		defer close(h.done)
		defer h.timer.Stop()
		g.hedgeStream(ctx, h, w, a)
	})
	return h
}

// hedgeStream waits until the first attempt has taken long enough and a hedge may be sent, and sends it.
func (g *Gateway) hedgeStream(ctx context.Context, h *streamHedge, w *watchedStream, a silentAttempt) {
	var held map[kwhedge.Reason]bool
	for {
		select {
		case <-h.stop:
			return
		case <-ctx.Done():
			return
		case <-h.timer.C:
		}
		if w.begun.Load() {
			return
		}
		search, ok := g.activeStreams.beginSearch(ctx, a.req.r.meta.ID, w)
		if !ok {
			return
		}
		chain, reason := g.acquireHedge(search, h, a)
		if reason == kwhedge.NotHeldBack {
			g.raceHedge(search, h, w, a, chain)
			g.activeStreams.searchFailed(search, w)
			return
		}
		g.activeStreams.searchFailed(search, w)
		g.recordHeldBack(&held, reason)
		h.timer.Reset(hedgeRecheck)
	}
}

// acquireHedge reserves a chain for a hedge and counts it against its limit, or returns why it is held back.
func (g *Gateway) acquireHedge(ctx context.Context, h *streamHedge, a silentAttempt) (kwchainsearch.Chain, kwhedge.Reason) {
	q, now := a.req.r, time.Now()
	// An attempt must be left to resume the stream, which a hedge would use up where the route allows two.
	two := a.attempts
	two.InProgress = 2
	if reason := g.hedgeSituation(now, q, two.MayAdd()).HeldBack(); reason != kwhedge.NotHeldBack {
		return kwchainsearch.Chain{}, reason
	}
	req := a.req
	req.exclude = g.notForHedges(now, q, a.req.exclude)
	excludeFaulty(req.exclude, h.chain, "")
	chain, ok := g.scheduler.tryChain(ctx, req)
	if !ok {
		return kwchainsearch.Chain{}, kwhedge.NoEndpoint
	}
	delay, _ := g.hedger.Delay(now, q.hedgeClass())
	reason := kwhedge.NoEndpoint
	if g.scheduler.expectedFirstEvent(now, chain) < delay {
		reason = g.spendHedge(now, q)
	}
	if reason != kwhedge.NotHeldBack {
		g.scheduler.releaseUnsent(chain, a.req.size.TotalTokens)
		return kwchainsearch.Chain{}, reason
	}
	return chain, kwhedge.NotHeldBack
}

// expectedFirstEvent returns how long the first event of a chain is expected to take.
func (s *scheduler) expectedFirstEvent(now time.Time, chain kwchainsearch.Chain) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.ExpectedFirstEvent(now, chain)
}

// raceHedge sends a hedge and waits for its first event, unless the first attempt has it before.
func (g *Gateway) raceHedge(search context.Context, h *streamHedge, w *watchedStream, a silentAttempt, chain kwchainsearch.Chain) {
	q, first, size := a.req.r, chain.First(), a.req.size.TotalTokens
	// A hedge that is silent itself must not keep the stream from being moved for longer than another chain would be sought.
	search, cancel := context.WithTimeout(search, w.limits.firstEvent)
	defer cancel()
	wait := g.startFirstEventWait(first.Endpoint, time.Now())
	defer wait.end(false)
	c, err := g.upstreamPool.Get(search, first.Address, q.meta.ID, false)
	if err != nil || !g.activeStreams.recordHedged(search, w, chain) {
		if c != nil {
			c.Close()
		}
		g.scheduler.releaseUnsent(chain, size)
		return
	}
	stopClose := context.AfterFunc(search, c.Close)
	won := false
	defer func() {
		if !won {
			stopClose()
			c.Close()
			g.scheduler.release(chain, size)
		}
	}()
	g.recordHedgeSent(q, h.chain.First().Endpoint, first.Endpoint, kwevent.F("address", first.Address), kwevent.F("chain", formatChain(chain)),
		kwevent.F("after-ms", time.Since(h.began).Milliseconds()))
	opened, lost := g.openHedge(q, c, chain)
	if lost != nil {
		g.activeStreams.hedgeFailed(search, w, lost)
		return
	}
	opened.wait = wait
	wait.end(true)
	won = g.activeStreams.hedgeAnswered(search, w, chain, opened, stopClose)
}

// openHedge sends a hedge and returns it once its first event has come.
func (g *Gateway) openHedge(q *request, c *kwupstream.Conn, chain kwchainsearch.Chain) (*openedStream, *lostHedge) {
	first := chain.First()
	req := q.upstreamRequest(g.deps.Dialect, kwupstream.ForwardMeta{Endpoint: first.Endpoint, Chain: &chain, LastEventID: q.meta.LastEventID})
	if err := c.Send(req); err != nil {
		return nil, &lostHedge{chain: chain, err: err}
	}
	resp, meta, err := c.Receive(req, g.deps.Dialect)
	g.recordNotices(q.meta.ID, g.processesOf(q, chain)[0], first.Address, meta)
	if err != nil {
		return nil, &lostHedge{chain: chain, err: err}
	}
	if resp.StatusCode != http.StatusOK {
		err := kwcode.New(kwcode.StreamCut, "endpoint %s responded with status %d", first.Endpoint, resp.StatusCode)
		return nil, &lostHedge{chain: chain, err: err, notRun: meta.NotRun}
	}
	opened := &openedStream{conn: c, resp: resp, events: kwupstream.NewEventReader(resp.Body, q.meta.LastEventID, q.buffers)}
	if opened.first, err = opened.events.Next(); err != nil {
		return nil, &lostHedge{chain: chain, err: err}
	}
	return opened, nil
}

// endStreamHedge ends the hedge of an attempt that has received its first event or has ended, and adds what became of it to the state of
// the stream. If the attempt has failed, its hedge is awaited.
func (g *Gateway) endStreamHedge(s *streamState) {
	h := s.hedge
	if h == nil {
		return
	}
	s.hedge = nil
	q, w := s.q, s.watched
	close(h.stop)
	if !s.begun && (q.callerLeft() || !g.activeStreams.wasHedged(w)) {
		g.activeStreams.unwatch(q.meta.ID, w)
	}
	<-h.done
	if s.begun {
		g.hedger.RecordLatency(time.Now(), q.hedgeClass(), h.chain.First().Endpoint, q.firstEvent-h.began.Sub(q.arrived))
	}
	outcome, lost := g.activeStreams.hedgeOutcome(w)
	if q.hedged = outcome; outcome == hedgeNone {
		return
	}
	if outcome == hedgeWon {
		g.metrics.hedgesWon.Inc(1)
		return
	}
	q.sends++
	g.settleLostHedge(s, lost)
}

// settleLostHedge counts the hedge of a stream that has not won.
func (g *Gateway) settleLostHedge(s *streamState, lost *lostHedge) {
	q := s.q
	switch {
	case lost.err == nil:
		s.attempts.mayHaveRun++
		g.metrics.hedgesCancelled.Inc(1)
		for _, process := range g.processesOf(q, lost.chain) {
			g.partGuard.RecordAbandoned(time.Now(), process, q.digest)
		}
	case lost.notRun:
		s.attempts.notRun++
	default:
		s.attempts.mayHaveRun++
		excludeFaulty(s.attempts.exclude, lost.chain, "")
		g.deps.Events.Emit(kwevent.AttemptFailed, q.meta.ID, kwevent.F("chain", formatChain(lost.chain)), kwevent.F("error", lost.err.Error()),
			kwevent.F("begun", false))
		if connectionDropped(lost.err) {
			g.checkForCrash(q, g.processesOf(q, lost.chain)[0], lost.chain.First().Address, q.guardedParts())
		}
	}
}

// loseToHedge ends an attempt whose hedge has received its first event before. It says nothing against its chain.
func (g *Gateway) loseToHedge(s *streamState, chain kwchainsearch.Chain) attemptResult {
	s.attempts.mayHaveRun++
	s.attempts.lastErr = kwcode.New(kwcode.StreamCut, "chain %s: %v", formatChain(chain), errHedgeWon)
	excludeFaulty(s.attempts.exclude, chain, "")
	for _, process := range s.processes {
		g.partGuard.RecordAbandoned(time.Now(), process, s.q.digest)
	}
	g.metrics.hedgesCancelled.Inc(1)
	if s.hedge != nil {
		now := time.Now()
		g.hedger.RecordLatency(now, s.q.hedgeClass(), chain.First().Endpoint, now.Sub(s.hedge.began))
	}
	return resultBroken
}

// claimFirstEvent reports whether the events of an attempt may be relayed to the caller: its hedge has not won. The hedge is cancelled.
func (a *activeStreams) claimFirstEvent(w *watchedStream) bool {
	if !w.raced {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.opened != nil {
		return false
	}
	w.claimed = true
	w.endSearch()
	return true
}

// hedgeHasWon reports whether the hedge of an attempt has received the first event before it.
func (a *activeStreams) hedgeHasWon(w *watchedStream) bool {
	if w == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.opened != nil
}

// wasHedged reports whether the hedge of an attempt was sent.
func (a *activeStreams) wasHedged(w *watchedStream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.lost != nil
}

// recordHedged records that the hedge of an attempt is sent, unless its search has ended.
func (a *activeStreams) recordHedged(search context.Context, w *watchedStream, chain kwchainsearch.Chain) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if search.Err() != nil || w.claimed {
		return false
	}
	w.lost = &lostHedge{chain: chain}
	return true
}

// hedgeFailed records that a hedge has failed by itself, rather than by its cancellation.
func (a *activeStreams) hedgeFailed(search context.Context, w *watchedStream, lost *lostHedge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if search.Err() == nil {
		w.lost = lost
	}
}

// hedgeAnswered ends an attempt whose hedge has received its first event, unless it has itself. It reports whether the hedge has won.
func (a *activeStreams) hedgeAnswered(
	search context.Context, w *watchedStream, chain kwchainsearch.Chain, opened *openedStream, keepOpen func() bool,
) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if search.Err() != nil || w.claimed || !keepOpen() {
		return false
	}
	w.endSearch()
	w.replacement, w.opened = &chain, opened
	w.conn.Close()
	return true
}

// hedgeOutcome returns how the hedge of an attempt that has ended went.
func (a *activeStreams) hedgeOutcome(w *watchedStream) (hedgeOutcome, *lostHedge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case w.lost == nil:
		return hedgeNone, nil
	case w.opened != nil:
		return hedgeWon, nil
	case w.claimed:
		return firstWon, w.lost
	}
	return neitherWon, w.lost
}
