package kwretry

import (
	"sync"
	"time"
)

// WindowBudgetConfig configures a WindowBudget: in any Window it allows Ratio retries per first attempt, and Burst more.
type WindowBudgetConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// windowSlots is the number of slots that a window is divided into. One more slot is kept, since the window begins inside the
// oldest one: the retries in that slot still count, its first attempts no longer earn retries.
const windowSlots = 20

// WindowBudget limits the retries in a sliding window to a share of the first attempts in it, plus a burst. It is safe for
// concurrent use. The tokens of a Budget are capped by its burst; here, all retries earned in the window are available when
// many requests fail at once after a quiet period.
type WindowBudget struct {
	mu    sync.Mutex
	cfg   WindowBudgetConfig
	slots [windowSlots + 1]windowSlot
	// started is when the window was first used.
	started time.Time
	// currentSlot is the number of the newest slot; slots are numbered from the Unix epoch.
	currentSlot int64
}

// startBurstShare is the share of the burst that a new process may use in its first window, since the process that it replaces
// may just have spent its own burst.
const startBurstShare = 0.5

type windowSlot struct {
	firstAttempts, retries int
}

// NewWindowBudget returns a WindowBudget without recorded attempts.
func NewWindowBudget(cfg WindowBudgetConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

// SetBurst changes the burst, for a process whose share of a common budget has changed.
func (w *WindowBudget) SetBurst(burst float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Burst = burst
}

// RecordFirstAttempt counts a first attempt.
func (w *WindowBudget) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotAt(now).firstAttempts++
}

// FirstAttempts returns the number of first attempts that earn retries now.
func (w *WindowBudget) FirstAttempts(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotAt(now)
	firstAttempts, _ := w.count()
	return firstAttempts
}

// count returns the first attempts that earn retries, and the retries that count against them; the caller holds the lock.
func (w *WindowBudget) count() (firstAttempts, retries int) {
	for i, s := range w.slots {
		retries += s.retries
		if int64(i) != (w.currentSlot+1)%int64(len(w.slots)) {
			firstAttempts += s.firstAttempts
		}
	}
	return firstAttempts, retries
}

// TrySpend counts one retry, or returns false if the budget of the window is spent.
func (w *WindowBudget) TrySpend(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.slotAt(now)
	firstAttempts, retries := w.count()
	burst := w.cfg.Burst
	if now.Sub(w.started) < w.cfg.Window {
		burst *= startBurstShare
	}
	if float64(retries+1) > w.cfg.Ratio*float64(firstAttempts)+burst {
		return false
	}
	slot.retries++
	return true
}

// slotAt returns the slot of a point in time and clears the slots that have left the window; the caller holds the lock.
func (w *WindowBudget) slotAt(now time.Time) *windowSlot {
	if w.started.IsZero() {
		w.started = now
	}
	slotNumber := w.currentSlot
	if slotDuration := int64(w.cfg.Window / windowSlots); slotDuration > 0 {
		slotNumber = now.UnixNano() / slotDuration
	}
	if slotNumber-w.currentSlot > int64(len(w.slots)) {
		w.currentSlot = slotNumber - int64(len(w.slots))
	}
	for w.currentSlot < slotNumber {
		w.currentSlot++
		w.slots[w.currentSlot%int64(len(w.slots))] = windowSlot{}
	}
	return &w.slots[w.currentSlot%int64(len(w.slots))]
}
