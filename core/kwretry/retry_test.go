package kwretry

import (
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

func TestAllowed(t *testing.T) {
	notRun := kwcode.New(kwcode.AttemptFenced, "x")
	unknown := kwcode.New(kwcode.OutcomeUnknown, "x")
	tests := []struct {
		err        error
		idempotent bool
		tries      int
		want       bool
	}{
		{notRun, false, 1, true},
		{unknown, false, 1, false},
		{unknown, true, 1, true},
		{notRun, true, MaxAttempts, false},
	}
	for _, tt := range tests {
		if got := Retryable(tt.err, tt.idempotent, tt.tries); got != tt.want {
			t.Errorf("%v idempotent=%t tries=%d: got %t, want %t", tt.err, tt.idempotent, tt.tries, got, tt.want)
		}
	}
}

// TestBudgetBoundsRetries lets every request fail: paid retries stay a share of first tries.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.2, Burst: 20})
	paid := 0
	const first = 1000
	for range first {
		b.RecordFirstAttempt()
		for tries := freeTries + 1; b.AllowRetry(tries); tries++ {
			paid++
		}
	}
	if limit := first/5 + 20; paid > limit {
		t.Errorf("got %d paid retries, want at most %d", paid, limit)
	}
}

func TestEjectorKeepsHalf(t *testing.T) {
	now := time.Unix(100, 0)
	e := NewEjector(DefaultEjectorConfig())
	e.SetEndpointCount(10)
	out := 0
	for i := range 10 {
		id := kwid.EndpointID(fmt.Sprint(i))
		e.Fail(now, id)
		if e.Ejected(now, id) {
			out++
		}
	}
	if out != 5 {
		t.Errorf("got %d ejected of 10, want 5", out)
	}
	if e.Ejected(now.Add(2*time.Second), "0") {
		t.Error("got the endpoint out after its span, want it back")
	}
	e.Fail(now.Add(2*time.Second), "0")
	if !e.Ejected(now.Add(3500*time.Millisecond), "0") {
		t.Error("got the endpoint back, want a longer span after a second failure")
	}
	e.RecordSuccess("0")
	if e.Ejected(now.Add(3*time.Second), "0") {
		t.Error("got the endpoint out, want it back after a success")
	}
}

// TestStrikes replays an endpoint that loses one answer in twenty, and one that breaks off everything: the first stays, the
// second is out after two tries, and after each time out until it has succeeded.
func TestStrikes(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEjector(DefaultEjectorConfig())
	e.SetEndpointCount(10)
	for i := range 200 {
		if i%20 == 0 && e.RecordTransientFailure(now, "lossy") {
			t.Fatal("got an endpoint ejected that loses one answer in twenty, want it kept")
		}
		e.RecordSuccess("lossy")
	}
	if e.RecordTransientFailure(now, "broken") {
		t.Error("got an endpoint ejected by one broken stream, want it kept")
	}
	if !e.RecordTransientFailure(now, "broken") {
		t.Error("got an endpoint kept that broke off two streams in a row, want it ejected")
	}
	now = now.Add(1100 * time.Millisecond)
	if e.Ejected(now, "broken") || !e.RecordTransientFailure(now, "broken") || !e.Ejected(now.Add(1500*time.Millisecond), "broken") {
		t.Error("after its time out the endpoint breaks off again: want it ejected at once, for longer")
	}
	e.RecordSuccess("broken")
	if e.RecordTransientFailure(now, "broken") {
		t.Error("got an endpoint ejected by one broken stream after a success, want it kept")
	}
}
