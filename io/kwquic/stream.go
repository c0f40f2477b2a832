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

// MaxFrameBytes is the largest frame, without its length prefix.
const MaxFrameBytes = 8 << 20

const lengthPrefixBytes = 4

// Limits of a decoded frame, against frames that are small on the wire but large in memory.
const (
	maxNesting  = 24
	maxElements = 1 << 20
)

// envelope is the encoding of every frame: message kind, timestamp and encoded body.
type envelope struct {
	Kind      kwagentproto.Kind `cbor:"1,keyasint"`
	Timestamp kwhlc.Timestamp   `cbor:"2,keyasint"`
	Body      cbor.RawMessage   `cbor:"3,keyasint"`
}

var decodeMode = func() cbor.DecMode {
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

// Frame is one received message, whose body is still encoded.
type Frame struct {
	Kind kwagentproto.Kind
	body []byte
}

// Decode decodes the body into out; it returns FrameMalformed if the body does not match out.
func (f Frame) Decode(out any) error {
	if err := decodeMode.Unmarshal(f.body, out); err != nil {
		return kwcode.New(kwcode.FrameMalformed, "message kind %d: %v", f.Kind, err)
	}
	return nil
}

// Expect decodes the body into out if the frame has the given kind. For an error frame it returns the error that the
// frame carries, for any other kind UnknownMessage.
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

// rawStream is the subset of quic.Stream that Stream uses.
type rawStream interface {
	io.Reader
	io.Writer
	io.Closer
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	CancelRead(code quic.StreamErrorCode)
	CancelWrite(code quic.StreamErrorCode)
	Context() context.Context
}

// Stream sends and receives frames. One goroutine may send while another receives.
type Stream struct {
	raw       rawStream
	clock     *kwhlc.Clock
	peer      kwkeys.Identity
	sendMu    sync.Mutex
	onClose   func()
	closeOnce sync.Once
}

// Peer returns the peer's verified identity.
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

// Call sends one frame, decodes the reply into out and closes the stream. It aborts the stream if the context ends
// first.
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

// Recv reads one frame. Its error is PeerUnreachable, FrameTooLarge or FrameMalformed.
func (s *Stream) Recv() (Frame, error) {
	env, err := readFrame(s.raw)
	if err != nil {
		return Frame{}, err
	}
	s.clock.Observe(env.Timestamp)
	return Frame{Kind: env.Kind, body: env.Body}, nil
}

// RecvUntil is like Recv, but fails at the deadline.
func (s *Stream) RecvUntil(deadline time.Time) (Frame, error) {
	_ = s.raw.SetReadDeadline(deadline)
	f, err := s.Recv()
	_ = s.raw.SetReadDeadline(time.Time{})
	return f, err
}

// StopReading cancels the receiving side, which makes a blocked Recv return. Sending is still possible.
func (s *Stream) StopReading() {
	s.raw.CancelRead(0)
}

// CloseSend closes the sending side after the frames sent so far.
func (s *Stream) CloseSend() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_ = s.raw.Close()
}

// Close closes both directions. Frames sent before are still delivered.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		s.CloseSend()
		s.raw.CancelRead(0)
		if s.onClose != nil {
			s.onClose()
		}
	})
}

// Abort resets both directions at once. Frames sent before may be lost, and the peer sees an error.
func (s *Stream) Abort() {
	s.closeOnce.Do(func() {
		s.raw.CancelWrite(abortCode)
		s.raw.CancelRead(abortCode)
		if s.onClose != nil {
			s.onClose()
		}
	})
}

// abortCode is the QUIC error code of an aborted stream and of a rejected connection.
const abortCode = 1

// encodeFrame returns a frame on the wire: a big-endian length prefix and the encoded envelope.
func encodeFrame(stamp kwhlc.Timestamp, kind kwagentproto.Kind, body any) ([]byte, error) {
	encodedBody, err := cbor.Marshal(body)
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "encode message kind %d: %v", kind, err)
	}
	encoded, err := cbor.Marshal(envelope{Kind: kind, Timestamp: stamp, Body: encodedBody})
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "encode message kind %d: %v", kind, err)
	}
	if len(encoded) > MaxFrameBytes {
		return nil, kwcode.New(kwcode.FrameTooLarge, "message kind %d of %d bytes exceeds the limit of %d", kind, len(encoded), MaxFrameBytes)
	}
	data := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(encoded))
	binary.BigEndian.PutUint32(data, uint32(len(encoded)))
	return append(data, encoded...), nil
}

func readFrame(r io.Reader) (envelope, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return envelope{}, kwcode.New(kwcode.PeerUnreachable, "read a frame: %v", err)
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxFrameBytes {
		return envelope{}, kwcode.New(kwcode.FrameTooLarge, "frame of %d bytes exceeds the limit of %d", n, MaxFrameBytes)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil || len(data) < int(n) {
		return envelope{}, kwcode.New(kwcode.PeerUnreachable, "frame ended after %d of %d bytes", len(data), n)
	}
	var env envelope
	if err := decodeMode.Unmarshal(data, &env); err != nil {
		return envelope{}, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return env, nil
}
