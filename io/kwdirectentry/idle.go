package kwdirectentry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerListener accepts callers' connections, which stay open while they are idle for as long as the declaration allows.
type callerListener struct {
	net.Listener
	// idleTimeout returns how long a connection may be idle.
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, idleTimeout: l.idleTimeout}, nil
}

// callerConn is a caller's connection. The idle timeout of http.Server cannot change while it serves, so the connection replaces the
// deadline that the server sets when it becomes idle.
type callerConn struct {
	net.Conn
	idleTimeout func() time.Duration
	// idle means that the server has yet to set the deadline of an idle connection.
	idle atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.idle.Swap(false) {
		t = time.Now().Add(c.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// trackIdle is the ConnState hook of the server of a callerListener.
func trackIdle(c net.Conn, state http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.idle.Store(state == http.StateIdle)
	}
}

// callerIdleTimeout returns how long a caller's connection may be idle: callers may reuse one for as long as the declaration says.
func (g *Gateway) callerIdleTimeout() time.Duration {
	v := g.view.Load()
	if v.index == nil {
		return idleTimeout
	}
	return max(idleTimeout, v.index.Declaration.Limits.IdleTimeout)
}

// acceptCallers returns the listener by which the server for callers accepts the connections of another one.
func (g *Gateway) acceptCallers(l net.Listener) net.Listener {
	return &callerListener{Listener: l, idleTimeout: g.callerIdleTimeout}
}
