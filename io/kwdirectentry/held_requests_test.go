package kwdirectentry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwtcprpc"
)

// digestOf returns the digest of the request that post sends.
func digestOf(path string) kwid.RequestDigest {
	return kwquarantine.DigestRequest("h", path, "", []byte("body"))
}

// hold keeps the request that post sends from servers, as a view does.
func hold(g *Gateway, path string, remaining time.Duration) {
	g.applyHeldRequests(kwdirectproto.View{HeldRequests: []kwquarantine.HeldRequest{{Digest: digestOf(path), Remaining: remaining, Term: time.Minute}}})
}

// setRecordsServers replaces the endpoints of a gateway by records servers.
func setRecordsServers(g *Gateway, servers ...kwmembership.Announcement) {
	v := *g.view.Load()
	v.endpoints = make(map[kwid.EndpointID]kwmembership.RosterRow)
	for _, a := range servers {
		a.Service, a.Zone = "records", "a"
		v.endpoints[a.ID] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: a}
	}
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// crashingServer is a server that counts the requests it reads and does with each what handle says.
type crashingServer struct {
	listener net.Listener
	arrived  atomic.Int64
}

// crash makes the server refuse connections.
func (s *crashingServer) crash() { _ = s.listener.Close() }

// startServer runs a server that passes each connection to handle once it has read a request from it, and then closes it.
func startServer(t *testing.T, handle func(s *crashingServer, c net.Conn, id string)) *crashingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &crashingServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				s.arrived.Add(1)
				handle(s, c, req.Header.Get("Id"))
			}()
		}
	}()
	return s
}

// answerOK answers a call.
func answerOK(_ *crashingServer, c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
}

func (s *crashingServer) announcement(id kwid.EndpointID) kwmembership.Announcement {
	return kwmembership.Announcement{ID: id, Address: s.listener.Addr().String(), Layers: kwid.LayerRange{To: 8}}
}

// controlStub is a control process that collects reports of crashes and decides on trials.
type controlStub struct {
	mu      sync.Mutex
	reports []kwdirectproto.EndpointCrashed
	trials  []kwdirectproto.QuarantineTrial
	// allowedTrials is the number of trials that it allows.
	allowedTrials int
	// view is the reply to watches.
	view    kwdirectproto.View
	address string
}

