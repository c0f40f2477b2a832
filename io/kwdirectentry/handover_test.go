package kwdirectentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// TestHandOverOfCallerThatLeaves guards against a chain that stays reserved for a caller that leaves as its stream is handed over.
func TestHandOverOfCallerThatLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	model := serveSlowStream(t, new(atomic.Int64))
	g := newHandOverGateway(t, model)
	handedOver := make(chan struct{}, 1)
	g.deps.Events = kwevent.New(kwevent.Config{Node: "g", Clock: kwhlc.New(kwhlc.Config{}), MaxRecords: 16, Log: funcr.New(func(_, line string) {
		if strings.Contains(line, "stream-handed-over") {
			leave()
			// The entry sees that the connection has closed.
			time.Sleep(200 * time.Millisecond)
			handedOver <- struct{}{}
		}
	}, funcr.Options{Verbosity: 1})})
	address, _ := g.Addresses()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/notes/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "s")
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}()
	awaitTrue(t, "the stream has begun", func() bool { return g.metrics.eventWrites.Count() > 0 })
	now := time.Now()
	go g.drain(now, now.Add(handOverTestDrain), now.Add(handOverTestDrain+time.Second))
	<-handedOver
	awaitTrue(t, "the request ends", func() bool { return g.inFlight.Load() == 0 })
	if own := g.scheduler.ownLoads(); len(own) != 0 {
		t.Errorf("got loads %v after the caller has left, want none", own)
	}
}

// TestGrantOfCallerThatLeaves guards against a chain that stays reserved for a caller that leaves as it is granted.
func TestGrantOfCallerThatLeaves(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	ctx, leave := context.WithCancel(t.Context())
	leave()
	v := g.view.Load()
	q := &request{
		r: httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/notes/x", nil), view: v, arrived: time.Now(), service: "llm",
		route: v.index.Route("h", "/notes/x"),
	}
	s := &streamState{q: q, size: estimateSize(q), attempts: attemptState{exclude: make(endpointSet)}}
	func() {
		defer func() {
			if got := recover(); got != http.ErrAbortHandler {
				t.Errorf("got panic %v, want %v", got, http.ErrAbortHandler)
			}
		}()
		g.acquireStreamChain(t.Context(), s)
	}()
	if own := g.scheduler.ownLoads(); len(own) != 0 {
		t.Errorf("got loads %v after the caller has left, want none", own)
	}
}

// partDialect gives all prompts the same shared part.
type partDialect struct{ testDialect }

func (d partDialect) ReadRequest(h http.Header) kwupstream.RequestMeta {
	meta := d.testDialect.ReadRequest(h)
	meta.SharedParts = []kwid.PromptPartID{"part"}
	return meta
}

// handOverTestDrain is too short for a stream of serveSlowStream.
const handOverTestDrain = 2 * time.Second

// serveSlowStream runs a model server that takes 4 s for the first answer, and no time for those that follow.
func serveSlowStream(t *testing.T, arrivals *atomic.Int64) string {
	const interval = 20 * time.Millisecond
	return serveRaw(t, func(w io.Writer, id string) bool {
		n := arrivals.Add(1)
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		if n > 1 {
			writeEvent(w, 200)
			_, _ = io.WriteString(w, "0\r\n\r\n")
			return true
		}
		for event := 1; err == nil && event <= 200; event++ {
			time.Sleep(interval)
			_, err = fmt.Fprintf(w, "f\r\nid: %03d\ndata:\n\n\r\n", event)
		}
		return false
	})
}

// newHandOverGateway returns a gateway with two model servers that has learned how long answers take.
func newHandOverGateway(t *testing.T, model string) *Gateway {
	g := newTestGateway(t, model, "127.0.0.1:1")
	setModelServers(
		g, kwmembership.Announcement{ID: "m1", Address: model, Layers: kwid.LayerRange{To: 8}},
		kwmembership.Announcement{ID: "m2", Address: model, Layers: kwid.LayerRange{To: 8}},
	)
	for i := range 50 {
		g.scheduler.observe("llm", kwdispatch.Answer{EstimatedTokens: 200, Tokens: 150 + 2*i, ExpectedTokenTime: time.Millisecond, TokenTime: time.Millisecond})
	}
	return g
}

