package kwcalltable

import (
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
)

// AttemptID identifies one attempt for one idempotency key.
type AttemptID struct {
	Scope   kwstatemachine.Scope
	Attempt kwid.Attempt
}

// State is the agent's knowledge of an attempt.
type State string

const (
	// Absent means that the table has no record of the attempt.
	Absent State = "absent"
	// Running means that the call has been sent to the service.
	Running State = "running"
	// Done means that the response is recorded.
	Done State = "done"
	// Fenced means that the attempt has not run and never will.
	Fenced State = "fenced"
	// Lost means that the call may have run but its response will never arrive.
	Lost State = "lost"
)

// record is what is kept of one attempt.
type record struct {
	state    State
	response kwstatemachine.Response
	expires  time.Time
}

// notRunProofDivisor sets the age up to which a missing record proves that an attempt has not run: the retention time
// divided by it. The rest of the retention time covers clock differences.
const notRunProofDivisor = 2

// Table records the attempts of an agent. It is not safe for concurrent use; callers must hold a lock.
type Table struct {
	retention time.Duration
	records   map[AttemptID]*record
	nextSweep time.Time
}

// New returns an empty table that keeps ended attempts for the retention time.
func New(retention time.Duration) *Table {
	return &Table{retention: retention, records: make(map[AttemptID]*record)}
}

// Begin records an attempt as running. It returns false if the attempt has arrived before and must not run again, and
// AttemptFenced if it is fenced.
func (t *Table) Begin(now time.Time, id AttemptID) (bool, error) {
	t.expire(now)
	e, ok := t.records[id]
	if !ok {
		t.records[id] = &record{state: Running}
		return true, nil
	}
	if e.state == Fenced {
		return false, kwcode.New(kwcode.AttemptFenced, "attempt %d of key %q is fenced", id.Attempt, id.Scope.Key)
	}
	return false, nil
}

// Complete records the response of a running attempt.
func (t *Table) Complete(now time.Time, id AttemptID, response kwstatemachine.Response) {
	t.records[id] = &record{state: Done, response: response, expires: now.Add(t.retention)}
}

// MarkNotRun fences a running attempt that never reached the service.
func (t *Table) MarkNotRun(now time.Time, id AttemptID) {
	t.records[id] = &record{state: Fenced, expires: now.Add(t.retention)}
}

// MarkLost records that a running attempt may have run but will not return a response.
func (t *Table) MarkLost(now time.Time, id AttemptID) {
	t.records[id] = &record{state: Lost, expires: now.Add(t.retention)}
}

// Fence prevents an attempt that has not arrived yet from running, and returns the state of the attempt. For an
// attempt without a record that was granted too long ago it returns Absent: the record may have expired, so its
// absence does not prove that the attempt has not run.
func (t *Table) Fence(now time.Time, id AttemptID, age time.Duration) (State, kwstatemachine.Response) {
	t.expire(now)
	e, ok := t.records[id]
	if !ok && age > t.retention/notRunProofDivisor {
		return Absent, kwstatemachine.Response{}
	}
	if !ok {
		t.records[id] = &record{state: Fenced, expires: now.Add(t.retention)}
		return Fenced, kwstatemachine.Response{}
	}
	return e.state, e.response
}

// Lookup returns the state of an attempt without changing it.
func (t *Table) Lookup(id AttemptID) (State, kwstatemachine.Response) {
	e, ok := t.records[id]
	if !ok {
		return Absent, kwstatemachine.Response{}
	}
	return e.state, e.response
}

// RunningCount returns the number of running attempts.
func (t *Table) RunningCount() int {
	n := 0
	for _, e := range t.records {
		if e.state == Running {
			n++
		}
	}
	return n
}

// sweepPeriod is the minimum time between two sweeps of expired records.
const sweepPeriod = time.Minute

func (t *Table) expire(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepPeriod)
	for id, e := range t.records {
		if e.state != Running && now.After(e.expires) {
			delete(t.records, id)
		}
	}
}
