package kwdeclaration

import (
	"testing"
	"time"
)

// TestWaitObjective checks that no class of a service has a longer objective for its wait than a more urgent one, which would be rejected
// in its favour, also where a workspace has a priority of its own; calls, other services and more urgent classes do not count.
func TestWaitObjective(t *testing.T) {
	const ms = time.Millisecond
	own := 7
	stream := func(priority int, objective time.Duration, public bool) Route {
		return Route{Kind: Streaming, Priority: priority, LatencyObjective: objective, Public: public, Targets: []Target{{Service: "s", Weight: 1}}}
	}
	call := stream(3, 5*time.Second, true)
	call.Kind = Idempotent
	other := stream(3, 5*time.Second, true)
	other.Targets = []Target{{Service: "t", Weight: 1}}
	d := &Declaration{
		Routes:     []Route{stream(0, 500*ms, true), stream(1, 600*ms, true), stream(2, 1200*ms, true), stream(4, 300*ms, false), call, other},
		Workspaces: []Workspace{{Name: "w", Priority: &own}},
	}
	classes := NewIndex(d).PriorityClasses("s")
	for priority, want := range map[int]time.Duration{0: 1200 * ms, 1: 1200 * ms, 2: 1200 * ms, 3: 300 * ms, 4: 300 * ms, 7: 300 * ms, 8: 0} {
		if got := classes.WaitObjective(priority); got != want {
			t.Errorf("priority %d: got a wait objective of %v, want %v", priority, got, want)
		}
	}
	if got, want := classes.Len(), 6; got != want {
		t.Errorf("got %d classes, want %d", got, want)
	}
	if got, want := classes.Position(4), 4; got != want {
		t.Errorf("position of priority 4: got %d, want %d", got, want)
	}
}
