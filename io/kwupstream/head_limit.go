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
	// head holds the bytes that were buffered or read since begin.
	head []byte
	// buffers pays for heads of more than usualHeadBytes.
	buffers *kwbuffer.Account
}

const (
	// usualHeadBytes is the size up to which a head is not accounted for.
	usualHeadBytes = 4 << 10
	// headCopies is how often the bytes of a head are held once it is parsed.
	headCopies = 4
)

// begin starts to count and to keep the bytes of a head, after those that are buffered already.
func (l *headLimit) begin(buffered []byte, buffers *kwbuffer.Account) {
	l.on, l.left, l.buffers = true, maxHeadBytes, buffers
	l.head = append(l.head[:0], buffered...)
}

// end lifts the limit for the body, and returns the head, valid until the next one begins; the last bytes that were read are not part of it.
func (l *headLimit) end(last int) []byte {
	l.on = false
	head := l.head[:len(l.head)-last]
	if cap(l.head) > usualHeadBytes {
		l.head = nil
	}
	return head
}

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
	l.head = append(l.head, p[:n]...)
	if unusual := maxHeadBytes - usualHeadBytes - l.left; err == nil && unusual > 0 {
		err = l.buffers.Grow(headCopies * int64(min(n, unusual)))
	}
	return n, err
}
