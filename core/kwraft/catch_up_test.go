package kwraft_test

import (
	"fmt"
	"testing"
	"time"
)

// TestMemberCatchesUpWithManyLargeEntries guards against a member that never catches up: the entries that it lacks do not fit into one
// message.
func TestMemberCatchesUpWithManyLargeEntries(t *testing.T) {
	for _, c := range []struct {
		changes, size, down int
		mbits               float64
	}{
		{130, 400_000, 1, 1000}, {130, 400_000, 1, 20}, {130, 400_000, 1, 1}, {20, 4_000_000, 1, 1000}, {3, 16_000_000, 1, 20}, {5000, 20_000, 1, 100},
	} {
		t.Run(fmt.Sprintf("%d changes of %d bytes at %v Mbit/s", c.changes, c.size, c.mbits), func(t *testing.T) {
			// The changes are made over fast links.
			k := newLinkedCluster(t, 1000*megabit)
			leader, behind := k.leader(), k.followers()[0]
			behind.node = nil
			for range c.changes {
				k.propose(c.size)
				k.run(20*time.Millisecond + time.Duration(float64(c.size)/k.bytesPerSecond*float64(time.Second)))
			}
			k.bytesPerSecond = c.mbits * megabit
			k.largest, k.sent = 0, 0
			missing := c.changes * c.size
			k.start(behind)
			k.run(3*time.Second + time.Duration(1.5*float64(missing)/k.bytesPerSecond*float64(time.Second)))
			if got, want := lastIndex(behind), lastIndex(leader); got < want {
				t.Errorf("got a member at index %d, want %d", got, want)
			}
			if want := max(2<<20, c.size+bulkBytes); k.largest > want {
				t.Errorf("got a message of %d bytes, want at most %d", k.largest, want)
			}
			if want := missing*11/10 + 4<<20; k.sent > want {
				t.Errorf("sent %d bytes for %d that were missing, want at most %d", k.sent, missing, want)
			}
			if len(k.ledBy) != 1 {
				t.Errorf("got leaders %v, want one", k.ledBy)
			}
		})
	}
}

// TestLeaderOutlivesLargeEntriesOnSlowLinks guards against a change of leader while both other members receive a change for longer than
// an election timeout.
func TestLeaderOutlivesLargeEntriesOnSlowLinks(t *testing.T) {
	k := newLinkedCluster(t, 1*megabit)
	leader := k.leader()
	k.propose(400_000)
	k.run(10 * time.Second)
	for _, m := range k.members {
		if got, want := m.node.Status().CommitIndex, lastIndex(leader); got != want {
			t.Errorf("%s: got commit index %d, want %d", m.id, got, want)
		}
	}
	if len(k.ledBy) != 1 {
		t.Errorf("got leaders %v, want one", k.ledBy)
	}
}

// TestMemberBehindIsPassedOnToNextLeader guards against a new leader that brings no member up to date, and so gets no lease.
func TestMemberBehindIsPassedOnToNextLeader(t *testing.T) {
	k := newLinkedCluster(t, 200*megabit)
	old := k.leader()
	behind := k.followers()[0]
	behind.node = nil
	for range 130 {
		k.propose(400_000)
		k.run(40 * time.Millisecond)
	}
	k.start(behind)
	k.run(500 * time.Millisecond)
	old.node = nil
	k.run(10 * time.Second)
	next := k.leader()
	if next == nil {
		t.Fatal("got no leader, want one")
	}
	if got, want := lastIndex(behind), lastIndex(next); got != want {
		t.Errorf("got a member at index %d, want %d", got, want)
	}
}

// TestTwoMembersCatchUpAtOnce has two of five members miss large changes, beside a change of leader.
func TestTwoMembersCatchUpAtOnce(t *testing.T) {
	k := newLinkedClusterOf(t, 200*megabit, "a", "b", "c", "d", "e")
	old, followers := k.leader(), k.followers()
	behind := followers[:2]
	behind[0].node, behind[1].node = nil, nil
	for range 130 {
		k.propose(400_000)
		k.run(40 * time.Millisecond)
	}
	k.start(behind[0])
	k.start(behind[1])
	k.run(time.Second)
	old.node = nil
	k.run(15 * time.Second)
	next := k.leader()
	if next == nil {
		t.Fatal("got no leader, want one")
	}
	k.propose(400_000)
	k.run(time.Second)
	for _, m := range followers {
		if got, want := m.node.Status().CommitIndex, lastIndex(next); got != want {
			t.Errorf("%s: got commit index %d, want %d", m.id, got, want)
		}
	}
}

// TestSnapshotArrivesBesideChanges guards against a member behind a slow link that never gets a snapshot, since the leader compacts its log
// again before it has arrived.
func TestSnapshotArrivesBesideChanges(t *testing.T) {
	const stateBytes, changeBytes = 8 << 20, 1 << 10
	k := newLinkedCluster(t, 1000*megabit)
	leader, behind := k.leader(), k.followers()[0]
	behind.node = nil
	compact := func() {
		k.propose(changeBytes)
		k.run(20 * time.Millisecond)
		leader.node.Compact(leader.node.Status().CommitIndex, make([]byte, stateBytes))
	}
	compact()
	k.bytesPerSecond = 20 * megabit
	k.sent = 0
	k.start(behind)
	// The snapshot takes 3.4 s, and the log is compacted each second.
	for range 12 {
		compact()
		k.run(time.Second)
	}
	k.run(8 * time.Second)
	if got, want := lastIndex(behind), lastIndex(leader); got != want {
		t.Errorf("got a member at index %d, want %d", got, want)
	}
	if len(k.ledBy) != 1 {
		t.Errorf("got leaders %v, want one", k.ledBy)
	}
	t.Logf("%d snapshots sent", k.sent/stateBytes)
}
