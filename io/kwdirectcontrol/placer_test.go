package kwdirectcontrol

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
)

const testService = kwid.ServiceName("llm")

// testDecoder reads every declaration as one of an engine whose layers have the size that the content gives, in MB.
type testDecoder struct{}

func (testDecoder) Decode(content []byte) (*kwdeclaration.Declaration, error) {
	var layerMB float64
	if _, err := fmt.Sscan(string(content), &layerMB); err != nil {
		return nil, err
	}
	return &kwdeclaration.Declaration{Services: []kwdeclaration.Service{{Name: testService, Engine: &kwdeclaration.Engine{
		StepTime: time.Millisecond, StepTimePerSequence: 7 * time.Microsecond, StepTimePerKiloToken: 10 * time.Microsecond,
		Slots: 100, Layers: 10, LayerMB: layerMB, KVMBPerTokenLayer: 0.01, TypicalPromptTokens: 700, TypicalAnswerTokens: 200, ConcurrentLoads: 5,
		LoadTime: time.Second, Accelerators: []kwdeclaration.Accelerator{{Name: "gpu", MemoryMB: 10_000, StepTimeFactor: 1, PrefillTimeFactor: 1}},
	}}}}, nil
}

// order is what an engine was asked.
type order struct {
	address string
	layers  kwid.LayerRange
}

// testEngines notes orders and accepts them.
type testEngines struct {
	mu     sync.Mutex
	orders []order
}

func (e *testEngines) Place(_ context.Context, address string, layers kwid.LayerRange, _ uint64) (OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, order{address, layers})
	return OrderBegun, nil
}

func (e *testEngines) State(context.Context, string) (EngineState, error) { return EngineState{}, nil }

// placing is a placer on a fake clock; what it runs in the background waits until the test lets it.
type placing struct {
	t       *testing.T
	now     time.Time
	board   *kwreconcile.Tables
	placer  *placer
	engines testEngines
	waiting []func()
}

func newPlacing(t *testing.T) *placing {
	events := kwevent.New(kwevent.Config{Node: "c", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), MaxRecords: 16})
	p := &placing{t: t, now: time.Unix(1000, 0)}
	p.board = &kwreconcile.Tables{
		State: kwstatemachine.New(stateConfig()), Roster: kwmembership.NewRoster(kwmembership.RosterConfig{Lease: 4 * time.Second, Retention: time.Minute}),
		Leading: true, Epoch: 1,
	}
	p.placer = newPlacer(placerConfig{Decoder: testDecoder{}, Engines: &p.engines, Events: events, Run: func(f func()) { p.waiting = append(p.waiting, f) }})
	p.declare(1, "400")
	return p
}

func (p *placing) declare(number kwdeclaration.Number, content string) {
	p.t.Helper()
	packed, err := kwdirectproto.Compress([]byte(content))
	if err != nil {
		p.t.Fatal(err)
	}
	p.board.State.Apply(kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: number, Content: packed}})
}

// beat announces a server with what it holds.
func (p *placing) beat(id kwid.EndpointID, address string, seq uint64, layers kwid.LayerRange) {
	p.board.Roster.Announce(p.now, kwmembership.Announcement{
		ID: id, Service: testService, Address: address, Zone: "a", Sequence: seq, StartedMillis: 1, Accelerator: "gpu", Layers: layers,
	})
}

// look lets some time pass and runs the placer once.
func (p *placing) look(after time.Duration) {
	p.now = p.now.Add(after)
	p.placer.Run(p.now, p.board)
}

