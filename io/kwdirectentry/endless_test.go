package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestEndlessFailureIsNotPassedOn guards against a failure whose body has no end, of which callers got the beginning as if it were
// whole.
func TestEndlessFailureIsNotPassedOn(t *testing.T) {
	t.Parallel()
	block := strings.Repeat("x", 64<<10)
	model := serveRaw(t, func(w io.Writer, id string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\n\r\n", id)
		for {
			if _, err := io.WriteString(w, block); err != nil {
				return false
			}
		}
	})
	g := newTestGateway(t, model, "127.0.0.1:1")
	status, body := post(t, http.DefaultClient, g, "/notes/x", "endless")
	if status != http.StatusBadGateway {
		t.Errorf("got status %d and a body of %d bytes, want %d from the entry itself", status, len(body), http.StatusBadGateway)
	}
}
