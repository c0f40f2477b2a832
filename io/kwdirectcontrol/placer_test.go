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
	"knapweedproxy/core/kwplacement"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
)

const testService = kwid.ServiceName("llm")

// testDecoder decodes any content as the declaration of one service; the content is the size of a layer in MB.
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

// placeCall is a call of EngineClient.Place.
type placeCall struct {
	endpoint kwid.EndpointID
	address  string
	layers   kwid.LayerRange
}

// testEngines records orders and accepts all of them.
type testEngines struct {
	mu     sync.Mutex
	orders []placeCall
	// leaving makes all responses say that the engine's endpoint leaves.
	leaving bool
}

func (e *testEngines) Place(_ context.Context, endpoint kwid.EndpointID, address string, layers kwid.LayerRange, _ uint64) (OrderReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, placeCall{endpoint, address, layers})
	return OrderReply{Result: OrderBegun, Leaving: e.leaving}, nil
}

func (e *testEngines) State(context.Context, kwid.EndpointID, string) (EngineState, error) {
	return EngineState{}, nil
}

// placerHarness runs a placer on a fake clock. Its background functions are queued until the test runs them.
type placerHarness struct {
	t          *testing.T
	now        time.Time
	tables     *kwreconcile.Tables
	placer     *placer
	engines    testEngines
	background []func()
	leavers    []kwmembership.Process
}

func newPlacerHarness(t *testing.T) *placerHarness {
	events := kwevent.New(kwevent.Config{Node: "c", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), MaxRecords: 16})
	p := &placerHarness{t: t, now: time.Unix(1000, 0)}
	p.tables = &kwreconcile.Tables{
		State: kwstatemachine.New(stateMachineConfig()), Roster: kwmembership.NewRoster(kwmembership.RosterConfig{Lease: 4 * time.Second, Retention: time.Minute}),
		Leading: true, Epoch: 1,
	}
	p.placer = newPlacer(placerConfig{
		Decoder: testDecoder{}, Engines: &p.engines, Events: events, Run: func(f func()) { p.background = append(p.background, f) },
		ReportLeaving: func(process kwmembership.Process) { p.leavers = append(p.leavers, process) },
	})
	p.declare(1, "400")
	return p
}

func (p *placerHarness) declare(number kwdeclaration.Number, content string) {
	p.t.Helper()
	compressed, err := kwdirectproto.Compress([]byte(content))
	if err != nil {
		p.t.Fatal(err)
	}
	p.tables.State.Apply(kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: number, Content: compressed}})
}

// heartbeat announces a server and the layers that it holds.
func (p *placerHarness) heartbeat(id kwid.EndpointID, address string, seq uint64, layers kwid.LayerRange) {
	p.tables.Roster.Announce(p.now, kwmembership.Announcement{
		ID: id, Service: testService, Address: address, Zone: "a", Sequence: seq, StartedMillis: 1, Accelerator: "gpu", Layers: layers,
	})
}

// runAfter advances the clock and runs the placer once.
func (p *placerHarness) runAfter(after time.Duration) {
	p.now = p.now.Add(after)
	p.placer.Run(p.now, p.tables)
}

// runBackground runs the queued background functions.
func (p *placerHarness) runBackground() {
	queued := p.background
	p.background = nil
	for _, f := range queued {
		f()
	}
}

// settle runs the placer and its background functions ten times, and returns the orders that were sent.
func (p *placerHarness) settle() []placeCall {
	for range 10 {
		p.runAfter(planInterval)
		p.runBackground()
	}
	out := p.engines.orders
	p.engines.orders = nil
	return out
}

// announceOrdered has the servers announce the layers that they were ordered to hold.
func (p *placerHarness) announceOrdered(orders []placeCall, ids map[string]kwid.EndpointID, seq uint64) {
	for _, o := range orders {
		p.heartbeat(ids[o.address], o.address, seq, o.layers)
	}
}

