package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// addRoute adds a route like the one of a prefix to the declaration of a gateway.
func addRoute(g *Gateway, like, prefix string, change func(*kwdeclaration.Route)) {
	v := *g.view.Load()
	d := *v.index.Declaration
	route := *v.index.Route("h", like)
	route.Name, route.Prefix = prefix, prefix
	change(&route)
	d.Routes = append(slices.Clone(d.Routes), route)
	v.index = kwdeclaration.NewIndex(&d)
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// addPlainStreams adds streaming routes to the service without an engine: one whose streams may be resumed, and one whose streams may not.
func addPlainStreams(g *Gateway) {
	addRoute(g, "/alerts/", "/resumed/", func(r *kwdeclaration.Route) { r.Kind, r.Resumable = kwdeclaration.Streaming, true })
	addRoute(g, "/alerts/", "/once/", func(r *kwdeclaration.Route) { r.Kind, r.Resumable = kwdeclaration.Streaming, false })
}

// TestStreamsCutWithinAnEventAreNotWhole guards against a stream without a length that a crash cuts within an event, of a service without
// an engine, which callers got as complete.
func TestStreamsCutWithinAnEventAreNotWhole(t *testing.T) {
	const whole = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	crlf := strings.ReplaceAll(whole, "\n", "\r\n")
	cuts := []struct{ name, sent, whole string }{
		{"within a line", whole[:strings.Index(whole, "ta: y")], whole},
		{"after the name of a field", whole[:strings.Index(whole, " y")], whole},
		{"before the end of a line", strings.TrimRight(whole, "\n"), whole},
		{"between a line and the blank line", whole[:len(whole)-1], whole},
		{"before the first event", "", whole},
		{"within a blank line with CR", crlf[:len(crlf)-1], crlf},
	}
	for _, cut := range cuts {
		for _, path := range []string{"/resumed/x", "/once/x", "/lookups/x", "/alerts/x"} {
			t.Run(cut.name+", "+path, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				server := serveRaw(t, func(w io.Writer, id string) bool {
					body := cut.whole
					if sent.Add(1) == 1 {
						body = cut.sent
					}
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream; charset=utf-8\r\nConnection: close\r\n\r\n%s", id, body)
					return false
				})
				g := newTestGateway(t, server, server)
				addSecondEndpoints(g)
				addPlainStreams(g)
				status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, path, "q1")
				switch path {
				case "/once/x", "/alerts/x":
					if status != http.StatusBadGateway || sent.Load() != 1 {
						t.Errorf("got %d %q after %d sends, want 502 after one", status, body, sent.Load())
					}
				default:
					if status != http.StatusOK || body != cut.whole || sent.Load() != 2 {
						t.Errorf("got %d %q after %d sends, want the whole stream after two", status, body, sent.Load())
					}
				}
			})
		}
	}
}
