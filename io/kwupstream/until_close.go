package kwupstream

import (
	"bytes"
	"io"
	"mime"
	"net/http"
)

// untilClose is the body of a response that states neither a length nor chunks: it ends with the connection, which also ends when the
// endpoint crashes or resets it.
type untilClose struct {
	conn *Conn
	body io.ReadCloser
	// events means that the body is a stream of events, which cannot end within one.
	events bool
	// tail holds the last bytes that were read.
	tail []byte
}

// Framed reports whether a response tells its end by a length or by chunks, or can have no body, rather than by closing its connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// IsEventStream reports whether the body of a response is a stream of events.
func IsEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// endsEvent reports whether some bytes of a stream of events end with one.
func endsEvent(b []byte) bool {
	return bytes.HasSuffix(b, blankLine) || bytes.HasSuffix(b, blankLineCRLF)
}

// CutWithinEvent reports whether a body that has ended with its connection is a stream of events that breaks off within one.
func CutWithinEvent(resp *http.Response, body []byte) bool {
	return !Framed(resp) && IsEventStream(resp) && !endsEvent(body)
}

// Read returns an error other than io.EOF where the connection ends before the body is known to be whole: the request was not written in
// full, or the end is within an event.
func (u *untilClose) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	if u.events && n > 0 {
		u.tail = append(u.tail, p[max(0, n-len(blankLineCRLF)):n]...)
		u.tail = append(u.tail[:0], u.tail[max(0, len(u.tail)-len(blankLineCRLF)):]...)
	}
	if err != io.EOF {
		return n, err
	}
	if u.events && !endsEvent(u.tail) {
		return n, io.ErrUnexpectedEOF
	}
	if err := u.conn.awaitUpload(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// Close closes the body.
func (u *untilClose) Close() error { return u.body.Close() }
