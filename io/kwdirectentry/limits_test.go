package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// limitedAnswer is an answer of each form to a path, with a limit in its head.
func limitedAnswer(path, id, limit string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nLimit: %s\r\n", id, limit)
	if strings.HasPrefix(path, "/notes") {
		return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n"
	}
	return head + "Content-Length: 2\r\n\r\nok"
}

// TestOnlyLimitedServerRejectsAtOnce has the only server of a service name a limit that leaves no room for long. Later requests must be
// rejected at once, without reaching it, and taken again after an answer without a limit.
func TestOnlyLimitedServerRejectsAtOnce(t *testing.T) {
	for _, path := range []string{"/lookups/x", "/alerts/x", "/notes/x"} {
		var arrivals atomic.Int32
		address := serveRaw(t, func(w io.Writer, id string) bool {
			arrivals.Add(1)
			_, _ = io.WriteString(w, limitedAnswer(path, id, "0.001"))
			return true
		})
		g := newTestGateway(t, address, address)
		for i := range g.view.Load().index.Declaration.Routes {
			g.view.Load().index.Declaration.Routes[i].Timeout = 10 * time.Second
		}
		if got, body := post(t, http.DefaultClient, g, path, "q"); got != http.StatusOK {
			t.Fatalf("%s: got %d %q, want 200", path, got, body)
		}
		begin := time.Now()
		if got, body := post(t, http.DefaultClient, g, path, "q"); got != http.StatusServiceUnavailable || !strings.Contains(body, `"endpoint-limit"`) {
			t.Errorf("%s: got %d %q, want 503 with the code of the limit", path, got, body)
		}
		if got := time.Since(begin); got > 5*time.Second || arrivals.Load() != 1 {
			t.Errorf("%s: got the rejection after %v and %d arrivals, want it at once and 1", path, got, arrivals.Load())
		}
		for _, p := range []kwmembership.Process{{Endpoint: "m"}, {Endpoint: "r"}} {
			g.scheduler.limits.Observe(time.Now(), p, kwendpointlimit.Notice{Kind: kwendpointlimit.Unlimited})
		}
		if got, body := post(t, http.DefaultClient, g, path, "q"); got != http.StatusOK || arrivals.Load() != 2 {
			t.Errorf("%s, after the limit: got %d %q after %d arrivals, want 200 after 2", path, got, body, arrivals.Load())
		}
	}
}

// TestCallsWaitForTheirTurn sends calls at once to the only server of a service, whose limit has room for all of them in time.
func TestCallsWaitForTheirTurn(t *testing.T) {
	const calls, limit = 6, "60"
	var mu sync.Mutex
	var arrivals []time.Time
	address := serveRaw(t, func(w io.Writer, id string) bool {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		_, _ = io.WriteString(w, limitedAnswer("/lookups/x", id, limit))
		return true
	})
	g := newTestGateway(t, address, address)
	if got, _ := post(t, http.DefaultClient, g, "/lookups/x", "first"); got != http.StatusOK {
		t.Fatalf("got %d, want 200", got)
	}
	share, _ := g.scheduler.limits.Share(time.Now(), kwmembership.Process{Endpoint: "r"})
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			if got, body := post(t, http.DefaultClient, g, "/lookups/x", fmt.Sprintf("q%d", i)); got != http.StatusOK {
				t.Errorf("call %d: got %d %q, want 200", i, got, body)
			}
		})
	}
	wg.Wait()
	least := share.Time(calls - 2)
	if got := arrivals[len(arrivals)-1].Sub(arrivals[1]); got < least {
		t.Errorf("got %d calls within %v, want at least %v at the share of %v a second", calls, got, least, share)
	}
	if got := g.metrics.limitWaits.Count(); got == 0 {
		t.Error("got no call that waited, want some")
	}
}

// TestRetriesKeepToTheLimit has one of two servers fail all calls, and the other one name a limit. Repeats must not go beyond it.
func TestRetriesKeepToTheLimit(t *testing.T) {
	failing := serveRaw(t, func(w io.Writer, id string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	})
	var arrivals atomic.Int32
	limited := serveRaw(t, func(w io.Writer, id string) bool {
		arrivals.Add(1)
		_, _ = io.WriteString(w, limitedAnswer("/lookups/x", id, "0.001"))
		return true
	})
	g := newTestGateway(t, failing, failing)
	v := *g.view.Load()
	v.endpoints["l"] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: kwmembership.Announcement{ID: "l", Service: "records", Zone: "a", Address: limited}}
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
	for i := range 20 {
		_, _ = post(t, http.DefaultClient, g, "/lookups/x", fmt.Sprintf("q%d", i))
	}
	if got := arrivals.Load(); got < 1 || got > 2 {
		t.Errorf("got %d requests at the limited server, want the 1 that told of the limit and 1 turn at most", got)
	}
}

// TestUnsentRequestsKeepTheirTurn has the only server of a service refuse connections while it has a limit. A request that was not sent
// must leave its turn to the next one.
func TestUnsentRequestsKeepTheirTurn(t *testing.T) {
	for _, c := range []struct {
		path   string
		server kwid.EndpointID
	}{{"/lookups/x", "r"}, {"/notes/x", "m"}} {
		g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
		for i := range g.view.Load().index.Declaration.Routes {
			g.view.Load().index.Declaration.Routes[i].LatencyObjective = 20 * time.Millisecond
		}
		p := kwmembership.Process{Endpoint: c.server}
		g.scheduler.limits.Observe(time.Now(), p, kwendpointlimit.Notice{Kind: kwendpointlimit.Limited, Rate: 6})
		for g.scheduler.limits.Wait(time.Now(), p) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if got, body := post(t, http.DefaultClient, g, c.path, "q"); got != http.StatusServiceUnavailable {
			t.Errorf("%s: got %d %q, want 503", c.path, got, body)
		}
		if got := g.scheduler.limits.Wait(time.Now(), p); got > 0 {
			t.Errorf("%s: got a wait of %v for the next turn, want 0", c.path, got)
		}
	}
}
