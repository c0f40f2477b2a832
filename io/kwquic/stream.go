package kwquic

import (
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwkeys"
)

// MaxFrameBytes is the largest frame in bytes.
const MaxFrameBytes = 8 << 20

const lengthBytes = 4

// Bounds of a decoded body, against frames that are small on the wire and large in memory.
const (
	maxNesting  = 24
	maxElements = 1 << 20
)

// envelope is the outer form of every frame.
type envelope struct {
	Kind  kwagentproto.Kind `cbor:"1,keyasint"`
	Stamp kwhlc.Timestamp   `cbor:"2,keyasint"`
	Body  cbor.RawMessage   `cbor:"3,keyasint"`
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Frame is one received message.
type Frame struct {
	Kind kwagentproto.Kind
	body []byte
}

// Decode reads the body into out; it returns FrameMalformed for a body of another form.
func (f Frame) Decode(out any) error {
	if err := decMode.Unmarshal(f.body, out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "message kind %d: %v", f.Kind, err)
	}
	return nil
}

// Expect decodes the body if the frame has the wanted kind; an error frame becomes its error.
func (f Frame) Expect(kind kwagentproto.Kind, out any) error {
	if f.Kind == kwagentproto.KindError {
		var failure kwagentproto.Failure
		if err := f.Decode(&failure); err != nil {
			return err
		}
		return &failure.Error
	}
	if f.Kind != kind {
		return kwcode.New(kwcode.UnknownMessage, "message kind %d, want %d", f.Kind, kind)
	}
	return f.Decode(out)
}

// raw is the part of a QUIC stream that framing uses.
type raw interface {
	io.Reader
	io.Writer
	io.Closer
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	CancelRead(code quic.StreamErrorCode)
	CancelWrite(code quic.StreamErrorCode)
	Context() context.Context
}

// Stream sends and receives frames; one goroutine may send while another receives.
type Stream struct {
	raw    raw
	clock  *kwhlc.Clock
	peer   kwkeys.Identity
	sendMu sync.Mutex
	done   func()
	once   sync.Once
}

// Peer returns the verified identity of the other side.
func (s *Stream) Peer() kwkeys.Identity { return s.peer }

// Send writes one frame.
func (s *Stream) Send(kind kwagentproto.Kind, body any) error {
	data, err := encodeFrame(s.clock.Next(), kind, body)
	if err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if _, err := s.raw.Write(data); err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "send to %s: %v", s.peer.Node, err)
	}
	return nil
}

// Call sends one frame, decodes the answer into out and closes the stream.
func (s *Stream) Call(ctx context.Context, kind kwagentproto.Kind, in, out any) error {
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(kind, in); err != nil {
		return err
	}
	f, err := s.Recv()
	if err != nil {
		return err
	}
	return f.Expect(kwagentproto.KindReply, out)
}

// SendError writes an error frame.
func (s *Stream) SendError(err error) error {
	return s.Send(kwagentproto.KindError, kwagentproto.Failure{Error: *kwcode.FromError(err)})
}

// Recv reads one frame; the error is PeerUnreachable, FrameTooLarge or FrameMalformed.
func (s *Stream) Recv() (Frame, error) {
	env, err := readFrame(s.raw)
	if err != nil {
		return Frame{}, err
	}
	s.clock.Observe(env.Stamp)
	return Frame{Kind: env.Kind, body: env.Body}, nil
}

// RecvUntil reads one frame or fails at the deadline.
func (s *Stream) RecvUntil(deadline time.Time) (Frame, error) {
	_ = s.raw.SetReadDeadline(deadline)
	f, err := s.Recv()
	_ = s.raw.SetReadDeadline(time.Time{})
	return f, err
}

// StopReading makes a blocked Recv return; sending goes on.
func (s *Stream) StopReading() {
	s.raw.CancelRead(0)
}

// CloseSend tells the peer that no more frames follow.
func (s *Stream) CloseSend() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_ = s.raw.Close()
}

// Close ends both directions; frames that were sent before still arrive.
func (s *Stream) Close() {
	s.once.Do(func() {
		s.CloseSend()
		s.raw.CancelRead(0)
		if s.done != nil {
			s.done()
		}
	})
}

// Abort ends both directions at once; the peer sees a broken stream.
func (s *Stream) Abort() {
	s.once.Do(func() {
		s.raw.CancelWrite(abortCode)
		s.raw.CancelRead(abortCode)
		if s.done != nil {
			s.done()
		}
	})
}

const abortCode = 1

func encodeFrame(stamp kwhlc.Timestamp, kind kwagentproto.Kind, body any) ([]byte, error) {
	inner, err := cbor.Marshal(body)
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "encode message kind %d: %v", kind, err)
	}
	outer, err := cbor.Marshal(envelope{Kind: kind, Stamp: stamp, Body: inner})
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "encode message kind %d: %v", kind, err)
	}
	if len(outer) > MaxFrameBytes {
		return nil, kwcode.New(kwcode.FrameTooLarge, "message kind %d has %d bytes, limit %d", kind, len(outer), MaxFrameBytes)
	}
	data := make([]byte, lengthBytes, lengthBytes+len(outer))
	binary.BigEndian.PutUint32(data, uint32(len(outer)))
	return append(data, outer...), nil
}

func readFrame(r io.Reader) (envelope, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return envelope{}, kwcode.New(kwcode.PeerUnreachable, "read a frame: %v", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrameBytes {
		return envelope{}, kwcode.New(kwcode.FrameTooLarge, "a frame of %d bytes, limit %d", n, MaxFrameBytes)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil || len(data) < int(n) {
		return envelope{}, kwcode.New(kwcode.PeerUnreachable, "a frame ended after %d of %d bytes", len(data), n)
	}
	var env envelope
	if err := decMode.Unmarshal(data, &env); err != nil {
		return envelope{}, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return env, nil
}