// work runs what waits in the background.
func (p *placing) work() {
	waiting := p.waiting
	p.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// settle looks and works until nothing is left to do, and returns the orders that were given.
func (p *placing) settle() []order {
	for range 10 {
		p.look(planPeriod)
		p.work()
	}
	out := p.engines.orders
	p.engines.orders = nil
	return out
}

// obeyAll has the servers announce what they were ordered to hold.
func (p *placing) obeyAll(orders []order, ids map[string]kwid.EndpointID, seq uint64) {
	for _, o := range orders {
		p.beat(ids[o.address], o.address, seq, o.layers)
	}
}

// TestPlacerDoesNotWaitForPlans has a plan in the making while heartbeats go on: the placer returns at once, makes no
// second plan, and gives the orders when the plan is there.
func TestPlacerDoesNotWaitForPlans(t *testing.T) {
	p := newPlacing(t)
	p.beat("e1", "x:1", 1, kwid.LayerRange{})
	p.beat("e2", "x:2", 1, kwid.LayerRange{})
	p.look(planPeriod)
	p.look(settleTime)
	for range 5 {
		p.look(planPeriod)
	}
	if got := len(p.waiting); got != 1 {
		t.Fatalf("got %d plans in the making, want 1", got)
	}
	if got := len(p.engines.orders); got != 0 {
		t.Errorf("got %d orders before the plan, want none", got)
	}
	if got := p.settle(); len(got) != 2 {
		t.Errorf("got orders %v, want one for each server", got)
	}
}

// TestPlacerDropsStaleOrders has a server leave and another come with layers while a plan is made: neither gets its order.
func TestPlacerDropsStaleOrders(t *testing.T) {
	p := newPlacing(t)
	for i, id := range []kwid.EndpointID{"e1", "e2", "e3"} {
		p.beat(id, fmt.Sprintf("x:%d", i+1), 1, kwid.LayerRange{})
	}
	p.look(planPeriod)
	p.look(settleTime)
	p.board.Roster.Deregister(p.now, "e1", 1)
	p.beat("e2", "x:2", 2, kwid.LayerRange{To: 10})
	p.work()
	p.look(planPeriod)
	p.work()
	for _, o := range p.engines.orders {
		if o.address == "x:1" || o.address == "x:2" {
			t.Errorf("got an order to %s, whose state has changed since the plan", o.address)
		}
	}
}

// TestPlacerAtAServersReturn replays a crash: the server that starts again at the same address is ordered at once, while
// one at a new address waits for the server that it may replace to say that it leaves.
func TestPlacerAtAServersReturn(t *testing.T) {
	for _, c := range []struct {
		name, address string
		want          bool
	}{{"in place", "x:2", true}, {"elsewhere", "x:9", false}} {
		p := newPlacing(t)
		ids := map[string]kwid.EndpointID{"x:1": "e1", "x:2": "e2", "x:3": "e3", "x:4": "e4"}
		for address, id := range ids {
			p.beat(id, address, 1, kwid.LayerRange{})
		}
		p.look(planPeriod)
		p.look(settleTime)
		p.obeyAll(p.settle(), ids, 2)
		p.obeyAll(p.settle(), ids, 3)
		for _, by := range []kwid.NodeID{"a", "b"} {
			p.board.Roster.ReportRefusal(p.now, "e2", 1, by, 2)
		}
		p.settle()
		p.beat("new", c.address, 1, kwid.LayerRange{})
		ordered := slices.ContainsFunc(p.settle(), func(o order) bool { return o.address == c.address })
		if ordered != c.want {
			t.Errorf("%s: ordered at once: got %t, want %t", c.name, ordered, c.want)
		}
	}
}

// TestPlacerSeesAnotherEngine has a new declaration describe larger layers: the unchanged fleet is planned anew.
func TestPlacerSeesAnotherEngine(t *testing.T) {
	p := newPlacing(t)
	ids := map[string]kwid.EndpointID{"x:1": "e1", "x:2": "e2"}
	for address, id := range ids {
		p.beat(id, address, 1, kwid.LayerRange{})
	}
	p.look(planPeriod)
	p.look(settleTime)
	p.obeyAll(p.settle(), ids, 2)
	p.settle()
	p.declare(2, "400")
	p.look(planPeriod)
	if got := len(p.waiting); got != 0 {
		t.Errorf("got %d plans after a declaration with the same engine, want none", got)
	}
	p.declare(3, "500")
	p.look(planPeriod)
	if got := len(p.waiting); got != 1 {
		t.Errorf("got %d plans after a declaration with another engine, want 1", got)
	}
}

// TestPlacerBoundsOrders starts a large fleet: no more orders than the bound wait for an answer at a time.
func TestPlacerBoundsOrders(t *testing.T) {
	p := newPlacing(t)
	const servers = 3 * ordersAtOnce
	for i := range servers {
		p.beat(kwid.EndpointID(fmt.Sprint("e", i)), fmt.Sprint("x:", i), 1, kwid.LayerRange{})
	}
	p.look(planPeriod)
	p.look(settleTime)
	p.work()
	p.look(planPeriod)
	if got := len(p.waiting); got > ordersAtOnce {
		t.Errorf("got %d orders at once, want %d at most", got, ordersAtOnce)
	}
	if got := len(p.settle()); got != servers {
		t.Errorf("got %d orders in the end, want %d", got, servers)
	}
}
