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

// plainDialect reads only the request id.
type plainDialect struct{}

func (plainDialect) ReadRequest(h http.Header) RequestMeta {
	return RequestMeta{ID: kwid.RequestID(h.Get("Id"))}
}
func (plainDialect) WriteRequest(http.Header, ForwardMeta)      {}
func (plainDialect) WriteRetryAfter(http.Header, time.Duration) {}
func (plainDialect) ReadResponse(_ int, h http.Header) ResponseMeta {
	return ResponseMeta{ID: kwid.RequestID(h.Get("Id")), InFlight: -1}
}

// endpoint answers each connection with the given bytes after each request; it counts connections.
type endpoint struct {
	listener net.Listener
	conns    chan net.Conn
}

func newEndpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{listener: l, conns: make(chan net.Conn, 64)}
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

func (e *endpoint) address() string { return e.listener.Addr().String() }

func get(id string) *Request {
	return &Request{ID: kwid.RequestID(id), Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

func exchange(p *Pool, e *endpoint, id string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.Exchange(ctx, e.address(), false, get(id), plainDialect{}, 1<<20)
}

// TestAnswersStayApart sends requests on kept connections to an endpoint that adds late answers of other requests
// and bytes after its answers: no request may get another's answer.
func TestAnswersStayApart(t *testing.T) {
	cases := []struct {
		name  string
		bytes func(id string) string
	}{
		{"plain", func(id string) string { return answer(id, "body of "+id) }},
		{"late answer first", func(id string) string { return answer("old", "late") + answer(id, "body of "+id) }},
		{"answer twice", func(id string) string { return answer(id, "body of "+id) + answer(id, "again") }},
		{"bytes after it", func(id string) string { return answer(id, "body of "+id) + "rubbish" }},
	}
	for _, c := range cases {
		e := newEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
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

func TestBrokenAnswersAreErrors(t *testing.T) {
	cases := map[string]string{
		"short body":       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc",
		"no answer":        "",
		"no HTTP":          "hello there\r\n\r\n",
		"cut chunk":        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":    "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"another's answer": answer("b", "x"),
	}
	for name, bytes := range cases {
		e := newEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, bytes)
			}
		})
		if res := exchange(NewPool(), e, "a"); res.Err == nil || !res.Sent {
			t.Errorf("%s: got body %q, sent %v, want an error after sending", name, res.Body, res.Sent)
		}
	}
}

// TestResetIsNoEnd takes an answer without a length as whole only if its connection ends in order.
func TestResetIsNoEnd(t *testing.T) {
	for _, reset := range []bool{false, true} {
		e := newEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
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

func TestDeadConnectionsAreNotReused(t *testing.T) {
	e := newEndpoint(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, answer("a", "x"))
		}
	})
	p := NewPool()
	for range 3 {
		if res := exchange(p, e, "a"); res.Err != nil {
			t.Fatalf("got %v, want an answer on a new connection", res.Err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if got := len(e.conns); got != 3 {
		t.Errorf("connections: got %d, want 3", got)
	}
}

func TestDialFailureIsNotSent(t *testing.T) {
	e := newEndpoint(t, func(int, net.Conn, *bufio.Reader) {})
	_ = e.listener.Close()
	if res := exchange(NewPool(), e, "a"); res.Err == nil || res.Sent {
		t.Errorf("got error %v, sent %v, want an unsent request", res.Err, res.Sent)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	e := newEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = r.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	res := NewPool().Exchange(ctx, e.address(), true, get("a"), plainDialect{}, 1<<20)
	if res.Err == nil || !res.Sent {
		t.Errorf("got error %v, sent %v", res.Err, res.Sent)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Errorf("the connection stayed open after the caller had left")
	}
}

// TestEarlyAnswer plays an endpoint that answers a long request before it has read the body, and reads no further.
func TestEarlyAnswer(t *testing.T) {
	for _, closes := range []bool{false, true} {
		done := make(chan struct{})
		e := newEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 4\r\n\r\nfull")
			if !closes {
				<-done
			}
		})
		r := get("a")
		r.Method, r.Body = "POST", bytes.Repeat([]byte("x"), 4<<20)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		p := NewPool()
		res := p.Exchange(ctx, e.address(), false, r, plainDialect{}, 1<<20)
		cancel()
		close(done)
		// An endpoint that closes with the body unread resets the connection, and its answer may be lost with it.
		if !closes && (res.Err != nil || res.Response.StatusCode != 503 || string(res.Body) != "full") {
			t.Errorf("an endpoint that keeps the connection: got %v, want its answer", res.Err)
		}
		if len(p.idle) != 0 {
			t.Errorf("closes %v: the connection is kept, with the rest of a body due", closes)
		}
	}
}

func TestForwardHeaders(t *testing.T) {
	h := http.Header{"Connection": {"X-One, close"}, "X-One": {"1"}, "X-Two": {"2"}, "Transfer-Encoding": {"chunked"}, "Te": {"trailers"}}
	got := ForwardHeaders(h)
	if len(got) != 1 || got.Get("X-Two") != "2" {
		t.Errorf("got %v, want X-Two alone", got)
	}
}

// byteReader hands out its bytes in pieces of a fixed size.
type byteReader struct {
	data []byte
	size int
	end  error
}

func (r *byteReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, r.end
	}
	n := copy(p[:min(len(p), r.size)], r.data)
	r.data = r.data[n:]
	return n, nil
}

func TestEventsAreWhole(t *testing.T) {
	var stream bytes.Buffer
	for i := range 40 {
		stream.WriteString("id: " + itoa(i) + "\ndata: " + strings.Repeat("x", i*13) + "\n\n")
	}
	for size := 1; size < 700; size += 37 {
		e := NewEventReader(&byteReader{data: bytes.Clone(stream.Bytes()), size: size, end: io.EOF})
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
				t.Fatalf("size %d: got %q, want whole events", size, chunk)
			}
			got.Write(chunk)
		}
		if !bytes.Equal(got.Bytes(), stream.Bytes()) || e.LastID != "39" {
			t.Fatalf("size %d: %d bytes, last id %q, want %d and 39", size, got.Len(), e.LastID, stream.Len())
		}
	}
}

func TestCutEventIsHeldBack(t *testing.T) {
	e := NewEventReader(&byteReader{data: []byte("id: 1\ndata: a\n\nid: 2\ndat"), size: 100, end: io.EOF})
	chunk, err := e.Next()
	if err != nil || string(chunk) != "id: 1\ndata: a\n\n" {
		t.Fatalf("got %q, %v, want the first event", chunk, err)
	}
	if _, err := e.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}
	if e.LastID != "1" {
		t.Errorf("last id got %q, want 1", e.LastID)
	}
}

func BenchmarkEvents(b *testing.B) {
	event := []byte("id: 123\ndata: " + strings.Repeat("x", 120) + "\n\n")
	stream := bytes.Repeat(event, 1000)
	b.ReportAllocs()
	for b.Loop() {
		e := NewEventReader(&byteReader{data: stream, size: len(event), end: io.EOF})
		for {
			if _, err := e.Next(); err != nil {
				break
			}
		}
	}
}
