package kwdirectentry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestBodyStillReadAtTheEndOfADrainIsAnswered guards against a request whose body is incomplete when a drain ends: its connection was closed
// without an answer.
func TestBodyStillReadAtTheEndOfADrainIsAnswered(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/notes/x", "/alerts/x", "/lookups/x"} {
		g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
		g.cfg.DrainTimeout = time.Second
		address, _ := g.Addresses()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: slow\r\nContent-Length: 10\r\n\r\n12345", path); err != nil {
			t.Fatal(err)
		}
		awaitTrue(t, "the request arrives", func() bool { return g.inFlight.Load() == 1 })
		g.Stop()
		if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: got %v, want an answer", path, err)
			continue
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%s: got status %d, want %d", path, resp.StatusCode, http.StatusServiceUnavailable)
		}
		_ = resp.Body.Close()
	}
}
