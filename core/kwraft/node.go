package kwraft

import (
	"math/rand/v2"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// progress is what a leader knows of another member.
type progress struct {
	match    Index
	next     Index
	acked    int64
	replied  time.Time
	snapshot Index
	sentAt   time.Time
}

// Node is one member; it is owned by one goroutine and does no I/O.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	role    Role
	hard    HardState
	saved   HardState
	leader  kwid.NodeID
	snap    Snapshot
	entries []Entry
	stable  Index
	emitted Index
	commit  Index
	applied Index
	members Members
	peers   map[kwid.NodeID]*progress
	votes   map[kwid.NodeID]bool
	timeout time.Time
	heard   time.Time
	started time.Time
	// resigned is the term that this member led when it ended, 0 if another may lead it.
	resigned Term
	beat     time.Time
	led      time.Time
	install  *Snapshot
	early    []Message
	outbox   []Message
	transfer kwid.NodeID
	handover time.Time
}

// New returns a member that continues from what its disk held.
func New(cfg Config, now time.Time, from PersistentState) *Node {
	n := &Node{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		role:    Follower,
		hard:    from.HardState,
		saved:   from.HardState,
		snap:    from.Snapshot,
		entries: append([]Entry(nil), from.Entries...),
		started: now,
	}
	n.commit = n.snap.Index
	n.applied = n.snap.Index
	n.stable = n.last()
	n.emitted = n.stable
	n.members = n.membersAt(n.last())
	n.resetTimeout(now)
	if n.hard.LedTerm > 0 && n.hard.LedTerm == n.hard.Term {
		n.resigned = n.hard.LedTerm
		n.timeout = now
	}
	if len(n.members.Voters) == 1 && n.members.IsVoter(cfg.ID) {
		n.timeout = now
	}
	return n
}

// Bootstrap returns the disk content of a member of a new cluster.
func Bootstrap(members Members) PersistentState {
	return PersistentState{Snapshot: Snapshot{Members: members}}
}

func (n *Node) last() Index {
	return n.snap.Index + Index(len(n.entries))
}

// termAt returns the term of an entry; false means that it is compacted or not there.
func (n *Node) termAt(i Index) (Term, bool) {
	if i == n.snap.Index {
		return n.snap.Term, true
	}
	if i < n.snap.Index || i > n.last() {
		return 0, false
	}
	return n.entries[i-n.snap.Index-1].Term, true
}

func (n *Node) slice(from, to Index) []Entry {
	return n.entries[from-n.snap.Index-1 : to-n.snap.Index]
}

// membersAt returns the membership in force after an entry.
func (n *Node) membersAt(i Index) Members {
	for k := i; k > n.snap.Index; k-- {
		e := n.entries[k-n.snap.Index-1]
		if e.Kind == EntryMembers {
			return e.Members.clone()
		}
	}
	return n.snap.Members.clone()
}

func (n *Node) resetTimeout(now time.Time) {
	spread := time.Duration(n.rng.Int64N(int64(n.cfg.MinElectionTimeout)))
	n.timeout = now.Add(n.cfg.MinElectionTimeout + spread)
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	m.Term = max(m.Term, n.hard.Term)
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		n.early = append(n.early, m)
		return
	}
	n.outbox = append(n.outbox, m)
}

func (n *Node) become(role Role, term Term, leader kwid.NodeID) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	n.role = role
	n.leader = leader
	n.votes = nil
	n.transfer = ""
	if role != Leader {
		n.peers = nil
	}
}

// Tick lets time pass: elections, heartbeats and the end of a leadership without a quorum.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.timeout) {
		return
	}
	n.resetTimeout(now)
	if n.members.IsVoter(n.cfg.ID) {
		n.campaign(now, PreCandidate, false)
	}
	if n.mayResume(now) {
		n.timeout = now.Add(n.cfg.HeartbeatInterval)
	}
}

// mayResume tells whether this member asks for its leadership back: it led the newest term that it knows of when it ended.
// After the end of all members nobody else holds a lease, and the others need not wait until one might have run out.
// It asks again and again, since they may start a moment later, until it is an election like any other.
func (n *Node) mayResume(now time.Time) bool {
	return n.resigned > 0 && n.resigned == n.hard.Term && n.leader == "" && now.Sub(n.started) < n.cfg.MinElectionTimeout
}

func (n *Node) tickLeader(now time.Time) {
	failed := n.transfer != "" && now.After(n.handover)
	if failed || !n.quorumHeard(now) {
		n.become(Follower, n.hard.Term, "")
		n.resetTimeout(now)
		return
	}
	if now.Before(n.beat) {
		return
	}
	n.beat = now.Add(n.cfg.HeartbeatInterval)
	for id := range n.everyPeer() {
		n.sendAppend(now, id, true)
	}
}

