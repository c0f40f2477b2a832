package kwupstream

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// recordedConn is a connection whose other side has sent some bytes and closed.
type recordedConn struct {
	net.Conn
	sent *bytes.Reader
	read int
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.sent.Read(p)
	c.read += n
	return n, err
}

func (c *recordedConn) Close() error                    { return nil }
func (c *recordedConn) SetReadDeadline(time.Time) error { return nil }

// newRecordedConn returns a connection on which an endpoint has sent data.
func newRecordedConn(data []byte) (*Conn, *recordedConn) {
	raw := &recordedConn{sent: bytes.NewReader(data)}
	limit := &headLimit{r: raw}
	return &Conn{raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}, raw
}

// FuzzAnswer reads heads, bodies and events from arbitrary bytes. No answer belongs to another request, no success lacks its ID and signature, no
// head exceeds its bound, each can be passed on by the library's server, and the events that are passed on are the beginning of the body, cut
// between events.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: r\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nid: 1\ndata: x\n\n",
		"HTTP/1.1 200 OK\r\nId: r\r\n\r\nid: 1\r\ndata: x\r\n\r\nid: 2\r\nda",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nId: r\r\nRetry-After: 1e9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: r\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 000 Trouble\r\nId: r\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length : 1\r\n\r\nxx",
		"HTTP/1.1 200 OK\r\nId: r\r\nX Y: z\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nUnsigned: 1\r\nId: r\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\nda",
		"\x00\x01\x02", "HTTP/1.1 200", "",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, stream bool) {
		const limit = 1 << 10
		c, raw := newRecordedConn(data)
		r := &Request{ID: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		resp, meta, err := c.Receive(r, idDialect{})
		if err != nil {
			return
		}
		if meta.ID != "" && meta.ID != r.ID {
			t.Fatalf("got an answer to request %q, want %q", meta.ID, r.ID)
		}
		if success := resp.StatusCode < http.StatusBadRequest; success && (meta.ID != r.ID || !meta.Signed) {
			t.Fatalf("got status %d with ID %q and signed %v, want both", resp.StatusCode, meta.ID, meta.Signed)
		}
		if err := CheckResponse(resp); err != nil {
			t.Fatalf("got an answer that cannot be passed on: %v", err)
		}
		httptest.NewRecorder().WriteHeader(resp.StatusCode)
		if head := raw.read - c.reader.Buffered(); head > maxMismatchedResponses*(maxHeadBytes+maxMismatchedBodyBytes) {
			t.Fatalf("got %d bytes read before the body, want a bound", head)
		}
		if !stream {
			body, err := ReadBody(resp, limit, nil)
			if err == nil && len(body) > limit {
				t.Fatalf("got a body of %d bytes, want at most %d", len(body), limit)
			}
			if err == nil && CutWithinEvent(resp, body) {
				t.Fatalf("got events that end with %q as whole, want a blank line", body[max(0, len(body)-4):])
			}
			return
		}
		events, passed := NewEventReader(resp.Body, "", nil), 0
		for {
			chunk, err := events.Next()
			if err != nil {
				if len(chunk) > 0 {
					t.Fatalf("got %d bytes beside the error %v", len(chunk), err)
				}
				if passed > len(data) {
					t.Fatalf("got %d bytes of events, want at most the %d that the endpoint has sent", passed, len(data))
				}
				return
			}
			if !bytes.HasSuffix(chunk, blankLine) && !bytes.HasSuffix(chunk, blankLineCRLF) {
				t.Fatalf("got events that end with %q, want a blank line", chunk[max(0, len(chunk)-4):])
			}
			if !bytes.Contains(data, chunk) && resp.TransferEncoding == nil {
				t.Fatalf("got events %q that the endpoint has not sent", chunk)
			}
			passed += len(chunk)
		}
	})
}
