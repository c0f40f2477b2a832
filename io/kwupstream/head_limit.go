package kwupstream

import (
	"io"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
)

// headLimit bounds the bytes that are read from a connection while it reads the head of a response.
type headLimit struct {
	r io.Reader
	// on means that a head is being read, of which left bytes may still come.
	on   bool
	left int
	// buffers pays for heads of more than usualHeadBytes.
	buffers *kwbuffer.Account
}

const (
	// usualHeadBytes is the size up to which a head is not accounted for.
	usualHeadBytes = 4 << 10
	// headCopies is how often the bytes of a head are held once it is parsed.
	headCopies = 3
)

// begin starts to count the bytes of a head.
func (l *headLimit) begin(buffers *kwbuffer.Account) {
	l.on, l.left, l.buffers = true, maxHeadBytes, buffers
}

// end lifts the limit for the body.
func (l *headLimit) end() { l.on = false }

// Read reads from the connection, or fails once a head has taken its bytes.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.on {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, kwcode.New(kwcode.FrameTooLarge, "the head of a response exceeds %d bytes", maxHeadBytes)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	if unusual := maxHeadBytes - usualHeadBytes - l.left; err == nil && unusual > 0 {
		err = l.buffers.Grow(headCopies * int64(min(n, unusual)))
	}
	return n, err
}
