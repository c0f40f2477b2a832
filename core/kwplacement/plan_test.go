package kwplacement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

func engine() *kwdeclaration.Engine {
	return &kwdeclaration.Engine{
		StepTime: time.Millisecond, StepTimePerSequence: 7 * time.Microsecond, StepTimePerKiloToken: 10 * time.Microsecond,
		Slots: 192, Layers: 80, LayerMB: 1750, KVMBPerTokenLayer: 0.011475, TypicalPromptTokens: 774, TypicalAnswerTokens: 200, ConcurrentLoads: 5,
	}
}

// memoryByStepTimeFactor is the memory of a server in MB by the step time factor of its accelerator.
var memoryByStepTimeFactor = map[float64]float64{2.4: 72_000, 5.6: 43_200, 16: 21_600}

func pool(zone string, factors ...float64) []Server {
	var out []Server
	for i, factor := range factors {
		id := fmt.Sprintf("%s-%d", zone, i)
		out = append(out, Server{ID: kwid.EndpointID(id), Zone: kwid.AvailabilityZone(zone), Address: id, StepTimeFactor: factor, MemoryMB: memoryByStepTimeFactor[factor]})
	}
	return out
}

func repeat(factor float64, n int) []float64 {
	return slices.Repeat([]float64{factor}, n)
}

// apply carries out orders and checks that each server has the memory for its order and no other order pending.
func apply(t *testing.T, servers []Server, orders []Order) []Server {
	t.Helper()
	out := slices.Clone(servers)
	for _, o := range orders {
		i := slices.IndexFunc(out, func(s Server) bool { return s.ID == o.Endpoint })
		if i < 0 {
			t.Fatalf("order to unknown endpoint %s", o.Endpoint)
		}
		if out[i].OrderPending {
			t.Fatalf("second order to %s", o.Endpoint)
		}
		if need := float64(o.Layers.Len()) * 1750; need > out[i].MemoryMB || o.Layers.Len() <= 0 || o.Layers.From < 0 || o.Layers.To > 80 {
			t.Fatalf("%s with %v MB was ordered to hold %v", o.Endpoint, out[i].MemoryMB, o.Layers)
		}
		out[i].Layers = o.Layers
	}
	return out
}

func minCoverage(servers []Server, zone string) int {
	coverage := make([]int, 80)
	for _, s := range servers {
		if string(s.Zone) == zone {
			addCoverage(coverage, s.Layers, 1)
		}
	}
	return slices.Min(coverage)
}

func zones() [][]Server {
	return [][]Server{
		pool("a", slices.Concat(repeat(2.4, 1), repeat(5.6, 3), repeat(16, 8))...),
		pool("b", slices.Concat(repeat(2.4, 1), repeat(5.6, 6), repeat(16, 5))...),
		pool("c", slices.Concat(repeat(2.4, 2), repeat(5.6, 2), repeat(16, 5))...),
	}
}

func TestPlanFromEmpty(t *testing.T) {
	servers := slices.Concat(zones()...)
	got := apply(t, servers, Plan(engine(), servers))
	for zone, want := range map[string]int{"a": 2, "b": 2, "c": 1} {
		if n := minCoverage(got, zone); n < want {
			t.Errorf("copies in zone %s: got %d, want %d at least", zone, n, want)
		}
	}
	for range 4 {
		orders := Plan(engine(), got)
		if len(orders) == 0 {
			return
		}
		got = apply(t, got, orders)
	}
	t.Errorf("placement still has orders after 5 plans: %v", Plan(engine(), got))
}

// TestPlanRepairsAnyLoss removes each endpoint in turn, and then returns it empty.
func TestPlanRepairsAnyLoss(t *testing.T) {
	servers := slices.Concat(zones()...)
	placed := apply(t, servers, Plan(engine(), servers))
	for i := range placed {
		zone := string(placed[i].Zone)
		left := slices.Delete(slices.Clone(placed), i, i+1)
		left = apply(t, left, Plan(engine(), left))
		if zone != "c" && minCoverage(left, zone) < 1 {
			t.Errorf("after the loss of %s, zone %s lacks a layer", placed[i].ID, zone)
		}
		back := placed[i]
		back.Layers = kwid.LayerRange{}
		returned := append(left, back)
		returned = apply(t, returned, Plan(engine(), returned))
		if minCoverage(returned, zone) < 1 {
			t.Errorf("after the empty return of %s, zone %s lacks a layer", back.ID, zone)
		}
	}
}

