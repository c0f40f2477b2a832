package kwloadtest

import (
	"testing"
	"time"

	"knapweedproxy/core/kwmaxflow"
)

// Goals of the routing decisions: the share of the bound, and what no baseline may reach of it.
const (
	goalAgainst  = 0.95
	goalBaseline = 0.9
)

func against(t *testing.T, f SimulatedFleet, p kwmaxflow.Policy) float64 {
	t.Helper()
	got, err := RunSimulation(f.Config(p, 1, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return got.BoundShare
}

// TestThroughputAgainstBound requires the goal at today's, a middle and the target size, with load a second old.
func TestThroughputAgainstBound(t *testing.T) {
	for _, f := range SimulatedFleets() {
		if got := against(t, f, kwmaxflow.FlowTwoChoice); got < goalAgainst {
			t.Errorf("%s: got %.3f of the bound, want %.2f", f.Name, got, goalAgainst)
		}
	}
}

// TestBaselinesStayBehind requires that no baseline comes near at the middle size, where entries and kinds are many.
func TestBaselinesStayBehind(t *testing.T) {
	f := SimulatedFleets()[1]
	ours := against(t, f, kwmaxflow.FlowTwoChoice)
	for _, p := range []kwmaxflow.Policy{kwmaxflow.RoundRobin, kwmaxflow.Random, kwmaxflow.LeastOutstanding} {
		if got := against(t, f, p); got > goalBaseline*ours {
			t.Errorf("%s: got %.3f, want at most %.2f of %.3f", p, got, goalBaseline, ours)
		}
	}
}

func TestTrialRepeats(t *testing.T) {
	f := SimulatedFleets()[0]
	if a, b := against(t, f, kwmaxflow.FlowTwoChoice), against(t, f, kwmaxflow.FlowTwoChoice); a != b {
		t.Errorf("got %v and %v, want equal figures", a, b)
	}
}
