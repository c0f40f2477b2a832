package kwreconcile

import (
	"time"

	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwstatemachine"
)

// Tables is the state that controllers read and write. It is not safe for concurrent use: the control goroutine owns
// it.
type Tables struct {
	State *kwstatemachine.Machine
	// Membership holds the endpoints that agents announce, and the entries.
	Membership *kwmembership.Table
	// Roster holds the endpoints that announce themselves by heartbeat.
	Roster *kwmembership.Roster
	// Leading means that this control process is the leader.
	Leading bool
	// GatherUntil is when a new leader stops collecting announcements. Controllers that act on missing announcements
	// wait until then.
	GatherUntil time.Time
	// Epoch is the Raft term of the current leader.
	Epoch uint64
	// LostEndpoints lists the endpoints whose lease expired in the last run.
	LostEndpoints []kwmembership.Endpoint
	// LostAnnounced lists the announced endpoints whose lease expired in the last run.
	LostAnnounced []kwmembership.RosterRow
	// StaleClaims lists the open journal rows that their entry will not end.
	StaleClaims []kwstatemachine.JournalRow
	// UnknownOutcomes lists the rows with an unknown outcome whose agent is reachable and has not restarted since.
	UnknownOutcomes []kwstatemachine.JournalRow
}

// Controller reads some tables and writes others. It does no I/O.
type Controller interface {
	Run(now time.Time, t *Tables)
}

// EndpointExpirer marks endpoints whose lease has expired as lost.
type EndpointExpirer struct{}

// Run fills LostEndpoints.
func (EndpointExpirer) Run(now time.Time, t *Tables) {
	t.LostEndpoints = nil
	if t.Leading {
		t.LostEndpoints = t.Membership.Expire(now)
	}
}

// RosterExpirer marks announced endpoints whose lease has expired as lost.
type RosterExpirer struct{}

// Run fills LostAnnounced.
func (RosterExpirer) Run(now time.Time, t *Tables) {
	t.LostAnnounced = nil
	if t.Leading && !now.Before(t.GatherUntil) {
		t.LostAnnounced = t.Roster.Expire(now)
	}
}

// StaleClaimFinder finds open journal rows that their entry will not end: those older than MaxCallAge, which leaves
// time for a call in progress, and those older than EntryGrace whose entry has lost its lease.
type StaleClaimFinder struct {
	MaxCallAge time.Duration
	EntryGrace time.Duration
}

// UnknownOutcomeFinder finds, once a period, rows with an unknown outcome that their agent may still be able to
// resolve.
type UnknownOutcomeFinder struct {
	Period time.Duration
	next   time.Time
}

// Run fills UnknownOutcomes.
func (c *UnknownOutcomeFinder) Run(now time.Time, t *Tables) {
	t.UnknownOutcomes = nil
	if !t.Leading || now.Before(t.GatherUntil) || now.Before(c.next) {
		return
	}
	c.next = now.Add(c.Period)
	for _, row := range t.State.UnknownRows() {
		e, ok := t.Membership.Endpoint(row.Grant.Endpoint)
		if ok && e.Incarnation == row.Grant.Incarnation && (e.State == kwmembership.Live || e.State == kwmembership.Leaving) {
			t.UnknownOutcomes = append(t.UnknownOutcomes, row)
		}
	}
}

// Run fills StaleClaims.
func (c StaleClaimFinder) Run(now time.Time, t *Tables) {
	t.StaleClaims = nil
	if !t.Leading || now.Before(t.GatherUntil) {
		return
	}
	for _, row := range t.State.OpenRows() {
		age := now.Sub(time.UnixMilli(row.ClaimedMillis))
		entryLost := age > c.EntryGrace && !t.Membership.EntryAlive(row.Grant.Entry)
		if entryLost || age > c.MaxCallAge {
			t.StaleClaims = append(t.StaleClaims, row)
		}
	}
}
