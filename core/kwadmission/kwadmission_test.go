package kwadmission

import (
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

const service = kwid.ServiceName("s")

var start = time.Unix(1000, 0)

// overload are the rows of an entry that rejects the urgent class more often than the other one.
func overload(withheld Share) []Row {
	return []Row{
		{Service: service, Priority: 0, Arrivals: 100, Granted: 60, Rejected: 40},
		{Service: service, Priority: 2, Arrivals: 100, Granted: 90, Rejected: 10, Withheld: withheld},
	}
}

// shareOf returns the share of the class of priority 2, or -1.
func shareOf(shares []ServiceShares) Share {
	if len(shares) == 0 {
		return -1
	}
	return shares[0].Classes[1].Share
}

// TestTallyKeepsFloorAndRecovers guards against a class that is shut out or stays held back, and against shares by reports of silent entries.
func TestTallyKeepsFloorAndRecovers(t *testing.T) {
	tally := NewTally(DefaultConfig())
	now := start
	run := func(length time.Duration, rows []Row) (last Share) {
		for end := now.Add(length); now.Before(end); now = now.Add(300 * time.Millisecond) {
			tally.Record(now, 1, "e", rows)
			last = shareOf(tally.Shares(now, 1))
		}
		return last
	}
	if got := run(10*time.Second, overload(0)); got != DefaultConfig().Floor {
		t.Errorf("during an overload: got share %v, want the floor", got)
	}
	calm := []Row{{Service: service, Priority: 0, Arrivals: 10, Granted: 10}, {Service: service, Priority: 2, Arrivals: 10, Granted: 10}}
	if got := run(15*time.Second, calm); got != 1 {
		t.Errorf("after an overload: got share %v, want 1", got)
	}
	tally.Record(now, 1, "silent", overload(0))
	if got := run(11*time.Second, calm); got != 1 {
		t.Errorf("after the last report of a silent entry: got share %v, want 1", got)
	}
}

// TestNewLeaderStartsFromAppliedShares guards against an election that opens all shares, and against answers by the reports of few entries.
func TestNewLeaderStartsFromAppliedShares(t *testing.T) {
	tally := NewTally(DefaultConfig())
	tally.Record(start, 1, "e", overload(0))
	tally.Record(start, 2, "e", overload(0.6))
	if got := shareOf(tally.Shares(start, 2)); got != -1 {
		t.Errorf("just elected: got share %v, want none", got)
	}
	now := start.Add(gatherTime)
	tally.Record(now, 2, "e", overload(0.6))
	if got := shareOf(tally.Shares(now, 2)); got > 0.4 || got < DefaultConfig().Floor {
		t.Errorf("after the reports: got share %v, want 0.4 or a step less", got)
	}
}

func newTestGate(entry string) *Gate {
	g := NewGate(DefaultGateConfig(kwid.NodeID(entry)))
	g.SetServices(map[kwid.ServiceName][]int{service: {2, 0}})
	return g
}

// TestGateAppliesShares checks the fraction that passes at one entry and over many entries with one request each, what becomes of the rest,
// and what is not covered.
func TestGateAppliesShares(t *testing.T) {
	shares := []ServiceShares{{Service: service, Version: 7, Age: time.Second, Classes: []ClassShare{{0, 1, true}, {2, 0.4, false}}}}
	passed := func(g *Gate, now time.Time, requests int) (n int) {
		g.Apply(now, shares)
		g.Admit(now, service, 0, false)
		g.Record(now, service, 0, Rejected)
		g.services[service].nextStep = now
		for range requests {
			v := g.Admit(now, service, 2, false)
			if v.Action == Pass {
				n++
			} else if v.Action != Reject || v.RetryAfter < time.Second || v.Version != 7 || v.Age != time.Second || v.Local {
				t.Fatalf("got %+v, want a rejection by the shares of the leader", v)
			}
		}
		return n
	}
	if got := passed(newTestGate("e"), start, 100); got < 39 || got > 41 {
		t.Errorf("one entry: got %d of 100 passed, want 40", got)
	}
	total := 0
	for i := range 100 {
		total += passed(newTestGate(fmt.Sprint("e", i)), start, 1)
	}
	if total < 25 || total > 55 {
		t.Errorf("100 entries with a request each: got %d passed, want about 40", total)
	}
	g := newTestGate("e")
	g.Apply(start, shares)
	for range 10 {
		if v := g.Admit(start, service, 2, false); v.Action == Reject {
			t.Fatalf("no urgent request is short at the entry: got %+v, want none rejected at once", v)
		}
		for _, v := range []Verdict{g.Admit(start, service, 2, true), g.Admit(start, service, 1, false), g.Admit(start, "other", 2, false)} {
			if v != (Verdict{}) {
				t.Errorf("broken stream, unknown class or service: got %+v, want it to pass uncounted", v)
			}
		}
	}
}

// TestGateWithoutLeader guards against shares that open when the leader is lost, and against ones that never do.
func TestGateWithoutLeader(t *testing.T) {
	g := newTestGate("e")
	g.Apply(start, []ServiceShares{{Service: service, Classes: []ClassShare{{0, 1, true}, {2, 0.4, false}}}})
	run := func(from, to time.Duration, outcome Outcome) (last Verdict) {
		for at := from; at < to; at += 50 * time.Millisecond {
			now := start.Add(at)
			g.Admit(now, service, 0, false)
			g.Record(now, service, 0, outcome)
			if last = g.Admit(now, service, 2, false); last.Action == Pass {
				g.Record(now, service, 2, Granted)
			} else {
				g.Record(now, service, 2, Rejected)
			}
			if outcome == Rejected && last.Share > 0.4 {
				t.Fatalf("after %v: got share %v while urgent requests are rejected, want 0.4 at most", at, last.Share)
			}
		}
		return last
	}
	if v := run(0, 5*time.Second, Rejected); !v.Local || v.Age < 4*time.Second {
		t.Errorf("got %+v, want a verdict by the entry's own counts", v)
	}
	if v := run(5*time.Second, 20*time.Second, Granted); v.Share != 1 {
		t.Errorf("got share %v after urgent requests were granted for 15 s, want 1", v.Share)
	}
}

// TestAbandonedWaitKeepsCounts guards against a wait that is recorded as abandoned at its deadline, ahead of the present, and so empties
// counts of the last two seconds.
func TestAbandonedWaitKeepsCounts(t *testing.T) {
	g := newTestGate("e")
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		g.Admit(now, service, 2, false)
		g.Record(now, service, 2, Queued)
	}
	now := start.Add(time.Second)
	g.Record(now.Add(1500*time.Millisecond), service, 2, Abandoned)
	for _, r := range g.Rows(now) {
		if r.Priority == 2 && (r.Arrivals != 10 || r.Waiting != 9) {
			t.Errorf("got %d arrivals and %d waiting, want 10 and 9", r.Arrivals, r.Waiting)
		}
	}
}
