package kwqueue

import (
	"testing"
	"time"
)

const objective = 500 * time.Millisecond

func push(t *testing.T, q *Queue, now time.Time, priority int) *Waiter {
	t.Helper()
	w, retryAfter := q.Push(now, Place{Declared: priority, Urgency: OnTime}, objective, time.Minute)
	if w == nil {
		t.Fatalf("request rejected with Retry-After %v", retryAfter)
	}
	return w
}

func TestQueueOrder(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	lowPriority := push(t, q, now, 2)
	first := push(t, q, now, 1)
	second := push(t, q, now, 1)
	for i, want := range []*Waiter{first, second, lowPriority} {
		got := q.Head()
		if got != want {
			t.Fatalf("position %d: got priority %d, want %d", i, got.Declared, want.Declared)
		}
		q.Remove(got)
	}
	if q.Head() != nil || q.Len() != 0 {
		t.Errorf("queue is not empty after all requests were removed")
	}
}

func TestQueueDeadline(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	w := push(t, q, now, 1)
	if got, want := w.Deadline(), now.Add(objective*7/10); !got.Equal(want) {
		t.Errorf("deadline: got %v, want %v", got, want)
	}
	short, _ := q.Push(now, Place{Declared: 1, Urgency: OnTime}, objective, 100*time.Millisecond)
	if got, want := short.Deadline(), now.Add(100*time.Millisecond); !got.Equal(want) {
		t.Errorf("deadline with little time remaining: got %v, want %v", got, want)
	}
}

// TestQueueBurst sends requests at three times the departure rate. Requests that would wait too long are rejected at once,
// the queued ones are served before their deadline, and Retry-After covers the length of the queue.
func TestQueueBurst(t *testing.T) {
	const departuresPerSecond, overload = 20, 3
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	interval := time.Second / (departuresPerSecond * overload)
	for range departuresPerSecond * overload {
		q.RecordDeparture(now)
		now = now.Add(time.Second / departuresPerSecond)
	}
	rejected, served, late := 0, 0, 0
	maxRetryAfter := time.Duration(0)
	for i := range 10 * departuresPerSecond * overload {
		now = now.Add(interval)
		w, retryAfter := q.Push(now, Place{Declared: 1, Urgency: OnTime}, objective, time.Minute)
		if w == nil {
			rejected++
			maxRetryAfter = max(maxRetryAfter, retryAfter)
		}
		if i%overload == 0 && q.Head() != nil {
			head := q.Head()
			q.Remove(head)
			q.RecordDeparture(now)
			served++
			if now.After(head.Deadline()) {
				late++
			}
		}
	}
	if rejected == 0 || served < 9*departuresPerSecond {
		t.Fatalf("got %d rejected and %d served, want some rejected and the full departure rate served", rejected, served)
	}
	if late > served/20 {
		t.Errorf("served after their deadline: got %d of %d, want 5%% at most", late, served)
	}
	if maxRetryAfter < objective*7/10 || maxRetryAfter > DefaultConfig().RetryAfterMax {
		t.Errorf("longest Retry-After: got %v, want between %v and %v", maxRetryAfter, objective, DefaultConfig().RetryAfterMax)
	}
}

func TestQueueWithoutDepartures(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	for range 50 {
		push(t, q, now, 1)
	}
	if got := q.RetryAfter(now); got != DefaultConfig().RetryAfterMin {
		t.Errorf("Retry-After without departures: got %v, want %v", got, DefaultConfig().RetryAfterMin)
	}
}
