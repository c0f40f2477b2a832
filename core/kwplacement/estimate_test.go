package kwplacement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// TestBound works a bound out by hand: two servers of 100 MB hold a model of 10 layers of 10 MB and 100 tokens beside it, and
// a request of 10 tokens with an answer of 5 takes 5 tokens' time.
func TestBound(t *testing.T) {
	e := &kwdeclaration.Engine{Layers: 10, LayerMB: 10, KVMBPerTokenLayer: 0.1, StepTime: 10 * time.Millisecond, TypicalPromptTokens: 5, TypicalAnswerTokens: 5}
	servers := []Server{{ID: "a", MemoryMB: 100, Pace: 2}, {ID: "b", MemoryMB: 100, Pace: 4}}
	// (200 - 100) MB / 1 MB a token = 100 tokens = 10 requests at once; a token takes 10 ms x 2 on the faster server, which
	// holds the whole model; 10 / (5 x 20 ms) = 100 a second.
	if got, want := newModel(e).bound(servers), 100.0; math.Abs(got-want) > 1e-6 {
		t.Errorf("got %v requests a second, want %v", got, want)
	}
	if got := newModel(e).bound(servers[:1]); got != 0 {
		t.Errorf("got %v requests a second beside a model that fills the memory, want 0", got)
	}
}

// TestEstimates places random fleets: no placement serves more than its bound, and no loss of a server gains anything.
func TestEstimates(t *testing.T) {
	paces := []float64{2.4, 5.6, 16}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var kinds []float64
		for range 6 + rng.IntN(12) {
			kinds = append(kinds, paces[rng.IntN(3)])
		}
		for _, est := range EstimateZones(engine(), pool("a", kinds...)) {
			if est.Rate > est.RateBound || est.RateAfterLoss > est.Rate {
				t.Errorf("seed %d: got %.1f a second, %.1f after a loss, bound %.1f; want them in falling order from the bound", seed, est.Rate, est.RateAfterLoss, est.RateBound)
			}
			if est.Rate == 0 && newModel(engine()).sum(pool("a", kinds...), newModel(engine()).minRoom()) >= 80 {
				t.Errorf("seed %d: a fleet with room for the model serves nothing", seed)
			}
		}
	}
}

// TestEstimatesOfTwoCopies shows what the second copy is for: the loss of a server costs a part of the rate, not all.
func TestEstimatesOfTwoCopies(t *testing.T) {
	got := EstimateZones(engine(), slices.Concat(zones()...))
	if len(got) != 3 {
		t.Fatalf("got %d zones, want 3", len(got))
	}
	for _, est := range got[:2] {
		if est.Copies < 2 || est.RateAfterLoss < 0.1*est.Rate {
			t.Errorf("zone %s: got %d copies and %.1f of %.1f a second after a loss, want two copies and a tenth at least", est.Zone, est.Copies, est.RateAfterLoss, est.Rate)
		}
	}
}
