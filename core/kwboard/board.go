package kwboard

import (
	"time"

	"knapweedproxy/core/kwmember"
	"knapweedproxy/core/kwstate"
)

// Board holds the tables; it is owned by the control goroutine.
type Board struct {
	State   *kwstate.Machine
	Members *kwmember.Table
	Leading bool
	Gather  time.Time
	Lost    []kwmember.Endpoint
	Stale   []kwstate.Row
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

// FindStale looks for open journal rows whose entry cannot end them; Patience covers a call in progress.
type FindStale struct {
	Patience time.Duration
	Grace    time.Duration
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
