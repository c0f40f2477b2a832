package kwdispatch

import (
	"math"
	"slices"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

const (
	// returnTolerance is by how much less time a caller must have left than the first callers of its route to count as one that comes back:
	// half of the least time after which a rejected caller does.
	returnTolerance = 150 * time.Millisecond
	// longestTimeWindow is how long the longest remaining time of a route is remembered, at least.
	longestTimeWindow = time.Minute
	// maxReturnShare is the share of the callers of a route with less time than the longest above which callers simply have different
	// timeouts: one that is rejected comes back once, so those that come back are half of all at most. It needs minCallers to tell.
	maxReturnShare = 0.6
	minCallers     = 20
	// returnWindow is the time over which returning callers are counted.
	returnWindow = 2 * time.Second
	// returnMemory is how long after its last rejection an entry keeps room for callers that come back: they come back to any entry, so
	// those of other entries come as long as it has reason to reject some itself. It covers twice the longest promise.
	returnMemory = 10 * time.Second
	// reportStaleness is the time within which an entry does not see what others have taken: reports are 200 to 500 ms old.
	reportStaleness = 500 * time.Millisecond
	// watchInterval is the time between two reports.
	watchInterval = 300 * time.Millisecond
	// maxRejectedSizes is how many rejected requests tell which sizes find no room, and largeQuantile the quantile of their sizes that other
	// requests leave room for: single requests that no server has room for do not count. With 0.8 and 0.9, large requests were served as
	// little as 0.46 and 0.48 as often as all in the replay, with 0.95 at least 0.56.
	maxRejectedSizes = 32
	largeQuantile    = 0.95
)

// ReturnDetector recognises callers that were rejected before and come back, possibly to another entry, by a remaining time shorter than
// the longest of their route. Callers with different timeouts of their own are told apart by their number. It is not safe for concurrent use.
type ReturnDetector struct {
	routes map[string]*longestTimes
}

// longestTimes are the longest remaining times in the present window and the one before.
type longestTimes struct {
	present, before time.Duration
	since           time.Time
	// callers counts those in the present window, and shorter those of them with less time than the longest.
	callers, shorter int
}

// NewReturnDetector returns a detector that has seen no caller.
func NewReturnDetector() *ReturnDetector {
	return &ReturnDetector{routes: make(map[string]*longestTimes)}
}

// Observe records the remaining time of a caller, 0 if it gives none, and reports whether the caller comes back.
func (d *ReturnDetector) Observe(now time.Time, route string, remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	t := d.routes[route]
	if t == nil {
		t = &longestTimes{since: now}
		d.routes[route] = t
	}
	if now.Sub(t.since) >= longestTimeWindow {
		*t = longestTimes{before: t.present, since: now, callers: t.callers / 2, shorter: t.shorter / 2}
	}
	t.present = max(t.present, remaining)
	t.callers++
	if remaining >= max(t.present, t.before)-returnTolerance {
		return false
	}
	t.shorter++
	return t.callers < minCallers || float64(t.shorter) <= maxReturnShare*float64(t.callers)
}

// Retain forgets the routes that are no longer known.
func (d *ReturnDetector) Retain(known func(route string) bool) {
	for route := range d.routes {
		if !known(route) {
			delete(d.routes, route)
		}
	}
}

// returns counts the callers of one service that come back and are to come back.
type returns struct {
	seen, promised []returnTime
	// rejectedTokens are the sizes of the last rejected requests, and largeTokens is the size that only a twentieth of them exceed.
	rejectedTokens []float64
	largeTokens    float64
	// lastRejection is when the last caller was told to come back.
	lastRejection time.Time
}

type returnTime struct {
	at       time.Time
	declared int
	// tokens is the size of the request.
	tokens float64
}

// rate returns how many callers of a declared priority or more urgent ones come back in a second, and the tokens of their requests. They come
// back to any entry, so those that this entry has told to come back at this time are as good an estimate as those that have come.
func (s *returns) rate(now time.Time, declared int) (callers, tokens float64) {
	add := func(x returnTime, counts bool) {
		if counts && x.declared <= declared {
			callers++
			tokens += x.tokens
		}
	}
	for _, x := range s.seen {
		add(x, now.Sub(x.at) < returnWindow)
	}
	for _, x := range s.promised {
		add(x, now.Sub(x.at).Abs() < returnWindow/2)
	}
	const estimates = 2
	seconds := estimates * returnWindow.Seconds()
	return callers / seconds, tokens / seconds
}

func (d *Dispatcher) returnsOf(service kwid.ServiceName) *returns {
	s := d.returns[service]
	if s == nil {
		s = new(returns)
		d.returns[service] = s
	}
	return s
}

// observeReturn counts a request of a caller that comes back, once.
func (d *Dispatcher) observeReturn(now time.Time, r Request) {
	if !r.Returning || len(r.Excluded) > 0 {
		return
	}
	s := d.returnsOf(r.Service)
	s.seen = slices.DeleteFunc(s.seen, func(x returnTime) bool { return now.Sub(x.at) >= returnWindow })
	s.seen = append(s.seen, returnTime{now, r.DeclaredPriority, r.Size.TotalTokens})
}

// Promise returns the time after which the caller of a rejected request is to come back, and reserves room for it.
func (d *Dispatcher) Promise(now time.Time, r Request) time.Duration {
	after := d.queue.Promise(now, r.DeclaredPriority)
	d.recordPromise(now, r, after)
	return after
}

// recordRejection records the size of a rejected request.
func (s *returns) recordRejection(now time.Time, tokens float64) {
	if now.Sub(s.lastRejection) >= returnMemory {
		s.rejectedTokens = nil
	}
	s.lastRejection = now
	if len(s.rejectedTokens) == maxRejectedSizes {
		s.rejectedTokens = s.rejectedTokens[1:]
	}
	s.rejectedTokens = append(s.rejectedTokens, tokens)
	sorted := slices.Sorted(slices.Values(s.rejectedTokens))
	s.largeTokens = sorted[int(largeQuantile*float64(len(sorted)))]
}

func (d *Dispatcher) recordPromise(now time.Time, r Request, after time.Duration) {
	s := d.returnsOf(r.Service)
	s.recordRejection(now, r.Size.TotalTokens)
	if !r.Deadline.IsZero() && now.Add(after).After(r.Deadline) {
		return
	}
	s.promised = slices.DeleteFunc(s.promised, func(x returnTime) bool { return now.Sub(x.at) >= returnWindow })
	s.promised = append(s.promised, returnTime{now.Add(after), r.DeclaredPriority, r.Size.TotalTokens})
}

// withholding returns how much free KV cache of a server is left to others. While callers that were rejected come back, other requests
// leave room for as many as may come to the entries of the zone before their loads are known here, and callers that come back share that
// room with fewer entries. It answers overloads in which capacity that is freed goes to whoever asks first, at any entry, before those who
// were told to come back for it. Small requests also leave room for one of the large ones that are rejected, and large ones that come back
// share room with the fewer: otherwise small ones always take the room before there is enough for a large one.
func (d *Dispatcher) withholding(
	now time.Time, r Request,
) func(server *kwchainsearch.Server, size kwchainsearch.LayerTokens) kwchainsearch.LayerTokens {
	sharers, reserved := d.loads.entriesPerZone, 0.0
	if s := d.returns[r.Service]; s != nil && d.cfg.ReturnReserve > 0 && !r.Broken && r.Size.TotalTokens > 0 {
		callers, tokens := s.rate(now, r.DeclaredPriority)
		rejecting := now.Sub(s.lastRejection) < returnMemory
		if r.Returning {
			share := min(1, callers*watchInterval.Seconds())
			if callers > 0 {
				share *= min(1, tokens/callers/r.Size.TotalTokens)
			}
			sharers = int(math.Ceil(float64(sharers) * share))
		} else if rejecting {
			reserved = tokens * float64(sharers) * reportStaleness.Seconds()
		}
		if rejecting {
			reserved = max(reserved, s.largeTokens-r.Size.TotalTokens)
		}
		reserved /= r.Size.TotalTokens
	}
	return func(server *kwchainsearch.Server, size kwchainsearch.LayerTokens) kwchainsearch.LayerTokens {
		reserve := min(size*kwchainsearch.LayerTokens(reserved), kwchainsearch.LayerTokens(d.cfg.ReturnReserve)*server.Capacity)
		return d.loads.withheld(now, server, size, reserve, sharers)
	}
}
