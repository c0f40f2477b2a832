package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// entryMemoryBytes is the memory of a small VM, of which an entry needs entryOwnBytes when it buffers nothing.
	entryMemoryBytes = 216 << 20
	entryOwnBytes    = 40 << 20
	entryHeapBytes   = entryMemoryBytes * 7 / 10
)

// peakHeap returns how much the heap grows at most, in bytes, while f runs with the memory limit of a deployed entry.
func peakHeap(f func()) uint64 {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(entryHeapBytes))
	var m runtime.MemStats
	inUse := func() uint64 {
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	debug.FreeOSMemory()
	before := inUse()
	peak, done := before, make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	for {
		peak = max(peak, inUse())
		select {
		case <-done:
			return peak - before
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestBytesWithoutEndFitIntoMemory guards against an entry that ends for lack of memory since a faulty server sends bytes without end: each
// answer was bounded, but not all together.
func TestBytesWithoutEndFitIntoMemory(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	cases := []struct{ name, beginning, piece string }{
		{"head", "HTTP/1.1 200 OK\r\nA: ", block},
		{"events without end of line", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\ndata: ", block},
		{"200 without length", "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", block},
		{"200 in chunks", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
		{"500 without length", "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\n\r\n", block},
		{"length beyond what follows", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 8000000\r\n\r\n", "x"},
	}
	for _, callers := range []int{64, 512} {
		for _, path := range []string{"/notes/x", "/lookups/x", "/alerts/x"} {
			for _, c := range cases {
				t.Run(fmt.Sprintf("%d callers/%s/%s", callers, path, c.name), func(t *testing.T) {
					stop := make(chan struct{})
					server := serveRaw(t, func(w io.Writer, id string) bool {
						beginning := c.beginning
						if strings.Contains(beginning, "%s") {
							beginning = fmt.Sprintf(beginning, id)
						}
						_, err := io.WriteString(w, beginning)
						for err == nil {
							select {
							case <-stop:
								return false
							default:
								_, err = io.WriteString(w, c.piece)
							}
						}
						return false
					})
					g := newTestGateway(t, server, server)
					client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
					got := peakHeap(func() {
						var sent sync.WaitGroup
						for i := range callers {
							sent.Go(func() {
								status, body := post(t, client, g, path, fmt.Sprintf("r-%d", i))
								if status == http.StatusOK {
									t.Errorf("got a 200 of %d bytes, want a failure", len(body))
								}
							})
						}
						sent.Wait()
						close(stop)
					})
					if want := uint64(entryMemoryBytes - entryOwnBytes); got > want {
						t.Errorf("the heap grew by %d MB, want at most %d", got>>20, want>>20)
					}
				})
			}
		}
	}
}