// TestPlacerDoesNotWaitForPlans runs the placer while a plan is still being computed: it must start no second plan and
// send no orders before the plan is finished.
func TestPlacerDoesNotWaitForPlans(t *testing.T) {
	p := newPlacerHarness(t)
	p.heartbeat("e1", "x:1", 1, kwid.LayerRange{})
	p.heartbeat("e2", "x:2", 1, kwid.LayerRange{})
	p.runAfter(planInterval)
	p.runAfter(settleTime)
	for range 5 {
		p.runAfter(planInterval)
	}
	if got := len(p.background); got != 1 {
		t.Fatalf("got %d plans being computed, want 1", got)
	}
	if got := len(p.engines.orders); got != 0 {
		t.Errorf("got %d orders before the plan was finished, want none", got)
	}
	if got := p.settle(); len(got) != 2 {
		t.Errorf("got orders %v, want one for each server", got)
	}
}

// TestPlacerReportsLeavers has a server say in its response to an order that it leaves, which must be reported.
func TestPlacerReportsLeavers(t *testing.T) {
	p := newPlacerHarness(t)
	p.engines.leaving = true
	p.heartbeat("e1", "x:1", 1, kwid.LayerRange{})
	p.heartbeat("e2", "x:2", 1, kwid.LayerRange{})
	p.runAfter(planInterval)
	p.runAfter(settleTime)
	p.settle()
	if want := (kwmembership.Process{Endpoint: "e1", StartedMillis: 1}); !slices.Contains(p.leavers, want) {
		t.Errorf("reported leavers: got %v, want %v among them", p.leavers, want)
	}
}

// TestPlacerDropsStaleOrders has one server leave and another announce layers while a plan is being computed: neither
// may get the order that was planned for its former state.
func TestPlacerDropsStaleOrders(t *testing.T) {
	p := newPlacerHarness(t)
	for i, id := range []kwid.EndpointID{"e1", "e2", "e3"} {
		p.heartbeat(id, fmt.Sprintf("x:%d", i+1), 1, kwid.LayerRange{})
	}
	p.runAfter(planInterval)
	p.runAfter(settleTime)
	p.tables.Roster.Deregister(p.now, "e1", 1)
	p.heartbeat("e2", "x:2", 2, kwid.LayerRange{To: 10})
	p.runBackground()
	p.runAfter(planInterval)
	p.runBackground()
	for _, o := range p.engines.orders {
		if o.address == "x:1" || o.address == "x:2" {
			t.Errorf("got an order to %s, whose state has changed since the plan was started", o.address)
		}
	}
}

// TestPlacerReplacesCrashedServer crashes a server and starts a new one. At the same address it must get an order at
// once; at a new address it must wait, since the server that it may replace has perhaps not yet announced that it
// leaves.
func TestPlacerReplacesCrashedServer(t *testing.T) {
	for _, c := range []struct {
		name, address string
		want          bool
	}{{"same address", "x:2", true}, {"elsewhere", "x:9", false}} {
		p := newPlacerHarness(t)
		ids := map[string]kwid.EndpointID{"x:1": "e1", "x:2": "e2", "x:3": "e3", "x:4": "e4"}
		for address, id := range ids {
			p.heartbeat(id, address, 1, kwid.LayerRange{})
		}
		p.runAfter(planInterval)
		p.runAfter(settleTime)
		p.announceOrdered(p.settle(), ids, 2)
		p.announceOrdered(p.settle(), ids, 3)
		for _, by := range []kwid.NodeID{"a", "b"} {
			p.tables.Roster.ReportRefusal(p.now, "e2", 1, by, 2)
		}
		p.settle()
		p.heartbeat("new", c.address, 1, kwid.LayerRange{})
		ordered := slices.ContainsFunc(p.settle(), func(o placeCall) bool { return o.address == c.address })
		if ordered != c.want {
			t.Errorf("%s: ordered at once: got %t, want %t", c.name, ordered, c.want)
		}
	}
}

