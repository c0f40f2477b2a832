package kwdirectentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwupstream"
)

const testService = kwid.ServiceName("llm")

// schedulerFixture is a scheduler over two zones, each with a fast replica of the model on two servers and a slow one
// on four.
type schedulerFixture struct {
	scheduler *scheduler
	view      *view
	route     *kwdeclaration.Route
}

func newSchedulerFixture(slots int) *schedulerFixture {
	engine := &kwdeclaration.Engine{
		Slots: slots, Layers: 80, LayerMB: 100, KVMBPerTokenLayer: 0.01, StepTime: time.Millisecond, TokensPerEvent: 3,
		PrefillTokensPerSecond: 100_000, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
		Accelerators: []kwdeclaration.Accelerator{{Name: "fast", MemoryMB: 50_000, StepTimeFactor: 2, PrefillTimeFactor: 3}, {Name: "slow", MemoryMB: 50_000, StepTimeFactor: 12, PrefillTimeFactor: 8}},
	}
	d := &kwdeclaration.Declaration{Number: 1, KeyCheck: kwdeclaration.KeyIgnored, Services: []kwdeclaration.Service{{Name: testService, Engine: engine}}}
	f := &schedulerFixture{
		scheduler: newScheduler(Config{Zone: "a", Queue: kwqueue.DefaultConfig(), Ejector: kwretry.DefaultEjectorConfig()}),
		route:     &kwdeclaration.Route{Name: "r", Kind: kwdeclaration.Streaming, Resumable: true, LatencyObjective: 500 * time.Millisecond, EventGapObjective: 200 * time.Millisecond},
	}
	v := emptyView()
	v.index = kwdeclaration.NewIndex(d)
	for _, zone := range []kwid.AvailabilityZone{"a", "b"} {
		for i := range 2 {
			v.addEndpoint(zone, "fast", i, kwid.LayerRange{From: kwid.Layer(40 * i), To: kwid.Layer(40*i + 40)})
		}
		for i := range 4 {
			v.addEndpoint(zone, "slow", i, kwid.LayerRange{From: kwid.Layer(20 * i), To: kwid.Layer(20*i + 20)})
		}
	}
	v.indexEndpoints()
	f.view = v
	f.scheduler.applyView(v, nil)
	return f
}

func (v *view) addEndpoint(zone kwid.AvailabilityZone, accelerator string, i int, layers kwid.LayerRange) {
	id := kwid.EndpointID(fmt.Sprintf("%s-%s-%d", zone, accelerator, i))
	v.endpoints[id] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: kwmembership.Announcement{
		ID: id, Service: testService, Zone: zone, Address: string(id) + ":1", Accelerator: accelerator, Layers: layers,
	}}
}

// chainRequest returns a request of typical size.
func (f *schedulerFixture) chainRequest(r *request) chainRequest {
	r.view = f.view
	return chainRequest{
		r: r, size: kwchainsearch.RequestSize{TotalTokens: 900, PromptTokens: 700}, currentView: func() *view { return f.view },
		exitTime: func() time.Time { return time.Time{} },
	}
}

// queueLen returns how many requests are queued.
func (f *schedulerFixture) queueLen() int {
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	return f.scheduler.dispatcher.Waiting()
}

// acquire reserves a chain for a new request and returns it with the ID of its first endpoint.
func (f *schedulerFixture) acquire(ctx context.Context) (chain kwchainsearch.Chain, first string, err error) {
	r := &request{route: f.route, service: testService, arrived: time.Now()}
	chain, _, err = f.scheduler.acquireChain(ctx, f.chainRequest(r))
	if err != nil {
		return chain, "", err
	}
	return chain, string(chain.First().Endpoint), nil
}

// fill reserves all slots of a fixture that has one slot for each replica, and returns the chains.
func (f *schedulerFixture) fill(t *testing.T) (reserved []kwchainsearch.Chain) {
	t.Helper()
	for range 4 {
		chain, _, err := f.acquire(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, chain)
	}
	return reserved
}

func TestSchedulerPrefersFastReplicaInOwnZone(t *testing.T) {
	f := newSchedulerFixture(100)
	if _, got, err := f.acquire(t.Context()); got != "a-fast-0" || err != nil {
		t.Errorf("got %q, %v, want a-fast-0", got, err)
	}
}

