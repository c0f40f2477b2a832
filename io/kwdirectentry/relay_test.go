package kwdirectentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// testDialect maps the request ID, the last event, the not-run promise and the notices that a server leaves, wants no requests or names a
// limit. Responses are signed unless they have the header Unsigned.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) kwupstream.RequestMeta {
	return kwupstream.RequestMeta{ID: kwid.RequestID(h.Get("Id")), PromptTokens: 700, EstimatedAnswerTokens: 200, Timeout: time.Minute}
}

func (testDialect) WriteRequest(h http.Header, meta kwupstream.ForwardMeta) {
	h.Set("Last-Event-Id", meta.LastEventID)
}

func (testDialect) WriteRetryAfter(http.Header, time.Duration) {}

func (testDialect) ReadResponse(_ int, h http.Header) kwupstream.ResponseMeta {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	limit := kwendpointlimit.Notice{Kind: kwendpointlimit.Unlimited}
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		limit = kwendpointlimit.Notice{Kind: kwendpointlimit.Limited, Rate: kwendpointlimit.Rate(perSecond)}
	}
	return kwupstream.ResponseMeta{
		ID: kwid.RequestID(h.Get("Id")), Signed: h.Get("Unsigned") == "", NotRun: h.Get("Not-Run") != "", InFlight: -1, Leaving: h.Get("Leaving") != "",
		RetryAfter: pause, Limit: limit, FailedAddress: h.Get("Failed"),
	}
}

// noStalls reports no stalled requests.
type noStalls struct{}

func (noStalls) StalledRequests(context.Context, kwid.EndpointID, string) (StallReport, error) {
	return StallReport{}, nil
}

// newTestGateway returns a gateway with a fixed view of one model server and one records server.
func newTestGateway(tb testing.TB, model, recordsServer string) *Gateway {
	tb.Helper()
	cfg := Config{
		Node: "g", Zone: "a", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", ReadyPath: "/ready", ViewLease: time.Hour,
		DrainTimeout: time.Second, RetryBudget: kwretry.SharedBudgetsConfig{Ratio: 1, Burst: 1000}, Queue: kwqueue.DefaultConfig(), Ejector: kwretry.DefaultEjectorConfig(),
	}
	events := kwevent.New(kwevent.Config{Node: "g", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), MaxRecords: 16})
	g, err := New(cfg, Deps{Events: events, Metrics: metrics.NewRegistry(), Dialect: testDialect{}, Stalls: noStalls{}, Now: time.Now})
	if err != nil {
		tb.Fatal(err)
	}
	engine := &kwdeclaration.Engine{
		Slots: 100, Layers: 8, LayerMB: 1, KVMBPerTokenLayer: 0.001, StepTime: time.Millisecond, PrefillTokensPerSecond: 1e6, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
		Accelerators: []kwdeclaration.Accelerator{{Name: "fast", MemoryMB: 50_000, StepTimeFactor: 1, PrefillTimeFactor: 1}},
	}
	route := func(prefix string, kind kwdeclaration.CallKind, service kwid.ServiceName) kwdeclaration.Route {
		return kwdeclaration.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: time.Minute, LatencyObjective: 10 * time.Second,
			EventGapObjective: 10 * time.Second, MaxAttempts: 2, Resumable: true, Targets: []kwdeclaration.Target{{Service: service, Weight: 1}},
		}
	}
	v := emptyView()
	v.index = kwdeclaration.NewIndex(&kwdeclaration.Declaration{
		Number:   1,
		KeyCheck: kwdeclaration.KeyIgnored,
		Services: []kwdeclaration.Service{{Name: "llm", Engine: engine}, {Name: "records"}},
		Routes: []kwdeclaration.Route{
			route("/notes/", kwdeclaration.Streaming, "llm"), route("/alerts/", kwdeclaration.AtMostOnce, "records"), route("/lookups/", kwdeclaration.Idempotent, "records"),
		},
	})
	v.endpoints["m"] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: kwmembership.Announcement{
		ID: "m", Service: "llm", Zone: "a", Address: model, Accelerator: "fast", Layers: kwid.LayerRange{To: 8},
	}}
	v.endpoints["r"] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: kwmembership.Announcement{ID: "r", Service: "records", Zone: "a", Address: recordsServer}}
	v.indexEndpoints()
	v.confirmedAt = time.Now()
	g.view.Store(v)
	g.scheduler.applyView(v, nil)
	g.goBackground(func() { g.serve(g.server, g.acceptCallers(g.listener)) })
	tb.Cleanup(func() {
		_ = g.server.Close()
		_ = g.readyServer.Close()
		_ = g.readyListener.Close()
		g.cancel()
		g.awaitBackground()
	})
	return g
}

