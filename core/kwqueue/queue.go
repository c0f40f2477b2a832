package kwqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
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

// Place says where in the queue a request belongs.
type Place struct {
	// Declared is the priority that the declaration gives the request; the lowest value is served first.
	Declared int
	Urgency  Urgency
	// Workspace is the caller's workspace, empty if it has none. Requests of equal rank take turns by workspace.
	Workspace kwid.WorkspaceName
	// Returning means that the caller was rejected before and comes back: it goes before others of its rank and workspace, and before those
	// of other workspaces in the same round.
	Returning bool
}

// Waiter is a queued request.
type Waiter struct {
	Place
	deadline time.Time
	// round orders requests of equal rank.
	round    int
	sequence uint64
	// shedAfter is the Retry-After time of a request that was shed.
	shedAfter time.Duration
}

// Deadline returns when the wait in the queue times out.
func (w *Waiter) Deadline() time.Time { return w.deadline }

// Shed returns the Retry-After time of a request that was removed from the queue for more urgent ones.
func (w *Waiter) Shed() (retryAfter time.Duration, shed bool) { return w.shedAfter, w.shedAfter > 0 }

// rank orders requests by priority and lateness.
func (w *Waiter) rank() int { return w.Urgency.Priority(w.Declared) }

// Queue holds requests that wait for a free slot, by priority, lateness, turns of workspaces and then in arrival order. It is not safe
// for concurrent use; the caller's lock protects it.
type Queue struct {
	cfg           Config
	waiters       []*Waiter
	turns         map[int]*turns
	nextSequence  uint64
	departureRate float64
	rateUpdated   time.Time
	departures    int
	schedule      schedule
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg, turns: make(map[int]*turns)}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Push queues a request. If its expected wait exceeds its limit it returns nil and the Retry-After time. The limit is
// MaxWaitFactor times the objective, at most the time remaining until the request's own deadline.
func (q *Queue) Push(now time.Time, place Place, objective, remaining time.Duration) (*Waiter, time.Duration) {
	maxWait := q.MaxWait(objective, remaining)
	w := &Waiter{Place: place, deadline: now.Add(maxWait), sequence: q.nextSequence}
	w.round = q.nextRound(w)
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	wait := q.expectedWait(now, position+1)
	if wait > maxWait {
		return nil, q.RetryAfter(now)
	}
	q.insert(w)
	return w, 0
}

// PushUntil queues a request until a deadline, without a look at its expected wait.
func (q *Queue) PushUntil(place Place, deadline time.Time) *Waiter {
	w := &Waiter{Place: place, deadline: deadline}
	q.insert(w)
	return w
}

// MaxWait returns how long a request may wait, see Push.
func (q *Queue) MaxWait(objective, remaining time.Duration) time.Duration {
	return min(time.Duration(float64(objective)*q.cfg.MaxWaitFactor), remaining)
}

func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.round, b.round), compareReturning(a, b), cmp.Compare(a.sequence, b.sequence))
}

func compareReturning(a, b *Waiter) int {
	switch {
	case a.Returning == b.Returning:
		return 0
	case a.Returning:
		return -1
	}
	return 1
}

func (q *Queue) insertSorted(w *Waiter) {
	position, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, position, w)
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
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return
	}
	first := i == 0 || q.waiters[i-1].rank() != w.rank()
	q.waiters = slices.Delete(q.waiters, i, i+1)
	q.leaveRound(w, first)
}

// ShedTail removes the requests at the tail that can no longer expect their turn in time since a request has joined before them, and
// returns them. It answers urgent requests that arrive faster than capacity is freed: those that they displace do better to come back
// at a time when there is room than to wait in vain. Only requests of a lower declared priority are removed.
func (q *Queue) ShedTail(now time.Time, joined *Waiter) (shed []*Waiter) {
	for n := len(q.waiters); n > 0; n-- {
		tail := q.waiters[n-1]
		if tail.Declared <= joined.Declared || tail.Urgency == Broken || !now.Add(q.expectedWait(now, n)).After(tail.deadline) {
			break
		}
		tail.shedAfter = q.Promise(now, tail.Declared)
		q.Remove(tail)
		shed = append(shed, tail)
	}
	return shed
}

// RecordDeparture counts a request that has released its slot.
func (q *Queue) RecordDeparture(now time.Time) {
	q.updateRate(now)
	q.departures++
	q.schedule.fade(now)
	q.schedule.departures++
}

// RecordServed counts a request whose answer has begun, by which promises go: requests that endpoints refuse leave too.
func (q *Queue) RecordServed(now time.Time) {
	q.schedule.fade(now)
	q.schedule.served++
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
