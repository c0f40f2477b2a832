package kwretry

import (
	"testing"
	"time"
)

// TestSharedBudgetHoldsForTheFleet lets every request of every entry fail and restarts all entries halfway: the retries of the
// whole fleet stay within its ratio and burst.
func TestSharedBudgetHoldsForTheFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := SharedBudgetsConfig{Ratio: 0.2, Burst: 200, Window: 10 * time.Second}
	for _, entries := range []int{6, 7, 27} {
		const requests = 3000
		var fleet []*SharedBudgets
		for range entries {
			s := NewSharedBudgets(cfg)
			s.SetEntryCount(entries)
			fleet = append(fleet, s)
		}
		retries := 0
		for i := range requests {
			if i == requests/2 {
				for j := range fleet {
					fleet[j] = NewSharedBudgets(cfg)
					fleet[j].SetEntryCount(entries)
				}
			}
			b := fleet[i%entries].ForService("llm")
			b.RecordFirstAttempt(now)
			for b.TrySpend(now) {
				retries++
			}
		}
		allowed := int(cfg.Ratio*requests + cfg.Burst)
		if retries > allowed || retries < allowed/2 {
			t.Errorf("%d entries: got %d retries, want between %d and %d", entries, retries, allowed/2, allowed)
		}
	}
}

func TestSharedBudgetFollowsEntryCount(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSharedBudgets(SharedBudgetsConfig{Ratio: 0.2, Burst: 200, Window: 10 * time.Second})
	b := s.ForService("llm")
	s.SetEntryCount(7)
	b.RecordFirstAttempt(now)
	now = now.Add(20 * time.Second)
	s.SetEntryCount(40)
	spent := 0
	for b.TrySpend(now) {
		spent++
	}
	if spent > 3 {
		t.Errorf("one of 40 entries: got %d retries at once, want its share of the burst, 3", spent)
	}
	if s.ForService("records") == b {
		t.Errorf("two services share a budget")
	}
}
