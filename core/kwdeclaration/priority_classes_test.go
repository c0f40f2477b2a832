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

// TestRoutesWithoutCallersHaveNoClass guards against public requests that wait for as long as streams would which nobody can request: keys are
// required, and there is no workspace.
func TestRoutesWithoutCallersHaveNoClass(t *testing.T) {
	const ms = time.Millisecond
	target := []Target{{Service: "s", Weight: 1}}
	d := &Declaration{Routes: []Route{
		{Kind: Streaming, Priority: 1, LatencyObjective: 500 * ms, Public: true, Targets: target},
		{Kind: Streaming, Priority: 2, LatencyObjective: 1200 * ms, Targets: target},
	}}
	classes := NewIndex(d).PriorityClasses("s")
	if got, want := classes.WaitObjective(1), 500*ms; got != want {
		t.Errorf("public streams: got a wait objective of %v, want %v", got, want)
	}
	if got, want := classes.Len(), 1; got != want {
		t.Errorf("got %d classes, want %d", got, want)
	}
	d.KeyCheck = KeyIgnored
	if got, want := NewIndex(d).PriorityClasses("s").WaitObjective(1), 1200*ms; got != want {
		t.Errorf("public streams where keys are ignored: got a wait objective of %v, want %v", got, want)
	}
}
