package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwhedge"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// allowHedges has a gateway hedge the requests of a route after a delay.
func allowHedges(g *Gateway, service kwid.ServiceName, route string, delay time.Duration) {
	g.hedger.SetShare(1)
	for range kwhedge.DefaultConfig().MinSamples {
		g.hedger.RecordLatency(time.Now(), kwhedge.Class{Service: service, Route: route}, "other", delay)
	}
	g.hedger.RecordRequest(time.Now(), service)
	g.hedger.RecordRequest(time.Now(), service)
}

// hedgeServer is a server of records that answers, or fails, once it is told to.
type hedgeServer struct {
	address              string
	arrivals, cancelled  atomic.Int32
	answer, fail, refuse chan struct{}
}

// hedgeEvents is the answer to a stream.
const hedgeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// newHedgeServer runs a server. One that is deaf does not notice that its request was cancelled.
func newHedgeServer(t *testing.T, deaf bool) *hedgeServer {
	s := &hedgeServer{answer: make(chan struct{}), fail: make(chan struct{}), refuse: make(chan struct{})}
	s.address = startModelServer(t, func(w http.ResponseWriter, r *http.Request) {
		// The body must be read for the server to notice that its caller has left.
		_, _ = io.Copy(io.Discard, r.Body)
		s.arrivals.Add(1)
		cancelled := r.Context().Done()
		if deaf {
			cancelled = nil
		}
		select {
		case <-cancelled:
			s.cancelled.Add(1)
		case <-s.fail:
			panic(http.ErrAbortHandler)
		case <-s.refuse:
			w.Header().Set("Id", r.Header.Get("Id"))
			w.WriteHeader(http.StatusInternalServerError)
		case <-s.answer:
			w.Header().Set("Id", r.Header.Get("Id"))
			answer := "ok"
			if strings.HasPrefix(r.URL.Path, "/notes/") {
				answer = hedgeEvents
			}
			_, _ = io.WriteString(w, answer)
		case <-t.Context().Done():
		}
	})
	return s
}

// TestHedgedCall checks how a call with two attempts in progress ends, and that nothing stays reserved for the one that lost.
func TestHedgedCall(t *testing.T) {
	cases := []struct {
		name string
		// deaf means that the first server does not notice a cancelled request; end is called once both have one.
		deaf      bool
		end       func(first, hedge *hedgeServer)
		status    int
		won       hedgeOutcome
		cancelled int64
	}{
		{"hedge first", false, func(_, hedge *hedgeServer) { close(hedge.answer) }, 200, hedgeWon, 1},
		{"first one first", false, func(first, _ *hedgeServer) { close(first.answer) }, 200, firstWon, 1},
		{"the cancel is lost, and the loser answers late", true, func(first, hedge *hedgeServer) {
			close(hedge.answer)
			time.AfterFunc(100*time.Millisecond, func() { close(first.answer) })
		}, 200, hedgeWon, 1},
		{"the first one fails", false, func(first, hedge *hedgeServer) {
			close(first.fail)
			time.AfterFunc(100*time.Millisecond, func() { close(hedge.answer) })
		}, 200, hedgeWon, 0},
		{"the first one has an error", false, func(first, hedge *hedgeServer) {
			close(first.refuse)
			time.AfterFunc(100*time.Millisecond, func() { close(hedge.answer) })
		}, 200, hedgeWon, 0},
		{"the hedge has an error", false, func(first, hedge *hedgeServer) {
			close(hedge.refuse)
			time.AfterFunc(100*time.Millisecond, func() { close(first.answer) })
		}, 200, firstWon, 0},
		{"the hedge fails", false, func(first, hedge *hedgeServer) {
			close(hedge.fail)
			time.AfterFunc(100*time.Millisecond, func() { close(first.answer) })
		}, 200, firstWon, 0},
		{"both fail", false, func(first, hedge *hedgeServer) { close(first.fail); close(hedge.fail) }, 502, neitherWon, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, hedge := newHedgeServer(t, c.deaf), newHedgeServer(t, false)
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			setServers(g, nil, []string{first.address, hedge.address})
			preferFirst(g)
			allowHedges(g, "records", "/lookups/", 5*time.Millisecond)
			response := postInBackground(t, g, "/lookups/x", "q")
			awaitTrue(t, "the hedge arrives", func() bool { return hedge.arrivals.Load() == 1 })
			c.end(first, hedge)
			if got := <-response; got.status != c.status {
				t.Errorf("got %d %q, want %d", got.status, got.body, c.status)
			}
			awaitTrue(t, "nothing is in flight", func() bool {
				g.scheduler.mu.Lock()
				defer g.scheduler.mu.Unlock()
				return len(g.scheduler.inFlight) == 0
			})
			awaitTrue(t, "the end is logged", func() bool { return lastEnd(t, g, "q").Name != "" })
			end := lastEnd(t, g, "q").Fields
			if !slices.Contains(end, kwevent.F("won", string(c.won))) || countEvents(g, "request-hedged") != 1 {
				t.Errorf("got end %v and %d lines on hedges, want won=%s and 1", end, countEvents(g, "request-hedged"), c.won)
			}
			m := g.metrics
			won := int64(0)
			if c.won == hedgeWon {
				won = 1
			}
			if m.hedgesSent.Count() != 1 || m.hedgesWon.Count() != won || m.hedgesCancelled.Count() != c.cancelled || m.hedged.Count() != 0 {
				t.Errorf("got %d hedges sent, %d won, %d cancelled and %d rescues, want 1, %d, %d and 0", m.hedgesSent.Count(), m.hedgesWon.Count(),
					m.hedgesCancelled.Count(), m.hedged.Count(), won, c.cancelled)
			}
			if c.cancelled > 0 && !c.deaf {
				awaitTrue(t, "the server of the loser notices", func() bool { return first.cancelled.Load()+hedge.cancelled.Load() == 1 })
			}
			if got := countEvents(g, "endpoint-ejected"); c.cancelled > 0 && got != 0 {
				t.Errorf("got %d endpoints ejected, want none", got)
			}
		})
	}
}

