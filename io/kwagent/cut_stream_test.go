package kwagent

import (
	"net/http"
	"testing"

	"knapweedproxy/io/kwagentproto"
)

// TestStreamCutWithinAnEventIsNotWhole guards against a stream of events without a length that a crash of its service cuts within an event, which
// callers got as complete.
func TestStreamCutWithinAnEventIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for body, whole := range map[string]bool{"id: 1\ndata: x\n\n": true, "id: 1\r\ndata: x\r\n\r\n": true, "id: 1\ndata: x\n\nid: 2\nda": false, "id: 1\ndata: x\n": false, "": false} {
		r := newTestRole(serveConns(t, answerOnce(head+body)))
		response, _, err := r.roundTrip(t.Context(), newTransport(true), kwagentproto.Call{Request: "a", Method: http.MethodGet, Path: "/x"})
		if got := err == nil; got != whole || whole && string(response.Body) != body {
			t.Errorf("%q: got whole %v (%v), want %v", body, got, err, whole)
		}
	}
}
