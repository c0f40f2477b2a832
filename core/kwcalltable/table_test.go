package kwcalltable

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwstatemachine"
)

func TestFenceBeforeArrival(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(time.Minute)
	id := AttemptID{Attempt: 1}
	if got, _ := table.Fence(now, id, 0); got != Fenced {
		t.Errorf("got %s, want %s", got, Fenced)
	}
	if _, err := table.Begin(now, id); !kwcode.Is(err, kwcode.AttemptFenced) {
		t.Errorf("got %v, want %d", err, kwcode.AttemptFenced)
	}
}

func TestRunsOnceAndKeepsOutcome(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(time.Minute)
	id := AttemptID{Attempt: 1}
	if fresh, err := table.Begin(now, id); !fresh || err != nil {
		t.Fatalf("got %t %v, want the attempt to be new", fresh, err)
	}
	if fresh, err := table.Begin(now, id); fresh || err != nil {
		t.Errorf("got %t %v, want the attempt to be known", fresh, err)
	}
	if got, _ := table.Fence(now, id, 0); got != Running {
		t.Errorf("got %s, want %s", got, Running)
	}
	table.Complete(now, id, kwstatemachine.Response{Status: 201})
	if got, response := table.Fence(now, id, 0); got != Done || response.Status != 201 {
		t.Errorf("got %s %d, want %s 201", got, response.Status, Done)
	}
	other := AttemptID{Attempt: 2}
	if _, err := table.Begin(now.Add(3*time.Minute), other); err != nil {
		t.Fatal(err)
	}
	if got, _ := table.Lookup(id); got != Absent {
		t.Errorf("got %s after the retention time, want %s", got, Absent)
	}
	if table.RunningCount() != 1 {
		t.Errorf("got %d running, want 1: running calls never expire", table.RunningCount())
	}
}

// TestExpiredRecordIsNoProof lets the record of a call that ran expire: a late Fence must not report that the call
// never ran.
func TestExpiredRecordIsNoProof(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(time.Minute)
	id := AttemptID{Attempt: 1}
	if _, err := table.Begin(now, id); err != nil {
		t.Fatal(err)
	}
	table.Complete(now, id, kwstatemachine.Response{Status: 200})
	later := now.Add(5 * time.Minute)
	if got, _ := table.Fence(later, id, 5*time.Minute); got != Absent {
		t.Errorf("got %s for a call that ran, want %s", got, Absent)
	}
	if got, _ := table.Fence(later, AttemptID{Attempt: 2}, time.Second); got != Fenced {
		t.Errorf("got %s for a recent grant that never arrived, want %s", got, Fenced)
	}
}
