package kwplacement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"knapweedproxy/core/kwid"
)

// zoneOf returns n servers of one zone with the mix of accelerators of the users' deployments.
func zoneOf(n int) []Server {
	factors := slices.Concat(repeat(2.4, 1+n/10), repeat(5.6, n/3), repeat(16, n))
	return pool("a", factors[:n]...)
}

// BenchmarkPlan measures a plan for one availability zone: for empty servers, after the loss of a server and after its return.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{12, 18, 36, 100, 300} {
		empty := zoneOf(n)
		placed := slices.Clone(empty)
		for _, o := range Plan(engine(), empty) {
			i := slices.IndexFunc(placed, func(s Server) bool { return s.ID == o.Endpoint })
			placed[i].Layers = o.Layers
		}
		lost := slices.Delete(slices.Clone(placed), 1, 2)
		back := slices.Clone(placed)
		back[rand.New(rand.NewPCG(1, 2)).IntN(n)].Layers = kwid.LayerRange{}
		for name, servers := range map[string][]Server{"empty": empty, "lost": lost, "back": back} {
			b.Run(fmt.Sprintf("%s-%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					Plan(engine(), servers)
				}
			})
		}
	}
}
