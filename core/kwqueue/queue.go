package kwqueue

import (
	"math"
	"slices"
	"time"
)

// Config configures a Queue.
type Config struct {
	// MaxWaitFactor bounds the wait in the queue, as a multiple of the request's latency objective.
	MaxWaitFactor float64
	// RateWindow is the time constant of the moving average of the departure rate.
	RateWindow time.Duration
	// RetryAfterMin and RetryAfterMax bound the Retry-After time of a rejected request.
	RetryAfterMin, RetryAfterMax time.Duration
}

// DefaultConfig returns the configuration of a production entry. Under sustained overload a longer queue adds delay but no
// throughput, so the longest wait is below the objective: a request at the head can still get its first event in time.
func DefaultConfig() Config {
	return Config{
		MaxWaitFactor: 0.7,
		RateWindow:    2 * time.Second,
		RetryAfterMin: 300 * time.Millisecond,
		RetryAfterMax: 4 * time.Second,
	}
}

// Waiter is a queued request.
type Waiter struct {
	// Priority orders requests; the lowest value is served first.
	Priority int
	arrived  time.Time
	deadline time.Time
	sequence uint64
}

// Deadline returns when the wait in the queue times out.
func (w *Waiter) Deadline() time.Time { return w.deadline }

// Queue holds requests that wait for a free slot, by priority and then in arrival order. It is not safe for concurrent use;
// the caller's lock protects it.
type Queue struct {
	cfg           Config
	waiters       []*Waiter
	nextSequence  uint64
	departureRate float64
	rateUpdated   time.Time
	departures    int
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Push queues a request. If its expected wait exceeds its limit it returns nil and the Retry-After time. The limit is
// MaxWaitFactor times the objective, at most the time remaining until the request's own deadline.
func (q *Queue) Push(now time.Time, priority int, objective, remaining time.Duration) (*Waiter, time.Duration) {
	maxWait := q.MaxWait(objective, remaining)
	w := &Waiter{Priority: priority, arrived: now, deadline: now.Add(maxWait), sequence: q.nextSequence}
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	wait := q.expectedWait(now, position+1)
	if wait > maxWait {
		return nil, q.RetryAfter(now)
	}
	q.nextSequence++
	q.waiters = slices.Insert(q.waiters, position, w)
	return w, 0
}

// PushUntil queues a request until a deadline, without a look at its expected wait.
func (q *Queue) PushUntil(now time.Time, priority int, deadline time.Time) *Waiter {
	w := &Waiter{Priority: priority, arrived: now, deadline: deadline, sequence: q.nextSequence}
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.nextSequence++
	q.waiters = slices.Insert(q.waiters, position, w)
	return w
}

// MaxWait returns how long a request may wait, see Push.
func (q *Queue) MaxWait(objective, remaining time.Duration) time.Duration {
	return min(time.Duration(float64(objective)*q.cfg.MaxWaitFactor), remaining)
}

func compareWaiters(a, b *Waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.sequence < b.sequence {
		return -1
	}
	return 1
}

// Head returns the request that is served next, or nil if the queue is empty.
func (q *Queue) Head() *Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[0]
}

// Remove removes a request from any position in the queue.
func (q *Queue) Remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(x *Waiter) bool { return x == w })
}

// RecordDeparture counts a request that has released its slot.
func (q *Queue) RecordDeparture(now time.Time) {
	q.updateRate(now)
	q.departures++
}

// updateRate adds the departures since the last update to the moving average.
func (q *Queue) updateRate(now time.Time) {
	if q.rateUpdated.IsZero() {
		q.rateUpdated = now
		return
	}
	elapsed := now.Sub(q.rateUpdated)
	if elapsed < q.cfg.RateWindow/8 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/q.cfg.RateWindow.Seconds())
	q.departureRate += weight * (float64(q.departures)/elapsed.Seconds() - q.departureRate)
	q.departures = 0
	q.rateUpdated = now
}

// expectedWait estimates the wait of the request at a position, counted from 1. It returns 0 while no departure was counted.
func (q *Queue) expectedWait(now time.Time, position int) time.Duration {
	q.updateRate(now)
	if q.departureRate <= 0 {
		return 0
	}
	return time.Duration(float64(position) / q.departureRate * float64(time.Second))
}

// RetryAfter returns the Retry-After time of a rejected request: the time until the present queue has been served.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	wait := q.expectedWait(now, len(q.waiters)+1)
	return q.cfg.BoundRetryAfter(wait)
}

// BoundRetryAfter returns the Retry-After time for an expected wait, within the bounds.
func (c Config) BoundRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, c.RetryAfterMin), c.RetryAfterMax)
}
