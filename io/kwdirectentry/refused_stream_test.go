package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// TestRunRequestGetsNoPromise guards against a stream that may run once, has run, and whose caller gets the 503 of its server: callers read
// that status as the promise that the request has not run, and repeat it.
func TestRunRequestGetsNoPromise(t *testing.T) {
	const refused = "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	forms := []struct {
		name string
		// answers are those of the attempts in order; repeatable is the status that the caller of a repeatable request gets.
		answers    []string
		repeatable int
	}{
		{"503", []string{"HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n"}, 503},
		{"429", []string{"HTTP/1.1 429 Slow\r\nId: %s\r\nContent-Length: 0\r\n\r\n"}, 429},
		{"408", []string{"HTTP/1.1 408 Late\r\nId: %s\r\nContent-Length: 0\r\n\r\n"}, 408},
		{"421", []string{"HTTP/1.1 421 Other\r\nId: %s\r\nContent-Length: 0\r\n\r\n"}, 421},
		{"503 in chunks", []string{"HTTP/1.1 503 Busy\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"}, 503},
		{"503 that breaks off", []string{"HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 9\r\n\r\nx"}, 502},
		{"503 after a refusal", []string{refused, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n"}, 503},
		{"503 without ID", []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, 502},
		{"404 of another program", []string{"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\npage"}, 502},
		{"500 of another program", []string{"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\npage"}, 502},
	}
	for _, form := range forms {
		for _, path := range []string{"/drafts/x", "/once/x", "/alerts/x", "/lookups/x"} {
			t.Run(form.name+", "+path, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				server := serveRaw(t, func(w io.Writer, id string) bool {
					answer := form.answers[min(int(sent.Add(1)), len(form.answers))-1]
					if strings.Contains(answer, "%s") {
						answer = fmt.Sprintf(answer, id)
					}
					_, _ = io.WriteString(w, answer)
					return !strings.Contains(form.name, "breaks off")
				})
				g := newTestGateway(t, server, server)
				addSecondEndpoints(g)
				addPlainStreams(g)
				addRoute(g, "/notes/", "/drafts/", func(r *kwdeclaration.Route) { r.Resumable = false })
				status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, path, "q1")
				want, sends := http.StatusBadGateway, int64(len(form.answers))
				if path == "/lookups/x" {
					want, sends = form.repeatable, 2
				}
				if status != want || sent.Load() > sends || strings.Contains(body, "page") {
					t.Errorf("got %d %q after %d sends, want %d after %d", status, body, sent.Load(), want, sends)
				}
			})
		}
	}
}
