package kwupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"knapweedproxy/core/kwanswer"
	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Request is one request to an endpoint.
type Request struct {
	ID     kwid.RequestID
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Buffers is what the answers hold of the memory of the process beyond a small buffer each.
	Buffers *kwbuffer.Account
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ForwardHeaders returns a copy of h without the hop-by-hop headers, including those that Connection lists.
func ForwardHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// backgroundBodyBytes is the size from which a request body is written in the background, since an endpoint may respond
// before it has read the whole body; smaller bodies fit into the socket buffers.
const backgroundBodyBytes = 16 << 10

// earlyResponseTimeout bounds the wait for the response of an endpoint that closed its connection before the request was
// written, and for the end of the write after such a response has ended.
const earlyResponseTimeout = 200 * time.Millisecond

// upload is the write of a large request in the background.
type upload struct {
	// ended is closed when the write has ended, with err.
	ended chan struct{}
	err   error
}

// Send writes the whole request; after an error the endpoint may still have read it. A large body is written in the
// background: a write error then surfaces when the response is read, and the connection is not reused.
func (c *Conn) Send(r *Request) error {
	c.upload = nil
	if len(r.Body) < backgroundBodyBytes {
		return c.write(r)
	}
	c.singleUse = true
	u := &upload{ended: make(chan struct{})}
	c.upload = u
	go func() {
		defer close(u.ended)
		if u.err = c.write(r); u.err != nil {
			// A response that arrived before the write failed can still be read.
			c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
		}
	}()
	return nil
}

// awaitUpload returns an error unless the whole request is written, now or within earlyResponseTimeout. A socket reports a reset once: if the
// write has got the report, reads see only the end of the connection.
func (c *Conn) awaitUpload() error {
	if c.upload == nil {
		return nil
	}
	timeout := time.NewTimer(earlyResponseTimeout)
	defer timeout.Stop()
	select {
	case <-c.upload.ended:
		return c.upload.err
	case <-timeout.C:
		return io.ErrUnexpectedEOF
	}
}

func (c *Conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), backgroundBodyBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if err := r.Header.Write(&b); err != nil {
		return kwcode.FromError(err)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) < backgroundBodyBytes {
		b.Write(r.Body)
		_, err := c.raw.Write(b.Bytes())
		return err
	}
	// A large body is not copied.
	if _, err := c.raw.Write(b.Bytes()); err != nil {
		return err
	}
	_, err := c.raw.Write(r.Body)
	return err
}

