package kwdirectentry

import (
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwupstream"
)

// active knows the streams that wait for events, so that those held up by a lost endpoint move at once.
type active struct {
	mu      sync.Mutex
	streams map[kwid.RequestID]*watchedStream
}

// watchedStream is one attempt of a stream; its timer runs out when no event has come for a while.
type watchedStream struct {
	conn  *kwupstream.Conn
	chain kwchainsearch.Chain
	timer *time.Timer
	// patience is how long the stream may be silent until its chain is probed, then until its first endpoint is asked.
	patience patience
	// heard is when the last event came, in Unix nanoseconds.
	heard  atomic.Int64
	blamed kwid.EndpointID
}

// patience is how long a stream may be silent.
type patience struct {
	// probe is the silence after which the chain's endpoints are probed.
	probe time.Duration
	// ask is the silence after which its first endpoint is asked who holds it up.
	ask time.Duration
}

// silenceActions are what is done about a silent chain.
type silenceActions struct {
	probe, ask func(kwchainsearch.Chain)
}

// watch begins to watch an attempt: its chain is probed, and then its first endpoint is asked, again and again while it is
// silent.
func (a *active) watch(id kwid.RequestID, c *kwupstream.Conn, chain kwchainsearch.Chain, p patience, do silenceActions) *watchedStream {
	w := &watchedStream{conn: c, chain: chain, patience: p}
	w.heard.Store(time.Now().UnixNano())
	a.mu.Lock()
	defer a.mu.Unlock()
	w.timer = time.AfterFunc(p.probe, func() {
		do.probe(chain)
		next := askPeriod
		if silent := w.silence(); silent >= p.ask {
			do.ask(chain)
		} else {
			next = p.ask - silent
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.streams[id] == w {
			w.timer.Reset(next)
		}
	})
	if a.streams == nil {
		a.streams = make(map[kwid.RequestID]*watchedStream)
	}
	a.streams[id] = w
	return w
}

// progress notes an event.
func (w *watchedStream) progress(now time.Time) {
	w.heard.Store(now.UnixNano())
	w.timer.Reset(w.patience.probe)
}

func (w *watchedStream) silence() time.Duration {
	return time.Duration(time.Now().UnixNano() - w.heard.Load())
}

// leave ends the watch.
func (a *active) leave(id kwid.RequestID, w *watchedStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.timer.Stop()
	if a.streams[id] == w {
		delete(a.streams, id)
	}
}

// blamed returns the endpoint that was found to hold an attempt up, if any.
func (a *active) blamed(w *watchedStream) kwid.EndpointID {
	if w == nil {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return w.blamed
}

// breakOff ends the attempt of a request that is held up by an endpoint; its stream goes on elsewhere.
func (a *active) breakOff(id kwid.RequestID, at kwid.EndpointID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// A report lags: the request may have gone on over a chain without that endpoint since.
	if w, ok := a.streams[id]; ok && w.chain.Uses(at) {
		w.breakOff(at)
	}
}

// breakOff ends an attempt once, for the first endpoint that is found at fault; the caller holds the lock.
func (w *watchedStream) breakOff(at kwid.EndpointID) {
	if w.blamed == "" {
		w.blamed = at
		w.conn.Close()
	}
}

// breakOffAll ends the attempts whose chains use an endpoint and that have been silent for long enough to be probed, or
// all of them if the endpoint is known to be lost.
func (a *active) breakOffAll(at kwid.EndpointID, lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.streams {
		if w.chain.Uses(at) && (lost || w.silence() >= w.patience.probe) {
			w.breakOff(at)
		}
	}
}
