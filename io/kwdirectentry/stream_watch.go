package kwdirectentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwupstream"
)

// activeStreams tracks the streams that wait for events, so that those stalled by a lost endpoint are moved at once.
type activeStreams struct {
	mu      sync.Mutex
	streams map[kwid.RequestID]*watchedStream
}

// watchedStream is one attempt of a stream; its timer fires when no event has arrived for a while.
type watchedStream struct {
	conn   *kwupstream.Conn
	chain  kwchainsearch.Chain
	timer  *time.Timer
	limits silenceLimits
	do     silenceActions
	// lastEventNanos is when the last event arrived, in Unix nanoseconds; begun means that one has.
	lastEventNanos atomic.Int64
	begun          atomic.Bool
	// events is how many events the caller has received, over all attempts.
	events atomic.Int64
	// disturbed means that blamed or cancelSearch is set.
	disturbed atomic.Bool
	// The lock of activeStreams guards the fields below. blamed is the endpoint that was found to stall the attempt, aborted means
	// that it is known to be lost, and cancelSearch ends a search for another chain.
	blamed       kwid.EndpointID
	aborted      bool
	cancelSearch context.CancelFunc
	// replacement is the chain that was granted for the next attempt before this one was given up.
	replacement *kwchainsearch.Chain
	// opened is the attempt on the replacement if it is a hedge, which has won the race for the first event. claimed means that this
	// attempt has won it, and lost is what became of the hedge otherwise, nil if none was sent.
	opened  *openedStream
	claimed bool
	lost    *lostHedge
	// raced means that the attempt may have a hedge; only the goroutine of the request uses it.
	raced bool
}

// silenceLimits are the times without an event after which a stream is checked.
type silenceLimits struct {
	// probe is the silence after which the endpoints of the chain are probed.
	probe time.Duration
	// queryStalls is the silence after which the first endpoint is asked which endpoint stalls the chain.
	queryStalls time.Duration
	// firstEvent and eventGap are the silences before the first event and later after which another chain is sought.
	firstEvent, eventGap time.Duration
}

// silenceActions are what is done about a silent chain.
type silenceActions struct {
	probe, queryStalls func(kwchainsearch.Chain)
	// replace seeks another chain for the attempt; it returns at once.
	replace func(*watchedStream)
	// firstEventLate is called if the first event takes longer than it may.
	firstEventLate func()
}

// watch starts to watch an attempt. While it is silent, its chain is probed, then also its first endpoint queried for stalls, and at
// last another chain sought, repeatedly.
func (a *activeStreams) watch(id kwid.RequestID, c *kwupstream.Conn, chain kwchainsearch.Chain, limits silenceLimits, do silenceActions) *watchedStream {
	w := &watchedStream{conn: c, chain: chain, limits: limits, do: do}
	w.lastEventNanos.Store(time.Now().UnixNano())
	a.mu.Lock()
	defer a.mu.Unlock()
	w.timer = time.AfterFunc(limits.probe, func() {
		delay := w.check()
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.streams[id] == w {
			w.timer.Reset(delay)
		}
	})
	if a.streams == nil {
		a.streams = make(map[kwid.RequestID]*watchedStream)
	}
	a.streams[id] = w
	return w
}

// check takes the actions that the silence calls for, and returns the time until the next check.
func (w *watchedStream) check() time.Duration {
	delay := faultCheckInterval
	w.do.probe(w.chain)
	if silent := w.silence(); silent >= w.limits.queryStalls {
		w.do.queryStalls(w.chain)
	} else {
		delay = w.limits.queryStalls - silent
	}
	silent, patience := w.silence(), w.patience()
	if silent >= patience {
		if !w.begun.Load() {
			w.do.firstEventLate()
		}
		w.do.replace(w)
		return min(delay, faultCheckInterval)
	}
	return min(delay, patience-silent)
}

// patience returns the silence after which another chain is sought.
func (w *watchedStream) patience() time.Duration {
	if w.begun.Load() {
		return w.limits.eventGap
	}
	return w.limits.firstEvent
}

