package kwclient

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestBodyEnds(t *testing.T) {
	cases := []struct {
		name    string
		length  int64
		chunked bool
		sent    string
		// want is the number of bytes of the body, -1 if it stays open.
		want int
	}{
		{"none", 0, false, "GET /", 0},
		{"length", 5, false, "12345GET /", 5},
		{"length, not whole", 5, false, "1234", -1},
		{"chunks", 0, true, "3\r\nabc\r\n0\r\n\r\nGET /", 13},
		{"chunk extension", 0, true, "3;a=b\r\nabc\r\n0;x\r\n\r\nGET /", 19},
		{"trailer", 0, true, "1\r\na\r\n0\r\nA: b\r\n\r\nGET /", 17},
		{"hexadecimal size", 0, true, "1A\r\n" + strings.Repeat("x", 26) + "\r\n0\r\n\r\nGET /", 37},
		{"trailers without end", 0, true, "0\r\n" + strings.Repeat("A: b\r\n", 10), -1},
		{"extension without end", 0, true, "1;" + strings.Repeat("x", 100), -1},
	}
	for _, c := range cases {
		for step := 1; step <= len(c.sent); step++ {
			b := NewBody(c.length, c.chunked)
			got := 0
			for rest := []byte(c.sent); len(rest) > 0 && !b.Ended(); {
				piece := rest[:min(step, len(rest))]
				got += b.Scan(piece)
				rest = rest[len(piece):]
			}
			if b.Ended() != (c.want >= 0) || b.Ended() && got != c.want {
				t.Errorf("%s, %d bytes at a time: got %d bytes and ended %v, want %d", c.name, step, got, b.Ended(), c.want)
			}
		}
	}
}

// FuzzChunkedBody compares the end of bodies in chunks with what the HTTP library reads: a body that the library takes for whole must end where
// the library's does, or the next request on the connection is taken for a part of it.
func FuzzChunkedBody(f *testing.F) {
	for _, seed := range []string{"3\r\nabc\r\n0\r\n\r\n", "1;x\r\na\r\n0\r\nA: b\r\n\r\n", "000\r\n\r\nGET / HTTP/1.1\r\n\r\n", "2 \r\nab\r\n0 \r\n\r\n", "1\na\r\n0\n\n"} {
		f.Add([]byte(seed), 2)
	}
	const head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, sent []byte, step int) {
		if step <= 0 || len(sent) > 1<<16 {
			return
		}
		source := bytes.NewReader(append([]byte(head), sent...))
		buffered := bufio.NewReader(source)
		r, err := http.ReadRequest(buffered)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		want := len(sent) - source.Len() - buffered.Buffered()
		b := NewBody(0, true)
		got := 0
		for rest := sent; len(rest) > 0 && !b.Ended(); {
			piece := rest[:min(step, len(rest))]
			got += b.Scan(piece)
			rest = rest[len(piece):]
		}
		if !b.Ended() || got != want {
			t.Fatalf("got %d bytes and ended %v, the library reads %d", got, b.Ended(), want)
		}
	})
}
