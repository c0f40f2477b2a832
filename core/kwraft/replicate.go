package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// replicate sends each other member the entries that have not been sent to it yet.
func (n *Node) replicate(now time.Time) {
	for id := range n.otherMembers() {
		n.sendAppend(now, id, false)
	}
}

// sendAppend sends the entries that a member lacks, or a snapshot if they are already compacted. If there is nothing
// to send, it sends an empty append as a heartbeat when heartbeat is set.
//
// Small appends are pipelined: the next index moves on before the reply. A bulk message is sent alone, to a member that has replied
// lately and has confirmed the small ones before it; heartbeats go on beside it.
func (n *Node) sendAppend(now time.Time, id kwid.NodeID, heartbeat bool) {
	p := n.progressOf(id)
	if p.transfer != nil && now.After(p.transfer.deadline) {
		p.abandonTransfer()
	}
	m := Message{Kind: MsgAppend, To: id, Index: p.next - 1, Commit: n.commit, SentNanos: now.UnixNano()}
	switch {
	case p.transfer != nil:
		m.Index = p.transfer.after
	case p.next <= n.snapshot.Index:
		if n.mayTransfer(now, id, p) {
			n.sendSnapshot(now, id, p)
			return
		}
	default:
		m.Entries = n.nextBatch(p)
		if m.Bulk() && !n.mayTransfer(now, id, p) || p.pipelined > 0 && p.pipelined+m.DataBytes() > n.cfg.MaxBatchBytes {
			m.Entries = nil
		}
	}
	if len(m.Entries) == 0 && !heartbeat {
		return
	}
	// A member that lacks compacted entries rejects the heartbeat, and hears from its leader by it.
	m.Index = max(m.Index, n.snapshot.Index)
	m.LogTerm, _ = n.termAt(m.Index)
	n.recordSent(now, p, m)
	n.send(m)
}

// nextBatch returns the entries that are to be sent next to a member, within the bounds of a message.
func (n *Node) nextBatch(p *progress) []Entry {
	last := min(n.lastIndex(), p.next+Index(n.cfg.MaxBatchEntries)-1)
	if last < p.next {
		return nil
	}
	entries := n.entriesBetween(p.next, last)
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > n.cfg.MaxBatchBytes {
			entries = entries[:i]
			break
		}
	}
	return slices.Clone(entries)
}

// recordSent notes the entries of an append that is about to be sent.
func (n *Node) recordSent(now time.Time, p *progress, m Message) {
	if len(m.Entries) == 0 {
		return
	}
	p.next = m.Entries[len(m.Entries)-1].Index + 1
	if m.Bulk() {
		p.transfer = &transfer{after: m.Index, last: p.next - 1, deadline: n.transferDeadlineAfter(now, m)}
		return
	}
	p.pipelined += m.DataBytes()
}

func (n *Node) sendSnapshot(now time.Time, id kwid.NodeID, p *progress) {
	snap := n.snapshot
	m := Message{Kind: MsgSnapshot, To: id, SentNanos: now.UnixNano(), Commit: n.commit, Snapshot: &snap}
	p.transfer = &transfer{after: p.next - 1, last: snap.Index, deadline: n.transferDeadlineAfter(now, m)}
	n.send(m)
}

func (n *Node) followLeader(now time.Time, leader kwid.NodeID) {
	if n.role != Follower || n.leader != leader {
		n.become(Follower, n.hardState.Term, leader)
	}
	n.lastLeaderContact = now
	n.resetElectionDeadline(now)
}

func (n *Node) onAppend(now time.Time, m Message) {
	reply := Message{Kind: MsgAppendReply, To: m.From, SentNanos: m.SentNanos}
	if m.Term < n.hardState.Term {
		reply.Reject = true
		reply.SentNanos = 0
		n.send(reply)
		return
	}
	n.followLeader(now, m.From)
	if m.Index < n.snapshot.Index {
		reply.Index = n.commit
		n.send(reply)
		return
	}
	term, ok := n.termAt(m.Index)
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.RejectHint = n.conflictHint(m.Index)
		n.send(reply)
		return
	}
	n.appendMissing(m.Entries)
	matched := m.Index + Index(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, matched))
	reply.Index = matched
	n.send(reply)
}

