package kwdispatch

import (
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwqueue"
)

// testLimits are the limits of the endpoints of a test fleet, with one process each.
type testLimits struct{ *kwendpointlimit.Limits }

func processOf(id kwid.EndpointID) kwmembership.Process { return kwmembership.Process{Endpoint: id} }

func (l testLimits) Wait(now time.Time, id kwid.EndpointID) time.Duration {
	return l.Limits.Wait(now, processOf(id))
}

func (l testLimits) Share(now time.Time, id kwid.EndpointID) (kwendpointlimit.Rate, bool) {
	return l.Limits.Share(now, processOf(id))
}

func (l testLimits) Take(now time.Time, id kwid.EndpointID) { l.Limits.Take(now, processOf(id)) }

// limitedDispatcher returns a dispatcher of the only entry of a fleet, and its limits.
func limitedDispatcher(now time.Time) (*Dispatcher, testLimits) {
	limits := testLimits{kwendpointlimit.NewLimits("e")}
	limits.SetEntryCount(now.Add(-time.Minute), 1)
	limits.SetEntryCount(now, 1)
	return New(Config{
		Zone: "a", Queue: kwqueue.DefaultConfig(), Limits: limits, Unavailable: func(time.Time, kwid.EndpointID) bool { return false },
	}), limits
}

func (l testLimits) Return(now time.Time, id kwid.EndpointID) { l.Limits.Return(now, processOf(id)) }

func (l testLimits) Want(now time.Time, id kwid.EndpointID) { l.Limits.Want(now, processOf(id)) }

func (l testLimits) name(now time.Time, id kwid.EndpointID, rate kwendpointlimit.Rate) {
	l.Observe(now, processOf(id), kwendpointlimit.Notice{Kind: kwendpointlimit.Limited, Rate: rate})
}

// TestLoadOfLimitedServerGoesElsewhere has the preferred first server of a fleet name a limit below its load. It must get what the limit
// allows and no more, and the other chains the rest, without waiting.
func TestLoadOfLimitedServerGoesElsewhere(t *testing.T) {
	const rate, perSecond, seconds = 10, 40, 10
	now := time.Unix(100, 0)
	d, limits := limitedDispatcher(now)
	fleet := testFleet(1000)
	limits.name(now, "a-fast-0", rate)
	limits.name(now, "a-slow-2", 0)
	firsts := make(map[kwid.EndpointID]int)
	for range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		decision := d.Dispatch(now, fleet, request(now))
		if !decision.Granted {
			t.Fatalf("got %+v, want a chain", decision)
		}
		firsts[decision.Chain.First().Endpoint]++
		d.Release(now, decision.Chain, requestTokens)
	}
	if got := firsts["a-fast-0"]; got > rate*seconds+1 || got < rate*seconds-5 {
		t.Errorf("limited server: got %d requests in %d s, want about %d", got, seconds, rate*seconds)
	}
	// A limit of 0 on a later stage keeps no chain from running there: only requests that are sent to a server count.
	if firsts["a-slow-0"]+firsts["b-fast-0"] < (perSecond-rate)*seconds-5 {
		t.Errorf("got %v, want the rest at the other chains", firsts)
	}
}

// TestLimitsBelowTheLoad has all first servers name limits that are far below the load together. A request whose turn comes in time waits,
// the most urgent first; any other is rejected at once with the time until there is room.
func TestLimitsBelowTheLoad(t *testing.T) {
	const rate, perSecond, seconds = 2.5, 40, 20
	now := time.Unix(100, 0)
	d, limits := limitedDispatcher(now)
	fleet := testFleet(1000)
	firstServers := []kwid.EndpointID{"a-fast-0", "a-slow-0", "b-fast-0", "b-slow-0"}
	for _, id := range firstServers {
		limits.name(now, id, rate)
	}
	type waiting struct {
		r Request
		w *kwqueue.Waiter
	}
	var queued []waiting
	granted, rejected, late := 0, 0, 0
	grant := func(dec Decision, r Request) {
		granted++
		if now.Sub(r.WaitingSince) > firstEventObjective {
			late++
		}
		d.Release(now, dec.Chain, requestTokens)
	}
	for range perSecond * seconds {
		now = now.Add(time.Second / perSecond)
		kept := queued[:0]
		for _, q := range queued {
			switch dec := d.Retry(now, fleet, q.r, q.w); {
			case dec.Granted:
				grant(dec, q.r)
			case dec.Waiter != nil:
				kept = append(kept, q)
			case dec.Limited && dec.RetryAfter > 0:
				rejected++
			default:
				t.Fatalf("got %+v, want a rejection that names the limit", dec)
			}
		}
		queued = kept
		r := request(now)
		switch dec := d.Dispatch(now, fleet, r); {
		case dec.Granted:
			grant(dec, r)
		case dec.Waiter != nil:
			if d.queue.Head() == dec.Waiter && dec.Recheck <= 0 {
				t.Fatal("got no time of the next decision for the head of the queue")
			}
			queued = append(queued, waiting{r, dec.Waiter})
		case dec.Limited && dec.RetryAfter > 0:
			rejected++
		default:
			t.Fatalf("got %+v, want a chain, a wait or a rejection that names the limit", dec)
		}
	}
	allowed := rate * float64(len(firstServers)) * seconds
	t.Logf("%d granted of %.0f allowed, %d rejected, %d late", granted, allowed, rejected, late)
	if float64(granted) < 0.9*allowed || float64(granted) > allowed+4 {
		t.Errorf("got %d requests granted, want about the %.0f that the limits allow", granted, allowed)
	}
	if late > 0 {
		t.Errorf("got %d requests granted after their objective, want none", late)
	}
	if got := d.Waiting(); got > int(rate*float64(len(firstServers))) {
		t.Errorf("got %d requests in the queue, want at most a second's worth", got)
	}
}

