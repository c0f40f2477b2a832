package kwupstream

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
)

// ErrNotEvents is the error of a stream whose bytes are no events, or none that go on after the last one.
var ErrNotEvents = errors.New("bytes that are no further events")

// initialBufferBytes is the initial size of the read buffer; events are a few hundred bytes long.
const initialBufferBytes = 2 << 10

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// EventReader splits a stream of server-sent events between events.
type EventReader struct {
	body io.Reader
	// buffers pays for the buffer beyond its initial size.
	buffers *kwbuffer.Account
	buf     []byte
	// returned is the number of bytes at the start of buf that the last call of Next returned.
	returned int
	// LastID is the ID of the last event that Next returned.
	LastID string
	// Count is the number of events that Next has returned.
	Count int
	// last is the number of the event with LastID, if numbered is set. resumed means that all events need a number.
	last              uint64
	numbered, resumed bool
}

// NewEventReader returns a reader of the events in body, which go on after the one with lastID, "" for the first. Large events take memory
// of the account.
func NewEventReader(body io.Reader, lastID string, buffers *kwbuffer.Account) *EventReader {
	e := &EventReader{body: body, buffers: buffers, buf: make([]byte, 0, initialBufferBytes), LastID: lastID}
	if n, err := strconv.ParseUint(lastID, 10, 64); err == nil {
		e.last, e.numbered, e.resumed = n, true, true
	}
	return e
}

// Next returns the bytes of one or more complete events, valid until the next call. It returns io.EOF if the stream
// ended after a complete event, io.ErrUnexpectedEOF if it ended within an event, FrameTooLarge or BuffersFull if the event is too large, and
// ErrNotEvents for an error page, the head of another answer, or events that come again.
func (e *EventReader) Next() ([]byte, error) {
	events, err := e.next()
	if err != nil {
		e.buffers.Shrink(int64(cap(e.buf) - initialBufferBytes))
		e.buf = make([]byte, 0, initialBufferBytes)
		e.returned = 0
	}
	return events, err
}

func (e *EventReader) next() ([]byte, error) {
	remaining := copy(e.buf[:cap(e.buf)], e.buf[e.returned:])
	e.buf, e.returned = e.buf[:remaining], 0
	for {
		if len(e.buf) == cap(e.buf) {
			if len(e.buf) > maxEventBytes {
				return nil, kwcode.New(kwcode.FrameTooLarge, "an event exceeds %d bytes", maxEventBytes)
			}
			grown, err := growBuffer(e.buf, 2*cap(e.buf), e.buffers)
			if err != nil {
				return nil, err
			}
			e.buf = grown
		}
		n, err := e.body.Read(e.buf[len(e.buf):cap(e.buf)])
		e.buf = e.buf[:len(e.buf)+n]
		if end := endOfEvents(e.buf); end > 0 {
			e.returned = end
			if err := e.recordEvents(e.buf[:end]); err != nil {
				return nil, err
			}
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

// recordEvents checks and counts the complete events in b, and sets LastID to the ID of the last one.
func (e *EventReader) recordEvents(b []byte) error {
	inEvent, hasID := false, false
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		if len(bytes.TrimSpace(line)) == 0 {
			if inEvent {
				e.Count++
				if e.resumed && !hasID {
					return ErrNotEvents
				}
			}
			inEvent, hasID = false, false
			continue
		}
		inEvent = true
		if !isEventLine(line) {
			return ErrNotEvents
		}
		id, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		hasID = true
		if err := e.recordID(string(bytes.TrimSpace(id))); err != nil {
			return err
		}
	}
	return nil
}

// recordID sets LastID; numbers have to increase.
func (e *EventReader) recordID(id string) error {
	e.LastID = id
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		if e.resumed {
			return ErrNotEvents
		}
		return nil
	}
	if e.numbered && n <= e.last {
		return ErrNotEvents
	}
	e.last, e.numbered = n, true
	return nil
}

// isEventLine reports whether a line of an event is a comment, or begins with the name of a field: letters, digits and hyphens. The first
// line of a response or of a page is neither.
func isEventLine(line []byte) bool {
	for _, c := range line {
		switch {
		case c == ':' || c == '\r':
			return true
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_':
		default:
			return false
		}
	}
	return true
}
