package kwretry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// SharedBudgetsConfig is the retry budget of each service for the whole fleet: in any Window, all entries together may send
// Ratio retries per request, and Burst more.
type SharedBudgetsConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

const (
	// ratioShare is the share of the fleet's ratio that the entries earn themselves. The margin beside it and lentRatioShare is
	// needed because the windows of the entries and the fleet are not aligned.
	ratioShare = 0.6
	// splitBurstShare is the share of the fleet's burst that is split between the entries. What remains beside it and
	// lentBurstShare covers entries that restart: their new budget does not count the retries that they sent before.
	splitBurstShare = 0.38
	// minEntries is the least number of entries assumed, since a new leader has not heard from all of them yet.
	minEntries = 6
)

// SharedBudgets holds this entry's share of the retry budget of each service. It is safe for concurrent use.
type SharedBudgets struct {
	cfg        SharedBudgetsConfig
	mu         sync.Mutex
	entryCount int
	budgets    map[kwid.ServiceName]*WindowBudget
}

// NewSharedBudgets returns the share of one entry in a fleet with the minimum number of entries.
func NewSharedBudgets(cfg SharedBudgetsConfig) *SharedBudgets {
	return &SharedBudgets{cfg: cfg, entryCount: minEntries, budgets: make(map[kwid.ServiceName]*WindowBudget)}
}

// SetEntryCount sets the number of entries that share the budgets.
func (s *SharedBudgets) SetEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = max(n, minEntries)
	if n == s.entryCount {
		return
	}
	s.entryCount = n
	for _, w := range s.budgets {
		w.SetBurst(s.entryBurst())
	}
}

func (s *SharedBudgets) entryBurst() float64 {
	return s.cfg.Burst * splitBurstShare / float64(s.entryCount)
}

// ForService returns this entry's share of the budget of a service.
func (s *SharedBudgets) ForService(service kwid.ServiceName) *WindowBudget {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.budgets[service]
	if !ok {
		w = NewWindowBudget(WindowBudgetConfig{Ratio: s.cfg.Ratio * ratioShare, Burst: s.entryBurst(), Window: s.cfg.Window})
		s.budgets[service] = w
	}
	return w
}

// Requests returns how many requests of each service earn retries at this entry now. The entry reports them to the Lender.
func (s *SharedBudgets) Requests(now time.Time) map[kwid.ServiceName]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[kwid.ServiceName]int, len(s.budgets))
	for service, w := range s.budgets {
		if n := w.FirstAttempts(now); n > 0 {
			out[service] = n
		}
	}
	return out
}
