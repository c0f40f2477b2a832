package kwdirectentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwupstream"
)

// declare puts a changed copy of the declaration into force.
func declare(g *Gateway, change func(*kwdeclaration.Declaration)) {
	v := *g.view.Load()
	d := *v.index.Declaration
	d.Number++
	d.Routes, d.Services, d.Workspaces = slices.Clone(d.Routes), slices.Clone(d.Services), slices.Clone(d.Workspaces)
	change(&d)
	v.index, v.declarationNumber = kwdeclaration.NewIndex(&d), d.Number
	v.indexEndpoints()
	setView(g, &v)
}

// setView replaces the view as watchControl does.
func setView(g *Gateway, v *view) {
	g.view.Store(v)
	g.scheduler.applyView(v, nil)
	g.viewChanged.broadcast()
}

// setEndpoints replaces the endpoints in the view by others of both services at the given addresses.
func setEndpoints(g *Gateway, model, records []string) {
	v := *g.view.Load()
	v.endpoints = make(map[kwid.EndpointID]kwmembership.RosterRow)
	add := func(service kwid.ServiceName, address string) {
		id := kwid.EndpointID(fmt.Sprintf("%s-%d", service, len(v.endpoints)))
		v.endpoints[id] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: kwmembership.Announcement{
			ID: id, Service: service, Zone: "a", Address: address, Accelerator: "fast", Layers: kwid.LayerRange{To: 8},
		}}
	}
	for _, address := range model {
		add("llm", address)
	}
	for _, address := range records {
		add("records", address)
	}
	v.indexEndpoints()
	setView(g, &v)
}

// removeServices drops all services, and the routes with them.
func removeServices(d *kwdeclaration.Declaration) { d.Services, d.Routes = nil, nil }

// changeEngine changes the engine of the model servers.
func changeEngine(d *kwdeclaration.Declaration, change func(*kwdeclaration.Engine)) {
	for i := range d.Services {
		if d.Services[i].Engine != nil {
			engine := *d.Services[i].Engine
			change(&engine)
			d.Services[i].Engine = &engine
		}
	}
}

// changeRoutes changes each route.
func changeRoutes(d *kwdeclaration.Declaration, change func(*kwdeclaration.Route)) {
	for i := range d.Routes {
		change(&d.Routes[i])
	}
}

