package kwupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// uploadConn is a connection whose other side answers while a request is still being written, and resets the connection. A socket reports
// a reset once, and the write takes the report: the read sees only the end of the connection.
type uploadConn struct {
	net.Conn
	answer io.Reader
	// fails means that the write fails, else it ends without an error after delay.
	fails bool
	delay time.Duration
	// wrote is closed when the write has returned.
	wrote chan struct{}
	once  sync.Once
}

func (c *uploadConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

func (c *uploadConn) Write(p []byte) (int, error) {
	if len(p) < backgroundBodyBytes {
		return len(p), nil
	}
	defer c.once.Do(func() { close(c.wrote) })
	time.Sleep(c.delay)
	if c.fails {
		return 0, syscall.ECONNRESET
	}
	return len(p), nil
}

func (c *uploadConn) Close() error                    { return nil }
func (c *uploadConn) SetReadDeadline(time.Time) error { return nil }

// TestEarlyResetIsNoEnd guards against a server that answers a long upload at once, sends a part of a body without a length and resets the
// connection: callers got that part as a complete answer.
func TestEarlyResetIsNoEnd(t *testing.T) {
	const events = "id: 1\ndata: x\n\n"
	cases := []struct {
		name, head, body string
		fails            bool
		delay            time.Duration
		whole            bool
	}{
		{"reset, no length", "HTTP/1.1 200 OK", "part", true, 0, false},
		{"reset a moment later, no length", "HTTP/1.1 200 OK", "part", true, earlyResponseTimeout / 4, false},
		{"reset, no length, no body", "HTTP/1.1 200 OK", "", true, 0, false},
		{"reset, 201", "HTTP/1.1 201 Created", "part", true, 0, false},
		{"reset, 500", "HTTP/1.1 500 Oops", "part", true, 0, false},
		{"reset, HTTP/1.0", "HTTP/1.0 200 OK", "part", true, 0, false},
		{"reset, events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream", events, true, 0, false},
		{"closed while the upload is written", "HTTP/1.1 200 OK", "part", false, 2 * earlyResponseTimeout, false},
		{"written in full, no length", "HTTP/1.1 200 OK", "whole", false, 0, true},
		{"written a moment later, no length", "HTTP/1.1 200 OK", "whole", false, earlyResponseTimeout / 4, true},
		{"reset, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5", "whole", true, 0, true},
		{"reset, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n", true, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			raw := &uploadConn{answer: strings.NewReader(c.head + "\r\nId: a\r\n\r\n" + c.body), fails: c.fails, delay: c.delay, wrote: make(chan struct{})}
			limit := &headLimit{r: raw}
			conn := &Conn{raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
			r := &Request{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 2*backgroundBodyBytes)}
			if err := conn.Send(r); err != nil {
				t.Fatal(err)
			}
			resp, _, err := conn.Receive(r, idDialect{})
			if err != nil {
				t.Fatal(err)
			}
			body, err := ReadBody(resp, 1<<10, nil)
			if got := err == nil; got != c.whole || c.whole && string(body) != "whole" {
				t.Errorf("got %q whole %v (%v), want %v", body, got, err, c.whole)
			}
			<-raw.wrote
		})
	}
}

// TestEarlyResetOnSockets plays early resets on sockets, for several sizes of upload and of buffers. Which side of the connection reports the
// reset is a matter of time.
func TestEarlyResetOnSockets(t *testing.T) {
	const plays = 8
	for _, upload := range []int{64 << 10, 256 << 10, 1 << 20, 3 << 20, 4 << 20} {
		for _, buffer := range []int{0, 8 << 10, 256 << 10} {
			for _, part := range []int{0, 4, 3000} {
				t.Run(fmt.Sprintf("upload of %d bytes, buffers of %d, %d bytes of body", upload, buffer, part), func(t *testing.T) {
					t.Parallel()
					e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
						tcp := conn.(*net.TCPConn)
						if buffer > 0 {
							_ = tcp.SetReadBuffer(buffer)
						}
						_, _ = io.CopyN(io.Discard, r, 32<<10)
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"+strings.Repeat("x", part))
						_ = tcp.SetLinger(0)
					})
					for range plays {
						r := &Request{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Body: make([]byte, upload)}
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						res := NewPool().Exchange(ctx, e.address(), true, r, idDialect{}, 1<<20)
						cancel()
						if res.Err == nil {
							t.Errorf("got %d bytes as a complete answer, want an error", len(res.Body))
						}
					}
				})
			}
		}
	}
}
