package kwdirectentry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLargeBodiesAtOnceFitIntoMemory guards against an entry that ends for lack of memory since many callers send bodies of the largest size at
// once. Those without room are rejected at once, unrun, and the others served.
func TestLargeBodiesAtOnceFitIntoMemory(t *testing.T) {
	const callers, bodyBytes = 96, 4 << 20
	server := serveRaw(t, func(w io.Writer, id string) bool {
		time.Sleep(300 * time.Millisecond)
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return err == nil
	})
	g := newTestGateway(t, server, server)
	address, _ := g.Addresses()
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var served, rejected atomic.Int64
	got := peakHeap(func() {
		var sent sync.WaitGroup
		for i := range callers {
			sent.Go(func() {
				req, err := http.NewRequest(http.MethodPost, "http://"+address+"/alerts/x", bytes.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "h"
				req.Header.Set("Id", fmt.Sprint(i))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					// A rejection may cross the body.
					rejected.Add(1)
					return
				}
				_ = resp.Body.Close()
				switch resp.StatusCode {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable:
					rejected.Add(1)
				default:
					t.Errorf("got status %d, want 200 or 503", resp.StatusCode)
				}
			})
		}
		sent.Wait()
	})
	if want := uint64(entryMemoryBytes - entryOwnBytes); got > want {
		t.Errorf("the heap grew by %d MB, want at most %d", got>>20, want>>20)
	}
	if served.Load() == 0 || rejected.Load() == 0 {
		t.Errorf("got %d served and %d rejected, want some of both", served.Load(), rejected.Load())
	}
	t.Logf("heap %d MB, %d served, %d rejected", got>>20, served.Load(), rejected.Load())
}
