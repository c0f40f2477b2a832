package kwplacement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// randomFleet returns an engine and servers that need not fit it: their layers may be those of another model, or of no model.
func randomFleet(rng *rand.Rand) (*kwdeclaration.Engine, []Server) {
	e := engine()
	e.Layers = 1 + rng.IntN(90)
	e.ConcurrentLoads = rng.IntN(6)
	e.Slots = rng.IntN(200)
	if rng.IntN(8) == 0 {
		e.LayerMB, e.KVMBPerTokenLayer, e.StepTime = 0, 0, 0
	}
	factors := []float64{2.4, 5.6, 16}
	var servers []Server
	for i := range rng.IntN(40) {
		factor := factors[rng.IntN(len(factors))]
		id := fmt.Sprint("s-", i)
		s := Server{
			ID: kwid.EndpointID(id), Zone: kwid.AvailabilityZone(fmt.Sprint("z-", rng.IntN(3))), Address: id,
			MemoryMB: memoryByStepTimeFactor[factor], StepTimeFactor: factor,
			OrderPending: rng.IntN(10) == 0, JustJoined: rng.IntN(10) == 0, PeerMayReturn: rng.IntN(20) == 0,
		}
		if rng.IntN(12) == 0 {
			s.MemoryMB, s.StepTimeFactor = 0, 0
		}
		switch rng.IntN(8) {
		case 0:
		case 1:
			s.Layers = kwid.LayerRange{From: kwid.Layer(rng.IntN(200) - 50), To: kwid.Layer(rng.IntN(200) - 50)}
		case 2:
			s.Layers = kwid.LayerRange{From: 0, To: math.MaxInt32}
		default:
			from := rng.IntN(e.Layers)
			s.Layers = kwid.LayerRange{From: kwid.Layer(from), To: kwid.Layer(from + 1 + rng.IntN(e.Layers-from))}
		}
		servers = append(servers, s)
	}
	return e, servers
}

// checkTotal checks that a plan is given for a fleet, with orders within the memory of their servers and the layers of the model.
func checkTotal(t *testing.T, seed uint64) {
	t.Helper()
	e, servers := randomFleet(rand.New(rand.NewPCG(seed, 41)))
	begin := time.Now()
	memory := make(map[kwid.EndpointID]float64)
	for _, s := range servers {
		memory[s.ID] = s.MemoryMB
	}
	for _, o := range Plan(e, servers) {
		if o.Layers.Len() <= 0 || o.Layers.From < 0 || int(o.Layers.To) > e.Layers {
			t.Errorf("seed %d: got an order for layers %v of a model with %d", seed, o.Layers, e.Layers)
		}
		if need := float64(o.Layers.Len()) * e.LayerMB; need > memory[o.Endpoint] {
			t.Errorf("seed %d: got an order for %v MB of layers to %s with %v MB", seed, need, o.Endpoint, memory[o.Endpoint])
		}
	}
	if d := time.Since(begin); d > 30*time.Second {
		t.Errorf("seed %d: got a plan after %v", seed, d)
	}
}

// TestOddServersEndNoPlan guards against a server that announces layers beyond those of the model, also after a declaration with fewer
// layers: the plan panicked in the leader, again and again.
func TestOddServersEndNoPlan(t *testing.T) {
	for seed := range uint64(3000) {
		checkTotal(t, seed)
	}
}

func FuzzPlan(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(checkTotal)
}
