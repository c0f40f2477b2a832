package kwtcprpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwclient"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwguard"
	"knapweedproxy/io/kwkeepalive"
	"knapweedproxy/io/kwtime"
)

// Handler handles one call and returns the body of the reply; nil means an empty body.
type Handler func(ctx context.Context, body Body) (any, error)

// Body is the undecoded request of a call.
type Body struct {
	raw cbor.RawMessage
}

// Decode decodes the request into out.
func (b Body) Decode(out any) error {
	if err := kwcbor.Unmarshal(b.raw, out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return nil
}

// Server accepts connections and dispatches calls to handlers by kind.
type Server struct {
	listener net.Listener
	handlers map[Kind]Handler
	ctx      context.Context
	cancel   context.CancelFunc
	traffic  *Traffic
	// connections and buffers bound what peers can make the process keep.
	connections *kwclient.Connections
	buffers     *kwbuffer.Budget
	mu          sync.Mutex
	conns       map[net.Conn]struct{}
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Address  string
	Handlers map[Kind]Handler
	// Traffic counts the bytes of the calls; it may be nil.
	Traffic *Traffic
	// Connections bounds the connections of all peers; nil means the number for a small VM.
	Connections *kwclient.Connections
	// Buffers is the memory for calls that arrive or are in progress; nil means one of the default size.
	Buffers *kwbuffer.Budget
}

// Listen opens the listener; calls are handled once Serve runs.
func Listen(cfg ServerConfig) (*Server, error) {
	l, err := kwguard.ListenWith(cfg.Address, receiveBufferBytes)
	if err != nil {
		return nil, err
	}
	if cfg.Connections == nil {
		cfg.Connections = kwclient.NewConnections(kwclient.Capacity{}.MaxPeerConnections())
	}
	if cfg.Buffers == nil {
		cfg.Buffers = kwbuffer.New(0)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		listener: l, handlers: cfg.Handlers, traffic: cfg.Traffic, connections: cfg.Connections, buffers: cfg.Buffers,
		ctx: ctx, cancel: cancel, conns: make(map[net.Conn]struct{}),
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close, after which it returns nil. It returns ListenFailed if the listener fails.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			if temporary(err) {
				kwtime.Sleep(s.ctx, acceptRetryDelay)
				continue
			}
			return kwcode.New(kwcode.ListenFailed, "%v", err)
		}
		entry, victim := s.connections.Add(time.Now(), func() { _ = c.Close() })
		if victim != nil {
			victim.Close()
		}
		if entry == nil {
			_ = c.Close()
			continue
		}
		kwkeepalive.Enable(c)
		if !s.register(c) {
			_ = c.Close()
			return nil
		}
		go s.serveConn(&peerConn{Conn: c, server: s, entry: entry})
	}
}

// register has Close close the connection, or returns false if Close has been called already.
func (s *Server) register(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// acceptRetryDelay is the delay after a temporary accept error.
const acceptRetryDelay = 20 * time.Millisecond

// temporary reports whether an accept error is worth a retry: the process or the system has no free file descriptors,
// or the client has closed the connection already.
func temporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// peerConn is a connection that a peer has opened.
type peerConn struct {
	net.Conn
	server *Server
	entry  *kwclient.Connection
	// slots bounds the calls in progress; a peer that sends more waits.
	slots chan struct{}
	// writeMu keeps replies apart.
	writeMu sync.Mutex
	mu      sync.Mutex
	// calls is the number of calls in progress.
	calls int
}

const (
	// maxCallsInProgress bounds the calls of one connection that are in progress.
	maxCallsInProgress = 1024
	// callBytes is what a call in progress takes beside its frame: the stack of its goroutine.
	callBytes = 8 << 10
	// reclaimTime is the time in which a connection that was closed gives back its memory.
	reclaimTime = 5 * time.Millisecond
	// receiveBufferBytes bounds what arrives on a connection and is not read, and lets a snapshot pass at 3 MB a second over 20 ms.
	receiveBufferBytes = 64 << 10
)

func (s *Server) serveConn(c *peerConn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
		s.connections.Remove(c.entry)
		_ = c.Close()
	}()
	c.slots = make(chan struct{}, maxCallsInProgress)
	r := &frameReader{Reader: bufio.NewReaderSize(c, readBufferBytes), conn: c, upload: c}
	for {
		// A connection without a frame has no part in the memory for calls.
		if _, err := r.Peek(1); err != nil {
			return
		}
		buffers := s.buffers.OpenReclaiming(s.evictSlowFrame)
		f, n, err := r.read(buffers)
		if err == nil {
			err = buffers.Grow(callBytes)
		}
		if err != nil {
			buffers.Close()
			return
		}
		s.traffic.countReceived(f.Kind, n)
		c.slots <- struct{}{}
		c.countCalls(1)
		go func() {
			defer func() {
				buffers.Close()
				c.countCalls(-1)
				<-c.slots
			}()
			c.reply(s.dispatch(ctx, f))
		}()
	}
}

// evictSlowFrame closes the connection whose large frame arrives most slowly while calls fill the memory for them, and waits until it has been
// given back. It reports whether there was one.
func (s *Server) evictSlowFrame() bool {
	v := s.connections.EvictSlowUpload(time.Now())
	if v == nil {
		return false
	}
	v.Close()
	kwtime.Sleep(s.ctx, reclaimTime)
	return true
}

// begin implements upload.
func (c *peerConn) begin(n int) error {
	s := c.server
	s.connections.Set(c.entry, kwclient.Uploading, time.Now())
	for !s.buffers.Fits(int64(n)) {
		if !s.evictSlowFrame() {
			return kwcode.New(kwcode.BuffersFull, "no room for a frame of %d bytes", n)
		}
	}
	return nil
}

// arrived implements upload.
func (c *peerConn) arrived(n int) { c.server.connections.Uploaded(c.entry, n) }

// countCalls counts the calls in progress. A connection without any is closed before one with some if there are too many.
func (c *peerConn) countCalls(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls += n
	state := kwclient.Answering
	if c.calls == 0 {
		state = kwclient.Idle
	}
	c.server.connections.Set(c.entry, state, time.Now())
}

// reply writes a reply, or closes the connection.
func (c *peerConn) reply(f frame) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := writeFrame(c, f)
	c.server.traffic.countSent(f.Kind, n)
	if err != nil {
		_ = c.Close()
	}
}

// safely calls a handler; one that panics fails its call and not the process.
func safely(ctx context.Context, h Handler, f frame) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			result, err = nil, kwcode.New(kwcode.OperationFailed, "call of kind %d panicked: %v\n%s", f.Kind, cause, debug.Stack())
		}
	}()
	return h(ctx, Body{raw: f.Body})
}

func (s *Server) dispatch(ctx context.Context, f frame) frame {
	reply := frame{CallID: f.CallID, Kind: f.Kind}
	h, ok := s.handlers[f.Kind]
	if !ok {
		reply.Err = kwcode.New(kwcode.UnknownMessage, "no handler for calls of kind %d", f.Kind)
		return reply
	}
	result, err := safely(ctx, h, f)
	if err != nil {
		reply.Err = kwcode.FromError(err)
		return reply
	}
	if result == nil {
		return reply
	}
	reply.Body, err = kwcbor.Marshal(result)
	if err != nil {
		reply.Err = kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return reply
}
