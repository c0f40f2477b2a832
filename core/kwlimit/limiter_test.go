package kwlimit

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
)

func TestSplitSumsToLimit(t *testing.T) {
	for _, entries := range []int{1, 3, 7} {
		total := 0
		for i := range entries {
			total += Split(20, entries, i)
		}
		if total != 20 {
			t.Errorf("%d entries: got %d, want 20", entries, total)
		}
	}
	if got := Split(2, 5, 4); got != 1 {
		t.Errorf("got %d, want at least 1", got)
	}
}

func TestAcquireEnforcesLimits(t *testing.T) {
	l := New(Config{MaxInFlight: 3})
	l.SetShares([]Share{{Workspace: "a", MaxInFlight: 2}, {Workspace: "b", MaxInFlight: 2}})
	release, err := l.Acquire("a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Acquire("a"); err != nil {
		t.Fatal(err)
	}
	_, err = l.Acquire("a")
	if !kwcode.Is(err, kwcode.WorkspaceLimit) || kwcode.FromError(err).RetryAfter <= 0 {
		t.Errorf("got %v, want %d with a Retry-After time", err, kwcode.WorkspaceLimit)
	}
	if _, err := l.Acquire("b"); err != nil {
		t.Errorf("got %v, want the request of another workspace admitted", err)
	}
	if _, err := l.Acquire("b"); !kwcode.Is(err, kwcode.EntryOverloaded) {
		t.Errorf("got %v, want %d", err, kwcode.EntryOverloaded)
	}
	if _, err := l.Acquire("nobody"); !kwcode.Is(err, kwcode.WorkspaceLimit) {
		t.Errorf("got %v, want %d", err, kwcode.WorkspaceLimit)
	}
	release(10 * time.Second)
	release(10 * time.Second)
	if got := l.InFlight(); got != 2 {
		t.Errorf("got %d in flight after a double release, want 2", got)
	}
}

// TestRequestsOutliveTheirShare lowers and removes the share of a workspace while a request is in flight. The request stays counted
// until it ends, and later ones are rejected.
func TestRequestsOutliveTheirShare(t *testing.T) {
	for _, shares := range [][]Share{{{Workspace: "a", MaxInFlight: 1}}, nil} {
		l := New(Config{MaxInFlight: 10})
		l.SetShares([]Share{{Workspace: "a", MaxInFlight: 5}})
		release, err := l.Acquire("a")
		if err != nil {
			t.Fatal(err)
		}
		l.SetShares(shares)
		if _, err := l.Acquire("a"); !kwcode.Is(err, kwcode.WorkspaceLimit) {
			t.Errorf("shares %v: got %v for the next request, want %d", shares, err, kwcode.WorkspaceLimit)
		}
		if got := l.InFlight(); got != 1 {
			t.Errorf("shares %v: got %d in flight, want 1", shares, got)
		}
		release(time.Second)
		if got := l.InFlight(); got != 0 {
			t.Errorf("shares %v: got %d in flight after the release, want 0", shares, got)
		}
	}
}