func TestPlanGivesNoSecondOrder(t *testing.T) {
	servers := pool("a", slices.Concat(repeat(2.4, 1), repeat(5.6, 3), repeat(16, 8))...)
	placed := apply(t, servers, Plan(engine(), servers))
	for i := range placed {
		placed[i].OrderPending = true
	}
	if got := Plan(engine(), placed[3:]); len(got) != 0 {
		t.Errorf("orders to servers with a pending order: got %v, want none", got)
	}
}

// TestPlanAnyFleet plans random fleets from empty, then after random departures of servers and losses of their layers.
func TestPlanAnyFleet(t *testing.T) {
	factors := []float64{2.4, 5.6, 16}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var servers []Server
		for z := range 1 + rng.IntN(4) {
			var serverFactors []float64
			for range rng.IntN(16) {
				serverFactors = append(serverFactors, factors[rng.IntN(3)])
			}
			servers = append(servers, pool(fmt.Sprint("z", z), serverFactors...)...)
		}
		for range 20 {
			for range 4 {
				orders := Plan(engine(), servers)
				if len(orders) == 0 {
					break
				}
				servers = apply(t, servers, orders)
			}
			checkFleet(t, seed, servers)
			if len(servers) == 0 {
				break
			}
			i := rng.IntN(len(servers))
			if rng.IntN(2) == 0 {
				servers = slices.Delete(servers, i, i+1)
			} else {
				servers[i].Layers = kwid.LayerRange{}
			}
		}
	}
}

// checkFleet checks that every layer is held in each zone that has memory for two copies.
func checkFleet(t *testing.T, seed uint64, servers []Server) {
	t.Helper()
	byZone := make(map[string][]Server)
	for _, s := range servers {
		byZone[string(s.Zone)] = append(byZone[string(s.Zone)], s)
	}
	m := newModel(engine())
	for zone, list := range byZone {
		if m.totalLayers(list, m.minKVTokens()) >= 2*m.layers && minCoverage(servers, zone) == 0 {
			t.Fatalf("seed %d: zone %s with memory for two copies lacks a layer: %v", seed, zone, list)
		}
	}
}

// TestPlanReplacesAFastServer replaces a server as a rolling release does: the new one joins before the old one leaves. It
// gets no layers while it has just joined, and then those that the zone lacks most, until no move is worth its loads.
func TestPlanReplacesAFastServer(t *testing.T) {
	m := newModel(engine())
	for _, list := range zones() {
		servers := list
		for range 4 {
			servers = apply(t, servers, Plan(engine(), servers))
		}
		before := m.throughput(servers)
		old := slices.IndexFunc(servers, func(s Server) bool { return s.StepTimeFactor == 2.4 })
		joining := Server{ID: "fresh", Zone: servers[old].Zone, StepTimeFactor: 2.4, MemoryMB: memoryByStepTimeFactor[2.4], JustJoined: true}
		both := append(slices.Clone(servers), joining)
		for _, o := range Plan(engine(), both) {
			if o.Endpoint == "fresh" {
				t.Errorf("zone %s: the new server got layers before the old one announced its departure", joining.Zone)
			}
		}
		left := slices.Delete(both, old, old+1)
		left[len(left)-1].JustJoined = false
		for range 4 {
			left = apply(t, left, Plan(engine(), left))
		}
		if after := m.throughput(left); after < before/minMoveGainFactor {
			t.Errorf("zone %s: got throughput %.0f after the release and %.0f before, so another move would have been worth it", joining.Zone, after, before)
		}
	}
}

