package kwdirectentry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwdirectproto"
)

// scheduler serializes the decisions of the dispatcher, wakes requests that wait for a chain, and picks the endpoints of unary
// requests. It is safe for concurrent use.
type scheduler struct {
	cfg        Config
	mu         sync.Mutex
	dispatcher *kwdispatch.Dispatcher
	// inFlight counts this entry's unary requests, reportedInFlight is the count that the endpoint last reported.
	inFlight         map[kwid.EndpointID]int
	reportedInFlight map[kwid.EndpointID]int
	byAddress        map[string]kwid.EndpointID
	ejector          *kwretry.Ejector
	leavers          *kwmembership.Leavers
	// announcedLeavers remembers the processes that leave by a view, until long after their stop.
	announcedLeavers *kwmembership.Leavers
	pauses           *kwretry.Pauses
	limits           *kwendpointlimit.Limits
	admission        *kwadmission.Gate
	// admissionIndex is the declaration that the services of admission were found in.
	admissionIndex *kwdeclaration.Index
	// callQueues holds the calls that wait for a turn of an endpoint, by service.
	callQueues map[kwid.ServiceName]*kwdispatch.CallQueue
	wakeups    map[*kwqueue.Waiter]chan struct{}
	// returnDetector recognises the callers of streams that were rejected before.
	returnDetector *kwdispatch.ReturnDetector
	// stallQueries and probes limit how often an endpoint is queried for stalled requests and probed.
	stallQueries, probes *endpointLimiter
}

func newScheduler(cfg Config) *scheduler {
	ejector := kwretry.NewEjector(cfg.Ejector)
	leavers := kwmembership.NewLeavers()
	pauses := kwretry.NewPauses(rand.Float64)
	pauseOf := func(now time.Time, id kwid.EndpointID) time.Duration {
		if pauses.None() {
			return 0
		}
		process, _ := leavers.Process(id)
		return pauses.Remaining(now, process)
	}
	closed := func(now time.Time, id kwid.EndpointID) bool {
		return leavers.EndpointLeaving(id) || pauseOf(now, id) > 0
	}
	limits := kwendpointlimit.NewLimits(cfg.Node)
	admission := kwadmission.NewGate(kwadmission.DefaultGateConfig(cfg.Node))
	unavailable := func(now time.Time, id kwid.EndpointID) bool { return ejector.Ejected(now, id) || closed(now, id) }
	silent := func(now time.Time, id kwid.EndpointID) bool { return ejector.Silent(now, id) && !closed(now, id) }
	return &scheduler{
		cfg: cfg,
		dispatcher: kwdispatch.New(kwdispatch.Config{
			Entry: cfg.Node, Zone: cfg.Zone, Queue: cfg.Queue, Unavailable: unavailable, Silent: silent, PauseOf: pauseOf,
			Limits: endpointLimits{limits, leavers}, Admission: admission, ReturnReserve: cfg.ReturnReserve,
		}),
		inFlight:         make(map[kwid.EndpointID]int),
		reportedInFlight: make(map[kwid.EndpointID]int),
		ejector:          ejector,
		leavers:          leavers,
		announcedLeavers: kwmembership.NewLeavers(),
		pauses:           pauses,
		limits:           limits,
		admission:        admission,
		callQueues:       make(map[kwid.ServiceName]*kwdispatch.CallQueue),
		wakeups:          make(map[*kwqueue.Waiter]chan struct{}),
		returnDetector:   kwdispatch.NewReturnDetector(),
		stallQueries:     newEndpointLimiter(faultCheckInterval),
		probes:           newEndpointLimiter(faultCheckInterval),
	}
}

