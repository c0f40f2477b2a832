package kwtcprpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
)

// Kind identifies the method of a call.
type Kind uint8

// frame is a request or a reply; a reply repeats the CallID and Kind of its request.
type frame struct {
	CallID uint64          `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint"`
	Err    *kwcode.Error   `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

const (
	// maxFrameBytes leaves ample room for a snapshot that holds a declaration of 4 MB.
	maxFrameBytes     = 32 << 20
	lengthPrefixBytes = 4
	// writeTimeout bounds the write of writeChunkBytes; the connection to a peer that reads nothing for so long is closed.
	writeTimeout    = 2 * time.Second
	writeChunkBytes = 64 << 10
	readBufferBytes = 4 << 10
	// pieceTimeout bounds the read of writeChunkBytes of a frame that has begun: the peer gives up its write before.
	pieceTimeout = 2 * writeTimeout
)

// writeFrame returns the number of bytes written.
func writeFrame(c net.Conn, f frame) (int, error) {
	data, err := kwcbor.Marshal(f)
	if err != nil {
		return 0, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	if len(data) > maxFrameBytes {
		return 0, kwcode.New(kwcode.FrameTooLarge, "frame of %d bytes exceeds the limit of %d", len(data), maxFrameBytes)
	}
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	return writeChunks(c, append(out, data...))
}

// writeChunks writes data with a deadline for each chunk, so that a large frame may take its time on a slow link.
func writeChunks(c net.Conn, data []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(data, writeChunkBytes) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// frameReader reads frames from a connection. A frame costs what has arrived of it, and not what its length promises; a peer that sends nothing
// of the rest for pieceTimeout is given up.
type frameReader struct {
	*bufio.Reader
	// conn takes the deadlines; nil sets none.
	conn net.Conn
	// upload is told of large frames; it may be nil.
	upload upload
	// armed means that a deadline is set.
	armed bool
}

// upload follows the arrival of a large frame.
type upload interface {
	// begin returns an error if there is no room for a frame of n bytes.
	begin(n int) error
	arrived(n int)
}

// read returns a frame and the number of bytes that it took.
func (r *frameReader) read(buffers *kwbuffer.Account) (frame, int, error) {
	var f frame
	var prefix [lengthPrefixBytes]byte
	// Between frames a connection may be silent for as long as its peer likes.
	if _, err := r.Peek(1); err != nil {
		return f, 0, err
	}
	if err := r.fill(prefix[:]); err != nil {
		return f, 0, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > maxFrameBytes {
		return f, 0, kwcode.New(kwcode.FrameTooLarge, "frame of %d bytes exceeds the limit of %d", n, maxFrameBytes)
	}
	data, err := r.readData(int(n), buffers)
	if err != nil {
		return f, 0, err
	}
	if err := r.disarm(); err != nil {
		return f, 0, err
	}
	if err := kwcbor.Unmarshal(data, &f); err != nil {
		return f, 0, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return f, lengthPrefixBytes + len(data), nil
}

// readData reads n bytes in pieces, each of which is allocated once the one before it has come.
func (r *frameReader) readData(n int, buffers *kwbuffer.Account) ([]byte, error) {
	if n > writeChunkBytes && r.upload != nil {
		if err := r.upload.begin(n); err != nil {
			return nil, err
		}
	}
	var pieces [][]byte
	for left := n; left > 0; {
		size := min(left, writeChunkBytes)
		if err := buffers.Grow(int64(size)); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		if err := r.fill(piece); err != nil {
			return nil, err
		}
		if r.upload != nil && n > writeChunkBytes {
			r.upload.arrived(size)
		}
		pieces = append(pieces, piece)
		left -= size
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	return slices.Concat(pieces...), nil
}

// fill reads len(p) bytes, with a deadline if some of them have yet to arrive.
func (r *frameReader) fill(p []byte) error {
	if r.conn != nil && r.Buffered() < len(p) {
		if err := r.conn.SetReadDeadline(time.Now().Add(pieceTimeout)); err != nil {
			return err
		}
		r.armed = true
	}
	_, err := io.ReadFull(r.Reader, p)
	return err
}

// disarm removes the deadline of a frame that is whole.
func (r *frameReader) disarm() error {
	if !r.armed {
		return nil
	}
	r.armed = false
	return r.conn.SetReadDeadline(time.Time{})
}
