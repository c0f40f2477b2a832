package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// TestStoppingEntryHandsOverSlowStream has a stream run so slowly that the drain would end it. It must go on on another chain and
// reach its caller whole, if the route allows that and the retry budget has room.
func TestStoppingEntryHandsOverSlowStream(t *testing.T) {
	const slowInterval, left = 20 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name         string
		prepare      func(g *Gateway)
		wantArrivals int64
		wantWhole    bool
	}{
		{"resumable route", func(*Gateway) {}, 2, true},
		{"route that may not be resumed", func(g *Gateway) { g.view.Load().index.Route("h", "/notes/x").Resumable = false }, 1, false},
		{"one attempt allowed", func(g *Gateway) { g.view.Load().index.Route("h", "/notes/x").MaxAttempts = 1 }, 1, false},
		{"no retry budget", func(g *Gateway) {
			for g.retryBudgets.ForService("llm").TrySpend(time.Now()) {
			}
		}, 1, false},
	}
	for _, c := range cases {
		var arrivals atomic.Int64
		model := serveRaw(t, func(w io.Writer, id string) bool {
			n := arrivals.Add(1)
			_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
			if n > 1 {
				writeEvent(w, 200)
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			}
			for event := 1; err == nil && event <= 200; event++ {
				time.Sleep(slowInterval)
				_, err = fmt.Fprintf(w, "f\r\nid: %03d\ndata:\n\n\r\n", event)
			}
			return false
		})
		g := newTestGateway(t, model, "127.0.0.1:1")
		setModelServers(
			g, kwmembership.Announcement{ID: "m1", Address: model, Layers: kwid.LayerRange{To: 8}},
			kwmembership.Announcement{ID: "m2", Address: model, Layers: kwid.LayerRange{To: 8}},
		)
		for i := range 50 {
			g.scheduler.observe(kwdispatch.Answer{EstimatedTokens: 200, Tokens: 150 + 2*i, ExpectedTokenTime: time.Millisecond, TokenTime: time.Millisecond})
		}
		c.prepare(g)
		response := postInBackground(t, g, "/notes/x", "s")
		awaitTrue(t, "the stream has begun", func() bool { return g.metrics.eventWrites.Count() > 0 })
		now := time.Now()
		go g.drain(now, now.Add(left), now.Add(left+time.Second))
		got := <-response
		if whole := strings.HasSuffix(got.body, "id: 200\ndata: x\n\n"); got.status != http.StatusOK || whole != c.wantWhole || arrivals.Load() != c.wantArrivals {
			t.Errorf("%s: got status %d, a whole stream %v and %d arrivals, want 200, %v and %d",
				c.name, got.status, whole, arrivals.Load(), c.wantWhole, c.wantArrivals)
		}
		awaitTrue(t, "the request ends", func() bool { return g.inFlight.Load() == 0 })
		end := fmt.Sprint(lastEnd(t, g, "s"))
		if wantName := map[bool]string{true: "request-answered", false: "request-failed"}[c.wantWhole]; !strings.Contains(end, wantName) {
			t.Errorf("%s: got log line %s, want %s", c.name, end, wantName)
		}
		if own := g.scheduler.ownLoads(); len(own) != 0 {
			t.Errorf("%s: got loads %v after the end, want none", c.name, own)
		}
	}
}
