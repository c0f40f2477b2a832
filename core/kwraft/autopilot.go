package kwraft

import (
	"time"

	"knapweedproxy/core/kwid"
)

// Steward decides the next change of membership of a log that keeps itself: members join as learners, and the steward
// of the leader makes them voters.
type Steward struct {
	// Wanted is how many voters bear the losses that the deployment tolerates: twice these and one.
	Wanted int
	// VMOf returns the VM part of a member id; a VM whose disk was replaced is another member on the same VM.
	VMOf func(kwid.NodeID) kwid.NodeID
	// Silence is how long a voter may be unheard before it is replaced.
	Silence time.Duration
	// Forget is how long a learner may be unheard before it is dropped.
	Forget time.Duration
	// Gather is how long a leader waits for members to join until it takes those that have for all that there are.
	Gather time.Duration
}

// Bears tells whether a leader may confirm what is logged. Until it has confirmed for the first time, the members that are
// wanted must have joined, or all that there are: a small deployment may have fewer than twice its tolerated losses and
// one, and refusing for ever would serve nobody. From then on members are only swapped, never fewer.
func (s Steward) Bears(now time.Time, n *Node, confirmed bool) bool {
	if confirmed || len(n.members.Voters) >= s.Wanted {
		return true
	}
	return len(n.members.Learners) == 0 && n.membersCommitted() && now.Sub(n.led) >= s.Gather
}

// Next returns the change to make now, or false.
func (s Steward) Next(now time.Time, n *Node) (Change, bool) {
	if n.role != Leader || !n.membersCommitted() {
		return Change{}, false
	}
	m := n.members
	silent := kwid.NodeID("")
	for _, id := range m.Voters {
		if id != n.cfg.ID && n.unheard(now, id) > s.Silence {
			silent = id
			break
		}
	}
	if silent != "" && len(m.Voters) > s.Wanted {
		return Change{Remove: silent}, true
	}
	for _, id := range m.Learners {
		if n.unheard(now, id) > s.Forget {
			return Change{Remove: id}, true
		}
		if n.peer(id).match < n.commit || n.unheard(now, id) > s.Silence {
			continue
		}
		if old := s.sameVM(m.Voters, id); old != "" {
			return Change{Promote: id, Remove: old}, true
		}
		if len(m.Voters) < s.Wanted || silent != "" && len(m.Voters) == s.Wanted {
			return Change{Promote: id}, true
		}
	}
	return Change{}, false
}

func (s Steward) sameVM(voters []kwid.NodeID, learner kwid.NodeID) kwid.NodeID {
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
