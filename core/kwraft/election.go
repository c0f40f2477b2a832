package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// campaign starts an election. As a pre-candidate, a member first asks whether it could win, without raising its term.
func (n *Node) campaign(now time.Time, role Role, transfer bool) {
	kind := MsgPreVote
	term := n.hardState.Term + 1
	if role == Candidate {
		kind = MsgVote
		n.become(Candidate, term, "")
		n.hardState.Vote = n.cfg.ID
	} else {
		n.become(PreCandidate, n.hardState.Term, "")
	}
	n.resetElectionDeadline(now)
	n.votes = map[kwid.NodeID]bool{n.cfg.ID: true}
	if n.countVotes(true) >= n.members.Quorum() {
		n.winElection(now, transfer)
		return
	}
	lastTerm, _ := n.termAt(n.lastIndex())
	ledTerm := Term(0)
	if n.ledBeforeRestart > 0 && term == n.ledBeforeRestart+1 {
		ledTerm = n.ledBeforeRestart
	}
	for _, id := range n.members.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.lastIndex(), LogTerm: lastTerm, Transfer: transfer, LedTerm: ledTerm})
		}
	}
}

func (n *Node) countVotes(granted bool) int {
	count := 0
	for id, v := range n.votes {
		if v == granted && n.members.IsVoter(id) {
			count++
		}
	}
	return count
}

func (n *Node) onVote(now time.Time, m Message) {
	reply := Message{Kind: MsgVoteReply, To: m.From, Term: m.Term}
	if m.Kind == MsgPreVote {
		reply.Kind = MsgPreVoteReply
	}
	if m.Term < n.hardState.Term || !n.upToDate(m) {
		reply.Reject = true
		reply.Term = n.hardState.Term
		n.send(reply)
		return
	}
	if m.Kind == MsgVote {
		canVote := n.hardState.Vote == "" || n.hardState.Vote == m.From
		if !canVote || n.role == Leader {
			reply.Reject = true
			n.send(reply)
			return
		}
		n.hardState.Vote = m.From
		n.resetElectionDeadline(now)
	}
	n.send(reply)
}

// upToDate reports whether a candidate's log is at least as up to date as this member's.
func (n *Node) upToDate(m Message) bool {
	lastTerm, _ := n.termAt(n.lastIndex())
	if m.LogTerm != lastTerm {
		return m.LogTerm > lastTerm
	}
	return m.Index >= n.lastIndex()
}

func (n *Node) onVoteReply(now time.Time, m Message) {
	pre := m.Kind == MsgPreVoteReply
	if pre && n.role != PreCandidate || !pre && n.role != Candidate {
		return
	}
	expectedTerm := n.hardState.Term
	if pre {
		expectedTerm++
	}
	if !m.Reject && m.Term != expectedTerm {
		return
	}
	n.votes[m.From] = !m.Reject
	if n.countVotes(true) >= n.members.Quorum() {
		n.winElection(now, false)
		return
	}
	if n.countVotes(false) > len(n.members.Voters)-n.members.Quorum() {
		n.become(Follower, n.hardState.Term, "")
	}
}

func (n *Node) winElection(now time.Time, transfer bool) {
	if n.role == PreCandidate {
		n.campaign(now, Candidate, transfer)
		return
	}
	n.become(Leader, n.hardState.Term, n.cfg.ID)
	n.hardState.LedTerm = n.hardState.Term
	n.peers = make(map[kwid.NodeID]*progress)
	n.electedAt = now
	n.leaderlessSince = slices.MaxFunc([]time.Time{n.started, n.lastLeaderContact, n.ledUntil}, time.Time.Compare)
	n.nextHeartbeat = now.Add(n.cfg.HeartbeatInterval)
	members := n.members.clone()
	n.append(Entry{Kind: EntryMembers, Members: &members})
	n.replicate(now)
}

// progressOf returns the replication progress of a member and creates it on first use.
func (n *Node) progressOf(id kwid.NodeID) *progress {
	p, ok := n.peers[id]
	if !ok {
		p = &progress{next: n.lastIndex() + 1}
		n.peers[id] = p
	}
	return p
}

// otherMembers iterates over the other voters and learners in a fixed order.
func (n *Node) otherMembers() func(func(kwid.NodeID) bool) {
	ids := slices.Concat(n.members.Voters, n.members.Learners)
	return func(yield func(kwid.NodeID) bool) {
		for _, id := range ids {
			if id != n.cfg.ID && !yield(id) {
				return
			}
		}
	}
}

// quorumActive reports whether a quorum has replied within the minimum election timeout. A new leader is given that
// long to receive the first replies.
func (n *Node) quorumActive(now time.Time) bool {
	if now.Sub(n.electedAt) < n.cfg.MinElectionTimeout {
		return true
	}
	count := 0
	for _, id := range n.members.Voters {
		if id == n.cfg.ID || now.Sub(n.progressOf(id).lastReply) < n.cfg.MinElectionTimeout {
			count++
		}
	}
	return count >= n.members.Quorum()
}

// leaseDuration is how long, by this member's clock, no other leader can be elected after the leader has sent a
// message that a quorum then acknowledged. It allows for clock drift in both directions.
func (n *Node) leaseDuration() time.Duration {
	return time.Duration(float64(n.cfg.MinElectionTimeout) * (1 - 2*n.cfg.MaxClockDrift))
}

// LeaseUntil returns when the leader's lease expires, or the zero time if it holds none.
func (n *Node) LeaseUntil(now time.Time) time.Time {
	if n.role != Leader || n.transferTarget != "" || !n.committedInOwnTerm() {
		return time.Time{}
	}
	var acked []int64
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			acked = append(acked, now.UnixNano())
			continue
		}
		acked = append(acked, n.progressOf(id).ackedNanos)
	}
	slices.SortFunc(acked, func(a, b int64) int { return int(max(-1, min(1, b-a))) })
	quorumAcked := acked[n.members.Quorum()-1]
	if quorumAcked == 0 {
		return time.Time{}
	}
	return time.Unix(0, quorumAcked).Add(n.leaseDuration())
}

// HoldsLease reports whether the member may serve reads from its local state: it is the leader and its lease has not
// expired.
func (n *Node) HoldsLease(now time.Time) bool {
	return now.Before(n.LeaseUntil(now))
}

// committedInOwnTerm reports whether an entry of the current term is committed.
func (n *Node) committedInOwnTerm() bool {
	term, ok := n.termAt(n.commit)
	return ok && term == n.hardState.Term
}

// TransferLeadership starts a transfer to the voter whose log is the most complete. The leader takes no more
// proposals, and steps down if the target has not taken over within the minimum election timeout. It returns false if
// this member is not the leader or there is no other voter.
func (n *Node) TransferLeadership(now time.Time) bool {
	if n.role != Leader {
		return false
	}
	best := kwid.NodeID("")
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			continue
		}
		if best == "" || n.progressOf(id).match > n.progressOf(best).match {
			best = id
		}
	}
	if best == "" {
		return false
	}
	n.transferTarget = best
	n.transferDeadline = now.Add(n.cfg.MinElectionTimeout)
	n.sendTimeoutNow()
	return true
}

// sendTimeoutNow tells the transfer target to campaign as soon as it holds the whole log.
func (n *Node) sendTimeoutNow() {
	if n.transferTarget != "" && n.progressOf(n.transferTarget).match == n.lastIndex() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transferTarget})
	}
}
