package kwdirectcontrol

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwdirectproto"
)

// TestWatchersAddUpLoads lets entries report random loads, repeat and fall silent, and compares the sum that each entry gets
// with that of the latest reports of all others.
func TestWatchersAddUpLoads(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	w := newWatchers()
	now := time.Unix(1000, 0)
	type report struct {
		at    time.Time
		loads []kwdirectproto.Load
	}
	latest := make(map[kwid.NodeID]report)
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		entry := kwid.NodeID(fmt.Sprint("e", rng.IntN(12)))
		var loads []kwdirectproto.Load
		for i := range rng.IntN(6) {
			loads = append(loads, kwdirectproto.Load{Endpoint: kwid.EndpointID(fmt.Sprint("s", i)), Used: kwchainsearch.LayerTokens(rng.IntN(5000)), Running: rng.IntN(9)})
		}
		w.record(now, entry, loads, nil)
		latest[entry] = report{now, loads}
		want := make(map[kwid.EndpointID]kwdirectproto.Load)
		for id, r := range latest {
			if id == "e0" || now.Sub(r.at) > entryLease {
				continue
			}
			for _, l := range r.loads {
				sum := want[l.Endpoint]
				want[l.Endpoint] = kwdirectproto.Load{Endpoint: l.Endpoint, Used: sum.Used + l.Used, Running: sum.Running + l.Running}
			}
		}
		got := w.otherLoads(now, "e0")
		slices.SortFunc(got, func(a, b kwdirectproto.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
		for _, l := range got {
			if l != want[l.Endpoint] {
				t.Fatalf("endpoint %s: got %+v, want %+v", l.Endpoint, l, want[l.Endpoint])
			}
			delete(want, l.Endpoint)
		}
		for id, l := range want {
			if l.Used != 0 || l.Running != 0 {
				t.Fatalf("endpoint %s: got no load, want %+v", id, l)
			}
		}
	}
}

// TestLoadsKeepTheirEndpoints sends loads by index through a roster from which endpoints leave. Loads must arrive at the
// endpoints that they belong to, and those of an earlier epoch nowhere.
func TestLoadsKeepTheirEndpoints(t *testing.T) {
	roster := kwmembership.NewRoster(kwmembership.RosterConfig{Lease: time.Second, Retention: time.Second})
	now := time.Unix(1000, 0)
	announce := func(id kwid.EndpointID, address string) {
		roster.Announce(now, kwmembership.Announcement{ID: id, Address: address, Sequence: 1, StartedMillis: 1})
	}
	announce("a", "x:1")
	announce("b", "x:2")
	announce("c", "x:3")
	loads := []kwdirectproto.Load{{Endpoint: "c", Used: 320, Running: 3}, {Endpoint: "a", Used: 160, Running: 1}, {Endpoint: "unknown", Running: 1}}
	indexed := indexLoads(loads, roster)
	packed, err := kwdirectproto.PackLoads(indexed).Unpack()
	if err != nil || len(packed) != 2 {
		t.Fatalf("got %+v, %v, want the loads of a and c", packed, err)
	}
	roster.Deregister(now, "a", 1)
	now = now.Add(3 * time.Second)
	roster.Expire(now)
	announce("d", "x:4")
	tables := &kwreconcile.Tables{Roster: roster, Epoch: 5}
	got := resolveLoads(packed, 5, tables)
	if want := (kwdirectproto.Load{Endpoint: "c", Used: 320, Running: 3}); !slices.Contains(got, want) || len(got) != 1 {
		t.Errorf("after a was removed and d joined: got %+v, want %+v alone", got, want)
	}
	if got := resolveLoads(packed, 4, tables); got != nil {
		t.Errorf("loads of an earlier epoch: got %+v, want none", got)
	}
}
