package kwretry

import (
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

func TestRetryable(t *testing.T) {
	notRun := kwcode.New(kwcode.AttemptFenced, "x")
	unknown := kwcode.New(kwcode.OutcomeUnknown, "x")
	tests := []struct {
		err        error
		idempotent bool
		attempts   int
		want       bool
	}{
		{notRun, false, 1, true},
		{unknown, false, 1, false},
		{unknown, true, 1, true},
		{notRun, true, MaxAttempts, false},
	}
	for _, tt := range tests {
		if got := Retryable(tt.err, tt.idempotent, tt.attempts); got != tt.want {
			t.Errorf("%v idempotent=%t attempts=%d: got %t, want %t", tt.err, tt.idempotent, tt.attempts, got, tt.want)
		}
	}
}

// TestBudgetBoundsRetries lets every request fail and checks that the budgeted retries stay a share of the first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.2, Burst: 20})
	budgeted := 0
	const firstAttempts = 1000
	for range firstAttempts {
		b.RecordFirstAttempt()
		for attempts := freeRetries + 1; b.AllowRetry(attempts); attempts++ {
			budgeted++
		}
	}
	if limit := firstAttempts/5 + 20; budgeted > limit {
		t.Errorf("got %d budgeted retries, want at most %d", budgeted, limit)
	}
}

func TestEjectorEjectsAtMostHalf(t *testing.T) {
	now := time.Unix(100, 0)
	e := NewEjector(DefaultEjectorConfig())
	e.SetEndpointCount(10)
	ejected := 0
	for i := range 10 {
		id := kwid.EndpointID(fmt.Sprint(i))
		e.Fail(now, id)
		if e.Ejected(now, id) {
			ejected++
		}
	}
	if ejected != 5 {
		t.Errorf("got %d ejected of 10, want 5", ejected)
	}
	if e.Ejected(now.Add(2*time.Second), "0") {
		t.Error("endpoint is still ejected after its ejection has expired")
	}
	e.Fail(now.Add(2*time.Second), "0")
	if !e.Ejected(now.Add(3500*time.Millisecond), "0") {
		t.Error("ejection has expired, want a longer one after a second failure")
	}
	e.RecordSuccess("0")
	if e.Ejected(now.Add(3*time.Second), "0") {
		t.Error("endpoint is still ejected after a success")
	}
}

// TestEjectorTransientFailures checks that an endpoint that loses one response in twenty is kept, while one that breaks every
// stream is ejected after two attempts, and again after each ejection until it has succeeded.
func TestEjectorTransientFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEjector(DefaultEjectorConfig())
	e.SetEndpointCount(10)
	for i := range 200 {
		if i%20 == 0 && e.RecordTransientFailure(now, "lossy") {
			t.Fatal("endpoint that loses one response in twenty is ejected, want it kept")
		}
		e.RecordSuccess("lossy")
	}
	if e.RecordTransientFailure(now, "broken") {
		t.Error("endpoint is ejected after one broken stream, want it kept")
	}
	if !e.RecordTransientFailure(now, "broken") {
		t.Error("endpoint that broke two streams in a row is kept, want it ejected")
	}
	now = now.Add(1100 * time.Millisecond)
	if e.Ejected(now, "broken") || !e.RecordTransientFailure(now, "broken") || !e.Ejected(now.Add(1500*time.Millisecond), "broken") {
		t.Error("endpoint that breaks a stream right after its ejection has expired: want it ejected at once, for longer")
	}
	e.RecordSuccess("broken")
	if e.RecordTransientFailure(now, "broken") {
		t.Error("endpoint is ejected after one broken stream since its last success, want it kept")
	}
}

// TestEjectorRefusals has an endpoint refuse requests again and again while it completes others, as one without room does. It must
// be used again soon after each refusal; an endpoint that fails besides stays ejected.
func TestEjectorRefusals(t *testing.T) {
	e := NewEjector(DefaultEjectorConfig())
	e.SetEndpointCount(10)
	now := time.Unix(100, 0)
	for i := range 20 {
		e.RecordRefusal(now, "full")
		e.RecordSuccess("full")
		if !e.Ejected(now, "full") {
			t.Fatalf("refusal %d: got the endpoint in use at once", i)
		}
		if now = now.Add(300 * time.Millisecond); e.Ejected(now, "full") {
			t.Fatalf("refusal %d: got the endpoint out of use after 300ms", i)
		}
	}
	e.RecordRefusal(now, "failing")
	e.Fail(now, "failing")
	if now = now.Add(600 * time.Millisecond); !e.Ejected(now, "failing") {
		t.Errorf("an endpoint that fails after a refusal: got it in use after 600ms")
	}
}
