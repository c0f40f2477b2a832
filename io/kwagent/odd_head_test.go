package kwagent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"knapweedproxy/io/kwagentproto"
)

// answerOnce reads a request and answers it with some bytes.
func answerOnce(answer string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	}
}

// TestOddHeadsAreNoAnswers guards against an answer with status 000, which the entry cannot pass on, and against odd names, which hide how the
// body is framed.
func TestOddHeadsAreNoAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2", "HTTP/1.1 +20 Trouble\r\nContent-Length: 2", "HTTP/1.1 999 Trouble\r\nContent-Length: 2",
		"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\nContent-Length : 2",
	} {
		r := newTestRole(serveConns(t, answerOnce(head+"\r\n\r\nok")))
		response, _, err := r.roundTrip(t.Context(), newTransport(true), kwagentproto.Call{Request: "a", Method: http.MethodPost, Path: "/x"})
		if err == nil {
			t.Errorf("%q: got status %d with %q, want an error", head, response.Status, response.Body)
		}
	}
}
