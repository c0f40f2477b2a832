package kwtcprpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwkeepalive"
)

// dialTimeout bounds the opening of a connection, many times the delay between availability zones: a VM that is down must
// cost a process that has just started little.
const dialTimeout = 250 * time.Millisecond

// Pool holds one connection to each process that this one calls; it is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*conn
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{conns: make(map[string]*conn)}
}

// Call sends a request to an address and decodes the reply into resp, which may be nil. A call that the context ends
// takes its connection out of use, since the peer may have gone silent.
func (p *Pool) Call(ctx context.Context, address string, kind Kind, req, resp any) error {
	body, err := kwcbor.Marshal(req)
	if err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	c, err := p.get(ctx, address)
	if err != nil {
		return err
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

// get returns the open connection to an address, or opens one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	c, ok := p.conns[address]
	p.mu.Unlock()
	if ok {
		return c, nil
	}
	dial := net.Dialer{Timeout: dialTimeout}
	raw, err := dial.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.PeerUnreachable, "%v", err)
	}
	kwkeepalive.Enable(raw)
	fresh := &conn{raw: raw, waiting: make(map[uint64]chan frame), gone: make(chan struct{})}
	p.mu.Lock()
	if c, ok := p.conns[address]; ok {
		p.mu.Unlock()
		_ = raw.Close()
		return c, nil
	}
	p.conns[address] = fresh
	p.mu.Unlock()
	go func() {
		fresh.read()
		p.drop(address, fresh)
	}()
	return fresh, nil
}

func (p *Pool) drop(address string, c *conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	c.close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		c.close()
		delete(p.conns, address)
	}
}

// conn carries many calls at a time.
type conn struct {
	raw     net.Conn
	writing sync.Mutex
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan frame
	gone    chan struct{}
	once    sync.Once
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.gone)
		_ = c.raw.Close()
	})
}

func (c *conn) read() {
	r := bufio.NewReaderSize(c.raw, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		c.mu.Lock()
		reply, ok := c.waiting[f.Number]
		delete(c.waiting, f.Number)
		c.mu.Unlock()
		if ok {
			reply <- f
		}
	}
}

func (c *conn) call(ctx context.Context, kind Kind, body []byte) (frame, error) {
	reply := make(chan frame, 1)
	c.mu.Lock()
	c.next++
	f := frame{Number: c.next, Kind: kind, Body: body}
	c.waiting[f.Number] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, f.Number)
		c.mu.Unlock()
	}()
	c.writing.Lock()
	err := writeFrame(c.raw, f)
	c.writing.Unlock()
	if err != nil {
		return frame{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-c.gone:
		return frame{}, net.ErrClosed
	case <-ctx.Done():
		return frame{}, ctx.Err()
	}
}
