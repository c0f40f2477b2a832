package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// addRoute adds a route like the one of a prefix to the declaration of a gateway.
func addRoute(g *Gateway, like, prefix string, change func(*kwdeclaration.Route)) {
	v := *g.view.Load()
	d := *v.index.Declaration
	route := *v.index.Route("h", like)
	route.Name, route.Prefix = prefix, prefix
	change(&route)
	d.Routes = append(slices.Clone(d.Routes), route)
	v.index = kwdeclaration.NewIndex(&d)
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// addPlainStreams adds streaming routes to the service without an engine: one whose streams may be resumed, and one whose streams may not.
func addPlainStreams(g *Gateway) {
	addRoute(g, "/alerts/", "/resumed/", func(r *kwdeclaration.Route) { r.Kind, r.Resumable = kwdeclaration.Streaming, true })
	addRoute(g, "/alerts/", "/once/", func(r *kwdeclaration.Route) { r.Kind, r.Resumable = kwdeclaration.Streaming, false })
}

// TestStreamsCutWithinAnEventAreNotWhole guards against a stream without a length that a crash cuts within an event, of a service without
// an engine, which callers got as complete.
func TestStreamsCutWithinAnEventAreNotWhole(t *testing.T) {
	const whole = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	crlf := strings.ReplaceAll(whole, "\n", "\r\n")
	cuts := []struct{ name, sent, whole string }{
		{"within a line", whole[:strings.Index(whole, "ta: y")], whole},
		{"after the name of a field", whole[:strings.Index(whole, " y")], whole},
		{"before the end of a line", strings.TrimRight(whole, "\n"), whole},
		{"between a line and the blank line", whole[:len(whole)-1], whole},
		{"before the first event", "", whole},
		{"within a blank line with CR", crlf[:len(crlf)-1], crlf},
	}
	for _, cut := range cuts {
		for _, path := range []string{"/resumed/x", "/once/x", "/lookups/x", "/alerts/x"} {
			t.Run(cut.name+", "+path, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				begun := cut.sent != ""
				server := serveRaw(t, func(w io.Writer, id string) bool {
					body := cut.sent
					if sent.Add(1) > 1 {
						body = cut.whole
						// The second attempt at a stream goes on after the first event, if that came.
						if begun && path == "/resumed/x" {
							body = cut.whole[len(cut.whole)/2:]
						}
					}
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream; charset=utf-8\r\nConnection: close\r\n\r\n%s", id, body)
					return false
				})
				g := newTestGateway(t, server, server)
				addSecondEndpoints(g)
				addPlainStreams(g)
				status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, path, "q1")
				switch {
				case path == "/once/x" && begun:
					if status != http.StatusOK || !strings.HasPrefix(body, "broken: ") || sent.Load() != 1 {
						t.Errorf("got %d %q after %d sends, want a stream that is cut off after one", status, body, sent.Load())
					}
				case path == "/once/x" || path == "/alerts/x":
					if status != http.StatusBadGateway || sent.Load() != 1 {
						t.Errorf("got %d %q after %d sends, want 502 after one", status, body, sent.Load())
					}
				default:
					if status != http.StatusOK || body != cut.whole || sent.Load() != 2 {
						t.Errorf("got %d %q after %d sends, want the whole stream after two", status, body, sent.Load())
					}
				}
			})
		}
	}
}

// TestPlainStreamIsPassedOnAsItComes guards against streams of a service without an engine that are kept back until they end: callers give up
// those that last.
func TestPlainStreamIsPassedOnAsItComes(t *testing.T) {
	const wait = 3 * time.Second
	received := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-received:
		case <-time.After(wait):
			t.Errorf("the first event has not reached the caller within %v", wait)
		}
		_, _ = io.WriteString(w, "id: 2\ndata: y\n\n")
	}))
	defer server.Close()
	g := newTestGateway(t, "127.0.0.1:1", strings.TrimPrefix(server.URL, "http://"))
	addPlainStreams(g)
	for _, path := range []string{"/resumed/x", "/once/x"} {
		received = make(chan struct{})
		address, _ := g.Addresses()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set("Id", "q1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, len("id: 1\ndata: x\n\n"))
		if _, err := io.ReadFull(resp.Body, first); err != nil {
			t.Errorf("%s: first event: %v", path, err)
		}
		close(received)
		rest, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if got, want := string(first)+string(rest), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"; got != want || err != nil {
			t.Errorf("%s: got %q (%v), want %q", path, got, err, want)
		}
	}
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	if inFlight := g.scheduler.inFlight["r"]; inFlight != 0 {
		t.Errorf("got %d requests in flight after the streams, want none", inFlight)
	}
}

