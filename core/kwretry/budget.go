package kwretry

import (
	"sync"

	"knapweedproxy/core/kwcode"
)

// BudgetConfig configures a Budget: each first attempt earns Ratio retries, up to Burst saved retries.
type BudgetConfig struct {
	Ratio float64
	Burst float64
}

// DefaultBudgetConfig allows one budgeted retry per five first attempts and a burst of 20.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, Burst: 20}
}

// Budget is a token bucket that limits retries to a share of the first attempts. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	cfg    BudgetConfig
	tokens float64
}

// NewBudget returns a Budget with a full bucket.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// SetBurst changes the size of the bucket, for a process whose share of a common budget has changed.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordFirstAttempt adds the tokens that a first attempt earns.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// TrySpend takes the token of one retry, or returns false if there is none.
func (b *Budget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// freeRetries is the number of retries per request that take no token, so that the loss of one endpoint with many requests
// in flight fails none of them.
const freeRetries = 2

// AllowRetry reports whether a request may be retried after the given number of attempts, and takes a token if the retry is
// not free.
func (b *Budget) AllowRetry(attempts int) bool {
	return attempts <= freeRetries || b.TrySpend()
}

// MaxAttempts is the maximum number of attempts per request, the first one included.
const MaxAttempts = 6

// Retryable reports whether a request that failed with err may be retried: it has attempts left, and is idempotent or known not
// to have run.
func Retryable(err error, idempotent bool, attempts int) bool {
	if attempts >= MaxAttempts {
		return false
	}
	if idempotent {
		return true
	}
	coded := kwcode.FromError(err)
	return kwcode.Describe(coded.Code).Outcome == kwcode.NotRun
}
