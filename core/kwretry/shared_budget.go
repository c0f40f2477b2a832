package kwretry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// SharedBudgetsConfig is what a fleet allows each service beyond the first try of every request: a ratio of the requests, and a
// burst in any window of time that all entries share.
type SharedBudgetsConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

const (
	// ratioShare of the fleet's ratio is used, since the fleet counts requests in other windows than one entry.
	ratioShare = 0.85
	// burstShare of the fleet's burst is split between the entries. What is not lent either (lentShare) is for entries that start
	// anew with credit.
	burstShare = 0.38
	// leastEntries is how many entries are assumed at least: a leader that is new has not heard of all of them.
	leastEntries = 6
)

// SharedBudgets holds this entry's part of the retry budget of each service; it is safe for concurrent use.
type SharedBudgets struct {
	cfg     SharedBudgetsConfig
	mu      sync.Mutex
	entries int
	budgets map[kwid.ServiceName]*WindowBudget
}

// NewSharedBudgets returns the part of one entry of a small fleet.
func NewSharedBudgets(cfg SharedBudgetsConfig) *SharedBudgets {
	return &SharedBudgets{cfg: cfg, entries: leastEntries, budgets: make(map[kwid.ServiceName]*WindowBudget)}
}

// SetEntryCount takes how many entries share the budgets.
func (s *SharedBudgets) SetEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(n, leastEntries)
	if n == s.entries {
		return
	}
	s.entries = n
	for _, w := range s.budgets {
		w.SetBurst(s.burst())
	}
}

func (s *SharedBudgets) burst() float64 {
	return s.cfg.Burst * burstShare / float64(s.entries)
}

// ForService returns the budget of a service.
func (s *SharedBudgets) ForService(service kwid.ServiceName) *WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.budgets[service]
	if !ok {
		w = NewWindowBudget(WindowBudgetConfig{Ratio: s.cfg.Ratio * ratioShare, Burst: s.burst(), Window: s.cfg.Window})
		s.budgets[service] = w
	}
	return w
}