// TestHedgeHeldBack guards against hedges that take capacity that others wait for, or that endanger servers.
func TestHedgeHeldBack(t *testing.T) {
	// hedgeDelay leaves time to set what holds the hedge back.
	const hedgeDelay = 800 * time.Millisecond
	cases := []struct {
		name string
		want kwhedge.Reason
		// set is called once the first server has the request.
		set func(g *Gateway)
	}{
		{"the entry stops between the two", kwhedge.Stopping, func(g *Gateway) {
			now := time.Now()
			go g.drain(now, now.Add(time.Minute), now.Add(time.Minute))
		}},
		{"a call waits", kwhedge.Queued, func(g *Gateway) {
			g.scheduler.mu.Lock()
			defer g.scheduler.mu.Unlock()
			g.scheduler.callQueue("records").Join(time.Now(), kwqueue.Place{}, time.Minute, kwdispatch.Turns{Wait: time.Second, Rate: 1})
		}},
		{"an endpoint has a limit", kwhedge.Limited, func(g *Gateway) {
			g.scheduler.limits.Observe(time.Now(), kwmembership.Process{Endpoint: "r1"}, kwendpointlimit.Notice{Kind: kwendpointlimit.Limited, Rate: 1000})
		}},
		{"an endpoint pauses", kwhedge.Limited, func(g *Gateway) {
			g.scheduler.pauses.Record(time.Now(), kwmembership.Process{Endpoint: "r1"}, time.Minute)
		}},
		{"the request is held", kwhedge.Suspect, func(g *Gateway) { hold(g, "/lookups/x", time.Minute) }},
		{"the other endpoint is as slow", kwhedge.NoEndpoint, func(g *Gateway) {
			for range 5 {
				g.hedger.RecordLatency(time.Now(), kwhedge.Class{Service: "records", Route: "/lookups/"}, "r1", 2*hedgeDelay)
			}
		}},
		{"a smaller limit", kwhedge.ShareSpent, func(g *Gateway) { g.hedger.SetShare(0.01) }},
		{"off", kwhedge.ShareSpent, func(g *Gateway) { g.hedger.SetShare(0) }},
		{"no retry budget", kwhedge.RetryBudgetSpent, func(g *Gateway) {
			for g.retryBudgets.ForService("records").TrySpend(time.Now()) {
			}
		}},
		{"only one attempt allowed", kwhedge.NotRepeatable, nil},
		{"may run once", kwhedge.NotHeldBack, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, other := newHedgeServer(t, false), newHedgeServer(t, false)
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			setServers(g, nil, []string{first.address, other.address})
			if c.want == kwhedge.NotRepeatable {
				setRoutes(g, func(r *kwdeclaration.Route) { r.MaxAttempts = 1 })
			}
			preferFirst(g)
			path := "/lookups/"
			if c.want == kwhedge.NotHeldBack {
				path = "/alerts/"
			}
			allowHedges(g, "records", path, hedgeDelay)
			response := postInBackground(t, g, path+"x", "q")
			awaitTrue(t, "the request arrives", func() bool { return first.arrivals.Load() == 1 })
			if c.set != nil {
				c.set(g)
			}
			if c.want == kwhedge.NotHeldBack {
				time.Sleep(2 * hedgeDelay)
			} else {
				awaitTrue(t, "the hedge is held back", func() bool { return g.metrics.hedgesHeld[c.want].Count() == 1 })
			}
			close(first.answer)
			if got := <-response; got.status != http.StatusOK || other.arrivals.Load() != 0 || g.metrics.hedgesSent.Count() != 0 {
				t.Errorf("got %d %q and %d requests at the other server, want 200 and none", got.status, got.body, other.arrivals.Load())
			}
		})
	}
}

