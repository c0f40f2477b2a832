package kwupstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Request is one request to an endpoint.
type Request struct {
	ID     kwid.RequestID
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ForwardHeaders returns a copy of headers without those that concern one connection only.
func ForwardHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// earlyBody is the size from which a body is written beside the wait for the answer, since an endpoint may answer before
// it has read all of it; smaller ones fit the buffers of a connection.
const earlyBody = 16 << 10

// earlyAnswer is how long the answer of an endpoint may take that has closed its side of a request being written.
const earlyAnswer = 200 * time.Millisecond

// Send writes the whole request; after an error it may have been read. A long body is written in the background: an
// error then shows when the answer is read, and the connection carries no other request.
func (c *Conn) Send(r *Request) error {
	if len(r.Body) < earlyBody {
		return c.send(r)
	}
	c.once = true
	go func() {
		if c.send(r) != nil {
			// What was answered meanwhile can still be read.
			c.SetReadDeadline(time.Now().Add(earlyAnswer))
		}
	}()
	return nil
}

func (c *Conn) send(r *Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
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
	b.Write(r.Body)
	_, err := c.raw.Write(b.Bytes())
	return err
}

// Receive reads the header of the answer to a request; answers that belong to other requests are read and dropped.
// The body of the response must be read before the connection carries another request.
func (c *Conn) Receive(r *Request, d Dialect) (*http.Response, ResponseMeta, error) {
	for range maxStrays {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, ResponseMeta{}, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		a := d.ReadResponse(resp.StatusCode, resp.Header)
		if a.ID == "" || a.ID == r.ID {
			return resp, a, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBody); err != io.EOF {
			return nil, ResponseMeta{}, kwcode.New(kwcode.EngineFailed, "an answer to request %s that does not end", a.ID)
		}
		if resp.Close {
			return nil, ResponseMeta{}, io.ErrUnexpectedEOF
		}
	}
	return nil, ResponseMeta{}, kwcode.New(kwcode.EngineFailed, "%d answers to other requests", maxStrays)
}

// Result is a whole plain answer, or the error that stands in its place.
type Result struct {
	Response *http.Response
	Meta     ResponseMeta
	Body     []byte
	// Sent means that the endpoint may have read the request.
	Sent bool
	Err  error
}

// Exchange sends a request and reads the whole answer, up to a limit; the context ends it by closing the connection.
func (p *Pool) Exchange(ctx context.Context, address string, fresh bool, r *Request, d Dialect, limit int64) Result {
	c, err := p.Get(ctx, address, fresh)
	if err != nil {
		return Result{Err: err}
	}
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	out := Result{Sent: true}
	if out.Err = c.Send(r); out.Err != nil {
		c.Close()
		return out
	}
	out.Response, out.Meta, out.Err = c.Receive(r, d)
	if out.Err == nil {
		out.Body, out.Err = readAll(out.Response, limit)
	}
	if out.Err != nil {
		c.Close()
		return out
	}
	if !stop() {
		c.Close()
		return out
	}
	p.Put(c, out.Response)
	return out
}

// readAll reads a body to its end, which a connection that was reset does not have.
func readAll(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, kwcode.New(kwcode.FrameTooLarge, "an answer of over %d bytes", limit)
	}
	return body, nil
}
