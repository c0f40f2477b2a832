package kwdirectentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwupstream"
)

const testService = kwid.ServiceName("llm")

// bench is a chooser over two zones, each with a fast copy on two servers and a slow one on four.
type bench struct {
	chooser *chooser
	view    *view
	route   *kwdeclaration.Route
}

func newBench(slots int) *bench {
	engine := &kwdeclaration.Engine{
		Slots: slots, Layers: 80, LayerMB: 100, KVMBPerTokenLayer: 0.01, StepTime: time.Millisecond, TokensPerEvent: 3,
		PrefillTokensPerSecond: 100_000, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
		Accelerators: []kwdeclaration.Accelerator{{Name: "fast", MemoryMB: 50_000, StepTimeFactor: 2, PrefillTimeFactor: 3}, {Name: "slow", MemoryMB: 50_000, StepTimeFactor: 12, PrefillTimeFactor: 8}},
	}
	d := &kwdeclaration.Declaration{Number: 1, Services: []kwdeclaration.Service{{Name: testService, Engine: engine}}}
	b := &bench{
		chooser: newChooser(Config{Zone: "a", Admission: kwqueue.DefaultConfig(), Ejection: kwretry.DefaultEjectorConfig()}),
		route:   &kwdeclaration.Route{Name: "r", Kind: kwdeclaration.Streaming, Resumable: true, LatencyObjective: 500 * time.Millisecond, EventGapObjective: 200 * time.Millisecond},
	}
	v := emptyView()
	v.index = kwdeclaration.NewIndex(d)
	for _, zone := range []kwid.AvailabilityZone{"a", "b"} {
		for i := range 2 {
			v.add(zone, "fast", i, kwid.LayerRange{From: kwid.Layer(40 * i), To: kwid.Layer(40*i + 40)})
		}
		for i := range 4 {
			v.add(zone, "slow", i, kwid.LayerRange{From: kwid.Layer(20 * i), To: kwid.Layer(20*i + 20)})
		}
	}
	v.group()
	b.view = v
	b.chooser.update(v, nil)
	return b
}

func (v *view) add(zone kwid.AvailabilityZone, accelerator string, i int, layers kwid.LayerRange) {
	id := kwid.EndpointID(fmt.Sprintf("%s-%s-%d", zone, accelerator, i))
	v.endpoints[id] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: kwmembership.Announcement{
		ID: id, Service: testService, Zone: zone, Address: string(id) + ":1", Accelerator: accelerator, Layers: layers,
	}}
}

// wish returns what a usual request wants.
func (b *bench) wish(r *request) wish {
	return wish{r: r, need: kwchainsearch.RequestSize{TotalTokens: 900, PromptTokens: 700}, view: func() *view { return b.view }}
}

// waiting returns how many requests wait for room.
func (b *bench) waiting() int {
	b.chooser.mu.Lock()
	defer b.chooser.mu.Unlock()
	return b.chooser.queue.Len()
}

// choose asks for a chain and names its first endpoint and the zones it meets.
func (b *bench) choose(ctx context.Context) (chain kwchainsearch.Chain, first string, err error) {
	r := &request{route: b.route, service: testService, arrived: time.Now()}
	chain, _, err = b.chooser.chain(ctx, b.wish(r))
	if err != nil {
		return chain, "", err
	}
	return chain, string(chain.First().Endpoint), nil
}

// fill takes the one slot of each copy, and returns the chains.
func (b *bench) fill(t *testing.T) (taken []kwchainsearch.Chain) {
	t.Helper()
	for range 4 {
		chain, _, err := b.choose(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, chain)
	}
	return taken
}

func TestChooserTakesTheFastCopyAtHome(t *testing.T) {
	b := newBench(100)
	if _, got, err := b.choose(t.Context()); got != "a-fast-0" || err != nil {
		t.Errorf("got %q, %v, want a-fast-0", got, err)
	}
}

// TestChooserLeavesAChainThatIsSilent replays a first endpoint on which a request has waited for long: before anything
// has timed out, the next request goes elsewhere.
func TestChooserLeavesAChainThatIsSilent(t *testing.T) {
	b := newBench(100)
	b.chooser.begin("a-fast-0", time.Now().Add(-400*time.Millisecond))
	if _, got, err := b.choose(t.Context()); got != "a-slow-0" || err != nil {
		t.Errorf("got %q, %v, want a-slow-0", got, err)
	}
}

