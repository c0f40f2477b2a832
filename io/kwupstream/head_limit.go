package kwupstream

import (
	"io"

	"knapweedproxy/core/kwcode"
)

// headLimit bounds the bytes that are read from a connection while it reads the head of a response.
type headLimit struct {
	r io.Reader
	// on means that a head is being read, of which left bytes may still come.
	on   bool
	left int
}

// begin starts to count the bytes of a head.
func (l *headLimit) begin() { l.on, l.left = true, maxHeadBytes }

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
	return n, err
}
