package kwdirectcontrol

import (
	"math"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwdirectproto"
)

// watchers holds what each entry reported with its last watch. It keeps the sum of all loads up to date, since with many
// entries each reply would otherwise add up the reports of all of them.
type watchers struct {
	mu      sync.Mutex
	entries map[kwid.NodeID]watcher
	total   map[kwid.EndpointID]kwdirectproto.Load
}

type watcher struct {
	lastSeen time.Time
	loads    []kwdirectproto.Load
	requests map[kwid.ServiceName]int
}

func newWatchers() *watchers {
	return &watchers{entries: make(map[kwid.NodeID]watcher), total: make(map[kwid.EndpointID]kwdirectproto.Load)}
}

// record replaces what an entry reported before.
func (w *watchers) record(now time.Time, entry kwid.NodeID, loads []kwdirectproto.Load, requests map[kwid.ServiceName]int) {
	// Whole numbers add up and cancel out exactly.
	for i := range loads {
		loads[i].Used = kwchainsearch.LayerTokens(math.Round(float64(loads[i].Used)))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addToTotal(w.entries[entry].loads, -1)
	w.entries[entry] = watcher{lastSeen: now, loads: loads, requests: requests}
	w.addToTotal(loads, 1)
}

// addToTotal adds loads to the total if sign is 1, and removes them if it is -1; the caller holds mu.
func (w *watchers) addToTotal(loads []kwdirectproto.Load, sign int) {
	for _, l := range loads {
		sum := w.total[l.Endpoint]
		sum.Endpoint = l.Endpoint
		sum.Used += kwchainsearch.LayerTokens(sign) * l.Used
		sum.Running += sign * l.Running
		if sum.Used == 0 && sum.Running == 0 {
			delete(w.total, l.Endpoint)
			continue
		}
		w.total[l.Endpoint] = sum
	}
}

// dropSilent removes entries that have sent no watch within entryLease; the caller holds mu.
func (w *watchers) dropSilent(now time.Time) {
	for id, r := range w.entries {
		if now.Sub(r.lastSeen) > entryLease {
			w.addToTotal(r.loads, -1)
			delete(w.entries, id)
		}
	}
}

func (w *watchers) count(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSilent(now)
	return len(w.entries)
}

// requests returns how many requests for a service the entries reported for their last window.
func (w *watchers) requests(now time.Time, service kwid.ServiceName) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSilent(now)
	sum := 0
	for _, r := range w.entries {
		sum += r.requests[service]
	}
	return sum
}

// otherLoads returns the sum of the loads of all entries except self, in no particular order.
func (w *watchers) otherLoads(now time.Time, self kwid.NodeID) []kwdirectproto.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropSilent(now)
	own := make(map[kwid.EndpointID]kwdirectproto.Load, len(w.entries[self].loads))
	for _, l := range w.entries[self].loads {
		own[l.Endpoint] = l
	}
	out := make([]kwdirectproto.Load, 0, len(w.total))
	for id, sum := range w.total {
		sum.Used -= own[id].Used
		sum.Running -= own[id].Running
		if sum.Used > 0 || sum.Running > 0 {
			out = append(out, sum)
		}
	}
	return out
}
