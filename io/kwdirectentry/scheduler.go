package kwdirectentry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwdirectproto"
)

// scheduler picks endpoints and chains by load, and queues requests while no chain has capacity. It is safe for
// concurrent use.
type scheduler struct {
	cfg Config
	mu  sync.Mutex
	// ownLoad is the load of this entry's requests, othersLoad that of all other entries' requests, by endpoint.
	ownLoad    map[kwid.EndpointID]kwdirectproto.Load
	othersLoad map[kwid.EndpointID]kwdirectproto.Load
	// inFlight counts this entry's unary requests, reportedInFlight is the count that the endpoint last reported.
	inFlight         map[kwid.EndpointID]int
	reportedInFlight map[kwid.EndpointID]int
	byAddress        map[string]kwid.EndpointID
	ejector          *kwretry.Ejector
	queue            *kwqueue.Queue
	wakeups          map[*kwqueue.Waiter]chan struct{}
	// stallQueries and probes limit how often an endpoint is queried for stalled requests and probed.
	stallQueries, probes *endpointLimiter
	// latency estimates the time to the first event, by the first endpoint of a chain.
	latency map[kwid.EndpointID]*kwqueue.LatencyEstimator
	// firstViewAt is when the first view arrived.
	firstViewAt    time.Time
	entriesPerZone int
}

func newScheduler(cfg Config) *scheduler {
	return &scheduler{
		cfg:              cfg,
		ownLoad:          make(map[kwid.EndpointID]kwdirectproto.Load),
		othersLoad:       make(map[kwid.EndpointID]kwdirectproto.Load),
		inFlight:         make(map[kwid.EndpointID]int),
		reportedInFlight: make(map[kwid.EndpointID]int),
		ejector:          kwretry.NewEjector(cfg.Ejector),
		queue:            kwqueue.NewQueue(cfg.Queue),
		wakeups:          make(map[*kwqueue.Waiter]chan struct{}),
		stallQueries:     newEndpointLimiter(faultCheckInterval),
		probes:           newEndpointLimiter(faultCheckInterval),
		latency:          make(map[kwid.EndpointID]*kwqueue.LatencyEstimator),
	}
}

// applyView updates the known endpoints from a new view and the loads of the other entries.
func (s *scheduler) applyView(v *view, loads []kwdirectproto.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstViewAt.IsZero() {
		s.firstViewAt = time.Now()
	}
	s.entriesPerZone = countEntriesPerZone(v)
	s.ejector.SetEndpointCount(len(v.endpoints))
	s.byAddress = make(map[string]kwid.EndpointID, len(v.endpoints))
	for id, row := range v.endpoints {
		s.byAddress[row.Announcement.Address] = id
	}
	clear(s.othersLoad)
	known := func(id kwid.EndpointID) bool { _, ok := v.endpoints[id]; return ok }
	maps.DeleteFunc(s.latency, func(id kwid.EndpointID, _ *kwqueue.LatencyEstimator) bool { return !known(id) })
	s.stallQueries.retain(known)
	s.probes.retain(known)
	for _, l := range loads {
		s.othersLoad[l.Endpoint] = l
	}
	s.wakeNext()
}

// countEntriesPerZone returns how many entries share the endpoints of one availability zone, rounded up.
func countEntriesPerZone(v *view) int {
	zones := make(map[kwid.AvailabilityZone]bool)
	for _, row := range v.endpoints {
		zones[row.Announcement.Zone] = true
	}
	return max(1, (v.entryCount+len(zones)-1)/max(1, len(zones)))
}

// startupWindow is how long after its first view an entry assumes the other entries of its zone to be as loaded as
// itself: after an outage all may start together with a backlog of requests, before any of them has reported its load.
const startupWindow = time.Second

// loadOf returns the load of an endpoint from all entries; the caller holds the lock.
func (s *scheduler) loadOf(now time.Time, id kwid.EndpointID) kwdirectproto.Load {
	own, others := s.ownLoad[id], s.othersLoad[id]
	if now.Sub(s.firstViewAt) < startupWindow {
		others.Used = max(others.Used, own.Used*kwchainsearch.LayerTokens(s.entriesPerZone-1))
		others.Running = max(others.Running, own.Running*(s.entriesPerZone-1))
	}
	return kwdirectproto.Load{Endpoint: id, Used: own.Used + others.Used, Running: own.Running + others.Running}
}

// ownLoads returns the load of this entry's requests, sorted by endpoint.
func (s *scheduler) ownLoads() []kwdirectproto.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kwdirectproto.Load
	for _, id := range slices.Sorted(maps.Keys(s.ownLoad)) {
		out = append(out, s.ownLoad[id])
	}
	return out
}

// adjustLoad adds the KV cache use and the slot of a request on a chain to the load if sign is 1, and removes them if
// it is -1; the caller holds the lock.
func (s *scheduler) adjustLoad(chain kwchainsearch.Chain, tokens float64, sign float64) {
	for i, stage := range chain.Stages {
		l := s.ownLoad[stage.Endpoint]
		l.Endpoint = stage.Endpoint
		l.Used += kwchainsearch.LayerTokens(sign * tokens * float64(stage.Layers.Len()))
		if i == 0 {
			l.Running += int(sign)
		}
		if l.Used < 1 && l.Running == 0 {
			delete(s.ownLoad, stage.Endpoint)
			continue
		}
		s.ownLoad[stage.Endpoint] = l
	}
}

