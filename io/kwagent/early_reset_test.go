package kwagent

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcorrelate"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
)

// serveConns returns the URL of a service that handles each connection by a function and closes it.
func serveConns(t *testing.T, handle func(c *net.TCPConn)) string {
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
				handle(c.(*net.TCPConn))
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
		r := newTestRole(serveConns(t, func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 32<<10)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = c.SetLinger(0)
		}))
		for range plays {
			req := kwagentproto.Call{Request: "a", Method: http.MethodPost, Path: "/x", Body: make([]byte, upload)}
			if response, _, err := r.roundTrip(t.Context(), newTransport(true), req); err == nil {
				t.Errorf("upload of %d bytes: got status %d with %q as a complete answer, want an error", upload, response.Status, response.Body)
			}
		}
	}
}
