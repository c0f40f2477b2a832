package kwdirectentry

import (
	"fmt"
	"net/http"
	"testing"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
)

// BenchmarkMergeView measures the update of a view when one of many endpoints has changed.
func BenchmarkMergeView(b *testing.B) {
	for _, n := range []int{52, 200, 600} {
		g := newTestGateway(b, "127.0.0.1:1", "127.0.0.1:1")
		v := *g.view.Load()
		for i := range n {
			id := kwid.EndpointID(fmt.Sprint("m", i))
			v.endpoints[id] = kwmembership.RosterRow{State: kwmembership.Live, Version: 1, Announcement: kwmembership.Announcement{
				ID: id, Service: "llm", Zone: "a", Address: string(id), Accelerator: "fast", Layers: kwid.LayerRange{To: 8},
			}}
		}
		v.indexEndpoints()
		change := v.endpoints["m7"]
		change.State, change.Version = kwmembership.Leaving, 2
		reply := kwdirectproto.View{Epoch: v.epoch, Version: 2, Endpoints: []kwmembership.RosterRow{change}, EntryCount: 7}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, err := g.mergeView(&v, reply)
				if err != nil || len(next.servers["llm"]) != n {
					b.Fatalf("got %d servers and %v, want %d", len(next.servers["llm"]), err, n)
				}
			}
		})
	}
}

// BenchmarkAcquireChain measures the choice, reservation and release of a chain at an idle entry.
func BenchmarkAcquireChain(b *testing.B) {
	fixture := newSchedulerFixture(100)
	b.ReportAllocs()
	for b.Loop() {
		chain, _, err := fixture.acquire(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		fixture.scheduler.release(chain, 900)
	}
}

// BenchmarkRequestDigest measures what the digest adds to each request, by the size of its body.
func BenchmarkRequestDigest(b *testing.B) {
	for _, size := range []int{0, 800, 16 << 10, 1 << 20} {
		q := &request{
			r:    &http.Request{Host: "api.example", RequestURI: "/notes/x?y=1"},
			body: make([]byte, size), workspace: &kwdeclaration.Workspace{Name: "crews"},
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				q.setDigest()
			}
		})
	}
}
