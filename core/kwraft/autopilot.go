package kwraft

import (
	"time"

	"knapweedproxy/core/kwid"
)

// Autopilot decides on membership changes for a cluster that manages its own membership: new members join as learners,
// and the leader's autopilot promotes them to voters.
type Autopilot struct {
	// TargetVoters is the number of voters needed to tolerate f failures: 2f+1.
	TargetVoters int
	// VMOf returns the VM part of a member ID. A VM whose disk was replaced rejoins as a new member on the same VM.
	VMOf func(kwid.NodeID) kwid.NodeID
	// VoterTimeout is how long a voter may be silent before it is replaced.
	VoterTimeout time.Duration
	// LearnerTimeout is how long a learner may be silent before it is removed.
	LearnerTimeout time.Duration
	// BootstrapTimeout is how long a new leader waits for more members to join before it proceeds with those that have
	// joined.
	BootstrapTimeout time.Duration
}

// MayAcknowledge reports whether the leader may acknowledge committed entries. Before the first acknowledgement it
// waits for TargetVoters voters, or until BootstrapTimeout has passed and every member that has joined is a voter: a
// small deployment may have fewer than TargetVoters VMs and would otherwise never accept a write. After that, members
// are only replaced and the number of voters never falls.
func (a Autopilot) MayAcknowledge(now time.Time, n *Node, acknowledged bool) bool {
	if acknowledged || len(n.members.Voters) >= a.TargetVoters {
		return true
	}
	return len(n.members.Learners) == 0 && n.membersCommitted() && now.Sub(n.electedAt) >= a.BootstrapTimeout
}

// NextChange returns the membership change to make now, or false if there is none.
func (a Autopilot) NextChange(now time.Time, n *Node) (MembershipChange, bool) {
	if n.role != Leader || !n.membersCommitted() {
		return MembershipChange{}, false
	}
	m := n.members
	silentVoter := kwid.NodeID("")
	for _, id := range m.Voters {
		if id != n.cfg.ID && n.voterSilence(now, id) > a.VoterTimeout {
			silentVoter = id
			break
		}
	}
	if silentVoter != "" && len(m.Voters) > a.TargetVoters {
		return MembershipChange{Remove: silentVoter}, true
	}
	for _, id := range m.Learners {
		if n.silence(now, id) > a.LearnerTimeout {
			return MembershipChange{Remove: id}, true
		}
		if n.progressOf(id).match < n.commit || n.silence(now, id) > a.VoterTimeout {
			continue
		}
		if old := a.voterOnSameVM(m.Voters, id); old != "" {
			return MembershipChange{Promote: id, Remove: old}, true
		}
		if len(m.Voters) < a.TargetVoters || silentVoter != "" && len(m.Voters) == a.TargetVoters {
			return MembershipChange{Promote: id}, true
		}
	}
	return MembershipChange{}, false
}

// voterOnSameVM returns the voter that ran on the VM of a learner, or "".
func (a Autopilot) voterOnSameVM(voters []kwid.NodeID, learner kwid.NodeID) kwid.NodeID {
	for _, id := range voters {
		if a.VMOf(id) == a.VMOf(learner) {
			return id
		}
	}
	return ""
}

// SilentVoters returns the voters that have not replied to this leader for longer than a timeout; it returns none on other members.
func (n *Node) SilentVoters(now time.Time, timeout time.Duration) []kwid.NodeID {
	if n.role != Leader {
		return nil
	}
	var out []kwid.NodeID
	for _, id := range n.members.Voters {
		if id != n.cfg.ID && n.voterSilence(now, id) > timeout {
			out = append(out, id)
		}
	}
	return out
}

// silence returns the time since a member last replied to this leader, or since the election if it has not replied
// yet.
func (n *Node) silence(now time.Time, id kwid.NodeID) time.Duration {
	since := n.electedAt
	if r := n.progressOf(id).lastReply; r.After(since) {
		since = r
	}
	return now.Sub(since)
}

// voterSilence returns the time since a voter last replied to this leader, or since this member was left without a leader if it has not
// replied yet. As in quorumActive, a new leader first waits for the replies to its own messages.
func (n *Node) voterSilence(now time.Time, id kwid.NodeID) time.Duration {
	if !n.progressOf(id).lastReply.IsZero() || now.Sub(n.electedAt) < n.cfg.MinElectionTimeout {
		return n.silence(now, id)
	}
	return now.Sub(n.leaderlessSince)
}