// applyView updates the known endpoints from a new view and the loads of the other entries.
func (s *scheduler) applyView(v *view, loads []kwdirectproto.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejector.SetEndpointCount(len(v.endpoints))
	s.byAddress = make(map[string]kwid.EndpointID, len(v.endpoints))
	processes := make(map[kwid.EndpointID]kwmembership.StartMillis, len(v.endpoints))
	for id, row := range v.endpoints {
		s.byAddress[row.Announcement.Address] = id
		processes[id] = row.Announcement.StartedMillis
	}
	s.leavers.SetProcesses(time.Now(), processes)
	s.announcedLeavers.SetProcesses(time.Now(), processes)
	s.limits.SetEntryCount(time.Now(), v.entryCount)
	s.limits.Retain(func(p kwmembership.Process) bool {
		started, ok := processes[p.Endpoint]
		return ok && started == p.StartedMillis
	})
	s.setAdmissionServices(v)
	known := func(id kwid.EndpointID) bool { _, ok := v.endpoints[id]; return ok }
	s.dispatcher.Retain(known)
	s.dispatcher.RetainServices(v.hasService)
	s.returnDetector.Retain(v.hasRoute)
	s.stallQueries.retain(known)
	s.probes.retain(known)
	others := make(map[kwid.EndpointID]kwdispatch.Load, len(loads))
	for _, l := range loads {
		others[l.Endpoint] = kwdispatch.Load{Used: l.Used, Running: l.Running}
	}
	s.dispatcher.Loads().ApplyReport(time.Now(), others, countEntriesPerZone(v))
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

// ownLoads returns the load of this entry's requests, sorted by endpoint.
func (s *scheduler) ownLoads() []kwdirectproto.Load {
	s.mu.Lock()
	own := s.dispatcher.Loads().Own()
	s.mu.Unlock()
	var out []kwdirectproto.Load
	for _, id := range slices.Sorted(maps.Keys(own)) {
		out = append(out, kwdirectproto.Load{Endpoint: id, Used: own[id].Used, Running: own[id].Running})
	}
	return out
}

// release frees the capacity that a request reserved on a chain and wakes the next waiting request.
func (s *scheduler) release(chain kwchainsearch.Chain, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Release(time.Now(), chain, tokens)
	s.wakeNext()
}

// releaseUnsent frees what a request reserved that was not sent to its chain, and wakes the next waiting request.
func (s *scheduler) releaseUnsent(chain kwchainsearch.Chain, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.ReleaseUnsent(time.Now(), chain, tokens)
	s.wakeNext()
}

// observeCaller records the time that the caller of a stream has left, as it has said, and reports whether it was rejected before.
func (s *scheduler) observeCaller(now time.Time, route string, remaining time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returnDetector.Observe(now, route, remaining)
}

// promise returns when the caller of a request that endpoints have refused is to come back.
func (s *scheduler) promise(ctx context.Context, req chainRequest) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Promise(time.Now(), req.dispatchRequest(ctx))
}

// wakeNext wakes the request at the head of the queue; the caller holds the lock.
func (s *scheduler) wakeNext() {
	if waiter := s.dispatcher.Next(); waiter != nil {
		s.wake(waiter)
	}
}

// wake wakes a waiting request; the caller holds the lock.
func (s *scheduler) wake(waiter *kwqueue.Waiter) {
	select {
	case s.wakeups[waiter] <- struct{}{}:
	default:
	}
}

// endpointSet is a set of endpoints.
type endpointSet map[kwid.EndpointID]bool

// beginFirstEventWait records that a request waits for its first event.
func (s *scheduler) beginFirstEventWait(id kwid.EndpointID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.BeginFirstEventWait(now, id)
}

// endFirstEventWait records that a request no longer waits for its first event, and whether it received one.
func (s *scheduler) endFirstEventWait(id kwid.EndpointID, now, began time.Time, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.EndFirstEventWait(now, id, began, received)
	s.wakeNext()
}

// observe records how long an answer of a service was and took.
func (s *scheduler) observe(service kwid.ServiceName, a kwdispatch.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Observe(time.Now(), service, a)
}

