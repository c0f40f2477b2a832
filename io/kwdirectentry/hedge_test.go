package kwdirectentry

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwupstream"
)

// answerPlain answers a plain request.
func answerPlain(w io.Writer, id string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
	return err == nil
}

// serveHung runs a server that counts its requests and answers none until the test ends.
func serveHung(t *testing.T, arrivals *atomic.Int32) string {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	return serveRaw(t, func(io.Writer, string) bool {
		arrivals.Add(1)
		<-stop
		return false
	})
}

// preferFirst moves the records server r1 to another zone, so that requests are sent to r0 first.
func preferFirst(g *Gateway) {
	v := *g.view.Load()
	v.endpoints = maps.Clone(v.endpoints)
	row := v.endpoints["r1"]
	row.Announcement.Zone = "b"
	v.endpoints["r1"] = row
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// TestHungServerIsEjected guards against a hung server that each request is sent to first, since the hedged request is answered before
// the server's failure is known.
func TestHungServerIsEjected(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int32
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	setServers(g, nil, []string{serveHung(t, &arrivals), serveRaw(t, answerPlain)})
	setRoutes(g, func(r *kwdeclaration.Route) { r.Timeout = time.Second })
	preferFirst(g)
	for i := range 6 {
		if status, body := post(t, http.DefaultClient, g, "/lookups/x", fmt.Sprint("q", i)); status != http.StatusOK || body != "ok" {
			t.Errorf("request %d: got %d %q, want 200 %q", i, status, body, "ok")
		}
	}
	if got := arrivals.Load(); got != 1 {
		t.Errorf("got %d of 6 requests at the hung server, want 1", got)
	}
}

// TestRefusedRetryKeepsReportedLoad guards against an endpoint that seems idle because a retry was not sent to it.
func TestRefusedRetryKeepsReportedLoad(t *testing.T) {
	const load = 5
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	setServers(g, nil, []string{serveRaw(t, func(io.Writer, string) bool { return false }), serveRaw(t, answerPlain)})
	setRoutes(g, func(r *kwdeclaration.Route) { r.MaxAttempts = 1 })
	preferFirst(g)
	g.scheduler.reportedInFlight["r1"] = load
	if status, body := post(t, http.DefaultClient, g, "/lookups/x", "q"); status != http.StatusBadGateway {
		t.Errorf("got %d %q, want 502", status, body)
	}
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	if got := g.scheduler.reportedInFlight["r1"]; got != load {
		t.Errorf("got %d reported requests in flight, want %d", got, load)
	}
	if got := g.scheduler.inFlight["r1"]; got != 0 {
		t.Errorf("got %d requests in flight, want none", got)
	}
}

// TestHedgeLimits checks which requests are not hedged.
func TestHedgeLimits(t *testing.T) {
	cases := []struct {
		name string
		set  func(q *request)
		want bool
	}{
		{"plain request", func(*request) {}, true},
		{"one attempt allowed", func(q *request) { q.route = &kwdeclaration.Route{Kind: kwdeclaration.Idempotent, MaxAttempts: 1} }, false},
		{"suspect that has crashed a server", func(q *request) { q.ownCrashes, q.suspectRequest = 1, true }, false},
		{"no suspect, but has crashed a server", func(q *request) { q.ownCrashes = 1 }, true},
		{"trial of a part", func(q *request) { q.trial = true }, false},
		{"trial of a request", func(q *request) { q.requestTrial = true }, false},
	}
	for _, c := range cases {
		q := &request{sends: 1, route: &kwdeclaration.Route{Kind: kwdeclaration.Idempotent, MaxAttempts: 2}}
		c.set(q)
		u := &unaryState{q: q, inProgress: 1}
		if got := u.mayHedge(); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}

// TestTrialIsNotHedged has the server of a trial hang. The request must reach no other one.
func TestTrialIsNotHedged(t *testing.T) {
	t.Parallel()
	var hung, other atomic.Int32
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	startControlStub(t, g, 1)
	setServers(g, nil, []string{serveHung(t, &hung), serveRaw(t, func(w io.Writer, id string) bool {
		other.Add(1)
		return answerPlain(w, id)
	})})
	setRoutes(g, func(r *kwdeclaration.Route) { r.Timeout = time.Second })
	preferFirst(g)
	hold(g, "/lookups/x", 0)
	if status, body := post(t, http.DefaultClient, g, "/lookups/x", "q"); status == http.StatusOK || other.Load() != 0 || hung.Load() != 1 {
		t.Errorf("got %d %q, %d requests at the hung server and %d at the other one, want a failure, 1 and none",
			status, body, hung.Load(), other.Load())
	}
}

// TestHedgeAsksForNothing has a request be held, or the retry budget be spent, while its server hangs. The hedge timer must neither ask
// the leader for a trial or a loan nor log again and again that it may not hedge.
func TestHedgeAsksForNothing(t *testing.T) {
	cases := []struct {
		name string
		set  func(g *Gateway)
	}{
		{"held", func(g *Gateway) { hold(g, "/lookups/x", 0) }},
		{"no retry budget", func(g *Gateway) {
			for g.retryBudgets.ForService("records").TrySpend(time.Now()) {
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var hung atomic.Int32
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			control := startControlStub(t, g, 0)
			setServers(g, nil, []string{serveHung(t, &hung), serveRaw(t, answerPlain)})
			setRoutes(g, func(r *kwdeclaration.Route) { r.Timeout = time.Second })
			preferFirst(g)
			response := postInBackground(t, g, "/lookups/x", "q")
			awaitTrue(t, "the request arrives", func() bool { return hung.Load() > 0 })
			c.set(g)
			if got := <-response; got.status == http.StatusOK {
				t.Errorf("got %d %q, want a failure", got.status, got.body)
			}
			control.mu.Lock()
			defer control.mu.Unlock()
			if got := len(control.trials); got != 0 {
				t.Errorf("got %d requests for a trial, want none", got)
			}
			if got := countEvents(g, "retry-denied"); got != 0 {
				t.Errorf("got %d refused retry loans, want none", got)
			}
			// The one after the deadline tells why the request is not sent again.
			if got := countEvents(g, "request-held"); got > 1 {
				t.Errorf("got %d log lines that the request is held, want at most 1", got)
			}
		})
	}
}

// TestAnswerBeforeHedge has an answer arrive just as the hedge timer fires.
func TestAnswerBeforeHedge(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	setServers(g, nil, []string{serveRaw(t, answerPlain), serveRaw(t, answerPlain)})
	v := g.view.Load()
	for i := range 100 {
		endpoint := v.endpoints["r0"].Announcement
		q := &request{
			r: httptest.NewRequest(http.MethodPost, "http://h/lookups/x", nil), view: v, service: "records", route: v.index.Route("h", "/lookups/x"),
			deadline: time.Now(), sends: 1,
		}
		u := &unaryState{
			q: q, attempts: attemptState{exclude: make(endpointSet)}, results: make(chan unaryResult, 1), inProgress: 1,
			awaited: map[kwid.EndpointID]kwmembership.Announcement{endpoint.ID: endpoint},
		}
		u.results <- unaryResult{endpoint: endpoint, Result: kwupstream.Result{Response: &http.Response{StatusCode: http.StatusOK}, Meta: kwupstream.ResponseMeta{ID: "q", Signed: true}, Sent: true}}
		if !g.awaitUnary(t.Context(), u) || countEvents(g, "endpoint-ejected") != 0 {
			t.Fatalf("request %d: got no answer or an ejection, want the answer alone", i)
		}
	}
}

// TestHedgeBeforeTheDrainEnds has a server hang while the entry stops. Its requests must be hedged within the drain, although their
// deadlines are far off.
func TestHedgeBeforeTheDrainEnds(t *testing.T) {
	for _, inDrain := range []bool{false, true} {
		t.Run(fmt.Sprint("begun in the drain ", inDrain), func(t *testing.T) {
			t.Parallel()
			var hung atomic.Int32
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			setServers(g, nil, []string{serveHung(t, &hung), serveRaw(t, answerPlain)})
			preferFirst(g)
			drain := func() {
				now := time.Now()
				go g.drain(now.Add(time.Second/2), now.Add(2*time.Second), now.Add(3*time.Second))
			}
			if inDrain {
				drain()
				awaitTrue(t, "the drain begins", g.stopping.Load)
			}
			response := postInBackground(t, g, "/lookups/x", "q")
			awaitTrue(t, "the request arrives", func() bool { return hung.Load() > 0 })
			if !inDrain {
				drain()
			}
			if got := <-response; got.status != http.StatusOK || got.body != "ok" {
				t.Errorf("got %d %q, want 200 %q", got.status, got.body, "ok")
			}
		})
	}
}

// slowDialect takes long to read the answers of a server that leaves.
type slowDialect struct {
	testDialect
	began, ended atomic.Int32
}

func (d *slowDialect) ReadResponse(status int, h http.Header) kwupstream.ResponseMeta {
	meta := d.testDialect.ReadResponse(status, h)
	if meta.Leaving {
		d.began.Add(1)
		time.Sleep(300 * time.Millisecond)
		d.ended.Add(1)
	}
	return meta
}

// TestStopWaitsForAttempts has the entry stop while it reads the answer to an attempt whose request has been answered by a hedged one.
// Stop must wait for it, since what the answer says is logged.
func TestStopWaitsForAttempts(t *testing.T) {
	t.Parallel()
	dialect := new(slowDialect)
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.deps.Dialect = dialect
	setServers(g, nil, []string{serveRaw(t, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok", id)
		return err == nil
	}), serveRaw(t, answerPlain)})
	setRoutes(g, func(r *kwdeclaration.Route) { r.Timeout = 300 * time.Millisecond })
	preferFirst(g)
	if status, body := post(t, http.DefaultClient, g, "/lookups/x", "q"); status != http.StatusOK {
		t.Errorf("got %d %q, want 200", status, body)
	}
	g.cfg.DrainTimeout = 50 * time.Millisecond
	g.Stop()
	if began, ended := dialect.began.Load(), dialect.ended.Load(); began != 1 || ended != 1 {
		t.Errorf("got %d attempts begun and %d ended after Stop, want 1 and 1", began, ended)
	}
}
