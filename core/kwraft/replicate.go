package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// replicate sends new entries to every member that is not waiting for an answer to a probe.
func (n *Node) replicate(now time.Time) {
	for id := range n.everyPeer() {
		n.sendAppend(now, id, false)
	}
}

// snapshotRetry is how many heartbeats a snapshot may take before it is sent again.
const snapshotRetry = 25

// sendAppend sends the entries that a member lacks, a snapshot if they are compacted, or a heartbeat.
func (n *Node) sendAppend(now time.Time, id kwid.NodeID, beat bool) {
	p := n.peer(id)
	if p.next <= n.snap.Index {
		n.sendSnapshot(now, id, p, beat)
		return
	}
	prevTerm, _ := n.termAt(p.next - 1)
	last := min(n.last(), p.next+Index(n.cfg.MaxBatchEntries)-1)
	if last < p.next && !beat {
		return
	}
	m := Message{
		Kind:      MsgAppend,
		To:        id,
		Index:     p.next - 1,
		LogTerm:   prevTerm,
		Commit:    n.commit,
		SentNanos: now.UnixNano(),
	}
	if last >= p.next {
		m.Entries = slices.Clone(n.slice(p.next, last))
		p.next = last + 1
	}
	n.send(m)
}

func (n *Node) sendSnapshot(now time.Time, id kwid.NodeID, p *progress, beat bool) {
	waiting := p.snapshot == n.snap.Index && now.Sub(p.sentAt) < snapshotRetry*n.cfg.HeartbeatInterval
	if waiting && beat {
		n.sendBeat(now, id)
	}
	if waiting {
		return
	}
	snap := n.snap
	m := Message{Kind: MsgSnapshot, To: id, SentNanos: now.UnixNano(), Commit: n.commit, Snapshot: &snap}
	p.snapshot = snap.Index
	p.sentAt = now
	n.send(m)
}

// sendBeat keeps a member that is loading a snapshot from starting an election.
func (n *Node) sendBeat(now time.Time, id kwid.NodeID) {
	n.send(Message{
		Kind:      MsgAppend,
		To:        id,
		Index:     n.snap.Index,
		LogTerm:   n.snap.Term,
		Commit:    n.snap.Index,
		SentNanos: now.UnixNano(),
	})
}

func (n *Node) follow(now time.Time, leader kwid.NodeID) {
	if n.role != Follower || n.leader != leader {
		n.become(Follower, n.hard.Term, leader)
	}
	n.heard = now
	n.resetTimeout(now)
}

func (n *Node) onAppend(now time.Time, m Message) {
	reply := Message{Kind: MsgAppendReply, To: m.From, SentNanos: m.SentNanos}
	if m.Term < n.hard.Term {
		reply.Reject = true
		reply.SentNanos = 0
		n.send(reply)
		return
	}
	n.follow(now, m.From)
	if m.Index < n.snap.Index {
		reply.Index = n.commit
		n.send(reply)
		return
	}
	term, ok := n.termAt(m.Index)
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Hint = n.hint(m.Index)
		n.send(reply)
		return
	}
	n.accept(m.Entries)
	matched := m.Index + Index(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, matched))
	reply.Index = matched
	n.send(reply)
}

// hint returns where the leader should look next: before the conflicting term, but never before the commit.
func (n *Node) hint(i Index) Index {
	if i > n.last() {
		return n.last()
	}
	term, _ := n.termAt(i)
	for i > n.commit {
		t, ok := n.termAt(i)
		if !ok || t != term {
			break
		}
		i--
	}
	return max(i, n.commit)
}

// accept appends entries that are not yet in the log and cuts off a conflicting rest.
func (n *Node) accept(entries []Entry) {
	for k, e := range entries {
		term, ok := n.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		n.entries = append(n.entries, slices.Clone(entries[k:])...)
		n.members = n.membersAt(n.last())
		return
	}
}

func (n *Node) truncate(from Index) {
	n.entries = slices.Clone(n.slice(n.snap.Index+1, from-1))
	n.stable = min(n.stable, from-1)
	n.emitted = min(n.emitted, from-1)
	n.members = n.membersAt(n.last())
}

func (n *Node) onAppendReply(now time.Time, m Message) {
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	p := n.peer(m.From)
	p.replied = now
	p.acked = max(p.acked, m.SentNanos)
	if m.Reject {
		p.next = max(p.match+1, min(p.next-1, m.Hint+1))
		n.sendAppend(now, m.From, false)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshot = 0
		n.advance(now)
	}
	p.next = max(p.next, p.match+1)
	if p.next <= n.last() {
		n.sendAppend(now, m.From, false)
	}
	n.offerLead()
}

func (n *Node) onSnapshot(now time.Time, m Message) {
	if m.Term < n.hard.Term || m.Snapshot == nil {
		return
	}
	n.follow(now, m.From)
	reply := Message{Kind: MsgSnapshotReply, To: m.From, SentNanos: m.SentNanos}
	if m.Snapshot.Index <= n.commit {
		reply.Index = n.commit
		n.send(reply)
		return
	}
	n.restore(*m.Snapshot)
	reply.Index = m.Snapshot.Index
	n.send(reply)
}

// restore replaces the log by a snapshot; entries after it stay if they continue it.
func (n *Node) restore(s Snapshot) {
	term, ok := n.termAt(s.Index)
	if ok && term == s.Term {
		n.entries = slices.Clone(n.slice(s.Index+1, n.last()))
	} else {
		n.entries = nil
	}
	n.snap = s
	n.commit = s.Index
	n.applied = s.Index
	n.stable = max(s.Index, min(n.stable, n.last()))
	n.emitted = max(s.Index, min(n.emitted, n.last()))
	n.members = n.membersAt(n.last())
	kept := s
	n.install = &kept
}

// advance commits the largest entry of the present term that a quorum holds on disk.
func (n *Node) advance(now time.Time) {
	var held []Index
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			held = append(held, n.stable)
			continue
		}
		held = append(held, n.peer(id).match)
	}
	if len(held) == 0 {
		return
	}
	slices.Sort(held)
	quorum := held[len(held)-n.members.Quorum()]
	term, ok := n.termAt(quorum)
	if !ok || quorum <= n.commit || term != n.hard.Term {
		return
	}
	n.commit = quorum
	for id := range n.everyPeer() {
		n.sendAppend(now, id, true)
	}
	n.leaveIfRemoved()
}

// leaveIfRemoved ends the leadership of a member once its own removal is committed.
func (n *Node) leaveIfRemoved() {
	if n.members.IsVoter(n.cfg.ID) || !n.membersCommitted() {
		return
	}
	n.become(Follower, n.hard.Term, "")
}
