package kwdirectentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwupstream"
)

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// setModelServers replaces the model servers that a gateway knows.
func setModelServers(g *Gateway, servers ...kwmembership.Announcement) {
	v := *g.view.Load()
	v.endpoints = make(map[kwid.EndpointID]kwmembership.RosterRow)
	for _, a := range servers {
		a.Service, a.Zone, a.Accelerator = "llm", "a", "fast"
		v.endpoints[a.ID] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: a}
	}
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// The second stage of a chain crashes in the middle of a stream, while the first keeps its connection open and sends
// nothing. The stream must resume elsewhere as soon as the second stage is found to refuse connections, long before the
// event gap objective of 10 s.
func TestStreamResumesWithoutLostStage(t *testing.T) {
	unblock, received := make(chan struct{}), make(chan struct{}, 1)
	t.Cleanup(func() { close(unblock) })
	first := serveRaw(t, func(w io.Writer, id string) bool {
		received <- struct{}{}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n", id)
		<-unblock
		return false
	})
	healthy := serveRaw(t, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := newTestGateway(t, first, "127.0.0.1:1")
	lost := kwmembership.Announcement{ID: "lost", Address: closedAddress(t), Layers: kwid.LayerRange{From: 4, To: 8}}
	setModelServers(g, kwmembership.Announcement{ID: "first", Address: first, Layers: kwid.LayerRange{To: 4}}, lost)
	// The healthy server joins once the request is on the chain with the lost stage, however late that is.
	go func() {
		<-received
		setModelServers(g, kwmembership.Announcement{ID: "first", Address: first, Layers: kwid.LayerRange{To: 4}}, lost,
			kwmembership.Announcement{ID: "whole", Address: healthy, Layers: kwid.LayerRange{To: 8}})
	}()
	client := &http.Client{Timeout: 8 * time.Second}
	status, body := post(t, client, g, "/notes/x", "q1")
	if want := "id: 1\n\nid: 2\n\n"; status != http.StatusOK || body != want {
		t.Errorf("got %d %q, want %q", status, body, want)
	}
	if !g.scheduler.ejector.Ejected(time.Now(), "lost") {
		t.Error("the stage that refuses connections is not ejected")
	}
	if g.scheduler.ejector.Ejected(time.Now(), "first") {
		t.Error("the healthy first stage is ejected")
	}
}

// A stage has just failed a probe without an answer. The streams that resume elsewhere must not wait for another probe of it, which
// took 120 ms more of a pause of 300 ms that callers accept.
func TestResumeDoesNotProbeASilentStageAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var probes atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			probes.Add(1)
			_ = c.Close()
		}
	}()
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	stage := kwchainsearch.Stage{Endpoint: "silent", Address: l.Addr().String(), Layers: kwid.LayerRange{To: 8}}
	setModelServers(g, kwmembership.Announcement{ID: stage.Endpoint, Address: stage.Address, Layers: stage.Layers})
	process, _ := g.scheduler.leavers.Process(stage.Endpoint)
	// It returns only once its report to a leader has failed.
	ejected := make(chan struct{})
	go func() {
		defer close(ejected)
		g.ejectFaulty(stage, kwchainsearch.Unresponsive)
	}()
	t.Cleanup(func() { <-ejected })
	time.Sleep(50 * time.Millisecond)
	q := &request{r: httptest.NewRequest(http.MethodPost, "/notes/x", nil)}
	countAfterCheck := func() int32 {
		g.checkForCrash(q, process, stage.Address, nil)
		time.Sleep(50 * time.Millisecond)
		return probes.Load()
	}
	if got := countAfterCheck(); got != 0 {
		t.Errorf("right after a probe without an answer: got %d more probes, want none", got)
	}
	time.Sleep(faultCheckInterval)
	if got := countAfterCheck(); got != 1 {
		t.Errorf("after %v: got %d probes, want 1", faultCheckInterval, got)
	}
}

// An entry that is cut off from all endpoints must not eject any of them.
func TestIsolatedGatewayEjectsNoEndpoint(t *testing.T) {
	g := newTestGateway(t, closedAddress(t), "127.0.0.1:1")
	g.cancel()
	g.probeAndEject([]kwchainsearch.Stage{{Endpoint: "m", Address: "127.0.0.1:1", Layers: kwid.LayerRange{To: 8}}})
	if g.scheduler.ejector.Ejected(time.Now(), "m") {
		t.Error("a gateway that reaches no endpoint ejected one")
	}
}

