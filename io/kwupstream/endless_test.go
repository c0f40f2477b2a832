package kwupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
)

// maxEndlessBytes is how much of an endless answer an entry may read, with room for the socket buffers of both sides.
const maxEndlessBytes = 16 << 20

// endlessAnswer starts an endpoint that answers with a beginning and then repeats a piece until the caller closes.
func endlessAnswer(t *testing.T, beginning, piece string) (e *testEndpoint, written *atomic.Int64) {
	t.Helper()
	written = new(atomic.Int64)
	block := strings.Repeat(piece, 1+(16<<10)/len(piece))
	e = startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		if _, err := io.WriteString(c, beginning); err != nil {
			return
		}
		for {
			n, err := io.WriteString(c, block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return e, written
}

// TestEndlessAnswersAreBounded guards against servers that send bytes without end, which filled the memory of an entry until the
// deadline of the request.
func TestEndlessAnswersAreBounded(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, beginning, piece string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"no answer at all", "", "\x00\x01"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body until close", "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", "x"},
		{"chunk size", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{"answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, written := endlessAnswer(t, c.beginning, c.piece)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r := &Request{ID: "r", Method: "GET", Target: "/", Host: "h", Header: map[string][]string{}}
			res := NewPool().Exchange(ctx, e.address(), true, r, idDialect{}, 1<<20)
			if res.Err == nil {
				t.Error("got an answer, want an error")
			}
			if ctx.Err() != nil {
				t.Error("the answer was read until the deadline")
			}
			if got := written.Load(); got > maxEndlessBytes {
				t.Errorf("got %d bytes taken from the endpoint, want at most %d", got, maxEndlessBytes)
			}
		})
	}
}

// TestEndlessEventIsBounded guards against an event of a stream that never ends.
func TestEndlessEventIsBounded(t *testing.T) {
	t.Parallel()
	e, written := endlessAnswer(t, "HTTP/1.1 200 OK\r\nId: r\r\n\r\ndata: ", "x")
	c, err := NewPool().Get(context.Background(), e.address(), "r", true)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := &Request{ID: "r", Method: "GET", Target: "/", Host: "h", Header: map[string][]string{}}
	if err := c.Send(r); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, _, err := c.Receive(r, idDialect{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewEventReader(resp.Body, "", nil).Next(); !kwcode.Is(err, kwcode.FrameTooLarge) {
		t.Errorf("got error %v, want %d", err, kwcode.FrameTooLarge)
	}
	c.Close()
	if got := written.Load(); got > maxEndlessBytes {
		t.Errorf("got %d bytes taken from the endpoint, want at most %d", got, maxEndlessBytes)
	}
}

// TestLongHeadIsAnswered checks that a head of many headers is read whole.
func TestLongHeadIsAnswered(t *testing.T) {
	t.Parallel()
	head := "HTTP/1.1 200 OK\r\nId: r\r\n" + strings.Repeat("A: "+strings.Repeat("b", 97)+"\r\n", 300) + "Content-Length: 2\r\n\r\nok"
	e := startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := r.ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(c, head)
			_, _ = io.Copy(io.Discard, r)
		}
	})
	r := &Request{ID: "r", Method: "GET", Target: "/", Host: "h", Header: map[string][]string{}}
	res := NewPool().Exchange(context.Background(), e.address(), true, r, idDialect{}, 1<<20)
	if res.Err != nil || string(res.Body) != "ok" {
		t.Errorf("got body %q and error %v, want %q", res.Body, res.Err, "ok")
	}
}
