package kwdirectentry

import (
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
	// lastEventNanos is when the last event arrived, in Unix nanoseconds.
	lastEventNanos atomic.Int64
	// blamed is the endpoint that was found to stall the attempt, guarded by the lock of activeStreams.
	blamed kwid.EndpointID
}

// silenceLimits are the times without an event after which a stream is checked.
type silenceLimits struct {
	// probe is the silence after which the endpoints of the chain are probed.
	probe time.Duration
	// queryStalls is the silence after which the first endpoint is asked which endpoint stalls the chain.
	queryStalls time.Duration
}

// silenceActions are the checks of a silent chain.
type silenceActions struct {
	probe, queryStalls func(kwchainsearch.Chain)
}

// watch starts to watch an attempt. While it is silent, its chain is probed and then also its first endpoint queried
// for stalls, repeatedly.
func (a *activeStreams) watch(id kwid.RequestID, c *kwupstream.Conn, chain kwchainsearch.Chain, limits silenceLimits, do silenceActions) *watchedStream {
	w := &watchedStream{conn: c, chain: chain, limits: limits}
	w.lastEventNanos.Store(time.Now().UnixNano())
	a.mu.Lock()
	defer a.mu.Unlock()
	w.timer = time.AfterFunc(limits.probe, func() {
		do.probe(chain)
		delay := faultCheckInterval
		if silent := w.silence(); silent >= limits.queryStalls {
			do.queryStalls(chain)
		} else {
			delay = limits.queryStalls - silent
		}
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

// eventReceived records an event and restarts the timer.
func (w *watchedStream) eventReceived(now time.Time) {
	w.lastEventNanos.Store(now.UnixNano())
	w.timer.Reset(w.limits.probe)
}

func (w *watchedStream) silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - w.lastEventNanos.Load())
}

// unwatch stops watching an attempt.
func (a *activeStreams) unwatch(id kwid.RequestID, w *watchedStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.timer.Stop()
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

// abort ends the attempt of a request that is stalled by an endpoint; its stream resumes on another chain.
func (a *activeStreams) abort(id kwid.RequestID, endpoint kwid.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A stall report lags: the request may have moved to a chain without that endpoint since.
	if w, ok := a.streams[id]; ok && w.chain.Uses(endpoint) {
		w.abort(endpoint)
	}
}

// abort closes the connection of an attempt and blames the first endpoint that is found faulty; the caller holds the
// lock.
func (w *watchedStream) abort(endpoint kwid.EndpointID) {
	if w.blamed == "" {
		w.blamed = endpoint
		w.conn.Close()
	}
}

// abortAll ends the attempts whose chains use an endpoint and that have been silent for long enough to be probed, or
// all of them if the endpoint is known to be lost.
func (a *activeStreams) abortAll(endpoint kwid.EndpointID, lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.streams {
		if w.chain.Uses(endpoint) && (lost || w.silence() >= w.limits.probe) {
			w.abort(endpoint)
		}
	}
}
