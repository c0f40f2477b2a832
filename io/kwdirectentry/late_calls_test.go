package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLateCallsOfAStopAreNotCut guards against calls that arrive late in a planned stop, are passed on to a server and cut at its end.
func TestLateCallsOfAStopAreNotCut(t *testing.T) {
	for _, path := range []string{"/alerts/x", "/lookups/x"} {
		for _, usual := range []time.Duration{900 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s answers of %v", path, usual), func(t *testing.T) {
				t.Parallel()
				const callers, drainTimeout = 24, 4 * time.Second
				var arrived sync.Map
				var count atomic.Int64
				server := serveRaw(t, func(w io.Writer, id string) bool {
					arrived.Store(id, true)
					took := usual
					if count.Add(1)%5 == 0 {
						took *= 3
					}
					time.Sleep(took)
					_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
					return err == nil
				})
				g := newTestGateway(t, server, server)
				g.cfg.DrainTimeout = drainTimeout
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
							status, body := post(t, client, g, path, id)
							_, passedOn := arrived.Load(id)
							switch {
							case status == http.StatusOK:
								served.Add(1)
							case passedOn:
								t.Errorf("%s was passed on: got status %d, %s", id, status, body)
							default:
								rejected.Add(1)
								time.Sleep(10 * time.Millisecond)
							}
						}
					})
				}
				time.Sleep(4 * time.Second)
				before := served.Load()
				g.Stop()
				close(stopped)
				sent.Wait()
				t.Logf("%d served before the stop, %d in all, %d rejected", before, served.Load(), rejected.Load())
			})
		}
	}
}
