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

// stewardSilence is long against elections, as in a deployed process.
const stewardSilence = 4 * electionMin

func vmOf(id kwid.NodeID) kwid.NodeID {
	name, _, _ := strings.Cut(string(id), "@")
	return kwid.NodeID(name)
}

// foundingTime is within how long of each other all founders start, in any order.
const foundingTime = 300 * time.Millisecond

// newStewardWorld is a schedule that begins with founding: members that know each other's ids start one after the other
// with nothing on their disks, and the steward replaces wiped disks and VMs that are gone.
func newStewardWorld(seed uint64) *world {
	w := newWorld(seed)
	for _, v := range w.vms {
		v.node = nil
		v.founds = 1 + time.Duration(w.rng.Int64N(int64(foundingTime)))
	}
	w.steward = &kwraft.Autopilot{TargetVoters: len(w.vms), VMOf: vmOf, VoterTimeout: stewardSilence, LearnerTimeout: 10 * stewardSilence}
	return w
}

func (w *world) declare() kwstatemachine.Command {
	number := kwdeclaration.Number(w.nextID)
	if w.rng.IntN(4) == 0 && w.declared > 0 {
		number = w.declared
	}
	return kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: number, Content: []byte(fmt.Sprint(w.nextID))}}
}

// tend does what a leading hub does: it takes joiners in, and follows its steward.
func (w *world) tend(v *vm, now time.Time, m kwraft.Members) {
	if c, ok := w.steward.NextChange(now, v.node); ok {
		if _, err := v.node.ChangeMembers(now, c); err == nil && c.Promote != "" {
			w.tally.Promotions++
		}
		return
	}
	for _, o := range w.vms {
		if o.node != nil && !m.IsVoter(o.id) && !m.IsLearner(o.id) {
			_, _ = v.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: o.id})
			return
		}
	}
}

// replaceVM takes a VM away for good and starts an empty one at another address, where one disk may go.
func (w *world) replaceVM(v *vm) {
	leader := w.leader()
	if leader == nil || leader == v {
		return
	}
	members := leader.node.Status().Members
	if !members.IsVoter(v.id) || !w.othersCurrent(leader, v, members) {
		return
	}
	w.tally.DiskLosses++
	w.nextID++
	v.id = kwid.NodeID(fmt.Sprintf("m%d@%d", w.nextID, w.nextID))
	v.disk = kwraft.PersistentState{}
	w.start(v)
}

// TestStewardSchedules runs the schedules with the steward: no acknowledged declaration is lost or read in an older
// state, whatever disks and VMs are replaced.
func TestStewardSchedules(t *testing.T) {
	total, all := runSchedules(t, newStewardWorld)
	if !all {
		return
	}
	if total.Acked == 0 || total.Torn == 0 || total.DiskLosses == 0 || total.Promotions == 0 || total.Snapshots == 0 {
		t.Errorf("got %+v, want every kind of event", total)
	}
}

// tendFor lets time go by while the leader tends the members.
func (w *world) tendFor(t *testing.T, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end; {
		w.found()
		w.pass(t, 10*time.Millisecond)
		if v := w.leader(); v != nil {
			w.tend(v, w.local(v), v.node.Status().Members)
			if err := w.work(v); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestStewardReplacesOneAfterAnother wipes or replaces every member in turn, each once the one before has had its time:
// the log must bear the loss of another right after each repair.
func TestStewardReplacesOneAfterAnother(t *testing.T) {
	for _, wipe := range []bool{true, false} {
		w := newStewardWorld(3)
		w.calm = true
		w.tendFor(t, time.Second)
		for i := range 3 * len(w.vms) {
			leader := w.leader()
			if leader == nil {
				t.Fatalf("wipe %v, replacement %d: no leader", wipe, i)
			}
			victim := w.vms[(leader.place+1+i%(len(w.vms)-1))%len(w.vms)]
			before := w.tally.DiskLosses
			if wipe {
				w.loseDisk(victim)
			} else {
				w.replaceVM(victim)
			}
			if w.tally.DiskLosses == before {
				t.Fatalf("wipe %v, replacement %d: the log does not bear the loss of %s yet", wipe, i, victim.id)
			}
			w.tendFor(t, 2*stewardSilence)
			voters := w.leader().node.Status().Members.Voters
			if len(voters) != len(w.vms) {
				t.Fatalf("wipe %v, replacement %d: voters got %v, want %d", wipe, i, voters, len(w.vms))
			}
			for _, id := range voters {
				if w.find(id) == nil {
					t.Fatalf("wipe %v, replacement %d: %s is gone and still a voter", wipe, i, id)
				}
			}
		}
	}
}

// TestStewardBears begins a deployment with fewer members than it wants: the leader does not confirm before it has waited
// for more, then it does, and its successor need not wait once something has been confirmed.
func TestStewardBears(t *testing.T) {
	w := newStewardWorld(3)
	w.calm = true
	w.steward.TargetVoters = len(w.vms) + 2
	w.steward.BootstrapTimeout = 4 * time.Second
	w.tendFor(t, time.Second)
	v := w.leader()
	if v == nil {
		t.Fatal("no leader")
	}
	bears := func(confirmed bool) bool { return w.steward.MayAcknowledge(w.local(v), v.node, confirmed) }
	if bears(false) {
		t.Errorf("got a confirmation by %d of %d members at once, want none", len(w.vms), w.steward.TargetVoters)
	}
	if !bears(true) {
		t.Error("got no confirmation after the first, want one")
	}
	w.tendFor(t, 5*time.Second)
	if v = w.leader(); v == nil || !bears(false) {
		t.Error("got no confirmation after the wait for members, want one")
	}
	w.steward.TargetVoters = len(w.vms)
	w.steward.BootstrapTimeout = time.Hour
	if !bears(false) {
		t.Error("got no confirmation by all members that are wanted, want one")
	}
}
