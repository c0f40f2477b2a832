package kwdispatch

import (
	"slices"
	"sort"
	"time"

	"knapweedproxy/core/kwid"
)

// pauseOfAll returns the time until the first chain is free of endpoints that want no requests, or 0 if there is one already or
// pauses are not what is missing. It answers an overload in which all copies of a model turn requests away: a caller that waits
// here holds its place in vain, and does better to come back when the servers take requests again. A broken stream waits
// nevertheless, since it could only be cut off.
func (d *Dispatcher) pauseOfAll(now time.Time, fleet Fleet, r Request) time.Duration {
	if d.cfg.PauseOf == nil || r.Broken {
		return 0
	}
	pauses := make(map[kwid.EndpointID]time.Duration)
	var ends []time.Duration
	for _, server := range fleet.Servers {
		if pause := d.cfg.PauseOf(now, server.ID); pause > 0 {
			pauses[server.ID] = pause
			ends = append(ends, pause)
		}
	}
	if len(ends) == 0 {
		return 0
	}
	chainAfter := func(wait time.Duration) bool {
		excluded := func(id kwid.EndpointID) bool {
			// A paused endpoint has turned this request away, or another one, and may take it later.
			pause, paused := pauses[id]
			return paused && pause > wait || !paused && r.Excluded[id]
		}
		return d.chainExists(fleet, r, excluded)
	}
	slices.Sort(ends)
	if chainAfter(0) {
		return 0
	}
	first := sort.Search(len(ends), func(i int) bool { return chainAfter(ends[i]) })
	if first == len(ends) {
		return 0
	}
	return ends[first]
}
