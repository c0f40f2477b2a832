package kwdirectentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwupstream"
)

// partsDialect reads the shared parts of a prompt from a header, next to what testDialect reads.
type partsDialect struct{ testDialect }

func (d partsDialect) ReadRequest(h http.Header) kwupstream.RequestMeta {
	meta := d.testDialect.ReadRequest(h)
	meta.Timeout = 2 * time.Second
	for _, part := range strings.Fields(h.Get("Parts")) {
		meta.SharedParts = append(meta.SharedParts, kwid.PromptPartID(part))
	}
	return meta
}

// postParts sends a streaming request with shared parts of a prompt, and returns the status and the body, or the error in its place.
func postParts(t *testing.T, g *Gateway, id, parts string) (int, string) {
	t.Helper()
	address, _ := g.Addresses()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/notes/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", id)
	req.Header.Set("Parts", parts)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// serveTwoEvents answers each request with a stream of two events, apart from each other.
func serveTwoEvents(t *testing.T, served *atomic.Int64) string {
	return serveRaw(t, func(w io.Writer, id string) bool {
		served.Add(1)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		writeEvent(w, 1)
		time.Sleep(10 * time.Millisecond)
		writeEvent(w, 2)
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
}

// TestQuarantinedPartReachesNoServer guards against requests with a quarantined part that are sent to a server all the same.
func TestQuarantinedPartReachesNoServer(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, serveTwoEvents(t, &served), "127.0.0.1:1")
	g.deps.Dialect = partsDialect{}
	g.partGuard.Apply(time.Now(), nil, []kwquarantine.Quarantine{{Part: "bad", Remaining: time.Minute}}, false)
	cases := []struct {
		name, parts string
		wantStatus  int
		wantServed  int64
	}{
		{"quarantined part", "first bad", http.StatusServiceUnavailable, 0},
		{"other parts", "first other", http.StatusOK, 1},
		{"no parts", "", http.StatusOK, 1},
	}
	for _, c := range cases {
		served.Store(0)
		status, body := postParts(t, g, "r", c.parts)
		if status != c.wantStatus || served.Load() != c.wantServed {
			t.Errorf("%s: got status %d and %d requests at the model server, want %d and %d; body %s",
				c.name, status, served.Load(), c.wantStatus, c.wantServed, body)
		}
	}
	if _, body := postParts(t, g, "r", "bad"); !strings.Contains(body, "prompt-quarantined") || !strings.Contains(body, "not-run") {
		t.Errorf("answer to a quarantined part: got %s, want code prompt-quarantined and outcome not-run", body)
	}
}

// TestSoundStreamsAreRemembered checks that a stream of which the caller has two events is reported as sound for the suspects.
func TestSoundStreamsAreRemembered(t *testing.T) {
	var served atomic.Int64
	g := newTestGateway(t, serveTwoEvents(t, &served), "127.0.0.1:1")
	g.deps.Dialect = partsDialect{}
	if status, body := postParts(t, g, "r", "first other"); status != http.StatusOK {
		t.Fatalf("got status %d, %s, want 200", status, body)
	}
	g.partGuard.Apply(time.Now(), []kwid.PromptPartID{"first", "bad"}, nil, false)
	sounds := g.partGuard.Sounds(time.Now())
	if len(sounds) != 1 || sounds[0].Part != "first" {
		t.Errorf("got %v, want the part \"first\" alone", sounds)
	}
}

// TestCrashesAreReported lets a model server break off a request before its answer. Only a server that then refuses connections has
// crashed, and only then the request is reported, once.
func TestCrashesAreReported(t *testing.T) {
	cases := []struct {
		name    string
		crashes bool
		want    int64
	}{
		{"server that crashes", true, 1},
		{"server that only closes the connection", false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var reports atomic.Int64
			reported := make(chan kwdirectproto.EndpointCrashed, 8)
			control, err := kwtcprpc.Listen(kwtcprpc.ServerConfig{Address: "127.0.0.1:0", Handlers: map[kwtcprpc.Kind]kwtcprpc.Handler{
				kwdirectproto.KindEndpointCrashed: func(_ context.Context, body kwtcprpc.Body) (any, error) {
					var req kwdirectproto.EndpointCrashed
					if err := body.Decode(&req); err != nil {
						return nil, err
					}
					reports.Add(1)
					reported <- req
					return nil, nil
				},
			}})
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = control.Serve() }()
			t.Cleanup(control.Close)
			g := newTestGateway(t, serveOneBreak(t, c.crashes), "127.0.0.1:1")
			g.deps.Dialect = partsDialect{}
			g.leader.SetSeeds([]string{control.Address()})
			if status, body := postParts(t, g, "r", "first bad"); status == http.StatusOK {
				t.Fatalf("got status 200, %s, want an error", body)
			}
			if c.want > 0 {
				got := <-reported
				if got.Entry != "g" || got.Endpoint != "m" || got.Request != "r" || !slices.Equal(got.Parts, []kwid.PromptPartID{"first", "bad"}) {
					t.Errorf("got report %+v, want that of request r at endpoint m with the parts first and bad", got)
				}
			}
			// Stop waits for reports in progress.
			g.Stop()
			if got := reports.Load(); got != c.want {
				t.Errorf("got %d reports, want %d", got, c.want)
			}
		})
	}
}

