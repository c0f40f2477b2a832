package kwtcprpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// readFrame returns a frame and the number of bytes that it took.
func readFrame(r *bufio.Reader) (frame, int, error) {
	var f frame
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return f, 0, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > maxFrameBytes {
		return f, 0, kwcode.New(kwcode.FrameTooLarge, "frame of %d bytes exceeds the limit of %d", n, maxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return f, 0, err
	}
	if err := kwcbor.Unmarshal(data, &f); err != nil {
		return f, 0, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return f, lengthPrefixBytes + len(data), nil
}
