package kwdirectentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwretry"
)

const (
	// testSilence is how long the sound servers of these tests are silent.
	testSilence = 1200 * time.Millisecond
	// silenceSlack is how much later than the end of a silence an answer may be complete.
	silenceSlack = time.Second
)

// silence is a time in which servers send nothing. It begins when a server first pauses.
type silence struct {
	length time.Duration
	once   sync.Once
	began  time.Time
	ended  chan struct{}
}

func newSilence(length time.Duration) *silence {
	return &silence{length: length, ended: make(chan struct{})}
}

// pause begins the silence, if it has not begun, and waits for its end.
func (s *silence) pause() {
	s.once.Do(func() {
		s.began = time.Now()
		time.AfterFunc(s.length, func() { close(s.ended) })
	})
	<-s.ended
}

// StalledRequests gets no answer while the servers are silent.
func (s *silence) StalledRequests(ctx context.Context, _ kwid.EndpointID, _ string) (StallReport, error) {
	select {
	case <-s.ended:
		return StallReport{}, nil
	case <-ctx.Done():
		return StallReport{}, ctx.Err()
	}
}

// silentStream answers a stream of three events, and pauses before the head or after some events. A further attempt of the same request
// goes on after these.
func silentStream(s *silence, eventsBefore int, beforeHead bool, arrivals *atomic.Int32, seen *sync.Map) func(w io.Writer, id string) bool {
	return func(w io.Writer, id string) bool {
		arrivals.Add(1)
		first := 1
		if _, resumed := seen.LoadOrStore(id, true); resumed {
			first += eventsBefore
		}
		if beforeHead {
			s.pause()
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for event := first; event <= 3; event++ {
			if event == eventsBefore+1 {
				s.pause()
			}
			writeEvent(w, event)
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}

// silentAnswer answers a plain request after a pause.
func silentAnswer(s *silence, arrivals *atomic.Int32, _ *sync.Map) func(w io.Writer, id string) bool {
	return func(w io.Writer, id string) bool {
		arrivals.Add(1)
		s.pause()
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
		return err == nil
	}
}

// setRoutes changes all routes of a gateway.
func setRoutes(g *Gateway, change func(*kwdeclaration.Route)) {
	v := *g.view.Load()
	d := *v.index.Declaration
	d.Number++
	d.Routes = append([]kwdeclaration.Route(nil), d.Routes...)
	for i := range d.Routes {
		change(&d.Routes[i])
	}
	v.index = kwdeclaration.NewIndex(&d)
	v.declarationNumber = d.Number
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// setServers makes a gateway know as many model servers and records servers at the addresses.
func setServers(g *Gateway, model, records []string) {
	v := *g.view.Load()
	v.endpoints = make(map[kwid.EndpointID]kwmembership.RosterRow)
	add := func(a kwmembership.Announcement) {
		a.Zone = "a"
		v.endpoints[a.ID] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: a}
	}
	for i, address := range model {
		add(kwmembership.Announcement{ID: kwid.EndpointID(fmt.Sprint("m", i)), Service: "llm", Accelerator: "fast", Address: address, Layers: kwid.LayerRange{To: 8}})
	}
	for i, address := range records {
		add(kwmembership.Announcement{ID: kwid.EndpointID(fmt.Sprint("r", i)), Service: "records", Address: address})
	}
	v.indexEndpoints()
	g.view.Store(&v)
	g.scheduler.applyView(&v, nil)
}

// silentRequest is a request whose servers fall silent.
type silentRequest struct {
	name, path, want string
	// answer returns what a server does; all servers of a request share seen.
	answer func(s *silence, arrivals *atomic.Int32, seen *sync.Map) func(w io.Writer, id string) bool
}

func silentRequests() []silentRequest {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	stream := func(eventsBefore int, beforeHead bool) func(*silence, *atomic.Int32, *sync.Map) func(io.Writer, string) bool {
		return func(s *silence, arrivals *atomic.Int32, seen *sync.Map) func(io.Writer, string) bool {
			return silentStream(s, eventsBefore, beforeHead, arrivals, seen)
		}
	}
	return []silentRequest{
		{"stream before its head", "/notes/x", events, stream(0, true)},
		{"stream before its first event", "/notes/x", events, stream(0, false)},
		{"stream between two events", "/notes/x", events, stream(1, false)},
		{"idempotent request", "/lookups/x", "ok", silentAnswer},
		{"request that may run once", "/alerts/x", "ok", silentAnswer},
	}
}

// TestSilentServersEndNoAnswer guards against timers that end an answer because its server is silent for a while. The silent
// servers are all that there are.
func TestSilentServersEndNoAnswer(t *testing.T) {
	phases := []struct {
		name string
		// during is called while the servers are silent.
		during func(g *Gateway)
	}{
		{"calm", func(*Gateway) {}},
		{"drain", func(g *Gateway) { go g.drain(drainTimes(time.Now(), 4*time.Second)) }},
		{"new declaration", func(g *Gateway) {
			setRoutes(g, func(r *kwdeclaration.Route) {
				r.EventGapObjective, r.LatencyObjective = 20*time.Millisecond, 50*time.Millisecond
			})
		}},
	}
	for _, phase := range phases {
		for _, c := range silentRequests() {
			for _, servers := range []int{1, 2, 3} {
				t.Run(fmt.Sprintf("%s, %s, %d servers", phase.name, c.name, servers), func(t *testing.T) {
					t.Parallel()
					s := newSilence(testSilence)
					var arrivals atomic.Int32
					var seen sync.Map
					var addresses []string
					for range servers {
						addresses = append(addresses, serveRaw(t, c.answer(s, &arrivals, &seen)))
					}
					g := newTestGateway(t, addresses[0], addresses[0])
					g.deps.Stalls = s
					if c.path == "/notes/x" {
						setServers(g, addresses, nil)
					} else {
						setServers(g, nil, addresses)
					}
					setRoutes(g, func(r *kwdeclaration.Route) {
						r.Timeout, r.LatencyObjective, r.EventGapObjective = 2*time.Second, 250*time.Millisecond, 100*time.Millisecond
					})
					response := postInBackground(t, g, c.path, "q")
					awaitTrue(t, "the request arrives", func() bool { return arrivals.Load() > 0 })
					phase.during(g)
					// By then the entry has found out that servers are silent.
					time.Sleep(testSilence * 3 / 4)
					second := postInBackground(t, g, c.path, "q2")
					time.Sleep(testSilence / 4)
					third := postInBackground(t, g, c.path, "q3")
					responses := map[string]<-chan postedResponse{"before the silence": response, "in the silence": second, "after the silence": third}
					for name, response := range responses {
						if got := <-response; got.status != http.StatusOK || got.body != c.want {
							t.Errorf("request %s: got %d %q, want 200 %q", name, got.status, got.body, c.want)
						}
					}
					<-s.ended
					if late := time.Since(s.began) - testSilence; late > silenceSlack {
						t.Errorf("got the answers %v after the end of the silence, want them within %v", late, silenceSlack)
					}
					if t.Failed() {
						for _, r := range g.deps.Events.Records() {
							t.Log(r)
						}
					}
					limit := 6
					if c.path == "/alerts/x" {
						limit = 3
					}
					if got := int(arrivals.Load()); got > limit {
						t.Errorf("got %d attempts, want at most %d", got, limit)
					}
				})
			}
		}
	}
}

// TestSlowAnswerOfFirstAttemptCounts guards against a second attempt that replaces the first one, whose answer would have come
// earlier: each server is silent from the arrival of its request on.
func TestSlowAnswerOfFirstAttemptCounts(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int32
	server := func() string {
		return serveRaw(t, func(w io.Writer, id string) bool { return silentAnswer(newSilence(testSilence), &arrivals, nil)(w, id) })
	}
	addresses := []string{server(), server()}
	g := newTestGateway(t, addresses[0], addresses[0])
	setServers(g, nil, addresses)
	setRoutes(g, func(r *kwdeclaration.Route) { r.Timeout = 2 * time.Second })
	begin := time.Now()
	status, body := post(t, http.DefaultClient, g, "/lookups/x", "q")
	if took := time.Since(begin); status != http.StatusOK || body != "ok" || took > testSilence+silenceSlack/2 {
		t.Errorf("got %d %q after %v, want 200 %q %v after the first attempt", status, body, took, "ok", testSilence)
	}
	if got := arrivals.Load(); got != 2 {
		t.Errorf("got %d attempts, want 2", got)
	}
}

// TestSilentStreamMovesToSoundServer checks that a stream does not wait for a silent server while another one is free.
func TestSilentStreamMovesToSoundServer(t *testing.T) {
	for _, c := range silentRequests()[:3] {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSilence(time.Minute)
			var arrivals atomic.Int32
			silent := serveRaw(t, c.answer(s, &arrivals, new(sync.Map)))
			begun := strings.Contains(c.name, "between")
			sound := serveRaw(t, func(w io.Writer, id string) bool {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				for event := 1; event <= 3; event++ {
					if event > 1 || !begun {
						writeEvent(w, event)
					}
				}
				_, err := io.WriteString(w, "0\r\n\r\n")
				return err == nil
			})
			g := newTestGateway(t, silent, silent)
			setServers(g, []string{silent}, nil)
			setRoutes(g, func(r *kwdeclaration.Route) {
				r.LatencyObjective, r.EventGapObjective = 250*time.Millisecond, 100*time.Millisecond
			})
			begin := time.Now()
			response := postInBackground(t, g, c.path, "q")
			awaitTrue(t, "the request arrives", func() bool { return arrivals.Load() > 0 })
			setServers(g, []string{silent, sound}, nil)
			got := <-response
			if took := time.Since(begin); got.status != http.StatusOK || got.body != c.want || took > 2*time.Second {
				t.Errorf("got %d %q after %v, want 200 %q within 2s", got.status, got.body, took, c.want)
			}
			checkNothingReserved(t, g)
		})
	}
}

// TestSilenceOfAllFirstServersRefusesNothing guards against a fleet without any chain because the first servers of all chains are
// ejected for their silence.
func TestSilenceOfAllFirstServersRefusesNothing(t *testing.T) {
	t.Parallel()
	s := newSilence(testSilence)
	var arrivals atomic.Int32
	var seen sync.Map
	address := func() string { return serveRaw(t, silentStream(s, 0, true, &arrivals, &seen)) }
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.deps.Stalls = s
	first, second := kwid.LayerRange{To: 4}, kwid.LayerRange{From: 4, To: 8}
	setModelServers(g, kwmembership.Announcement{ID: "a1", Address: address(), Layers: first}, kwmembership.Announcement{ID: "a2", Address: address(), Layers: second},
		kwmembership.Announcement{ID: "b1", Address: address(), Layers: first}, kwmembership.Announcement{ID: "b2", Address: address(), Layers: second})
	setRoutes(g, func(r *kwdeclaration.Route) {
		r.Timeout, r.LatencyObjective, r.EventGapObjective = 3*time.Second, 250*time.Millisecond, 100*time.Millisecond
	})
	responses := []<-chan postedResponse{postInBackground(t, g, "/notes/x", "q0")}
	awaitTrue(t, "all first servers are ejected", func() bool {
		now := time.Now()
		return g.scheduler.ejector.Ejected(now, "a1") && g.scheduler.ejector.Ejected(now, "b1")
	})
	responses = append(responses, postInBackground(t, g, "/notes/x", "q1"))
	for i, response := range responses {
		if got := <-response; got.status != http.StatusOK {
			t.Errorf("request %d: got %d %q, want 200", i, got.status, got.body)
		}
	}
}

// checkNothingReserved checks that no chain is reserved for requests that have ended.
func checkNothingReserved(t *testing.T, g *Gateway) {
	t.Helper()
	awaitTrue(t, "all reservations of chains are released", func() bool { return len(g.scheduler.ownLoads()) == 0 })
}

// TestSilenceWithoutRetryBudgetEndsNoAnswer guards against an attempt that is given up while no retry is left to follow it.
func TestSilenceWithoutRetryBudgetEndsNoAnswer(t *testing.T) {
	for _, c := range silentRequests() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSilence(testSilence)
			var arrivals atomic.Int32
			var seen sync.Map
			addresses := []string{serveRaw(t, c.answer(s, &arrivals, &seen)), serveRaw(t, c.answer(s, &arrivals, &seen))}
			g := newTestGateway(t, addresses[0], addresses[0])
			g.retryBudgets = kwretry.NewSharedBudgets(kwretry.SharedBudgetsConfig{Window: time.Minute})
			if c.path == "/notes/x" {
				setServers(g, addresses, nil)
			} else {
				setServers(g, nil, addresses)
			}
			setRoutes(g, func(r *kwdeclaration.Route) {
				r.Timeout, r.LatencyObjective, r.EventGapObjective = 2*time.Second, 250*time.Millisecond, 100*time.Millisecond
			})
			status, body := post(t, http.DefaultClient, g, c.path, "q")
			if status != http.StatusOK || body != c.want || arrivals.Load() != 1 {
				t.Errorf("got %d %q after %d attempts, want 200 %q after 1", status, body, arrivals.Load(), c.want)
			}
			checkNothingReserved(t, g)
		})
	}
}

