package kwchainsearch

import (
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// fleetOf returns n servers in three zones: each zone has one fast copy on two servers to every three slow copies on eight.
func fleetOf(n int) []Server {
	e := engine(80)
	var out []Server
	for i := 0; len(out) < n; i++ {
		zone := kwid.AvailabilityZone(fmt.Sprint("z", i%3))
		stages, accelerator := 8, "slow"
		if i/3%4 == 0 {
			stages, accelerator = 2, "fast"
		}
		for k := 0; k < stages && len(out) < n; k++ {
			s := server(e, fmt.Sprintf("%s-%d-%d", zone, i, k), accelerator, k*80/stages, (k+1)*80/stages)
			s.Zone = zone
			out = append(out, s)
		}
	}
	return out
}

// BenchmarkChoose measures the choice of one chain in the home zone, for deployments of different sizes.
func BenchmarkChoose(b *testing.B) {
	e := engine(80)
	e.TypicalAnswerTokens = 200
	for _, n := range []int{52, 200, 600} {
		servers := fleetOf(n)
		criteria := Criteria{
			Size: RequestSize{TotalTokens: 900, PromptTokens: 700}, Home: "z0", FirstEventObjective: 500 * time.Millisecond, MaxFirstEvent: time.Second,
			EstimateFirstEvent: func(_ kwid.EndpointID, idle time.Duration) time.Duration { return idle },
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := Choose(e, servers, func(kwid.EndpointID) bool { return false }, criteria); !ok {
					b.Fatal("no chain")
				}
			}
		})
	}
}
