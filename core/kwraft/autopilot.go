package kwraft

import (
	"time"

	"knapweedproxy/core/kwid"
)

// Autopilot decides the next change of membership of a log that keeps itself: members join as learners, and the steward
// of the leader makes them voters.
type Autopilot struct {
	// TargetVoters is how many voters bear the losses that the deployment tolerates: twice these and one.
	TargetVoters int
	// VMOf returns the VM part of a member id; a VM whose disk was replaced is another member on the same VM.
	VMOf func(kwid.NodeID) kwid.NodeID
	// VoterTimeout is how long a voter may be unheard before it is replaced.
	VoterTimeout time.Duration
	// LearnerTimeout is how long a learner may be unheard before it is dropped.
	LearnerTimeout time.Duration
	// BootstrapTimeout is how long a leader waits for members to join until it takes those that have for all that there are.
	BootstrapTimeout time.Duration
}

// MayAcknowledge tells whether a leader may confirm what is logged. Until it has confirmed for the first time, the members that are
// wanted must have joined, or all that there are: a small deployment may have fewer than twice its tolerated losses and
// one, and refusing for ever would serve nobody. From then on members are only swapped, never fewer.
func (s Autopilot) MayAcknowledge(now time.Time, n *Node, confirmed bool) bool {
	if confirmed || len(n.members.Voters) >= s.TargetVoters {
		return true
	}
	return len(n.members.Learners) == 0 && n.membersCommitted() && now.Sub(n.led) >= s.BootstrapTimeout
}

// NextChange returns the change to make now, or false.
func (s Autopilot) NextChange(now time.Time, n *Node) (MembershipChange, bool) {
	if n.role != Leader || !n.membersCommitted() {
		return MembershipChange{}, false
	}
	m := n.members
	silent := kwid.NodeID("")
	for _, id := range m.Voters {
		if id != n.cfg.ID && n.unheard(now, id) > s.VoterTimeout {
			silent = id
			break
		}
	}
	if silent != "" && len(m.Voters) > s.TargetVoters {
		return MembershipChange{Remove: silent}, true
	}
	for _, id := range m.Learners {
		if n.unheard(now, id) > s.LearnerTimeout {
			return MembershipChange{Remove: id}, true
		}
		if n.peer(id).match < n.commit || n.unheard(now, id) > s.VoterTimeout {
			continue
		}
		if old := s.sameVM(m.Voters, id); old != "" {
			return MembershipChange{Promote: id, Remove: old}, true
		}
		if len(m.Voters) < s.TargetVoters || silent != "" && len(m.Voters) == s.TargetVoters {
			return MembershipChange{Promote: id}, true
		}
	}
	return MembershipChange{}, false
}

func (s Autopilot) sameVM(voters []kwid.NodeID, learner kwid.NodeID) kwid.NodeID {
	for _, id := range voters {
		if s.VMOf(id) == s.VMOf(learner) {
			return id
		}
	}
	return ""
}

// unheard returns how long a member has not answered this leader; a new leader counts from its election.
func (n *Node) unheard(now time.Time, id kwid.NodeID) time.Duration {
	since := n.led
	if r := n.peer(id).replied; r.After(since) {
		since = r
	}
	return now.Sub(since)
}