// Receive reads the header of the response to a request, and discards responses to other requests. After one that cannot be attributed to
// a request it returns an error at once. The caller must read the response body before the connection carries another request. Leaving is
// set if any of the responses says so, also beside an error.
func (c *Conn) Receive(r *Request, d Dialect) (*http.Response, ResponseMeta, error) {
	leaving := false
	for range maxMismatchedResponses {
		resp, err := c.readHead(r)
		if err != nil {
			return nil, ResponseMeta{Leaving: leaving}, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		meta := d.ReadResponse(resp.StatusCode, resp.Header)
		leaving = leaving || meta.Leaving
		meta.Leaving = leaving
		head := meta.Head(resp)
		switch head.Belongs(r.ID, c.Reused) {
		case kwanswer.Own:
			if resp.StatusCode >= http.StatusBadRequest {
				c.refused = append(c.refused, r.ID)
			}
			if !Framed(resp) {
				resp.Body = &untilClose{conn: c, body: resp.Body, events: IsEventStream(resp)}
			}
			return resp, meta, nil
		case kwanswer.Unproven:
			err := kwcode.New(kwcode.EngineFailed, "response with status %d, ID %q and signed %v is not known to be the endpoint's own", resp.StatusCode, meta.ID, meta.Signed)
			return nil, ResponseMeta{Leaving: leaving}, err
		}
		if meta.ID == "" {
			c.singleUse = true
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBodyBytes); err != io.EOF {
			err := kwcode.New(kwcode.EngineFailed, "response to another request, %q, is too large to discard", meta.ID)
			return nil, ResponseMeta{Leaving: leaving}, err
		}
		if resp.Close {
			return nil, ResponseMeta{Leaving: leaving}, io.ErrUnexpectedEOF
		}
	}
	err := kwcode.New(kwcode.EngineFailed, "the first %d responses belong to other requests", maxMismatchedResponses)
	return nil, ResponseMeta{Leaving: leaving}, err
}

// readHead reads the head of a response, and returns an error unless it is well formed.
func (c *Conn) readHead(r *Request) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.limit.begin(buffered, r.Buffers)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	head := c.limit.end(c.reader.Buffered())
	var netErr net.Error
	var coded *kwcode.Error
	switch {
	case err == nil:
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.As(err, &coded):
		return nil, err
	default:
		return nil, oddHead("%v", err)
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	return resp, nil
}

// Head returns what core/kwanswer decides on.
func (m ResponseMeta) Head(resp *http.Response) kwanswer.Head {
	return kwanswer.Head{Status: resp.StatusCode, ID: m.ID, Signed: m.Signed, NotRun: m.NotRun, Encoded: encoded(resp.Header)}
}

// encoded reports whether a response has a body other than the plain one that callers ask for.
func encoded(h http.Header) bool {
	for _, encoding := range h.Values("Content-Encoding") {
		if !strings.EqualFold(strings.TrimSpace(encoding), "identity") {
			return true
		}
	}
	return false
}

// Result is a complete unary response, or an error.
type Result struct {
	Response *http.Response
	Meta     ResponseMeta
	Body     []byte
	// Sent means that the endpoint may have read the request.
	Sent bool
	Err  error
}

// Opened is a request whose response is being read.
type Opened struct {
	Conn *Conn
	// Result holds the head of the response, or the error; it has no body yet.
	Result Result
	pool   *Pool
	// detach keeps the end of the context from closing the connection; it returns false if it has closed it.
	detach func() bool
}

// Open sends a request and reads the head of the response. The connection is closed when the context ends or after an error; otherwise the
// caller ends its use: by ReadAll or Whole, or by Detach and then Release or Close.
func (p *Pool) Open(ctx context.Context, address string, fresh bool, r *Request, d Dialect) Opened {
	c, err := p.Get(ctx, address, r.ID, fresh)
	if err != nil {
		return Opened{Result: Result{Err: err}}
	}
	o := Opened{Conn: c, Result: Result{Sent: true}, pool: p, detach: context.AfterFunc(ctx, c.Close)}
	if o.Result.Err = c.Send(r); o.Result.Err == nil {
		o.Result.Response, o.Result.Meta, o.Result.Err = c.Receive(r, d)
	}
	if o.Result.Err != nil {
		o.Detach()
		c.Close()
	}
	return o
}

// Detach keeps the end of the context from closing the connection, and returns false if it has closed it.
func (o Opened) Detach() bool { return o.detach() }

// Release returns the connection to the pool after Detach, once the body has been read to its end.
func (o Opened) Release() { o.pool.Put(o.Conn, o.Result.Response) }

// Whole ends the use of the connection once the body has been read to its end.
func (o Opened) Whole() {
	if !o.Detach() {
		o.Conn.Close()
		return
	}
	o.Release()
}

// ReadAll reads the body, of at most limit bytes, and ends the use of the connection.
func (o Opened) ReadAll(r *Request, limit int64) Result {
	result := o.Result
	if result.Err != nil {
		return result
	}
	if result.Body, result.Err = ReadBody(result.Response, limit, r.Buffers); result.Err != nil {
		o.Detach()
		o.Conn.Close()
		return result
	}
	o.Whole()
	return result
}

// Exchange sends a request and reads the whole response, of at most limit body bytes. The connection is closed when the
// context ends.
func (p *Pool) Exchange(ctx context.Context, address string, fresh bool, r *Request, d Dialect, limit int64) Result {
	return p.Open(ctx, address, fresh, r, d).ReadAll(r, limit)
}

// ReadBody reads a whole response body of at most limit bytes into memory of the account; a connection reset is an error, not the end of
// the body.
func ReadBody(resp *http.Response, limit int64, buffers *kwbuffer.Account) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, kwcode.New(kwcode.FrameTooLarge, "response body of %d bytes exceeds %d", resp.ContentLength, limit)
	}
	body, err := ReadAll(io.LimitReader(resp.Body, limit+1), resp.ContentLength, buffers)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		buffers.Shrink(int64(cap(body) - initialBufferBytes))
		return nil, kwcode.New(kwcode.FrameTooLarge, "response body exceeds %d bytes", limit)
	}
	return body, nil
}

// ReadAll is io.ReadAll into memory of an account, which keeps what the result takes beyond a small buffer until it is closed. After an error it keeps
// nothing. expected is the number of bytes that are announced, -1 if unknown; memory is taken only for what has come.
func ReadAll(r io.Reader, expected int64, buffers *kwbuffer.Account) ([]byte, error) {
	body, err := readInto(r, expected, buffers)
	if err != nil {
		buffers.Shrink(int64(cap(body) - initialBufferBytes))
		return nil, err
	}
	return body, nil
}

// readInto returns what it has read also beside an error.
func readInto(r io.Reader, expected int64, buffers *kwbuffer.Account) ([]byte, error) {
	body := make([]byte, 0, initialBufferBytes)
	for {
		if len(body) == cap(body) {
			capacity := 2 * cap(body)
			if int64(len(body)) <= expected && expected < int64(capacity) {
				// One byte more finds the end.
				capacity = int(expected) + 1
			}
			grown, err := growBuffer(body, capacity, buffers)
			if err != nil {
				return body, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// growBuffer returns b with a larger capacity.
func growBuffer(b []byte, capacity int, buffers *kwbuffer.Account) ([]byte, error) {
	if err := buffers.Grow(int64(capacity - cap(b))); err != nil {
		return b, err
	}
	grown := make([]byte, len(b), capacity)
	copy(grown, b)
	return grown, nil
}
