package kwdirectentry

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestForeignPagesAreNoAnswers guards against a page that a faulty server sends in place of its answer on a new connection, which callers
// got as the success of their request.
func TestForeignPagesAreNoAnswers(t *testing.T) {
	const page, event = "<html><body>It works!</body></html>", "id: 1\ndata: x\n\n"
	pages := []struct{ name, head string }{
		{"200 without ID and signature", "200 OK\r\nUnsigned: 1"},
		{"201 without ID and signature", "201 Created\r\nUnsigned: 1"},
		{"302 without ID and signature", "302 Found\r\nUnsigned: 1\r\nLocation: /login"},
		{"200 with the ID, without signature", "200 OK\r\nUnsigned: 1\r\nId: %s"},
		{"200 without ID, signed", "200 OK"},
		{"200 with another ID, signed", "200 OK\r\nId: other-%s"},
		{"200 with an encoded body", "200 OK\r\nId: %s\r\nContent-Encoding: gzip"},
	}
	for _, p := range pages {
		for _, path := range []string{"/alerts/x", "/lookups/x", "/notes/x"} {
			for _, length := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, length %v", p.name, path, length), func(t *testing.T) {
					t.Parallel()
					head := strings.ReplaceAll(p.head, "%s", "q1")
					if length {
						head += fmt.Sprintf("\r\nContent-Length: %d", len(page))
					}
					var sent atomic.Int64
					server := serveRaw(t, func(w io.Writer, id string) bool {
						if sent.Add(1) == 1 {
							_, _ = io.WriteString(w, "HTTP/1.1 "+head+"\r\nConnection: close\r\n\r\n"+page)
							return false
						}
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(event), event)
						return true
					})
					g := newTestGateway(t, server, server)
					addSecondEndpoints(g)
					status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, path, "q1")
					switch {
					case path == "/alerts/x":
						if status != http.StatusBadGateway || strings.Contains(body, page) || sent.Load() != 1 {
							t.Errorf("got status %d with %q after %d sends, want 502 after 1", status, body, sent.Load())
						}
					case status != http.StatusOK || body != event:
						t.Errorf("got status %d with %q, want the answer of the second attempt", status, body)
					}
				})
			}
		}
	}
}

// addSecondEndpoints gives the servers of a gateway a second endpoint ID each, since a retry excludes the endpoint that has failed.
func addSecondEndpoints(g *Gateway) {
	v := *g.view.Load()
	v.endpoints = maps.Clone(v.endpoints)
	for id, row := range g.view.Load().endpoints {
		row.Announcement.ID = id + "2"
		v.endpoints[row.Announcement.ID] = row
	}
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// TestModelServerThatSendsPagesIsAvoided guards against a model server that answers every stream with a page and goes on to get its share of
// streams, each of which spends an attempt and the retry budget.
func TestModelServerThatSendsPagesIsAvoided(t *testing.T) {
	const event, streams, most = "id: 1\ndata: x\n\n", 40, 10
	for name, answer := range map[string]string{
		"page":      "HTTP/1.1 200 OK\r\nUnsigned: 1\r\nContent-Length: 4\r\n\r\npage",
		"odd head":  "HTTP/1.1 000 Trouble\r\nId: %s\r\nContent-Length: 4\r\n\r\npage",
		"rubbish":   "<p>page</p>\r\n\r\n",
		"no events": "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 12\r\n\r\n<p>page</p>\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var faulty atomic.Int64
			g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
			setServers(g, []string{
				serveRaw(t, func(w io.Writer, id string) bool {
					faulty.Add(1)
					_, _ = io.WriteString(w, strings.ReplaceAll(answer, "%s", id))
					return false
				}),
				serveRaw(t, func(w io.Writer, id string) bool {
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(event), event)
					return true
				}),
			}, nil)
			for i := range streams {
				if status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, "/notes/x", fmt.Sprint("q", i)); status != http.StatusOK || body != event {
					t.Errorf("stream %d: got %d %q, want the events of the sound server", i, status, body)
				}
			}
			if got := faulty.Load(); got > most {
				t.Errorf("got %d of %d streams at the faulty server, want at most %d", got, streams, most)
			}
		})
	}
}
