package kwraft_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
)

// voterTimeout is long compared with an election, as in a deployment.
const voterTimeout = 4 * electionMin

func vmOf(id kwid.NodeID) kwid.NodeID {
	name, _, _ := strings.Cut(string(id), "@")
	return kwid.NodeID(name)
}

// maxStartSkew is the time within which all members of a new cluster start, in any order.
const maxStartSkew = 300 * time.Millisecond

// newAutopilotSimulation returns a simulation that begins with the bootstrap of a cluster: members that know each
// other's IDs start one after another with empty disks. The autopilot replaces members whose disk or VM is lost.
func newAutopilotSimulation(seed uint64) *simulation {
	s := newSimulation(seed)
	for _, v := range s.vms {
		v.node = nil
		v.firstStart = 1 + time.Duration(s.rng.Int64N(int64(maxStartSkew)))
	}
	s.autopilot = &kwraft.Autopilot{TargetVoters: len(s.vms), VMOf: vmOf, VoterTimeout: voterTimeout, LearnerTimeout: 10 * voterTimeout}
	return s
}

func (s *simulation) declareCommand() kwstatemachine.Command {
	number := kwdeclaration.Number(s.nextID)
	if s.rng.IntN(4) == 0 && s.declared > 0 {
		number = s.declared
	}
	return kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: number, Content: []byte(fmt.Sprint(s.nextID))}}
}

// applyAutopilotChange does what a leading control process does: it applies the change that the autopilot wants, or adds
// a new member as a learner.
func (s *simulation) applyAutopilotChange(v *vm, now time.Time, m kwraft.Members) {
	if c, ok := s.autopilot.NextChange(now, v.node); ok {
		if _, err := v.node.ChangeMembers(now, c); err == nil && c.Promote != "" {
			s.counts.Promotions++
		}
		return
	}
	for _, o := range s.vms {
		if o.node != nil && !m.IsVoter(o.id) && !m.IsLearner(o.id) {
			_, _ = v.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: o.id})
			return
		}
	}
}

// replaceVM removes a VM for good and starts an empty one with another ID, if the other voters hold the committed log.
func (s *simulation) replaceVM(v *vm) {
	leader := s.leader()
	if leader == nil || leader == v {
		return
	}
	members := leader.node.Status().Members
	if !members.IsVoter(v.id) || !s.quorumHoldsLogWithout(leader, v, members) {
		return
	}
	s.counts.DiskLosses++
	s.nextID++
	v.id = kwid.NodeID(fmt.Sprintf("m%d@%d", s.nextID, s.nextID))
	v.disk = kwraft.PersistentState{}
	s.start(v)
}

// TestAutopilotSchedules runs the schedules with the autopilot: no acknowledged declaration may be lost, and no read
// may return an older one, whichever disks and VMs are replaced.
func TestAutopilotSchedules(t *testing.T) {
	total, all := runSchedules(t, *seedCount, newAutopilotSimulation)
	if !all {
		return
	}
	if total.Acked == 0 || total.Torn == 0 || total.DiskLosses == 0 || total.Promotions == 0 || total.Snapshots == 0 {
		t.Errorf("got %+v, want every kind of event", total)
	}
}

