package kwagententry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlimit"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
)

// newTestRole returns an entry without listeners, for tests of its view.
func newTestRole() *Role {
	clock := kwhlc.New(kwhlc.Config{})
	return &Role{
		cfg:       Config{Node: "e", Site: "s", ViewLease: time.Second},
		deps:      Deps{Clock: clock, Events: kwevent.New(kwevent.Config{Node: "e", Clock: clock, Log: logr.Discard()})},
		limiter:   kwlimit.New(kwlimit.Config{MaxInFlight: 10}),
		ejector:   kwretry.NewEjector(kwretry.DefaultEjectorConfig()),
		loads:     newEndpointLoads(),
		startedAt: time.Now(),
	}
}

// newFullView returns a full view message with the given numbers of endpoints, workspaces and models.
func newFullView(endpoints, workspaces, models int) *kwagentproto.View {
	const stages, layersPerStage = 6, 8
	fleet := &kwsiteconfig.Fleet{Name: "f", Sites: []kwsiteconfig.SiteFleet{{Site: "s"}}}
	for m := range models {
		fleet.Models = append(fleet.Models, kwsiteconfig.Model{Name: modelName(m), Layers: stages * layersPerStage})
	}
	for i := range workspaces {
		fleet.Sites[0].Workspaces = append(fleet.Sites[0].Workspaces, kwsiteconfig.Workspace{
			Name:                kwid.WorkspaceName(fmt.Sprintf("workspace-%05d", i)),
			TokenSHA256:         fmt.Sprintf("%064x", i),
			Weight:              1,
			MaxRequestsInFlight: 10,
			Priority:            kwsiteconfig.Interactive,
		})
	}
	view := &kwagentproto.View{Version: 1, Revision: 1, Fleet: fleet, Full: true, EntryCount: 1}
	for i := range endpoints {
		from := kwid.Layer(i / models % stages * layersPerStage)
		view.Endpoints = append(view.Endpoints, kwmembership.Endpoint{
			ID:        kwid.EndpointID(fmt.Sprintf("endpoint-%04d", i)),
			Agent:     kwid.NodeID(fmt.Sprintf("agent-%04d", i)),
			Address:   "10.0.0.1:7000",
			Site:      "s",
			Model:     modelName(i % models),
			Layers:    kwid.LayerRange{From: from, To: from + layersPerStage},
			TokenRate: float64(100 + i%7*50),
			State:     kwmembership.Live,
		})
	}
	return view
}

func modelName(m int) kwid.ModelName {
	return kwid.ModelName(fmt.Sprintf("model-%d", m))
}

func TestRevisionNeverFalls(t *testing.T) {
	r := newTestRole()
	first := newFullView(6, 1, 1)
	first.Revision = 5
	if _, err := r.applyView(first); err != nil {
		t.Fatal(err)
	}
	older := newFullView(6, 1, 1)
	older.Revision = 4
	if _, err := r.applyView(older); !kwcode.Is(err, kwcode.RevisionConflict) || r.Revision() != 5 {
		t.Errorf("got error %v at revision %d, want RevisionConflict at revision 5", err, r.Revision())
	}
}

func TestDeltaViewKeepsOtherEndpoints(t *testing.T) {
	r := newTestRole()
	if _, err := r.applyView(newFullView(6, 1, 1)); err != nil {
		t.Fatal(err)
	}
	lost := newFullView(1, 0, 1).Endpoints[0]
	lost.State = kwmembership.Lost
	if _, err := r.applyView(&kwagentproto.View{Version: 2, Revision: 1, Endpoints: []kwmembership.Endpoint{lost}, EntryCount: 1}); err != nil {
		t.Fatal(err)
	}
	if got := len(r.view.Load().endpoints); got != 6 || r.EndpointState(lost.ID) != string(kwmembership.Lost) {
		t.Errorf("got %d endpoints and state %q, want 6 and state lost", got, r.EndpointState(lost.ID))
	}
	if got := len(r.view.Load().liveIDs); got != 5 {
		t.Errorf("got %d live endpoints, want 5", got)
	}
}

// TestSendGate requires that a call whose caller was told "not run" is never sent, and that a sent call is not
// abandoned before it is known not to have run.
func TestSendGate(t *testing.T) {
	var gate sendGate
	if !gate.trySend() || gate.tryAbandon() {
		t.Error("sent call could be abandoned, want it kept")
	}
	gate.markNotRun()
	if !gate.tryAbandon() || gate.trySend() {
		t.Error("abandoned call could be sent, want it refused")
	}
}

func BenchmarkApplyView(b *testing.B) {
	for _, size := range []struct{ endpoints, workspaces int }{{30, 10}, {150, 1000}, {600, 10000}} {
		b.Run(fmt.Sprintf("endpoints-%d-workspaces-%d", size.endpoints, size.workspaces), func(b *testing.B) {
			r := newTestRole()
			view := newFullView(size.endpoints, size.workspaces, 4)
			if _, err := r.applyView(view); err != nil {
				b.Fatal(err)
			}
			change := &kwagentproto.View{Version: 2, Revision: 1, Endpoints: view.Endpoints[:1], EntryCount: 1}
			for b.Loop() {
				if _, err := r.applyView(change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkViewMemory reports the heap that a view occupies and the size of its message on the wire, both per row.
func BenchmarkViewMemory(b *testing.B) {
	for _, size := range []struct{ endpoints, workspaces int }{{100, 0}, {300, 0}, {600, 0}, {0, 1000}, {0, 3000}, {0, 10000}} {
		b.Run(fmt.Sprintf("endpoints-%d-workspaces-%d", size.endpoints, size.workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r := newTestRole()
				data, err := cbor.Marshal(newFullView(size.endpoints, size.workspaces, 4))
				if err != nil {
					b.Fatal(err)
				}
				var view kwagentproto.View
				if err := cbor.Unmarshal(data, &view); err != nil {
					b.Fatal(err)
				}
				if _, err := r.applyView(&view); err != nil {
					b.Fatal(err)
				}
				held := heapBytes() - before
				b.ReportMetric(float64(held)/1024/float64(size.endpoints+size.workspaces), "KB/row")
				b.ReportMetric(float64(len(data))/float64(size.endpoints+size.workspaces), "wire-B/row")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