// TestHedgeShareOfDeclaration guards against a limit that needs a restart, and against a flag that overrides the declaration.
func TestHedgeShareOfDeclaration(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.cfg.HedgeShare = 0.5
	shares := []*float64{nil, new(float64), nil}
	*shares[1] = 0
	g.deps.Decoder = shareDecoder(shares)
	leader := &fakeLeader{}
	for i := range shares {
		content, err := kwdirectproto.Compress(fmt.Append(nil, i))
		if err != nil {
			t.Fatal(err)
		}
		leader.script = append(leader.script, kwdirectproto.View{
			Declaration: &kwdirectproto.CompressedDeclaration{Number: kwdeclaration.Number(10 + i), Content: content},
		})
	}
	control, err := kwtcprpc.Listen(kwtcprpc.ServerConfig{Address: "127.0.0.1:0", Handlers: map[kwtcprpc.Kind]kwtcprpc.Handler{kwdirectproto.KindWatch: leader.handleWatch}})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = control.Serve() }()
	t.Cleanup(control.Close)
	g.leader.SetSeeds([]string{control.Address()})
	for i, want := range []bool{true, false, true} {
		if err := g.fetchView(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := g.hedger.On(); got != want {
			t.Errorf("declaration %d: got hedges %t, want %t", i, got, want)
		}
	}
}

// shareDecoder decodes the index of one of its limits.
type shareDecoder []*float64

func (d shareDecoder) Decode(content []byte) (*kwdeclaration.Declaration, error) {
	i := slices.Index([]string{"0", "1", "2"}, string(content))
	return &kwdeclaration.Declaration{Number: kwdeclaration.Number(10 + i), Limits: kwdeclaration.Limits{HedgeShare: d[i]}}, nil
}