// TestPlanMovesABadlyPlacedServer checks that a new server which got its layers before the old one had left is moved
// afterwards.
func TestPlanMovesABadlyPlacedServer(t *testing.T) {
	m := newModel(engine())
	servers := zones()[2]
	for range 4 {
		servers = apply(t, servers, Plan(engine(), servers))
	}
	before := m.throughput(servers)
	old := slices.IndexFunc(servers, func(s Server) bool { return s.StepTimeFactor == 2.4 && s.Layers.From == 0 })
	if old < 0 {
		t.Fatalf("no fast server holds the first layers: %v", servers)
	}
	servers[old] = Server{ID: "new", Zone: "c", StepTimeFactor: 2.4, MemoryMB: memoryByStepTimeFactor[2.4], Layers: kwid.LayerRange{From: 60, To: 80}}
	for range 6 {
		servers = apply(t, servers, Plan(engine(), servers))
	}
	if after := m.throughput(servers); after < 0.75*before {
		t.Errorf("throughput after the move: got %.0f of %.0f before, want three quarters at least", after, before)
	}
}

// TestPlanCells plans a zone of several cells: every layer is held at least as often as there are cells, each cell can hold the
// model, and the loss of a server leads to orders only for servers of its own cell.
func TestPlanCells(t *testing.T) {
	servers := pool("a", slices.Concat(repeat(2.4, 30), repeat(5.6, 90), repeat(16, 180))...)
	placed := apply(t, servers, Plan(engine(), servers))
	if got := minCoverage(placed, "a"); got < 8 {
		t.Errorf("got %d copies of the rarest layer, want one in each of 8 cells at least", got)
	}
	m := newModel(engine())
	for _, cell := range m.cells(placed) {
		if got := m.totalLayers(cell, m.minKVTokens()); got < m.layers {
			t.Errorf("got a cell of %d servers with memory for %d layers, want %d at least", len(cell), got, m.layers)
		}
		lost := cell[0].ID
		left := slices.DeleteFunc(slices.Clone(placed), func(s Server) bool { return s.ID == lost })
		for _, o := range m.repairOrders(left) {
			if !slices.ContainsFunc(cell, func(s Server) bool { return s.ID == o.Endpoint }) {
				t.Errorf("after the loss of %s got an order to %s of another cell", lost, o.Endpoint)
			}
		}
	}
}

// repairOrders returns the orders of a plan without moves for a gain: a busy server takes the only parallel load.
func (m model) repairOrders(servers []Server) []Order {
	e := *m.engine
	e.ConcurrentLoads = 1
	busy := append(slices.Clone(servers), Server{ID: "busy", Zone: "z", OrderPending: true, Layers: kwid.LayerRange{To: 1}})
	return Plan(&e, busy)
}

// TestPlanMovesFewAtOnce checks that no server is moved for a gain while as many loads are in progress as the engines carry
// out in parallel.
func TestPlanMovesFewAtOnce(t *testing.T) {
	servers := zones()[2]
	for range 4 {
		servers = apply(t, servers, Plan(engine(), servers))
	}
	fast := slices.IndexFunc(servers, func(s Server) bool { return s.StepTimeFactor == 2.4 && s.Layers.From == 0 })
	servers[fast] = Server{ID: "new", Zone: "c", StepTimeFactor: 2.4, MemoryMB: memoryByStepTimeFactor[2.4], Layers: kwid.LayerRange{From: 60, To: 80}}
	if len(Plan(engine(), servers)) == 0 {
		t.Fatal("got no move of a badly placed server, want one")
	}
	for i := range engine().ConcurrentLoads {
		servers = append(servers, Server{ID: kwid.EndpointID(fmt.Sprint("busy", i)), Zone: "z", OrderPending: true, Layers: kwid.LayerRange{To: 1}})
	}
	if got := Plan(engine(), servers); len(got) != 0 {
		t.Errorf("got %v with all parallel loads in progress, want no orders", got)
	}
}

