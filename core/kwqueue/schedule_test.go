package kwqueue

import (
	"testing"
	"time"
)

// TestPromisesAreSpread rejects many callers at once at an entry that serves ten requests a second. No more may be told to come back in any
// second than are served in one, within the bounds, and more urgent ones that are rejected later must find room among the others.
func TestPromisesAreSpread(t *testing.T) {
	const perSecond = 10
	cfg := DefaultConfig()
	now := time.Unix(100, 0)
	q := NewQueue(cfg)
	for range 40 * perSecond {
		q.RecordServed(now)
		q.RecordDeparture(now)
		now = now.Add(time.Second / perSecond)
	}
	urgent := q.Promise(now, 0)
	var promises []time.Duration
	for range perSecond {
		promises = append(promises, q.Promise(now, 1))
	}
	for _, p := range promises {
		if p < cfg.RetryAfterMin || p > cfg.RetryAfterMax {
			t.Errorf("got a promise of %v, want one within %v and %v", p, cfg.RetryAfterMin, cfg.RetryAfterMax)
		}
		together := 0
		for _, other := range append(promises, urgent) {
			if other >= p && other < p+time.Second {
				together++
			}
		}
		if together > perSecond {
			t.Errorf("got %d promises within a second after %v, want %d at most", together, p, perSecond)
		}
	}
	if got := q.Promise(now, 0); got > time.Second || got <= urgent {
		t.Errorf("another more urgent caller: got a promise of %v, want one after %v and among the first of the others", got, urgent)
	}
	for range 20 * perSecond {
		if got := q.Promise(now, 1); got < cfg.RetryAfterMin || got > cfg.RetryAfterMax {
			t.Fatalf("with all slots taken: got a promise of %v", got)
		}
	}
}

// TestReturningFirst has callers come back to a queue in which others wait. They must go before those of their workspace and priority, and
// before others in their round, but the workspace must get no more turns.
func TestReturningFirst(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	join := func(place Place) *Waiter {
		place.Declared, place.Urgency = 1, OnTime
		w, _ := q.Push(now, place, objective, time.Minute)
		return w
	}
	a1, b1 := join(Place{Workspace: "a"}), join(Place{Workspace: "b"})
	a2, b2 := join(Place{Workspace: "a"}), join(Place{Workspace: "b"})
	returned := join(Place{Workspace: "b", Returning: true})
	for i, want := range []*Waiter{returned, a1, b1, a2, b2} {
		got := q.Head()
		if got != want {
			t.Errorf("position %d: got %+v, want %+v", i, got.Place, want.Place)
		}
		q.Remove(got)
	}
}