// A request has waited at a first endpoint for long: even before it times out, the next request must go elsewhere.
func TestSchedulerAvoidsSilentChain(t *testing.T) {
	f := newSchedulerFixture(100)
	f.scheduler.beginFirstEventWait("a-fast-0", time.Now().Add(-400*time.Millisecond))
	if _, got, err := f.acquire(t.Context()); got != "a-slow-0" || err != nil {
		t.Errorf("got %q, %v, want a-slow-0", got, err)
	}
}

// A burst at one entry must fill the fast replica of its own zone first, then all others, with each chain inside one
// zone. Further requests must queue, and the one that waits longest gets the next slot that is freed.
func TestSchedulerFillsSlotsThenQueues(t *testing.T) {
	const slots = 20
	f := newSchedulerFixture(slots)
	firsts := make(map[string]int)
	var last kwchainsearch.Chain
	for range 4 * (slots - 1) {
		chain, first, err := f.acquire(t.Context())
		if err != nil {
			t.Fatalf("after %v: %v", firsts, err)
		}
		zone := first[:1]
		for _, stage := range chain.Stages {
			if string(stage.Endpoint)[:1] != zone {
				t.Fatalf("got a chain across zones: %v", chain)
			}
		}
		firsts[first]++
		last = chain
	}
	for _, first := range []string{"a-fast-0", "a-slow-0", "b-fast-0", "b-slow-0"} {
		if got := firsts[first]; got != slots-1 {
			t.Errorf("requests that begin at %s: got %d, want %d", first, got, slots-1)
		}
	}
	got := make(chan string, 1)
	go func() {
		_, first, err := f.acquire(t.Context())
		got <- fmt.Sprint(first, err)
	}()
	time.Sleep(50 * time.Millisecond)
	f.scheduler.release(last, 900)
	if first := <-got; first != string(last.First().Endpoint)+"<nil>" {
		t.Errorf("the queued request got %s, want the slot at %s", first, last.First().Endpoint)
	}
	begin := time.Now()
	_, _, err := f.acquire(t.Context())
	if !kwcode.Is(err, kwcode.NoChain) && !kwcode.Is(err, kwcode.EntryOverloaded) || kwcode.FromError(err).RetryAfter <= 0 {
		t.Errorf("with no slot: got %v, want a rejection with a retry time", err)
	}
	if waited := time.Since(begin); waited > 3*f.route.LatencyObjective {
		t.Errorf("the rejection came after %v, want within three objectives of %v", waited, f.route.LatencyObjective)
	}
}

// A broken stream and an older new request wait for one slot: the broken stream must get it.
func TestSchedulerServesBrokenStreamsFirst(t *testing.T) {
	f := newSchedulerFixture(1)
	reserved := f.fill(t)
	order := make(chan string, 2)
	acquire := func(name string, r *request) {
		_, _, err := f.scheduler.acquireChain(t.Context(), f.chainRequest(r))
		if err != nil {
			name += " rejected"
		}
		order <- name
	}
	go acquire("new", &request{route: f.route, service: testService, arrived: time.Now()})
	time.Sleep(30 * time.Millisecond)
	go acquire("broken", &request{route: f.route, service: testService, broken: true})
	time.Sleep(30 * time.Millisecond)
	f.scheduler.release(reserved[0], 900)
	if got := <-order; got != "broken" {
		t.Errorf("first request to get a slot: got %q, want the broken stream", got)
	}
	if got := <-order; got != "new rejected" {
		t.Errorf("second request: got %q, want its rejection", got)
	}
}

