package kwreconcile

import (
	"time"

	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwstatemachine"
)

// Tables holds the tables; it is owned by the control goroutine.
type Tables struct {
	State   *kwstatemachine.Machine
	Members *kwmembership.Table
	// Roster holds the endpoints that announce themselves by heartbeat.
	Roster      *kwmembership.Roster
	Leading     bool
	GatherUntil time.Time
	// Epoch is the term of the present leadership.
	Epoch         uint64
	LostEndpoints []kwmembership.Endpoint
	// LostAnnounced lists announced endpoints whose lease ran out since the last run.
	LostAnnounced []kwmembership.RosterRow
	StaleClaims   []kwstatemachine.JournalRow
	// UnknownOutcomes lists unknown rows whose agent is back with its memory.
	UnknownOutcomes []kwstatemachine.JournalRow
}

// Controller reads some tables and writes others; it does no I/O.
type Controller interface {
	Run(now time.Time, b *Tables)
}

// EndpointExpirer marks endpoints whose lease ran out.
type EndpointExpirer struct{}

// Run fills the Lost table.
func (EndpointExpirer) Run(now time.Time, b *Tables) {
	b.LostEndpoints = nil
	if b.Leading {
		b.LostEndpoints = b.Members.Expire(now)
	}
}

// RosterExpirer marks announced endpoints that have gone silent.
type RosterExpirer struct{}

// Run fills the Silent table.
func (RosterExpirer) Run(now time.Time, b *Tables) {
	b.LostAnnounced = nil
	if b.Leading && !now.Before(b.GatherUntil) {
		b.LostAnnounced = b.Roster.Expire(now)
	}
}

// StaleClaimFinder looks for open journal rows whose entry cannot end them; Patience covers a call in progress.
type StaleClaimFinder struct {
	MaxCallAge time.Duration
	EntryGrace time.Duration
}

// UnknownOutcomeFinder looks for unknown rows that their agent may still know about, once a period.
type UnknownOutcomeFinder struct {
	Period time.Duration
	next   time.Time
}

// Run fills the Doubtful table.
func (c *UnknownOutcomeFinder) Run(now time.Time, b *Tables) {
	b.UnknownOutcomes = nil
	if !b.Leading || now.Before(b.GatherUntil) || now.Before(c.next) {
		return
	}
	c.next = now.Add(c.Period)
	for _, row := range b.State.UnknownRows() {
		e, ok := b.Members.Endpoint(row.Grant.Endpoint)
		if ok && e.Incarnation == row.Grant.Incarnation && (e.State == kwmembership.Live || e.State == kwmembership.Leaving) {
			b.UnknownOutcomes = append(b.UnknownOutcomes, row)
		}
	}
}

// Run fills the Stale table.
func (c StaleClaimFinder) Run(now time.Time, b *Tables) {
	b.StaleClaims = nil
	if !b.Leading || now.Before(b.GatherUntil) {
		return
	}
	for _, row := range b.State.OpenRows() {
		age := now.Sub(time.UnixMilli(row.ClaimedMillis))
		orphan := age > c.EntryGrace && !b.Members.EntryAlive(row.Grant.Entry)
		if orphan || age > c.MaxCallAge {
			b.StaleClaims = append(b.StaleClaims, row)
		}
	}
}
