package kwqueue

import (
	"math"
	"slices"
	"time"
)

// Config holds the bounds of a queue.
type Config struct {
	// MaxWaitFactor is how many times its objective a request may wait for room.
	MaxWaitFactor float64
	// RateWindow is the time over which the rate of departures is averaged.
	RateWindow time.Duration
	// RetryAfterMin and RetryAfterMax bound the time after which a rejected caller is told to come back.
	RetryAfterMin, RetryAfterMax time.Duration
}

// DefaultConfig returns the bounds of a deployed entry. Under a load that lasts, a longer queue serves no more requests and
// makes each of them late, so one that gets its turn shall still have its first event within its objective.
func DefaultConfig() Config {
	return Config{
		MaxWaitFactor: 0.7,
		RateWindow:    2 * time.Second,
		RetryAfterMin: 300 * time.Millisecond,
		RetryAfterMax: 4 * time.Second,
	}
}

// Waiter is one request that waits.
type Waiter struct {
	// Priority ranks requests; 0 is served first.
	Priority int
	arrived  time.Time
	giveUp   time.Time
	sequence uint64
}

// Deadline returns when the request stops waiting.
func (t *Waiter) Deadline() time.Time { return t.giveUp }

// Queue orders the requests that wait for room, by priority and then by arrival; it is owned by its caller's lock.
type Queue struct {
	cfg      Config
	waiting  []*Waiter
	next     uint64
	rate     float64
	counted  time.Time
	departed int
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Push adds a request, or tells how long the caller should stay away if its turn would come too late.
func (q *Queue) Push(now time.Time, priority int, objective, left time.Duration) (*Waiter, time.Duration) {
	patience := min(time.Duration(float64(objective)*q.cfg.MaxWaitFactor), left)
	t := &Waiter{Priority: priority, arrived: now, giveUp: now.Add(patience), sequence: q.next}
	at, _ := slices.BinarySearchFunc(q.waiting, t, before)
	wait := q.expectedWait(now, at+1)
	if wait > patience {
		return nil, q.RetryAfter(now)
	}
	q.next++
	q.waiting = slices.Insert(q.waiting, at, t)
	return t, 0
}

func before(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// Head returns the request whose turn it is, or nil.
func (q *Queue) Head() *Waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(t *Waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Waiter) bool { return x == t })
}

// RecordDeparture counts a request that has freed its room.
func (q *Queue) RecordDeparture(now time.Time) {
	q.average(now)
	q.departed++
}

// average folds the departures since the last fold into the rate.
func (q *Queue) average(now time.Time) {
	if q.counted.IsZero() {
		q.counted = now
		return
	}
	span := now.Sub(q.counted)
	if span < q.cfg.RateWindow/8 {
		return
	}
	weight := 1 - math.Exp(-span.Seconds()/q.cfg.RateWindow.Seconds())
	q.rate += weight * (float64(q.departed)/span.Seconds() - q.rate)
	q.departed = 0
	q.counted = now
}

// expectedWait estimates when the request at a place gets its turn; without any departure yet it is unknown, 0.
func (q *Queue) expectedWait(now time.Time, place int) time.Duration {
	q.average(now)
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(float64(place) / q.rate * float64(time.Second))
}

// RetryAfter returns when a rejected caller should come back: once those that wait now have had their turn.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	wait := q.expectedWait(now, len(q.waiting)+1)
	return min(max(wait, q.cfg.RetryAfterMin), q.cfg.RetryAfterMax)
}