// besideChange is a request that is in progress while a new declaration comes into force.
type besideChange struct {
	path string
	// firstBytes is what the first server that gets the request sends, with the request ID in place of %s, before the change;
	// rest is what it sends after the change. It then closes the connection. The second one sends a whole answer.
	firstBytes, rest string
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent  = "7\r\nid: 1\n\n\r\n"
	secondEvent = "7\r\nid: 2\n\n\r\n0\r\n\r\n"
	unaryAnswer = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"
	notRun      = "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// places are where a request that is sent to servers may be when the declaration changes.
var places = map[string]besideChange{
	"stream before its first event":           {path: "/notes/x"},
	"stream after its first event":            {path: "/notes/x", firstBytes: streamHead + firstEvent},
	"stream being served":                     {path: "/notes/x", firstBytes: streamHead + firstEvent, rest: secondEvent},
	"stream that was refused":                 {path: "/notes/x", rest: notRun},
	"idempotent request between two attempts": {path: "/lookups/x"},
	"idempotent request being served":         {path: "/lookups/x", rest: unaryAnswer},
	"at-most-once request that was refused":   {path: "/alerts/x", rest: notRun},
	"at-most-once request being served":       {path: "/alerts/x", rest: unaryAnswer},
}

// run sends the request, changes the view while its first server is at work, and returns the status and the body.
func (b besideChange) run(t *testing.T, change func(g *Gateway)) (status int, body string) {
	t.Helper()
	var sends atomic.Int32
	received, changed := make(chan struct{}), make(chan struct{})
	server := serveRaw(t, func(w io.Writer, id string) bool {
		if sends.Add(1) > 1 {
			answer := unaryAnswer
			if b.path == "/notes/x" {
				answer = streamHead + firstEvent + secondEvent
			}
			if b.firstBytes != "" {
				answer = streamHead + secondEvent
			}
			_, _ = fmt.Fprintf(w, answer, id)
			return true
		}
		write := func(text string) { _, _ = io.WriteString(w, strings.ReplaceAll(text, "%s", id)) }
		write(b.firstBytes)
		close(received)
		<-changed
		write(b.rest)
		return false
	})
	g := newTestGateway(t, server, server)
	setEndpoints(g, []string{server, server}, []string{server, server})
	response := postInBackground(t, g, b.path, "r")
	<-received
	if b.firstBytes != "" {
		awaitTrue(t, "the caller has the first event", func() bool { return g.metrics.eventWrites.Count() == 1 })
	}
	change(g)
	close(changed)
	got := <-response
	return got.status, got.body
}

// wantBody returns the whole answer to the request.
func (b besideChange) wantBody() string {
	if b.path == "/notes/x" {
		return "id: 1\n\nid: 2\n\n"
	}
	return "ok"
}

// TestRequestsOutliveTheirDeclaration guards against requests in progress that end without an answer when the declaration changes.
func TestRequestsOutliveTheirDeclaration(t *testing.T) {
	changes := map[string]func(*kwdeclaration.Declaration){
		"no change":     func(*kwdeclaration.Declaration) {},
		"route removed": func(d *kwdeclaration.Declaration) { d.Routes = nil },
		"route moved": func(d *kwdeclaration.Declaration) {
			changeRoutes(d, func(r *kwdeclaration.Route) { r.Targets = []kwdeclaration.Target{{Service: "other", Weight: 1}} })
			d.Services = append(d.Services, kwdeclaration.Service{Name: "other"})
		},
		"timeout shortened": func(d *kwdeclaration.Declaration) {
			changeRoutes(d, func(r *kwdeclaration.Route) { r.Timeout = time.Millisecond })
		},
		"attempts lowered": func(d *kwdeclaration.Declaration) {
			changeRoutes(d, func(r *kwdeclaration.Route) { r.MaxAttempts, r.Resumable = 1, false })
		},
		"workspaces declared": func(d *kwdeclaration.Declaration) {
			d.KeyCheck, d.Workspaces = kwdeclaration.KeyRequired, []kwdeclaration.Workspace{{Name: "w", Keys: []string{"k"}}}
		},
		"keys required of no workspace": func(d *kwdeclaration.Declaration) { d.KeyCheck = kwdeclaration.KeyRequired },
		"fewer slots": func(d *kwdeclaration.Declaration) {
			changeEngine(d, func(e *kwdeclaration.Engine) { e.Slots = 2 })
		},
	}
	for name, change := range changes {
		for place, b := range places {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				status, body := b.run(t, func(g *Gateway) { declare(g, change) })
				if want := b.wantBody(); status != http.StatusOK || body != want {
					t.Errorf("got %d %q, want 200 %q", status, body, want)
				}
			})
		}
	}
}

// serviceChanges are changes after which the servers of a service go on, but the declaration does not describe them.
var serviceChanges = map[string]func(*kwdeclaration.Declaration){
	"service removed": removeServices,
	"service without engine": func(d *kwdeclaration.Declaration) {
		for i := range d.Services {
			d.Services[i].Engine = nil
		}
	},
	"engine without layers": func(d *kwdeclaration.Declaration) {
		changeEngine(d, func(e *kwdeclaration.Engine) { e.Layers = 0 })
	},
	"more layers": func(d *kwdeclaration.Declaration) {
		changeEngine(d, func(e *kwdeclaration.Engine) { e.Layers *= 2 })
	},
	"fewer layers": func(d *kwdeclaration.Declaration) {
		changeEngine(d, func(e *kwdeclaration.Engine) { e.Layers /= 2 })
	},
	"accelerator removed": func(d *kwdeclaration.Declaration) {
		changeEngine(d, func(e *kwdeclaration.Engine) { e.Accelerators = nil })
	},
}

