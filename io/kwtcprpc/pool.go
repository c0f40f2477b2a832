package kwtcprpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwkeepalive"
)

// dialTimeout is many times the network delay between availability zones, and short so that a VM that is down hardly
// delays a process that has just started.
const dialTimeout = 250 * time.Millisecond

// Pool keeps one connection to each peer, which concurrent calls share; it is safe for concurrent use.
type Pool struct {
	traffic *Traffic
	mu      sync.Mutex
	conns   map[string]*conn
}

// NewPool returns an empty pool. traffic counts the bytes of its calls and may be nil.
func NewPool(traffic *Traffic) *Pool {
	return &Pool{traffic: traffic, conns: make(map[string]*conn)}
}

// Call sends a request to an address and decodes the reply into resp, which may be nil. If the context ends before the
// reply arrives, the connection is closed, since the peer may have become unresponsive. A deadline that passes while the connection brings
// a frame is extended until it brings nothing any more: a large reply over a slow link would else never arrive.
func (p *Pool) Call(ctx context.Context, address string, kind Kind, req, resp any) error {
	// A peer that is down costs no encoding.
	c, err := p.get(ctx, address)
	if err != nil {
		return err
	}
	body, err := kwcbor.Marshal(req)
	if err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	reply, err := c.call(ctx, kind, body)
	if err != nil {
		p.drop(address, c)
		return kwcode.New(kwcode.PeerUnreachable, "%s: %v", address, err)
	}
	if reply.Err != nil {
		return reply.Err
	}
	if resp == nil {
		return nil
	}
	if err := kwcbor.Unmarshal(reply.Body, resp); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return nil
}

// get returns the open connection to an address, or dials a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	c, ok := p.conns[address]
	p.mu.Unlock()
	if ok {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	kwkeepalive.Enable(raw)
	opened := &conn{raw: raw, traffic: p.traffic, pending: make(map[uint64]chan frame), closed: make(chan struct{})}
	p.mu.Lock()
	if c, ok := p.conns[address]; ok {
		p.mu.Unlock()
		_ = raw.Close()
		return c, nil
	}
	p.conns[address] = opened
	p.mu.Unlock()
	go func() {
		opened.readReplies()
		p.drop(address, opened)
	}()
	return opened, nil
}

func (p *Pool) drop(address string, c *conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	c.close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		c.close()
		delete(p.conns, address)
	}
}

// conn multiplexes concurrent calls over one connection.
type conn struct {
	raw        net.Conn
	traffic    *Traffic
	writeMu    sync.Mutex
	mu         sync.Mutex
	lastCallID uint64
	// pending holds the reply channel of each call in progress, by call ID.
	pending   map[uint64]chan frame
	closed    chan struct{}
	closeOnce sync.Once
	// receiving means that a frame has begun to arrive; lastRead is when the last bytes came, in Unix nanoseconds.
	receiving atomic.Bool
	lastRead  atomic.Int64
}

// stallTimeout is how long a frame that has begun to arrive may bring no bytes; a lost packet is sent again after 200 ms.
const stallTimeout = 300 * time.Millisecond

// Read reads from the connection and notes when bytes come.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.raw.Read(p)
	c.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// delivers reports whether a frame is arriving.
func (c *conn) delivers() bool {
	return c.receiving.Load() && time.Since(time.Unix(0, c.lastRead.Load())) < stallTimeout
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.raw.Close()
	})
}

func (c *conn) readReplies() {
	// What control processes send is theirs to bound, and calls have deadlines of their own.
	r := &frameReader{Reader: bufio.NewReaderSize(c, readBufferBytes)}
	for {
		if _, err := r.Peek(lengthPrefixBytes); err != nil {
			return
		}
		c.receiving.Store(true)
		f, n, err := r.read(nil)
		if err != nil {
			return
		}
		c.traffic.countReceived(f.Kind, n)
		c.mu.Lock()
		reply, ok := c.pending[f.CallID]
		delete(c.pending, f.CallID)
		c.mu.Unlock()
		if ok {
			reply <- f
		}
		c.receiving.Store(false)
	}
}

func (c *conn) call(ctx context.Context, kind Kind, body []byte) (frame, error) {
	reply := make(chan frame, 1)
	c.mu.Lock()
	c.lastCallID++
	f := frame{CallID: c.lastCallID, Kind: kind, Body: body}
	c.pending[f.CallID] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, f.CallID)
		c.mu.Unlock()
	}()
	c.writeMu.Lock()
	n, err := writeFrame(c.raw, f)
	c.writeMu.Unlock()
	c.traffic.countSent(kind, n)
	if err != nil {
		return frame{}, err
	}
	done := ctx.Done()
	var recheck <-chan time.Time
	for {
		select {
		case r := <-reply:
			return r, nil
		case <-c.closed:
			return frame{}, net.ErrClosed
		case <-done:
		case <-recheck:
		}
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !c.delivers() {
			select {
			case r := <-reply:
				return r, nil
			default:
				return frame{}, ctx.Err()
			}
		}
		done, recheck = nil, time.After(stallTimeout)
	}
}
