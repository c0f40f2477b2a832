package kwhedge

import (
	"hash/fnv"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwid"
)

// Class identifies the requests whose latencies are compared.
type Class struct {
	Service kwid.ServiceName
	Route   string
}

// Reason is why a hedge was held back; it is the last part of the name of a metric.
type Reason string

// Reasons.
const (
	// NotHeldBack means that a hedge may be sent.
	NotHeldBack Reason = ""
	// Stopping means that the entry is stopping.
	Stopping Reason = "stopping"
	// NotRepeatable means that the request may not run again, or has no attempt left.
	NotRepeatable Reason = "not-repeatable"
	// Suspect means that servers may crash under the request.
	Suspect Reason = "suspect"
	// Queued means that requests wait for capacity, which a hedge would take from them.
	Queued Reason = "queue"
	// Limited means that an endpoint of the service has named a limit, or wants no requests for a while.
	Limited Reason = "limit"
	// NoEndpoint means that there is no other endpoint that is expected to be faster.
	NoEndpoint Reason = "no-endpoint"
	// ShareSpent means that the limit on hedges is reached.
	ShareSpent Reason = "share"
	// RetryBudgetSpent means that the retry budget has nothing left.
	RetryBudgetSpent Reason = "retry-budget"
)

// Reasons lists the reasons for which hedges are held back.
func Reasons() []Reason {
	return []Reason{Stopping, NotRepeatable, Suspect, Queued, Limited, NoEndpoint, ShareSpent, RetryBudgetSpent}
}

// Situation is what decides whether a request may be hedged now.
type Situation struct {
	Stopping, Repeatable, Suspect, Queued, Limited bool
	// ShareSpent means that no hedge is at hand, which spares the search for an endpoint.
	ShareSpent bool
}

// HeldBack returns the first reason not to hedge.
func (s Situation) HeldBack() Reason {
	switch {
	case s.Stopping:
		return Stopping
	case !s.Repeatable:
		return NotRepeatable
	case s.Suspect:
		return Suspect
	case s.Queued:
		return Queued
	case s.Limited:
		return Limited
	case s.ShareSpent:
		return ShareSpent
	}
	return NotHeldBack
}

// Config configures a Hedger.
type Config struct {
	// Quantile is the share of the requests of a class that are answered within the delay.
	Quantile float64
	// Window is how long a measured latency counts.
	Window time.Duration
	// MinSamples is the least number of latencies in the window for which there is a delay.
	MinSamples int64
	// MaxSaved is how long a hedge that has been earned may be saved.
	MaxSaved time.Duration
}

// DefaultConfig hedges after the 95th percentile of the last minute: a shorter delay hedges many requests that need it no more than
// others, a longer one has few requests left to help (docs/design/20-hedged-requests.md). Among 40 latencies two are above it.
// Hedges are saved for a second: a server that turns slow delays the requests of all entries at once, and what each has saved would reach the
// other servers in the same moment.
func DefaultConfig() Config {
	return Config{Quantile: 0.95, Window: time.Minute, MinSamples: 40, MaxSaved: time.Second}
}

// Hedger measures the latencies of classes, counts hedges against the limit and knows slow endpoints. It is safe for concurrent use.
type Hedger struct {
	cfg   Config
	phase float64
	// on spares requests the lock while the limit is 0.
	on      atomic.Bool
	mu      sync.Mutex
	share   float64
	budgets map[kwid.ServiceName]*budget
	classes map[Class]*latencies
	slow    slowEndpoints
}

// New returns a Hedger of an entry, which is off until a share is set.
func New(cfg Config, entry kwid.NodeID) *Hedger {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(entry))
	h := &Hedger{cfg: cfg, phase: float64(hash.Sum32()) / (1 << 32)}
	h.clear()
	return h
}

// clear forgets what was measured.
func (h *Hedger) clear() {
	h.budgets = make(map[kwid.ServiceName]*budget)
	h.classes = make(map[Class]*latencies)
	h.slow = slowEndpoints{means: make(map[kwid.EndpointID]endpointMean)}
}

// On reports whether requests may be hedged at all. While they may not, nothing is measured.
func (h *Hedger) On() bool { return h.on.Load() }

// SetShare sets the limit: hedges as a share of the requests of each service. What was earned under another limit is lost.
func (h *Hedger) SetShare(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if share == h.share {
		return
	}
	h.share = share
	clear(h.budgets)
	if h.on.Store(share > 0); share <= 0 {
		h.clear()
	}
}

// RecordRequest counts a request of a service, which earns a share of a hedge.
func (h *Hedger) RecordRequest(now time.Time, service kwid.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budgetOf(service).recordRequest(now, h.share, h.cfg.MaxSaved)
}

// budgetOf returns the budget of a service; the caller holds the lock.
func (h *Hedger) budgetOf(service kwid.ServiceName) *budget {
	b, ok := h.budgets[service]
	if !ok {
		b = &budget{fraction: -h.phase}
		h.budgets[service] = b
	}
	return b
}

// RecordLatency records how long the first attempt of a request took until its answer or its first event. One that was cancelled because
// its hedge was faster counts with the time until then: without it, each hedge would shorten the delay of the next ones.
func (h *Hedger) RecordLatency(now time.Time, class Class, endpoint kwid.EndpointID, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.classes[class]
	if !ok {
		// The declaration may name other routes by now.
		maps.DeleteFunc(h.classes, func(_ Class, l *latencies) bool { return now.Sub(l.lastAt) >= h.cfg.Window })
		l = newLatencies(now)
		h.classes[class] = l
	}
	if delay := h.delay(now, l); delay > 0 {
		h.slow.record(now, endpoint, latency, delay)
	}
	l.record(now, h.cfg.Window, latency)
}

// Delay returns how long an attempt of a class may take until it is hedged; ok is false if too little was measured.
func (h *Hedger) Delay(now time.Time, class Class) (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.classes[class]
	if !ok {
		return 0, false
	}
	delay = h.delay(now, l)
	return delay, delay > 0
}

func (h *Hedger) delay(now time.Time, l *latencies) time.Duration {
	return l.quantile(now, h.cfg.Window, h.cfg.Quantile, h.cfg.MinSamples)
}

// Slow reports whether an endpoint has of late taken as long for its requests as a hedge waits.
func (h *Hedger) Slow(now time.Time, id kwid.EndpointID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.slow.slow(now, id)
}

// Available reports whether a hedge of a service is at hand.
func (h *Hedger) Available(now time.Time, service kwid.ServiceName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.share > 0 && h.budgetOf(service).available(now, h.cfg.MaxSaved)
}

// Spend counts a hedge of a service against the limit and against the retry budget, which spendRetry counts it against, or returns which
// of them is reached.
func (h *Hedger) Spend(now time.Time, service kwid.ServiceName, spendRetry func() bool) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgetOf(service)
	if h.share <= 0 || !b.available(now, h.cfg.MaxSaved) {
		return ShareSpent
	}
	if !spendRetry() {
		return RetryBudgetSpent
	}
	b.spend()
	return NotHeldBack
}