// TestRequestsOutliveTheirService guards against streams that are cut, or rejected as unknown, when their service leaves the
// declaration after they were accepted.
func TestRequestsOutliveTheirService(t *testing.T) {
	for name, change := range serviceChanges {
		for place, b := range places {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				status, body := b.run(t, func(g *Gateway) { declare(g, change) })
				if want := b.wantBody(); status != http.StatusOK || body != want {
					t.Errorf("got %d %q, want 200 %q", status, body, want)
				}
			})
		}
	}
}

// queueBehind fills the only slot of a model server, and returns the reserved chain and its size.
func queueBehind(t *testing.T, g *Gateway) (kwchainsearch.Chain, kwchainsearch.RequestSize) {
	t.Helper()
	declare(g, func(d *kwdeclaration.Declaration) { changeEngine(d, func(e *kwdeclaration.Engine) { e.Slots = 1 }) })
	v := g.view.Load()
	busy := &request{view: v, arrived: time.Now(), service: "llm", route: v.index.Route("h", "/notes/x")}
	s := &streamState{q: busy, size: estimateSize(busy)}
	chain, _, err := g.scheduler.acquireChain(t.Context(), s.chainRequest(g))
	if err != nil {
		t.Fatal(err)
	}
	return chain, s.size
}

// TestQueuedStreamsOutliveTheirService guards against streams that wait for a chain and are rejected as unknown when their service
// leaves the declaration.
func TestQueuedStreamsOutliveTheirService(t *testing.T) {
	for name, change := range serviceChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var served atomic.Int64
			g := newTestGateway(t, serveTwoEvents(t, &served), "127.0.0.1:1")
			chain, size := queueBehind(t, g)
			response := postInBackground(t, g, "/notes/x", "q")
			awaitTrue(t, "the request is queued", func() bool {
				g.scheduler.mu.Lock()
				defer g.scheduler.mu.Unlock()
				return g.scheduler.dispatcher.Waiting() == 1
			})
			declare(g, change)
			declare(g, change)
			g.scheduler.release(chain, size.TotalTokens)
			if got, want := <-response, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"; got.status != http.StatusOK || got.body != want {
				t.Errorf("got %d %q, want 200 %q", got.status, got.body, want)
			}
		})
	}
}

// TestFleetAfterChangeOfLayers checks which declaration describes the servers of a request that was accepted under 8 layers, when the
// present one has another number of them.
func TestFleetAfterChangeOfLayers(t *testing.T) {
	cases := []struct {
		name    string
		present int
		servers []kwid.LayerRange
		want    int
	}{
		{"more layers, servers as before", 16, []kwid.LayerRange{{To: 8}}, 8},
		{"more layers, a server restarted", 16, []kwid.LayerRange{{To: 8}, {To: 16}}, 16},
		{"more layers, servers restarted and one lost", 16, []kwid.LayerRange{{To: 8}, {From: 12, To: 16}}, 16},
		{"more layers, servers that have a chain under neither", 16, []kwid.LayerRange{{To: 4}}, 16},
		{"fewer layers, servers as before", 4, []kwid.LayerRange{{To: 8}}, 8},
		{"fewer layers, servers restarted", 4, []kwid.LayerRange{{To: 4}}, 4},
	}
	for _, c := range cases {
		g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
		accepted := g.view.Load()
		declare(g, func(d *kwdeclaration.Declaration) {
			changeEngine(d, func(e *kwdeclaration.Engine) { e.Layers = c.present })
		})
		var servers []kwmembership.Announcement
		for i, layers := range c.servers {
			servers = append(servers, kwmembership.Announcement{ID: kwid.EndpointID(fmt.Sprint("m", i)), Address: "127.0.0.1:1", Layers: layers})
		}
		setModelServers(g, servers...)
		q := &request{view: accepted, arrived: time.Now(), service: "llm", route: accepted.index.Route("h", "/notes/x")}
		fleet, err := (&streamState{q: q, size: estimateSize(q)}).chainRequest(g).fleet()
		if err != nil || fleet.Engine.Layers != c.want || len(fleet.Servers) != len(c.servers) {
			t.Errorf("%s: got engine %+v with %d servers, error %v, want %d layers and %d servers",
				c.name, fleet.Engine, len(fleet.Servers), err, c.want, len(c.servers))
		}
	}
}

