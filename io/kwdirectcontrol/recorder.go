package kwdirectcontrol

import (
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
)

// recordInterval is the shortest interval between records; a rolling release changes several endpoints within a second.
const recordInterval = 300 * time.Millisecond

// recorder is the controller that records live endpoints in the replicated log while this process leads. Heartbeats are
// confirmed without being recorded; the records only save the next leader from waiting for them.
type recorder struct {
	// propose submits a command to the replicated log and does not wait for its commit.
	propose func(kwstatemachine.Command)
	epoch   uint64
	version uint64
	nextRun time.Time
}

// Run records the endpoints that have changed since the last record.
func (r *recorder) Run(now time.Time, b *kwreconcile.Tables) {
	if !b.Leading || now.Before(b.GatherUntil) || now.Before(r.nextRun) {
		return
	}
	r.nextRun = now.Add(recordInterval)
	if r.epoch != b.Epoch {
		r.epoch, r.version = b.Epoch, 0
	}
	if b.Roster.Version() == r.version {
		return
	}
	// If the command is lost, the next change of the roster records its content too.
	r.version = b.Roster.Version()
	if c := unrecordedChanges(b); len(c.Live)+len(c.Gone) > 0 {
		r.propose(kwstatemachine.Command{LiveEndpoints: &c})
	}
}

// unrecordedChanges returns the differences between the roster and the recorded endpoints.
func unrecordedChanges(b *kwreconcile.Tables) kwstatemachine.RecordLiveEndpoints {
	var out kwstatemachine.RecordLiveEndpoints
	live := make(map[kwid.EndpointID]bool)
	for _, row := range b.Roster.Since(0) {
		a := row.Announcement
		if row.State != kwmembership.Live {
			continue
		}
		live[a.ID] = true
		if old, ok := b.State.LiveEndpoint(a.ID); !ok || !old.EqualExceptSequence(a) {
			out.Live = append(out.Live, a)
		}
	}
	for _, a := range b.State.LiveEndpoints() {
		if !live[a.ID] {
			out.Gone = append(out.Gone, a.ID)
		}
	}
	return out
}
