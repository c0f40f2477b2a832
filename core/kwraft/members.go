package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// MembershipChange is a single change of the membership. Promote and Remove together replace a voter by a learner in
// one step. The caller must know that the removed voter has lost its disk and can never vote again: only then does
// every quorum of the remaining voters overlap every quorum before and after the change.
type MembershipChange struct {
	AddLearner kwid.NodeID
	Promote    kwid.NodeID
	Remove     kwid.NodeID
}

// ChangeMembers appends a new membership that differs from the current one by a single change. It returns
// NotLeader unless this member is the leader and has committed an entry of its own term, and RevisionConflict while an
// earlier change is not yet committed.
func (n *Node) ChangeMembers(now time.Time, c MembershipChange) (Index, error) {
	if n.role != Leader || !n.committedInOwnTerm() {
		return 0, kwcode.New(kwcode.NotLeader, "%s is not the leader", n.cfg.ID)
	}
	if !n.membersCommitted() {
		return 0, kwcode.New(kwcode.RevisionConflict, "another membership change is in progress")
	}
	next, err := n.membersAfter(c)
	if err != nil {
		return 0, err
	}
	n.append(Entry{Kind: EntryMembers, Members: &next})
	n.replicate(now)
	return n.lastIndex(), nil
}

// membersCommitted reports whether the latest membership in the log is committed.
func (n *Node) membersCommitted() bool {
	for i := n.lastIndex(); i > n.commit; i-- {
		if n.entries[i-n.snapshot.Index-1].Kind == EntryMembers {
			return false
		}
	}
	return true
}

// membersAfter returns the membership that results from a change.
func (n *Node) membersAfter(c MembershipChange) (Members, error) {
	next := n.members.clone()
	switch {
	case c.AddLearner != "":
		if next.IsVoter(c.AddLearner) || next.IsLearner(c.AddLearner) {
			return next, kwcode.New(kwcode.SettingsDuplicate, "%s is already a member", c.AddLearner)
		}
		next.Learners = append(next.Learners, c.AddLearner)
	case c.Promote != "" && c.Remove != "" && !next.IsVoter(c.Remove):
		return next, kwcode.New(kwcode.NotFound, "%s is not a voter", c.Remove)
	case c.Promote != "":
		if !next.IsLearner(c.Promote) {
			return next, kwcode.New(kwcode.NotFound, "%s is not a learner", c.Promote)
		}
		if n.progressOf(c.Promote).match < n.commit {
			return next, kwcode.New(kwcode.RevisionConflict, "%s does not hold the committed log yet", c.Promote)
		}
		next.Learners = withoutID(next.Learners, c.Promote)
		next.Voters = append(withoutID(next.Voters, c.Remove), c.Promote)
	case c.Remove != "":
		next.Learners = withoutID(next.Learners, c.Remove)
		next.Voters = withoutID(next.Voters, c.Remove)
		if len(next.Voters) == 0 {
			return next, kwcode.New(kwcode.SettingsBadValue, "the last voter cannot be removed")
		}
	}
	return next, nil
}

func withoutID(ids []kwid.NodeID, id kwid.NodeID) []kwid.NodeID {
	return slices.DeleteFunc(slices.Clone(ids), func(x kwid.NodeID) bool { return x == id })
}