func TestProbe(t *testing.T) {
	open := serveRaw(t, func(io.Writer, string) bool { return false })
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		address string
		want    kwchainsearch.ConnectResult
	}{
		{"open", t.Context(), open, kwchainsearch.Connected},
		{"refused", t.Context(), closedAddress(t), kwchainsearch.Refused},
		{"no answer", canceled, open, kwchainsearch.Unresponsive},
	}
	for _, c := range cases {
		if got := kwupstream.Probe(c.ctx, c.address); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// A first server accepts all connections but resets each before the first event, and its stall reports show nothing:
// streams must resume elsewhere, and the server must soon get no more of them.
func TestServerThatResetsStreamsIsEjected(t *testing.T) {
	var attempts atomic.Int32
	bad := serveRaw(t, func(io.Writer, string) bool {
		attempts.Add(1)
		return false
	})
	good := serveRaw(t, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := newTestGateway(t, bad, "127.0.0.1:1")
	setModelServers(g, kwmembership.Announcement{ID: "bad", Address: bad, Layers: kwid.LayerRange{To: 8}},
		kwmembership.Announcement{ID: "good", Address: good, Layers: kwid.LayerRange{To: 8}})
	for i := range 20 {
		if status, body := post(t, http.DefaultClient, g, "/notes/x", fmt.Sprint("q", i)); status != http.StatusOK || body != "id: 1\n\n" {
			t.Errorf("got %d %q, want the whole stream", status, body)
		}
	}
	if got := attempts.Load(); got > 3 {
		t.Errorf("got %d streams sent to the server that resets all of them, want at most 3", got)
	}
}

// A stale stall report names an endpoint that the stream of a request has already left: the next attempt, on another
// chain, must go on.
func TestStaleStallReportKeepsNextAttempt(t *testing.T) {
	address := serveRaw(t, func(io.Writer, string) bool { return true })
	conn, err := kwupstream.NewPool().Get(t.Context(), address, "r", true)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var a activeStreams
	replaced := 0
	chain := kwchainsearch.Chain{Stages: []kwchainsearch.Stage{{Endpoint: "first"}, {Endpoint: "second"}}}
	w := a.watch("q1", conn, chain, silenceLimits{probe: time.Hour, queryStalls: time.Hour}, silenceActions{replace: func(*watchedStream) { replaced++ }})
	defer a.unwatch("q1", w)
	a.suspect("q1", "lost")
	if got := a.blamed(w); got != "" || replaced > 0 {
		t.Errorf("got %d searches for another chain because of %q, which the chain does not use, want none", replaced, got)
	}
	a.suspect("q1", "second")
	if got := a.blamed(w); got != "second" || replaced != 1 {
		t.Errorf("got %q blamed and %d searches for another chain, want second and 1", got, replaced)
	}
}

// A server sends a byte of an event now and then and never the whole event. The stream must go on elsewhere after the event gap
// timeout, however many bytes arrive.
func TestTricklingStreamGoesOnElsewhere(t *testing.T) {
	stop, begun := make(chan struct{}), make(chan struct{}, 1)
	t.Cleanup(func() { close(stop) })
	trickling := serveRaw(t, func(w io.Writer, id string) bool {
		begun <- struct{}{}
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n", id)
		for err == nil {
			select {
			case <-stop:
				return false
			case <-time.After(50 * time.Millisecond):
				_, err = io.WriteString(w, "1\r\nx\r\n")
			}
		}
		return false
	})
	healthy := serveRaw(t, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := newTestGateway(t, trickling, "127.0.0.1:1")
	setEventGapObjective(g, 200*time.Millisecond)
	setModelServers(g, kwmembership.Announcement{ID: "trickling", Address: trickling, Layers: kwid.LayerRange{To: 8}})
	go func() {
		<-begun
		setModelServers(g, kwmembership.Announcement{ID: "trickling", Address: trickling, Layers: kwid.LayerRange{To: 8}},
			kwmembership.Announcement{ID: "healthy", Address: healthy, Layers: kwid.LayerRange{To: 8}})
	}()
	client := &http.Client{Timeout: 8 * time.Second}
	status, body := post(t, client, g, "/notes/x", "q1")
	if want := "id: 1\n\nid: 2\n\n"; status != http.StatusOK || body != want {
		t.Errorf("got %d %q, want %q", status, body, want)
	}
}

// setEventGapObjective replaces the objective of all routes of a gateway.
func setEventGapObjective(g *Gateway, objective time.Duration) {
	v := *g.view.Load()
	d := *v.index.Declaration
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		d.Routes[i].EventGapObjective = objective
	}
	v.index = kwdeclaration.NewIndex(&d)
	g.view.Store(&v)
}