// TestMovesRaceWithEvents has servers go on at about the time at which their streams move to another one. Callers must get every event
// once, and no chain may stay reserved.
func TestMovesRaceWithEvents(t *testing.T) {
	t.Parallel()
	const streams, events = 60, 12
	var pauses atomic.Int32
	server := func() string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for event := last + 1; event <= events; event++ {
				if event%4 == 0 {
					time.Sleep(minEventTimeout + time.Duration(pauses.Add(1)%41-20)*time.Millisecond)
				}
				_, _ = fmt.Fprintf(w, "id: %d\n\n", event)
				if http.NewResponseController(w).Flush() != nil {
					return
				}
			}
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	setServers(g, []string{server(), server(), server()}, nil)
	setRoutes(g, func(r *kwdeclaration.Route) { r.MaxAttempts, r.EventGapObjective = 4, 100*time.Millisecond })
	want := ""
	for event := 1; event <= events; event++ {
		want += fmt.Sprintf("id: %d\n\n", event)
	}
	var responses []<-chan postedResponse
	for i := range streams {
		responses = append(responses, postInBackground(t, g, "/notes/x", fmt.Sprint("q", i)))
		time.Sleep(7 * time.Millisecond)
	}
	for i, response := range responses {
		if got := <-response; got.status != http.StatusOK || got.body != want {
			t.Errorf("stream %d: got %d %q, want 200 %q", i, got.status, got.body, want)
		}
	}
	checkNothingReserved(t, g)
	if g.metrics.resumed.Count() == 0 {
		t.Error("got no stream that has moved, want some")
	}
	t.Logf("%d streams moved %d times", streams, g.metrics.resumed.Count())
}

