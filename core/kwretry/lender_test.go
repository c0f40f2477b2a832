package kwretry

import (
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// TestLenderStaysWithinBurst asks for loans at random times and checks that no window holds more of them than the lent share
// of the burst.
func TestLenderStaysWithinBurst(t *testing.T) {
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
			if !l.Lend(now, 1, service, 0) {
				refused++
				continue
			}
			lent = append(lent, now)
			inWindow := 0
			for i := len(lent) - 1; i >= 0 && now.Sub(lent[i]) < cfg.Window; i-- {
				inWindow++
			}
			if float64(inWindow) > cfg.Burst*lentBurstShare {
				t.Fatalf("seed %d: got %d loans in a window, want %v at most", seed, inWindow, cfg.Burst*lentBurstShare)
			}
		}
		if len(lent) == 0 || refused == 0 {
			t.Errorf("seed %d: got %d loans granted and %d refused, want some of both", seed, len(lent), refused)
		}
	}
}

// TestLenderAfterLeaderChange checks that a new leader, which does not know the loans of its predecessor, grants none for one
// window.
func TestLenderAfterLeaderChange(t *testing.T) {
	l := NewLender(LenderConfig{Burst: 200, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	steps := []struct {
		name  string
		after time.Duration
		epoch uint64
		want  bool
	}{
		{"first leader", 0, 1, true},
		{"second leader", time.Second, 3, false},
		{"second leader, one window later", 12 * time.Second, 3, true},
		{"third leader", time.Second, 4, false},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if got := l.Lend(now, s.epoch, "llm", 0); got != s.want {
			t.Errorf("%s: got %t, want %t", s.name, got, s.want)
		}
	}
}

// TestLoansCoverLossOfStage breaks 60 streams at two of 13 entries, as the loss of a stage does. With loans all of them are
// retried, and the retries of the whole fleet stay within its budget.
func TestLoansCoverLossOfStage(t *testing.T) {
	const entries, requests, streams, burst = 13, 20, 60, 204
	lender := NewLender(LenderConfig{Burst: burst, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	retry := func(s *SharedBudgets) bool { return s.ForService("llm").TrySpend(now) || lender.Lend(now, 1, "llm", 0) }
	var fleet []*SharedBudgets
	for range entries {
		s := NewSharedBudgets(SharedBudgetsConfig{Ratio: 0.2, Burst: burst, Window: 10 * time.Second})
		s.SetEntryCount(entries)
		for range requests {
			s.ForService("llm").RecordFirstAttempt(now)
		}
		fleet = append(fleet, s)
	}
	fromOwn, lent := 0, 0
	for i := range streams {
		if fleet[i%2].ForService("llm").TrySpend(now) {
			fromOwn++
		} else if lender.Lend(now, 1, "llm", 0) {
			lent++
		}
	}
	if fromOwn+lent != streams || lent == 0 {
		t.Errorf("got %d streams retried from the entries' own budgets and %d from loans, want all %d retried, some of them from loans", fromOwn, lent, streams)
	}
	total := fromOwn + lent
	for _, s := range fleet {
		for retry(s) {
			total++
		}
	}
	if limit := burst + int(0.2*entries*requests); total > limit {
		t.Errorf("got %d retries at once, want %d at most", total, limit)
	}
}

// TestLoansReachEntriesOfOneZone breaks 430 streams at the 14 entries of one of five availability zones, as four servers of the
// zone that fall silent together do. The shares of the other 56 entries are unused then. Nearly all streams must be retried, and
// the retries of the whole fleet must stay within its budget even if every other entry then spends what it has.
func TestLoansReachEntriesOfOneZone(t *testing.T) {
	const entries, zoneEntries, requests, streams, burst, ratio = 70, 14, 69, 430, 324, 0.2
	lender := NewLender(LenderConfig{Ratio: ratio, Burst: burst, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	var fleet []*SharedBudgets
	for range entries {
		s := NewSharedBudgets(SharedBudgetsConfig{Ratio: ratio, Burst: burst, Window: 10 * time.Second})
		s.SetEntryCount(entries)
		s.ForService("llm").RecordFirstAttempt(now)
		fleet = append(fleet, s)
	}
	// The entries have run for longer than a window, and so have their whole share of the burst.
	now = now.Add(time.Minute)
	for _, s := range fleet {
		for range requests {
			s.ForService("llm").RecordFirstAttempt(now)
		}
	}
	now = now.Add(time.Second)
	reported := 0
	for _, s := range fleet {
		reported += s.Requests(now)["llm"]
	}
	retry := func(s *SharedBudgets) bool {
		return s.ForService("llm").TrySpend(now) || lender.Lend(now, 1, "llm", reported)
	}
	total := 0
	for i := range streams {
		if retry(fleet[i%zoneEntries]) {
			total++
		}
	}
	if total < streams*95/100 {
		t.Errorf("got %d of %d broken streams retried, want 95%% of them", total, streams)
	}
	for _, s := range fleet {
		for retry(s) {
			total++
		}
	}
	if limit := burst + int(ratio*entries*requests); total > limit {
		t.Errorf("got %d retries at once, want %d at most", total, limit)
	}
}
