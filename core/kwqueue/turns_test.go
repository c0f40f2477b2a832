package kwqueue

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// TestWorkspacesTakeTurns has three workspaces queue: "flood" keeps many requests waiting, "quick" sends its next request as soon as the
// one before has had its turn, and "calm" has some waiting. None may get more than its turns while all have requests waiting, also not
// by requests whose wait ends before their turn, and none less.
func TestWorkspacesTakeTurns(t *testing.T) {
	const turnsEach = 30
	now := time.Unix(100, 0)
	q := NewQueue(DefaultConfig())
	join := func(workspace kwid.WorkspaceName) *Waiter {
		w, retryAfter := q.Push(now, Place{Declared: 1, Urgency: OnTime, Workspace: workspace}, objective, time.Minute)
		if w == nil {
			t.Fatalf("%s: rejected with Retry-After %v", workspace, retryAfter)
		}
		return w
	}
	var flood []*Waiter
	for range 2 * turnsEach {
		flood = append(flood, join("flood"))
	}
	for range 2 * turnsEach {
		join("calm")
	}
	join("quick")
	got := make(map[kwid.WorkspaceName]int)
	for turn := range 3 * turnsEach {
		head := q.Head()
		got[head.Workspace]++
		q.Remove(head)
		switch {
		case head.Workspace == "quick":
			join("quick")
		case turn == turnsEach:
			// The next ten of the busy workspace leave before their turn, and as many come.
			for _, w := range flood[turnsEach/2 : turnsEach/2+10] {
				q.Remove(w)
				join("flood")
			}
		}
	}
	for _, workspace := range []kwid.WorkspaceName{"flood", "calm", "quick"} {
		if n := got[workspace]; n < turnsEach-1 || n > turnsEach+1 {
			t.Errorf("%s: got %d turns, want %d as the others", workspace, n, turnsEach)
		}
	}
	first, served := join("new"), false
	for range 4 {
		served = served || q.Head() == first
		q.Remove(q.Head())
	}
	if !served {
		t.Errorf("the first request of another workspace has had no turn within a round")
	}
}
