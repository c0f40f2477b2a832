package kwguard

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwclient"
	"knapweedproxy/core/kwcode"
)

const (
	// maxHeadBytes bounds a head whatever the limits say.
	maxHeadBytes = 1 << 20
	// headAllowance is what a head may have beyond its limit: clients count with or without the first line and the line breaks.
	headAllowance = 4 << 10
	// initialHeadBytes is the first size of the buffer for a head that does not come at once, headReadBytes the most that is read at a time
	// then: little may come with it that belongs to the next request.
	initialHeadBytes = 2 << 10
	headReadBytes    = 4 << 10
	// maxEvictions bounds how many open heads give way to one that is whole.
	maxEvictions = 256
	// refusalTimeout bounds the write of a refusal and the time in which its client reads it, refusalBytes what is read and dropped meanwhile:
	// a connection that is closed with unread bytes is reset, and the refusal may be lost.
	refusalTimeout = 500 * time.Millisecond
	refusalBytes   = 256 << 10
	// ignoredBodyTimeout bounds the body of a request that is answered before it has come, so that its connection can be kept.
	ignoredBodyTimeout = 10 * time.Second
	// noRoomRetryAfter is the Retry-After time of a request whose head finds no memory: those of others are answered by then.
	noRoomRetryAfter = time.Second
)

// errRefused ends a connection whose client has been refused.
var errRefused error = &net.OpError{Op: "read", Err: errors.New("the client was refused")}

// conn is a client's connection. It hands the head of a request to the server only once it is whole: a head that is parsed as it comes takes
// many times its bytes. What comes behind a request stays here until the next one is read.
type conn struct {
	net.Conn
	guard *Guard
	entry *kwclient.Connection
	// idle means that the server has yet to set the deadline of an idle connection.
	idle atomic.Bool

	// head and body track what the server reads. They, buf and ready belong to the reader, of which there is one at a time.
	head kwclient.Head
	body kwclient.Body
	// buf holds bytes that have been read and not been handed on, of which the first ones, ready, may be.
	buf   []byte
	ready int

	mu sync.Mutex
	// account is what the present head holds of the memory for heads; closed means that it may open no other one.
	account *kwbuffer.Account
	closed  bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.ready > 0 {
		return c.handOn(p), nil
	}
	switch {
	case len(p) == 0:
		return 0, nil
	case !c.body.Ended():
		return c.readBody(p)
	case len(p) == 1:
		return c.readAhead(p)
	}
	return c.readHead(p)
}

// handOn copies bytes that are ready.
func (c *conn) handOn(p []byte) int {
	n := copy(p, c.buf[:c.ready])
	c.buf, c.ready = c.buf[n:], c.ready-n
	if c.ready == 0 {
		// The buffer of a large head must not stay for the few bytes behind it.
		c.keep(c.buf)
	}
	return n
}

// keep puts bytes aside that belong to the next request.
func (c *conn) keep(p []byte) { c.buf = append([]byte(nil), p...) }

// readBody reads no further than to the end of the body.
func (c *conn) readBody(p []byte) (int, error) {
	if len(c.buf) > 0 {
		c.ready = c.body.Scan(c.buf)
		c.uploaded(c.ready)
		return c.handOn(p), nil
	}
	n, err := c.Conn.Read(p)
	taken := c.body.Scan(p[:n])
	c.keep(p[taken:n])
	c.uploaded(taken)
	return taken, err
}

func (c *conn) uploaded(n int) {
	if c.body.Ended() {
		c.guard.set(c.entry, kwclient.Answering)
		return
	}
	c.guard.connections.Uploaded(c.entry, n)
}

// readAhead reads a byte of the next request while one is in progress, by which the server learns that a client has left.
func (c *conn) readAhead(p []byte) (int, error) {
	if len(c.buf) > 0 {
		p[0], c.buf = c.buf[0], c.buf[1:]
		c.head.Scan(p)
		return 1, nil
	}
	n, err := c.Conn.Read(p)
	c.head.Scan(p[:n])
	return n, err
}

// readHead reads until a head is whole, and hands it on.
func (c *conn) readHead(p []byte) (int, error) {
	if len(c.buf) == 0 {
		n, err := c.Conn.Read(p)
		end := c.head.Scan(p[:n])
		if c.head.Ended() {
			c.keep(p[end:n])
			if err := c.admitHead(); err != nil {
				return 0, err
			}
			return end, nil
		}
		if err != nil {
			return 0, err
		}
		if err := c.growHead(max(n, initialHeadBytes)); err != nil {
			return 0, err
		}
		c.buf = append(c.buf, p[:n]...)
	} else if err := c.takeHead(); err != nil {
		return 0, err
	}
	if c.ready > 0 {
		return c.handOn(p), nil
	}
	return c.readOpenHead(p)
}

