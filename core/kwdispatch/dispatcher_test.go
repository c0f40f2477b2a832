package kwdispatch

import (
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

const (
	firstEventObjective = 500 * time.Millisecond
	requestTokens       = 900
)

// testFleet returns a fleet of two zones, each with a fast copy of the model on two servers and a slow one on four.
func testFleet(slots int) Fleet {
	engine := &kwdeclaration.Engine{
		Slots: slots, Layers: 80, LayerMB: 100, KVMBPerTokenLayer: 0.01, StepTime: time.Millisecond, TokensPerEvent: 3,
		PrefillTokensPerSecond: 100_000, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
		Accelerators: []kwdeclaration.Accelerator{
			{Name: "fast", MemoryMB: 50_000, StepTimeFactor: 2, PrefillTimeFactor: 3}, {Name: "slow", MemoryMB: 50_000, StepTimeFactor: 12, PrefillTimeFactor: 8},
		},
	}
	f := Fleet{Engine: engine}
	for _, zone := range []kwid.AvailabilityZone{"a", "b"} {
		f.addCopy(zone, "fast", 2)
		f.addCopy(zone, "slow", 4)
	}
	return f
}

// addCopy adds a copy of the model on a number of servers.
func (f *Fleet) addCopy(zone kwid.AvailabilityZone, accelerator string, stages int) {
	n := kwid.Layer(f.Engine.Layers / stages)
	for i := range kwid.Layer(stages) {
		s, _ := kwchainsearch.NewServer(f.Engine, accelerator, kwid.LayerRange{From: i * n, To: (i + 1) * n})
		s.ID, s.Zone = kwid.EndpointID(fmt.Sprintf("%s-%s-%d", zone, accelerator, i)), zone
		f.Servers = append(f.Servers, s)
	}
}

func newDispatcher() *Dispatcher {
	return New(Config{Zone: "a", Queue: kwqueue.DefaultConfig(), Unavailable: func(time.Time, kwid.EndpointID) bool { return false }})
}

func request(now time.Time) Request {
	return Request{
		Size: kwchainsearch.RequestSize{TotalTokens: requestTokens, PromptTokens: 700}, FirstEventObjective: firstEventObjective,
		EventGapObjective: 200 * time.Millisecond, FirstEventTimeout: 2 * firstEventObjective, WaitingSince: now, DeclaredPriority: 1,
	}
}

// TestStartLimitsShare starts one of eight entries after an outage of all. It must take only its share of the slots, although no
// other entry has reported its load yet, and may take more once reports had time to arrive.
func TestStartLimitsShare(t *testing.T) {
	const slots, entries = 20, 8
	now := time.Unix(100, 0)
	fleet := testFleet(slots)
	d := newDispatcher()
	d.Loads().ApplyReport(now, nil, entries/2)
	firsts := make(map[kwid.EndpointID]int)
	var reserved []kwchainsearch.Chain
	for {
		decision := d.Dispatch(now, fleet, request(now))
		if !decision.Granted {
			break
		}
		firsts[decision.Chain.First().Endpoint]++
		reserved = append(reserved, decision.Chain)
	}
	if got, share := firsts["a-fast-0"], slots/(entries/2); got == 0 || got > share {
		t.Errorf("slots taken in its own zone: got %d, want at least 1 and at most %d", got, share)
	}
	for _, chain := range reserved {
		d.Release(now, chain, requestTokens)
	}
	if waiter := d.Next(); waiter != nil {
		d.Withdraw(waiter)
	}
	now = now.Add(2 * startupWindow)
	for range slots / 2 {
		if decision := d.Dispatch(now, fleet, request(now)); !decision.Granted {
			t.Fatal("after the startup window: got no chain")
		}
	}
	if decision := d.Dispatch(now, fleet, request(now)); !decision.Granted || decision.Chain.First().Endpoint != "a-fast-0" {
		t.Errorf("after the startup window: got %+v, want a chain from a-fast-0", decision)
	}
}

// TestRejectedAtOnce fills all chains of a fleet whose requests end slowly. A request that cannot expect its turn in time must be
// rejected when it arrives, with a time to come back; one that waits must be rejected when its wait limit is over, not later.
func TestRejectedAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	fleet := testFleet(1)
	d := newDispatcher()
	var reserved []kwchainsearch.Chain
	for range 4 {
		decision := d.Dispatch(now, fleet, request(now))
		if !decision.Granted {
			t.Fatal("got no chain while slots were free")
		}
		reserved = append(reserved, decision.Chain)
	}
	for range 20 {
		d.Release(now, reserved[0], requestTokens)
		d.Loads().Reserve(reserved[0], requestTokens)
		now = now.Add(200 * time.Millisecond)
	}
	first := d.Dispatch(now, fleet, request(now))
	if first.Waiter == nil {
		t.Fatalf("the first request without a slot: got %+v, want it to wait", first)
	}
	rejected := Decision{Waiter: first.Waiter}
	for range 10 {
		rejected = d.Dispatch(now, fleet, request(now))
		if rejected.Waiter == nil {
			break
		}
	}
	if rejected.Waiter != nil || rejected.Granted || rejected.RetryAfter <= 0 {
		t.Errorf("a request behind more than can be served in time: got %+v, want a rejection with a time to come back", rejected)
	}
	if got := d.Retry(first.Waiter.Deadline().Add(-time.Millisecond), fleet, request(now), first.Waiter); got.Waiter == nil {
		t.Errorf("before the wait limit: got %+v, want it to wait", got)
	}
	if got := d.Retry(first.Waiter.Deadline(), fleet, request(now), first.Waiter); got.Waiter != nil || got.Granted || got.RetryAfter <= 0 {
		t.Errorf("at the wait limit: got %+v, want a rejection with a time to come back", got)
	}
}

// TestFirstEventPatience checks how long a first event may take on an idle chain, on one that is slow for all requests, and on one
// that is so slow that callers would leave.
func TestFirstEventPatience(t *testing.T) {
	cases := []struct {
		name       string
		firstEvent time.Duration
		want       time.Duration
	}{
		{"fast", 60 * time.Millisecond, 2 * firstEventObjective},
		{"slow for all", 800 * time.Millisecond, 1600 * time.Millisecond},
		{"too slow for callers", 5 * time.Second, 1800 * time.Millisecond},
	}
	for _, c := range cases {
		d := newDispatcher()
		now := time.Unix(100, 0)
		for range 20 {
			began := now
			d.BeginFirstEventWait(began, "a-fast-0")
			now = now.Add(c.firstEvent)
			d.EndFirstEventWait(now, "a-fast-0", began, true)
		}
		chain := kwchainsearch.Chain{Stages: []kwchainsearch.Stage{{Endpoint: "a-fast-0"}}}
		got := d.FirstEventPatience(now, chain, request(now))
		if got.Round(50*time.Millisecond) != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