// TestLimitEndsWait has a request wait for a turn that is far away until the limit ends.
func TestLimitEndsWait(t *testing.T) {
	now := time.Unix(100, 0)
	d, limits := limitedDispatcher(now)
	fleet := testFleet(1000)
	fleet.Servers = fleet.Servers[:2]
	limits.name(now, "a-fast-0", 0.25)
	broken := request(now)
	broken.Broken = true
	dec := d.Dispatch(now, fleet, broken)
	if dec.Waiter == nil || dec.Recheck <= 0 {
		t.Fatalf("broken stream: got %+v, want it to wait", dec)
	}
	if got, want := d.Dispatch(now, fleet, request(now)), d.cfg.Queue.RetryAfterMax; !got.Limited || got.RetryAfter != want {
		t.Errorf("another request: got %+v, want a rejection that names the limit, with Retry-After %v at most", got, want)
	}
	limits.Observe(now, processOf("a-fast-0"), kwendpointlimit.Notice{Kind: kwendpointlimit.Unlimited})
	if got := d.Retry(now, fleet, broken, dec.Waiter); !got.Granted {
		t.Errorf("after the limit: got %+v, want a chain", got)
	}
}

// TestWaitersAreRejectedOnceLimitsFall has requests wait for turns that come in time, until the limits fall so low that they no longer do.
func TestWaitersAreRejectedOnceLimitsFall(t *testing.T) {
	now := time.Unix(100, 0)
	d, limits := limitedDispatcher(now)
	fleet := testFleet(1000)
	fleet.Servers = fleet.Servers[:2]
	limits.name(now, "a-fast-0", 20)
	var waiters []*kwqueue.Waiter
	for range 20 {
		if dec := d.Dispatch(now, fleet, request(now)); dec.Waiter != nil {
			waiters = append(waiters, dec.Waiter)
		}
	}
	if len(waiters) == 0 {
		t.Fatal("got no request that waits")
	}
	limits.name(now, "a-fast-0", 0.1)
	now = now.Add(10 * time.Millisecond)
	for range waiters {
		if dec := d.Retry(now, fleet, request(now), d.Next()); !dec.Limited || dec.RetryAfter <= firstEventObjective {
			t.Fatalf("got %+v, want a rejection at once with the time until there is room", dec)
		}
	}
	if got := d.Waiting(); got != 0 {
		t.Errorf("got %d requests in the queue, want none", got)
	}
}

// TestWaitIsForServersThatCanServe has first servers whose turns come soon, but that a request may not use or that begin no whole chain. It
// must be rejected at once by the turn of the one that can serve it.
func TestWaitIsForServersThatCanServe(t *testing.T) {
	for _, name := range []string{"excluded", "no chain"} {
		now := time.Unix(100, 0)
		d, limits := limitedDispatcher(now)
		fleet := testFleet(1000)
		limits.name(now, "a-fast-0", 0.1)
		limits.name(now, "b-fast-0", 0.1)
		limits.name(now, "a-slow-0", 20)
		r := request(now)
		if name == "excluded" {
			fleet.Servers = slices.DeleteFunc(fleet.Servers, func(s kwchainsearch.Server) bool { return s.ID == "b-slow-0" })
			r.Excluded = map[kwid.EndpointID]bool{"a-slow-0": true}
		} else {
			fleet.Servers = slices.DeleteFunc(fleet.Servers, func(s kwchainsearch.Server) bool {
				return s.ID == "b-slow-0" || s.ID == "a-slow-2" || s.ID == "a-fast-1"
			})
		}
		if limits.Wait(now, "a-slow-0") > 100*time.Millisecond || limits.Wait(now, "a-fast-0") < time.Second {
			t.Fatal("got other waits than the test needs")
		}
		if got := d.Dispatch(now, fleet, r); !got.Limited || got.RetryAfter < time.Second {
			t.Errorf("%s: got %+v, want a rejection with the time until a server can serve the request", name, got)
		}
	}
}

// TestWorkspacesTakeTurnsUnderLimits has a busy workspace and another one wait for turns of a limited first server.
func TestWorkspacesTakeTurnsUnderLimits(t *testing.T) {
	now := time.Unix(100, 0)
	d, limits := limitedDispatcher(now)
	fleet := testFleet(1000)
	fleet.Servers = fleet.Servers[:2]
	limits.name(now, "a-fast-0", 30)
	requests := make(map[*kwqueue.Waiter]Request)
	for i := range 6 {
		r := request(now)
		r.Workspace = "busy"
		if i == 5 {
			r.Workspace = "other"
		}
		if dec := d.Dispatch(now, fleet, r); dec.Waiter != nil {
			requests[dec.Waiter] = r
		} else if !dec.Granted {
			t.Fatalf("request %d: got %+v, want it to be granted or to wait", i, dec)
		}
	}
	first := requests[d.Next()].Workspace
	now = now.Add(limits.Wait(now, "a-fast-0"))
	head := d.Next()
	if dec := d.Retry(now, fleet, requests[head], head); !dec.Granted {
		t.Fatalf("got %+v, want the head to be granted", dec)
	}
	if second := requests[d.Next()].Workspace; first != "busy" || second != "other" {
		t.Errorf("got %q and then %q at the head of the queue, want the workspaces in turn", first, second)
	}
}
