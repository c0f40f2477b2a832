package kwstatemachine

import (
	"testing"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

func leaveRow(id string, born kwmembership.BirthMillis, state kwmembership.State) *Leave {
	return &Leave{Row: kwmembership.Row{Announcement: kwmembership.Announcement{ID: kwid.EndpointID(id), Born: born}, State: state}}
}

func TestLeavingIsKept(t *testing.T) {
	m := New(Config{KeepMillis: 1000})
	m.Apply(Command{Time: 100, Leave: leaveRow("e1", 5, kwmembership.Leaving)})
	m.Apply(Command{Time: 200, Leave: leaveRow("e1", 5, kwmembership.Gone)})
	m.Apply(Command{Time: 300, Leave: leaveRow("e1", 4, kwmembership.Leaving)})
	m.Apply(Command{Time: 900, Leave: leaveRow("e2", 7, kwmembership.Leaving)})
	restored := reopen(t, m, Config{KeepMillis: 1000})
	rows := restored.Leaving()
	if len(rows) != 2 || rows[0].State != kwmembership.Gone || rows[0].Announcement.Born != 5 {
		t.Fatalf("after a snapshot: got %v, want e1 gone in life 5 and e2", rows)
	}
	if !restored.HasLeft(rows[0]) || restored.HasLeft(leaveRow("e1", 5, kwmembership.Leaving).Row) {
		t.Errorf("e1 is recorded as gone: got %v, %v", restored.HasLeft(rows[0]), restored.HasLeft(leaveRow("e1", 5, kwmembership.Leaving).Row))
	}
	restored.Apply(Command{Time: 1500, Declare: &Declare{Number: 1}})
	if rows := restored.Leaving(); len(rows) != 1 || rows[0].Announcement.ID != "e2" {
		t.Errorf("after the time to keep: got %v, want e2", rows)
	}
}