// release frees the capacity that a request reserved on a chain and wakes the next waiting request.
func (s *scheduler) release(chain kwchainsearch.Chain, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adjustLoad(chain, tokens, -1)
	s.queue.RecordDeparture(time.Now())
	s.wakeNext()
}

// wakeNext wakes the request at the head of the queue; the caller holds the lock.
func (s *scheduler) wakeNext() {
	if waiter := s.queue.Head(); waiter != nil {
		select {
		case s.wakeups[waiter] <- struct{}{}:
		default:
		}
	}
}

// endpointSet is a set of endpoints.
type endpointSet map[kwid.EndpointID]bool

// findChain returns the best chain that has capacity for a request and whose estimated time to the first event is
// within the limit; the caller holds the lock.
func (s *scheduler) findChain(v *view, req chainRequest, limit time.Duration) (kwchainsearch.Chain, bool) {
	now := time.Now()
	r := req.r
	servers := slices.Clone(v.servers[r.service])
	for i := range servers {
		load := s.loadOf(now, servers[i].ID)
		servers[i].Used, servers[i].Running = load.Used, load.Running
	}
	isExcluded := func(id kwid.EndpointID) bool { return req.exclude[id] || s.ejector.Ejected(now, id) }
	return kwchainsearch.Choose(v.index.Service(r.service).Engine, servers, isExcluded, kwchainsearch.Criteria{
		Size:                req.size,
		Home:                s.cfg.Zone,
		FirstEventObjective: r.route.LatencyObjective,
		EventGapObjective:   r.route.EventGapObjective,
		Incomplete:          v.gathering,
		MaxFirstEvent:       limit,
		EstimateFirstEvent: func(first kwid.EndpointID, idle time.Duration) time.Duration {
			return s.latencyOf(first).Estimate(now, idle)
		},
	})
}

// latencyOf returns the estimator of the time to the first event for a first endpoint; the caller holds the lock.
func (s *scheduler) latencyOf(id kwid.EndpointID) *kwqueue.LatencyEstimator {
	l, ok := s.latency[id]
	if !ok {
		l = kwqueue.NewLatencyEstimator(kwqueue.DefaultLatencyConfig())
		s.latency[id] = l
	}
	return l
}

// beginFirstEventWait records that a request waits for its first event.
func (s *scheduler) beginFirstEventWait(id kwid.EndpointID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencyOf(id).Begin(now)
}

// endFirstEventWait records that a request no longer waits for its first event, and whether it received one.
func (s *scheduler) endFirstEventWait(id kwid.EndpointID, began time.Time, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencyOf(id).End(time.Now(), began, received)
	s.wakeNext()
}

// crossZonePenalty is added to the load of an endpoint outside this entry's availability zone, to prefer local ones.
const crossZonePenalty = 2

// pickUnary picks the endpoint with the lowest load for a unary request and counts the request as in flight there.
func (s *scheduler) pickUnary(now time.Time, candidates []kwmembership.Announcement, exclude endpointSet) (kwmembership.Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, found, lowest := kwmembership.Announcement{}, false, 0
	for pass := 0; pass < 2 && !found; pass++ {
		for _, a := range candidates {
			// The second pass admits ejected endpoints, since one of them is better than none.
			if exclude[a.ID] || pass == 0 && s.ejector.Ejected(now, a.ID) {
				continue
			}
			load := 2*s.inFlight[a.ID] + s.reportedInFlight[a.ID]
			if a.Zone != s.cfg.Zone {
				load += crossZonePenalty
			}
			if !found || load < lowest {
				best, found, lowest = a, true, load
			}
		}
	}
	if found {
		s.inFlight[best.ID]++
	}
	return best, found
}

// finishUnary ends a unary request; reported is the number of requests in flight that the endpoint reported, -1 if
// none.
func (s *scheduler) finishUnary(id kwid.EndpointID, reported int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[id]--; s.inFlight[id] <= 0 {
		delete(s.inFlight, id)
	}
	if reported > 0 {
		s.reportedInFlight[id] = reported
	} else {
		delete(s.reportedInFlight, id)
	}
}

// eject takes an endpoint out of use for a while.
func (s *scheduler) eject(now time.Time, id kwid.EndpointID) { s.ejector.Fail(now, id) }

// ejectAddress ejects the endpoint at an address and returns its ID, or false if no endpoint is known there.
func (s *scheduler) ejectAddress(now time.Time, address string) (kwid.EndpointID, bool) {
	id, ok := s.endpointAt(address)
	if ok {
		s.ejector.Fail(now, id)
	}
	return id, ok
}

// endpointAt returns the ID of the endpoint at an address, or false if no endpoint is known there.
func (s *scheduler) endpointAt(address string) (kwid.EndpointID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.byAddress[address]
	return id, ok
}

// recordSuccess clears the failure history of the endpoints of a chain.
func (s *scheduler) recordSuccess(chain kwchainsearch.Chain) {
	for _, stage := range chain.Stages {
		s.ejector.RecordSuccess(stage.Endpoint)
	}
}
