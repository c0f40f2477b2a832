package kwguard

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
)

// ample are limits that no test meets by accident.
var ample = Limits{HeadBytes: 16 << 10, HeadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}

// serve runs a guarded server and returns its address.
func serve(t *testing.T, cfg Config, handle http.HandlerFunc) string {
	t.Helper()
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return ample }
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = 100
	}
	cfg.Listener = "test"
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(cfg)
	s := g.Server(handle)
	go func() { _ = s.Serve(g.Wrap(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// send writes bytes and returns the status and the body of the answer; 0 means that the connection ended without one.
func send(t *testing.T, c net.Conn, sent string) (status int, body []byte, header http.Header) {
	t.Helper()
	go func() { _, _ = io.WriteString(c, sent) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, body, resp.Header
}

// headOf returns a head of so many bytes.
func headOf(size int) string {
	const begin, end = "GET / HTTP/1.1\r\nHost: x\r\nA: ", "\r\n\r\n"
	return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
}

// TestHeadsAtTheLimit sends heads of exactly the limit and beyond it, while the limit changes. The first must be served, and a refused one
// must not reach the handler.
func TestHeadsAtTheLimit(t *testing.T) {
	var limit atomic.Int64
	var served atomic.Int64
	address := serve(t, Config{Limits: func() Limits {
		l := ample
		l.HeadBytes = int(limit.Load())
		return l
	}}, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	for _, n := range []int{1 << 10, 64 << 10, 16 << 10, 512 << 10, 4 << 10} {
		limit.Store(int64(n))
		before := served.Load()
		if status, _, _ := send(t, dial(t, address), headOf(n)); status != http.StatusOK {
			t.Errorf("head of the limit, %d bytes: got status %d, want 200", n, status)
		}
		short := "GET / HTTP/1.1\r\nHost: x\r\n"
		for i := 0; len(short) < n-8; i++ {
			short += fmt.Sprintf("%x:\r\n", i)
		}
		if n <= 64<<10 {
			if status, _, _ := send(t, dial(t, address), short+"\r\n"); status != http.StatusOK {
				t.Errorf("head of short names, %d bytes: got status %d, want 200", len(short), status)
			}
		} else {
			served.Add(1)
		}
		status, body, _ := send(t, dial(t, address), headOf(n+headAllowance+1))
		var refused refusalBody
		if err := json.Unmarshal(body, &refused); status != http.StatusRequestHeaderFieldsTooLarge || err != nil || refused.Code != int(kwcode.HeadTooLarge) {
			t.Errorf("head beyond %d bytes: got status %d and %s, want 431 with code %d", n, status, body, kwcode.HeadTooLarge)
		}
		if got := served.Load() - before; got != 2 {
			t.Errorf("limit of %d: the handler got %d requests, want 2", n, got)
		}
	}
}

// TestHeadsWithoutRoom fills the memory for heads. A whole head that finds no room is refused with 503 and has not run; once the others are
// answered it is served.
func TestHeadsWithoutRoom(t *testing.T) {
	release := make(chan struct{})
	var served atomic.Int64
	address := serve(t, Config{Heads: kwbuffer.New(256 << 10)}, func(_ http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/held" {
			<-release
		}
	})
	large := "GET /held HTTP/1.1\r\nHost: x\r\n"
	for i := range 800 {
		large += fmt.Sprintf("%x:\r\n", i)
	}
	large += "\r\n"
	var held sync.WaitGroup
	held.Go(func() {
		if status, _, _ := send(t, dial(t, address), large); status != http.StatusOK {
			t.Errorf("the first: got status %d, want 200", status)
		}
	})
	awaitTrue(t, "the first is in progress", func() bool { return served.Load() == 1 })
	second := strings.Replace(large, "/held", "/", 1)
	status, _, header := send(t, dial(t, address), second)
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || served.Load() != 1 {
		t.Errorf("the second: got status %d, Retry-After %q, want 503 and no run", status, header.Get("Retry-After"))
	}
	if status, _, _ := send(t, dial(t, address), "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); status != http.StatusOK {
		t.Errorf("a small one: got status %d, want 200", status)
	}
	close(release)
	held.Wait()
	awaitTrue(t, "the second is served afterwards", func() bool {
		status, _, _ := send(t, dial(t, address), second)
		return status == http.StatusOK
	})
}

func awaitTrue(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Errorf("%s: not within 10s", what)
}

// TestOpenHeadsGiveWay fills the memory with heads that stay open: sound ones go on.
func TestOpenHeadsGiveWay(t *testing.T) {
	heads := kwbuffer.New(64 << 10)
	address := serve(t, Config{Heads: heads}, func(http.ResponseWriter, *http.Request) {})
	for range 60 {
		_, _ = io.WriteString(dial(t, address), "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a", 1<<10))
	}
	awaitTrue(t, "the memory is used up", func() bool { return heads.Usage().Used > 32<<10 })
	for range 20 {
		if status, _, _ := send(t, dial(t, address), headOf(4<<10)); status != http.StatusOK {
			t.Errorf("got status %d, want 200", status)
		}
	}
	awaitTrue(t, "open heads hold no more than the memory", func() bool { return heads.Usage().Used <= 128<<10 })
}

// TestMemoryOfHeadsIsGivenBack ends connections in all ways; nothing of the memory for heads stays taken.
func TestMemoryOfHeadsIsGivenBack(t *testing.T) {
	heads := kwbuffer.New(0)
	address := serve(t, Config{Heads: heads}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for _, sent := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n", "GET /abort HTTP/1.1\r\nHost: x\r\n\r\n", headOf(64 << 10), "nonsense\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "\r\n\r\n\r\n\r\n\r\n\r\n",
	} {
		c := dial(t, address)
		_, _ = io.WriteString(c, sent)
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
	}
	awaitTrue(t, "all memory is given back", func() bool { return heads.Usage().Used == 0 })
}

// TestPipelinedRequestsArriveUnchanged sends series of requests with all kinds of bodies in random pieces, and compares what the handler gets.
func TestPipelinedRequestsArriveUnchanged(t *testing.T) {
	var mu sync.Mutex
	var got []string
	address := serve(t, Config{}, func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		got = append(got, fmt.Sprintf("%s %s %s %d %s", r.Method, r.URL.Path, r.Header.Get("A"), len(body), r.Trailer.Get("T")))
	})
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		got = nil
		var sent bytes.Buffer
		var want []string
		for i := range 1 + rng.IntN(8) {
			field := strings.Repeat("v", rng.IntN(9000))
			size, trailer := 0, ""
			head := fmt.Sprintf("%%s /%d HTTP/1.1\r\nHost: x\r\nA: %s\r\n", i, field)
			method := "GET"
			switch rng.IntN(4) {
			case 0:
				fmt.Fprintf(&sent, head+"\r\n", method)
			case 1:
				method, size = "POST", rng.IntN(20000)
				fmt.Fprintf(&sent, head+"Content-Length: %d\r\n\r\n%s", method, size, strings.Repeat("b", size))
			case 2, 3:
				method = "PUT"
				fmt.Fprintf(&sent, head+"Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n", method)
				for range rng.IntN(5) {
					n := 1 + rng.IntN(6000)
					size += n
					fmt.Fprintf(&sent, "%x;ext=1\r\n%s\r\n", n, strings.Repeat("c", n))
				}
				sent.WriteString("0\r\n")
				if rng.IntN(2) == 0 {
					trailer = "t"
					sent.WriteString("T: t\r\n")
				}
				sent.WriteString("\r\n")
			}
			want = append(want, fmt.Sprintf("%s /%d %s %d %s", method, i, field, size, trailer))
		}
		c := dial(t, address)
		go func() {
			for rest := sent.Bytes(); len(rest) > 0; {
				n := min(len(rest), 1+rng.IntN(6000))
				if _, err := c.Write(rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				if rng.IntN(4) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		answers := bufio.NewReader(c)
		for i := range want {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("seed %d, answer %d: %v", seed, i, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Fatalf("seed %d, answer %d: got status %d", seed, i, resp.StatusCode)
			}
		}
		mu.Lock()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("seed %d: the handler got other requests than were sent", seed)
		}
		mu.Unlock()
		_ = c.Close()
	}
}

// TestHeadTimeoutAsDeclared guards against a head that may stay open for longer than the limit that is in force.
func TestHeadTimeoutAsDeclared(t *testing.T) {
	limits := ample
	limits.HeadTimeout = 300 * time.Millisecond
	address := serve(t, Config{Limits: func() Limits { return limits }}, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, address)
	for i := range 3 {
		if status, _, _ := send(t, c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); status != http.StatusOK {
			t.Fatalf("request %d: got status %d", i, status)
		}
	}
	if status, _, _ := send(t, c, "GET / HTTP/1.1\r\n"); status != 0 {
		t.Errorf("an open head: got status %d, want a closed connection", status)
	}
}

// TestHandlerSeesClientLeave guards against a server that does not notice that the client of a request in progress has left.
func TestHandlerSeesClientLeave(t *testing.T) {
	left := make(chan struct{})
	address := serve(t, Config{}, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("the handler did not notice")
	}
}

// FuzzConn sends any bytes in any pieces to a guarded server and to a plain one: what the handlers get must be the same.
func FuzzConn(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\naGET / HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, sent []byte, step int) {
		if step <= 0 || len(sent) > 8<<10 {
			return
		}
		if got, want := handled(t, sent, step, true), handled(t, sent, len(sent)+1, false); got != want {
			t.Fatalf("the guarded server handled %q, the plain one %q", got, want)
		}
	})
}

// handled returns the requests that a handler gets from some bytes, after which the client ends its side.
func handled(t *testing.T, sent []byte, step int, guarded bool) string {
	var mu sync.Mutex
	var out strings.Builder
	handle := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&out, "%s %s %q %v|", r.Method, r.RequestURI, body, err != nil)
	})
	client, server := net.Pipe()
	l := &oneConn{conn: server, ended: make(chan struct{})}
	s := &http.Server{Handler: handle}
	wrapped := net.Listener(l)
	if guarded {
		g := New(Config{MaxConnections: 1, Limits: func() Limits { return ample }})
		s, wrapped = g.Server(handle), g.Wrap(l)
	}
	ended := make(chan struct{})
	s.ConnState = endOn(s.ConnState, ended)
	go func() { _ = s.Serve(wrapped) }()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	_ = client.SetWriteDeadline(time.Now().Add(2 * time.Second))
	for rest := sent; len(rest) > 0; {
		n := min(step, len(rest))
		if _, err := client.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	// A pipe has no half that could be closed, so the requests before have to be answered first.
	time.Sleep(2 * time.Millisecond)
	_ = client.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the connection did not end")
	}
	_ = s.Close()
	mu.Lock()
	defer mu.Unlock()
	return out.String()
}

func endOn(next func(net.Conn, http.ConnState), ended chan struct{}) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		if next != nil {
			next(c, state)
		}
		if state == http.StateClosed {
			close(ended)
		}
	}
}

// oneConn is a listener of a single connection.
type oneConn struct {
	mu    sync.Mutex
	conn  net.Conn
	ended chan struct{}
	once  sync.Once
}

func (l *oneConn) Accept() (net.Conn, error) {
	l.mu.Lock()
	c := l.conn
	l.conn = nil
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	<-l.ended
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }
