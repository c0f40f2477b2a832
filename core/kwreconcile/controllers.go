package kwreconcile

import (
	"time"

	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwstatemachine"
)

// Board holds the tables; it is owned by the control goroutine.
type Board struct {
	State   *kwstatemachine.Machine
	Members *kwmembership.Table
	// Roster holds the endpoints that announce themselves by heartbeat.
	Roster  *kwmembership.Roster
	Leading bool
	Gather  time.Time
	// Epoch is the term of the present leadership.
	Epoch uint64
	Lost  []kwmembership.Endpoint
	// Silent lists announced endpoints whose lease ran out since the last run.
	Silent []kwmembership.Row
	Stale  []kwstatemachine.Row
	// Doubtful lists unknown rows whose agent is back with its memory.
	Doubtful []kwstatemachine.Row
}

// Controller reads some tables and writes others; it does no I/O.
type Controller interface {
	Run(now time.Time, b *Board)
}

// ExpireMembers marks endpoints whose lease ran out.
type ExpireMembers struct{}

// Run fills the Lost table.
func (ExpireMembers) Run(now time.Time, b *Board) {
	b.Lost = nil
	if b.Leading {
		b.Lost = b.Members.Expire(now)
	}
}

// ExpireRoster marks announced endpoints that have gone silent.
type ExpireRoster struct{}

// Run fills the Silent table.
func (ExpireRoster) Run(now time.Time, b *Board) {
	b.Silent = nil
	if b.Leading && !now.Before(b.Gather) {
		b.Silent = b.Roster.Expire(now)
	}
}

// FindStale looks for open journal rows whose entry cannot end them; Patience covers a call in progress.
type FindStale struct {
	Patience time.Duration
	Grace    time.Duration
}

// FindDoubtful looks for unknown rows that their agent may still know about, once a period.
type FindDoubtful struct {
	Period time.Duration
	next   time.Time
}

// Run fills the Doubtful table.
func (c *FindDoubtful) Run(now time.Time, b *Board) {
	b.Doubtful = nil
	if !b.Leading || now.Before(b.Gather) || now.Before(c.next) {
		return
	}
	c.next = now.Add(c.Period)
	for _, row := range b.State.Doubtful() {
		e, ok := b.Members.Endpoint(row.Grant.Endpoint)
		if ok && e.Incarnation == row.Grant.Incarnation && (e.State == kwmembership.Live || e.State == kwmembership.Leaving) {
			b.Doubtful = append(b.Doubtful, row)
		}
	}
}

// Run fills the Stale table.
func (c FindStale) Run(now time.Time, b *Board) {
	b.Stale = nil
	if !b.Leading || now.Before(b.Gather) {
		return
	}
	for _, row := range b.State.Open() {
		age := now.Sub(time.UnixMilli(row.Claimed))
		orphan := age > c.Grace && !b.Members.EntryAlive(row.Grant.Entry)
		if orphan || age > c.Patience {
			b.Stale = append(b.Stale, row)
		}
	}
}
