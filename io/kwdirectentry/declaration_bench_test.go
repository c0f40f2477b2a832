package kwdirectentry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/io/kwupstream"
)

// BenchmarkDeclarationMemory measures the heap of an entry in which streams are in progress that began under different versions of a
// declaration, in MB, and what each stream adds to that, in bytes.
func BenchmarkDeclarationMemory(b *testing.B) {
	for _, routes := range []int{148, 1480, 13600} {
		for _, versions := range []int{1, 16} {
			for _, streams := range []int{16, 1600} {
				b.Run(fmt.Sprintf("%d-routes/%d-versions/%d-streams", routes, versions, streams), func(b *testing.B) {
					for b.Loop() {
						alone := heapBytes()
						g := newTestGateway(b, "127.0.0.1:1", "127.0.0.1:1")
						declareRoutes(g, routes)
						idle := heapBytes()
						held := make([]*request, 0, streams)
						for range versions {
							declareRoutes(g, routes)
							for range streams / versions {
								held = append(held, routedStream(b, g))
							}
						}
						busy := heapBytes()
						b.ReportMetric((busy-alone)/1e6, "MB")
						b.ReportMetric((busy-idle)/float64(len(held)), "B/stream")
						runtime.KeepAlive(held)
					}
				})
			}
		}
	}
}

// heapBytes returns the size of the heap that is in use.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// declareRoutes replaces the declaration by its next version with a number of routes, which shares nothing with the one before.
func declareRoutes(g *Gateway, count int) {
	declare(g, func(d *kwdeclaration.Declaration) {
		streaming := d.Routes[0]
		d.Routes = nil
		for i := range count {
			r := streaming
			r.Name, r.Host, r.Prefix = fmt.Sprint("route-", i), fmt.Sprint("h", i%100), fmt.Sprintf("/notes/%d/", i)
			r.Targets = []kwdeclaration.Target{{Service: "llm", Weight: 1}}
			d.Routes = append(d.Routes, r)
		}
		last := streaming
		last.Host, last.Prefix = "h", "/notes/"
		d.Routes = append(d.Routes, last)
	})
}

// routedStream returns a stream that has been routed under the present declaration.
func routedStream(b *testing.B, g *Gateway) *request {
	b.Helper()
	r := httptest.NewRequest(http.MethodPost, "/notes/x", nil)
	r.Host = "h"
	q := &request{r: r, arrived: time.Now(), view: g.view.Load(), meta: kwupstream.RequestMeta{ID: "r"}}
	if err := g.resolveRoute(q); err != nil {
		b.Fatal(err)
	}
	return q
}