// After an outage, a request that has waited for a view longer than its objective must let one go first that can still
// meet its own, and may wait longer itself.
func TestSchedulerServesOnTimeRequestsBeforeLateOnes(t *testing.T) {
	f := newSchedulerFixture(1)
	reserved := f.fill(t)
	order := make(chan string, 2)
	acquire := func(name string, arrived time.Time) {
		r := &request{route: f.route, service: testService, arrived: arrived}
		if _, _, err := f.scheduler.acquireChain(t.Context(), f.chainRequest(r)); err != nil {
			name += " rejected"
		}
		order <- name
	}
	go acquire("late", time.Now().Add(-2*f.route.LatencyObjective))
	time.Sleep(30 * time.Millisecond)
	go acquire("on time", time.Now())
	time.Sleep(30 * time.Millisecond)
	f.scheduler.release(reserved[0], 900)
	if got := <-order; got != "on time" {
		t.Errorf("first request to get a slot: got %q, want the one that can be on time", got)
	}
	time.Sleep(f.route.LatencyObjective)
	f.scheduler.release(reserved[1], 900)
	if got := <-order; got != "late" {
		t.Errorf("second request, after one more objective: got %q, want late", got)
	}
}

func TestSchedulerDequeuesOnCancel(t *testing.T) {
	f := newSchedulerFixture(1)
	f.fill(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := f.acquire(ctx); err == nil {
		t.Errorf("got a chain although no slot is free")
	}
	if got := f.queueLen(); got != 0 {
		t.Errorf("requests in the queue after their callers have left: got %d, want 0", got)
	}
}

// After a start of the whole fleet, requests of the outage arrive before any endpoint is known: they must wait for the
// first chain rather than be rejected.
func TestSchedulerQueuesWhileGathering(t *testing.T) {
	f := newSchedulerFixture(100)
	fullView := f.view
	f.view = emptyView()
	f.view.index, f.view.gathering = fullView.index, true
	f.view.indexEndpoints()
	got := make(chan error, 1)
	go func() {
		_, _, err := f.acquire(t.Context())
		got <- err
	}()
	for f.queueLen() == 0 && len(got) == 0 {
		time.Sleep(time.Millisecond)
	}
	f.scheduler.mu.Lock()
	f.view = fullView
	f.scheduler.mu.Unlock()
	f.scheduler.applyView(fullView, nil)
	if err := <-got; err != nil {
		t.Errorf("got %v, want a chain", err)
	}
}

// A stream must reserve its prompt and the whole answer that its caller expects, or else allows: with half the answer,
// engines were overfilled, preempted requests and stayed full.
func TestEstimateSizeReservesWholeAnswer(t *testing.T) {
	cases := []struct {
		prompt, estimate, maxAnswer int
		want                        float64
	}{{700, 200, 400, 900}, {700, 0, 400, 1100}, {700, 600, 400, 1100}}
	for _, c := range cases {
		q := &request{meta: kwupstream.RequestMeta{PromptTokens: c.prompt, EstimatedAnswerTokens: c.estimate, MaxAnswerTokens: c.maxAnswer}}
		if got := estimateSize(q); got.TotalTokens != c.want || got.PromptTokens != float64(c.prompt) {
			t.Errorf("prompt %d, estimate %d, limit %d: got %+v, want %v tokens", c.prompt, c.estimate, c.maxAnswer, got, c.want)
		}
	}
}

// TestDispatchRequestHasAnswerBounds checks that the dispatcher learns what the caller says of the length of the answer.
func TestDispatchRequestHasAnswerBounds(t *testing.T) {
	f := newSchedulerFixture(1)
	q := &request{route: f.route, service: testService, meta: kwupstream.RequestMeta{EstimatedAnswerTokens: 200, MaxAnswerTokens: 300}}
	got := f.chainRequest(q).dispatchRequest(t.Context())
	if got.AnswerTokens != 200 || got.MaxAnswerTokens != 300 {
		t.Errorf("got %d tokens expected and %d at most, want 200 and 300", got.AnswerTokens, got.MaxAnswerTokens)
	}
}

// TestForecastOutlivesServiceInView checks that what is learned of a service is kept while the declaration or an endpoint has it, and
// forgotten afterwards.
func TestForecastOutlivesServiceInView(t *testing.T) {
	const left = 250 * time.Millisecond
	f := newSchedulerFixture(1)
	for i := range 100 {
		f.scheduler.observe(testService, kwdispatch.Answer{EstimatedTokens: 200, Tokens: 10 + i%2, ExpectedTokenTime: time.Millisecond, TokenTime: time.Millisecond})
	}
	chain, _, err := f.acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	chain.TokenTime = time.Millisecond
	time.Sleep(2 * left)
	undeclared, gone := *f.view, emptyView()
	undeclared.index = kwdeclaration.NewIndex(&kwdeclaration.Declaration{Number: 2})
	undeclared.indexEndpoints()
	r := &request{route: f.route, service: testService, meta: kwupstream.RequestMeta{EstimatedAnswerTokens: 200}}
	cases := []struct {
		name string
		view *view
		want bool
	}{{"same view", f.view, true}, {"endpoints of an undeclared service", &undeclared, true}, {"no service", gone, false}}
	for _, c := range cases {
		f.scheduler.applyView(c.view, nil)
		req := f.chainRequest(r)
		exit := time.Now().Add(left)
		req.exitTime = func() time.Time { return exit }
		chain.PrefillTime = 0
		if got := f.scheduler.dispatcher.EndsInTime(time.Now(), chain, req.dispatchRequest(t.Context())); got != c.want {
			t.Errorf("%s: got %v that an answer of 10 ms, estimated at 200 ms, ends in time, want %v", c.name, got, c.want)
		}
	}
}

// TestSchedulerWakesShedRequests checks that a request which urgent ones displace gets its rejection at once, and not when its wait is
// over.
func TestSchedulerWakesShedRequests(t *testing.T) {
	f := newSchedulerFixture(1)
	f.fill(t)
	for i := range 30 {
		f.scheduler.dispatcher.Release(time.Now().Add(time.Duration(i-30)*500*time.Millisecond), kwchainsearch.Chain{}, 0)
	}
	// About two requests leave in a second, so that only one can expect its turn in 1.05 s.
	route := func(priority int) *kwdeclaration.Route {
		r := *f.route
		r.Priority, r.LatencyObjective = priority, 1500*time.Millisecond
		return &r
	}
	rejected := make(chan error, 1)
	begin := time.Now()
	go func() {
		_, _, err := f.scheduler.acquireChain(t.Context(), f.chainRequest(&request{route: route(2), service: testService, arrived: begin}))
		rejected <- err
	}()
	for f.queueLen() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		go func() {
			_, _, _ = f.scheduler.acquireChain(t.Context(), f.chainRequest(&request{route: route(0), service: testService, arrived: begin}))
		}()
	}
	err := <-rejected
	if got := kwcode.FromError(err).Code; got != kwcode.EntryOverloaded {
		t.Errorf("got %v, want %v", err, kwcode.EntryOverloaded)
	}
	if got := time.Since(begin); got > 700*time.Millisecond {
		t.Errorf("got the rejection after %v, want it at once", got)
	}
}

