package kwretry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowBudgetBoundsRetries sends first attempts at a varying rate and spends all available retries now and then: no window
// may hold more retries than its ratio of the first attempts in it, plus the burst.
func TestWindowBudgetBoundsRetries(t *testing.T) {
	cfg := WindowBudgetConfig{Ratio: 0.2, Burst: 10, Window: 10 * time.Second}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 8))
		w := NewWindowBudget(cfg)
		now := time.Unix(1000, 0)
		var firstAttempts, retries []time.Time
		for range 6000 {
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			w.RecordFirstAttempt(now)
			firstAttempts = append(firstAttempts, now)
			if rng.IntN(100) == 0 {
				for w.TrySpend(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			got, earned := countWithin(retries, end.Add(-cfg.Window), end), countWithin(firstAttempts, end.Add(-cfg.Window), end)
			if limit := cfg.Ratio*float64(earned) + cfg.Burst; float64(got) > limit {
				t.Fatalf("seed %d: got %d retries in a window with %d first attempts, want %.0f at most", seed, got, earned, limit)
			}
		}
		if total := cfg.Ratio * float64(len(firstAttempts)); float64(len(retries)) < 0.8*total {
			t.Errorf("seed %d: got %d retries of %.0f that were earned, want most of them", seed, len(retries), total)
		}
	}
}

func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestWindowBudgetAfterQuietPeriod checks that an entry with 13 requests a second and a small share of the burst can retry at
// once, after the loss of a stage, all that its requests have earned in ten quiet seconds.
func TestWindowBudgetAfterQuietPeriod(t *testing.T) {
	w := NewWindowBudget(WindowBudgetConfig{Ratio: 0.17, Burst: 3, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for range 130 {
		now = now.Add(77 * time.Millisecond)
		w.RecordFirstAttempt(now)
	}
	got := 0
	for w.TrySpend(now) {
		got++
	}
	if got < 20 || got > 25 {
		t.Errorf("got %d retries at once, want the 22 that were earned and a burst of 3", got)
	}
	now = now.Add(11 * time.Second)
	got = 0
	for w.TrySpend(now) {
		got++
	}
	if got != 3 {
		t.Errorf("got %d retries after a window without requests, want the burst of 3", got)
	}
}
