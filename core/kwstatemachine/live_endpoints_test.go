package kwstatemachine

import (
	"testing"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// TestSeenIsKept records live endpoints, one of which starts anew, one drains and one is lost, through a snapshot.
func TestSeenIsKept(t *testing.T) {
	live := func(id kwid.EndpointID, born kwmembership.StartMillis) kwmembership.Announcement {
		return kwmembership.Announcement{ID: id, StartedMillis: born, Address: string(id)}
	}
	m := New(Config{RetentionMillis: 1000})
	m.Apply(Command{LiveEndpoints: &RecordLiveEndpoints{Live: []kwmembership.Announcement{live("e1", 1), live("e2", 1), live("e3", 1)}}})
	m.Apply(Command{LiveEndpoints: &RecordLiveEndpoints{Live: []kwmembership.Announcement{live("e1", 2)}, Gone: []kwid.EndpointID{"e2"}}})
	m.Apply(Command{Departure: leaveRow("e3", 1, kwmembership.Leaving)})
	m.Apply(Command{Departure: leaveRow("e1", 1, kwmembership.Gone)})
	restored := reopen(t, m, Config{RetentionMillis: 1000})
	got := restored.LiveEndpoints()
	if len(got) != 1 || got[0] != live("e1", 2) {
		t.Errorf("got %v, want e1 in its second life alone", got)
	}
	if _, ok := restored.LiveEndpoint("e3"); ok {
		t.Error("got an endpoint that drains, want none")
	}
}
