package kwretry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwmembership"
)

// returnSpreadShare is the share of a pause by which the return to the endpoint may be put off after its end.
const returnSpreadShare = 0.1

// Pauses remembers for how long endpoint processes want no requests. It answers an overload of single servers, which turn
// requests away and say when to come back: sooner only adds to the overload, and all entries at once begin it anew, so their
// returns are spread. It is safe for concurrent use.
type Pauses struct {
	mu sync.Mutex
	// random returns a number in [0, 1).
	random func() float64
	pauses map[kwmembership.Process]pause
	// none spares most calls the lock.
	none atomic.Bool
}

// pause ends at end as the endpoint wants it, and at resume for this entry.
type pause struct{ end, resume time.Time }

// NewPauses returns a Pauses without any; random returns a number in [0, 1).
func NewPauses(random func() float64) *Pauses {
	p := &Pauses{random: random, pauses: make(map[kwmembership.Process]pause)}
	p.none.Store(true)
	return p
}

// Record records that a process wants no requests for a time from now on, unless an earlier pause lasts as long. It reports
// whether the pause is new or longer than before.
func (p *Pauses) Record(now time.Time, process kwmembership.Process, length time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetEnded(now)
	end := now.Add(length)
	if length <= 0 || !end.After(p.pauses[process].end) {
		return false
	}
	spread := time.Duration(p.random() * returnSpreadShare * float64(length))
	p.pauses[process] = pause{end: end, resume: end.Add(spread)}
	p.none.Store(false)
	return true
}

// None reports whether no process has been paused of late.
func (p *Pauses) None() bool { return p.none.Load() }

// Remaining returns how long a process gets no requests, 0 if it is not paused.
func (p *Pauses) Remaining(now time.Time, process kwmembership.Process) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetEnded(now)
	return max(0, p.pauses[process].resume.Sub(now))
}

// forgetEnded forgets the pauses that are over; the caller holds the lock.
func (p *Pauses) forgetEnded(now time.Time) {
	maps.DeleteFunc(p.pauses, func(_ kwmembership.Process, old pause) bool { return !now.Before(old.resume) })
	p.none.Store(len(p.pauses) == 0)
}
