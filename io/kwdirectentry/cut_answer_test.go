package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCutAnswersAreNeverPassedOnAsWhole guards against a server that stops anywhere in its answer and closes, on a new connection or a kept
// one, also at the second attempt: callers got a 200 with a short body, framed as whole.
func TestCutAnswersAreNeverPassedOnAsWhole(t *testing.T) {
	const event = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	forms := []struct{ name, path, answer, body string }{
		{"call with a length", "/lookups/x", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 6\r\n\r\nanswer", "answer"},
		{"call in chunks", "/lookups/x", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n", "answer"},
		{"at-most-once call", "/alerts/x", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 6\r\n\r\nanswer", "answer"},
		{"call until close", "/lookups/x", "HTTP/1.1 200 OK\r\nConnection: close\r\nId: %s\r\n\r\nanswer", ""},
		{"stream in chunks", "/notes/x", "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n1e\r\n" + event + "\r\n0\r\n\r\n", event},
		{"stream with a length", "/notes/x", "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 30\r\n\r\n" + event, event},
	}
	for _, form := range forms {
		for _, kept := range []bool{false, true} {
			if kept && form.body == "" {
				continue
			}
			t.Run(fmt.Sprintf("%s, kept connection %v", form.name, kept), func(t *testing.T) {
				t.Parallel()
				end := len(fmt.Sprintf(form.answer, "cut"))
				if form.body == "" {
					// The end of such a body cannot be told from a cut.
					end = strings.Index(fmt.Sprintf(form.answer, "cut"), "\r\n\r\n") + 4
				}
				step := 1
				if form.path == "/notes/x" {
					step = 3
				}
				for cut := 1; cut < end; cut += step {
					checkCutAnswer(t, form.path, form.answer, form.body, cut, kept)
				}
			})
		}
	}
}

// checkCutAnswer has a server close after cut bytes of its answer to the request "cut".
func checkCutAnswer(t *testing.T, path, answer, want string, cut int, kept bool) {
	t.Helper()
	var sent atomic.Int64
	server := serveRaw(t, func(w io.Writer, id string) bool {
		text := fmt.Sprintf(answer, id)
		if id == "cut" {
			sent.Add(1)
			text = text[:cut]
		}
		_, err := io.WriteString(w, text)
		return err == nil && id != "cut"
	})
	g := newTestGateway(t, server, server)
	client := &http.Client{Timeout: 300 * time.Millisecond}
	if kept {
		if status, _ := post(t, client, g, path, "first"); status != http.StatusOK {
			t.Fatalf("a whole answer: got status %d, want 200", status)
		}
	}
	status, body := post(t, client, g, path, "cut")
	if status == http.StatusOK && !strings.HasPrefix(body, "broken: ") && (want == "" || body != want) {
		t.Errorf("cut after %d bytes: got a 200 framed as whole with %q, want %q or a failure", cut, body, want)
	}
	if path == "/alerts/x" && sent.Load() > 1 {
		t.Errorf("cut after %d bytes: an at-most-once call was sent %d times", cut, sent.Load())
	}
}

// TestCutAnswersOfHedgesAreNeverPassedOnAsWhole has a slow server, its hedge or both stop anywhere in their answers.
func TestCutAnswersOfHedgesAreNeverPassedOnAsWhole(t *testing.T) {
	const id, body, slow, hedgeDelay = "cut", "answer", 60 * time.Millisecond, 20 * time.Millisecond
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	// cuts returns a server that answers after a delay and closes after some bytes of its answer.
	cuts := func(t *testing.T, after time.Duration, bytes int, hedges *atomic.Int64) string {
		return serveRaw(t, func(w io.Writer, _ string) bool {
			hedges.Add(1)
			time.Sleep(after)
			_, _ = io.WriteString(w, answer[:bytes])
			return false
		})
	}
	for _, c := range []struct {
		name                string
		cutFirst, cutHedged bool
	}{{"the slow one", true, false}, {"the hedge", false, true}, {"both", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var first, hedges atomic.Int64
			for cut := 1; cut < len(answer); cut += 2 {
				firstBytes, hedgedBytes := len(answer), len(answer)
				if c.cutFirst {
					firstBytes = cut
				}
				if c.cutHedged {
					hedgedBytes = cut
				}
				g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
				setServers(g, nil, []string{cuts(t, slow, firstBytes, &first), cuts(t, 0, hedgedBytes, &hedges)})
				preferFirst(g)
				allowHedges(g, "records", "/lookups/", hedgeDelay)
				status, got := post(t, &http.Client{Timeout: time.Second}, g, "/lookups/x", id)
				if status == http.StatusOK && !strings.HasPrefix(got, "broken: ") && got != body {
					t.Errorf("cut after %d bytes: got a 200 framed as whole with %q, want %q or a failure", cut, got, body)
				}
				if !(c.cutFirst && c.cutHedged) && (status != http.StatusOK || got != body) {
					t.Errorf("cut after %d bytes: got %d %q, want the answer of the other server", cut, status, got)
				}
			}
			if hedges.Load() == 0 {
				t.Error("got no hedge, want some")
			}
		})
	}
}
