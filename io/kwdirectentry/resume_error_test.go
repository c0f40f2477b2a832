package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// TestErrorOfSecondServerStaysOutOfStream guards against the answer of a second server in the middle of a stream that has begun: its error,
// a head, a page, or events from the start. The stream must go on where it broke off, at a third server, or end as broken.
func TestErrorOfSecondServerStaysOutOfStream(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n"
		closed  = "Connection: close\r\n"
	)
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s), s) }
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno"
	cases := []struct {
		name string
		// second is the answer of the second server, after its status and ID; status is 200 unless given.
		status, second string
	}{
		{"refused, not run", "503 Service Unavailable", "Not-Run: 1\r\nContent-Length: 9\r\n\r\nno\n\nno\n\n\n"},
		{"failed", "500 Internal Server Error", "Content-Length: 8\r\n\r\nfailed\n\n"},
		{"failed without a length", "502 Bad Gateway", closed + "\r\nfailed\n\n"},
		{"error page that says 200", "200 OK", "Content-Type: text/html\r\n" + chunked + "\r\n" + chunk("<h1>busy</h1>\n\n")},
		{"error object that says 200", "200 OK", chunked + "\r\n" + chunk("{\"error\":\"busy\"}\n\n")},
		{"head in the body", "200 OK", closed + "\r\n" + head},
		{"head in chunks", "200 OK", chunked + "\r\n" + chunk(head)},
		{"events from the start", "200 OK", chunked + "\r\n" + chunk("id: 1\n\nid: 2\n\nid: 3\n\n")},
		{"events without IDs", "200 OK", chunked + "\r\n" + chunk("data: x\n\n")},
	}
	for _, servers := range []int{2, 3} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s, %d servers", c.name, servers), func(t *testing.T) {
				var attempts atomic.Int32
				address := serveRaw(t, func(w io.Writer, id string) bool {
					switch attempts.Add(1) {
					case 1:
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n%s\r\n7\r\nid: 1\n\n\r\n", id, chunked)
					case 2:
						_, _ = fmt.Fprintf(w, "HTTP/1.1 %s\r\nId: %s\r\n%s", c.status, id, c.second)
					default:
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", id, chunked, chunk("id: 2\n\n"))
					}
					return false
				})
				g := newTestGateway(t, address, "127.0.0.1:1")
				var announced []kwmembership.Announcement
				for i := range servers {
					announced = append(announced, kwmembership.Announcement{ID: kwid.EndpointID(fmt.Sprint("m", i)), Address: address, Layers: kwid.LayerRange{To: 8}})
				}
				setModelServers(g, announced...)
				routes := g.view.Load().index.Declaration.Routes
				for i := range routes {
					routes[i].MaxAttempts = servers
				}
				status, body := post(t, http.DefaultClient, g, "/notes/x", "q1")
				whole := body == "id: 1\n\nid: 2\n\n"
				if broken := strings.HasPrefix(body, "broken: "); status != http.StatusOK || !whole && !broken {
					t.Errorf("got %d %q after %d attempts, want the stream or a broken one", status, body, attempts.Load())
				}
				if servers == 3 && !whole {
					t.Errorf("got %q after %d attempts, want the whole stream", body, attempts.Load())
				}
			})
		}
	}
}