// eventReceived records an event and restarts the timer. The chain is not silent any more: no other one is sought, and no endpoint is
// blamed.
func (a *activeStreams) eventReceived(w *watchedStream, now time.Time) {
	w.lastEventNanos.Store(now.UnixNano())
	w.begun.Store(true)
	w.timer.Reset(w.limits.probe)
	if !w.disturbed.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w.endSearch()
	if !w.aborted && w.replacement == nil {
		w.blamed = ""
		w.disturbed.Store(false)
	}
}

func (w *watchedStream) silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - w.lastEventNanos.Load())
}

// beginSearch records that another chain is sought until the returned context ends, or returns false if one is sought already or the
// attempt has ended.
func (a *activeStreams) beginSearch(ctx context.Context, id kwid.RequestID, w *watchedStream) (context.Context, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams[id] != w || w.cancelSearch != nil || w.replacement != nil {
		return nil, false
	}
	ctx, w.cancelSearch = context.WithCancel(ctx)
	w.disturbed.Store(true)
	return ctx, true
}

// endSearch ends the search for another chain, if there is one; the caller holds the lock.
func (w *watchedStream) endSearch() {
	if w.cancelSearch != nil {
		w.cancelSearch()
		w.cancelSearch = nil
	}
}

// searchFailed records that a search has found no chain; a later check begins another one.
func (a *activeStreams) searchFailed(search context.Context, w *watchedStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A search that has been ended may have been followed by another one.
	if search.Err() == nil {
		w.endSearch()
	}
}

// replace ends an attempt for which another chain has been granted, unless its search has ended since. It reports whether the chain
// will be used.
func (a *activeStreams) replace(search context.Context, w *watchedStream, chain kwchainsearch.Chain) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if search.Err() != nil {
		return false
	}
	w.endSearch()
	w.replacement = &chain
	w.conn.Close()
	return true
}

// unwatch stops watching an attempt.
func (a *activeStreams) unwatch(id kwid.RequestID, w *watchedStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.timer.Stop()
	w.endSearch()
	if a.streams[id] == w {
		delete(a.streams, id)
	}
}

// blamed returns the endpoint that was found to stall an attempt, if any.
func (a *activeStreams) blamed(w *watchedStream) kwid.EndpointID {
	if w == nil {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.blamed
}

// replaced reports whether another chain has been granted for the next attempt.
func (a *activeStreams) replaced(w *watchedStream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.replacement != nil
}

// takeReplacement returns the chain that has been granted for the next attempt, nil if there is none.
func (a *activeStreams) takeReplacement(w *watchedStream) (*kwchainsearch.Chain, *openedStream) {
	if w == nil {
		return nil, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	chain, opened := w.replacement, w.opened
	w.replacement = nil
	return chain, opened
}

// suspect seeks another chain for the request that an endpoint is said to stall. The endpoint may be silent and go on, so the attempt
// is not ended before.
func (a *activeStreams) suspect(id kwid.RequestID, endpoint kwid.EndpointID) {
	a.mu.Lock()
	w, ok := a.streams[id]
	// A stall report lags: the request may have moved to a chain without that endpoint since.
	ok = ok && w.chain.Uses(endpoint)
	if ok {
		w.blame(endpoint)
	}
	a.mu.Unlock()
	if ok {
		w.do.replace(w)
	}
}

// blame records the first endpoint that is found faulty; the caller holds the lock.
func (w *watchedStream) blame(endpoint kwid.EndpointID) {
	w.disturbed.Store(true)
	if w.blamed == "" {
		w.blamed = endpoint
	}
}

// abortAll ends the attempts whose chains use a lost endpoint; their streams resume on other chains.
func (a *activeStreams) abortAll(endpoint kwid.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.streams {
		if w.chain.Uses(endpoint) && !w.aborted {
			w.aborted, w.blamed = true, endpoint
			w.disturbed.Store(true)
			w.conn.Close()
		}
	}
}

// suspectAll seeks other chains for the attempts whose chains use an endpoint and that have been silent for long enough to be
// probed.
func (a *activeStreams) suspectAll(endpoint kwid.EndpointID) {
	a.mu.Lock()
	var silent []*watchedStream
	for _, w := range a.streams {
		if w.chain.Uses(endpoint) && w.silence() >= w.limits.probe {
			w.blame(endpoint)
			silent = append(silent, w)
		}
	}
	a.mu.Unlock()
	for _, w := range silent {
		w.do.replace(w)
	}
}
