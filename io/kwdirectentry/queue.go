package kwdirectentry

import (
	"context"
	"slices"
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdispatch"
)

// chainRequest is a request for capacity on a chain.
type chainRequest struct {
	r           *request
	size        kwchainsearch.RequestSize
	exclude     endpointSet
	unreached   endpointSet
	currentView func() *view
	// exitTime returns when the entry ends its requests in progress, zero if it is not stopping.
	exitTime func() time.Time
}

// dispatchRequest returns what the dispatcher needs to know of the request.
func (c chainRequest) dispatchRequest(ctx context.Context) kwdispatch.Request {
	deadline, _ := ctx.Deadline()
	if exit := c.exitTime(); !exit.IsZero() && (deadline.IsZero() || exit.Before(deadline)) {
		deadline = exit
	}
	return kwdispatch.Request{
		Service:             c.r.service,
		Size:                c.size,
		FirstEventObjective: c.r.route.LatencyObjective,
		EventGapObjective:   c.r.route.EventGapObjective,
		WaitObjective:       c.r.view.index.PriorityClasses(c.r.service).WaitObjective(c.r.basePriority()),
		FirstEventTimeout:   firstEventTimeout(c.r),
		WaitingSince:        c.r.arrived,
		Deadline:            deadline,
		Broken:              c.r.broken,
		Exit:                c.exitTime(),
		AnswerTokens:        c.r.answerTokens(),
		MaxAnswerTokens:     c.r.meta.MaxAnswerTokens,
		DeclaredPriority:    c.r.basePriority(),
		Returning:           c.r.returning,
		Workspace:           c.r.workspaceName(),
		Admitted:            c.r.admission.Counted,
		Excluded:            c.exclude,
		Unreached:           c.unreached,
	}
}

// firstEventPatience returns how long the first event of a request on its chain may take.
func (s *scheduler) firstEventPatience(ctx context.Context, req chainRequest, chain kwchainsearch.Chain) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.FirstEventPatience(time.Now(), chain, req.dispatchRequest(ctx))
}

// fleet returns the servers of the request's service in the present view, or an error if none of them holds model layers. Where the
// present declaration does not describe them, or has no chain of them, the one that the request was accepted under is used: it may be
// what they still run.
func (c chainRequest) fleet() (kwdispatch.Fleet, error) {
	v, name := c.currentView(), c.r.service
	engine, servers := v.modelEngine(name), v.servers[name]
	if accepted := c.r.view.modelEngine(name); engine != accepted && !holdsChain(engine, servers, c.size) {
		if s := v.modelServers(name, accepted); len(servers) == 0 || holdsChain(accepted, s, c.size) {
			engine, servers = accepted, s
		}
	}
	if engine == nil || len(servers) == 0 && !v.gathering {
		return kwdispatch.Fleet{}, kwcode.New(kwcode.NoChain, "no endpoint of service %q holds model layers", name)
	}
	return kwdispatch.Fleet{Engine: engine, Servers: servers, Incomplete: v.gathering}, nil
}

// holdsChain reports whether servers without load have a chain for a request. Servers with more layers than the engine run another model.
func holdsChain(engine *kwdeclaration.Engine, servers []kwchainsearch.Server, size kwchainsearch.RequestSize) bool {
	if engine == nil || len(servers) == 0 {
		return false
	}
	if slices.ContainsFunc(servers, func(s kwchainsearch.Server) bool { return int(s.Layers.To) > engine.Layers }) {
		return false
	}
	_, ok := kwchainsearch.NewSearch(engine, servers).Best(size)
	return ok
}

// tryChain reserves capacity on a chain for a stream to move to, without waiting; it returns false if there is none.
func (s *scheduler) tryChain(ctx context.Context, req chainRequest) (kwchainsearch.Chain, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet, err := req.fleet()
	if err != nil {
		return kwchainsearch.Chain{}, false
	}
	return s.dispatcher.TryReserve(time.Now(), fleet, req.dispatchRequest(ctx))
}

