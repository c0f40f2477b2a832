package kwupstream

import (
	"bytes"
	"io"
)

// initialBufferBytes is the initial size of the read buffer; events are a few hundred bytes long.
const initialBufferBytes = 2 << 10

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// EventReader splits a stream of server-sent events between events.
type EventReader struct {
	body io.Reader
	buf  []byte
	// returned is the number of bytes at the start of buf that the last call of Next returned.
	returned int
	// LastID is the ID of the last event that Next returned.
	LastID string
	// Count is the number of events that Next has returned.
	Count int
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{body: body, buf: make([]byte, 0, initialBufferBytes)}
}

// Next returns the bytes of one or more complete events, valid until the next call. It returns io.EOF if the stream
// ended after a complete event, and io.ErrUnexpectedEOF if it ended within an event or the event is too large.
func (e *EventReader) Next() ([]byte, error) {
	remaining := copy(e.buf[:cap(e.buf)], e.buf[e.returned:])
	e.buf, e.returned = e.buf[:remaining], 0
	for {
		if len(e.buf) == cap(e.buf) {
			if len(e.buf) > maxEventBytes {
				return nil, io.ErrUnexpectedEOF
			}
			e.buf = append(e.buf, make([]byte, len(e.buf))...)[:len(e.buf)]
		}
		n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if end := endOfEvents(e.buf); end > 0 {
			e.returned = end
			e.recordEvents(e.buf[:end])
			return e.buf[:end], nil
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

// endOfEvents returns the number of bytes up to the end of the last complete event.
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

// recordEvents counts the complete events in b and sets LastID to the ID of the last one.
func (e *EventReader) recordEvents(b []byte) {
	inEvent := false
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.LastID = string(bytes.TrimSpace(id))
		}
		blank := len(bytes.TrimSpace(line)) == 0
		if blank && inEvent {
			e.Count++
		}
		inEvent = !blank
	}
}