// TestDispatchRequestHasWaitOfService checks that a request carries the longest objective of the less urgent classes of its service, at its
// workspace's priority, and that its caller comes back: without them, the dispatcher goes by the request's own objective alone.
func TestDispatchRequestHasWaitOfService(t *testing.T) {
	f := newSchedulerFixture(1)
	target := []kwdeclaration.Target{{Service: testService, Weight: 1}}
	urgent, background := *f.route, *f.route
	urgent.Targets, background.Targets = target, target
	urgent.Priority, background.Priority, background.LatencyObjective = 1, 2, 1200*time.Millisecond
	f.view.index = kwdeclaration.NewIndex(&kwdeclaration.Declaration{Number: 1, KeyCheck: kwdeclaration.KeyIgnored, Routes: []kwdeclaration.Route{urgent, background}})
	last := 3
	for _, c := range []struct {
		workspace *kwdeclaration.Workspace
		want      time.Duration
	}{{nil, 1200 * time.Millisecond}, {&kwdeclaration.Workspace{Priority: &last}, 0}} {
		r := &request{route: &urgent, service: testService, workspace: c.workspace, arrived: time.Now(), returning: true}
		got := f.chainRequest(r).dispatchRequest(t.Context())
		if got.WaitObjective != c.want || !got.Returning {
			t.Errorf("workspace %+v: got a wait objective of %v, returning %t, want %v, true", c.workspace, got.WaitObjective, got.Returning, c.want)
		}
	}
	now := time.Now()
	for i, want := range []bool{false, true} {
		if got := f.scheduler.observeCaller(now, "r", time.Duration(2-i)*time.Second); got != want {
			t.Errorf("caller with %d s left: got %t, want %t", 2-i, got, want)
		}
	}
}
