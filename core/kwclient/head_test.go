package kwclient

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestHeadEnds(t *testing.T) {
	const fields = "Host: x\r\nA: b\r\n"
	cases := []struct {
		name, sent string
		// want is the number of bytes of the head, 0 if it stays open.
		want int
	}{
		{"whole", "GET / HTTP/1.1\r\n" + fields + "\r\nbody", 33},
		{"line feeds alone", "GET / HTTP/1.1\nHost: x\n\nbody", 24},
		{"without the blank line", "GET / HTTP/1.1\r\n" + fields, 0},
		{"blank line without its line feed", "GET / HTTP/1.1\r\n" + fields + "\r", 0},
		{"empty line before it", "\r\nGET / HTTP/1.1\r\n\r\n", 20},
		{"two empty lines before it", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", 22},
		{"empty lines without end", strings.Repeat("\r\n", 100), maxLeadingBreaks + 1},
		{"line of spaces", "GET / HTTP/1.1\r\n  \r\n\r\n", 22},
	}
	for _, c := range cases {
		for step := 1; step <= len(c.sent); step++ {
			var h Head
			got := 0
			for rest := []byte(c.sent); len(rest) > 0 && !h.Ended(); {
				piece := rest[:min(step, len(rest))]
				got += h.Scan(piece)
				rest = rest[len(piece):]
			}
			if h.Ended() != (c.want > 0) || h.Ended() && got != c.want {
				t.Errorf("%s, %d bytes at a time: got %d bytes and ended %v, want %d", c.name, step, got, h.Ended(), c.want)
			}
			if h.Size() != got {
				t.Errorf("%s: got the size %d, want %d", c.name, h.Size(), got)
			}
		}
	}
}

// FuzzHead compares the end of heads with what the HTTP library reads: a head that the library takes for whole must not be waited for.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST / HTTP/1.1\nA: b\n c\n\nxyz", "\r\n\r\nGET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nA:\r\r\n\r\n", "\n\n\n\n\n\n",
		"GET / HTTP/1.1\r\n \r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, sent []byte, step int) {
		if step <= 0 || len(sent) > 1<<16 {
			return
		}
		var h Head
		end := 0
		for rest := sent; len(rest) > 0 && !h.Ended(); {
			piece := rest[:min(step, len(rest))]
			end += h.Scan(piece)
			rest = rest[len(piece):]
		}
		source := bytes.NewReader(sent)
		buffered := bufio.NewReader(source)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		read := len(sent) - source.Len() - buffered.Buffered()
		if !h.Ended() {
			t.Fatalf("the library reads a head of %d bytes, the scan waits for more", read)
		}
		if end > read {
			t.Fatalf("the library reads a head of %d bytes, the scan one of %d", read, end)
		}
	})
}
