package kwdirectcontrol

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwstatemachine"
)

// TestRecorderKeepsTheRoster lets endpoints join, change and leave: the next leader knows what the last one did, and
// heartbeats alone write nothing.
func TestRecorderKeepsTheRoster(t *testing.T) {
	p := newPlacing(t)
	writes := 0
	r := &recorder{propose: func(c kwstatemachine.Command) {
		writes++
		p.board.State.Apply(c)
	}}
	look := func() {
		p.now = p.now.Add(recordPeriod)
		r.Run(p.now, p.board)
	}
	p.beat("e1", "x:1", 1, kwid.LayerRange{})
	p.beat("e2", "x:2", 1, kwid.LayerRange{})
	look()
	p.beat("e1", "x:1", 2, kwid.LayerRange{To: 4})
	look()
	if writes != 2 {
		t.Fatalf("got %d writes for two rounds of changes, want 2", writes)
	}
	for seq := range uint64(5) {
		p.beat("e1", "x:1", 3+seq, kwid.LayerRange{To: 4})
		look()
	}
	if writes != 2 {
		t.Errorf("got %d writes after heartbeats that change nothing, want 2", writes)
	}
	p.board.Roster.Deregister(p.now, "e2", 1)
	look()

	next := kwmembership.NewRoster(kwmembership.RosterConfig{Lease: 4 * time.Second, Retention: time.Minute})
	next.RestoreLive(p.now, p.board.State.LiveEndpoints())
	row, ok := next.Row("e1")
	if _, gone := next.Row("e2"); !ok || gone || row.State != kwmembership.Live || row.Announcement.Layers.To != 4 {
		t.Errorf("the next leader got %+v, want e1 live with its layers and no e2", row)
	}
	if got := next.Announce(p.now, row.Announcement); got != kwmembership.Late {
		t.Errorf("the heartbeat that was recorded: got %q, want %q", got, kwmembership.Late)
	}
	newer := row.Announcement
	newer.Sequence += 100
	if got := next.Announce(p.now, newer); got != kwmembership.Renewed {
		t.Errorf("the next heartbeat: got %q, want %q", got, kwmembership.Renewed)
	}
	if lost := next.Expire(p.now.Add(5 * time.Second)); len(lost) != 1 {
		t.Errorf("after a lease without a heartbeat: got %d lost, want 1", len(lost))
	}
}
