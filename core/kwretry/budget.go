package kwretry

import (
	"sync"

	"knapweedproxy/core/kwcode"
)

// BudgetConfig sets the budget: Ratio retries are earned by each first try, up to Burst.
type BudgetConfig struct {
	Ratio float64
	Burst float64
}

// DefaultBudgetConfig allows one paid retry for five first tries and a burst of 20.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.2, Burst: 20}
}

// Budget bounds retries to a share of first tries; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	cfg    BudgetConfig
	tokens float64
}

// NewBudget returns a full Budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// SetBurst changes the bound of the credit, as the share of one process in a common budget changes.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = burst
	b.tokens = min(b.tokens, burst)
}

// RecordFirstAttempt earns credit for a first try.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// TrySpend takes the credit of one retry, or returns false.
func (b *Budget) TrySpend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// freeTries is how many tries of one request do not draw on the budget, so that one lost endpoint with many
// requests in progress cuts none of them off.
const freeTries = 2

// AllowRetry takes the credit of the try after the given number of tries, or returns false.
func (b *Budget) AllowRetry(tries int) bool {
	return tries <= freeTries || b.TrySpend()
}

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 6

// Retryable tells whether a failure may be tried again: the call is idempotent or it provably has not run.
func Retryable(err error, idempotent bool, tries int) bool {
	if tries >= MaxAttempts {
		return false
	}
	if idempotent {
		return true
	}
	coded := kwcode.FromError(err)
	return kwcode.Describe(coded.Code).Outcome == kwcode.NotRun
}
