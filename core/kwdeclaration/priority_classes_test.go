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
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k"}, Priority: &own}},
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
// required, and no workspace has one.
func TestRoutesWithoutCallersHaveNoClass(t *testing.T) {
	const ms = time.Millisecond
	target := []Target{{Service: "s", Weight: 1}}
	least := 9
	for name, workspaces := range map[string][]Workspace{
		"no workspaces":                               nil,
		"workspaces without keys":                     {{Name: "a"}, {Name: "b", Keys: []string{}, Priority: &least}},
		"workspace with an empty key":                 {{Name: "a", Keys: []string{""}}},
		"workspace with a priority and no usable key": {{Name: "a", Keys: []string{"", ""}, Priority: &least}},
	} {
		d := &Declaration{Workspaces: workspaces, Routes: []Route{
			{Kind: Streaming, Priority: 1, LatencyObjective: 500 * ms, Public: true, Targets: target},
			{Kind: Streaming, Priority: 2, LatencyObjective: 1200 * ms, Targets: target},
		}}
		classes := NewIndex(d).PriorityClasses("s")
		if got, want := classes.WaitObjective(1), 500*ms; got != want {
			t.Errorf("%s, public streams: got a wait objective of %v, want %v", name, got, want)
		}
		if got, want := classes.Len(), 1; got != want {
			t.Errorf("%s: got %d classes, want %d", name, got, want)
		}
	}
	d := &Declaration{KeyCheck: KeyIgnored, Routes: []Route{
		{Kind: Streaming, Priority: 1, LatencyObjective: 500 * ms, Public: true, Targets: target},
		{Kind: Streaming, Priority: 2, LatencyObjective: 1200 * ms, Targets: target},
	}}
	if got, want := NewIndex(d).PriorityClasses("s").WaitObjective(1), 1200*ms; got != want {
		t.Errorf("public streams where keys are ignored: got a wait objective of %v, want %v", got, want)
	}
}

// TestWorkspacesWithoutKeysHaveNoClass guards against a class for the priority of a workspace that lost its last key: the others wait for the
// objective of its route, and share the engines with it.
func TestWorkspacesWithoutKeysHaveNoClass(t *testing.T) {
	urgent, least := 0, 9
	classes := NewIndex(&Declaration{
		Routes: []Route{{Kind: Streaming, Priority: 2, LatencyObjective: time.Second, Targets: []Target{{Service: "s", Weight: 1}}}},
		Workspaces: []Workspace{
			{Name: "a", Keys: []string{"k1"}}, {Name: "b", Keys: []string{"k2"}, Priority: &urgent}, {Name: "c", Keys: []string{""}, Priority: &least},
		},
	}).PriorityClasses("s")
	if got, want := classes.Len(), 2; got != want {
		t.Errorf("got %d classes, want %d", got, want)
	}
	if got := classes.WaitObjective(least); got != 0 {
		t.Errorf("priority of the workspace without keys: got a wait objective of %v, want none", got)
	}
}
