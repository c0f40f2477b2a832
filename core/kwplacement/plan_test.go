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

var memories = map[float64]float64{2.4: 72_000, 5.6: 43_200, 16: 21_600}

func pool(zone string, paces ...float64) []Server {
	var out []Server
	for i, p := range paces {
		id := fmt.Sprintf("%s-%d", zone, i)
		out = append(out, Server{ID: kwid.EndpointID(id), Zone: kwid.AvailabilityZone(zone), Address: id, Pace: p, MemoryMB: memories[p]})
	}
	return out
}

func repeat(pace float64, n int) []float64 {
	return slices.Repeat([]float64{pace}, n)
}

// apply carries orders out and checks that each server has the memory and no order under way.
func apply(t *testing.T, servers []Server, orders []Order) []Server {
	t.Helper()
	out := slices.Clone(servers)
	for _, o := range orders {
		i := slices.IndexFunc(out, func(s Server) bool { return s.ID == o.Endpoint })
		if i < 0 {
			t.Fatalf("an order to %s, which is not there", o.Endpoint)
		}
		if out[i].OrderPending {
			t.Fatalf("a second order to %s", o.Endpoint)
		}
		if need := float64(o.Layers.Len()) * 1750; need > out[i].MemoryMB || o.Layers.Len() <= 0 || o.Layers.From < 0 || o.Layers.To > 80 {
			t.Fatalf("%s with %v MB was ordered %v", o.Endpoint, out[i].MemoryMB, o.Layers)
		}
		out[i].Layers = o.Layers
	}
	return out
}

func least(servers []Server, zone string) int {
	cover := make([]int, 80)
	for _, s := range servers {
		if string(s.Zone) == zone {
			count(cover, s.Layers, 1)
		}
	}
	return slices.Min(cover)
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
		if n := least(got, zone); n < want {
			t.Errorf("whole copies in zone %s: got %d, want %d at least", zone, n, want)
		}
	}
	for range 4 {
		again := Plan(engine(), got)
		if len(again) == 0 {
			return
		}
		got = apply(t, got, again)
	}
	t.Errorf("a placement that is planned again and again does not settle: %v", Plan(engine(), got))
}

