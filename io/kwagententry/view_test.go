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

// bare returns an entry without listeners, for its view alone.
func bare() *Role {
	clock := kwhlc.New(kwhlc.Config{})
	return &Role{
		cfg:     Config{Node: "e", Site: "s", ViewLease: time.Second},
		deps:    Deps{Clock: clock, Events: kwevent.New(kwevent.Config{Node: "e", Clock: clock, Log: logr.Discard()})},
		limiter: kwlimit.New(kwlimit.Config{MaxInFlight: 10}),
		ejector: kwretry.NewEjector(kwretry.DefaultEjectorConfig()),
		loads:   newLoads(),
		started: time.Now(),
	}
}

// fleetOf returns a full view with endpoints of models and workspaces.
func fleetOf(endpoints, workspaces, models int) *kwagentproto.View {
	const cuts, layersPerCut = 6, 8
	fleet := &kwsiteconfig.Fleet{Name: "f", Sites: []kwsiteconfig.SiteFleet{{Site: "s"}}}
	for m := range models {
		fleet.Models = append(fleet.Models, kwsiteconfig.Model{Name: modelName(m), Layers: cuts * layersPerCut})
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
		from := kwid.Layer(i / models % cuts * layersPerCut)
		view.Endpoints = append(view.Endpoints, kwmembership.Endpoint{
			ID:        kwid.EndpointID(fmt.Sprintf("endpoint-%04d", i)),
			Agent:     kwid.NodeID(fmt.Sprintf("agent-%04d", i)),
			Address:   "10.0.0.1:7000",
			Site:      "s",
			Model:     modelName(i % models),
			Layers:    kwid.LayerRange{From: from, To: from + layersPerCut},
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
	r := bare()
	first := fleetOf(6, 1, 1)
	first.Revision = 5
	if _, err := r.applyView(first); err != nil {
		t.Fatal(err)
	}
	older := fleetOf(6, 1, 1)
	older.Revision = 4
	if _, err := r.applyView(older); !kwcode.Is(err, kwcode.RevisionConflict) || r.Revision() != 5 {
		t.Errorf("got %v at revision %d, want a refusal at 5", err, r.Revision())
	}
}

func TestDeltaKeepsTheRest(t *testing.T) {
	r := bare()
	if _, err := r.applyView(fleetOf(6, 1, 1)); err != nil {
		t.Fatal(err)
	}
	lost := fleetOf(1, 0, 1).Endpoints[0]
	lost.State = kwmembership.Lost
	if _, err := r.applyView(&kwagentproto.View{Version: 2, Revision: 1, Endpoints: []kwmembership.Endpoint{lost}, EntryCount: 1}); err != nil {
		t.Fatal(err)
	}
	if got := len(r.view.Load().endpoints); got != 6 || r.Sees(lost.ID) != string(kwmembership.Lost) {
		t.Errorf("got %d endpoints and state %q, want 6 and lost", got, r.Sees(lost.ID))
	}
	if got := len(r.view.Load().live); got != 5 {
		t.Errorf("got %d live, want 5", got)
	}
}

// TestHandOver requires that a call is either never sent or never called "not run".
func TestHandOver(t *testing.T) {
	var h handOver
	if !h.send() || h.giveUp() {
		t.Error("got a call that left given up, want it pursued")
	}
	h.fenced()
	if !h.giveUp() || h.send() {
		t.Error("got a call sent after it was given up, want it held back")
	}
}

func BenchmarkApplyView(b *testing.B) {
	for _, size := range []struct{ endpoints, workspaces int }{{30, 10}, {150, 1000}, {600, 10000}} {
		b.Run(fmt.Sprintf("endpoints-%d-workspaces-%d", size.endpoints, size.workspaces), func(b *testing.B) {
			r := bare()
			view := fleetOf(size.endpoints, size.workspaces, 4)
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

// BenchmarkViewMemory reports the memory that a view holds and the bytes of a declaration on the wire.
func BenchmarkViewMemory(b *testing.B) {
	for _, size := range []struct{ endpoints, workspaces int }{{100, 0}, {300, 0}, {600, 0}, {0, 1000}, {0, 3000}, {0, 10000}} {
		b.Run(fmt.Sprintf("endpoints-%d-workspaces-%d", size.endpoints, size.workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				r := bare()
				data, err := cbor.Marshal(fleetOf(size.endpoints, size.workspaces, 4))
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
				held := heap() - before
				b.ReportMetric(float64(held)/1024/float64(size.endpoints+size.workspaces), "KB/row")
				b.ReportMetric(float64(len(data))/float64(size.endpoints+size.workspaces), "wire-B/row")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
