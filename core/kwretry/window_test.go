package kwretry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowHolds sends first tries at a rate that changes and asks for repeats in rushes: no window of the same length has
// more repeats than its ratio of the first tries in it, or in the window before, and the burst.
func TestWindowHolds(t *testing.T) {
	cfg := WindowBudgetConfig{Ratio: 0.2, Burst: 10, Window: 10 * time.Second}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 8))
		w := NewWindowBudget(cfg)
		now := time.Unix(1000, 0)
		var firsts, repeats []time.Time
		for range 6000 {
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			w.RecordFirstAttempt(now)
			firsts = append(firsts, now)
			if rng.IntN(100) == 0 {
				for w.TrySpend(now) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			got, earned := within(repeats, end.Add(-cfg.Window), end), within(firsts, end.Add(-cfg.Window), end)
			if most := cfg.Ratio*float64(earned) + cfg.Burst; float64(got) > most {
				t.Fatalf("seed %d: got %d repeats in a window with %d first tries, want %.0f at most", seed, got, earned, most)
			}
		}
		if total := cfg.Ratio * float64(len(firsts)); float64(len(repeats)) < 0.8*total {
			t.Errorf("seed %d: got %d repeats of %.0f that were earned, want most of them", seed, len(repeats), total)
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestWindowAfterACalmTime replays the loss of a stage at an entry with 13 requests a second that has a small part of the
// burst: what its requests have earned in ten calm seconds is there at once.
func TestWindowAfterACalmTime(t *testing.T) {
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
		t.Errorf("got %d repeats at once, want the 22 that were earned and a burst of 3", got)
	}
	now = now.Add(11 * time.Second)
	got = 0
	for w.TrySpend(now) {
		got++
	}
	if got != 3 {
		t.Errorf("got %d repeats after a window without requests, want the burst of 3", got)
	}
}
