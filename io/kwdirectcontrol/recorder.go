package kwdirectcontrol

import (
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
)

// recordPeriod bounds how often endpoints are recorded: a release changes several within a second.
const recordPeriod = 300 * time.Millisecond

// recorder is the controller that records live endpoints in the replicated log while this process leads. Heartbeats are
// confirmed without it: it only spares the next leader the wait for them.
type recorder struct {
	// propose hands a command to the log, without waiting for it.
	propose func(kwstatemachine.Command)
	epoch   uint64
	version uint64
	next    time.Time
}

// Run records what has changed since the last look.
func (r *recorder) Run(now time.Time, b *kwreconcile.Tables) {
	if !b.Leading || now.Before(b.GatherUntil) || now.Before(r.next) {
		return
	}
	r.next = now.Add(recordPeriod)
	if r.epoch != b.Epoch {
		r.epoch, r.version = b.Epoch, 0
	}
	if b.Roster.Version() == r.version {
		return
	}
	// What a lost command held differs from the state at a later change of the roster, and is recorded then.
	r.version = b.Roster.Version()
	if c := changes(b); len(c.Live)+len(c.Gone) > 0 {
		r.propose(kwstatemachine.Command{LiveEndpoints: &c})
	}
}

// changes compares the roster with what is recorded.
func changes(b *kwreconcile.Tables) kwstatemachine.RecordLiveEndpoints {
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
