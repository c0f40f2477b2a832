package kwdirectentry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedproxy/io/kwupstream"
)

// panickingDialect panics on answers with the header Panic.
type panickingDialect struct{ testDialect }

func (d panickingDialect) ReadResponse(status int, h http.Header) kwupstream.ResponseMeta {
	if h.Get("Panic") != "" {
		panic("an answer that nobody has thought of")
	}
	return d.testDialect.ReadResponse(status, h)
}

// TestPanicFailsOneRequest guards against an answer on which the entry panics: the caller's connection ended without an answer or, on calls, the
// process ended with all its requests.
func TestPanicFailsOneRequest(t *testing.T) {
	server := serveRaw(t, func(w io.Writer, id string) bool {
		answer := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 15\r\n"
		if strings.HasPrefix(id, "odd") {
			answer += "Panic: 1\r\n"
		}
		_, err := io.WriteString(w, answer+"\r\nid: 1\ndata: x\n\n")
		return err == nil
	})
	g := newTestGateway(t, server, server)
	g.deps.Dialect = panickingDialect{}
	addPlainStreams(g)
	client := &http.Client{Timeout: 5 * time.Second}
	for _, path := range []string{"/alerts/x", "/lookups/x", "/notes/x", "/once/x"} {
		if status, body := post(t, client, g, path, "odd"+path); status != http.StatusBadGateway || strings.Contains(body, "data") {
			t.Errorf("%s: got %d %q, want 502", path, status, body)
		}
		g.scheduler.ejector.RecordSuccess("r")
		g.scheduler.ejector.RecordSuccess("m")
		if status, body := post(t, client, g, path, "sound"+path); status != http.StatusOK || !strings.HasPrefix(body, "id: 1") {
			t.Errorf("%s: the next request: got %d %q, want 200", path, status, body)
		}
	}
	if got := countEvents(g, "request-panicked"); got != 4 {
		t.Errorf("got %d log events on panics, want 4", got)
	}
}
