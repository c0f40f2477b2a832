package kwupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// idDialect reads the request ID from the Id header; responses are signed unless they have the header Unsigned.
type idDialect struct{}

func (idDialect) ReadRequest(h http.Header) RequestMeta {
	return RequestMeta{ID: kwid.RequestID(h.Get("Id"))}
}
func (idDialect) WriteRequest(http.Header, ForwardMeta)      {}
func (idDialect) WriteRetryAfter(http.Header, time.Duration) {}
func (idDialect) ReadResponse(_ int, h http.Header) ResponseMeta {
	return ResponseMeta{ID: kwid.RequestID(h.Get("Id")), Signed: h.Get("Unsigned") == "", InFlight: -1}
}

// testEndpoint is a listener that handles each accepted connection by a test's function and collects the connections.
type testEndpoint struct {
	listener net.Listener
	conns    chan net.Conn
}

func startEndpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &testEndpoint{listener: l, conns: make(chan net.Conn, 64)}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.conns <- c
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return e
}

func (e *testEndpoint) address() string { return e.listener.Addr().String() }

func newRequest(id string) *Request {
	return &Request{ID: kwid.RequestID(id), Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func exchange(p *Pool, e *testEndpoint, id string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Exchange(ctx, e.address(), false, newRequest(id), idDialect{}, 1<<20)
}

// TestResponsesMatchRequests sends requests on keep-alive connections to an endpoint that adds late responses to other
// requests, or bytes after a response. No request may get the response to another one.
func TestResponsesMatchRequests(t *testing.T) {
	cases := []struct {
		name  string
		bytes func(id string) string
	}{
		{"plain", func(id string) string { return response(id, "body of "+id) }},
		{"late response first", func(id string) string { return response("old", "late") + response(id, "body of "+id) }},
		{"response twice", func(id string) string { return response(id, "body of "+id) + response(id, "again") }},
		{"bytes after the response", func(id string) string { return response(id, "body of "+id) + "rubbish" }},
	}
	for _, c := range cases {
		e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.bytes(req.Header.Get("Id")))
			}
		})
		p := NewPool()
		for _, id := range []string{"a", "b", "c"} {
			res := exchange(p, e, id)
			if got, want := string(res.Body), "body of "+id; res.Err != nil || got != want {
				t.Errorf("%s: request %s got %q (%v), want %q", c.name, id, got, res.Err, want)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestIncompleteResponsesAreErrors(t *testing.T) {
	cases := map[string]string{
		"body shorter than its length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc",
		"no response":                  "",
		"not HTTP":                     "hello there\r\n\r\n",
		"truncated chunk":              "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":                "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"response to another request":  response("b", "x"),
	}
	for name, bytes := range cases {
		e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, bytes)
			}
		})
		if res := exchange(NewPool(), e, "a"); res.Err == nil || !res.Sent {
			t.Errorf("%s: got body %q, sent %v, want an error and sent true", name, res.Body, res.Sent)
		}
	}
}