// Step takes one message from another member.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.cfg.ID {
		return
	}
	if n.ignores(now, m) {
		return
	}
	if m.Term > n.hard.Term && raisesTerm(m) {
		leader := kwid.NodeID("")
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
			leader = m.From
		}
		n.become(Follower, m.Term, leader)
		n.resetTimeout(now)
	}
	n.dispatch(now, m)
}

func raisesTerm(m Message) bool {
	return m.Kind != MsgPreVote && (m.Kind != MsgPreVoteReply || m.Reject)
}

// ignores drops requests for votes while a leader's lease may stand; a transfer is the leader's own wish.
func (n *Node) ignores(now time.Time, m Message) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote {
		return false
	}
	if m.Transfer {
		return false
	}
	if m.LedTerm > 0 && m.LedTerm >= n.hard.Term {
		// The candidate led the newest term that this member knows of and does not any more: no lease stands.
		return false
	}
	if n.role == Leader {
		return n.quorumHeard(now)
	}
	return now.Sub(n.heard) < n.cfg.MinElectionTimeout || now.Sub(n.started) < n.cfg.MinElectionTimeout
}

func (n *Node) dispatch(now time.Time, m Message) {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.onVote(now, m)
	case MsgPreVoteReply, MsgVoteReply:
		n.onVoteReply(now, m)
	case MsgAppend:
		n.onAppend(now, m)
	case MsgAppendReply:
		n.onAppendReply(now, m)
	case MsgSnapshot:
		n.onSnapshot(now, m)
	case MsgSnapshotReply:
		n.onAppendReply(now, m)
	case MsgTimeoutNow:
		if m.Term == n.hard.Term && n.members.IsVoter(n.cfg.ID) {
			n.campaign(now, Candidate, true)
		}
	}
}

// Propose appends commands as leader and returns the index of the first; others get NotLeader.
func (n *Node) Propose(now time.Time, data [][]byte) (Index, error) {
	if n.role != Leader || n.transfer != "" {
		return 0, kwcode.New(kwcode.NotLeader, "%s is not the leader", n.cfg.ID)
	}
	first := n.last() + 1
	for _, d := range data {
		n.append(Entry{Kind: EntryData, Data: d})
	}
	n.replicate(now)
	return first, nil
}

func (n *Node) append(e Entry) {
	e.Index = n.last() + 1
	e.Term = n.hard.Term
	n.entries = append(n.entries, e)
	if e.Kind == EntryMembers {
		n.members = e.Members.clone()
	}
}

// Ready returns the work to do; the caller persists it and then calls Persisted.
func (n *Node) Ready() Ready {
	out := Ready{ImmediateMessages: n.early, Snapshot: n.install, Messages: n.outbox}
	n.early = nil
	n.outbox = nil
	n.install = nil
	if n.hard != n.saved {
		hard := n.hard
		out.HardState = &hard
		n.saved = n.hard
	}
	if n.emitted < n.last() {
		out.Entries = append(out.Entries, n.slice(n.emitted+1, n.last())...)
		n.emitted = n.last()
	}
	limit := min(n.commit, n.stable)
	if n.applied < limit {
		out.Committed = append(out.Committed, n.slice(n.applied+1, limit)...)
		n.applied = limit
	}
	return out
}

// Persisted tells the member that all entries of the last Ready are synced on its disk.
func (n *Node) Persisted(now time.Time) {
	n.stable = n.emitted
	if n.role == Leader {
		n.advance(now)
	}
}

// Compact drops entries up to an applied index; state is the state machine's state after it.
func (n *Node) Compact(index Index, state []byte) {
	term, ok := n.termAt(index)
	if !ok || index > n.applied || index <= n.snap.Index {
		return
	}
	members := n.membersAt(index)
	n.entries = append([]Entry(nil), n.slice(index+1, n.last())...)
	n.snap = Snapshot{Index: index, Term: term, Members: members, State: state}
}

// PersistentState returns what must be on disk for the member to continue from its present state.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{HardState: n.hard, Snapshot: n.snap, Entries: n.entries}
}

// Status is what a member tells of itself.
type Status struct {
	ID            kwid.NodeID `json:"id"`
	Role          Role        `json:"role"`
	Term          Term        `json:"term"`
	Leader        kwid.NodeID `json:"leader"`
	LastIndex     Index       `json:"last-index"`
	CommitIndex   Index       `json:"commit-index"`
	AppliedIndex  Index       `json:"applied-index"`
	SnapshotIndex Index       `json:"snapshot-index"`
	Members       Members     `json:"members"`
}

// Status returns the member's present state.
func (n *Node) Status() Status {
	return Status{
		ID:            n.cfg.ID,
		Role:          n.role,
		Term:          n.hard.Term,
		Leader:        n.leader,
		LastIndex:     n.last(),
		CommitIndex:   n.commit,
		AppliedIndex:  n.applied,
		SnapshotIndex: n.snap.Index,
		Members:       n.members.clone(),
	}
}
