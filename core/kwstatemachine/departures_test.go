package kwstatemachine

import (
	"testing"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// departureOf returns a departure record of an endpoint.
func departureOf(id string, started kwmembership.StartMillis, state kwmembership.State) *RecordDeparture {
	return &RecordDeparture{Row: kwmembership.RosterRow{Announcement: kwmembership.Announcement{ID: kwid.EndpointID(id), StartedMillis: started}, State: state}}
}

// TestDeparturesAreRestored records departures out of order, restores them from a snapshot and lets one expire.
func TestDeparturesAreRestored(t *testing.T) {
	m := New(Config{RetentionMillis: 1000})
	m.Apply(Command{TimeMillis: 100, Departure: departureOf("e1", 5, kwmembership.Leaving)})
	m.Apply(Command{TimeMillis: 200, Departure: departureOf("e1", 5, kwmembership.Gone)})
	m.Apply(Command{TimeMillis: 300, Departure: departureOf("e1", 4, kwmembership.Leaving)})
	m.Apply(Command{TimeMillis: 900, Departure: departureOf("e2", 7, kwmembership.Leaving)})
	restored := restoreCopy(t, m, Config{RetentionMillis: 1000})
	rows := restored.DepartingEndpoints()
	if len(rows) != 2 || rows[0].State != kwmembership.Gone || rows[0].Announcement.StartedMillis != 5 {
		t.Fatalf("after a snapshot: got %v, want e1 gone with start time 5, and e2", rows)
	}
	if !restored.DepartureRecorded(rows[0]) || restored.DepartureRecorded(departureOf("e1", 5, kwmembership.Leaving).Row) {
		t.Errorf("e1 is recorded as gone: got %v, %v", restored.DepartureRecorded(rows[0]), restored.DepartureRecorded(departureOf("e1", 5, kwmembership.Leaving).Row))
	}
	restored.Apply(Command{TimeMillis: 1500, Declare: &Declare{Number: 1}})
	if rows := restored.DepartingEndpoints(); len(rows) != 1 || rows[0].Announcement.ID != "e2" {
		t.Errorf("after the retention time: got %v, want e2", rows)
	}
}
