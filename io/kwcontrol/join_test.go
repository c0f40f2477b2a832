package kwcontrol

import (
	"testing"

	"knapweedproxy/core/kwid"
)

// TestVotersStaySpread requires that the loss of one availability zone leaves a quorum.
func TestVotersStaySpread(t *testing.T) {
	zones := map[kwid.NodeID]kwid.AvailabilityZone{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c", "x": ""}
	tests := []struct {
		voters []kwid.NodeID
		want   bool
	}{
		{[]kwid.NodeID{"a1", "a2"}, true},
		{[]kwid.NodeID{"a1", "b1", "c1"}, true},
		{[]kwid.NodeID{"a1", "a2", "b1"}, false},
		{[]kwid.NodeID{"a1", "a2", "b1", "b2", "c1"}, true},
		{[]kwid.NodeID{"a1", "a2", "b1", "c1"}, true},
		{[]kwid.NodeID{"a1", "a2", "a3", "b1", "c1"}, false},
		{[]kwid.NodeID{"a1", "x", "x"}, true},
	}
	for _, tt := range tests {
		got := spread(tt.voters, func(id kwid.NodeID) kwid.AvailabilityZone { return zones[id] })
		if got != tt.want {
			t.Errorf("%v: got %t, want %t", tt.voters, got, tt.want)
		}
	}
}
