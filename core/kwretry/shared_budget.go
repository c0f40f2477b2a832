package kwretry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// SharedConfig is what a fleet allows each service beyond the first try of every request: a ratio of the requests, and a
// burst in any window of time that all entries share.
type SharedConfig struct {
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

// Shared holds this entry's part of the retry budget of each service; it is safe for concurrent use.
type Shared struct {
	cfg     SharedConfig
	mu      sync.Mutex
	entries int
	budgets map[kwid.ServiceName]*Window
}

// NewShared returns the part of one entry of a small fleet.
func NewShared(cfg SharedConfig) *Shared {
	return &Shared{cfg: cfg, entries: leastEntries, budgets: make(map[kwid.ServiceName]*Window)}
}

// SetEntries takes how many entries share the budgets.
func (s *Shared) SetEntries(n int) {
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

func (s *Shared) burst() float64 {
	return s.cfg.Burst * burstShare / float64(s.entries)
}

// Of returns the budget of a service.
func (s *Shared) Of(service kwid.ServiceName) *Window {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.budgets[service]
	if !ok {
		w = NewWindow(WindowConfig{Ratio: s.cfg.Ratio * ratioShare, Burst: s.burst(), Window: s.cfg.Window})
		s.budgets[service] = w
	}
	return w
}
