package kwplacement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
)

// TestRateBound compares a bound with one worked out by hand: two servers of 100 MB hold a model of 10 layers of 10 MB each
// and 100 tokens of KV cache beside it; a request of 10 tokens with a response of 5 takes the time of 5 tokens.
func TestRateBound(t *testing.T) {
	e := &kwdeclaration.Engine{Layers: 10, LayerMB: 10, KVMBPerTokenLayer: 0.1, StepTime: 10 * time.Millisecond, TypicalPromptTokens: 5, TypicalAnswerTokens: 5}
	servers := []Server{{ID: "a", MemoryMB: 100, StepTimeFactor: 2}, {ID: "b", MemoryMB: 100, StepTimeFactor: 4}}
	// (200 - 100) MB / 1 MB per token = 100 tokens = 10 concurrent requests. A token takes 10 ms x 2 on the faster server,
	// which holds the whole model: 10 / (5 x 20 ms) = 100 requests per second.
	if got, want := newModel(e).rateBound(servers), 100.0; math.Abs(got-want) > 1e-6 {
		t.Errorf("got %v requests per second, want %v", got, want)
	}
	if got := newModel(e).rateBound(servers[:1]); got != 0 {
		t.Errorf("got %v requests per second with a model that fills the memory, want 0", got)
	}
}

// TestEstimateZones checks on random fleets that no placement serves more than its bound and that the loss of a server never
// raises the rate.
func TestEstimateZones(t *testing.T) {
	factors := []float64{2.4, 5.6, 16}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var serverFactors []float64
		for range 6 + rng.IntN(12) {
			serverFactors = append(serverFactors, factors[rng.IntN(3)])
		}
		for _, est := range EstimateZones(engine(), pool("a", serverFactors...)) {
			if est.Rate > est.RateBound || est.RateAfterLoss > est.Rate {
				t.Errorf("seed %d: got rate %.1f, %.1f after a loss and bound %.1f, want bound >= rate >= rate after a loss", seed, est.Rate, est.RateAfterLoss, est.RateBound)
			}
			if est.Rate == 0 && newModel(engine()).totalLayers(pool("a", serverFactors...), newModel(engine()).minKVTokens()) >= 80 {
				t.Errorf("seed %d: a fleet with enough memory for the model has rate 0", seed)
			}
		}
	}
}

// TestEstimateZonesWithTwoCopies checks that with a second copy the loss of a server costs a part of the rate, not all of it.
func TestEstimateZonesWithTwoCopies(t *testing.T) {
	got := EstimateZones(engine(), slices.Concat(zones()...))
	if len(got) != 3 {
		t.Fatalf("got %d zones, want 3", len(got))
	}
	for _, est := range got[:2] {
		if est.Copies < 2 || est.RateAfterLoss < 0.1*est.Rate {
			t.Errorf("zone %s: got %d copies and %.1f of %.1f requests per second after a loss, want two copies and a tenth of the rate at least", est.Zone, est.Copies, est.RateAfterLoss, est.Rate)
		}
	}
}