// TestAcceptedTimeoutStays lengthens the timeout of a route while requests are served. They must end at the timeout they were
// accepted under.
func TestAcceptedTimeoutStays(t *testing.T) {
	const accepted = 300 * time.Millisecond
	for _, path := range []string{"/notes/x", "/lookups/x", "/alerts/x"} {
		received, unblock := make(chan struct{}, 2), make(chan struct{})
		t.Cleanup(func() { close(unblock) })
		server := serveRaw(t, func(io.Writer, string) bool {
			received <- struct{}{}
			<-unblock
			return false
		})
		g := newTestGateway(t, server, server)
		declare(g, func(d *kwdeclaration.Declaration) {
			changeRoutes(d, func(r *kwdeclaration.Route) { r.Timeout, r.MaxAttempts = accepted, 1 })
		})
		begin := time.Now()
		response := postInBackground(t, g, path, "t")
		<-received
		declare(g, func(d *kwdeclaration.Declaration) {
			changeRoutes(d, func(r *kwdeclaration.Route) { r.Timeout = time.Minute })
		})
		got := <-response
		if took := time.Since(begin); got.status != http.StatusGatewayTimeout || took < accepted || took > 10*accepted {
			t.Errorf("%s: got %d %q after %v, want 504 after about %v", path, got.status, got.body, took, accepted)
		}
	}
}

// keyDialect reads the key of a request, next to what testDialect reads.
type keyDialect struct{ testDialect }

func (d keyDialect) ReadRequest(h http.Header) kwupstream.RequestMeta {
	meta := d.testDialect.ReadRequest(h)
	meta.Credential = "k"
	return meta
}

// TestRequestsThatWaitForAView checks that requests which arrive before the first view, or after the last has expired, are answered
// under the declaration that ends their wait, or rejected with a promise that they have not run.
func TestRequestsThatWaitForAView(t *testing.T) {
	key := func(keys ...string) func(d *kwdeclaration.Declaration) {
		return func(d *kwdeclaration.Declaration) {
			d.KeyCheck, d.Workspaces = kwdeclaration.KeyRequired, []kwdeclaration.Workspace{{Name: "w", Keys: keys}}
		}
	}
	cases := []struct {
		name       string
		change     func(*kwdeclaration.Declaration)
		wantStatus int
		wantBody   string
	}{
		{"no change", key("k"), http.StatusOK, "ok"},
		{"key removed", key("other"), http.StatusUnauthorized, "unauthenticated"},
		{"all workspaces removed", func(d *kwdeclaration.Declaration) { d.KeyCheck = kwdeclaration.KeyRequired }, http.StatusUnauthorized, "unauthenticated"},
		{"route removed", func(d *kwdeclaration.Declaration) { d.Routes = nil }, http.StatusNotFound, "no-rule"},
		{"timeout shorter than the wait", func(d *kwdeclaration.Declaration) {
			changeRoutes(d, func(r *kwdeclaration.Route) { r.Timeout = time.Millisecond })
		}, http.StatusServiceUnavailable, "not-run"},
		{"service removed", removeServices, http.StatusNotFound, "no-rule"},
	}
	for _, c := range cases {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, first view %t", c.name, first), func(t *testing.T) {
				t.Parallel()
				server := serveRaw(t, func(w io.Writer, id string) bool {
					_, _ = fmt.Fprintf(w, unaryAnswer, id)
					return true
				})
				g := newTestGateway(t, "127.0.0.1:1", server)
				g.deps.Dialect = keyDialect{}
				valid := g.view.Load()
				expired := *valid
				expired.confirmedAt = time.Now().Add(-g.cfg.ViewLease)
				g.view.Store(&expired)
				if first {
					g.view.Store(emptyView())
				}
				response := postInBackground(t, g, "/lookups/x", "w")
				awaitTrue(t, "the request waits", func() bool { return g.inFlight.Load() == 1 })
				time.Sleep(20 * time.Millisecond)
				g.view.Store(valid)
				declare(g, c.change)
				if got := <-response; got.status != c.wantStatus || !strings.Contains(got.body, c.wantBody) {
					t.Errorf("got %d %q, want %d with %q", got.status, got.body, c.wantStatus, c.wantBody)
				}
			})
		}
	}
}