// readOpenHead reads on until the head whose beginning is in the buffer is whole, and hands it on.
func (c *conn) readOpenHead(p []byte) (int, error) {
	c.guard.set(c.entry, kwclient.Opening)
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.guard.cfg.Limits().HeadTimeout)); err != nil {
		return 0, err
	}
	for c.ready == 0 {
		if err := c.checkHeadSize(); err != nil {
			return 0, err
		}
		if len(c.buf) == cap(c.buf) {
			if err := c.growHead(2 * cap(c.buf)); err != nil {
				return 0, err
			}
		}
		begin := len(c.buf)
		n, err := c.Conn.Read(c.buf[begin:min(cap(c.buf), begin+headReadBytes)])
		c.buf = c.buf[:begin+n]
		end := begin + c.head.Scan(c.buf[begin:])
		if c.head.Ended() {
			if err := c.admitHead(); err != nil {
				return 0, err
			}
			c.ready = end
			break
		}
		if err != nil {
			return 0, err
		}
	}
	return c.handOn(p), nil
}

// takeHead takes a head, or its beginning, from the bytes that came behind the last request.
func (c *conn) takeHead() error {
	end := c.head.Scan(c.buf)
	if !c.head.Ended() {
		kept := c.buf
		c.buf = nil
		if err := c.growHead(max(len(kept), initialHeadBytes)); err != nil {
			return err
		}
		c.buf = append(c.buf, kept...)
		return nil
	}
	if err := c.admitHead(); err != nil {
		return err
	}
	c.ready = end
	return nil
}

// growHead gives the buffer of an open head a capacity in bytes, or returns an error without room: the connection is then closed.
func (c *conn) growHead(capacity int) error {
	if err := c.grow(int64(capacity - cap(c.buf))); err != nil {
		c.guard.report.count(&c.guard.report.noRoom)
		return errRefused
	}
	grown := make([]byte, len(c.buf), capacity)
	copy(grown, c.buf)
	c.buf = grown
	return nil
}

// grow takes bytes of the memory for heads.
func (c *conn) grow(n int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.account == nil {
		c.account = c.guard.cfg.Heads.Open()
	}
	return c.account.Grow(n)
}

// checkHeadSize refuses a head that is over the limit.
func (c *conn) checkHeadSize() error {
	limit := min(c.guard.cfg.Limits().HeadBytes+headAllowance, maxHeadBytes)
	if c.head.Size() <= limit {
		return nil
	}
	c.guard.report.count(&c.guard.report.tooLarge)
	return c.refuse(kwcode.New(kwcode.HeadTooLarge, "the head of the request exceeds %d bytes", limit))
}

// admitHead admits a whole head, or refuses its request: it has not run.
func (c *conn) admitHead() error {
	if err := c.checkHeadSize(); err != nil {
		return err
	}
	err := c.grow(c.head.ParsedBytes())
	for n := 0; err != nil && n < maxEvictions && c.guard.evictOpening(c.entry); n++ {
		err = c.grow(c.head.ParsedBytes())
	}
	if err != nil {
		c.guard.report.count(&c.guard.report.noRoom)
		return c.refuse(kwcode.New(kwcode.BuffersFull, "the process has no memory for the head of the request").After(noRoomRetryAfter))
	}
	c.head = kwclient.Head{}
	return nil
}

// refuse answers a request whose head has not been handed on, and waits for a moment until its client has read that.
func (c *conn) refuse(reason *kwcode.Error) error {
	c.guard.set(c.entry, kwclient.Refused)
	c.closeAccount()
	c.buf, c.ready = nil, 0
	end := time.Now().Add(refusalTimeout)
	if err := c.Conn.SetDeadline(end); err != nil {
		return errRefused
	}
	if _, err := c.Conn.Write(refusal(reason)); err == nil && c.CloseWrite() == nil {
		// Whatever ends it: the connection is closed now.
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes)
	}
	return errRefused
}

// beginRequest is called with the request of the head that was handed on.
func (c *conn) beginRequest(r *http.Request) {
	body := kwclient.NewBody(r.ContentLength, r.ContentLength < 0)
	if body.Ended() {
		// The server may be reading ahead already, so c.body stays as it is: without a body.
		c.guard.set(c.entry, kwclient.Answering)
		return
	}
	c.body = body
	if c.guard.cfg.RequestTimeout == 0 {
		// The handler may never look at the body, or set a deadline of its own.
		_ = c.Conn.SetReadDeadline(time.Now().Add(ignoredBodyTimeout))
	}
	c.guard.set(c.entry, kwclient.Uploading)
}

// endRequest gives back what the head held.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Close()
	c.account = nil
}

// beginIdle is called when the last request is answered and its connection is kept.
func (c *conn) beginIdle() {
	c.idle.Store(true)
	c.guard.set(c.entry, kwclient.Idle)
}

// SetReadDeadline implements net.Conn. The idle timeout of http.Server cannot change while it serves, so the deadline that the server sets when
// a connection becomes idle is replaced.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.idle.Swap(false) {
		t = time.Now().Add(c.guard.cfg.Limits().IdleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the answers to the client; the server waits for a moment before it closes the connection.
func (c *conn) CloseWrite() error {
	c.guard.set(c.entry, kwclient.Refused)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.connections.Remove(c.entry)
	c.closeAccount()
	return c.Conn.Close()
}

// closeAccount gives back what the connection holds of the memory for heads; it takes nothing more.
func (c *conn) closeAccount() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.account.Close()
	c.account = nil
}

// abort closes the connection for another one; the server notices and calls Close.
func (c *conn) abort() {
	c.closeAccount()
	_ = c.Conn.Close()
}