// TestSilentStreamHoldsUpNoOthers guards against a silent stream that waits for another chain where there is none, and keeps the
// requests behind it in the queue from the chain that has room for them.
func TestSilentStreamHoldsUpNoOthers(t *testing.T) {
	t.Parallel()
	s := newSilence(testSilence)
	var arrivals atomic.Int32
	var seen sync.Map
	silent := silentStream(s, 1, false, &arrivals, &seen)
	address := serveRaw(t, func(w io.Writer, id string) bool {
		if id == "silent" {
			return silent(w, id)
		}
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := newTestGateway(t, address, address)
	setServers(g, []string{address}, nil)
	setRoutes(g, func(r *kwdeclaration.Route) {
		r.LatencyObjective, r.EventGapObjective = 5*time.Second, 100*time.Millisecond
	})
	response := postInBackground(t, g, "/notes/x", "silent")
	awaitTrue(t, "the request arrives", func() bool { return arrivals.Load() > 0 })
	time.Sleep(minEventTimeout + 100*time.Millisecond)
	begin := time.Now()
	status, body := post(t, http.DefaultClient, g, "/notes/x", "other")
	if took := time.Since(begin); status != http.StatusOK || took > testSilence/4 {
		t.Errorf("other stream: got %d %q after %v, want 200 at once", status, body, took)
	}
	if got := <-response; got.status != http.StatusOK {
		t.Errorf("silent stream: got %d %q, want 200", got.status, got.body)
	}
}

// TestSearchOfSilentStreamDoesNotQueue guards against a silent stream that waits in the queue for the only other server, which is full,
// while the stream's own server has room for the requests behind it.
func TestSearchOfSilentStreamDoesNotQueue(t *testing.T) {
	t.Parallel()
	s := newSilence(testSilence)
	var arrivals atomic.Int32
	silent := silentStream(s, 1, false, &arrivals, new(sync.Map))
	address := serveRaw(t, func(w io.Writer, id string) bool {
		if id == "silent" {
			return silent(w, id)
		}
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := newTestGateway(t, address, address)
	setServers(g, []string{address}, nil)
	setRoutes(g, func(r *kwdeclaration.Route) {
		r.LatencyObjective, r.EventGapObjective = 5*time.Second, 100*time.Millisecond
	})
	response := postInBackground(t, g, "/notes/x", "silent")
	awaitTrue(t, "the request arrives", func() bool { return arrivals.Load() > 0 })
	setServers(g, []string{address, address}, nil)
	full := kwchainsearch.Chain{Stages: []kwchainsearch.Stage{{Endpoint: "m1", Layers: kwid.LayerRange{To: 8}}}}
	g.scheduler.mu.Lock()
	for range g.view.Load().modelEngine("llm").Slots {
		g.scheduler.dispatcher.Loads().Reserve(full, 1)
	}
	g.scheduler.mu.Unlock()
	time.Sleep(minEventTimeout + 100*time.Millisecond)
	begin := time.Now()
	status, body := post(t, http.DefaultClient, g, "/notes/x", "other")
	if took := time.Since(begin); status != http.StatusOK || took > testSilence/4 {
		t.Errorf("other stream: got %d %q after %v, want 200 at once", status, body, took)
	}
	if got := <-response; got.status != http.StatusOK {
		t.Errorf("silent stream: got %d %q, want 200", got.status, got.body)
	}
}