// newSlowStream returns a gateway that stops in handOverTestDrain, and a stream on a chain of it that will not have ended by then.
func newSlowStream(t *testing.T) (*Gateway, *streamState, kwchainsearch.Chain) {
	t.Helper()
	const events, interval = 20, 20 * time.Millisecond
	g := newHandOverGateway(t, "127.0.0.1:1")
	v := g.view.Load()
	now := time.Now()
	r := httptest.NewRequest(http.MethodPost, "http://h/notes/x", nil)
	q := &request{
		r: r, meta: testDialect{}.ReadRequest(r.Header), view: v, arrived: now.Add(-events * interval), service: "llm", route: v.index.Route("h", "/notes/x"),
		sends: 1, events: events, lastEventAt: now,
	}
	s := &streamState{
		q: q, size: estimateSize(q), attempts: attemptState{exclude: make(endpointSet)}, begun: true, lastEventID: "20", reads: events,
		attemptFirstEvent: now.Add(-(events - 1) * interval),
	}
	chain, _, err := g.scheduler.acquireChain(t.Context(), s.chainRequest(g))
	if err != nil {
		t.Fatal(err)
	}
	s.watched = &watchedStream{chain: chain}
	exit := now.Add(handOverTestDrain)
	g.drainEnd.Store(&exit)
	return g, s, chain
}

// TestSilenceIsNoSlowness guards against a hand-over of a stream whose chain was silent for once and is fast otherwise.
func TestSilenceIsNoSlowness(t *testing.T) {
	const events, interval, silence = 20, time.Millisecond, 600 * time.Millisecond
	g, s, chain := newSlowStream(t)
	q := s.q
	s.reads, q.events = 0, 0
	at := time.Now().Add(-silence - events*interval)
	for event := range events {
		if at = at.Add(interval); event == events/2 {
			at = at.Add(silence)
		}
		s.recordRead(at)
		q.recordEvent(at)
		s.reads++
		q.events++
	}
	if g.handOver(t.Context(), s, chain, 0) {
		t.Errorf("got a hand-over of a stream with events each %v but for a silence of %v, want none", interval, silence)
	}
}

// TestHandOverLimits checks which streams are not handed over although they may not end in time.
func TestHandOverLimits(t *testing.T) {
	cases := []struct {
		name string
		set  func(g *Gateway, s *streamState)
		want bool
	}{
		{"slow stream", func(*Gateway, *streamState) {}, true},
		{"all attempts sent", func(_ *Gateway, s *streamState) { s.q.sends = s.q.route.MaxAttempts + extraAttempts }, false},
		{"another chain granted", func(_ *Gateway, s *streamState) { s.watched.replacement = &kwchainsearch.Chain{} }, false},
	}
	for _, c := range cases {
		g, s, chain := newSlowStream(t)
		c.set(g, s)
		if got := g.handOver(t.Context(), s, chain, 0); got != c.want {
			t.Errorf("%s: got hand-over %t, want %t", c.name, got, c.want)
		}
		if got := s.attempts.exclude[chain.First().Endpoint]; got != c.want {
			t.Errorf("%s: got the first endpoint excluded %t, want %t", c.name, got, c.want)
		}
	}
}

// TestHandOverReleasesWhatItReserved hands over a stream that is longer than estimated, so that it needs more room on the next chain
// than on the present one.
func TestHandOverReleasesWhatItReserved(t *testing.T) {
	g, s, chain := newSlowStream(t)
	id := chain.First().Endpoint
	want := g.scheduler.dispatcher.Loads().Own()[id]
	// Another request beside the stream.
	g.scheduler.dispatcher.Loads().Reserve(chain, s.size.TotalTokens)
	s.q.events = 2 * s.q.answerTokens()
	s.attemptFirstEvent = time.Now().Add(-time.Minute)
	if !g.handOver(t.Context(), s, chain, 0) {
		t.Fatal("got no hand-over, want one")
	}
	g.scheduler.release(chain, s.size.TotalTokens)
	g.releaseReserved(s)
	own := g.scheduler.dispatcher.Loads().Own()
	if got := own[id]; got != want || len(own) != 1 {
		t.Errorf("got load %v of the first endpoint of %d, want %v of 1", got, len(own), want)
	}
}

