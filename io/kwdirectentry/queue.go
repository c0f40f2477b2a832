package kwdirectentry

import (
	"context"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwqueue"
)

// wish is a request that wants a chain.
type wish struct {
	r    *request
	need kwchainsearch.RequestSize
	out  excluded
	view func() *view
}

// chain waits for room, reserves it, and returns how long that took. An error is a rejection, or the context's.
func (c *chooser) chain(ctx context.Context, w wish) (kwchainsearch.Chain, time.Duration, error) {
	begin := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Len() == 0 || w.r.broken {
		chain, ok, err := c.take(w, false)
		if ok || err != nil {
			return chain, 0, err
		}
	}
	left := time.Hour
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	t, after := c.queue.Push(begin, w.r.priority(), w.r.turn(), left)
	if t != nil {
		chain, err := c.await(ctx, w, t)
		return chain, time.Since(begin), err
	}
	chain, ok, err := c.take(w, true)
	if !ok && err == nil {
		err = kwcode.New(kwcode.EntryOverloaded, "%d requests wait for room at %q", c.queue.Len(), w.r.service).After(after)
	}
	return chain, 0, err
}

// take reserves a chain if one has room; the caller holds the lock. A chain that would be late counts as full, so that
// requests do not queue up inside the engines, unless late is set or the request is late already: then a late answer is
// better than none.
func (c *chooser) take(w wish, late bool) (chain kwchainsearch.Chain, ok bool, err error) {
	v := w.view()
	service := v.index.Service(w.r.service)
	if service == nil || service.Engine == nil {
		return chain, false, kwcode.New(kwcode.UnknownService, "service %q", w.r.service)
	}
	if len(v.chained[w.r.service]) == 0 && !v.partial {
		return chain, false, kwcode.New(kwcode.NoChain, "no endpoint of %q holds layers", w.r.service)
	}
	limit := w.r.route.LatencyObjective
	if late || w.r.broken || w.r.late() {
		limit = firstWait(w.r)
	}
	if chain, ok = c.search(v, w, limit); ok {
		c.reserve(chain, w.need.TotalTokens, 1)
	}
	return chain, ok, nil
}

// await waits for the turn of a request in the queue; the caller holds the lock, which is free in between.
func (c *chooser) await(ctx context.Context, w wish, t *kwqueue.Waiter) (kwchainsearch.Chain, error) {
	wake := make(chan struct{}, 1)
	c.wake[t] = wake
	defer func() {
		c.queue.Remove(t)
		delete(c.wake, t)
		c.next()
	}()
	timer := time.NewTimer(time.Until(t.Deadline()))
	defer timer.Stop()
	for {
		timedOut := c.sleep(ctx, wake, timer)
		if ctx.Err() != nil {
			return kwchainsearch.Chain{}, ctx.Err()
		}
		if timedOut || c.queue.Head() == t {
			chain, ok, err := c.take(w, timedOut)
			if ok || err != nil {
				return chain, err
			}
		}
		if timedOut {
			after := c.queue.RetryAfter(time.Now())
			return kwchainsearch.Chain{}, kwcode.New(kwcode.NoChain, "no chain of %q has room", w.r.service).After(after)
		}
	}
}

// sleep gives the lock up until the request is woken, its time is over or its caller has left.
func (c *chooser) sleep(ctx context.Context, wake <-chan struct{}, timer *time.Timer) (timedOut bool) {
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-wake:
	case <-timer.C:
		timedOut = true
	case <-ctx.Done():
	}
	return timedOut
}
