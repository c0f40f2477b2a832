package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwupstream"
)

// TestRejectedWhileAllServersArePaused has the only server of a service turn a request away for a minute. Later requests must
// be rejected at once without reaching it, until another process takes its place.
func TestRejectedWhileAllServersArePaused(t *testing.T) {
	for _, path := range []string{"/lookups/x", "/alerts/x", "/notes/x"} {
		var arrivals atomic.Int32
		address := serveRaw(t, func(w io.Writer, id string) bool {
			arrivals.Add(1)
			_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nPause: 1m\r\nContent-Length: 0\r\n\r\n", id)
			return true
		})
		g := newTestGateway(t, address, address)
		for i := range 3 {
			if got, body := post(t, http.DefaultClient, g, path, "q"); got != http.StatusServiceUnavailable || arrivals.Load() != 1 {
				t.Errorf("%s, request %d: got %d %q after %d arrivals, want 503 after 1", path, i, got, body, arrivals.Load())
			}
		}
		g.scheduler.mu.Lock()
		waiting := g.scheduler.dispatcher.Waiting()
		g.scheduler.mu.Unlock()
		if got := waiting; got != 0 {
			t.Errorf("%s: got %d requests in the queue, want none", path, got)
		}
		g.setProcess("m", 7)
		g.setProcess("r", 7)
		if got, body := post(t, http.DefaultClient, g, path, "q"); got != http.StatusServiceUnavailable || arrivals.Load() != 2 {
			t.Errorf("%s, new process: got %d %q after %d arrivals, want 503 after 2", path, got, body, arrivals.Load())
		}
	}
}

// TestServerThatAsksForRestGetsNothing has the only server of a service turn a request away for a minute in answers that name it, another
// server or one that is not known as the one at fault. It must get no further request.
func TestServerThatAsksForRestGetsNothing(t *testing.T) {
	for _, path := range []string{"/lookups/x", "/alerts/x", "/notes/x"} {
		for _, failed := range []string{"", "own", "127.0.0.1:1"} {
			var arrivals atomic.Int32
			var address string
			address = serveRaw(t, func(w io.Writer, id string) bool {
				arrivals.Add(1)
				name := failed
				if failed == "own" {
					name = address
				}
				_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nPause: 1m\r\nFailed: %s\r\nContent-Length: 0\r\n\r\n", id, name)
				return true
			})
			g := newTestGateway(t, address, address)
			for range 3 {
				_, _ = post(t, http.DefaultClient, g, path, "q")
			}
			if got := arrivals.Load(); got != 1 {
				t.Errorf("%s, refusal that names %q: got %d requests, want the 1 that was refused", path, failed, got)
			}
		}
	}
}

// TestPauseIsForBothServers has the first server of a chain turn a request away and name another one as at fault.
func TestPauseIsForBothServers(t *testing.T) {
	f := newSchedulerFixture(10)
	f.scheduler.pauses = kwretry.NewPauses(func() float64 { return 0 })
	g := &Gateway{scheduler: f.scheduler, deps: Deps{Events: newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1").deps.Events}}
	first, second := kwmembership.Process{Endpoint: "a-fast-0"}, kwmembership.Process{Endpoint: "a-fast-1"}
	meta := kwupstream.ResponseMeta{RetryAfter: time.Minute, FailedAddress: "nowhere:1"}
	g.recordNotices("q", first, "a-fast-0:1", meta)
	if got := f.scheduler.pauses.Remaining(time.Now(), first); got <= 0 {
		t.Errorf("server that answered for an unknown one: got no pause, want one")
	}
	meta.FailedAddress = "a-fast-1:1"
	g.recordNotices("q", first, "a-fast-0:1", meta)
	now := time.Now()
	if got := f.scheduler.pauses.Remaining(now, second); got <= 0 {
		t.Errorf("server at fault: got no pause, want one")
	}
}