// smallMemoryZone returns a zone that holds one copy of the model, on one fast server, six servers with little memory and six
// slow ones.
func smallMemoryZone() []Server {
	servers := pool("a", slices.Concat(repeat(2.4, 1), repeat(5.3, 6), repeat(16, 6))...)
	for i := range servers {
		if servers[i].StepTimeFactor == 5.3 {
			servers[i].MemoryMB = 14_400
		}
	}
	return servers
}

// TestPlanRepairsAnyTwoLosses takes any two servers away from a zone that holds a single copy of the model. Servers beside a gap
// may lack the memory to fill it while others have enough, so the rest must be spread over the layers anew.
func TestPlanRepairsAnyTwoLosses(t *testing.T) {
	const maxRounds = 3
	e := engine()
	e.KVMBPerTokenLayer = 0.0074
	servers := smallMemoryZone()
	servers = apply(t, servers, Plan(e, servers))
	if minCoverage(servers, "a") != 1 {
		t.Fatalf("copies in the zone: got %d, want 1", minCoverage(servers, "a"))
	}
	for i := range servers {
		for j := range i {
			left := slices.Delete(slices.Clone(servers), i, i+1)
			left = slices.Delete(left, j, j+1)
			if newModel(e).totalLayers(left, 0) < e.Layers {
				continue
			}
			for range maxRounds {
				left = apply(t, left, Plan(e, left))
			}
			if minCoverage(left, "a") == 0 {
				t.Errorf("after the loss of %s and %s: a layer is missing after %d plans", servers[i].ID, servers[j].ID, maxRounds)
			}
		}
	}
}

// TestPlanSpreadsWithoutNeedlessLoads checks that servers keep most of their layers when they are spread anew, since they load
// only the others.
func TestPlanSpreadsWithoutNeedlessLoads(t *testing.T) {
	e := engine()
	e.KVMBPerTokenLayer = 0.0074
	servers := smallMemoryZone()
	servers = apply(t, servers, Plan(e, servers))
	slices.SortFunc(servers, func(a, b Server) int { return int(a.Layers.From - b.Layers.From) })
	left := slices.Delete(slices.Clone(servers), 6, 8)
	got := apply(t, left, Plan(e, left))
	if minCoverage(got, "a") == 0 {
		t.Fatalf("a layer is missing")
	}
	loaded, missing := 0, servers[6].Layers.Len()+servers[7].Layers.Len()
	for i, s := range got {
		old := left[i].Layers
		kept := max(0, int(min(s.Layers.To, old.To)-max(s.Layers.From, old.From)))
		loaded += s.Layers.Len() - kept
	}
	if loaded > 3*missing {
		t.Errorf("layers to load for %d missing ones: got %d, want %d at most", missing, loaded, 3*missing)
	}
}

// TestPlanRegainsThroughputAfterLoss takes any one server away from a zone that holds a single copy of the model. The repair fills
// the gap at once, at the cost of KV cache beside it; the plans after it must bring the throughput to two thirds of that of a new
// placement without ever leaving a layer out.
func TestPlanRegainsThroughputAfterLoss(t *testing.T) {
	const maxRounds = 12
	e := engine()
	e.KVMBPerTokenLayer = 0.0074
	m := newModel(e)
	servers := smallMemoryZone()
	servers = apply(t, servers, Plan(e, servers))
	for i := range servers {
		left := slices.Delete(slices.Clone(servers), i, i+1)
		empty := slices.Clone(left)
		for j := range empty {
			empty[j].Layers = kwid.LayerRange{}
		}
		fresh := m.throughput(settledPlacement(e, empty))
		left = apply(t, left, Plan(e, left))
		repaired := m.throughput(left)
		for range maxRounds {
			left = apply(t, left, Plan(e, left))
			if minCoverage(left, "a") == 0 {
				t.Fatalf("after the loss of %s: a layer is missing", servers[i].ID)
			}
		}
		if got := m.throughput(left); got < fresh*2/3 {
			t.Errorf("after the loss of %s: got %.2f of the throughput of a new placement (%.2f after the repair), want 0.67", servers[i].ID, got/fresh, repaired/fresh)
		}
	}
}
