package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// MembershipChange is one step of membership. Promote and Remove together swap a learner for the voter whose disk it replaces,
// in one step; the caller must know that the removed member's disk is gone, so that it can never vote again. Any
// quorum of the remaining voters then meets every quorum before and after the step.
type MembershipChange struct {
	AddLearner kwid.NodeID
	Promote    kwid.NodeID
	Remove     kwid.NodeID
}

// ChangeMembers appends a new membership that differs by one node; only one change is under way at a time.
func (n *Node) ChangeMembers(now time.Time, c MembershipChange) (Index, error) {
	if n.role != Leader || !n.committedOwnTerm() {
		return 0, kwcode.New(kwcode.NotLeader, "%s is not the leader", n.cfg.ID)
	}
	if !n.membersCommitted() {
		return 0, kwcode.New(kwcode.RevisionConflict, "another membership change is under way")
	}
	next, err := n.changed(c)
	if err != nil {
		return 0, err
	}
	n.append(Entry{Kind: EntryMembers, Members: &next})
	n.replicate(now)
	return n.last(), nil
}

// membersCommitted tells whether the newest membership in the log is committed.
func (n *Node) membersCommitted() bool {
	for i := n.last(); i > n.commit; i-- {
		if n.entries[i-n.snap.Index-1].Kind == EntryMembers {
			return false
		}
	}
	return true
}

func (n *Node) changed(c MembershipChange) (Members, error) {
	next := n.members.clone()
	switch {
	case c.AddLearner != "":
		if next.IsVoter(c.AddLearner) || next.IsLearner(c.AddLearner) {
			return next, kwcode.New(kwcode.SettingsDuplicate, "%s is a member", c.AddLearner)
		}
		next.Learners = append(next.Learners, c.AddLearner)
	case c.Promote != "" && c.Remove != "" && !next.IsVoter(c.Remove):
		return next, kwcode.New(kwcode.NotFound, "%s is not a voter", c.Remove)
	case c.Promote != "":
		if !next.IsLearner(c.Promote) {
			return next, kwcode.New(kwcode.NotFound, "%s is not a learner", c.Promote)
		}
		if n.peer(c.Promote).match < n.commit {
			return next, kwcode.New(kwcode.RevisionConflict, "%s does not hold the committed log yet", c.Promote)
		}
		next.Learners = without(next.Learners, c.Promote)
		next.Voters = append(without(next.Voters, c.Remove), c.Promote)
	case c.Remove != "":
		next.Learners = without(next.Learners, c.Remove)
		next.Voters = without(next.Voters, c.Remove)
		if len(next.Voters) == 0 {
			return next, kwcode.New(kwcode.SettingsBadValue, "the last voter cannot be removed")
		}
	}
	return next, nil
}

func without(ids []kwid.NodeID, id kwid.NodeID) []kwid.NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(x kwid.NodeID) bool { return x == id })
}
