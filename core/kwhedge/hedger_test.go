package kwhedge

import (
	"testing"
	"time"
)

func allow() bool { return true }

var testClass = Class{Service: "records", Route: "lookups"}

// TestDelay guards against a delay from too few, too old or foreign latencies, and against one that hedges cut short.
func TestDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	h := New(DefaultConfig(), "e")
	h.SetShare(0.02)
	record := func(n int, class Class, latency time.Duration) {
		for range n {
			h.RecordLatency(now, class, "r", latency)
		}
	}
	check := func(name string, want time.Duration) {
		t.Helper()
		got, ok := h.Delay(now, testClass)
		if ok != (want > 0) || got < want*98/100 || got > want*102/100 {
			t.Errorf("%s: got %v %t, want about %v", name, got, ok, want)
		}
	}
	record(100, Class{Service: "records", Route: "other"}, time.Second)
	record(39, testClass, 10*time.Millisecond)
	check("too few", 0)
	now = now.Add(2 * time.Second)
	record(47, testClass, 10*time.Millisecond)
	record(8, testClass, 80*time.Millisecond)
	now = now.Add(2 * time.Second)
	check("8 of 94 slow", 80*time.Millisecond)
	now = now.Add(61 * time.Second)
	check("all too old", 0)
	record(50, testClass, 30*time.Millisecond)
	check("new window", 30*time.Millisecond)
	h.SetShare(0)
	if h.On() {
		t.Errorf("got on with a share of 0, want off")
	}
	check("off", 0)
}

// TestBudget guards against hedges beyond the share, against ones that are saved up, and against entries that earn theirs together.
func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	h := New(DefaultConfig(), "e")
	h.phase = 0.5
	spend := func() (n int) {
		for h.Spend(now, "records", allow) == NotHeldBack {
			n++
		}
		return n
	}
	request := func(n int) {
		for range n {
			h.RecordRequest(now, "records")
		}
	}
	h.SetShare(0.25)
	request(5)
	if got := spend(); got != 0 {
		t.Errorf("5 requests of a later phase: got %d hedges, want 0", got)
	}
	request(5)
	if got := spend(); got != 2 {
		t.Errorf("10 requests: got %d hedges, want 2", got)
	}
	request(8)
	now = now.Add(time.Second)
	if got := spend(); got != 0 {
		t.Errorf("a second later: got %d hedges, want 0", got)
	}
	request(4)
	if got := h.Spend(now, "llm", allow); got != ShareSpent {
		t.Errorf("another service: got %q, want %q", got, ShareSpent)
	}
	if got := h.Spend(now, "records", func() bool { return false }); got != RetryBudgetSpent {
		t.Errorf("no retry budget: got %q, want %q", got, RetryBudgetSpent)
	}
	if got := spend(); got != 1 {
		t.Errorf("after it: got %d hedges, want 1", got)
	}
	request(4)
	h.SetShare(0)
	if got := spend(); got != 0 {
		t.Errorf("off: got %d hedges, want 0", got)
	}
}

// TestSlowEndpoints guards against a hedge at an endpoint that is as slow, and against one slow answer that marks a sound endpoint.
func TestSlowEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	h := New(DefaultConfig(), "e")
	h.SetShare(0.02)
	for range 100 {
		h.RecordLatency(now, testClass, "sound", 10*time.Millisecond)
	}
	for i, want := range []bool{false, true} {
		h.RecordLatency(now, testClass, "slow", time.Second)
		if got := h.Slow(now, "slow"); got != want {
			t.Errorf("after %d slow answers: got slow %t, want %t", i+1, got, want)
		}
	}
	if h.Slow(now, "sound") || h.Slow(now, "unknown") || h.Slow(now.Add(slowMaxAge), "slow") {
		t.Errorf("got a sound, an unknown or a forgotten endpoint called slow")
	}
}
