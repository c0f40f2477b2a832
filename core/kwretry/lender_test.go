package kwretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// TestLenderKeepsTheBurst asks at random times and counts what is lent in any window: never more than its part.
func TestLenderKeepsTheBurst(t *testing.T) {
	const service = kwid.ServiceName("llm")
	cfg := LenderConfig{Burst: 200, Window: 10 * time.Second}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 4))
		l := NewLender(cfg)
		now := time.Unix(1000, 0)
		var lent []time.Time
		refused := 0
		for range 5000 {
			now = now.Add(time.Duration(rng.Int64N(int64(40 * time.Millisecond))))
			if !l.Lend(now, 1, service) {
				refused++
				continue
			}
			lent = append(lent, now)
			inWindow := 0
			for i := len(lent) - 1; i >= 0 && now.Sub(lent[i]) < cfg.Window; i-- {
				inWindow++
			}
			if float64(inWindow) > cfg.Burst*lentShare {
				t.Fatalf("seed %d: got %d lent in a window, want %v at most", seed, inWindow, cfg.Burst*lentShare)
			}
		}
		if len(lent) == 0 || refused == 0 {
			t.Errorf("seed %d: got %d lent and %d refused, want both", seed, len(lent), refused)
		}
	}
}

// TestLenderAfterALossOfTheLeader has a new leader, which does not know what was lent: it waits for a window.
func TestLenderAfterALossOfTheLeader(t *testing.T) {
	l := NewLender(LenderConfig{Burst: 200, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	steps := []struct {
		name  string
		after time.Duration
		epoch uint64
		want  bool
	}{
		{"the first leader", 0, 1, true},
		{"a new leader", time.Second, 3, false},
		{"a window later", 12 * time.Second, 3, true},
		{"another new leader", time.Second, 4, false},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if got := l.Lend(now, s.epoch, "llm"); got != s.want {
			t.Errorf("%s: got %t, want %t", s.name, got, s.want)
		}
	}
}

// TestLossOfAStageIsRepeated replays the loss of a stage with 60 streams at two of 13 entries: with what is lent they all go
// on, and the whole fleet stays within its burst.
func TestLossOfAStageIsRepeated(t *testing.T) {
	const entries, requests, streams, burst = 13, 20, 60, 204
	lender := NewLender(LenderConfig{Burst: burst, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	repeat := func(s *SharedBudgets) bool { return s.ForService("llm").TrySpend(now) || lender.Lend(now, 1, "llm") }
	var fleet []*SharedBudgets
	for range entries {
		s := NewSharedBudgets(SharedBudgetsConfig{Ratio: 0.2, Burst: burst, Window: 10 * time.Second})
		s.SetEntryCount(entries)
		for range requests {
			s.ForService("llm").RecordFirstAttempt(now)
		}
		fleet = append(fleet, s)
	}
	alone, lent := 0, 0
	for i := range streams {
		if fleet[i%2].ForService("llm").TrySpend(now) {
			alone++
		} else if lender.Lend(now, 1, "llm") {
			lent++
		}
	}
	if alone+lent != streams || lent == 0 {
		t.Errorf("got %d streams on by the entries' own parts and %d by loans, want all %d, some by loans", alone, lent, streams)
	}
	total := alone + lent
	for _, s := range fleet {
		for repeat(s) {
			total++
		}
	}
	if most := burst + int(0.2*entries*requests); total > most {
		t.Errorf("got %d repeats at once, want %d at most", total, most)
	}
}
