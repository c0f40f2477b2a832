package kwcalltable

import (
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
)

// AttemptID names one attempt of one idempotency key.
type AttemptID struct {
	Scope   kwstatemachine.Scope
	Attempt kwid.Attempt
}

// State is what the agent knows about an attempt.
type State string

const (
	// Absent means that nothing is known of the attempt.
	Absent State = "absent"
	// Running means that the call is at the service.
	Running State = "running"
	// Done means that the response is kept.
	Done State = "done"
	// Fenced means that the attempt has not run and never will.
	Fenced State = "fenced"
	// Lost means that the call may have run and its response will not come.
	Lost State = "lost"
)

type entry struct {
	state    State
	response kwstatemachine.Response
	expires  time.Time
}

// vouchShare is the part of the keeping time for which the table vouches that an unknown attempt has not run; the rest
// covers clocks that differ.
const vouchShare = 2

// Table is the agent's record; it is owned by one lock holder.
type Table struct {
	keep    time.Duration
	entries map[AttemptID]*entry
	sweep   time.Time
}

// New returns an empty table that keeps ended attempts for the given time.
func New(keep time.Duration) *Table {
	return &Table{keep: keep, entries: make(map[AttemptID]*entry)}
}

// Begin admits an attempt; false means that it arrived before and must not run again.
func (t *Table) Begin(now time.Time, id AttemptID) (bool, error) {
	t.expire(now)
	e, ok := t.entries[id]
	if !ok {
		t.entries[id] = &entry{state: Running}
		return true, nil
	}
	if e.state == Fenced {
		return false, kwcode.New(kwcode.AttemptFenced, "attempt %d of key %q is fenced", id.Attempt, id.Scope.Key)
	}
	return false, nil
}

// Complete records the response of a running attempt.
func (t *Table) Complete(now time.Time, id AttemptID, response kwstatemachine.Response) {
	t.entries[id] = &entry{state: Done, response: response, expires: now.Add(t.keep)}
}

// MarkNotRun records that a running attempt never reached the service.
func (t *Table) MarkNotRun(now time.Time, id AttemptID) {
	t.entries[id] = &entry{state: Fenced, expires: now.Add(t.keep)}
}

// MarkLost records that a running attempt may have run and will give no response.
func (t *Table) MarkLost(now time.Time, id AttemptID) {
	t.entries[id] = &entry{state: Lost, expires: now.Add(t.keep)}
}

// Fence bars an attempt that has not arrived and returns what is known of it. An attempt that was granted so long
// ago that its record may have expired is Absent: the table cannot vouch that it has not run.
func (t *Table) Fence(now time.Time, id AttemptID, age time.Duration) (State, kwstatemachine.Response) {
	t.expire(now)
	e, ok := t.entries[id]
	if !ok && age > t.keep/vouchShare {
		return Absent, kwstatemachine.Response{}
	}
	if !ok {
		t.entries[id] = &entry{state: Fenced, expires: now.Add(t.keep)}
		return Fenced, kwstatemachine.Response{}
	}
	return e.state, e.response
}

// Lookup returns what is known of an attempt without changing it.
func (t *Table) Lookup(id AttemptID) (State, kwstatemachine.Response) {
	e, ok := t.entries[id]
	if !ok {
		return Absent, kwstatemachine.Response{}
	}
	return e.state, e.response
}

// RunningCount returns how many attempts are running.
func (t *Table) RunningCount() int {
	n := 0
	for _, e := range t.entries {
		if e.state == Running {
			n++
		}
	}
	return n
}

// sweepPeriod is the least time between two sweeps of ended attempts.
const sweepPeriod = time.Minute

func (t *Table) expire(now time.Time) {
	if now.Before(t.sweep) {
		return
	}
	t.sweep = now.Add(sweepPeriod)
	for id, e := range t.entries {
		if e.state != Running && now.After(e.expires) {
			delete(t.entries, id)
		}
	}
}
