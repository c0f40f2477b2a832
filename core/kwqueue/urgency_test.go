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
// priorities that engines accept.
func TestEnginePriorityFollowsQueue(t *testing.T) {
	type ranked struct {
		urgency  Urgency
		declared int
	}
	var all []ranked
	for _, u := range []Urgency{Broken, OnTime, Late} {
		for declared := range 7 {
			all = append(all, ranked{u, declared})
		}
	}
	for _, a := range all {
		if got := a.urgency.EnginePriority(a.declared); got < 0 || got > LowestEnginePriority {
			t.Errorf("%+v: got engine priority %d, want 0 to %d", a, got, LowestEnginePriority)
		}
		for _, b := range all {
			queueFirst := a.urgency.Priority(a.declared) < b.urgency.Priority(b.declared)
			engineFirst := a.urgency.EnginePriority(a.declared) < b.urgency.EnginePriority(b.declared)
			if queueFirst != engineFirst {
				t.Errorf("%+v before %+v: got %t in the engine, want %t as in the queue", a, b, engineFirst, queueFirst)
			}
		}
	}
	for _, declared := range []int{-3, 50} {
		if got := OnTime.EnginePriority(declared); got < 0 || got > LowestEnginePriority {
			t.Errorf("declared priority %d: got engine priority %d, want 0 to %d", declared, got, LowestEnginePriority)
		}
	}
}
