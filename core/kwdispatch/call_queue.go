package kwdispatch

import (
	"time"

	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwqueue"
)

// callWaitShare is the share of its remaining time that a call may wait for a turn of an endpoint. A call that is rejected comes back
// late too, so a late answer is better.
const callWaitShare = 0.5

// CallQueue holds the calls of a service that wait for a turn of its endpoints. It answers limits below the load of a plain service: calls
// whose turn comes in time wait in fair order, and any other is rejected at once with the time until there is room. It is not safe for
// concurrent use.
type CallQueue struct {
	cfg   kwqueue.Config
	queue *kwqueue.Queue
}

// NewCallQueue returns an empty CallQueue.
func NewCallQueue(cfg kwqueue.Config) *CallQueue {
	return &CallQueue{cfg: cfg, queue: kwqueue.NewQueue(cfg)}
}

// Turns tell when the endpoints of a call take requests again: the first of them after Wait, and all of them together at Rate.
type Turns struct {
	Wait time.Duration
	Rate kwendpointlimit.Rate
}

// CallDecision is what becomes of a call that found no turn.
type CallDecision struct {
	// Waiter is set if the call waits: until it is woken or Sleep is over.
	Waiter *kwqueue.Waiter
	Sleep  time.Duration
	// RetryAfter is when a rejected caller should come back.
	RetryAfter time.Duration
}

// Len returns how many calls wait.
func (c *CallQueue) Len() int { return c.queue.Len() }

// Head returns the call that may use the next turn, or nil if none waits.
func (c *CallQueue) Head() *kwqueue.Waiter { return c.queue.Head() }

// Join decides on a call that has found no turn and whose caller waits for left.
func (c *CallQueue) Join(now time.Time, place kwqueue.Place, left time.Duration, turns Turns) CallDecision {
	longest := time.Duration(callWaitShare * float64(left))
	wait := turns.Wait + turns.Rate.Time(c.queue.Len())
	if wait > longest {
		return CallDecision{RetryAfter: c.cfg.BoundRetryAfter(wait)}
	}
	waiter := c.queue.PushUntil(place, now.Add(longest))
	return CallDecision{Waiter: waiter, Sleep: wait}
}

// Again decides on a waiting call that has still found no turn after it was woken.
func (c *CallQueue) Again(now time.Time, waiter *kwqueue.Waiter, turns Turns) CallDecision {
	left := waiter.Deadline().Sub(now)
	if c.queue.Head() == waiter && turns.Wait <= left {
		return CallDecision{Waiter: waiter, Sleep: turns.Wait}
	}
	if c.queue.Head() == waiter || left <= 0 {
		return CallDecision{RetryAfter: c.cfg.BoundRetryAfter(turns.Wait)}
	}
	return CallDecision{Waiter: waiter, Sleep: left}
}

// Leave removes a call that no longer waits.
func (c *CallQueue) Leave(waiter *kwqueue.Waiter) {
	c.queue.Remove(waiter)
}
