package kwupstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwkeepalive"
)

const (
	// dialTimeout bounds the opening of a connection; a busy VM accepts within tens of milliseconds, and a lost packet is
	// sent again after 200.
	dialTimeout = 300 * time.Millisecond
	// usualIdle is how long a connection is kept where the endpoint names no timeout.
	usualIdle = 4 * time.Second
	// idleMargin is taken off the timeout that an endpoint names, so that it does not close a connection in use.
	idleMargin = time.Second
	// keepConns bounds the idle connections to one endpoint.
	keepConns    = 32
	readBuffer   = 4 << 10
	maxStrays    = 3
	maxStrayBody = 1 << 20
)

// Conn is one connection to an endpoint; it carries one request at a time.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	address string
	// Reused tells that the connection has carried a request before.
	Reused bool
	// once means that the connection may not carry another request.
	once    bool
	maxIdle time.Duration
	since   time.Time
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.raw.Close() }

// SetReadDeadline bounds the next reads.
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

// Get returns a connection to an address; fresh asks for one that has carried nothing. An error means that nothing
// was sent.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Since(c.since) < c.maxIdle && c.quiet() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	kwkeepalive.Enable(raw)
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address, maxIdle: usualIdle}, nil
}

func (p *Pool) take(address string) *Conn {
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

// Put keeps a connection whose last answer was read to its end; bytes beyond the answer or a wish to close end it.
func (p *Pool) Put(c *Conn, answer *http.Response) {
	if answer.Close || c.once || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.maxIdle = idleOf(answer.Header.Get("Keep-Alive"))
	c.since = time.Now()
	c.SetReadDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.maxIdle <= 0 || len(p.idle[c.address]) >= keepConns {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// idleOf reads the timeout of a Keep-Alive header.
func idleOf(header string) time.Duration {
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
	return usualIdle
}

// Sweep closes connections that were idle for too long, and all of endpoints that are no longer known.
func (p *Pool) Sweep(known func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if known(address) && time.Since(c.since) < c.maxIdle {
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

// quiet tells whether an idle connection is open and has no bytes waiting, which would belong to no request.
func (c *Conn) quiet() bool {
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
