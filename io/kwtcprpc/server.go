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

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
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
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Listen opens the listener; calls are handled once Serve runs. traffic counts their bytes and may be nil.
func Listen(address string, handlers map[Kind]Handler, traffic *Traffic) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{listener: l, handlers: handlers, traffic: traffic, ctx: ctx, cancel: cancel, conns: make(map[net.Conn]struct{})}, nil
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
		kwkeepalive.Enable(c)
		if !s.register(c) {
			_ = c.Close()
			return nil
		}
		go s.serveConn(c)
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

func (s *Server) serveConn(c net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	var writeMu sync.Mutex
	r := bufio.NewReaderSize(c, readBufferBytes)
	for {
		f, n, err := readFrame(r)
		if err != nil {
			return
		}
		s.traffic.countReceived(f.Kind, n)
		go func() {
			reply := s.dispatch(ctx, f)
			writeMu.Lock()
			defer writeMu.Unlock()
			n, err := writeFrame(c, reply)
			s.traffic.countSent(f.Kind, n)
			if err != nil {
				_ = c.Close()
			}
		}()
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
