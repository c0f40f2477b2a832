package kwdispatch

import (
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
)

// classRequest returns a request of a class of a service whose longest objective is 1.2 s.
func classRequest(now time.Time, priority int, objective time.Duration) Request {
	r := request(now)
	r.DeclaredPriority, r.FirstEventObjective, r.FirstEventTimeout = priority, objective, 2*objective
	r.WaitObjective = longestObjective
	return r
}

const longestObjective = 1200 * time.Millisecond

// fullDispatcher returns a dispatcher whose chains are all in use and that releases one at each interval.
func fullDispatcher(t *testing.T, now *time.Time, fleet Fleet, interval time.Duration) (*Dispatcher, kwchainsearch.Chain) {
	t.Helper()
	d := newDispatcher()
	var chain kwchainsearch.Chain
	for {
		decision := d.Dispatch(*now, fleet, request(*now))
		if !decision.Granted {
			d.Withdraw(decision.Waiter)
			break
		}
		chain = decision.Chain
	}
	for range 30 {
		d.Release(*now, chain, requestTokens)
		d.Loads().Reserve(chain, requestTokens)
		*now = now.Add(interval)
	}
	return d, chain
}

// TestMoreUrgentWaitsAsLong has a request of a short objective and one of a long objective wait. The more urgent one must not be rejected
// before the other, which would get the next chain otherwise.
func TestMoreUrgentWaitsAsLong(t *testing.T) {
	now := time.Unix(100, 0)
	fleet := testFleet(1)
	d, chain := fullDispatcher(t, &now, fleet, 400*time.Millisecond)
	background := d.Dispatch(now, fleet, classRequest(now, 2, longestObjective))
	r := classRequest(now, 0, firstEventObjective)
	urgent := d.Dispatch(now, fleet, r)
	if background.Waiter == nil || urgent.Waiter == nil {
		t.Fatalf("got %+v and %+v, want both to wait", background, urgent)
	}
	if got, want := urgent.Waiter.Deadline(), background.Waiter.Deadline(); got.Before(want) {
		t.Errorf("wait limit of the more urgent request: got %v, want %v at least", got.Sub(now), want.Sub(now))
	}
	now = now.Add(600 * time.Millisecond)
	d.Release(now, chain, requestTokens)
	if d.Next() != urgent.Waiter {
		t.Fatal("the more urgent request is not the next")
	}
	if got := d.Retry(now, fleet, r, urgent.Waiter); !got.Granted {
		t.Errorf("after 600ms: got %+v, want a chain", got)
	}
}
