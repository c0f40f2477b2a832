package kwraft_test

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
)

// advance runs the cluster for a time without clients or faults and fails if two members hold a lease at once.
func (s *simulation) advance(t *testing.T, d time.Duration) {
	t.Helper()
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		if err := s.deliver(); err != nil {
			t.Fatal(err)
		}
		if err := s.checkLeases(); err != nil {
			t.Fatal(err)
		}
		for _, v := range s.vms {
			if v.node == nil || v.frozenUntil > s.now {
				continue
			}
			v.node.Tick(s.localTime(v))
			if err := s.processReady(v); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func newStableCluster(t *testing.T, seed uint64) (*simulation, *vm) {
	t.Helper()
	s := newSimulation(seed)
	s.faultsOff = true
	s.advance(t, time.Second)
	leader := s.leader()
	if leader == nil {
		t.Fatal("got no leader, want one")
	}
	return s, leader
}

// TestNoVoteWhileLeaseIsValid cuts one member off from the leader and restarts the others in turn: none of them may
// help to elect a second leader while the first one's lease is valid. A restarted member has forgotten when it last
// heard from the leader.
func TestNoVoteWhileLeaseIsValid(t *testing.T) {
	for _, restart := range []bool{false, true} {
		for seed := uint64(1); seed <= 40; seed++ {
			s, leader := newStableCluster(t, seed)
			s.maxDelay = 2 * time.Millisecond
			candidate := s.vms[(leader.index+1)%len(s.vms)]
			s.blockedLinks[[2]int{leader.index, candidate.index}] = true
			s.advance(t, electionMin+time.Duration(seed)*electionMin/40)
			leader.frozenUntil = s.now + time.Hour
			for _, o := range s.vms {
				if restart && o != leader && o != candidate {
					s.crash(o)
					s.start(o)
				}
			}
			s.advance(t, 2*electionMin)
		}
	}
}

// TestPartitionedLeaderLosesLease requires that a leader without a quorum loses its lease and that another member is
// elected.
func TestPartitionedLeaderLosesLease(t *testing.T) {
	s, leader := newStableCluster(t, 3)
	for i := range s.vms {
		s.blockedLinks[[2]int{i, leader.index}] = true
		s.blockedLinks[[2]int{leader.index, i}] = true
	}
	s.advance(t, 3*electionMin)
	if leader.node.HoldsLease(s.localTime(leader)) {
		t.Error("got a lease without a quorum, want none")
	}
	if got := s.leader(); got == nil || got == leader {
		t.Errorf("got leader %v, want another one", got)
	}
}

// TestLearnerCountsOnlyOnceSynced requires that a member with an empty disk is not promoted before it holds the
// committed log.
func TestLearnerCountsOnlyOnceSynced(t *testing.T) {
	s, leader := newStableCluster(t, 5)
	s.propose(leader, s.localTime(leader), s.command())
	s.advance(t, electionMin)
	o := s.vms[(leader.index+1)%len(s.vms)]
	old := o.id
	o.id += "-new"
	o.disk = kwraft.PersistentState{}
	s.start(o)
	o.frozenUntil = s.now + time.Hour
	now := s.localTime(leader)
	if _, err := leader.node.ChangeMembers(now, kwraft.MembershipChange{Remove: old}); err != nil {
		t.Fatal(err)
	}
	s.advance(t, electionMin)
	if _, err := leader.node.ChangeMembers(s.localTime(leader), kwraft.MembershipChange{AddLearner: o.id}); err != nil {
		t.Fatal(err)
	}
	s.advance(t, electionMin)
	_, err := leader.node.ChangeMembers(s.localTime(leader), kwraft.MembershipChange{Promote: o.id})
	if !kwcode.Is(err, kwcode.RevisionConflict) {
		t.Errorf("got %v, want %d", err, kwcode.RevisionConflict)
	}
	o.frozenUntil = 0
	s.advance(t, 2*electionMin)
	if _, err := leader.node.ChangeMembers(s.localTime(leader), kwraft.MembershipChange{Promote: o.id}); err != nil {
		t.Errorf("got %v, want a promotion", err)
	}
}

// TestOneChangeAtATime requires that a second membership change is refused until the first is committed.
func TestOneChangeAtATime(t *testing.T) {
	s, leader := newStableCluster(t, 7)
	now := s.localTime(leader)
	if _, err := leader.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: "x@1"}); err != nil {
		t.Fatal(err)
	}
	_, err := leader.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: "y@1"})
	if !kwcode.Is(err, kwcode.RevisionConflict) {
		t.Errorf("got %v, want %d", err, kwcode.RevisionConflict)
	}
}

