package kwdirectcontrol

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwstatemachine"
)

// TestRecorderPreservesRoster has endpoints join, change and leave. The next leader must know the roster from the
// records, and heartbeats without a change must not be written to the log.
func TestRecorderPreservesRoster(t *testing.T) {
	p := newPlacerHarness(t)
	writes := 0
	r := &recorder{propose: func(c kwstatemachine.Command) {
		writes++
		p.tables.State.Apply(c)
	}}
	record := func() {
		p.now = p.now.Add(recordInterval)
		r.Run(p.now, p.tables)
	}
	p.heartbeat("e1", "x:1", 1, kwid.LayerRange{})
	p.heartbeat("e2", "x:2", 1, kwid.LayerRange{})
	record()
	p.heartbeat("e1", "x:1", 2, kwid.LayerRange{To: 4})
	record()
	if writes != 2 {
		t.Fatalf("got %d writes for two sets of changes, want 2", writes)
	}
	for seq := range uint64(5) {
		p.heartbeat("e1", "x:1", 3+seq, kwid.LayerRange{To: 4})
		record()
	}
	if writes != 2 {
		t.Errorf("got %d writes after heartbeats that change nothing, want 2", writes)
	}
	p.tables.Roster.Deregister(p.now, "e2", 1)
	record()

	successor := kwmembership.NewRoster(kwmembership.RosterConfig{Lease: 4 * time.Second, Retention: time.Minute})
	successor.RestoreLive(p.now, p.tables.State.LiveEndpoints())
	row, ok := successor.Row("e1")
	if _, gone := successor.Row("e2"); !ok || gone || row.State != kwmembership.Live || row.Announcement.Layers.To != 4 {
		t.Errorf("the next leader got %+v, want e1 live with its layers and no e2", row)
	}
	if got := successor.Announce(p.now, row.Announcement); got != kwmembership.Late {
		t.Errorf("the recorded heartbeat: got %q, want %q", got, kwmembership.Late)
	}
	newer := row.Announcement
	newer.Sequence += 100
	if got := successor.Announce(p.now, newer); got != kwmembership.Renewed {
		t.Errorf("the next heartbeat: got %q, want %q", got, kwmembership.Renewed)
	}
	if lost := successor.Expire(p.now.Add(5 * time.Second)); len(lost) != 1 {
		t.Errorf("after the lease expired: got %d lost endpoints, want 1", len(lost))
	}
}
