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
)

// TestLateStreamsOfAStopAreNotCut guards against streams that arrive late in a planned stop, are passed on by a forecast and cut at its
// end.
func TestLateStreamsOfAStopAreNotCut(t *testing.T) {
	const callers, events, usual, drainTimeout = 24, 30, 600 * time.Millisecond, 4 * time.Second
	const modelPath, plainPath = "/notes/x", "/once/x"
	aFifthIsSlow := func(n int64, _ int) time.Duration {
		if n%5 == 0 {
			return 2 * usual / events
		}
		return 0
	}
	cases := []struct {
		name, path string
		// pause returns the pause before event i of the nth stream, beyond what is usual.
		pause func(n int64, i int) time.Duration
	}{
		{"a fifth is three times as long", modelPath, aFifthIsSlow},
		{"a fifth is three times as long, service without an engine", plainPath, aFifthIsSlow},
		{"one in forty has silences", modelPath, func(n int64, i int) time.Duration {
			if n%40 == 0 && i%10 == 5 {
				return 800 * time.Millisecond
			}
			return 0
		}},
		{"all alike", modelPath, func(int64, int) time.Duration { return 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var arrived sync.Map
			var count atomic.Int64
			server := serveRaw(t, func(w io.Writer, id string) bool {
				arrived.Store(id, true)
				n := count.Add(1)
				_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				for i := 0; i < events && err == nil; i++ {
					time.Sleep(usual/events + c.pause(n, i))
					event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
					_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
				}
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return err == nil
			})
			g := newTestGateway(t, server, server)
			g.cfg.DrainTimeout = drainTimeout
			addPlainStreams(g)
			stopped := make(chan struct{})
			var served, rejected atomic.Int64
			var sent sync.WaitGroup
			for caller := range callers {
				client := &http.Client{Transport: &http.Transport{}}
				sent.Go(func() {
					for i := 0; ; i++ {
						select {
						case <-stopped:
							return
						default:
						}
						id := fmt.Sprintf("%d-%d", caller, i)
						status, body := post(t, client, g, c.path, id)
						_, passedOn := arrived.Load(id)
						switch {
						case status == http.StatusOK && strings.Count(body, "id:") == events:
							served.Add(1)
						case passedOn:
							t.Errorf("%s was passed on: got status %d, %d events", id, status, strings.Count(body, "id:"))
						default:
							rejected.Add(1)
							time.Sleep(10 * time.Millisecond)
						}
					}
				})
			}
			time.Sleep(8 * time.Second)
			before := served.Load()
			g.Stop()
			close(stopped)
			sent.Wait()
			t.Logf("%d served before the stop, %d in all, %d rejected", before, served.Load(), rejected.Load())
		})
	}
}