// TestHedgedStream checks how a stream with two attempts in progress ends, that the caller gets each event once, and that nothing stays
// reserved for the attempt that lost.
func TestHedgedStream(t *testing.T) {
	cases := []struct {
		name      string
		deaf      bool
		end       func(first, hedge *hedgeServer)
		status    int
		won       hedgeOutcome
		cancelled int64
	}{
		{"hedge first", false, func(_, hedge *hedgeServer) { close(hedge.answer) }, 200, hedgeWon, 1},
		{"first one first", false, func(first, _ *hedgeServer) { close(first.answer) }, 200, firstWon, 1},
		{"both at once", true, func(first, hedge *hedgeServer) { close(first.answer); close(hedge.answer) }, 200, "", 1},
		{"the cancel is lost, and the loser answers late", true, func(first, hedge *hedgeServer) {
			close(hedge.answer)
			time.AfterFunc(100*time.Millisecond, func() { close(first.answer) })
		}, 200, hedgeWon, 1},
		{"the first one fails", false, func(first, hedge *hedgeServer) {
			close(first.fail)
			time.AfterFunc(100*time.Millisecond, func() { close(hedge.answer) })
		}, 200, hedgeWon, 0},
		{"the first one has an error", false, func(first, hedge *hedgeServer) {
			close(first.refuse)
			time.AfterFunc(100*time.Millisecond, func() { close(hedge.answer) })
		}, 200, hedgeWon, 0},
		{"the hedge has an error", false, func(first, hedge *hedgeServer) {
			close(hedge.refuse)
			time.AfterFunc(100*time.Millisecond, func() { close(first.answer) })
		}, 200, firstWon, 0},
		{"the hedge fails", false, func(first, hedge *hedgeServer) {
			close(hedge.fail)
			time.AfterFunc(100*time.Millisecond, func() { close(first.answer) })
		}, 200, firstWon, 0},
		{"both fail", false, func(first, hedge *hedgeServer) { close(first.fail); close(hedge.fail) }, 502, neitherWon, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			servers := [2]*hedgeServer{newHedgeServer(t, c.deaf), newHedgeServer(t, c.deaf)}
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			setServers(g, []string{servers[0].address, servers[1].address}, nil)
			setRoutes(g, func(r *kwdeclaration.Route) { r.MaxAttempts = 3 })
			allowHedges(g, "llm", "/notes/", 100*time.Millisecond)
			response := postInBackground(t, g, "/notes/x", "q")
			arrived := func(s *hedgeServer) bool { return s.arrivals.Load() == 1 }
			awaitTrue(t, "the request arrives", func() bool { return arrived(servers[0]) || arrived(servers[1]) })
			first, hedge := servers[0], servers[1]
			if arrived(hedge) {
				first, hedge = hedge, first
			}
			awaitTrue(t, "the hedge arrives", func() bool { return arrived(hedge) })
			c.end(first, hedge)
			got := <-response
			if got.status != c.status || c.status == 200 && got.body != hedgeEvents {
				t.Errorf("got %d %q, want %d %q", got.status, got.body, c.status, hedgeEvents)
			}
			awaitTrue(t, "the end is logged", func() bool { return lastEnd(t, g, "q").Name != "" })
			end := lastEnd(t, g, "q").Fields
			if c.won != "" && !slices.Contains(end, kwevent.F("won", string(c.won))) || !slices.Contains(end, kwevent.F("sends", 2)) {
				t.Errorf("got end %v, want won=%s and 2 sends", end, c.won)
			}
			awaitTrue(t, "the loser is cancelled", func() bool { return g.metrics.hedgesCancelled.Count() == c.cancelled })
			if c.cancelled > 0 && !c.deaf {
				awaitTrue(t, "the server of the loser notices", func() bool { return first.cancelled.Load()+hedge.cancelled.Load() == 1 })
			}
			if m := g.metrics; m.hedgesSent.Count() != 1 || (m.hedgesWon.Count() == 1) != (c.won == hedgeWon) && c.won != "" {
				t.Errorf("got %d hedges sent and %d won", m.hedgesSent.Count(), m.hedgesWon.Count())
			}
			checkNothingReserved(t, g)
		})
	}
}

// TestStreamHedgeHeldBack guards against hedges of streams that use up the attempt to resume them, or that a stopping entry sends.
func TestStreamHedgeHeldBack(t *testing.T) {
	for _, want := range []kwhedge.Reason{kwhedge.NotRepeatable, kwhedge.Stopping, kwhedge.NoEndpoint, kwhedge.ShareSpent} {
		t.Run(string(want), func(t *testing.T) {
			t.Parallel()
			servers := []*hedgeServer{newHedgeServer(t, false), newHedgeServer(t, false)}
			addresses := []string{servers[0].address, servers[1].address}
			if want == kwhedge.NoEndpoint {
				addresses = addresses[:1]
			}
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			setServers(g, addresses, nil)
			if want != kwhedge.NotRepeatable {
				setRoutes(g, func(r *kwdeclaration.Route) { r.MaxAttempts = 3 })
			}
			// The state must change before the hedge is due, also where this test waits for processor time; a hedge is saved for a second.
			delay := 200 * time.Millisecond
			if want == kwhedge.Stopping || want == kwhedge.ShareSpent {
				delay = 800 * time.Millisecond
			}
			allowHedges(g, "llm", "/notes/", delay)
			response := postInBackground(t, g, "/notes/x", "q")
			arrivals := func() int32 { return servers[0].arrivals.Load() + servers[1].arrivals.Load() }
			awaitTrue(t, "the request arrives", func() bool { return arrivals() == 1 })
			switch want {
			case kwhedge.Stopping:
				now := time.Now()
				go g.drain(now, now.Add(time.Minute), now.Add(time.Minute))
			case kwhedge.ShareSpent:
				g.hedger.SetShare(0)
			}
			awaitTrue(t, "the hedge is held back", func() bool { return g.metrics.hedgesHeld[want].Count() == 1 })
			close(servers[0].answer)
			close(servers[1].answer)
			if got := <-response; got.status != http.StatusOK || got.body != hedgeEvents || arrivals() != 1 {
				t.Errorf("got %d %q and %d arrivals, want 200 %q and 1", got.status, got.body, arrivals(), hedgeEvents)
			}
			checkNothingReserved(t, g)
		})
	}
}