// serveConns runs a server that handles each connection by a function and closes it.
func serveConns(tb testing.TB, handle func(c net.Conn)) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// serveRaw runs a server whose responses are the raw bytes that answer writes; it closes the connection once answer
// returns false.
func serveRaw(tb testing.TB, answer func(w io.Writer, id string) (keepOpen bool)) string {
	tb.Helper()
	return serveConns(tb, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil || !answer(c, req.Header.Get("Id")) {
				return
			}
		}
	})
}

// post sends a request through the gateway and returns the status and the body, or the error in its place.
func post(tb testing.TB, client *http.Client, g *Gateway, path, id string) (int, string) {
	tb.Helper()
	address, _ := g.Addresses()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		tb.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", id)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "broken: " + err.Error()
	}
	return resp.StatusCode, string(body)
}

// Whatever a server does, a request of an at-most-once route must be sent once, and once more only after a promise that
// it has not run. A 503 may reach the caller only with that promise.
func TestAtMostOnceRouteIsNotRepeated(t *testing.T) {
	cases := []struct {
		name   string
		answer func(w io.Writer, id string) bool
		want   int
		sends  int
	}{
		{"answers", func(w io.Writer, id string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
			return true
		}, http.StatusOK, 1},
		{"fails", func(w io.Writer, id string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Oops\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}, http.StatusInternalServerError, 1},
		{"closes", func(io.Writer, string) bool { return false }, http.StatusBadGateway, 1},
		{"breaks off its response", func(w io.Writer, id string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", id)
			return false
		}, http.StatusBadGateway, 1},
		{"responds 503 without the not-run promise", func(w io.Writer, id string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}, http.StatusBadGateway, 1},
		{"responds 503 with the not-run promise", func(w io.Writer, id string) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			return true
		}, http.StatusServiceUnavailable, 2},
	}
	for _, c := range cases {
		sends := make(chan string, 10)
		address := serveRaw(t, func(w io.Writer, id string) bool {
			sends <- id
			return c.answer(w, id)
		})
		g := newTestGateway(t, "127.0.0.1:1", address)
		v := *g.view.Load()
		row := v.endpoints["r"]
		row.Announcement.ID = "r2"
		v.endpoints["r2"] = row
		v.indexEndpoints()
		g.view.Store(&v)
		if got, body := post(t, http.DefaultClient, g, "/alerts/x", "q1"); got != c.want || len(sends) != c.sends {
			t.Errorf("%s: got %d (%s) after %d sends, want %d after %d", c.name, got, body, len(sends), c.want, c.sends)
		}
	}
}