// TestStoppingEntryHandsOverSlowStream has a stream run so slowly that the drain would end it. It must go on on another chain and
// reach its caller whole, if the route allows that and the retry budget has room.
func TestStoppingEntryHandsOverSlowStream(t *testing.T) {
	cases := []struct {
		name         string
		prepare      func(g *Gateway)
		wantArrivals int64
		wantWhole    bool
	}{
		{"resumable route", func(*Gateway) {}, 2, true},
		{"route that may not be resumed", func(g *Gateway) { g.view.Load().index.Route("h", "/notes/x").Resumable = false }, 1, false},
		{"one attempt allowed", func(g *Gateway) { g.view.Load().index.Route("h", "/notes/x").MaxAttempts = 1 }, 1, false},
		{"no retry budget", func(g *Gateway) {
			for g.retryBudgets.ForService("llm").TrySpend(time.Now()) {
			}
		}, 1, false},
		{"part of the prompt is quarantined meanwhile", func(g *Gateway) {
			g.deps.Dialect = partDialect{}
			g.goBackground(func() {
				for g.metrics.eventWrites.Count() == 0 {
					time.Sleep(time.Millisecond)
				}
				g.partGuard.Apply(time.Now(), nil, []kwquarantine.Quarantine{{Part: "part", Remaining: time.Minute}}, false)
			})
		}, 1, false},
		{"request is held meanwhile", func(g *Gateway) {
			g.goBackground(func() {
				for g.metrics.eventWrites.Count() == 0 {
					time.Sleep(time.Millisecond)
				}
				hold(g, "/notes/x", 20*time.Second)
			})
		}, 1, false},
	}
	for _, c := range cases {
		var arrivals atomic.Int64
		g := newHandOverGateway(t, serveSlowStream(t, &arrivals))
		c.prepare(g)
		response := postInBackground(t, g, "/notes/x", "s")
		awaitTrue(t, "the stream has begun", func() bool { return g.metrics.eventWrites.Count() > 0 })
		now := time.Now()
		go g.drain(now, now.Add(handOverTestDrain), now.Add(handOverTestDrain+time.Second))
		got := <-response
		if whole := strings.HasSuffix(got.body, "id: 200\ndata: x\n\n"); got.status != http.StatusOK || whole != c.wantWhole || arrivals.Load() != c.wantArrivals {
			t.Errorf("%s: got status %d, a whole stream %v and %d arrivals, want 200, %v and %d",
				c.name, got.status, whole, arrivals.Load(), c.wantWhole, c.wantArrivals)
		}
		awaitTrue(t, "the request ends", func() bool { return g.inFlight.Load() == 0 })
		end := fmt.Sprint(lastEnd(t, g, "s"))
		if wantName := map[bool]string{true: "request-answered", false: "request-failed"}[c.wantWhole]; !strings.Contains(end, wantName) {
			t.Errorf("%s: got log line %s, want %s", c.name, end, wantName)
		}
		if own := g.scheduler.ownLoads(); len(own) != 0 {
			t.Errorf("%s: got loads %v after the end, want none", c.name, own)
		}
	}
}

// TestStoppingEntryMovesStreamByWhatIsLeft has a stream fall silent when the rest of its answer fits into the drain, but the whole does
// not.
func TestStoppingEntryMovesStreamByWhatIsLeft(t *testing.T) {
	cases := []struct {
		name string
		// before and events are how many events came before the attempt, and until the silence.
		before, events int
		want           bool
	}{
		{"nothing came", 0, 0, false},
		{"most came before the attempt", 190, 190, true},
		{"most came in the attempt", 0, 190, true},
		{"some came", 0, 20, false},
		{"more came than estimated", 0, 210, true},
	}
	for _, c := range cases {
		g, s, chain := newSlowStream(t)
		s.q.events = c.before
		s.begun = c.before > 0
		w := &watchedStream{chain: chain}
		w.events.Store(int64(c.events))
		w.begun.Store(c.events > c.before)
		exit := time.Now().Add(100 * time.Millisecond)
		g.drainEnd.Store(&exit)
		if _, got := g.acquireReplacement(t.Context(), w, s.silentAttempt(g)); got != c.want {
			t.Errorf("%s: got another chain %t, want %t", c.name, got, c.want)
		}
	}
}
