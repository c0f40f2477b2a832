package kwdirectentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// plainStream is an attempt at a service without an engine that is answered with a stream of events. It is closed when its context ends, until
// it is taken to be relayed.
type plainStream struct {
	endpoint kwmembership.Announcement
	opened   kwupstream.Opened
	events   *kwupstream.EventReader
	// first holds the first events until they are relayed.
	first []byte
	// finish ends the attempt once.
	finish  sync.Once
	end     func(answered bool, reportedInFlight int)
	unwatch func() bool
}

// relayable reports whether the events of a response may be passed on as they come.
func relayable(res kwupstream.Result) bool {
	return res.Err == nil && res.Response.StatusCode == http.StatusOK && kwupstream.IsEventStream(res.Response)
}

// openPlainStream awaits the first events of a stream. One that ends before them, by its length or chunks, is a whole response without a body.
func openPlainStream(
	ctx context.Context, endpoint kwmembership.Announcement, opened kwupstream.Opened, lastEventID string, buffers *kwbuffer.Account, end func(bool, int),
) unaryResult {
	s := &plainStream{endpoint: endpoint, opened: opened, events: kwupstream.NewEventReader(opened.Result.Response.Body, lastEventID, buffers), end: end}
	res := unaryResult{Result: opened.Result}
	var err error
	switch s.first, err = s.events.Next(); {
	case err == nil:
		res.stream = s
		s.unwatch = context.AfterFunc(ctx, s.abandon)
	case errors.Is(err, io.EOF):
		opened.Whole()
	default:
		res.Err = err
		opened.Detach()
		opened.Conn.Close()
	}
	return res
}

// take has the stream closed at the end of another context instead of that of its attempt. It returns false if it is closed already.
func (s *plainStream) take(ctx context.Context) bool {
	if !s.unwatch() || !s.opened.Detach() {
		s.abandon()
		return false
	}
	s.unwatch = context.AfterFunc(ctx, s.opened.Conn.Close)
	return true
}

// abandon ends a stream that is not relayed, or not to its end.
func (s *plainStream) abandon() {
	s.finish.Do(func() {
		s.opened.Conn.Close()
		s.end(false, -1)
	})
}

// complete ends a stream that was relayed to its end.
func (s *plainStream) complete() {
	if !s.unwatch() {
		s.abandon()
		return
	}
	s.finish.Do(func() {
		s.opened.Release()
		s.end(true, -1)
	})
}

// next returns the next events.
func (s *plainStream) next() ([]byte, error) {
	if first := s.first; first != nil {
		s.first = nil
		return first, nil
	}
	return s.events.Next()
}

// relayPlain passes the events of a stream on to the caller as they come. It returns false if the stream broke off.
func (g *Gateway) relayPlain(ctx context.Context, u *unaryState) (complete bool) {
	q, s := u.q, u.stream
	u.stream, u.attempts.response = nil, nil
	defer s.abandon()
	flusher := http.NewResponseController(q.w)
	eventsBefore := q.events
	for {
		chunk, err := s.next()
		if errors.Is(err, io.EOF) {
			s.complete()
			u.complete = true
			return true
		}
		if err != nil {
			g.recordBrokenPlainStream(ctx, u, s, err)
			return false
		}
		if !u.begun {
			u.begun = true
			q.firstEvent = time.Since(q.arrived)
			g.metrics.firstEvent.Update(q.firstEvent)
			copyHeaders(q.w, s.opened.Result.Response.Header)
			q.writeHead(http.StatusOK)
		}
		if _, err := q.w.Write(chunk); err != nil {
			g.abortUndelivered(q)
		}
		if err := flusher.Flush(); err != nil {
			g.abortUndelivered(q)
		}
		q.recordEvent(time.Now())
		u.lastEventID = s.events.LastID
		q.events = eventsBefore + s.events.Count
		g.metrics.eventWrites.Inc(1)
	}
}

// recordBrokenPlainStream records that a stream broke off after its first events.
func (g *Gateway) recordBrokenPlainStream(ctx context.Context, u *unaryState, s *plainStream, err error) {
	q := u.q
	if q.callerLeft() {
		g.abortCallerGone(q)
	}
	u.attempts.lastErr = kwcode.New(kwcode.StreamCut, "endpoint %s: %v", s.endpoint.ID, err)
	if ctx.Err() == nil {
		if connectionDropped(err) {
			g.checkForCrash(q, s.endpoint.Process(), s.endpoint.Address, nil)
		}
		g.eject(q.meta.ID, s.endpoint.ID, s.endpoint.Address, false, err.Error())
	}
	if q.route.Retryable() {
		q.broken = true
		q.resumptions++
		g.metrics.resumed.Inc(1)
	}
}

// finishPlainStream ends a stream of which the caller has received events. One that resumes after its last event is answered without any.
func (g *Gateway) finishPlainStream(u *unaryState) {
	q, last := u.q, u.attempts.response
	if u.complete || last != nil && relayable(*last) {
		g.metrics.served.Inc(1)
		g.metrics.longestPause.Update(q.longestPause)
		g.logEnd(kwevent.RequestAnswered, q, http.StatusOK, nil)
		return
	}
	u.attempts.recordStop(q)
	g.metrics.failed.Inc(1)
	g.logEnd(kwevent.RequestFailed, q, http.StatusOK, u.attempts.lastErr)
	panic(http.ErrAbortHandler)
}
