package kwtcprpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwkeepalive"
	"knapweedproxy/io/kwtime"
)

// Handler answers one call; body decodes the request.
type Handler func(ctx context.Context, body Body) (any, error)

// Body is the undecoded request of a call.
type Body struct {
	raw cbor.RawMessage
}

// Decode reads the request into out.
func (b Body) Decode(out any) error {
	if err := kwcbor.Unmarshal(b.raw, out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return nil
}

// Server answers the calls of other processes.
type Server struct {
	listener net.Listener
	handlers map[Kind]Handler
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Listen opens the address; calls are answered once Serve runs.
func Listen(address string, handlers map[Kind]Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{listener: l, handlers: handlers, ctx: ctx, cancel: cancel, conns: make(map[net.Conn]struct{})}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if passing(err) {
				kwtime.Sleep(s.ctx, acceptPause)
				continue
			}
			return kwcode.New(kwcode.ListenFailed, "%v", err)
		}
		kwkeepalive.Enable(c)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// acceptPause is the wait after an accept that failed for want of descriptors.
const acceptPause = 20 * time.Millisecond

// passing tells whether an accept failed for a reason that passes: no descriptors are free, or the caller has gone.
func passing(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	var out sync.Mutex
	r := bufio.NewReaderSize(c, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		go func() {
			reply := s.answer(ctx, f)
			out.Lock()
			defer out.Unlock()
			if err := writeFrame(c, reply); err != nil {
				_ = c.Close()
			}
		}()
	}
}

func (s *Server) answer(ctx context.Context, f frame) frame {
	reply := frame{Number: f.Number, Kind: f.Kind}
	h, ok := s.handlers[f.Kind]
	if !ok {
		reply.Err = kwcode.New(kwcode.UnknownMessage, "kind %d", f.Kind)
		return reply
	}
	out, err := h(ctx, Body{raw: f.Body})
	if err != nil {
		reply.Err = kwcode.FromError(err)
		return reply
	}
	if out == nil {
		return reply
	}
	reply.Body, err = kwcbor.Marshal(out)
	if err != nil {
		reply.Err = kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return reply
}
