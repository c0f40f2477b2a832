package kwmembership

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
)

func TestLeases(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(Config{EndpointLease: time.Second, EntryLease: 3 * time.Second})
	e := Endpoint{ID: "e", Incarnation: 5, State: Live}
	if err := table.Announce(now, e, false); err != nil {
		t.Fatal(err)
	}
	version := table.Version()
	e.Load = 9
	if err := table.Announce(now, e, false); err != nil || table.Version() != version {
		t.Errorf("got version %d %v, want %d: a new load alone must not raise the version", table.Version(), err, version)
	}
	old := e
	old.Incarnation = 4
	if err := table.Announce(now, old, false); !kwcode.Is(err, kwcode.WrongIncarnation) {
		t.Errorf("got %v, want %d", err, kwcode.WrongIncarnation)
	}
	if lost := table.Expire(now.Add(999 * time.Millisecond)); len(lost) != 0 {
		t.Errorf("got %v lost before the lease expired, want none", lost)
	}
	if lost := table.Expire(now.Add(time.Second)); len(lost) != 1 {
		t.Errorf("got %v, want one lost endpoint", lost)
	}
	if err := table.Announce(now.Add(2*time.Second), e, true); err != nil {
		t.Fatal(err)
	}
	if got, _ := table.Endpoint("e"); got.State != Leaving {
		t.Errorf("got %s, want %s while drained", got.State, Leaving)
	}
	if got := table.Since(version); len(got) != 1 || got[0].Version != table.Version() {
		t.Errorf("got %+v, want only the latest row", got)
	}
}

func TestEntryLease(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(Config{EndpointLease: time.Second, EntryLease: 3 * time.Second})
	table.RenewEntry(now, Entry{ID: "a"})
	table.Expire(now.Add(2 * time.Second))
	if !table.EntryAlive("a") {
		t.Error("the entry is not alive within its lease")
	}
	table.Expire(now.Add(4 * time.Second))
	if table.EntryAlive("a") {
		t.Error("the entry is still alive after its lease expired")
	}
}
