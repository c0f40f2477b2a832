package kwretry

import (
	"sync"
	"time"
)

// WindowBudgetConfig allows repeats in any Window: Ratio times the first tries in it, and a Burst.
type WindowBudgetConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// windowSlots is how finely a window is counted; repeats of the oldest slot still count and its first tries no longer do.
const windowSlots = 20

// WindowBudget bounds repeats to a share of the first tries of the same time; it is safe for concurrent use. Unlike the credit of a
// Budget, what first tries have earned is there in full when many requests fail at once after a calm time.
type WindowBudget struct {
	mu    sync.Mutex
	cfg   WindowBudgetConfig
	slots [windowSlots + 1]windowSlot
	// began is when the window was first used.
	began time.Time
	// newest is the number of the slot that is counted in now.
	newest int64
}

// startShare of its burst is what a new process has in its first window, since the one before it may have spent its own.
const startShare = 0.5

type windowSlot struct {
	firsts, repeats int
}

// NewWindowBudget returns a Window without a past.
func NewWindowBudget(cfg WindowBudgetConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

// SetBurst changes the burst, as the share of one process in a common budget changes.
func (w *WindowBudget) SetBurst(burst float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Burst = burst
}

// RecordFirstAttempt counts a first try.
func (w *WindowBudget) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(now).firsts++
}

// TrySpend counts one repeat, or returns false if the window has no room for it.
func (w *WindowBudget) TrySpend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.at(now)
	firsts, repeats := 0, 0
	for i, s := range w.slots {
		repeats += s.repeats
		if int64(i) != (w.newest+1)%int64(len(w.slots)) {
			firsts += s.firsts
		}
	}
	burst := w.cfg.Burst
	if now.Sub(w.began) < w.cfg.Window {
		burst *= startShare
	}
	if float64(repeats+1) > w.cfg.Ratio*float64(firsts)+burst {
		return false
	}
	slot.repeats++
	return true
}

// at returns the slot of a moment and clears those that have left the window; the caller holds the lock.
func (w *WindowBudget) at(now time.Time) *windowSlot {
	if w.began.IsZero() {
		w.began = now
	}
	number := w.newest
	if step := int64(w.cfg.Window / windowSlots); step > 0 {
		number = now.UnixNano() / step
	}
	if number-w.newest > int64(len(w.slots)) {
		w.newest = number - int64(len(w.slots))
	}
	for w.newest < number {
		w.newest++
		w.slots[w.newest%int64(len(w.slots))] = windowSlot{}
	}
	return &w.slots[w.newest%int64(len(w.slots))]
}
