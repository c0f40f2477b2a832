package kwdispatch

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// TestCallsWaitInFairOrder has one workspace send ten calls at once and another one two. Turns must go to the workspaces in turn, within
// the order of priorities.
func TestCallsWaitInFairOrder(t *testing.T) {
	now := time.Unix(100, 0)
	c := NewCallQueue(kwqueue.DefaultConfig())
	names := make(map[*kwqueue.Waiter]kwid.WorkspaceName)
	join := func(priority int, workspace kwid.WorkspaceName) {
		d := c.Join(now, kwqueue.Place{Declared: priority, Urgency: kwqueue.OnTime, Workspace: workspace}, time.Minute, Turns{Wait: 100 * time.Millisecond, Rate: 10})
		if d.Waiter == nil || d.Sleep <= 0 {
			t.Fatalf("got %+v, want the call to wait", d)
		}
		names[d.Waiter] = workspace
	}
	for range 10 {
		join(1, "busy")
	}
	join(1, "other")
	join(1, "other")
	join(0, "urgent")
	var got []kwid.WorkspaceName
	for range 6 {
		head := c.Head()
		got = append(got, names[head])
		c.Leave(head)
	}
	want := []kwid.WorkspaceName{"urgent", "busy", "other", "busy", "other", "busy"}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got the order %v, want %v", got, want)
		}
	}
}

// TestCallsThatCannotWaitAreRejectedAtOnce has calls join while their turns come in time and no longer, and has a limit fall.
func TestCallsThatCannotWaitAreRejectedAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	cfg := kwqueue.DefaultConfig()
	c := NewCallQueue(cfg)
	turns := Turns{Wait: 100 * time.Millisecond, Rate: 10}
	waiting := 0
	for range 20 {
		d := c.Join(now, kwqueue.Place{Declared: 1, Urgency: kwqueue.OnTime, Workspace: "w"}, time.Second, turns)
		if d.Waiter != nil {
			waiting++
		} else if d.RetryAfter < 500*time.Millisecond {
			t.Fatalf("got Retry-After %v, want the time until there is room", d.RetryAfter)
		}
	}
	// Half of a second has room for the turns at 0.1, 0.2, ... 0.5 s.
	if waiting != 5 {
		t.Errorf("got %d calls that wait, want 5", waiting)
	}
	now = now.Add(50 * time.Millisecond)
	if d := c.Again(now, c.Head(), Turns{Wait: 50 * time.Millisecond, Rate: 10}); d.Waiter == nil || d.Sleep != 50*time.Millisecond {
		t.Errorf("got %+v, want the head to wait for its turn", d)
	}
	for range waiting {
		head := c.Head()
		if d := c.Again(now, head, Turns{Wait: time.Minute, Rate: 0.01}); d.Waiter != nil || d.RetryAfter != cfg.RetryAfterMax {
			t.Fatalf("after a fall of the limit: got %+v, want a rejection with Retry-After %v", d, cfg.RetryAfterMax)
		}
		c.Leave(head)
	}
}
