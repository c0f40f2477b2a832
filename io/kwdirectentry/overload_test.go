package kwdirectentry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwupstream"
)

// priorityDialect passes the priority on as well.
type priorityDialect struct{ testDialect }

func (priorityDialect) WriteRequest(h http.Header, out kwupstream.ForwardMeta) {
	h.Set("Priority", strconv.Itoa(out.Priority))
}

// startModelServer runs a model server and returns its address.
func startModelServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// A stream breaks off after its first event. Engines must admit its next attempt before new requests.
func TestResumedStreamHasPriorityInEngines(t *testing.T) {
	begun := make(chan struct{}, 1)
	priorities := make(chan string, 2)
	breaking := startModelServer(t, func(w http.ResponseWriter, r *http.Request) {
		priorities <- r.Header.Get("Priority")
		begun <- struct{}{}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 1\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	healthy := startModelServer(t, func(w http.ResponseWriter, r *http.Request) {
		priorities <- r.Header.Get("Priority")
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "id: 2\n\n")
	})
	g := newTestGateway(t, breaking, "127.0.0.1:1")
	g.deps.Dialect = priorityDialect{}
	go func() {
		<-begun
		setModelServers(g, kwmembership.Announcement{ID: "m", Address: breaking, Layers: kwid.LayerRange{To: 8}},
			kwmembership.Announcement{ID: "healthy", Address: healthy, Layers: kwid.LayerRange{To: 8}})
	}()
	client := &http.Client{Timeout: 8 * time.Second}
	if status, body := post(t, client, g, "/notes/x", "q1"); status != http.StatusOK || body != "id: 1\n\nid: 2\n\n" {
		t.Fatalf("got %d %q, want both events", status, body)
	}
	first, second := <-priorities, <-priorities
	if first != "1" || second != "0" {
		t.Errorf("got priority %s for the new request and %s for the resumed one, want 1 and 0", first, second)
	}
}

// The only server that completes a chain refuses a request for lack of room. The next request must be served by it soon after, and
// not wait for the end of an ejection.
func TestServerWithoutRoomIsUsedAgainSoon(t *testing.T) {
	var requests atomic.Int32
	full := startModelServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if requests.Add(1) == 1 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "id: 1\n\n")
	})
	g := newTestGateway(t, full, "127.0.0.1:1")
	servers := []kwmembership.Announcement{{ID: "full", Address: full, Layers: kwid.LayerRange{To: 8}}}
	for i := range 3 {
		id := kwid.EndpointID(fmt.Sprint("part-", i))
		servers = append(servers, kwmembership.Announcement{ID: id, Address: closedAddress(t), Layers: kwid.LayerRange{To: 4}})
	}
	setModelServers(g, servers...)
	if status, body := post(t, &http.Client{Timeout: 100 * time.Millisecond}, g, "/notes/x", "q1"); status == http.StatusOK {
		t.Fatalf("got %d %q for the refused request", status, body)
	}
	time.Sleep(300 * time.Millisecond)
	if status, body := post(t, &http.Client{Timeout: 400 * time.Millisecond}, g, "/notes/x", "q2"); status != http.StatusOK {
		t.Errorf("after a refusal: got %d %q, want the stream", status, body)
	}
}