// TestPlainRequestsFollowTheRoster guards against requests to services without model servers that go by the endpoints of their
// arrival: while a request is between two attempts, or its body still arrives, all endpoints are replaced by one other.
func TestPlainRequestsFollowTheRoster(t *testing.T) {
	cases := []struct {
		name, path string
		// first is what the first endpoint sends before it closes the connection.
		first string
		// slowBody means that the endpoints are replaced before the body is sent, so that the first one gets nothing.
		slowBody bool
	}{
		{"idempotent request between two attempts", "/lookups/x", "", false},
		{"at-most-once request that was refused", "/alerts/x", notRun, false},
		{"idempotent request with a slow body", "/lookups/x", "", true},
		{"at-most-once request with a slow body", "/alerts/x", "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var old atomic.Int32
			received, replaced := make(chan struct{}, 2), make(chan struct{})
			oldServer := serveRaw(t, func(w io.Writer, id string) bool {
				old.Add(1)
				received <- struct{}{}
				<-replaced
				_, _ = io.WriteString(w, strings.ReplaceAll(c.first, "%s", id))
				return false
			})
			newServer := serveRaw(t, func(w io.Writer, id string) bool {
				_, _ = fmt.Fprintf(w, unaryAnswer, id)
				return true
			})
			g := newTestGateway(t, "127.0.0.1:1", oldServer)
			setEndpoints(g, nil, []string{oldServer, oldServer, oldServer})
			body, send := io.Pipe()
			address, _ := g.Addresses()
			req, err := http.NewRequest(http.MethodPost, "http://"+address+c.path, body)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h"
			req.Header.Set("Id", "r")
			response := make(chan string, 1)
			go func() {
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					response <- err.Error()
					return
				}
				defer func() { _ = resp.Body.Close() }()
				text, _ := io.ReadAll(resp.Body)
				response <- fmt.Sprint(resp.StatusCode, " ", string(text))
			}()
			_, _ = io.WriteString(send, "bo")
			awaitTrue(t, "the request has arrived", func() bool { return g.inFlight.Load() == 1 })
			if !c.slowBody {
				_ = send.Close()
				<-received
			}
			v := *g.view.Load()
			v.endpoints = map[kwid.EndpointID]kwmembership.RosterRow{"new": {State: kwmembership.Live, Announcement: kwmembership.Announcement{
				ID: "new", Service: "records", Zone: "a", Address: newServer,
			}}}
			v.indexEndpoints()
			setView(g, &v)
			close(replaced)
			_ = send.Close()
			wantOld := int32(1)
			if c.slowBody {
				wantOld = 0
			}
			if got := <-response; got != "200 ok" || old.Load() != wantOld {
				t.Errorf("got %q after %d requests at the old endpoints, want %q after %d", got, old.Load(), "200 ok", wantOld)
			}
		})
	}
}

// changeDecoder decodes a number and the name of a change to the declaration of a gateway's first view.
type changeDecoder struct{ first *kwdeclaration.Declaration }

