package kwdiscovery_test

import (
	"testing"
	"time"

	"knapweedproxy/core/kwdiscovery"
)

// TestSeedsAreTriedBesideMembers guards against a process that was cut off while all members that it knows were replaced.
func TestSeedsAreTriedBesideMembers(t *testing.T) {
	f, now := kwdiscovery.NewFinder([]string{"x"}), time.Unix(1000, 0)
	f.SetMembers([]string{"a", "b"})
	for range 3 {
		address, _ := f.Next(now)
		if address == "x" {
			return
		}
		f.Failed(now, kwdiscovery.Failure{Address: address, Elapsed: time.Second, Unreachable: true})
		now = now.Add(time.Second)
	}
	t.Error("members that are gone: got no call to the seed, want one")
}

// TestHintsInACircleAreLeft guards against processes that know nothing new and name each other: calls would go between them for good.
func TestHintsInACircleAreLeft(t *testing.T) {
	f, now := kwdiscovery.NewFinder([]string{"a", "b", "c"}), time.Unix(1000, 0)
	other := map[string]string{"a": "b", "b": "a"}
	for range 20 {
		address, _ := f.Next(now)
		if address == "c" {
			return
		}
		f.Failed(now, kwdiscovery.Failure{Address: address, Suggested: other[address]})
	}
	t.Error("two processes that name each other: got no call to the third, want one")
}

// TestCallsAtOnceGoToTheLeader guards against a hint that is forgotten since many calls follow it before the first of them has ended.
func TestCallsAtOnceGoToTheLeader(t *testing.T) {
	f, now := kwdiscovery.NewFinder([]string{"a", "b"}), time.Unix(1000, 0)
	f.SetHint("leader")
	for i := range 10 {
		if got, _ := f.Next(now); got != "leader" {
			t.Fatalf("call %d at once: got %s, want the leader", i+1, got)
		}
	}
}
