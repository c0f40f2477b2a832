package kwloadtest

import (
	"testing"
	"time"

	"knapweedproxy/core/kwmaxflow"
)

// Goals of the routing policy: minBoundShare is the least throughput as a fraction of the bound, maxBaselineShare the
// most that a baseline may reach as a fraction of the throughput of the policy.
const (
	minBoundShare    = 0.95
	maxBaselineShare = 0.9
)

// boundShare returns the throughput of a policy as a fraction of the bound.
func boundShare(t *testing.T, f SimulatedFleet, p kwmaxflow.Policy) float64 {
	t.Helper()
	got, err := RunSimulation(f.Config(p, 1, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return got.BoundShare
}

// TestThroughputAgainstBound checks that the routing policy reaches minBoundShare at every fleet size, with load
// reports every second.
func TestThroughputAgainstBound(t *testing.T) {
	for _, f := range SimulatedFleets() {
		if got := boundShare(t, f, kwmaxflow.FlowTwoChoice); got < minBoundShare {
			t.Errorf("%s: got %.3f of the bound, want %.2f", f.Name, got, minBoundShare)
		}
	}
}

// TestBaselinesStayBehind checks that every baseline stays below maxBaselineShare of the policy at the middle size,
// which has many entries and kinds of servers.
func TestBaselinesStayBehind(t *testing.T) {
	f := SimulatedFleets()[1]
	ours := boundShare(t, f, kwmaxflow.FlowTwoChoice)
	for _, p := range []kwmaxflow.Policy{kwmaxflow.RoundRobin, kwmaxflow.Random, kwmaxflow.LeastOutstanding} {
		if got := boundShare(t, f, p); got > maxBaselineShare*ours {
			t.Errorf("%s: got %.3f, want at most %.2f of %.3f", p, got, maxBaselineShare, ours)
		}
	}
}

// TestSimulationIsDeterministic checks that equal configurations give equal results.
func TestSimulationIsDeterministic(t *testing.T) {
	f := SimulatedFleets()[0]
	if a, b := boundShare(t, f, kwmaxflow.FlowTwoChoice), boundShare(t, f, kwmaxflow.FlowTwoChoice); a != b {
		t.Errorf("got %v and %v, want equal results", a, b)
	}
}