func (c changeDecoder) Decode(content []byte) (*kwdeclaration.Declaration, error) {
	d := *c.first
	d.Routes, d.Services = slices.Clone(d.Routes), slices.Clone(d.Services)
	var change string
	if _, err := fmt.Sscan(string(content), &d.Number, &change); err != nil {
		return nil, err
	}
	switch change {
	case "removed":
		removeServices(&d)
	case "engineless":
		serviceChanges["service without engine"](&d)
	}
	return &d, nil
}

// fakeLeader answers watches with the views of a script, the last one again and again.
type fakeLeader struct {
	mu      sync.Mutex
	script  []kwdirectproto.View
	replies int
	// failures is how many calls fail before each reply.
	failures, failed int
	// newest is the number of the declaration that the script leaves in force.
	newest kwdeclaration.Number
}

func (l *fakeLeader) handleWatch(context.Context, kwtcprpc.Body) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed < l.failures {
		l.failed++
		return nil, kwcode.New(kwcode.NotLeader, "no leader")
	}
	l.failed = 0
	l.replies++
	if l.replies > len(l.script) {
		time.Sleep(5 * time.Millisecond)
	}
	return l.script[min(l.replies, len(l.script))-1], nil
}

// replay has the gateway fetch all views of a script.
func (l *fakeLeader) replay(t *testing.T, g *Gateway) {
	t.Helper()
	control, err := kwtcprpc.Listen(kwtcprpc.ServerConfig{Address: "127.0.0.1:0", Handlers: map[kwtcprpc.Kind]kwtcprpc.Handler{kwdirectproto.KindWatch: l.handleWatch}})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = control.Serve() }()
	t.Cleanup(control.Close)
	if g.deps.Decoder == nil {
		g.deps.Decoder = changeDecoder{g.view.Load().index.Declaration}
	}
	g.leader.SetSeeds([]string{control.Address()})
	g.goBackground(func() { g.watchControl(g.ctx) })
	awaitTrue(t, "the script is over", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.replies > len(l.script)
	})
	if got := g.view.Load().declarationNumber; got != l.newest {
		t.Errorf("declaration in force: got %d, want %d", got, l.newest)
	}
}

// TestRequestsOutliveReplacedViews replaces the view several times in quick succession while a request is in progress, also by a
// leader that knows no endpoints yet and by deltas that do not apply.
func TestRequestsOutliveReplacedViews(t *testing.T) {
	whole := func(number kwdeclaration.Number, change string) *kwdirectproto.CompressedDeclaration {
		content, err := kwdirectproto.Compress(fmt.Appendf(nil, "%d %s", number, change))
		if err != nil {
			t.Fatal(err)
		}
		return &kwdirectproto.CompressedDeclaration{Number: number, Content: content}
	}
	scripts := map[string]*fakeLeader{
		"twice": {newest: 6, script: []kwdirectproto.View{
			{Declaration: whole(5, "removed")}, {DeclarationDelta: deltaOf(t, 5, 6, "5 removed", "6 engineless")},
		}},
		"and back": {newest: 6, script: []kwdirectproto.View{
			{Declaration: whole(5, "removed")}, {DeclarationDelta: deltaOf(t, 5, 6, "5 removed", "6 same")},
		}},
		"by a new leader that gathers": {newest: 5, script: []kwdirectproto.View{
			{Epoch: 2, Full: true, Gathering: true}, {Epoch: 2, Gathering: true, Declaration: whole(5, "removed")}, {Epoch: 2, Gathering: true},
		}},
		"by a leader with an older declaration": {newest: 5, script: []kwdirectproto.View{
			{Declaration: whole(5, "engineless")}, {Epoch: 2, Full: true, Gathering: true, Declaration: whole(4, "removed")},
		}},
		"by a delta that does not apply": {newest: 6, script: []kwdirectproto.View{
			{Declaration: whole(5, "same")},
			{DeclarationDelta: deltaOf(t, 3, 6, "3 same", "6 same")},
			{DeclarationDelta: deltaOf(t, 5, 6, "5 other", "6 otherwise")},
			{Declaration: whole(6, "removed")},
		}},
		"between changes of the leader": {newest: 6, failures: 3, script: []kwdirectproto.View{
			{Declaration: whole(5, "removed")}, {Epoch: 2, Full: true, Gathering: true, Declaration: whole(6, "engineless")},
		}},
	}
	for name, script := range scripts {
		for place, b := range places {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				leader := &fakeLeader{script: script.script, failures: script.failures, newest: script.newest}
				status, body := b.run(t, func(g *Gateway) { leader.replay(t, g) })
				if want := b.wantBody(); status != http.StatusOK || body != want {
					t.Errorf("got %d %q, want 200 %q", status, body, want)
				}
			})
		}
	}
}

