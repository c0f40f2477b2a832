package kwclient

import "bytes"

const (
	// parsedLineBytes is the memory that a line of a head takes once it is parsed and copied for an endpoint: entries of two maps, the values
	// and the name. A head of short names takes some twenty times its bytes.
	parsedLineBytes = 300
	// parsedCopies is how often the bytes of a head are held: as they came, in the parsed head, and as they are sent on.
	parsedCopies = 3
	// maxLeadingBreaks is how many characters of line breaks may come before a head: some clients send an empty line behind a body.
	maxLeadingBreaks = 4
)

// Head scans the bytes of the head of an HTTP/1 request as they arrive. It answers a load of clients that send heads without end, and never
// parses: a head that has not ended takes its bytes alone. The zero value is ready for use.
type Head struct {
	// size and lines count what has come so far.
	size, lines int
	// leading counts the line breaks before the first character.
	leading int
	begun   bool
	// lineEmpty means that the line that has begun holds no character but a carriage return.
	lineEmpty bool
	ended     bool
}

// Scan takes the next bytes and returns how many of them belong to the head. The head has ended after the blank line behind its fields, or
// once it begins with so many line breaks that no server accepts it.
func (h *Head) Scan(p []byte) int {
	n := 0
	for ; n < len(p) && !h.begun && !h.ended; n++ {
		if c := p[n]; c != '\r' && c != '\n' {
			h.begun = true
			break
		}
		h.leading++
		h.ended = h.leading > maxLeadingBreaks
	}
	for n < len(p) && !h.ended {
		lineEnd := bytes.IndexByte(p[n:], '\n')
		if lineEnd < 0 {
			h.lineEmpty = h.lineEmpty && emptyLine(p[n:])
			n = len(p)
			break
		}
		h.lines++
		h.ended = h.lineEmpty && emptyLine(p[n:n+lineEnd])
		h.lineEmpty = true
		n += lineEnd + 1
	}
	h.size += n
	return n
}

// emptyLine reports whether the part of a line before its line feed is empty but for a carriage return.
func emptyLine(p []byte) bool { return len(p) == 0 || len(p) == 1 && p[0] == '\r' }

// Size returns the number of bytes so far.
func (h *Head) Size() int { return h.size }

// Open reports whether some bytes have come, but not the end.
func (h *Head) Open() bool { return h.size > 0 && !h.ended }

// Ended reports whether the head is whole.
func (h *Head) Ended() bool { return h.ended }

// ParsedBytes returns the memory that the head takes while its request is handled, beyond the bytes as they came.
func (h *Head) ParsedBytes() int64 {
	return int64(h.lines)*parsedLineBytes + int64(h.size)*(parsedCopies-1)
}
