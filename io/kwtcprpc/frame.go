package kwtcprpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
)

// Kind names a call between processes.
type Kind uint8

// frame is one message on a connection; a reply bears the number of its call.
type frame struct {
	Number uint64          `cbor:"1,keyasint"`
	Kind   Kind            `cbor:"2,keyasint"`
	Err    *kwcode.Error   `cbor:"3,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

const (
	// maxFrame bounds a frame in bytes: a declaration of 4 MB in a snapshot with room to spare.
	maxFrame    = 32 << 20
	lengthBytes = 4
	// writeTimeout bounds one write; a peer that does not read for so long is given up.
	writeTimeout = 2 * time.Second
	readBuffer   = 4 << 10
)

func writeFrame(c net.Conn, f frame) error {
	data, err := kwcbor.Marshal(f)
	if err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	if len(data) > maxFrame {
		return kwcode.New(kwcode.FrameTooLarge, "%d bytes, limit %d", len(data), maxFrame)
	}
	out := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = c.Write(append(out, data...))
	return err
}

func readFrame(r *bufio.Reader) (frame, error) {
	var f frame
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return f, kwcode.New(kwcode.FrameTooLarge, "%d bytes, limit %d", n, maxFrame)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return f, err
	}
	if err := kwcbor.Unmarshal(data, &f); err != nil {
		return f, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return f, nil
}
