package kwdispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLargePromptsAreServed plays an overload of requests of which a tenth are eight times and a fifth three times as large as the others.
// Both must be served at least half as often as all: entries find room for a large request less often than for a small one. The mean size
// is 2.1 times the typical one, so the load is twice what the fleet serves.
func TestLargePromptsAreServed(t *testing.T) {
	const medium, large = 3.0, 8.0
	sizes := func(rng *rand.Rand) float64 {
		switch x := rng.Float64(); {
		case x < 0.1:
			return large
		case x < 0.3:
			return medium
		}
		return 1
	}
	for _, entries := range []int{8, 22, 70, 370} {
		got := simulate(entries, loadPattern{
			returnReserve: 0.25,
			utilization:   0.95, elsewhere: true, before: 2 * time.Second, duration: 4 * time.Second, after: 4500 * time.Millisecond, sizes: sizes,
		}, 1, true)
		share := func(size float64) float64 { return float64(got.servedBySize[size]) / float64(max(1, got.bySize[size])) }
		all := got.share(got.onTime + got.late + got.returnedServed)
		t.Logf("%d entries: %d requests, served %.3f, of the large %.3f, medium %.3f, small %.3f; refused by engines %.3f, rejected again %d of %d",
			entries, got.requests, all, share(large), share(medium), share(1), got.share(got.refusals), got.returned-got.returnedServed, got.returned)
		for _, size := range []float64{medium, large} {
			if share(size) < all/2 {
				t.Errorf("%d entries: got %.3f of the requests of size %v served, want half of %.3f at least", entries, share(size), size, all)
			}
		}
	}
}