// TestPlainStreamResumes has servers break off a stream: it goes on elsewhere after its last event, as often as its route allows, and a
// server that has none left ends it.
func TestPlainStreamResumes(t *testing.T) {
	const whole = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	for _, c := range []struct {
		name string
		// rest is what the second server sends after the event 1; again makes it send that event again.
		rest, again string
		body        string
	}{
		{"goes on", "id: 2\ndata: y\n\n", "", whole},
		{"has no event left", "", "", "id: 1\ndata: x\n\n"},
		{"repeats an event", "id: 2\ndata: y\n\n", "id: 1\ndata: x\n\n", "broken: unexpected EOF"},
		{"breaks off too", "id: 2\nda", "", "broken: unexpected EOF"},
	} {
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			if sent.Add(1) == 1 {
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			if got := r.Header.Get("Last-Event-Id"); got != "1" {
				t.Errorf("%s: got Last-Event-Id %q, want 1", c.name, got)
			}
			_, _ = io.WriteString(w, c.again+c.rest)
		}))
		g := newTestGateway(t, "127.0.0.1:1", strings.TrimPrefix(server.URL, "http://"))
		addSecondEndpoints(g)
		addPlainStreams(g)
		status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, "/resumed/x", "q1")
		if status != http.StatusOK || body != c.body || sent.Load() != 2 {
			t.Errorf("%s: got %d %q after %d sends, want 200 %q after 2", c.name, status, body, sent.Load(), c.body)
		}
		now := time.Now()
		if first, second := g.scheduler.ejector.Ejected(now, "r"), g.scheduler.ejector.Ejected(now, "r2"); !first && !second {
			t.Errorf("%s: neither server is ejected, want the one that broke off", c.name)
		}
		server.Close()
	}
}

// TestLostAttemptsDoNotDisturbAResumedStream guards against the end of an attempt that has lost the race for the first event: read as the result
// of a later one, it put its sound server out of use, or ended the stream.
func TestLostAttemptsDoNotDisturbAResumedStream(t *testing.T) {
	const hedgeDelay = 20 * time.Millisecond
	for _, answersLate := range []bool{false, true} {
		var arrivals atomic.Int32
		var servers []string
		for range 3 {
			servers = append(servers, serveRaw(t, func(w io.Writer, id string) bool {
				head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
				switch arrivals.Add(1) {
				case 1:
					time.Sleep(4 * hedgeDelay)
					if answersLate {
						_, _ = io.WriteString(w, head+"f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n")
					}
					time.Sleep(4 * hedgeDelay)
				case 2:
					_, _ = io.WriteString(w, head+"f\r\nid: 1\ndata: x\n\n\r\n")
					time.Sleep(8 * hedgeDelay)
				default:
					time.Sleep(2 * hedgeDelay)
					_, _ = io.WriteString(w, head+"f\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n")
				}
				return false
			}))
		}
		g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
		setServers(g, nil, servers)
		addPlainStreams(g)
		setRoutes(g, func(r *kwdeclaration.Route) { r.MaxAttempts = 4 })
		allowHedges(g, "records", "/resumed/", hedgeDelay)
		status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, "/resumed/x", "q1")
		if want := "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"; status != http.StatusOK || body != want {
			t.Errorf("the slow server answers late %v: got %d %q after %d sends, want %q", answersLate, status, body, arrivals.Load(), want)
		}
		if got := g.metrics.hedgesSent.Count(); got != 1 {
			t.Errorf("the slow server answers late %v: got %d hedges, want 1", answersLate, got)
		}
		if got := countEvents(g, "endpoint-ejected"); got != 1 {
			t.Errorf("the slow server answers late %v: got %d servers ejected, want the one that broke off alone", answersLate, got)
		}
	}
}
