package kwendpointlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

var testProcess = kwmembership.Process{Endpoint: "s", StartedMillis: 5}

// TestIdleEntriesSaveUpNoRequests has 370 entries idle for a minute and then send all that they may at one moment.
func TestIdleEntriesSaveUpNoRequests(t *testing.T) {
	begin := time.Unix(1000, 0)
	count := 0
	for i := range 370 {
		l := NewLimits(kwid.NodeID(fmt.Sprintf("e%d", i)))
		l.SetEntryCount(begin, 370)
		l.Observe(begin, testProcess, limitedTo(10))
		now := begin.Add(time.Minute)
		for l.Wait(now, testProcess) == 0 {
			l.Take(now, testProcess)
			count++
		}
	}
	// Turns are valid for a second, in which 10 come on average.
	if count > 25 {
		t.Errorf("got %d requests at one moment from idle entries, want about 10", count)
	}
}

// TestLimitEnds ends a limit by an answer without one and by a new process, and keeps it when an answer tells nothing.
func TestLimitEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimits("e")
	l.SetEntryCount(now, 8)
	if !l.Observe(now, testProcess, limitedTo(0)) || l.None() {
		t.Fatal("got no news of a new limit")
	}
	l.Observe(now, testProcess, Notice{})
	if l.Wait(now, testProcess) == 0 {
		t.Error("after an answer that tells nothing: got no limit, want it kept")
	}
	if got := l.Wait(now, kwmembership.Process{Endpoint: "s", StartedMillis: 6}); got != 0 {
		t.Errorf("another process of the endpoint: got a wait of %v, want 0", got)
	}
	if !l.Observe(now, testProcess, Notice{Kind: Unlimited}) || !l.None() || l.Wait(now, testProcess) != 0 {
		t.Error("after an answer without a limit: got one")
	}
	l.Observe(now, testProcess, limitedTo(1))
	l.Retain(func(kwmembership.Process) bool { return false })
	if !l.None() {
		t.Error("got the limit of a process that is gone")
	}
}

// TestEntryCountFallsLate keeps a larger number of entries while a new leader has not heard from all of them.
func TestEntryCountFallsLate(t *testing.T) {
	begin := time.Unix(1000, 0)
	l := NewLimits("e")
	l.Observe(begin, testProcess, limitedTo(80))
	want := func(after time.Duration, n int, share Rate) {
		t.Helper()
		l.SetEntryCount(begin.Add(after), n)
		if got, _ := l.Share(begin.Add(after), testProcess); math.Abs(float64(got-share)) > 1e-9 {
			t.Errorf("after %v: got a share of %v, want %v", after, got, share)
		}
	}
	const own = 80
	want(0, 1, keptShare*own/minStartEntries)
	want(time.Second, 8, keptShare*own/8)
	want(20*time.Second, 8, own/8)
	want(21*time.Second, 2, own/8)
	want(29*time.Second, 4, own/8)
	want(31*time.Second, 4, own/4)
	want(32*time.Second, 16, own/16)
}

// TestReturnedTurnIsUsedAgain returns a turn whose request was not sent.
func TestReturnedTurnIsUsedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimits("e")
	l.SetEntryCount(now, 10)
	l.Observe(now, testProcess, limitedTo(10))
	now = now.Add(l.Wait(now, testProcess))
	if got := l.Wait(now, testProcess); got != 0 {
		t.Fatalf("got a wait of %v, want 0", got)
	}
	l.Take(now, testProcess)
	if l.Wait(now, testProcess) == 0 {
		t.Error("got a second turn at once")
	}
	l.Return(now, testProcess)
	if got := l.Wait(now, testProcess); got != 0 {
		t.Errorf("after the return: got a wait of %v, want 0", got)
	}
}

// TestWaitEndsWithATurn waits as long as it is told to, under random limits and uses.
func TestWaitEndsWithATurn(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	l := NewLimits("e")
	l.SetEntryCount(now, 8)
	for range 2000 {
		l.Observe(now, testProcess, limitedTo(Rate(r.Float64()*r.Float64()*50)))
		now = now.Add(time.Duration(r.Float64() * float64(3*time.Second)))
		now = now.Add(l.Wait(now, testProcess))
		if got := l.Wait(now, testProcess); got != 0 {
			t.Fatalf("after the wait: got another %v", got)
		}
		l.Take(now, testProcess)
	}
}

func BenchmarkWaitWithoutLimits(b *testing.B) {
	l := NewLimits("e")
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if l.Wait(now, testProcess) != 0 {
			b.Fatal("got a wait")
		}
	}
}
