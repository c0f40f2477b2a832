package kwdispatch

import (
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

// chooseSilent returns the best chain that has room if endpoints that are avoided only because they were silent may be part of it, which
// they may where every chain needs one of them (panic threshold). It answers servers that fall silent together: they may go on at any
// moment, and to refuse all requests until then would make a short silence a long one.
func (d *Dispatcher) chooseSilent(
	now time.Time, fleet Fleet, r Request, allowLate bool, accept func(kwchainsearch.Chain) bool,
) (kwchainsearch.Chain, bool) {
	silent := make(map[kwid.EndpointID]bool)
	for _, server := range fleet.Servers {
		id := server.ID
		ejected := d.cfg.Silent != nil && d.cfg.Silent(now, id)
		unreached := r.Unreached[id] && !d.cfg.Unavailable(now, id)
		if (ejected || unreached) && !r.Excluded[id] {
			silent[id] = true
		}
	}
	if len(silent) == 0 {
		return kwchainsearch.Chain{}, false
	}
	excluded := d.excludedFor(now, r)
	if d.chainExists(fleet, r, excluded) {
		return kwchainsearch.Chain{}, false
	}
	return d.choose(now, fleet, r, allowLate, func(id kwid.EndpointID) bool { return !silent[id] && excluded(id) }, accept)
}

// TryReserve reserves the best chain that has room for a stream to move to, if there is one on which its answer ends before the entry
// exits. It never queues: a stream that waits for one of the few chains that it may use would keep the requests behind it from all
// others. Nor does it use endpoints that are known to be silent, since the stream is on such a chain already.
func (d *Dispatcher) TryReserve(now time.Time, fleet Fleet, r Request) (kwchainsearch.Chain, bool) {
	if d.queue.Len() > 0 && !r.Broken {
		return kwchainsearch.Chain{}, false
	}
	accept := func(chain kwchainsearch.Chain) bool { return d.EndsInTime(now, chain, r) }
	chain, ok := d.choose(now, fleet, r, false, d.excludedFor(now, r), accept)
	if ok {
		d.grant(now, chain, r)
	}
	return chain, ok
}

// chainExists reports whether there is a chain without the excluded endpoints if none of the others had any load.
func (d *Dispatcher) chainExists(fleet Fleet, r Request, excluded func(kwid.EndpointID) bool) bool {
	_, ok := kwchainsearch.Choose(fleet.Engine, fleet.Servers, excluded, kwchainsearch.Criteria{
		Size: r.Size, Home: d.cfg.Zone, FirstEventObjective: r.FirstEventObjective, EventGapObjective: r.EventGapObjective,
		Incomplete: fleet.Incomplete, MaxFirstEvent: unlimited,
		EstimateFirstEvent: func(_ kwid.EndpointID, idle time.Duration) time.Duration { return idle },
	})
	return ok
}