// acquireChain reserves capacity on a chain, waiting in the queue if necessary, and returns how long that took. The
// error is a rejection or the error of the context.
func (s *scheduler) acquireChain(ctx context.Context, req chainRequest) (kwchainsearch.Chain, time.Duration, error) {
	begin := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	fleet, err := req.fleet()
	if err != nil {
		return kwchainsearch.Chain{}, 0, err
	}
	decision := s.dispatcher.Dispatch(begin, fleet, req.dispatchRequest(ctx))
	if decision.Admission.Counted {
		req.r.admission = decision.Admission
	}
	switch {
	case decision.Granted:
		return decision.Chain, 0, nil
	case decision.Waiter != nil:
		for _, shed := range decision.Shed {
			s.wake(shed)
		}
		chain, err := s.waitInQueue(ctx, req, decision)
		return chain, time.Since(begin), err
	}
	if decision.Admission.Action == kwadmission.Reject {
		return kwchainsearch.Chain{}, 0, withheldError(req.r, decision)
	}
	if decision.EndsLate {
		return kwchainsearch.Chain{}, 0, endsLateError()
	}
	if !req.exitTime().IsZero() {
		return kwchainsearch.Chain{}, 0, stoppingError("no chain is expected to have capacity before the entry stops")
	}
	if decision.Paused {
		return kwchainsearch.Chain{}, 0, pausedError(req, decision)
	}
	if decision.Limited {
		return kwchainsearch.Chain{}, 0, limitedError(req.r.service, decision.RetryAfter)
	}
	rejection := kwcode.New(kwcode.EntryOverloaded, "%d requests are queued already and service %q has no capacity", s.dispatcher.Waiting(), req.r.service)
	return kwchainsearch.Chain{}, 0, rejection.After(decision.RetryAfter)
}

// pausedError rejects a request whose servers want no requests.
func pausedError(req chainRequest, decision kwdispatch.Decision) error {
	err := kwcode.New(kwcode.NoChain, "every chain of service %q has a server that wants no requests", req.r.service)
	return err.After(decision.RetryAfter)
}

// waitInQueue waits until a queued request gets a chain or its waiting time is over; the caller holds the lock, which
// is released while it sleeps.
func (s *scheduler) waitInQueue(ctx context.Context, req chainRequest, decision kwdispatch.Decision) (kwchainsearch.Chain, error) {
	waiter := decision.Waiter
	wake := make(chan struct{}, 1)
	s.wakeups[waiter] = wake
	defer func() {
		s.dispatcher.Withdraw(waiter)
		delete(s.wakeups, waiter)
		s.wakeNext()
	}()
	timer := time.NewTimer(nextLook(decision))
	defer timer.Stop()
	for {
		s.waitForWakeup(ctx, wake, timer)
		if ctx.Err() != nil {
			return kwchainsearch.Chain{}, ctx.Err()
		}
		fleet, err := req.fleet()
		if err != nil {
			return kwchainsearch.Chain{}, err
		}
		req.r.limited = req.r.limited || decision.Recheck > 0
		decision = s.dispatcher.Retry(time.Now(), fleet, req.dispatchRequest(ctx), waiter)
		if decision.Granted {
			return decision.Chain, nil
		}
		if decision.EndsLate {
			return kwchainsearch.Chain{}, endsLateError()
		}
		if decision.Waiter == nil && !req.exitTime().IsZero() {
			return kwchainsearch.Chain{}, stoppingError("no chain has had capacity, and the entry is stopping")
		}
		if decision.Paused {
			return kwchainsearch.Chain{}, pausedError(req, decision)
		}
		if decision.Limited {
			return kwchainsearch.Chain{}, limitedError(req.r.service, decision.RetryAfter)
		}
		if decision.Displaced {
			err := kwcode.New(kwcode.EntryOverloaded, "more urgent requests have taken the turn of this one of service %q", req.r.service)
			return kwchainsearch.Chain{}, err.After(decision.RetryAfter)
		}
		if decision.Waiter == nil {
			return kwchainsearch.Chain{}, kwcode.New(kwcode.NoChain, "no chain of service %q has capacity", req.r.service).After(decision.RetryAfter)
		}
		timer.Reset(nextLook(decision))
	}
}

// nextLook returns how long a request may wait until it is decided on again, if nothing changes.
func nextLook(decision kwdispatch.Decision) time.Duration {
	left := time.Until(decision.Waiter.Deadline())
	if decision.Recheck > 0 {
		return min(left, decision.Recheck)
	}
	return left
}

// waitForWakeup releases the lock until the request is woken, its timer fires or its context ends.
func (s *scheduler) waitForWakeup(ctx context.Context, wake <-chan struct{}, timer *time.Timer) {
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}
