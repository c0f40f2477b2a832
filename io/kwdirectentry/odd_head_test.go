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

// TestOddHeadsReachNoCaller guards against an answer with status 000, which ended the caller's connection without an answer, and against lines
// that callers got although their names hold a blank, or that hid how the body is framed.
func TestOddHeadsReachNoCaller(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	heads := map[string]string{
		"status 000":                             "000 Trouble\r\nContent-Length: 2\r\nId: q1\r\n\r\nok",
		"status 099":                             "099 Trouble\r\nContent-Length: 2\r\nId: q1\r\n\r\nok",
		"status +20":                             "+20 Trouble\r\nContent-Length: 2\r\nId: q1\r\n\r\nok",
		"status 600":                             "600 Trouble\r\nContent-Length: 2\r\nId: q1\r\n\r\nok",
		"status 999":                             "999 Trouble\r\nContent-Length: 2\r\nId: q1\r\n\r\nok",
		"blank in a name":                        "200 OK\r\nContent-Length: 2\r\nId: q1\r\nX Y: z\r\n\r\nok",
		"length with a blank before its colon":   "200 OK\r\nContent-Length : 2\r\nId: q1\r\n\r\nok and more",
		"chunks with a blank before their colon": "200 OK\r\nTransfer-Encoding : chunked\r\nId: q1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"ID with a blank before its colon":       "200 OK\r\nContent-Length: 2\r\nId : q1\r\n\r\nok",
		"control byte in a name":                 "200 OK\r\nContent-Length: 2\r\nId: q1\r\nX\x01Y: z\r\n\r\nok",
		"length and chunks":                      "200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\nId: q1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{"/alerts/x", "/once/x", "/lookups/x", "/notes/x"} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				server := serveRaw(t, func(w io.Writer, id string) bool {
					if sent.Add(1) == 1 {
						_, _ = io.WriteString(w, "HTTP/1.1 "+head)
						return !strings.Contains(name, "blank before")
					}
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(event), event)
					return true
				})
				g := newTestGateway(t, server, server)
				addSecondEndpoints(g)
				addPlainStreams(g)
				want, wantBody := http.StatusOK, event
				if path == "/alerts/x" || path == "/once/x" {
					want, wantBody = http.StatusBadGateway, ""
				}
				status, body := post(t, &http.Client{Timeout: 5 * time.Second}, g, path, "q1")
				if status != want || wantBody != "" && body != wantBody {
					t.Errorf("got status %d with %q, want %d and, if the request may be repeated, the second answer", status, body, want)
				}
			})
		}
	}
}
