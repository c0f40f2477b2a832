package kwdirectentry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// deadlineListener records the last read deadline of the connections that it accepts, in Unix nanoseconds.
type deadlineListener struct {
	net.Listener
	last *atomic.Int64
}

func (l deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return deadlineConn{c, l.last}, err
}

type deadlineConn struct {
	net.Conn
	last *atomic.Int64
}

func (c deadlineConn) SetReadDeadline(t time.Time) error {
	c.last.Store(t.UnixNano())
	return c.Conn.SetReadDeadline(t)
}

// TestIdleConnectionsStayAsDeclared guards against callers' connections that the entry closes although the declaration lets callers
// reuse them: a request on such a connection gets no answer.
func TestIdleConnectionsStayAsDeclared(t *testing.T) {
	server := serveRaw(t, func(w io.Writer, id string) bool {
		_, _ = fmt.Fprintf(w, unaryAnswer, id)
		return true
	})
	for _, c := range []struct{ declared, want time.Duration }{
		{0, idleTimeout}, {15 * time.Second, idleTimeout}, {10 * time.Minute, 10 * time.Minute},
	} {
		g := newTestGateway(t, "127.0.0.1:1", server)
		declare(g, func(d *kwdeclaration.Declaration) { d.Limits.IdleTimeout = c.declared })
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var last atomic.Int64
		g.goBackground(func() { g.serve(g.server, g.acceptCallers(deadlineListener{l, &last})) })
		client := &http.Client{Transport: &http.Transport{}}
		begin := time.Now()
		req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/lookups/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		awaitTrue(t, fmt.Sprintf("declared %v: an idle connection stays open for %v", c.declared, c.want), func() bool {
			left := time.Unix(0, last.Load()).Sub(begin)
			return left >= c.want && left < c.want+30*time.Second
		})
		client.CloseIdleConnections()
	}
}
