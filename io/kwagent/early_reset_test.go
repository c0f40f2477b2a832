package kwagent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcorrelate"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
)

// serveBytes returns the URL of a service that reads a part of each request, answers with some bytes and resets the connection.
func serveBytes(t *testing.T, read int64, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.CopyN(io.Discard, bufio.NewReader(c), read)
				_, _ = io.WriteString(c, answer)
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

func newTestRole(serviceURL string) *Role {
	return &Role{cfg: Config{ServiceURL: serviceURL}, registry: metrics.NewRegistry(), responses: kwcorrelate.New[kwstatemachine.Response]()}
}

// TestEarlyResetIsNoEnd guards against a service that answers a long upload at once, sends a part of a body without a length and resets the
// connection: callers got that part as a complete answer.
func TestEarlyResetIsNoEnd(t *testing.T) {
	const plays = 16
	for _, upload := range []int{1 << 20, 4 << 20} {
		r := newTestRole(serveBytes(t, 32<<10, "HTTP/1.1 200 OK\r\n\r\npart"))
		for range plays {
			req := kwagentproto.Call{Request: "a", Method: http.MethodPost, Path: "/x", Body: make([]byte, upload)}
			if response, _, err := r.roundTrip(t.Context(), newTransport(true), req); err == nil {
				t.Errorf("upload of %d bytes: got status %d with %q as a complete answer, want an error", upload, response.Status, response.Body)
			}
		}
	}
}
