package kwupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwkeepalive"
)

const (
	// dialTimeout bounds the opening of a connection; a busy VM accepts within tens of milliseconds, and a lost packet is
	// retransmitted after 200 ms.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from an endpoint's Keep-Alive timeout, so that the endpoint does not close a connection
	// that is about to be reused.
	idleMargin = time.Second
	// maxIdlePerEndpoint bounds the idle connections kept for one endpoint.
	maxIdlePerEndpoint = 32
	readBufferBytes    = 4 << 10
	// maxMismatchedResponses is how many responses are read in search of the one that belongs to a request; interim (1xx)
	// responses count too. A response to another request is discarded if its body has at most maxMismatchedBodyBytes.
	maxMismatchedResponses = 3
	maxMismatchedBodyBytes = 1 << 20
	// maxHeadBytes bounds the status line and the headers of a response; a server in trouble may send them without end.
	maxHeadBytes = 64 << 10
	// maxRefusedPerConn is the number of requests answered with a failure after which a connection is closed.
	maxRefusedPerConn = 64
)

// ErrNoConnection marks the error of an endpoint that has neither accepted nor refused a connection in time.
var ErrNoConnection = errors.New("no connection in time")

// Conn is a connection to an endpoint; it carries one request at a time.
type Conn struct {
	raw     net.Conn
	limit   *headLimit
	reader  *bufio.Reader
	address string
	// Reused reports whether the connection has carried a request before.
	Reused bool
	// upload is the write of a large request in the background, nil if the request was written before Send returned.
	upload *upload
	// singleUse means that the connection must not carry another request.
	singleUse bool
	// refused holds the requests that were answered with a failure. A copy of that would answer a second attempt with the same ID.
	refused     []kwid.RequestID
	idleTimeout time.Duration
	idleSince   time.Time
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// SetReadDeadline sets the deadline for reads of the response.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.raw.SetReadDeadline(t) }

// Pool keeps idle connections by address; it is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*Conn)}
}

// Get returns an idle connection to an address for a request, or dials one; fresh forces a new one. One on which the request was refused
// before is closed. After an error nothing has been sent.
func (p *Pool) Get(ctx context.Context, address string, id kwid.RequestID, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleTimeout && c.reusable() && !slices.Contains(c.refused, id) {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil, fmt.Errorf("%w: %v", ErrNoConnection, err)
	}
	if err != nil {
		return nil, kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	kwkeepalive.Enable(raw)
	limit := &headLimit{r: raw}
	return &Conn{raw: raw, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), address: address, idleTimeout: defaultIdleTimeout}, nil
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// Put returns a connection to the pool after its response has been read to the end. It closes the connection if it
// cannot be reused, such as when the endpoint asked to close it or sent more bytes than the response.
func (p *Pool) Put(c *Conn, resp *http.Response) {
	if resp.Close || c.singleUse || c.reader.Buffered() > 0 || len(c.refused) >= maxRefusedPerConn {
		c.Close()
		return
	}
	c.idleTimeout = parseIdleTimeout(resp.Header.Get("Keep-Alive"))
	c.idleSince = time.Now()
	c.SetReadDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleTimeout <= 0 || len(p.idle[c.address]) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// parseIdleTimeout returns how long a connection may stay idle, given its Keep-Alive header.
func parseIdleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// Sweep closes connections that have been idle for too long, and those to endpoints that are no longer known.
func (p *Pool) Sweep(known func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if known(address) && time.Since(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// reusable reports whether an idle connection is still open and has no unread bytes, which would belong to no request.
func (c *Conn) reusable() bool {
	t, ok := c.raw.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
