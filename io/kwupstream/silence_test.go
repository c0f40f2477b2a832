package kwupstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestSilentEndpointKeepsLargeRequest guards against a connection that the kernel closes because the endpoint reads nothing of a large
// request for a while.
func TestSilentEndpointKeepsLargeRequest(t *testing.T) {
	t.Parallel()
	const silence = 1500 * time.Millisecond
	const bodyBytes = 16 << 20
	e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		time.Sleep(silence)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, req.Body); err != nil || n != bodyBytes {
			t.Errorf("got %d bytes of the body and error %v, want %d", n, err, bodyBytes)
		}
		_, _ = io.WriteString(conn, response("a", "x"))
	})
	r := newRequest("a")
	r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("x"), bodyBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if res := NewPool().Exchange(ctx, e.address(), false, r, idDialect{}, 1<<20); res.Err != nil {
		t.Errorf("got %v, want the response after a silence of %v", res.Err, silence)
	}
}