// TestPlacerAwaitsReturn guards against rearranging a zone while a crashed server may return, or while orders of an earlier leader
// may be in progress: plans must be told so for returnWait, but not once a server has started at the address of the crashed one.
func TestPlacerAwaitsReturn(t *testing.T) {
	p := newPlacerHarness(t)
	p.heartbeat("e1", "x:1", 1, kwid.LayerRange{To: 10})
	p.heartbeat("e2", "x:2", 1, kwid.LayerRange{To: 10})
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"a new leader", func() {}, true},
		{"a leader of some time", func() { p.now = p.now.Add(returnWait) }, false},
		{"after a departure", func() { p.tables.Roster.Deregister(p.now, "e2", 1) }, true},
		{"after a start at the same address", func() { p.heartbeat("e3", "x:2", 1, kwid.LayerRange{To: 10}) }, false},
		{"after another departure", func() { p.tables.Roster.Deregister(p.now, "e3", 1) }, true},
		{"when the server has not returned in time", func() { p.now = p.now.Add(returnWait) }, false},
	}
	for _, s := range steps {
		s.do()
		p.settle()
		if got := p.placer.planned[testService][0].PeerMayReturn; got != s.want {
			t.Errorf("%s: a server may return: got %t, want %t", s.name, got, s.want)
		}
	}
}

// TestPlacerKeepsLayersOfDeparted has a server depart while a plan is being computed by which another one gives up the same
// layers: it must keep them.
func TestPlacerKeepsLayersOfDeparted(t *testing.T) {
	for _, departs := range []bool{false, true} {
		p := newPlacerHarness(t)
		p.heartbeat("e1", "x:1", 1, kwid.LayerRange{To: 10})
		p.heartbeat("e2", "x:2", 1, kwid.LayerRange{To: 10})
		p.settle()
		planned := plan{epoch: 1, service: testService, servers: p.placer.planned[testService], orders: []kwplacement.Order{{Endpoint: "e1", Layers: kwid.LayerRange{To: 5}}}}
		if departs {
			p.tables.Roster.Deregister(p.now, "e2", 1)
		}
		p.placer.finishedPlans = append(p.placer.finishedPlans, planned)
		if got := len(p.settle()) > 0; got == departs {
			t.Errorf("a holder of the same layers departed: %t; gave up layers: got %t, want %t", departs, got, !departs)
		}
	}
}

// TestPlacerSurvivesImpossibleLayers guards against a server that ends each leader in turn by a range of layers that cannot exist.
func TestPlacerSurvivesImpossibleLayers(t *testing.T) {
	p := newPlacerHarness(t)
	p.heartbeat("bad", "x:1", 1, kwid.LayerRange{From: -3, To: 5})
	p.heartbeat("reversed", "x:2", 1, kwid.LayerRange{From: 5, To: 2})
	p.heartbeat("e1", "x:3", 1, kwid.LayerRange{To: 5})
	p.heartbeat("e2", "x:4", 1, kwid.LayerRange{})
	p.runAfter(planInterval)
	p.runAfter(settleTime)
	orders := p.settle()
	if len(orders) == 0 || slices.ContainsFunc(orders, func(o placeCall) bool { return o.address == "x:1" || o.address == "x:2" }) {
		t.Errorf("got orders %v, want some, but none to the servers with impossible layers", orders)
	}
}

// TestPlacerReplansChangedEngine guards against keeping the old placement when a new declaration changes only the
// engine: the unchanged fleet must be planned again.
func TestPlacerReplansChangedEngine(t *testing.T) {
	p := newPlacerHarness(t)
	ids := map[string]kwid.EndpointID{"x:1": "e1", "x:2": "e2"}
	for address, id := range ids {
		p.heartbeat(id, address, 1, kwid.LayerRange{})
	}
	p.runAfter(planInterval)
	p.runAfter(settleTime)
	p.announceOrdered(p.settle(), ids, 2)
	p.settle()
	p.declare(2, "400")
	p.runAfter(planInterval)
	if got := len(p.background); got != 0 {
		t.Errorf("got %d plans after a declaration with the same engine, want none", got)
	}
	p.declare(3, "500")
	p.runAfter(planInterval)
	if got := len(p.background); got != 1 {
		t.Errorf("got %d plans after a declaration with another engine, want 1", got)
	}
}

