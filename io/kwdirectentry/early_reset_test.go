package kwdirectentry

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resetEarly runs a server that reads 32 KB of each request, answers and resets the connection.
func resetEarly(t *testing.T, answer string) string {
	t.Helper()
	return serveConns(t, func(c net.Conn) {
		_, _ = io.CopyN(io.Discard, c, 32<<10)
		_, _ = io.WriteString(c, answer)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// TestEarlyResetsReachNoCaller guards against a part of a body without a length that callers got as whole, when a server answers a long upload
// at once and resets the connection while it is still being written.
func TestEarlyResetsReachNoCaller(t *testing.T) {
	const plays = 6
	answers := map[string]string{
		"text":            "HTTP/1.1 200 OK\r\nId: q1\r\n\r\npart",
		"no byte of body": "HTTP/1.1 200 OK\r\nId: q1\r\n\r\n",
		"events":          "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
		"201":             "HTTP/1.1 201 Created\r\nId: q1\r\n\r\npart",
		"500":             "HTTP/1.1 500 Oops\r\nId: q1\r\n\r\npart",
	}
	for name, answer := range answers {
		for _, path := range []string{"/notes/x", "/resumed/x", "/once/x", "/lookups/x", "/alerts/x"} {
			for _, size := range []int{256 << 10, 1 << 20, 4 << 20} {
				t.Run(fmt.Sprintf("%s, %s, upload of %d KB", name, path, size>>10), func(t *testing.T) {
					t.Parallel()
					server := resetEarly(t, answer)
					g := newTestGateway(t, server, server)
					addPlainStreams(g)
					address, _ := g.Addresses()
					for range plays {
						req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, bytes.NewReader(make([]byte, size)))
						if err != nil {
							t.Fatal(err)
						}
						req.Host = "h"
						req.Header.Set("Id", "q1")
						// Streams to model servers wait for another server until their caller leaves.
						resp, err := (&http.Client{Timeout: 300 * time.Millisecond}).Do(req)
						if err != nil {
							continue
						}
						body, err := io.ReadAll(resp.Body)
						_ = resp.Body.Close()
						if err == nil && (resp.StatusCode < 300 || strings.Contains(string(body), "part")) {
							t.Errorf("got status %d with %q as a complete answer", resp.StatusCode, body)
						}
					}
				})
			}
		}
	}
}
