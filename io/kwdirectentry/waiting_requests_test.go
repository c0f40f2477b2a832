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

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// TestRequestsThatWaitDuringAStop guards against requests that wait for their turn at a server with a limit as a stop begins: some got it
// too late to be answered, the others were held until the end of the drain, and then rejected.
func TestRequestsThatWaitDuringAStop(t *testing.T) {
	for _, path := range []string{"/alerts/x", "/lookups/x", "/notes/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const callers, callTime, drainTimeout, slack = 40, 700 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond
			var arrived sync.Map
			server := serveRaw(t, func(w io.Writer, id string) bool {
				arrived.Store(id, true)
				time.Sleep(callTime)
				_, err := io.WriteString(w, limitedAnswer(path, id, "8"))
				return err == nil
			})
			g := newTestGateway(t, server, server)
			g.cfg.DrainTimeout = drainTimeout
			if status, _ := post(t, http.DefaultClient, g, path, "first"); status != http.StatusOK {
				t.Fatalf("got status %d, want 200", status)
			}
			began := time.Now()
			var served, rejected atomic.Int64
			var sent sync.WaitGroup
			for i := range callers {
				sent.Go(func() {
					id := fmt.Sprintf("w-%d", i)
					status, body := post(t, &http.Client{Transport: &http.Transport{}}, g, path, id)
					_, passedOn := arrived.Load(id)
					switch {
					case status == http.StatusOK:
						served.Add(1)
					case status == http.StatusServiceUnavailable && !passedOn && strings.Contains(body, "not-run"):
						rejected.Add(1)
						if took, want := time.Since(began), drainTimeout-2*callTime+slack; took > want {
							t.Errorf("%s: got a rejection after %v, want it within %v", id, took, want)
						}
					default:
						t.Errorf("%s, passed on %v: got %d %q, want its answer or a rejection", id, passedOn, status, body)
					}
				})
			}
			awaitTrue(t, "calls wait", func() bool { return g.metrics.limitWaits.Count() > 0 || g.inFlight.Load() == callers })
			g.Stop()
			sent.Wait()
			t.Logf("%d served, %d rejected", served.Load(), rejected.Load())
		})
	}
}

// TestStreamThatWaitsDuringAStop guards against a stream that waits for a chain as a stop begins, and is held until the end of the drain.
func TestStreamThatWaitsDuringAStop(t *testing.T) {
	t.Parallel()
	const streamTime, drainTimeout, slack = 700 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.cfg.DrainTimeout = drainTimeout
	g.view.Load().index.Service("llm").Engine.Slots = 1
	setModelServers(g, kwmembership.Announcement{ID: "m", Address: "127.0.0.1:1", Layers: kwid.LayerRange{To: 8}})
	busy := &request{view: g.view.Load(), arrived: time.Now(), service: "llm", route: g.view.Load().index.Route("h", "/notes/x")}
	s := &streamState{q: busy, size: estimateSize(busy)}
	if _, _, err := g.scheduler.acquireChain(t.Context(), s.chainRequest(g)); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	g.streams.End(now, g.streams.Begin(now.Add(-streamTime), "llm"), true)
	response := postInBackground(t, g, "/notes/x", "w")
	awaitTrue(t, "the stream waits", func() bool {
		g.scheduler.mu.Lock()
		defer g.scheduler.mu.Unlock()
		return g.scheduler.dispatcher.Waiting() == 1
	})
	began := time.Now()
	go g.Stop()
	got := <-response
	if took, want := time.Since(began), drainTimeout-2*streamTime+slack; took > want {
		t.Errorf("got the response after %v, want it within %v", took, want)
	}
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "entry-stopping") {
		t.Errorf("got %d %q, want 503 entry-stopping", got.status, got.body)
	}
}