// conflictHint returns the index after which the leader should retry: the last entry before the conflicting term, but
// not before the commit index.
func (n *Node) conflictHint(i Index) Index {
	if i > n.lastIndex() {
		return n.lastIndex()
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

// appendMissing appends the entries that are not in the log yet and truncates the log at the first conflict.
func (n *Node) appendMissing(entries []Entry) {
	for k, e := range entries {
		term, ok := n.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			n.truncate(e.Index)
		}
		n.entries = append(n.entries, slices.Clone(entries[k:])...)
		n.members = n.membersAt(n.lastIndex())
		return
	}
}

func (n *Node) truncate(from Index) {
	n.entries = slices.Clone(n.entriesBetween(n.snapshot.Index+1, from-1))
	n.synced = min(n.synced, from-1)
	n.emitted = min(n.emitted, from-1)
	n.members = n.membersAt(n.lastIndex())
}

func (n *Node) onAppendReply(now time.Time, m Message) {
	if n.role != Leader || m.Term != n.hardState.Term {
		return
	}
	p := n.progressOf(m.From)
	p.lastReply = now
	p.ackedNanos = max(p.ackedNanos, m.SentNanos)
	if m.Reject {
		n.onRejectedAppend(now, p, m)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		n.advanceCommit(now)
	}
	if p.transfer != nil && p.match >= p.transfer.last {
		p.transfer = nil
	}
	p.next = max(p.next, p.match+1)
	if p.match == p.next-1 {
		p.pipelined = 0
	}
	if p.next <= n.lastIndex() {
		n.sendAppend(now, m.From, false)
	}
	n.sendTimeoutNow()
}

// onRejectedAppend moves back to the entries that a member lacks. Replies to heartbeats beside a transfer say nothing new.
func (n *Node) onRejectedAppend(now time.Time, p *progress, m Message) {
	if t := p.transfer; t != nil && (t.after <= p.match || m.RejectHint >= t.after) {
		return
	}
	p.transfer = nil
	p.pipelined = 0
	p.next = max(p.match+1, min(p.next-1, m.RejectHint+1))
	n.sendAppend(now, m.From, false)
}

func (n *Node) onSnapshot(now time.Time, m Message) {
	if m.Term < n.hardState.Term || m.Snapshot == nil {
		return
	}
	n.followLeader(now, m.From)
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

// restore replaces the log by a snapshot. Entries after the snapshot are kept if the log matches the snapshot at its
// index.
func (n *Node) restore(s Snapshot) {
	term, ok := n.termAt(s.Index)
	if ok && term == s.Term {
		n.entries = slices.Clone(n.entriesBetween(s.Index+1, n.lastIndex()))
	} else {
		n.entries = nil
	}
	n.snapshot = s
	n.commit = s.Index
	n.applied = s.Index
	n.synced = max(s.Index, min(n.synced, n.lastIndex()))
	n.emitted = max(s.Index, min(n.emitted, n.lastIndex()))
	n.members = n.membersAt(n.lastIndex())
	pending := s
	n.pendingSnapshot = &pending
}

// advanceCommit moves the commit index to the last entry of the current term that a quorum has synced to disk. Raft
// does not commit entries of earlier terms by counting replicas.
func (n *Node) advanceCommit(now time.Time) {
	var matched []Index
	for _, id := range n.members.Voters {
		if id == n.cfg.ID {
			matched = append(matched, n.synced)
			continue
		}
		matched = append(matched, n.progressOf(id).match)
	}
	if len(matched) == 0 {
		return
	}
	slices.Sort(matched)
	quorumIndex := matched[len(matched)-n.members.Quorum()]
	term, ok := n.termAt(quorumIndex)
	if !ok || quorumIndex <= n.commit || term != n.hardState.Term {
		return
	}
	n.commit = quorumIndex
	for id := range n.otherMembers() {
		n.sendAppend(now, id, true)
	}
	n.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a member once its own removal is committed.
func (n *Node) stepDownIfRemoved() {
	if n.members.IsVoter(n.cfg.ID) || !n.membersCommitted() {
		return
	}
	n.become(Follower, n.hardState.Term, "")
}