// A stream breaks off in the middle of an event: the caller must still get each event once and in order.
func TestStreamResumesAfterBreak(t *testing.T) {
	attempts := 0
	address := serveRaw(t, func(w io.Writer, id string) bool {
		attempts++
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: %d\r\nTransfer-Encoding: chunked\r\n\r\n", id, attempts)
		if attempts == 1 {
			_, _ = io.WriteString(w, "b\r\nid: 1\n\nid: \r\n")
			return false
		}
		_, _ = io.WriteString(w, "7\r\nid: 2\n\n\r\n0\r\n\r\n")
		return true
	})
	g := newTestGateway(t, address, "127.0.0.1:1")
	// The same server gets a second endpoint ID, since a retry excludes the endpoint that has failed.
	v := *g.view.Load()
	row := v.endpoints["m"]
	row.Announcement.ID = "m2"
	v.endpoints["m2"] = row
	v.indexEndpoints()
	g.view.Store(&v)
	status, body := post(t, http.DefaultClient, g, "/notes/x", "q1")
	if want := "id: 1\n\nid: 2\n\n"; status != http.StatusOK || body != want || attempts != 2 {
		t.Errorf("got %d %q after %d attempts, want %q after 2", status, body, attempts, want)
	}
}

const eventsPerStream = 100

// BenchmarkStream measures a stream of 100 events, sent one at a time, through the gateway, with the caller and the
// endpoint in the same process.
func BenchmarkStream(b *testing.B) {
	event := func(n int) string { return fmt.Sprintf("id: %2d\ndata: ", n) + strings.Repeat("x", 100) + "\n\n" }
	var chunks [eventsPerStream]string
	for i := range chunks {
		chunks[i] = fmt.Sprintf("%x\r\n%s\r\n", len(event(i)), event(i))
	}
	address := serveRaw(b, func(w io.Writer, id string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for _, chunk := range chunks {
			_, _ = io.WriteString(w, chunk)
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	})
	g := newTestGateway(b, address, "127.0.0.1:1")
	b.ReportAllocs()
	for b.Loop() {
		if status, body := post(b, http.DefaultClient, g, "/notes/x", "q1"); status != http.StatusOK || len(body) != eventsPerStream*len(event(0)) {
			b.Fatalf("got %d with %d bytes", status, len(body))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*eventsPerStream), "us/event")
}

// BenchmarkUnary measures a unary request through the gateway, with the caller and the endpoint in the same process.
func BenchmarkUnary(b *testing.B) {
	address := serveRaw(b, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 800\r\n\r\n%s", id, strings.Repeat("x", 800))
		return err == nil
	})
	g := newTestGateway(b, "127.0.0.1:1", address)
	b.ReportAllocs()
	for b.Loop() {
		if status, body := post(b, http.DefaultClient, g, "/lookups/x", "q1"); status != http.StatusOK {
			b.Fatalf("got %d %s", status, body)
		}
	}
}

// TestResumedStreamWithoutFrameIsNotCutShort guards against a resumed stream that counts as complete when its server closes the
// connection before the first event: a response with neither a length nor chunks ends with its connection.
func TestResumedStreamWithoutFrameIsNotCutShort(t *testing.T) {
	var attempts atomic.Int32
	address := serveRaw(t, func(w io.Writer, id string) bool {
		attempt := attempts.Add(1)
		frame := "Connection: close\r\n"
		if attempt == 1 {
			frame = "Transfer-Encoding: chunked\r\n"
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n", id, frame)
		switch attempt {
		case 1:
			_, _ = io.WriteString(w, "7\r\nid: 1\n\n\r\n")
		case 3:
			_, _ = io.WriteString(w, "id: 2\n\nid: 3\n\n")
		}
		return false
	})
	g := newTestGateway(t, address, "127.0.0.1:1")
	var servers []kwmembership.Announcement
	for _, id := range []kwid.EndpointID{"a", "b", "c"} {
		servers = append(servers, kwmembership.Announcement{ID: id, Address: address, Layers: kwid.LayerRange{To: 8}})
	}
	setModelServers(g, servers...)
	v := g.view.Load()
	for i := range v.index.Declaration.Routes {
		v.index.Declaration.Routes[i].MaxAttempts = 3
	}
	status, body := post(t, http.DefaultClient, g, "/notes/x", "q1")
	if want := "id: 1\n\nid: 2\n\nid: 3\n\n"; status != http.StatusOK || body != want || attempts.Load() != 3 {
		t.Errorf("got %d %q after %d attempts, want %q after 3", status, body, attempts.Load(), want)
	}
}