// serveOneBreak runs a model server that breaks off each request before its answer; if crashes is set, it then refuses connections.
func serveOneBreak(t *testing.T, crashes bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && crashes {
					_ = l.Close()
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestOneEventAnAttemptIsNotSound guards against a crashing part that is cleared by its own requests: each server sends one event and
// crashes, and the caller has two events in the end.
func TestOneEventAnAttemptIsNotSound(t *testing.T) {
	server := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			// The first attempt has no last event.
			last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			writeEvent(c, last+1)
			_ = l.Close()
		}()
		return l.Addr().String()
	}
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.deps.Dialect = partsDialect{}
	setModelServers(g, kwmembership.Announcement{ID: "a", Address: server(), Layers: kwid.LayerRange{To: 8}},
		kwmembership.Announcement{ID: "b", Address: server(), Layers: kwid.LayerRange{To: 8}})
	if status, body := postParts(t, g, "r", "first bad"); status == http.StatusOK {
		t.Fatalf("got status 200, %s, want a broken stream", body)
	}
	crashed := 0
	for _, r := range g.deps.Events.Records() {
		if r.Name == "request-crashed" {
			crashed++
		}
	}
	if crashed != 2 {
		t.Errorf("got %d crashes noted, want 2", crashed)
	}
	g.partGuard.Apply(time.Now(), []kwid.PromptPartID{"first", "bad"}, nil, false)
	if sounds := g.partGuard.Sounds(time.Now()); len(sounds) != 0 {
		t.Errorf("got sound requests %v, want none", sounds)
	}
}

// TestCrashedRequestIsRepeatedUnlessSuspect guards against a request that gets no second attempt because its own crash has made its parts
// suspects. One whose parts were suspects before it was sent is not repeated.
func TestCrashedRequestIsRepeatedUnlessSuspect(t *testing.T) {
	cases := []struct {
		name                string
		suspectBefore       bool
		wantStatus          int
		wantServedElsewhere int64
	}{
		{"suspect by its own crash", false, http.StatusOK, 1},
		{"suspect before it was sent", true, http.StatusBadGateway, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var arrived, served atomic.Int64
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			g.deps.Dialect = partsDialect{}
			suspect := func() { g.partGuard.Apply(time.Now(), []kwid.PromptPartID{"rare"}, nil, false) }
			var servers []kwmembership.Announcement
			for _, id := range []kwid.EndpointID{"a", "b"} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = l.Close() })
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					// Whichever server comes first crashes, and the evidence of it reaches the entry at once.
					if arrived.Add(1) == 1 {
						suspect()
						_ = l.Close()
						return
					}
					served.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n")
					writeEvent(c, 1)
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}()
				servers = append(servers, kwmembership.Announcement{ID: id, Address: l.Addr().String(), Layers: kwid.LayerRange{To: 8}})
			}
			setModelServers(g, servers...)
			if c.suspectBefore {
				suspect()
			}
			status, body := postParts(t, g, "r", "first rare")
			if status != c.wantStatus || served.Load() != c.wantServedElsewhere {
				t.Errorf("got status %d and %d requests served elsewhere, want %d and %d; body %s",
					status, served.Load(), c.wantStatus, c.wantServedElsewhere, body)
			}
		})
	}
}

// TestCrashIsLoggedWithTheDigest checks that each request whose server crashes is logged with the same digest if it comes again, and
// without its body: a call of a plain service, and a stream after some events.
func TestCrashIsLoggedWithTheDigest(t *testing.T) {
	cases := []struct {
		name, path string
		events     int
	}{
		{"lookup", "/lookups/x", 0},
		{"stream before its first event", "/notes/x", 0},
		{"stream after three events", "/notes/x", 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			digests := make(map[string]int)
			for _, id := range []string{"first", "again"} {
				address := serveCrash(t, c.events)
				g := newTestGateway(t, address, address)
				g.deps.Dialect = partsDialect{}
				if status, body := postBody(t, g, c.path, id, "secret"); status == http.StatusOK {
					t.Fatalf("got status 200, %s, want an error", body)
				}
				for _, r := range g.deps.Events.Records() {
					if strings.Contains(fmt.Sprint(r), "secret") {
						t.Errorf("event %s holds the body: %v", r.Name, r)
					}
					if r.Name != "request-crashed" {
						continue
					}
					for _, f := range r.Fields {
						if f.Key == "digest" {
							digests[fmt.Sprint(f.Value)]++
						}
					}
				}
			}
			if len(digests) != 1 {
				t.Fatalf("got digests %v, want one", digests)
			}
			for digest, n := range digests {
				if n != 2 || len(digest) != 32 {
					t.Errorf("got digest %q in %d events, want 32 hexadecimal digits in 2", digest, n)
				}
			}
		})
	}
}

// serveCrash runs a server that sends some events, at least the head of a stream if there are any, and then refuses connections.
func serveCrash(t *testing.T, events int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		defer func() { _ = l.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if events > 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
		}
		for event := range events {
			writeEvent(c, event+1)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return l.Addr().String()
}

// postBody sends a request with a body, and returns the status and the body of the answer, or the error in its place.
func postBody(t *testing.T, g *Gateway, path, id, body string) (int, string) {
	t.Helper()
	address, _ := g.Addresses()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}
