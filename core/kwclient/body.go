package kwclient

import "bytes"

// Body finds the end of a request's body among the bytes of a connection, so that what comes behind it is left to the next request. It decides
// nothing about the request itself: a body that it takes for shorter or longer is read as the HTTP server says. The zero value is a request
// without a body.
type Body struct {
	// left is the rest of a body with a length, or of a chunk with its line break.
	left  int64
	state bodyState
	// size is that of the chunk whose size line is being read, digits how many digits it has.
	size   int64
	digits int
	// sized means that the digits of a size line have ended; extensions may follow.
	sized     bool
	lineEmpty bool
}

type bodyState uint8

const (
	bodyEnded bodyState = iota
	bodyLength
	chunkSize
	chunkData
	bodyTrailer
)

// maxChunkDigits bounds the size of a chunk to what fits into 60 bits.
const maxChunkDigits = 15

// NewBody returns the tracker of a body with a length in bytes, or in chunks.
func NewBody(length int64, chunked bool) Body {
	switch {
	case chunked:
		return Body{state: chunkSize}
	case length > 0:
		return Body{state: bodyLength, left: length}
	}
	return Body{}
}

// Ended reports whether the body is whole.
func (b *Body) Ended() bool { return b.state == bodyEnded }

// Scan takes the next bytes and returns how many of them belong to the body.
func (b *Body) Scan(p []byte) int {
	n := 0
	for n < len(p) && b.state != bodyEnded {
		switch b.state {
		case bodyLength, chunkData:
			taken := min(b.left, int64(len(p)-n))
			n += int(taken)
			if b.left -= taken; b.left > 0 {
				continue
			}
			b.state = chunkSizeAfter(b.state)
		case chunkSize:
			n += b.scanSize(p[n:])
		case bodyTrailer:
			n += b.scanTrailer(p[n:])
		}
	}
	return n
}

func chunkSizeAfter(s bodyState) bodyState {
	if s == bodyLength {
		return bodyEnded
	}
	return chunkSize
}

// scanSize reads the size line of a chunk.
func (b *Body) scanSize(p []byte) int {
	for i, c := range p {
		if c == '\n' {
			b.beginChunk()
			return i + 1
		}
		digit, ok := hexDigit(c)
		if !ok || b.digits >= maxChunkDigits {
			b.sized = true
		}
		if !b.sized {
			b.size, b.digits = b.size<<4|int64(digit), b.digits+1
		}
	}
	return len(p)
}

// beginChunk goes on behind a size line; the last chunk has the size 0, and trailers follow it.
func (b *Body) beginChunk() {
	const lineBreak = 2
	b.state, b.left = chunkData, b.size+lineBreak
	if b.size == 0 {
		b.state, b.lineEmpty = bodyTrailer, true
	}
	b.size, b.digits, b.sized = 0, 0, false
}

func (b *Body) scanTrailer(p []byte) int {
	lineEnd := bytes.IndexByte(p, '\n')
	if lineEnd < 0 {
		b.lineEmpty = b.lineEmpty && emptyLine(p)
		return len(p)
	}
	if b.lineEmpty && emptyLine(p[:lineEnd]) {
		b.state = bodyEnded
	}
	b.lineEmpty = true
	return lineEnd + 1
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
