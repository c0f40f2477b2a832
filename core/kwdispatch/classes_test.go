package kwdispatch

import (
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
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
	for range 200 {
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

// TestUrgentShedTail has urgent requests join before less urgent ones that then cannot expect their turn in time. Those at the tail must
// be rejected at once and not at the end of their wait; others of the same declared priority must stay.
func TestUrgentShedTail(t *testing.T) {
	now := time.Unix(100, 0)
	fleet := testFleet(1)
	// In 840 ms, the longest wait of all, eight requests leave.
	d, _ := fullDispatcher(t, &now, fleet, 100*time.Millisecond)
	var waiters []*kwqueue.Waiter
	for i := range 8 {
		decision := d.Dispatch(now, fleet, classRequest(now, 2-i/6, longestObjective))
		if decision.Waiter == nil || len(decision.Shed) > 0 {
			t.Fatalf("request %d: got %+v, want it to wait behind all", i, decision)
		}
		waiters = append(waiters, decision.Waiter)
	}
	if late := d.Dispatch(now, fleet, classRequest(now, 2, longestObjective)); late.Waiter != nil || len(late.Shed) > 0 {
		t.Errorf("another request of the least urgent priority: got %+v, want a rejection", late)
	}
	r := classRequest(now, 0, firstEventObjective)
	urgent := d.Dispatch(now, fleet, r)
	if urgent.Waiter == nil || len(urgent.Shed) != 1 || urgent.Shed[0] != waiters[5] {
		t.Fatalf("an urgent request: got %+v, want it to wait and only the last of the least urgent to be shed", urgent)
	}
	got := d.Retry(now, fleet, classRequest(now, 2, longestObjective), waiters[5])
	if got.Waiter != nil || !got.Displaced || got.RetryAfter < 800*time.Millisecond {
		t.Errorf("the request that was shed: got %+v, want a rejection with the time until there is room, about 900ms", got)
	}
	if got, want := d.Waiting(), 8; got != want {
		t.Errorf("got %d requests that wait, want %d", got, want)
	}
}

// TestWorkspacesTakeTurnsWithoutLimits has one workspace fill the queue of a fleet whose endpoints name no limits. The first request of
// another one must come second, and all in order of arrival where no workspaces are declared.
func TestWorkspacesTakeTurnsWithoutLimits(t *testing.T) {
	for _, c := range []struct {
		name  string
		other kwid.WorkspaceName
		want  int
	}{{"two workspaces", "other", 1}, {"none", "", 4}} {
		now := time.Unix(100, 0)
		fleet := testFleet(1)
		d, _ := fullDispatcher(t, &now, fleet, 50*time.Millisecond)
		var last *kwqueue.Waiter
		for i := range 5 {
			r := request(now)
			if r.Workspace = "busy"; i == 4 || c.other == "" {
				r.Workspace = c.other
			}
			last = d.Dispatch(now, fleet, r).Waiter
		}
		got := 0
		for ; d.Next() != last && d.Next() != nil; got++ {
			d.Withdraw(d.Next())
		}
		if got != c.want {
			t.Errorf("%s: got %d requests before the last, want %d", c.name, got, c.want)
		}
	}
}
