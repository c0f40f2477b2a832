package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// campaign starts an election; a pre-candidate first asks whether it could win, without raising the term.
func (n *Node) campaign(now time.Time, role Role, transfer bool) {
	kind := MsgPreVote
	term := n.hard.Term + 1
	if role == Candidate {
		kind = MsgVote
		n.become(Candidate, term, "")
		n.hard.Vote = n.cfg.ID
	} else {
		n.become(PreCandidate, n.hard.Term, "")
	}
	n.resetTimeout(now)
	n.votes = map[kwid.NodeID]bool{n.cfg.ID: true}
	if n.tally(true) >= n.members.Quorum() {
		n.win(now, transfer)
		return
	}
	lastTerm, _ := n.termAt(n.last())
	led := Term(0)
	if n.resigned > 0 && term == n.resigned+1 {
		led = n.resigned
	}
	for _, id := range n.members.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.last(), LogTerm: lastTerm, Transfer: transfer, LedTerm: led})
		}
	}
}

func (n *Node) tally(granted bool) int {
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
	if m.Term < n.hard.Term || !n.upToDate(m) {
		reply.Reject = true
		reply.Term = n.hard.Term
		n.send(reply)
		return
	}
	if m.Kind == MsgVote {
		free := n.hard.Vote == "" || n.hard.Vote == m.From
		if !free || n.role == Leader {
			reply.Reject = true
			n.send(reply)
			return
		}
		n.hard.Vote = m.From
		n.resetTimeout(now)
	}
	n.send(reply)
}

// upToDate tells whether a candidate's log holds all that this member's log holds.
func (n *Node) upToDate(m Message) bool {
	lastTerm, _ := n.termAt(n.last())
	if m.LogTerm != lastTerm {
		return m.LogTerm > lastTerm
	}
	return m.Index >= n.last()
}

func (n *Node) onVoteReply(now time.Time, m Message) {
	pre := m.Kind == MsgPreVoteReply
	if pre && n.role != PreCandidate || !pre && n.role != Candidate {
		return
	}
	wanted := n.hard.Term
	if pre {
		wanted++
	}
	if !m.Reject && m.Term != wanted {
		return
	}
	n.votes[m.From] = !m.Reject
	if n.tally(true) >= n.members.Quorum() {
		n.win(now, false)
		return
	}
	if n.tally(false) > len(n.members.Voters)-n.members.Quorum() {
		n.become(Follower, n.hard.Term, "")
	}
}

func (n *Node) win(now time.Time, transfer bool) {
	if n.role == PreCandidate {
		n.campaign(now, Candidate, transfer)
		return
	}
	n.become(Leader, n.hard.Term, n.cfg.ID)
	n.hard.LedTerm = n.hard.Term
	n.peers = make(map[kwid.NodeID]*progress)
	n.led = now
	n.beat = now.Add(n.cfg.HeartbeatInterval)
	members := n.members.clone()
	n.append(Entry{Kind: EntryMembers, Members: &members})
	n.replicate(now)
}

// peer returns the leader's view of a member, made when first asked for.
func (n *Node) peer(id kwid.NodeID) *progress {
	p, ok := n.peers[id]
	if !ok {
		p = &progress{next: n.last() + 1}
		n.peers[id] = p
	}
	return p
}

// everyPeer lists the other members in a fixed order.
func (n *Node) everyPeer() func(func(kwid.NodeID) bool) {
	ids := slices.Concat(n.members.Voters, n.members.Learners)
	return func(yield func(kwid.NodeID) bool) {
		for _, id := range ids {
			if id != n.cfg.ID && !yield(id) {
				return
			}
		}
	}
}

// quorumHeard tells whether a quorum has answered within the election timeout; a new leader has that long to be heard.
func (n *Node) quorumHeard(now time.Time) bool {
	if now.Sub(n.led) < n.cfg.MinElectionTimeout {
		return true
	}
	count := 0
	for _, id := range n.members.Voters {
		if id == n.cfg.ID || now.Sub(n.peer(id).replied) < n.cfg.MinElectionTimeout {
			count++
		}
	}
	return count >= n.members.Quorum()
}

// leaseSpan is how long after a quorum sent its answers no other leader can exist, by this member's clock.
func (n *Node) leaseSpan() time.Duration {
	return time.Duration(float64(n.cfg.MinElectionTimeout) * (1 - 2*n.cfg.MaxClockDrift))
}

// LeaseUntil returns when the leader's lease ends; the zero time means that it holds none.
func (n *Node) LeaseUntil(now time.Time) time.Time {
	if n.role != Leader || n.transfer != "" || !n.committedOwnTerm() {
		return time.Time{}
	}
	var acked []int64
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			acked = append(acked, now.UnixNano())
			continue
		}
		acked = append(acked, n.peer(id).acked)
	}
	slices.SortFunc(acked, func(a, b int64) int { return int(max(-1, min(1, b-a))) })
	quorum := acked[n.members.Quorum()-1]
	if quorum == 0 {
		return time.Time{}
	}
	return time.Unix(0, quorum).Add(n.leaseSpan())
}

// HoldsLease tells whether the member may answer reads from its own state: it is leader and its lease stands.
func (n *Node) HoldsLease(now time.Time) bool {
	return now.Before(n.LeaseUntil(now))
}

func (n *Node) committedOwnTerm() bool {
	term, ok := n.termAt(n.commit)
	return ok && term == n.hard.Term
}

// TransferLeadership hands leadership to the voter that holds most of the log; the leader takes no more proposals and
// steps down if the successor does not take over in time.
func (n *Node) TransferLeadership(now time.Time) bool {
	if n.role != Leader {
		return false
	}
	best := kwid.NodeID("")
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			continue
		}
		if best == "" || n.peer(id).match > n.peer(best).match {
			best = id
		}
	}
	if best == "" {
		return false
	}
	n.transfer = best
	n.handover = now.Add(n.cfg.MinElectionTimeout)
	n.offerLead()
	return true
}

// offerLead tells the chosen successor to campaign once it holds the whole log.
func (n *Node) offerLead() {
	if n.transfer != "" && n.peer(n.transfer).match == n.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transfer})
	}
}
