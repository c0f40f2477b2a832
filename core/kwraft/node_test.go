package kwraft_test

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
)

// pass lets time go by without clients or faults and fails on two leases at once.
func (w *world) pass(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		if err := w.deliver(); err != nil {
			t.Fatal(err)
		}
		if err := w.checkLeases(); err != nil {
			t.Fatal(err)
		}
		for _, v := range w.vms {
			if v.node == nil || v.frozen > w.now {
				continue
			}
			v.node.Tick(w.local(v))
			if err := w.work(v); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func calmWorld(t *testing.T, seed uint64) (*world, *vm) {
	t.Helper()
	w := newWorld(seed)
	w.calm = true
	w.pass(t, time.Second)
	leader := w.leader()
	if leader == nil {
		t.Fatal("got no leader, want one")
	}
	return w, leader
}

// TestLeaseOutlivesNoVote cuts one member off from the leader and restarts the others one after another: none of
// them may help to elect a second leader while the first one's lease stands.
func TestLeaseOutlivesNoVote(t *testing.T) {
	for _, restart := range []bool{false, true} {
		for seed := uint64(1); seed <= 40; seed++ {
			w, leader := calmWorld(t, seed)
			w.delay = 2 * time.Millisecond
			candidate := w.vms[(leader.place+1)%len(w.vms)]
			w.cut[[2]int{leader.place, candidate.place}] = true
			w.pass(t, electionMin+time.Duration(seed)*electionMin/40)
			leader.frozen = w.now + time.Hour
			for _, o := range w.vms {
				if restart && o != leader && o != candidate {
					w.crash(o)
					w.start(o)
				}
			}
			w.pass(t, 2*electionMin)
		}
	}
}

// TestSilentPartitionEndsLease requires that a leader without a quorum gives up before another can lead.
func TestSilentPartitionEndsLease(t *testing.T) {
	w, leader := calmWorld(t, 3)
	for i := range w.vms {
		w.cut[[2]int{i, leader.place}] = true
		w.cut[[2]int{leader.place, i}] = true
	}
	w.pass(t, 3*electionMin)
	if leader.node.HoldsLease(w.local(leader)) {
		t.Error("got a lease without a quorum, want none")
	}
	if got := w.leader(); got == nil || got == leader {
		t.Errorf("got leader %v, want another one", got)
	}
}

// TestLearnerCountsOnlyOnceSynced requires that a member with a new disk is promoted only with the whole log.
func TestLearnerCountsOnlyOnceSynced(t *testing.T) {
	w, leader := calmWorld(t, 5)
	w.propose(leader, w.local(leader), w.command())
	w.pass(t, electionMin)
	o := w.vms[(leader.place+1)%len(w.vms)]
	old := o.id
	o.id += "-new"
	o.disk = kwraft.PersistentState{}
	w.start(o)
	o.frozen = w.now + time.Hour
	now := w.local(leader)
	if _, err := leader.node.ChangeMembers(now, kwraft.MembershipChange{Remove: old}); err != nil {
		t.Fatal(err)
	}
	w.pass(t, electionMin)
	if _, err := leader.node.ChangeMembers(w.local(leader), kwraft.MembershipChange{AddLearner: o.id}); err != nil {
		t.Fatal(err)
	}
	w.pass(t, electionMin)
	_, err := leader.node.ChangeMembers(w.local(leader), kwraft.MembershipChange{Promote: o.id})
	if !kwcode.Is(err, kwcode.RevisionConflict) {
		t.Errorf("got %v, want %d", err, kwcode.RevisionConflict)
	}
	o.frozen = 0
	w.pass(t, 2*electionMin)
	if _, err := leader.node.ChangeMembers(w.local(leader), kwraft.MembershipChange{Promote: o.id}); err != nil {
		t.Errorf("got %v, want a promotion", err)
	}
}

// TestOneChangeAtATime requires that a second membership change waits for the first.
func TestOneChangeAtATime(t *testing.T) {
	w, leader := calmWorld(t, 7)
	now := w.local(leader)
	if _, err := leader.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: "x@1"}); err != nil {
		t.Fatal(err)
	}
	_, err := leader.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: "y@1"})
	if !kwcode.Is(err, kwcode.RevisionConflict) {
		t.Errorf("got %v, want %d", err, kwcode.RevisionConflict)
	}
}

// TestTransferHandsOver requires that a planned stop of the leader brings a successor up at once.
func TestTransferHandsOver(t *testing.T) {
	w, leader := calmWorld(t, 9)
	if !leader.node.TransferLeadership(w.local(leader)) {
		t.Fatal("got no transfer, want one")
	}
	if _, err := leader.node.Propose(w.local(leader), [][]byte{{0}}); !kwcode.Is(err, kwcode.NotLeader) {
		t.Errorf("got %v, want %d", err, kwcode.NotLeader)
	}
	w.pass(t, electionMin)
	if got := w.leader(); got == nil || got == leader {
		t.Errorf("got leader %v, want another one", got)
	}
}

func BenchmarkPropose(b *testing.B) {
	w := newWorld(1)
	w.calm = true
	v := w.vms[0]
	v.disk = kwraft.Bootstrap(kwraft.Members{Voters: []kwid.NodeID{v.id}})
	w.start(v)
	v.node.Tick(w.local(v))
	command := kwstatemachine.Command{Claim: &kwstatemachine.Claim{Digest: "d"}}
	for b.Loop() {
		w.propose(v, w.local(v), command)
		rd := v.node.Ready()
		if !rd.Empty() {
			v.node.Persisted(w.local(v))
			v.node.Ready()
		}
		v.node.Compact(v.node.Status().AppliedIndex, nil)
	}
}

// restartAll ends all members at once and starts them again, each a moment after the one before, the former leader at a place
// of its own in that order.
func (w *world) restartAll(t *testing.T, leader *vm, last bool) {
	t.Helper()
	for _, v := range w.vms {
		w.crash(v)
	}
	w.pass(t, 50*time.Millisecond)
	if !last {
		w.start(leader)
		w.pass(t, 10*time.Millisecond)
	}
	for _, v := range w.vms {
		if v != leader {
			w.start(v)
			w.pass(t, 10*time.Millisecond)
		}
	}
	if last {
		w.start(leader)
	}
}

// TestLeaderResumes ends all members at once, as in an outage of everything: the former leader leads again long before an
// election, whether it starts first or last.
func TestLeaderResumes(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		w, leader := calmWorld(t, seed)
		w.delay = 2 * time.Millisecond
		w.restartAll(t, leader, seed%2 == 0)
		w.pass(t, electionMin/2)
		if got := w.leader(); got != leader {
			t.Errorf("seed %d: half an election's time after the start got leader %v, want the former one", seed, got)
		}
	}
}

// TestResumingYieldsToANewerTerm has another member lead before the former leader is back: it does not disturb that one.
func TestResumingYieldsToANewerTerm(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		w, leader := calmWorld(t, seed)
		w.crash(leader)
		w.pass(t, 12*electionMin)
		next := w.leader()
		if next == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		term := next.node.Status().Term
		w.start(leader)
		w.pass(t, 2*electionMin)
		if got := w.leader(); got != next || got.node.Status().Term != term {
			t.Errorf("seed %d: got leader %v, want the one of term %d to stay", seed, got, term)
		}
	}
}