// TestChooserFillsSlots replays a rush at one entry: the fast copy at home fills first, then every other one, each chain
// within one zone; then requests wait, and the one that has waited gets the slot that is freed.
func TestChooserFillsSlots(t *testing.T) {
	const slots = 20
	b := newBench(slots)
	firsts := make(map[string]int)
	var last kwchainsearch.Chain
	for range 4 * (slots - 1) {
		chain, first, err := b.choose(t.Context())
		if err != nil {
			t.Fatalf("after %v: %v", firsts, err)
		}
		zone := first[:1]
		for _, p := range chain.Stages {
			if string(p.Endpoint)[:1] != zone {
				t.Fatalf("a chain across zones: %v", chain)
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
		_, first, err := b.choose(t.Context())
		got <- fmt.Sprint(first, err)
	}()
	time.Sleep(50 * time.Millisecond)
	b.chooser.release(last, 900)
	if first := <-got; first != string(last.First().Endpoint)+"<nil>" {
		t.Errorf("the request that waited got %s, want the slot at %s", first, last.First().Endpoint)
	}
	begin := time.Now()
	_, _, err := b.choose(t.Context())
	if !kwcode.Is(err, kwcode.NoChain) && !kwcode.Is(err, kwcode.EntryOverloaded) || kwcode.FromError(err).RetryAfter <= 0 {
		t.Errorf("with no slot: got %v, want a rejection with a time to come back", err)
	}
	if waited := time.Since(begin); waited > 3*b.route.LatencyObjective {
		t.Errorf("the rejection came after %v, want within three objectives of %v", waited, b.route.LatencyObjective)
	}
}

// TestChooserLeavesRoomForOthersAfterAStart replays the seconds after all entries were lost: each takes its part of the
// slots, though no report of the others has come.
func TestChooserLeavesRoomForOthersAfterAStart(t *testing.T) {
	const slots, entries = 20, 8
	b := newBench(slots)
	b.view.entries = entries
	b.chooser.update(b.view, nil)
	firsts := make(map[string]int)
	ctx, cancel := context.WithTimeout(t.Context(), rushTime/5)
	defer cancel()
	var taken []kwchainsearch.Chain
	for {
		chain, first, err := b.choose(ctx)
		if err != nil {
			break
		}
		firsts[first]++
		taken = append(taken, chain)
	}
	if got, most := firsts["a-fast-0"], slots/(entries/2); got == 0 || got > most {
		t.Errorf("slots taken at home: got %d, want %d at most", got, most)
	}
	for _, chain := range taken {
		b.chooser.release(chain, 900)
	}
	b.chooser.first = time.Now().Add(-2 * rushTime)
	for range slots / 2 {
		if _, _, err := b.choose(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if _, got, err := b.choose(t.Context()); got != "a-fast-0" || err != nil {
		t.Errorf("once reports have had their time: got %q, %v, want a-fast-0", got, err)
	}
}

// TestChooserTakesBrokenStreamsFirst lets a stream that has broken off and an older new request wait for one slot.
func TestChooserTakesBrokenStreamsFirst(t *testing.T) {
	b := newBench(1)
	taken := b.fill(t)
	order := make(chan string, 2)
	wait := func(name string, r *request) {
		_, _, err := b.chooser.chain(t.Context(), b.wish(r))
		if err != nil {
			name += " rejected"
		}
		order <- name
	}
	go wait("new", &request{route: b.route, service: testService, arrived: time.Now()})
	time.Sleep(30 * time.Millisecond)
	go wait("broken", &request{route: b.route, service: testService, broken: true})
	time.Sleep(30 * time.Millisecond)
	b.chooser.release(taken[0], 900)
	if got := <-order; got != "broken" {
		t.Errorf("the first to get a slot: got %q, want the broken stream", got)
	}
	if got := <-order; got != "new rejected" {
		t.Errorf("the other: got %q, want its rejection", got)
	}
}

// TestChooserTakesRequestsInTimeFirst replays the end of an outage: a request that has waited for a view longer than its
// objective lets one that can still be in time go first, and waits for longer itself.
func TestChooserTakesRequestsInTimeFirst(t *testing.T) {
	b := newBench(1)
	taken := b.fill(t)
	order := make(chan string, 2)
	wait := func(name string, arrived time.Time) {
		r := &request{route: b.route, service: testService, arrived: arrived}
		if _, _, err := b.chooser.chain(t.Context(), b.wish(r)); err != nil {
			name += " rejected"
		}
		order <- name
	}
	go wait("late", time.Now().Add(-2*b.route.LatencyObjective))
	time.Sleep(30 * time.Millisecond)
	go wait("in time", time.Now())
	time.Sleep(30 * time.Millisecond)
	b.chooser.release(taken[0], 900)
	if got := <-order; got != "in time" {
		t.Errorf("the first to get a slot: got %q, want the request that can be in time", got)
	}
	time.Sleep(b.route.LatencyObjective)
	b.chooser.release(taken[1], 900)
	if got := <-order; got != "late" {
		t.Errorf("the other, after one more objective: got %q, want late", got)
	}
}

func TestChooserStopsWaitingWithItsCaller(t *testing.T) {
	b := newBench(1)
	b.fill(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := b.choose(ctx); err == nil {
		t.Errorf("got a chain without a slot")
	}
	if got := b.waiting(); got != 0 {
		t.Errorf("requests that wait after their callers have left: got %d, want 0", got)
	}
}

// TestChooserWaitsWhileGathering replays the start of everything: the requests of the whole outage are there before a single
// endpoint is known; they wait, and take the chain that comes up.
func TestChooserWaitsWhileGathering(t *testing.T) {
	b := newBench(100)
	whole := b.view
	b.view = emptyView()
	b.view.index, b.view.partial = whole.index, true
	b.view.group()
	got := make(chan error, 1)
	go func() {
		_, _, err := b.choose(t.Context())
		got <- err
	}()
	for b.waiting() == 0 && len(got) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.chooser.mu.Lock()
	b.view = whole
	b.chooser.mu.Unlock()
	b.chooser.update(whole, nil)
	if err := <-got; err != nil {
		t.Errorf("got %v, want a chain", err)
	}
}

// TestNeedIsWhole asks what a stream reserves: its prompt and the whole of the answer that its caller expects, or that it
// allows at most. Engines that were filled by half the answer put requests back and stayed full.
func TestNeedIsWhole(t *testing.T) {
	cases := []struct {
		prompt, hint, most int
		want               float64
	}{{700, 200, 400, 900}, {700, 0, 400, 1100}, {700, 600, 400, 1100}}
	for _, c := range cases {
		q := &request{call: kwupstream.RequestMeta{PromptTokens: c.prompt, EstimatedAnswerTokens: c.hint, MaxAnswerTokens: c.most}}
		if got := needOf(q); got.TotalTokens != c.want || got.PromptTokens != float64(c.prompt) {
			t.Errorf("prompt %d, hint %d, limit %d: got %+v, want %v tokens", c.prompt, c.hint, c.most, got, c.want)
		}
	}
}
