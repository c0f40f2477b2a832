package kwstatemachine

import (
	"testing"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// TestLiveEndpointsAreRestored records live endpoints, of which one restarts, one drains and one is lost, and restores
// them from a snapshot.
func TestLiveEndpointsAreRestored(t *testing.T) {
	live := func(id kwid.EndpointID, started kwmembership.StartMillis) kwmembership.Announcement {
		return kwmembership.Announcement{ID: id, StartedMillis: started, Address: string(id)}
	}
	m := New(Config{RetentionMillis: 1000})
	m.Apply(Command{LiveEndpoints: &RecordLiveEndpoints{Live: []kwmembership.Announcement{live("e1", 1), live("e2", 1), live("e3", 1)}}})
	m.Apply(Command{LiveEndpoints: &RecordLiveEndpoints{Live: []kwmembership.Announcement{live("e1", 2)}, Gone: []kwid.EndpointID{"e2"}}})
	m.Apply(Command{Departure: departureOf("e3", 1, kwmembership.Leaving)})
	m.Apply(Command{Departure: departureOf("e1", 1, kwmembership.Gone)})
	restored := restoreCopy(t, m, Config{RetentionMillis: 1000})
	got := restored.LiveEndpoints()
	if len(got) != 1 || got[0] != live("e1", 2) {
		t.Errorf("got %v, want only e1 with its second start time", got)
	}
	if _, ok := restored.LiveEndpoint("e3"); ok {
		t.Error("got a draining endpoint, want none")
	}
}
