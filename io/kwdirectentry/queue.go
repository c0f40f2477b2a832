package kwdirectentry

import (
	"context"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwqueue"
)

// chainRequest is a request for capacity on a chain.
type chainRequest struct {
	r           *request
	size        kwchainsearch.RequestSize
	exclude     endpointSet
	currentView func() *view
}

// acquireChain reserves capacity on a chain, waiting in the queue if necessary, and returns how long that took. The
// error is a rejection or the error of the context.
func (s *scheduler) acquireChain(ctx context.Context, req chainRequest) (kwchainsearch.Chain, time.Duration, error) {
	begin := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() == 0 || req.r.broken {
		chain, ok, err := s.tryReserve(req, false)
		if ok || err != nil {
			return chain, 0, err
		}
	}
	left := time.Hour
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	waiter, retryAfter := s.queue.Push(begin, req.r.priority(), req.r.waitObjective(), left)
	if waiter != nil {
		chain, err := s.waitInQueue(ctx, req, waiter)
		return chain, time.Since(begin), err
	}
	chain, ok, err := s.tryReserve(req, true)
	if !ok && err == nil {
		err = kwcode.New(kwcode.EntryOverloaded, "%d requests are queued already and service %q has no capacity", s.queue.Len(), req.r.service).After(retryAfter)
	}
	return chain, 0, err
}

// tryReserve reserves capacity on a chain if one has any; the caller holds the lock. A chain whose first event would be
// late counts as full, so that requests do not queue up inside the engines. If allowLate is set, or if the request is
// late or broken already, a late answer is better than none and only the first-event timeout bounds it.
func (s *scheduler) tryReserve(req chainRequest, allowLate bool) (chain kwchainsearch.Chain, ok bool, err error) {
	v := req.currentView()
	service := v.index.Service(req.r.service)
	if service == nil || service.Engine == nil {
		return chain, false, kwcode.New(kwcode.UnknownService, "service %q is not declared or has no engine", req.r.service)
	}
	if len(v.servers[req.r.service]) == 0 && !v.gathering {
		return chain, false, kwcode.New(kwcode.NoChain, "no endpoint of service %q holds model layers", req.r.service)
	}
	limit := req.r.route.LatencyObjective
	if allowLate || req.r.broken || req.r.isLate() {
		limit = firstEventTimeout(req.r)
	}
	if chain, ok = s.findChain(v, req, limit); ok {
		s.adjustLoad(chain, req.size.TotalTokens, 1)
	}
	return chain, ok, nil
}

// waitInQueue waits until a queued request gets a chain or its waiting time is over; the caller holds the lock, which
// is released while it sleeps.
func (s *scheduler) waitInQueue(ctx context.Context, req chainRequest, waiter *kwqueue.Waiter) (kwchainsearch.Chain, error) {
	wake := make(chan struct{}, 1)
	s.wakeups[waiter] = wake
	defer func() {
		s.queue.Remove(waiter)
		delete(s.wakeups, waiter)
		s.wakeNext()
	}()
	timer := time.NewTimer(time.Until(waiter.Deadline()))
	defer timer.Stop()
	for {
		timedOut := s.waitForWakeup(ctx, wake, timer)
		if ctx.Err() != nil {
			return kwchainsearch.Chain{}, ctx.Err()
		}
		if timedOut || s.queue.Head() == waiter {
			chain, ok, err := s.tryReserve(req, timedOut)
			if ok || err != nil {
				return chain, err
			}
		}
		if timedOut {
			retryAfter := s.queue.RetryAfter(time.Now())
			return kwchainsearch.Chain{}, kwcode.New(kwcode.NoChain, "no chain of service %q has capacity", req.r.service).After(retryAfter)
		}
	}
}

// waitForWakeup releases the lock until the request is woken, its timer fires or its context ends.
func (s *scheduler) waitForWakeup(ctx context.Context, wake <-chan struct{}, timer *time.Timer) (timedOut bool) {
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-wake:
	case <-timer.C:
		timedOut = true
	case <-ctx.Done():
	}
	return timedOut
}
