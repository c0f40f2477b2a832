package kwdirectentry

import (
	"fmt"
	"testing"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
)

// BenchmarkMerge measures what an entry does when one of many endpoints changes.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{52, 200, 600} {
		g := testGate(b, "127.0.0.1:1", "127.0.0.1:1")
		v := *g.view.Load()
		for i := range n {
			id := kwid.EndpointID(fmt.Sprint("m", i))
			v.endpoints[id] = kwmembership.RosterRow{State: kwmembership.Live, Version: 1, Announcement: kwmembership.Announcement{
				ID: id, Service: "llm", Zone: "a", Address: string(id), Accelerator: "fast", Layers: kwid.LayerRange{To: 8},
			}}
		}
		v.group()
		change := v.endpoints["m7"]
		change.State, change.Version = kwmembership.Leaving, 2
		got := kwdirectproto.View{Epoch: v.epoch, Version: 2, Endpoints: []kwmembership.RosterRow{change}, EntryCount: 7}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, err := g.merge(&v, got)
				if err != nil || len(next.chained["llm"]) != n {
					b.Fatalf("got %d servers and %v, want %d", len(next.chained["llm"]), err, n)
				}
			}
		})
	}
}

// BenchmarkChain measures a choice with its reservation and its release at an entry that is not loaded.
func BenchmarkChain(b *testing.B) {
	bench := newBench(100)
	b.ReportAllocs()
	for b.Loop() {
		chain, _, err := bench.choose(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		bench.chooser.release(chain, 900)
	}
}