// TestTransferHandsOver requires that a leadership transfer elects another leader within one election timeout and that
// the old leader takes no more proposals.
func TestTransferHandsOver(t *testing.T) {
	s, leader := newStableCluster(t, 9)
	if !leader.node.TransferLeadership(s.localTime(leader)) {
		t.Fatal("got no transfer, want one")
	}
	if _, err := leader.node.Propose(s.localTime(leader), [][]byte{{0}}); !kwcode.Is(err, kwcode.NotLeader) {
		t.Errorf("got %v, want %d", err, kwcode.NotLeader)
	}
	s.advance(t, electionMin)
	if got := s.leader(); got == nil || got == leader {
		t.Errorf("got leader %v, want another one", got)
	}
}

func BenchmarkPropose(b *testing.B) {
	s := newSimulation(1)
	s.faultsOff = true
	v := s.vms[0]
	v.disk = kwraft.Bootstrap(kwraft.Members{Voters: []kwid.NodeID{v.id}})
	s.start(v)
	v.node.Tick(s.localTime(v))
	command := kwstatemachine.Command{Claim: &kwstatemachine.Claim{Digest: "d"}}
	for b.Loop() {
		s.propose(v, s.localTime(v), command)
		rd := v.node.Ready()
		if !rd.Empty() {
			v.node.Persisted(s.localTime(v))
			v.node.Ready()
		}
		v.node.Compact(v.node.Status().AppliedIndex, nil)
	}
}

// restartAll stops all members at once and starts them again at intervals, the former leader first or last.
func (s *simulation) restartAll(t *testing.T, leader *vm, last bool) {
	t.Helper()
	for _, v := range s.vms {
		s.crash(v)
	}
	s.advance(t, 50*time.Millisecond)
	if !last {
		s.start(leader)
		s.advance(t, 10*time.Millisecond)
	}
	for _, v := range s.vms {
		if v != leader {
			s.start(v)
			s.advance(t, 10*time.Millisecond)
		}
	}
	if last {
		s.start(leader)
	}
}

// TestLeaderResumes stops all members at once, as in a full outage: the former leader must lead again well before an
// election could complete, whether it starts first or last.
func TestLeaderResumes(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s, leader := newStableCluster(t, seed)
		s.maxDelay = 2 * time.Millisecond
		s.restartAll(t, leader, seed%2 == 0)
		s.advance(t, electionMin/2)
		if got := s.leader(); got != leader {
			t.Errorf("seed %d: got leader %v half an election timeout after the restart, want the former leader", seed, got)
		}
	}
}

// TestResumingYieldsToANewerTerm restarts a former leader after another member was elected: it must not disturb the
// new leader.
func TestResumingYieldsToANewerTerm(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		s, leader := newStableCluster(t, seed)
		s.crash(leader)
		s.advance(t, 12*electionMin)
		next := s.leader()
		if next == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		term := next.node.Status().Term
		s.start(leader)
		s.advance(t, 2*electionMin)
		if got := s.leader(); got != next || got.node.Status().Term != term {
			t.Errorf("seed %d: got leader %v, want the leader of term %d to stay", seed, got, term)
		}
	}
}