// handOver reserves a faster chain for a stream that may not end before the entry exits, if there is one.
func (s *scheduler) handOver(ctx context.Context, req chainRequest, present kwchainsearch.Chain, p kwdispatch.Progress) (kwchainsearch.Chain, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet, err := req.fleet()
	if err != nil {
		return kwchainsearch.Chain{}, false
	}
	return s.dispatcher.HandOver(time.Now(), fleet, req.dispatchRequest(ctx), present, p)
}

// crossZonePenalty is added to the load of an endpoint outside this entry's availability zone, to prefer local ones.
const crossZonePenalty = 2

// pickUnary picks the endpoint with the lowest load for a unary request, other than those that are excluded, were not reached or are at
// the limit that they have named, and counts the request as in flight there.
func (s *scheduler) pickUnary(now time.Time, candidates []kwmembership.Announcement, exclude, unreached endpointSet) (kwmembership.Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pickUnaryLocked(now, candidates, exclude, unreached, false)
}

// pickUnaryLocked is pickUnary for callers that hold the lock. The turns of endpoints with a limit belong to the calls that wait for them,
// if there are any; waited means that the request is the first of these.
func (s *scheduler) pickUnaryLocked(
	now time.Time, candidates []kwmembership.Announcement, exclude, unreached endpointSet, waited bool,
) (kwmembership.Announcement, bool) {
	best, found, lowest := kwmembership.Announcement{}, false, 0
	type candidate struct {
		endpoint kwmembership.Announcement
		load     int
	}
	var atLimit []candidate
	for pass := 0; pass < 2 && !found; pass++ {
		for _, a := range candidates {
			// The second pass admits ejected endpoints, since one of them is better than none, but not those that leave or
			// want no requests.
			closed := s.leavers.Leaving(a.Process()) || s.pauses.Remaining(now, a.Process()) > 0
			if exclude[a.ID] || unreached[a.ID] || closed || pass == 0 && s.ejector.Ejected(now, a.ID) {
				continue
			}
			load := 2*s.inFlight[a.ID] + s.reportedInFlight[a.ID]
			if a.Zone != s.cfg.Zone {
				load += crossZonePenalty
			}
			if s.atLimit(now, a, waited) {
				atLimit = append(atLimit, candidate{a, load})
				continue
			}
			if !found || load < lowest {
				best, found, lowest = a, true, load
			}
		}
	}
	for _, c := range atLimit {
		if !found || c.load < lowest {
			s.limits.Want(now, c.endpoint.Process())
		}
	}
	if found {
		s.inFlight[best.ID]++
		s.limits.Take(now, best.Process())
	}
	return best, found
}

// finishUnary ends a unary request; reported is the number of requests in flight that the endpoint reported, -1 if
// none.
func (s *scheduler) finishUnary(id kwid.EndpointID, reported int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnary(id)
	if reported > 0 {
		s.reportedInFlight[id] = reported
	} else {
		delete(s.reportedInFlight, id)
	}
}

// withdrawUnary ends a unary request that was not sent to its endpoint, which leaves what the endpoint last reported.
func (s *scheduler) withdrawUnary(endpoint kwmembership.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnary(endpoint.ID)
	s.limits.Return(time.Now(), endpoint.Process())
}

// removeUnary counts a unary request as no longer in flight; the caller holds the lock.
func (s *scheduler) removeUnary(id kwid.EndpointID) {
	if s.inFlight[id]--; s.inFlight[id] <= 0 {
		delete(s.inFlight, id)
	}
}

// eject takes an endpoint out of use for a while; one that is only silent is still used where there is no other.
func (s *scheduler) eject(now time.Time, id kwid.EndpointID, silent bool) {
	if silent {
		s.ejector.FailSilent(now, id)
		return
	}
	s.ejector.Fail(now, id)
}

// ejectAddress ejects the endpoint at an address and returns its ID, or false if no endpoint is known there.
func (s *scheduler) ejectAddress(now time.Time, address string, silent bool) (kwid.EndpointID, bool) {
	id, ok := s.endpointAt(address)
	if ok {
		s.eject(now, id, silent)
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