// runWithAutopilot advances the time while the leader manages the membership.
func (s *simulation) runWithAutopilot(t *testing.T, d time.Duration) {
	t.Helper()
	for end := s.now + d; s.now < end; {
		s.startDueMembers()
		s.advance(t, 10*time.Millisecond)
		if v := s.leader(); v != nil {
			s.applyAutopilotChange(v, s.localTime(v), v.node.Status().Members)
			if err := s.processReady(v); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestAutopilotReplacesMembersInTurn wipes or replaces every member in turn, with time for the autopilot after each:
// after each repair the cluster must tolerate the loss of another member.
func TestAutopilotReplacesMembersInTurn(t *testing.T) {
	for _, wipe := range []bool{true, false} {
		s := newAutopilotSimulation(3)
		s.faultsOff = true
		s.runWithAutopilot(t, time.Second)
		for i := range 3 * len(s.vms) {
			leader := s.leader()
			if leader == nil {
				t.Fatalf("wipe %v, replacement %d: no leader", wipe, i)
			}
			victim := s.vms[(leader.index+1+i%(len(s.vms)-1))%len(s.vms)]
			before := s.counts.DiskLosses
			if wipe {
				s.loseDisk(victim)
			} else {
				s.replaceVM(victim)
			}
			if s.counts.DiskLosses == before {
				t.Fatalf("wipe %v, replacement %d: the cluster does not tolerate the loss of %s yet", wipe, i, victim.id)
			}
			s.runWithAutopilot(t, 2*voterTimeout)
			voters := s.leader().node.Status().Members.Voters
			if len(voters) != len(s.vms) {
				t.Fatalf("wipe %v, replacement %d: got voters %v, want %d", wipe, i, voters, len(s.vms))
			}
			for _, id := range voters {
				if s.vmByID(id) == nil {
					t.Fatalf("wipe %v, replacement %d: %s is gone and still a voter", wipe, i, id)
				}
			}
		}
	}
}

// TestAutopilotMayAcknowledge starts a cluster with fewer members than the target. The leader must not acknowledge
// before it has waited for more members; a leader of a cluster that has already acknowledged need not wait.
func TestAutopilotMayAcknowledge(t *testing.T) {
	s := newAutopilotSimulation(3)
	s.faultsOff = true
	s.autopilot.TargetVoters = len(s.vms) + 2
	s.autopilot.BootstrapTimeout = 4 * time.Second
	s.runWithAutopilot(t, time.Second)
	v := s.leader()
	if v == nil {
		t.Fatal("no leader")
	}
	mayAcknowledge := func(acknowledged bool) bool { return s.autopilot.MayAcknowledge(s.localTime(v), v.node, acknowledged) }
	if mayAcknowledge(false) {
		t.Errorf("got an acknowledgement with %d of %d members at once, want none", len(s.vms), s.autopilot.TargetVoters)
	}
	if !mayAcknowledge(true) {
		t.Error("got no acknowledgement after the first one, want one")
	}
	s.runWithAutopilot(t, 5*time.Second)
	if v = s.leader(); v == nil || !mayAcknowledge(false) {
		t.Error("got no acknowledgement after the wait for members, want one")
	}
	s.autopilot.TargetVoters = len(s.vms)
	s.autopilot.BootstrapTimeout = time.Hour
	if !mayAcknowledge(false) {
		t.Error("got no acknowledgement with the target number of members, want one")
	}
}

// TestSilentVotersAreReported guards against a log that has lost a voter while nobody sees it.
func TestSilentVotersAreReported(t *testing.T) {
	const timeout = 2500 * time.Millisecond
	c := newLinkedCluster(t, 1000*megabit)
	leader, lost := c.leader(), c.followers()[0]
	if got := leader.node.SilentVoters(c.time(), timeout); len(got) != 0 {
		t.Errorf("all voters run: got %v silent, want none", got)
	}
	lost.node = nil
	c.run(timeout + time.Second)
	got := leader.node.SilentVoters(c.time(), timeout)
	if len(got) != 1 || got[0] != lost.id {
		t.Errorf("%s is down: got %v silent, want it alone", lost.id, got)
	}
	if got := c.followers()[1].node.SilentVoters(c.time(), timeout); got != nil {
		t.Errorf("a follower: got %v silent, want none", got)
	}
}

// TestElectionDelaysNoReplacement guards against a voter whose replacement starts late, as its silence counts from the election of a
// leader and not from its end, which brought that election about.
func TestElectionDelaysNoReplacement(t *testing.T) {
	const timeout = 2500 * time.Millisecond
	c := newLinkedCluster(t, 1000*megabit)
	lost := c.leader()
	lost.node = nil
	c.run(timeout + 200*time.Millisecond)
	leader := c.leader()
	if leader == nil {
		t.Fatalf("%v after %s was lost: got no leader", timeout, lost.id)
	}
	if got := leader.node.SilentVoters(c.time(), timeout); len(got) != 1 || got[0] != lost.id {
		t.Errorf("%v after the leader %s was lost: got %v silent, want it alone", timeout, lost.id, got)
	}
}

// TestLearnerForgetsSilentLeader guards against a learner that is removed while it is cut off and never asks to be added again, as it
// takes the leader of that time for its own.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	const leader, learner = "a@1", "b@1"
	now := time.Unix(1000, 0)
	cfg := kwraft.DefaultConfig(learner, 1)
	n := kwraft.New(cfg, now, kwraft.Bootstrap(kwraft.Members{Voters: []kwid.NodeID{leader}, Learners: []kwid.NodeID{learner}}))
	n.Step(now, kwraft.Message{Kind: kwraft.MsgAppend, From: leader, To: learner, Term: 1})
	if got := n.Status().Leader; got != leader {
		t.Fatalf("after a message of the leader: got leader %q, want %q", got, leader)
	}
	n.Tick(now.Add(cfg.MinElectionTimeout / 2))
	if got := n.Status().Leader; got != leader {
		t.Errorf("half an election timeout later: got leader %q, want %q", got, leader)
	}
	n.Tick(now.Add(2 * cfg.MinElectionTimeout))
	if got := n.Status().Leader; got != "" {
		t.Errorf("two election timeouts later: got leader %q, want none", got)
	}
}
