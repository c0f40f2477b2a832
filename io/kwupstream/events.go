package kwupstream

import (
	"bytes"
	"io"
)

// eventBuffer is the size of the first read buffer; events are some hundred bytes long.
const eventBuffer = 2 << 10

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// EventReader cuts an event stream into whole events.
type EventReader struct {
	body    io.Reader
	buf     []byte
	pending int
	// LastID is the id of the last event that Next returned.
	LastID string
}

// NewEventReader reads the body of a stream.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{body: body, buf: make([]byte, 0, eventBuffer)}
}

// Next returns the bytes of one or more whole events, valid until the next call; io.EOF means that the stream ended
// after a whole event, io.ErrUnexpectedEOF that it broke off.
func (e *EventReader) Next() ([]byte, error) {
	rest := copy(e.buf[:cap(e.buf)], e.buf[e.pending:])
	e.buf, e.pending = e.buf[:rest], 0
	for {
		if len(e.buf) == cap(e.buf) {
			if len(e.buf) > maxEvent {
				return nil, io.ErrUnexpectedEOF
			}
			e.buf = append(e.buf, make([]byte, len(e.buf))...)[:len(e.buf)]
		}
		n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if whole := endOfEvents(e.buf); whole > 0 {
			e.pending = whole
			e.note(e.buf[:whole])
			return e.buf[:whole], nil
		}
		if err == io.EOF && len(e.buf) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idField       = []byte("id:")
)

// endOfEvents returns the number of bytes up to the end of the last whole event.
func endOfEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, blankLine); i >= 0 {
		end = i + len(blankLine)
	}
	if i := bytes.LastIndex(b, blankLineCRLF); i >= 0 {
		end = max(end, i+len(blankLineCRLF))
	}
	return end
}

// note remembers the id of the last event.
func (e *EventReader) note(b []byte) {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.LastID = string(bytes.TrimSpace(id))
		}
	}
}
