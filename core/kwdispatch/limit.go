package kwdispatch

import (
	"slices"
	"sort"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// RequestLimits tells how many requests this entry may send to endpoints that have named a limit. Only requests that are sent to an
// endpoint count, so a chain is limited by its first endpoint alone.
type RequestLimits interface {
	// None reports whether no endpoint has a limit.
	None() bool
	// Wait returns how long until a request may be sent to an endpoint, 0 if one may now.
	Wait(now time.Time, id kwid.EndpointID) time.Duration
	// Share returns the rate of the requests that may be sent to an endpoint, or false if it has no limit.
	Share(now time.Time, id kwid.EndpointID) (kwendpointlimit.Rate, bool)
	// Want records that a request would be sent to an endpoint if it had no limit.
	Want(now time.Time, id kwid.EndpointID)
	// Take counts a request that is to be sent to an endpoint.
	Take(now time.Time, id kwid.EndpointID)
	// Return undoes Take for a request that was not sent.
	Return(now time.Time, id kwid.EndpointID)
}

func (d *Dispatcher) limitsRequests() bool { return d.cfg.Limits != nil && !d.cfg.Limits.None() }

// markLimited keeps chains from beginning at servers that may get no request now. It answers an overload of single servers that name a
// limit: work goes to other chains as soon as this entry's share is used, and not only once the server turns it away.
func (d *Dispatcher) markLimited(now time.Time, servers []kwchainsearch.Server) (waits []time.Duration) {
	if !d.limitsRequests() {
		return nil
	}
	for i := range servers {
		if servers[i].Layers.From > 0 {
			continue
		}
		if wait := d.cfg.Limits.Wait(now, servers[i].ID); wait > 0 {
			servers[i].NotFirst = true
			waits = append(waits, wait)
		}
	}
	return waits
}

// wantInterval is the least time between two looks at which endpoint requests are kept from by its limit.
const wantInterval = 100 * time.Millisecond

// recordWant records which first endpoint a request would have been sent to without limits, if that one has no turn. Entries that want more
// than their even share of a limit get what others do not need.
func (d *Dispatcher) recordWant(now time.Time, fleet Fleet, r Request, allowLate bool, accept func(kwchainsearch.Chain) bool) {
	if !d.limitsRequests() || now.Sub(d.wantedAt) < wantInterval {
		return
	}
	servers := d.loadedServers(now, fleet, r)
	if len(d.markLimited(now, slices.Clone(servers))) == 0 {
		return
	}
	d.wantedAt = now
	chain, ok := d.chooseAmong(now, servers, fleet, r, allowLate, d.excludedFor(now, r), accept)
	if ok && d.cfg.Limits.Wait(now, chain.First().Endpoint) > 0 {
		d.cfg.Limits.Want(now, chain.First().Endpoint)
	}
}

// wantAll records that a request that got no chain would be sent to any first endpoint that has no turn.
func (d *Dispatcher) wantAll(now time.Time, fleet Fleet, r Request) {
	if !d.limitsRequests() {
		return
	}
	excluded := d.excludedFor(now, r)
	for _, server := range fleet.Servers {
		if server.Layers.From == 0 && !excluded(server.ID) && d.cfg.Limits.Wait(now, server.ID) > 0 {
			d.cfg.Limits.Want(now, server.ID)
		}
	}
}

// limitWait returns how long a request waits for a turn of a first endpoint behind a number of others, and whether limits are all that it
// waits for: there will be a chain once turns come, and there is none before however little load the servers had. It answers limits below the load of a whole service, under which a caller does better to come back when there is room than to wait in vain.
func (d *Dispatcher) limitWait(now time.Time, fleet Fleet, r Request, ahead int) (wait time.Duration, onlyLimits bool) {
	if !d.limitsRequests() {
		return 0, false
	}
	excluded := d.excludedFor(now, r)
	waits := make([]time.Duration, len(fleet.Servers))
	var ends []time.Duration
	rate := kwendpointlimit.Rate(0)
	for i, server := range fleet.Servers {
		if server.Layers.From > 0 || excluded(server.ID) {
			continue
		}
		if waits[i] = d.cfg.Limits.Wait(now, server.ID); waits[i] > 0 {
			share, _ := d.cfg.Limits.Share(now, server.ID)
			rate += share
			ends = append(ends, waits[i])
		}
	}
	if len(ends) == 0 {
		return 0, false
	}
	chainAfter := func(wait time.Duration) bool {
		open := fleet
		open.Servers = slices.Clone(fleet.Servers)
		for i := range open.Servers {
			open.Servers[i].NotFirst = waits[i] > wait
		}
		return d.chainExists(open, r, excluded)
	}
	if chainAfter(0) {
		return 0, false
	}
	slices.Sort(ends)
	first := sort.Search(len(ends), func(i int) bool { return chainAfter(ends[i]) })
	if first == len(ends) {
		return 0, false
	}
	return ends[first] + rate.Time(ahead), true
}

// rejectLimited rejects a request whose turn would come after a wait. Shares move within seconds, so what is told to callers is bounded.
func (d *Dispatcher) rejectLimited(wait time.Duration) Decision {
	return Decision{RetryAfter: d.cfg.Queue.BoundRetryAfter(wait), Limited: true}
}

// recheck returns when the next first endpoint may get a request, if a waiter is the head of the queue.
func (d *Dispatcher) recheck(now time.Time, fleet Fleet, waiter *kwqueue.Waiter) time.Duration {
	if !d.limitsRequests() || d.queue.Head() != waiter {
		return 0
	}
	waits := d.markLimited(now, slices.Clone(fleet.Servers))
	if len(waits) == 0 {
		return 0
	}
	return slices.Min(waits)
}