// TestFirstViewEndsTheWait sends requests to an entry that has just started, while control elects a leader, which does not know
// all endpoints yet.
func TestFirstViewEndsTheWait(t *testing.T) {
	for _, path := range []string{"/notes/x", "/lookups/x", "/alerts/x"} {
		server := serveRaw(t, func(w io.Writer, id string) bool {
			answer := unaryAnswer
			if path == "/notes/x" {
				answer = streamHead + firstEvent + secondEvent
			}
			_, _ = fmt.Fprintf(w, answer, id)
			return true
		})
		g := newTestGateway(t, server, server)
		first := g.view.Load()
		g.deps.Decoder = changeDecoder{first.index.Declaration}
		g.view.Store(emptyView())
		content, err := kwdirectproto.Compress([]byte("5 same"))
		if err != nil {
			t.Fatal(err)
		}
		leader := &fakeLeader{failures: 2, newest: 5, script: []kwdirectproto.View{
			{Epoch: 1, Full: true, Gathering: true, Endpoints: []kwmembership.RosterRow{first.endpoints["m"], first.endpoints["r"]}},
			{Epoch: 1, Gathering: true, Declaration: &kwdirectproto.CompressedDeclaration{Number: 5, Content: content}},
		}}
		response := postInBackground(t, g, path, "f")
		awaitTrue(t, "the request waits", func() bool { return g.inFlight.Load() == 1 })
		begin := time.Now()
		leader.replay(t, g)
		if got := <-response; got.status != http.StatusOK || time.Since(begin) > viewWaitTimeout*9/10 {
			t.Errorf("%s: got %d %q after %v, want 200 as soon as the view is there", path, got.status, got.body, time.Since(begin))
		}
	}
}

// TestRequestsOutliveTheirServiceInEachPhase removes the service of requests in progress while the entry loses its view, stops, or
// both. Requests that arrive then must be rejected with a promise that they have not run.
func TestRequestsOutliveTheirServiceInEachPhase(t *testing.T) {
	expire := func(g *Gateway) {
		v := *g.view.Load()
		v.confirmedAt = time.Now().Add(-g.cfg.ViewLease - viewLossGrace)
		setView(g, &v)
	}
	stop := func(g *Gateway) {
		end := time.Now().Add(time.Minute)
		g.drainEnd.Store(&end)
		g.stopping.Store(true)
		g.viewChanged.broadcast()
	}
	phases := map[string]struct {
		begin func(g *Gateway)
		// later is the error of a request that arrives afterwards.
		later string
	}{
		"view expired":              {expire, "view-expired"},
		"stopping":                  {stop, "no-rule"},
		"stopping and view expired": {func(g *Gateway) { stop(g); expire(g) }, "entry-stopping"},
	}
	for name, phase := range phases {
		for place, b := range places {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				var later string
				status, body := b.run(t, func(g *Gateway) {
					declare(g, removeServices)
					phase.begin(g)
					_, later = post(t, http.DefaultClient, g, b.path, "later")
				})
				if want := b.wantBody(); status != http.StatusOK || body != want {
					t.Errorf("got %d %q, want 200 %q", status, body, want)
				}
				if !strings.Contains(later, phase.later) || !strings.Contains(later, "not-run") {
					t.Errorf("request that arrives afterwards: got %q, want %s and not-run", later, phase.later)
				}
			})
		}
	}
}
