package kwdirectentry

import (
	"context"
	"errors"
	"slices"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdispatch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
)

// endpointLimits finds the limits of the listed processes of endpoints.
type endpointLimits struct {
	limits  *kwendpointlimit.Limits
	leavers *kwmembership.Leavers
}

var _ kwdispatch.RequestLimits = endpointLimits{}

func (e endpointLimits) None() bool { return e.limits.None() }

func (e endpointLimits) Wait(now time.Time, id kwid.EndpointID) time.Duration {
	if e.limits.None() {
		return 0
	}
	process, _ := e.leavers.Process(id)
	return e.limits.Wait(now, process)
}

func (e endpointLimits) Share(now time.Time, id kwid.EndpointID) (kwendpointlimit.Rate, bool) {
	process, _ := e.leavers.Process(id)
	return e.limits.Share(now, process)
}

func (e endpointLimits) Want(now time.Time, id kwid.EndpointID) {
	process, _ := e.leavers.Process(id)
	e.limits.Want(now, process)
}

func (e endpointLimits) Take(now time.Time, id kwid.EndpointID) {
	if e.limits.None() {
		return
	}
	process, _ := e.leavers.Process(id)
	e.limits.Take(now, process)
}

func (e endpointLimits) Return(now time.Time, id kwid.EndpointID) {
	if e.limits.None() {
		return
	}
	process, _ := e.leavers.Process(id)
	e.limits.Return(now, process)
}

// limitedError rejects a request whose endpoints are all at the limits that they have named; room is when one is expected to take it.
func limitedError(service kwid.ServiceName, room time.Duration) *kwcode.Error {
	return kwcode.New(kwcode.EndpointLimit, "every endpoint of service %q that could serve the request is at its limit", service).After(room)
}

// awaitTurn picks the endpoint of the next attempt of a call once one of those at their limit takes another request. It returns false if
// there is no such endpoint, or rejects the call if that would take too long.
func (g *Gateway) awaitTurn(ctx context.Context, u *unaryState) (kwmembership.Announcement, bool) {
	if g.scheduler.limits.None() || !g.scheduler.anyLimited(g.liveEndpoints(u.q)) || ctx.Err() != nil {
		return kwmembership.Announcement{}, false
	}
	waiting, leave := ctx, func() {}
	if u.unsent() {
		waiting, leave = g.whileInTime(ctx, g.calls, u.q)
	}
	begin := time.Now()
	endpoint, ok, err := g.scheduler.awaitTurn(waiting, u, func() []kwmembership.Announcement { return g.liveEndpoints(u.q) })
	if !ok && errors.Is(context.Cause(waiting), errTooLate) {
		err = endsLateError()
	}
	leave()
	if err != nil {
		u.attempts.refusal = err
		u.attempts.lastErr = err
	}
	u.q.limited = true
	u.q.waited += time.Since(begin)
	return endpoint, ok
}

// awaitTurn has a call wait for a turn in the queue of its service; err rejects it.
func (s *scheduler) awaitTurn(
	ctx context.Context, u *unaryState, candidates func() []kwmembership.Announcement,
) (endpoint kwmembership.Announcement, ok bool, err *kwcode.Error) {
	q, exclude := u.q, u.attempts.exclude
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.callQueue(q.service)
	now := time.Now()
	turns, limited := s.turnsOf(now, candidates(), exclude)
	if !limited {
		return endpoint, false, nil
	}
	decision := queue.Join(now, kwqueue.Place{Declared: q.basePriority(), Urgency: q.urgency(), Workspace: q.workspaceName()}, q.remaining(), turns)
	waiter := decision.Waiter
	if waiter == nil {
		return endpoint, false, limitedError(q.service, decision.RetryAfter)
	}
	wake := make(chan struct{}, 1)
	s.wakeups[waiter] = wake
	defer func() {
		queue.Leave(waiter)
		delete(s.wakeups, waiter)
		if next := queue.Head(); next != nil {
			s.wake(next)
		} else {
			delete(s.callQueues, q.service)
		}
	}()
	timer := time.NewTimer(decision.Sleep)
	defer timer.Stop()
	for {
		s.waitForWakeup(ctx, wake, timer)
		if ctx.Err() != nil {
			return endpoint, false, nil
		}
		now = time.Now()
		if queue.Head() == waiter {
			if endpoint, ok = s.pickUnaryLocked(now, candidates(), exclude, nil, true); ok {
				return endpoint, true, nil
			}
		}
		if turns, limited = s.turnsOf(now, candidates(), exclude); !limited {
			return endpoint, false, nil
		}
		if decision = queue.Again(now, waiter, turns); decision.Waiter == nil {
			return endpoint, false, limitedError(q.service, decision.RetryAfter)
		}
		timer.Reset(decision.Sleep)
	}
}

// callQueue returns the queue of the calls of a service; the caller holds the lock.
func (s *scheduler) callQueue(service kwid.ServiceName) *kwdispatch.CallQueue {
	queue := s.callQueues[service]
	if queue == nil {
		queue = kwdispatch.NewCallQueue(s.cfg.Queue)
		s.callQueues[service] = queue
	}
	return queue
}

// anyLimited reports whether one of some endpoints has a limit.
func (s *scheduler) anyLimited(endpoints []kwmembership.Announcement) bool {
	now := time.Now()
	return slices.ContainsFunc(endpoints, func(a kwmembership.Announcement) bool {
		_, limited := s.limits.Share(now, a.Process())
		return limited
	})
}

// atLimit reports whether an endpoint may get no call now because of its limit; waited means that the call is the first of those that wait
// for a turn.
func (s *scheduler) atLimit(now time.Time, a kwmembership.Announcement, waited bool) bool {
	if s.limits.None() {
		return false
	}
	if s.limits.Wait(now, a.Process()) > 0 {
		return true
	}
	_, limited := s.limits.Share(now, a.Process())
	queue := s.callQueues[a.Service]
	return limited && !waited && queue != nil && queue.Len() > 0
}

// turnsOf returns when those of some endpoints that have a limit take requests, or false if none has one.
func (s *scheduler) turnsOf(now time.Time, candidates []kwmembership.Announcement, exclude endpointSet) (turns kwdispatch.Turns, limited bool) {
	for _, a := range candidates {
		p := a.Process()
		if exclude[a.ID] || s.leavers.Leaving(p) || s.pauses.Remaining(now, p) > 0 {
			continue
		}
		share, ok := s.limits.Share(now, p)
		if !ok {
			continue
		}
		if wait := s.limits.Wait(now, p); !limited || wait < turns.Wait {
			turns.Wait = wait
		}
		turns.Rate += share
		limited = true
	}
	return turns, limited
}
