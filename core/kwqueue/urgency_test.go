package kwqueue

import (
	"testing"
	"time"
)

func TestUrgency(t *testing.T) {
	now := time.Unix(100, 0)
	cases := []struct {
		name      string
		waited    time.Duration
		broken    bool
		want      Urgency
		wantLimit time.Duration
	}{
		{"new request", 0, false, OnTime, objective},
		{"request at its objective", objective, false, OnTime, objective},
		{"request of an outage", objective + time.Millisecond, false, Late, 2 * objective},
		{"broken stream", 10 * objective, true, Broken, 3 * objective},
	}
	for _, c := range cases {
		got := UrgencyOf(now, now.Add(-c.waited), objective, c.broken)
		if got != c.want {
			t.Errorf("%s: got urgency %d, want %d", c.name, got, c.want)
		}
		if limit := got.WaitObjective(objective); limit != c.wantLimit {
			t.Errorf("%s: got a wait objective of %v, want %v", c.name, limit, c.wantLimit)
		}
	}
}

// TestEnginePriorityFollowsQueue checks that engines order any two requests as the queue of an entry does, within the range of
// priorities that engines accept: exactly for up to four declared priorities, and without late requests apart for up to nine.
func TestEnginePriorityFollowsQueue(t *testing.T) {
	type ranked struct {
		urgency  Urgency
		declared int
	}
	const exact, separate = 4, 9
	for priorities := 1; priorities <= 12; priorities++ {
		var all []ranked
		for _, u := range []Urgency{Broken, OnTime, Late} {
			for declared := range priorities {
				all = append(all, ranked{u, declared})
			}
		}
		for _, a := range all {
			engineA := a.urgency.EnginePriority(a.declared, priorities)
			if engineA < 0 || engineA > LowestEnginePriority {
				t.Errorf("%+v: got engine priority %d, want 0 to %d", a, engineA, LowestEnginePriority)
			}
			for _, b := range all {
				queueFirst := a.urgency.Priority(a.declared) < b.urgency.Priority(b.declared)
				engineFirst := engineA < b.urgency.EnginePriority(b.declared, priorities)
				mustDiffer := priorities <= exact || priorities <= separate && (a.declared != b.declared || a.urgency == Broken)
				if engineFirst && !queueFirst || queueFirst && mustDiffer && !engineFirst {
					t.Errorf("%d priorities, %+v before %+v: got %t in the engine, want %t as in the queue", priorities, a, b, engineFirst, queueFirst)
				}
			}
		}
	}
	for _, position := range []int{-3, 50} {
		if got := OnTime.EnginePriority(position, 1); got < 1 || got > LowestEnginePriority {
			t.Errorf("position %d: got engine priority %d, want 1 to %d", position, got, LowestEnginePriority)
		}
	}
}

// TestLateBeforeLessUrgent checks that a late request is served after those of its priority that can be on time and before all of a less
// urgent one, which it would tie with if lateness cost as much as a declared priority.
func TestLateBeforeLessUrgent(t *testing.T) {
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	var want []*Waiter
	places := []Place{
		{Declared: 0, Urgency: OnTime},
		{Declared: 0, Urgency: Late},
		{Declared: 1, Urgency: OnTime},
		{Declared: 1, Urgency: Late},
		{Declared: 2, Urgency: OnTime},
	}
	for i := range places {
		w, _ := q.Push(now, places[len(places)-1-i], objective, time.Minute)
		want = append([]*Waiter{w}, want...)
	}
	for i := range want {
		got := q.Head()
		if got != want[i] {
			t.Errorf("position %d: got %+v, want %+v", i, got.Place, want[i].Place)
		}
		q.Remove(got)
	}
}