func startControlStub(t *testing.T, g *Gateway, allowedTrials int) *controlStub {
	t.Helper()
	c := &controlStub{allowedTrials: allowedTrials}
	server, err := kwtcprpc.Listen(kwtcprpc.ServerConfig{Address: "127.0.0.1:0", Handlers: map[kwtcprpc.Kind]kwtcprpc.Handler{
		kwdirectproto.KindEndpointCrashed: func(_ context.Context, body kwtcprpc.Body) (any, error) {
			var req kwdirectproto.EndpointCrashed
			if err := body.Decode(&req); err != nil {
				return nil, err
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.reports = append(c.reports, req)
			return nil, nil
		},
		kwdirectproto.KindWatch: func(context.Context, kwtcprpc.Body) (any, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.view, nil
		},
		kwdirectproto.KindQuarantineTrial: func(_ context.Context, body kwtcprpc.Body) (any, error) {
			var req kwdirectproto.QuarantineTrial
			if err := body.Decode(&req); err != nil {
				return nil, err
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.trials = append(c.trials, req)
			if len(c.trials) > c.allowedTrials {
				return nil, errors.New("no trial is due")
			}
			return nil, nil
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Close)
	c.address = server.Address()
	g.leader.SetSeeds([]string{c.address})
	return c
}

// reported returns the number of reports of an endpoint, and the requests in them.
func (c *controlStub) reported(id kwid.EndpointID) (calls int, requests []kwdirectproto.CrashedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.reports {
		if r.Endpoint == id {
			calls++
			requests = append(requests, r.Requests...)
		}
	}
	return calls, requests
}

// countEvents counts the events of a name.
func countEvents(g *Gateway, name string) int {
	n := 0
	for _, r := range g.deps.Events.Records() {
		if r.Name == name {
			n++
		}
	}
	return n
}

// TestHeldRequestReachesNoServer guards against a held request that is sent to a server all the same, and against others that are held
// with it.
func TestHeldRequestReachesNoServer(t *testing.T) {
	for _, path := range []string{"/notes/x", "/lookups/x", "/alerts/x"} {
		var served atomic.Int64
		server := serveTwoEvents(t, &served)
		g := newTestGateway(t, server, server)
		hold(g, path, 20*time.Second)
		status, body := post(t, http.DefaultClient, g, path, "held")
		if status != http.StatusServiceUnavailable || !strings.Contains(body, "request-quarantined") || !strings.Contains(body, "not-run") || served.Load() != 0 {
			t.Errorf("%s: got %d %q with %d requests at the server, want 503 request-quarantined, not-run, and none", path, status, body, served.Load())
		}
		end := fmt.Sprint(lastEnd(t, g, "held"))
		if !strings.Contains(end, "{code 1023}") || strings.Contains(end, "{retry-after-ms 0}") {
			t.Errorf("%s: got log line %s, want one with code 1023 and the rest of the term", path, end)
		}
		if countEvents(g, "request-held") != 1 || g.metrics.held.Count() != 1 {
			t.Errorf("%s: got %d events and a metric of %d, want 1", path, countEvents(g, "request-held"), g.metrics.held.Count())
		}
		for _, other := range []struct{ path, body string }{{path, "other body"}, {path + "?y", "body"}, {path + "y", "body"}} {
			if status, answer := postBody(t, g, other.path, "other", other.body); status != http.StatusOK {
				t.Errorf("%v beside the held request: got %d %q, want 200", other, status, answer)
			}
		}
	}
}

// TestHeldRequestLeavesTheQueue guards against a request that waits for a chain although it will not be sent.
func TestHeldRequestLeavesTheQueue(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.view.Load().index.Service("llm").Engine.Slots = 1
	setModelServers(g, kwmembership.Announcement{ID: "m", Address: "127.0.0.1:1", Layers: kwid.LayerRange{To: 8}})
	busy := &request{view: g.view.Load(), arrived: time.Now(), service: "llm", route: g.view.Load().index.Route("h", "/notes/x")}
	s := &streamState{q: busy, size: estimateSize(busy)}
	if _, _, err := g.scheduler.acquireChain(t.Context(), s.chainRequest(g)); err != nil {
		t.Fatal(err)
	}
	waiting := func(n int) func() bool {
		return func() bool {
			g.scheduler.mu.Lock()
			defer g.scheduler.mu.Unlock()
			return g.scheduler.dispatcher.Waiting() == n
		}
	}
	response := postInBackground(t, g, "/notes/x", "held")
	awaitTrue(t, "a request in the queue", waiting(1))
	other := postInBackground(t, g, "/notes/y", "other")
	awaitTrue(t, "two requests in the queue", waiting(2))
	hold(g, "/notes/x", 20*time.Second)
	got := <-response
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "request-quarantined") {
		t.Errorf("held in the queue: got %d %q, want 503 request-quarantined", got.status, got.body)
	}
	if !waiting(1)() {
		t.Error("the other request left the queue too")
	}
	drainNow(g)
	<-other
}

// TestRequestHeldBetweenAttempts lets a server crash under a request, or turn it away, after which the request is held. It must not be
// sent again, and its answer says truly whether it has run.
func TestRequestHeldBetweenAttempts(t *testing.T) {
	cases := []struct {
		name, path string
		notRun     bool
		want       string
		wantStatus int
	}{
		{"lookup", "/lookups/x", false, "lookup-failed", http.StatusBadGateway},
		{"at-most-once call", "/alerts/x", false, "outcome-unknown", http.StatusBadGateway},
		{"stream", "/notes/x", false, "stream-cut", http.StatusBadGateway},
		{"lookup that was turned away", "/lookups/x", true, "request-quarantined", http.StatusServiceUnavailable},
		{"at-most-once call that was turned away", "/alerts/x", true, "request-quarantined", http.StatusServiceUnavailable},
		{"stream that was turned away", "/notes/x", true, "request-quarantined", http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			var arrived atomic.Int64
			handle := func(s *crashingServer, conn net.Conn, id string) {
				if arrived.Add(1); c.notRun {
					hold(g, c.path, 20*time.Second)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
					return
				}
				hold(g, c.path, 20*time.Second)
				s.crash()
			}
			a, b := startServer(t, handle), startServer(t, handle)
			if c.path == "/notes/x" {
				setModelServers(g, a.announcement("a"), b.announcement("b"))
			} else {
				setRecordsServers(g, a.announcement("a"), b.announcement("b"))
			}
			status, body := post(t, http.DefaultClient, g, c.path, "r")
			if status != c.wantStatus || !strings.Contains(body, c.want) || arrived.Load() != 1 {
				t.Errorf("got %d %q with %d requests at servers, want %d %s and 1", status, body, arrived.Load(), c.wantStatus, c.want)
			}
		})
	}
}

// TestHeldStreamDoesNotMove has a request be held while its server is silent. It must not be sent to a sound one.
func TestHeldStreamDoesNotMove(t *testing.T) {
	t.Parallel()
	var silent, other atomic.Int32
	first, second := serveHung(t, &silent), serveHung(t, &other)
	g := newTestGateway(t, first, first)
	setServers(g, []string{first}, nil)
	setRoutes(g, func(r *kwdeclaration.Route) {
		r.Timeout, r.LatencyObjective, r.EventGapObjective = 2*time.Second, 250*time.Millisecond, 100*time.Millisecond
	})
	response := postInBackground(t, g, "/notes/x", "q")
	awaitTrue(t, "the request arrives", func() bool { return silent.Load() > 0 })
	hold(g, "/notes/x", 20*time.Second)
	setServers(g, []string{first, second}, nil)
	<-response
	if got := other.Load(); got != 0 {
		t.Errorf("got %d requests at the other server, want none", got)
	}
	checkNothingReserved(t, g)
}

// TestRequestHeldBeforeItIsSent has a request, or a part of its prompt, be kept from servers after its chain was granted.
func TestRequestHeldBeforeItIsSent(t *testing.T) {
	cases := []struct {
		name     string
		keep     func(g *Gateway)
		trial    bool
		wantCode kwcode.Code
	}{
		{"request", func(g *Gateway) { hold(g, "/notes/x", 20*time.Second) }, false, kwcode.RequestQuarantined},
		{"part", func(g *Gateway) {
			g.partGuard.Apply(time.Now(), nil, []kwquarantine.Quarantine{{Part: "part", Remaining: time.Minute}}, false)
		}, false, kwcode.PromptQuarantined},
		{"trial of both", func(g *Gateway) {
			hold(g, "/notes/x", 20*time.Second)
			g.partGuard.Apply(time.Now(), nil, []kwquarantine.Quarantine{{Part: "part", Remaining: time.Minute}}, false)
		}, true, 0},
	}
	for _, c := range cases {
		var arrivals atomic.Int32
		address := serveRaw(t, func(io.Writer, string) bool {
			arrivals.Add(1)
			return false
		})
		g := newTestGateway(t, address, "127.0.0.1:1")
		v := g.view.Load()
		q := &request{
			r: httptest.NewRequest(http.MethodPost, "http://h/notes/x", nil), view: v, arrived: time.Now(), deadline: time.Now().Add(time.Minute), service: "llm", route: v.index.Route("h", "/notes/x"),
			digest: digestOf("/notes/x"), trial: c.trial, requestTrial: c.trial,
		}
		q.meta.SharedParts = []kwid.PromptPartID{"part"}
		s := &streamState{q: q, size: estimateSize(q), attempts: attemptState{exclude: make(endpointSet)}}
		chain, ok := g.acquireStreamChain(t.Context(), s)
		if !ok {
			t.Fatal(s.attempts.lastErr)
		}
		c.keep(g)
		result := g.attemptStream(t.Context(), s, chain)
		if c.trial {
			if arrivals.Load() != 1 {
				t.Errorf("%s: got %d arrivals, want 1", c.name, arrivals.Load())
			}
			continue
		}
		if result != resultNotRun || arrivals.Load() != 0 || q.sends != 0 || s.attempts.lastErr == nil || s.attempts.lastErr.Code != c.wantCode {
			t.Errorf("%s: got result %d, %d arrivals, %d sends and %v, want %d, none, none and code %d",
				c.name, result, arrivals.Load(), q.sends, s.attempts.lastErr, resultNotRun, c.wantCode)
		}
		checkNothingReserved(t, g)
	}
}

// TestSuspectRequestIsNotSentAgain guards against a request that has crashed two servers before and crashes two more by one call. The
// first crash of a request costs no second attempt.
func TestSuspectRequestIsNotSentAgain(t *testing.T) {
	cases := []struct {
		name        string
		crashes     int
		wantArrived int64
	}{
		{"unknown request", 0, 2},
		{"one crash before", 1, 2},
		{"suspect", 2, 1},
	}
	for _, c := range cases {
		g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
		var arrived atomic.Int64
		handle := func(s *crashingServer, _ net.Conn, _ string) {
			arrived.Add(1)
			s.crash()
		}
		setRecordsServers(g, startServer(t, handle).announcement("a"), startServer(t, handle).announcement("b"), startServer(t, handle).announcement("c"))
		g.applyHeldRequests(kwdirectproto.View{SuspectRequests: []kwquarantine.SuspectRequest{{Digest: digestOf("/lookups/x"), Crashes: c.crashes}}})
		if status, body := post(t, http.DefaultClient, g, "/lookups/x", "r"); status != http.StatusBadGateway || arrived.Load() != c.wantArrived {
			t.Errorf("%s: got %d %q with %d requests at servers, want 502 and %d", c.name, status, body, arrived.Load(), c.wantArrived)
		}
	}
}

// TestTrialOfHeldRequest checks that the leader decides on the trial of a held request whose term is over, and that its sound answer is
// reported once the server has outlived it.
func TestTrialOfHeldRequest(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	control := startControlStub(t, g, 1)
	server := startServer(t, answerOK)
	setRecordsServers(g, server.announcement("a"))
	hold(g, "/lookups/x", 0)
	var got []int
	for range 3 {
		status, _ := post(t, http.DefaultClient, g, "/lookups/x", "r")
		got = append(got, status)
	}
	want := []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable}
	if !slices.Equal(got, want) || server.arrived.Load() != 1 {
		t.Errorf("got %v with %d requests at the server, want %v and 1", got, server.arrived.Load(), want)
	}
	for _, trial := range control.trials {
		if trial.Digest == nil || *trial.Digest != digestOf("/lookups/x") || trial.Entry != "g" {
			t.Errorf("got the request for a trial %+v, want one of entry g with the digest", trial)
		}
	}
	for _, c := range []struct {
		after       time.Duration
		unconfirmed bool
	}{{0, true}, {10 * time.Second, false}} {
		sounds := g.partGuard.SoundRequests(time.Now().Add(c.after))
		if len(sounds) != 1 || sounds[0].Digest != digestOf("/lookups/x") || sounds[0].Unconfirmed != c.unconfirmed {
			t.Errorf("%v after the answer: got sound runs %+v, want one of the request, unconfirmed %v", c.after, sounds, c.unconfirmed)
		}
	}
}

// TestCutOffEntryHoldsWhatItSaw guards against a request that an entry without contact to control goes on sending.
func TestCutOffEntryHoldsWhatItSaw(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	var arrived atomic.Int64
	handle := func(s *crashingServer, _ net.Conn, _ string) {
		arrived.Add(1)
		s.crash()
	}
	var servers []kwmembership.Announcement
	for i := range 6 {
		servers = append(servers, startServer(t, handle).announcement(kwid.EndpointID(fmt.Sprint("r", i))))
	}
	setRecordsServers(g, servers...)
	var statuses []int
	counted := func() int {
		for _, s := range g.partGuard.SuspectRequests(time.Now()) {
			if s.Digest == digestOf("/lookups/x") {
				return s.Crashes
			}
		}
		return 0
	}
	for i := range 5 {
		status, _ := post(t, http.DefaultClient, g, "/lookups/x", "r")
		statuses = append(statuses, status)
		// The first request crashes two servers and the second one. They are counted after their report, in another goroutine.
		if crashes := i + 2; crashes <= 3 {
			awaitTrue(t, "the count of crashes", func() bool { return counted() == crashes })
		}
		time.Sleep(kwquarantine.DefaultConfig().RequestSpread)
	}
	want := []int{502, 502, 503, 503, 503}
	if !slices.Equal(statuses, want) || arrived.Load() != 3 {
		t.Errorf("got %v with %d requests at servers, want %v and 3", statuses, arrived.Load(), want)
	}
}

// TestCrashReportsAreCollected checks that what is added during one collection makes one bounded report, and that requests which come
// after it are not lost.
func TestCrashReportsAreCollected(t *testing.T) {
	var c crashReports
	process := kwmembership.Process{Endpoint: "a", StartedMillis: 1}
	news := 0
	for i := range maxReportedRequests + 10 {
		if c.add(process, []kwdirectproto.CrashedRequest{{Digest: kwid.RequestDigest{byte(i), byte(i >> 8)}}}) {
			news++
		}
	}
	if got := len(c.take(process, false)); news != 1 || got != maxReportedRequests {
		t.Errorf("got %d collections and %d requests, want 1 and %d", news, got, maxReportedRequests)
	}
	late := []kwdirectproto.CrashedRequest{{Digest: kwid.RequestDigest{1}}}
	if c.add(process, late) || len(c.take(process, true)) != 1 {
		t.Error("a late request began a collection of its own, or was lost")
	}
	if !c.add(process, late) || len(c.pending) != 1 {
		t.Error("a request after the end of the collection began none")
	}
}

// TestOneReportPerCrash guards against a call to the leader for each of many requests that a crash ends, and against the loss of the
// one that the server had answered just before.
func TestOneReportPerCrash(t *testing.T) {
	const inFlight = 20
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	control := startControlStub(t, g, 0)
	server := startServer(t, func(s *crashingServer, c net.Conn, id string) {
		if id == "answered" {
			answerOK(s, c, id)
			return
		}
		// The last request crashes the server, and with it ends all others.
		if s.arrived.Load() > inFlight {
			s.crash()
			return
		}
		awaitTrue(t, "the crash", func() bool { return s.arrived.Load() > inFlight })
	})
	setRecordsServers(g, server.announcement("a"))
	if status, body := post(t, http.DefaultClient, g, "/lookups/answered", "answered"); status != http.StatusOK {
		t.Fatalf("got %d %q, want 200", status, body)
	}
	var calls sync.WaitGroup
	for i := range inFlight {
		calls.Go(func() { post(t, http.DefaultClient, g, fmt.Sprint("/lookups/", i), fmt.Sprint("r", i)) })
	}
	calls.Wait()
	awaitTrue(t, "reports of all requests", func() bool { _, requests := control.reported("a"); return len(requests) >= inFlight+1 })
	// Connections that end later than crashReportDelay come with a second report.
	n, requests := control.reported("a")
	if n > 2 || len(requests) != inFlight+1 {
		t.Fatalf("got %d reports with %d requests, want at most 2 with %d", n, len(requests), inFlight+1)
	}
	answered := 0
	for _, r := range requests {
		if r.Digest == digestOf("/lookups/answered") {
			answered++
		}
		if len(r.Parts) > 0 {
			t.Errorf("got parts %v of a call, want none", r.Parts)
		}
	}
	if answered != 1 {
		t.Errorf("got %d reports of the answered request, want 1", answered)
	}
}

// TestSoundServersAreNotReported guards against evidence from servers that only were silent, that closed several connections at once, or
// that leave as planned.
func TestSoundServersAreNotReported(t *testing.T) {
	cases := []struct {
		name    string
		leaving bool
		handle  func(s *crashingServer, c net.Conn, id string)
	}{
		{"silent server", false, func(_ *crashingServer, _ net.Conn, _ string) { time.Sleep(3 * time.Second) }},
		{"server that closes its connections", false, func(_ *crashingServer, _ net.Conn, _ string) {}},
		{"server that stops as planned after its answers", true, func(s *crashingServer, c net.Conn, id string) {
			time.Sleep(300 * time.Millisecond)
			answerOK(s, c, id)
			s.crash()
		}},
		{"server that stops as planned before its answers", true, func(s *crashingServer, _ net.Conn, _ string) {
			time.Sleep(300 * time.Millisecond)
			s.crash()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			g.deps.Dialect = partsDialect{}
			control := startControlStub(t, g, 0)
			server := startServer(t, c.handle)
			setRecordsServers(g, server.announcement("a"))
			var calls sync.WaitGroup
			for i := range 5 {
				calls.Go(func() { post(t, http.DefaultClient, g, fmt.Sprint("/lookups/", i), fmt.Sprint("r", i)) })
			}
			if c.leaving {
				awaitTrue(t, "requests at the server", func() bool { return server.arrived.Load() == 5 })
				g.scheduler.leavers.Record(time.Now(), kwmembership.Process{Endpoint: "a"})
			}
			calls.Wait()
			if c.leaving {
				g.noteRefusal("a", syscall.ECONNREFUSED)
			}
			time.Sleep(2 * (crashReportDelay + lateReportDelay))
			if n, requests := control.reported("a"); n != 0 {
				t.Errorf("got %d reports with %v, want none", n, requests)
			}
			if n := countEvents(g, "request-crashed"); n != 0 {
				t.Errorf("got %d crashes noted, want none", n)
			}
		})
	}
}

// TestPlannedStopLeavesAnswersSound lets a process that has said that it leaves stop, also after its row has left the view.
func TestPlannedStopLeavesAnswersSound(t *testing.T) {
	for _, inView := range []bool{true, false} {
		g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
		control := startControlStub(t, g, 0)
		row := kwmembership.RosterRow{State: kwmembership.Leaving, Announcement: kwmembership.Announcement{ID: "a", StartedMillis: 7}}
		process := row.Announcement.Process()
		g.applyHeldRequests(kwdirectproto.View{Endpoints: []kwmembership.RosterRow{row}})
		v := *g.view.Load()
		v.endpoints = map[kwid.EndpointID]kwmembership.RosterRow{}
		if inView {
			v.endpoints["a"] = row
		}
		g.view.Store(&v)
		for _, path := range []string{"/lookups/x", "/lookups/y"} {
			g.partGuard.RecordAnswered(time.Now(), process, digestOf(path))
		}
		g.reportCrash(process, kwdirectproto.CrashedRequest{Request: "r", Digest: digestOf("/lookups/z")})
		g.Stop()
		if n, requests := control.reported("a"); n != 0 {
			t.Errorf("in view %v: got %d reports with %v, want none", inView, n, requests)
		}
		for _, path := range []string{"/lookups/x", "/lookups/y"} {
			if g.partGuard.SoundAge(time.Now(), digestOf(path)) == 0 {
				t.Errorf("in view %v: got no sound run of %s, want its answer confirmed", inView, path)
			}
		}
		if got := g.partGuard.SuspectRequests(time.Now().Add(time.Minute)); len(got) != 0 {
			t.Errorf("in view %v: got suspects %v in the entry's own sight, want none", inView, got)
		}
	}
}

// TestCrashIsOfTheProcessThatServed lets the view list the next process of an endpoint, or none, before the crash or the end of the
// answer is noticed.
func TestCrashIsOfTheProcessThatServed(t *testing.T) {
	for _, path := range []string{"/lookups/x", "/alerts/x", "/notes/x"} {
		for _, replaced := range []bool{true, false} {
			for _, answers := range []bool{true, false} {
				if answers && path != "/notes/x" {
					continue
				}
				t.Run(fmt.Sprint(path, " replaced ", replaced, " answers ", answers), func(t *testing.T) {
					g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
					control := startControlStub(t, g, 0)
					set := setRecordsServers
					if path == "/notes/x" {
						set = setModelServers
					}
					server := startServer(t, func(s *crashingServer, c net.Conn, id string) {
						if next := s.announcement("a"); replaced {
							next.StartedMillis = 2
							set(g, next)
						} else {
							set(g)
						}
						if answers {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
							writeEvent(c, 1)
							_, _ = io.WriteString(c, "0\r\n\r\n")
						}
						s.crash()
					})
					a := server.announcement("a")
					a.StartedMillis = 1
					set(g, a)
					post(t, http.DefaultClient, g, path, "r")
					if answers {
						g.reportCrash(a.Process())
					}
					g.Stop()
					control.mu.Lock()
					defer control.mu.Unlock()
					if len(control.reports) != 1 || control.reports[0].StartedMillis != 1 {
						t.Errorf("got reports %+v, want one of the process that started at 1", control.reports)
					}
				})
			}
		}
	}
}

// TestReplacedProcessHasCrashed lets a server crash after its answer and be back before the leader takes it for lost, under its ID or
// another one.
func TestReplacedProcessHasCrashed(t *testing.T) {
	row := func(id kwid.EndpointID, address string, started kwmembership.StartMillis, state kwmembership.State) kwmembership.RosterRow {
		return kwmembership.RosterRow{State: state, Announcement: kwmembership.Announcement{ID: id, Address: address, StartedMillis: started, Service: "records"}}
	}
	const live, leaving, gone = kwmembership.Live, kwmembership.Leaving, kwmembership.Gone
	cases := []struct {
		name string
		old  kwmembership.State
		next []kwmembership.RosterRow
		want int
	}{
		{"same process", live, []kwmembership.RosterRow{row("a", "127.0.0.1:1", 1, live)}, 0},
		{"next process", live, []kwmembership.RosterRow{row("a", "127.0.0.1:2", 2, live)}, 1},
		{"another ID at the address", live, []kwmembership.RosterRow{row("b", "127.0.0.1:1", 2, live), row("a", "127.0.0.1:1", 1, gone)}, 1},
		{"deregistered", live, []kwmembership.RosterRow{row("a", "127.0.0.1:1", 1, gone)}, 0},
		{"next process after a planned stop", leaving, []kwmembership.RosterRow{row("a", "127.0.0.1:1", 2, live)}, 0},
		{"another ID after a planned stop", leaving, []kwmembership.RosterRow{row("b", "127.0.0.1:1", 2, live), row("a", "127.0.0.1:1", 1, gone)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			control := startControlStub(t, g, 0)
			control.view = kwdirectproto.View{ControlAddresses: []string{control.address}, Epoch: 1, Version: 1, Full: true, Endpoints: []kwmembership.RosterRow{row("a", "127.0.0.1:1", 1, c.old)}}
			if err := g.fetchView(t.Context()); err != nil {
				t.Fatal(err)
			}
			g.partGuard.RecordAnswered(time.Now(), kwmembership.Process{Endpoint: "a", StartedMillis: 1}, digestOf("/lookups/x"))
			control.mu.Lock()
			control.view = kwdirectproto.View{ControlAddresses: []string{control.address}, Epoch: 1, Version: 2, Endpoints: c.next}
			control.mu.Unlock()
			if err := g.fetchView(t.Context()); err != nil {
				t.Fatal(err)
			}
			g.Stop()
			if _, requests := control.reported("a"); len(requests) != c.want {
				t.Errorf("got reports of %v, want %d requests", requests, c.want)
			}
		})
	}
}

// TestAbandonedAttemptsAreEvidence lets a server crash after the entry has given an attempt up, or after a probe that found it listening.
func TestAbandonedAttemptsAreEvidence(t *testing.T) {
	cases := []struct {
		name, path string
		silent     bool
	}{
		{"silent call", "/lookups/x", true},
		{"silent stream", "/notes/x", true},
		{"call that is broken off", "/alerts/x", false},
		{"stream that is broken off", "/notes/x", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			g.deps.Dialect = partsDialect{}
			control := startControlStub(t, g, 0)
			server := startServer(t, func(_ *crashingServer, _ net.Conn, _ string) {
				if c.silent {
					time.Sleep(4 * time.Second)
				}
			})
			if c.path == "/notes/x" {
				setModelServers(g, server.announcement("a"))
			} else {
				setRecordsServers(g, server.announcement("a"))
			}
			post(t, http.DefaultClient, g, c.path, "r")
			server.crash()
			g.noteRefusal("a", syscall.ECONNREFUSED)
			g.Stop()
			if _, requests := control.reported("a"); len(requests) != 1 || requests[0].Digest != digestOf(c.path) {
				t.Errorf("got reports of %v, want one of the request", requests)
			}
		})
	}
}

// TestCrashesAreReportedToANewLeader guards against a count of crashes that begins anew with each leader.
func TestCrashesAreReportedToANewLeader(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	control := startControlStub(t, g, 0)
	process := kwmembership.Process{Endpoint: "a", StartedMillis: 7}
	sent := kwdirectproto.CrashedRequest{Request: "r", Digest: digestOf("/notes/x"), Parts: []kwid.PromptPartID{"bad"}}
	g.reportCrash(process, sent)
	awaitTrue(t, "the report", func() bool { n, _ := control.reported("a"); return n == 1 })
	control.mu.Lock()
	control.view = kwdirectproto.View{Epoch: g.view.Load().epoch + 1, Full: true}
	control.mu.Unlock()
	if err := g.fetchView(t.Context()); err != nil {
		t.Fatal(err)
	}
	awaitTrue(t, "the report to the new leader", func() bool { n, _ := control.reported("a"); return n == 2 })
	control.mu.Lock()
	defer control.mu.Unlock()
	got := control.reports[1]
	if len(got.Requests) != 1 || got.Requests[0].Digest != sent.Digest || !slices.Equal(got.Requests[0].Parts, sent.Parts) ||
		got.Requests[0].Request != sent.Request || got.StartedMillis != process.StartedMillis || got.Age <= 0 {
		t.Errorf("got %+v, want the crash of %v under %+v with its age", got, process, sent)
	}
}

// TestCrashesAreReportedAgainOnceAtATime guards against reports that pile up while a leader takes none of them.
func TestCrashesAreReportedAgainOnceAtATime(t *testing.T) {
	var c crashReports
	if !c.beginRepeat() || c.beginRepeat() {
		t.Fatal("got a second repeat beside the first, want one")
	}
	c.endRepeat()
	if !c.takeFailed() {
		t.Error("got the second repeat forgotten, want it due with the next view")
	}
	if !c.beginRepeat() {
		t.Error("got no repeat after the first has ended, want one")
	}
}
