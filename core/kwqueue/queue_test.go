package kwqueue

import (
	"testing"
	"time"
)

const objective = 500 * time.Millisecond

func push(t *testing.T, q *Queue, now time.Time, priority int) *Waiter {
	t.Helper()
	ticket, after := q.Push(now, priority, objective, time.Minute)
	if ticket == nil {
		t.Fatalf("rejected, come back after %v", after)
	}
	return ticket
}

func TestQueueOrder(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	late := push(t, q, now, 2)
	first := push(t, q, now, 1)
	second := push(t, q, now, 1)
	for i, want := range []*Waiter{first, second, late} {
		got := q.Head()
		if got != want {
			t.Fatalf("place %d: got priority %d, want %d", i, got.Priority, want.Priority)
		}
		q.Remove(got)
	}
	if q.Head() != nil || q.Len() != 0 {
		t.Errorf("the queue is not empty")
	}
}

func TestQueuePatience(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	ticket := push(t, q, now, 1)
	if got, want := ticket.Deadline(), now.Add(objective*7/10); !got.Equal(want) {
		t.Errorf("gives up at: got %v, want %v", got, want)
	}
	short, _ := q.Push(now, 1, objective, 100*time.Millisecond)
	if got, want := short.Deadline(), now.Add(100*time.Millisecond); !got.Equal(want) {
		t.Errorf("with little time left gives up at: got %v, want %v", got, want)
	}
}

// TestQueueBurst replays a burst of three times the rate of departures: requests whose turn would come after their
// patience are rejected at once, those let in get their turn in time, and the caller is told to stay away for as long
// as the queue is.
func TestQueueBurst(t *testing.T) {
	const perSecond, load = 20, 3
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	step := time.Second / (perSecond * load)
	for range perSecond * load {
		q.RecordDeparture(now)
		now = now.Add(time.Second / perSecond)
	}
	rejected, served, lateTurns := 0, 0, 0
	longest := time.Duration(0)
	for i := range 10 * perSecond * load {
		now = now.Add(step)
		ticket, after := q.Push(now, 1, objective, time.Minute)
		if ticket == nil {
			rejected++
			longest = max(longest, after)
		}
		if i%load == 0 && q.Head() != nil {
			head := q.Head()
			q.Remove(head)
			q.RecordDeparture(now)
			served++
			if now.After(head.Deadline()) {
				lateTurns++
			}
		}
	}
	if rejected == 0 || served < 9*perSecond {
		t.Fatalf("rejected %d, served %d: want some rejected and the whole rate served", rejected, served)
	}
	if lateTurns > served/20 {
		t.Errorf("turns after the request's patience: got %d of %d, want 5 in 100 at most", lateTurns, served)
	}
	if longest < objective*7/10 || longest > DefaultConfig().RetryAfterMax {
		t.Errorf("longest time to stay away: got %v, want between %v and %v", longest, objective, DefaultConfig().RetryAfterMax)
	}
}

func TestQueueWithoutDepartures(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	for range 50 {
		push(t, q, now, 1)
	}
	if got := q.RetryAfter(now); got != DefaultConfig().RetryAfterMin {
		t.Errorf("time to stay away with no departure yet: got %v, want %v", got, DefaultConfig().RetryAfterMin)
	}
}