// TestConnectionResetIsError guards against taking a response body without a length as complete when its connection is
// reset.
func TestConnectionResetIsError(t *testing.T) {
	for _, reset := range []bool{false, true} {
		e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
			time.Sleep(50 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		res := exchange(NewPool(), e, "a")
		if (res.Err != nil) != reset {
			t.Errorf("reset %v: got error %v, body %q", reset, res.Err, res.Body)
		}
	}
}

func TestClosedConnectionsAreNotReused(t *testing.T) {
	e := startEndpoint(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, response("a", "x"))
		}
	})
	p := NewPool()
	for range 3 {
		if res := exchange(p, e, "a"); res.Err != nil {
			t.Fatalf("got %v, want a response on a new connection", res.Err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if got := len(e.conns); got != 3 {
		t.Errorf("connections: got %d, want 3", got)
	}
}

func TestDialFailureReportsNotSent(t *testing.T) {
	e := startEndpoint(t, func(int, net.Conn, *bufio.Reader) {})
	_ = e.listener.Close()
	if res := exchange(NewPool(), e, "a"); res.Err == nil || res.Sent {
		t.Errorf("got error %v, sent %v, want an error and sent false", res.Err, res.Sent)
	}
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	res := NewPool().Exchange(ctx, e.address(), true, newRequest("a"), idDialect{}, 1<<20)
	if res.Err == nil || !res.Sent {
		t.Errorf("got error %v, sent %v, want an error and sent true", res.Err, res.Sent)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Errorf("the connection is open 2 s after the context was cancelled")
	}
}

// TestResponseBeforeRequestBodyIsRead has an endpoint respond to a large request before it has read the body, and read
// no more of it. The response must arrive, and the connection must not be reused for another request.
func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	for _, closes := range []bool{false, true} {
		done := make(chan struct{})
		e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 4\r\n\r\nfull")
			if !closes {
				<-done
			}
		})
		r := newRequest("a")
		r.Method, r.Body = "POST", bytes.Repeat([]byte("x"), 4<<20)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		p := NewPool()
		res := p.Exchange(ctx, e.address(), false, r, idDialect{}, 1<<20)
		cancel()
		close(done)
		// Closing a connection with unread bytes resets it, which may lose the response.
		if !closes && (res.Err != nil || res.Response.StatusCode != 503 || string(res.Body) != "full") {
			t.Errorf("endpoint keeps the connection open: got %v, want its response", res.Err)
		}
		if len(p.idle) != 0 {
			t.Errorf("closes %v: the pool keeps a connection whose request body is incomplete", closes)
		}
	}
}

func TestForwardHeaders(t *testing.T) {
	h := http.Header{"Connection": {"X-One, close"}, "X-One": {"1"}, "X-Two": {"2"}, "Transfer-Encoding": {"chunked"}, "Te": {"trailers"}}
	got := ForwardHeaders(h)
	if len(got) != 1 || got.Get("X-Two") != "2" {
		t.Errorf("got %v, want only X-Two", got)
	}
}

// chunkReader returns its data in chunks of at most size bytes, then end.
type chunkReader struct {
	data []byte
	size int
	end  error
}

func (r *chunkReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, r.end
	}
	n := copy(p[:min(len(p), r.size)], r.data)
	r.data = r.data[n:]
	return n, nil
}

func TestEventReaderSplitsBetweenEvents(t *testing.T) {
	var stream bytes.Buffer
	for i := range 40 {
		stream.WriteString("id: " + itoa(i) + "\ndata: " + strings.Repeat("x", i*13) + "\n\n")
	}
	for size := 1; size < 700; size += 37 {
		e := NewEventReader(&chunkReader{data: bytes.Clone(stream.Bytes()), size: size, end: io.EOF}, "", nil)
		var got bytes.Buffer
		for {
			chunk, err := e.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("size %d: %v", size, err)
			}
			if !bytes.HasSuffix(chunk, []byte("\n\n")) {
				t.Fatalf("size %d: got %q, want complete events", size, chunk)
			}
			got.Write(chunk)
		}
		if !bytes.Equal(got.Bytes(), stream.Bytes()) || e.LastID != "39" || e.Count != 40 {
			t.Fatalf("size %d: %d bytes, last id %q, %d events, want %d, 39 and 40", size, got.Len(), e.LastID, e.Count, stream.Len())
		}
	}
}

func TestTruncatedEventIsNotReturned(t *testing.T) {
	e := NewEventReader(&chunkReader{data: []byte("id: 1\ndata: a\n\nid: 2\ndat"), size: 100, end: io.EOF}, "", nil)
	chunk, err := e.Next()
	if err != nil || string(chunk) != "id: 1\ndata: a\n\n" {
		t.Fatalf("got %q, %v, want the first event", chunk, err)
	}
	if _, err := e.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}
	if e.LastID != "1" || e.Count != 1 {
		t.Errorf("got last id %q and %d events, want 1 and 1", e.LastID, e.Count)
	}
}

func BenchmarkEventReader(b *testing.B) {
	event := []byte("id: 123\ndata: " + strings.Repeat("x", 120) + "\n\n")
	stream := bytes.Repeat(event, 1000)
	b.ReportAllocs()
	for b.Loop() {
		e := NewEventReader(&chunkReader{data: stream, size: len(event), end: io.EOF}, "", nil)
		for {
			if _, err := e.Next(); err != nil {
				break
			}
		}
	}
}