// TestPlacerLimitsPendingOrders starts a large fleet: no more than maxPendingOrders orders may await a response at a
// time, and every server must get its order in the end.
func TestPlacerLimitsPendingOrders(t *testing.T) {
	p := newPlacerHarness(t)
	const servers = 3 * maxPendingOrders
	for i := range servers {
		p.heartbeat(kwid.EndpointID(fmt.Sprint("e", i)), fmt.Sprint("x:", i), 1, kwid.LayerRange{})
	}
	p.runAfter(planInterval)
	p.runAfter(settleTime)
	p.runBackground()
	p.runAfter(planInterval)
	if got := len(p.background); got > maxPendingOrders {
		t.Errorf("got %d pending orders, want %d at most", got, maxPendingOrders)
	}
	if got := len(p.settle()); got != servers {
		t.Errorf("got %d orders in the end, want %d", got, servers)
	}
}

// TestPlanThatPanicsEndsNoLeader guards against a fleet that cannot be planned: the next one is.
func TestPlanThatPanicsEndsNoLeader(t *testing.T) {
	p := newPlacerHarness(t)
	plans := 0
	p.placer.cfg.Plan = func(e *kwdeclaration.Engine, servers []kwplacement.Server) []kwplacement.Order {
		if plans++; plans == 1 {
			panic("odd fleet")
		}
		return kwplacement.Plan(e, servers)
	}
	p.heartbeat("a", "10.0.0.1:80", 1, kwid.LayerRange{})
	p.settle()
	p.runAfter(settleTime)
	if got := p.settle(); len(got) != 0 || plans != 1 {
		t.Fatalf("got orders %v after %d plans, want none after one that panics", got, plans)
	}
	p.heartbeat("b", "10.0.0.2:80", 1, kwid.LayerRange{})
	p.settle()
	p.runAfter(settleTime)
	if p.settle(); plans < 2 || len(p.placer.planning) != 0 {
		t.Errorf("got %d plans, %d under way, want another one that is done", plans, len(p.placer.planning))
	}
}

// TestForeignHeartbeatBesideNewLeaders guards against a heartbeat for a service that is not declared, which takes the address of a sound
// server: the roster knows the declared services from the first heartbeat that a leader processes, and learns of new ones at once.
func TestForeignHeartbeatBesideNewLeaders(t *testing.T) {
	p := newPlacerHarness(t)
	foreign := kwmembership.Announcement{ID: "t1", Service: "other", Address: "x:1", Zone: "a", Sequence: 1, StartedMillis: 99}
	for leader := range 3 {
		p.placer.syncServices(p.tables)
		p.heartbeat("e1", "x:1", uint64(2*leader+1), kwid.LayerRange{})
		if got := p.tables.Roster.Announce(p.now, foreign); got != kwmembership.Held {
			t.Errorf("leader %d, foreign heartbeat: got %q, want %q", leader, got, kwmembership.Held)
		}
		p.heartbeat("e1", "x:1", uint64(2*leader+2), kwid.LayerRange{})
		if row, _ := p.tables.Roster.Row("e1"); row.State != kwmembership.Live {
			t.Errorf("leader %d: got state %q, want %q", leader, row.State, kwmembership.Live)
		}
		live := []kwmembership.Announcement{}
		for _, row := range p.tables.Roster.Since(0) {
			live = append(live, row.Announcement)
		}
		if len(live) != 1 {
			t.Fatalf("leader %d: got %d endpoints in the roster, want 1", leader, len(live))
		}
		p.tables.Roster = kwmembership.NewRoster(kwmembership.RosterConfig{Lease: 4 * time.Second, Retention: time.Minute})
		p.tables.Roster.RestoreLive(p.now, live)
		p.tables.Epoch++
	}
}