// TestPlanRepairsAnyLoss loses each endpoint in turn, and then brings it back empty.
func TestPlanRepairsAnyLoss(t *testing.T) {
	servers := slices.Concat(zones()...)
	placed := apply(t, servers, Plan(engine(), servers))
	for i := range placed {
		zone := string(placed[i].Zone)
		left := slices.Delete(slices.Clone(placed), i, i+1)
		left = apply(t, left, Plan(engine(), left))
		if zone != "c" && least(left, zone) < 1 {
			t.Errorf("without %s zone %s lacks a layer", placed[i].ID, zone)
		}
		back := placed[i]
		back.Layers = kwid.LayerRange{}
		whole := append(left, back)
		whole = apply(t, whole, Plan(engine(), whole))
		if least(whole, zone) < 1 {
			t.Errorf("with %s back empty zone %s lacks a layer", back.ID, zone)
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
		t.Errorf("orders to servers with an order under way: got %v, want none", got)
	}
}

// TestPlanAnyFleet plans random fleets from empty, through losses, departures and additions.
func TestPlanAnyFleet(t *testing.T) {
	paces := []float64{2.4, 5.6, 16}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var servers []Server
		for z := range 1 + rng.IntN(4) {
			var kinds []float64
			for range rng.IntN(16) {
				kinds = append(kinds, paces[rng.IntN(3)])
			}
			servers = append(servers, pool(fmt.Sprint("z", z), kinds...)...)
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

// checkFleet demands every layer somewhere wherever the memory of a zone is ample for it.
func checkFleet(t *testing.T, seed uint64, servers []Server) {
	t.Helper()
	byZone := make(map[string][]Server)
	for _, s := range servers {
		byZone[string(s.Zone)] = append(byZone[string(s.Zone)], s)
	}
	m := newModel(engine())
	for zone, list := range byZone {
		if m.sum(list, m.minRoom()) >= 2*m.layers && least(servers, zone) == 0 {
			t.Fatalf("seed %d: zone %s with ample memory lacks a layer: %v", seed, zone, list)
		}
	}
}

// TestPlanReplacesAFastServer replays a release: the new server comes first, the old one leaves later. The new one waits,
// then takes over what the zone lacks most, until no move is worth its loads.
func TestPlanReplacesAFastServer(t *testing.T) {
	m := newModel(engine())
	for _, list := range zones() {
		servers := list
		for range 4 {
			servers = apply(t, servers, Plan(engine(), servers))
		}
		before := m.value(servers)
		old := slices.IndexFunc(servers, func(s Server) bool { return s.Pace == 2.4 })
		fresh := Server{ID: "fresh", Zone: servers[old].Zone, Pace: 2.4, MemoryMB: memories[2.4], JustJoined: true}
		both := append(slices.Clone(servers), fresh)
		for _, o := range Plan(engine(), both) {
			if o.Endpoint == "fresh" {
				t.Errorf("zone %s: the new server was placed at once, before the old one said that it leaves", fresh.Zone)
			}
		}
		left := slices.Delete(both, old, old+1)
		left[len(left)-1].JustJoined = false
		for range 4 {
			left = apply(t, left, Plan(engine(), left))
		}
		if after := m.value(left); after < before/worthMoving {
			t.Errorf("zone %s: rate after the release %.0f, before %.0f, so a move was worth it", fresh.Zone, after, before)
		}
	}
}

// TestPlanMovesABadlyPlacedServer has the new server placed before the old one left: once that is gone, it moves.
func TestPlanMovesABadlyPlacedServer(t *testing.T) {
	m := newModel(engine())
	servers := zones()[2]
	for range 4 {
		servers = apply(t, servers, Plan(engine(), servers))
	}
	before := m.value(servers)
	old := slices.IndexFunc(servers, func(s Server) bool { return s.Pace == 2.4 && s.Layers.From == 0 })
	if old < 0 {
		t.Fatalf("no fast server holds the first layers: %v", servers)
	}
	servers[old] = Server{ID: "new", Zone: "c", Pace: 2.4, MemoryMB: memories[2.4], Layers: kwid.LayerRange{From: 60, To: 80}}
	for range 6 {
		servers = apply(t, servers, Plan(engine(), servers))
	}
	if after := m.value(servers); after < 0.75*before {
		t.Errorf("rate after the move: got %.0f of %.0f before, want three quarters", after, before)
	}
}

// TestPlanCells plans a large zone cell by cell: each server gets layers, every layer is held many times, and the loss of one
// server orders only servers of its own cell.
func TestPlanCells(t *testing.T) {
	servers := pool("a", slices.Concat(repeat(2.4, 30), repeat(5.6, 90), repeat(16, 180))...)
	placed := apply(t, servers, Plan(engine(), servers))
	if got := least(placed, "a"); got < 8 {
		t.Errorf("got %d copies of the rarest layer, want one in each of 8 cells at least", got)
	}
	m := newModel(engine())
	for _, cell := range m.cells(placed) {
		if got := m.sum(cell, m.minRoom()); got < m.layers {
			t.Errorf("got a cell of %d servers with room for %d layers, want %d at least", len(cell), got, m.layers)
		}
		lost := cell[0].ID
		left := slices.DeleteFunc(slices.Clone(placed), func(s Server) bool { return s.ID == lost })
		for _, o := range m.repairOrders(left) {
			if !slices.ContainsFunc(cell, func(s Server) bool { return s.ID == o.Endpoint }) {
				t.Errorf("without %s got an order to %s of another cell", lost, o.Endpoint)
			}
		}
	}
}

// repairOrders returns the orders of a plan that moves nothing for a gain.
func (m model) repairOrders(servers []Server) []Order {
	e := *m.engine
	e.ConcurrentLoads = 1
	busy := append(slices.Clone(servers), Server{ID: "busy", Zone: "z", OrderPending: true, Layers: kwid.LayerRange{To: 1}})
	return Plan(&e, busy)
}

// TestPlanMovesFewAtOnce has loads under way: no server is moved for a gain while there are as many as the engines carry out
// side by side.
func TestPlanMovesFewAtOnce(t *testing.T) {
	servers := zones()[2]
	for range 4 {
		servers = apply(t, servers, Plan(engine(), servers))
	}
	fast := slices.IndexFunc(servers, func(s Server) bool { return s.Pace == 2.4 && s.Layers.From == 0 })
	servers[fast] = Server{ID: "new", Zone: "c", Pace: 2.4, MemoryMB: memories[2.4], Layers: kwid.LayerRange{From: 60, To: 80}}
	if len(Plan(engine(), servers)) == 0 {
		t.Fatal("got no move of a badly placed server, want one")
	}
	for i := range engine().ConcurrentLoads {
		servers = append(servers, Server{ID: kwid.EndpointID(fmt.Sprint("busy", i)), Zone: "z", OrderPending: true, Layers: kwid.LayerRange{To: 1}})
	}
	if got := Plan(engine(), servers); len(got) != 0 {
		t.Errorf("got %v with all loads taken, want none", got)
	}
}
