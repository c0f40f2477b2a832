package kwdirectentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// slowCallers is how many callers at once the tests of this file play.
const slowCallers = 50

// callSlowly sends some bytes on connections that stay open, and waits until all requests are in progress.
func callSlowly(t *testing.T, g *Gateway, sent string) []net.Conn {
	t.Helper()
	address, _ := g.Addresses()
	var out []net.Conn
	for range slowCallers {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, sent); err != nil {
			t.Fatal(err)
		}
		out = append(out, c)
	}
	return out
}

// TestBodiesThatNeverArrive guards against requests that stay in progress beyond their deadline, with all that they hold, since their bodies
// do not arrive. They have not run, and say so.
func TestBodiesThatNeverArrive(t *testing.T) {
	bodies := map[string]string{
		"nothing":             "Content-Length: 100000\r\n\r\n",
		"expect 100-continue": "Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n",
		"a part":              "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 75_000),
		"chunks":              "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1000),
		"a chunk extension":   "Transfer-Encoding: chunked\r\n\r\n1;xxxx",
		"trailers":            "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n",
	}
	for _, path := range []string{"/notes/x", "/lookups/x", "/alerts/x"} {
		for name, body := range bodies {
			t.Run(path+"/"+name, func(t *testing.T) {
				t.Parallel()
				g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
				declare(g, func(d *kwdeclaration.Declaration) {
					for i := range d.Routes {
						d.Routes[i].Timeout = time.Second
					}
				})
				conns := callSlowly(t, g, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: r\r\n"+body)
				awaitTrue(t, "the requests have arrived", func() bool { return g.metrics.rejected.Count() > 0 || g.inFlight.Load() == slowCallers })
				awaitTrue(t, "no request is in progress", func() bool { return g.inFlight.Load() == 0 })
				if used := g.buffers.Usage().Used; used != 0 {
					t.Errorf("%d bytes of the memory for bodies are held", used)
				}
				for _, c := range conns {
					_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
					r := bufio.NewReader(c)
					resp, err := http.ReadResponse(r, nil)
					for err == nil && resp.StatusCode == http.StatusContinue {
						resp, err = http.ReadResponse(r, nil)
					}
					if err != nil || resp.StatusCode != http.StatusRequestTimeout {
						t.Fatalf("got %v, %v, want status 408", resp, err)
					}
					_ = resp.Body.Close()
				}
			})
		}
	}
}

// TestAnswersThatNobodyReads guards against requests that stay in progress, with their answers, since their callers read nothing.
func TestAnswersThatNobodyReads(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 60_000) + "\n\n"
	answers := map[string]struct{ path, head, piece string }{
		"events":         {"/notes/x", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(event), event)},
		"a large answer": {"/lookups/x", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 6000000\r\n\r\n", strings.Repeat("y", 60_000)},
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := serveRaw(t, func(w io.Writer, id string) bool {
				_, err := fmt.Fprintf(w, a.head, id)
				for range 100 {
					if err != nil {
						return false
					}
					_, err = io.WriteString(w, a.piece)
				}
				return false
			})
			g := newTestGateway(t, server, server)
			declare(g, func(d *kwdeclaration.Declaration) {
				for i := range d.Routes {
					d.Routes[i].Timeout = 2 * time.Second
				}
			})
			callSlowly(t, g, "GET "+a.path+" HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n")
			awaitTrue(t, "the requests are in progress", func() bool { return g.inFlight.Load() > 0 })
			awaitTrue(t, "no request is in progress", func() bool { return g.inFlight.Load() == 0 })
		})
	}
}

// TestBodyOfARejectedRequestEnds guards against connections that are held for good, since the body of a request that was rejected at once does
// not arrive.
func TestBodyOfARejectedRequestEnds(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	for _, c := range callSlowly(t, g, "POST /unknown HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 1000\r\n\r\nx") {
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Fatalf("got %v, want the end of the connection", err)
		}
	}
}
