package kwraft

import (
	"math/rand/v2"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// progress is the leader's view of the replication to another member.
type progress struct {
	// match is the last index known to be replicated; next is the next index to send.
	match Index
	next  Index
	// ackedNanos is the latest SentNanos that the member has echoed.
	ackedNanos int64
	lastReply  time.Time
	// pipelined is the size of the commands in the appends that were sent since the member last held all that was sent.
	pipelined int
	// transfer is the bulk message that the member is receiving, nil if there is none.
	transfer *transfer
}

// Node is one Raft member. It does no I/O and is not safe for concurrent use: one goroutine owns it.
type Node struct {
	cfg       Config
	rng       *rand.Rand
	role      Role
	hardState HardState
	// savedHardState is the last hard state that Ready returned.
	savedHardState HardState
	leader         kwid.NodeID
	snapshot       Snapshot
	entries        []Entry
	// synced is the last index that is synced to this member's disk; emitted is the last index that Ready returned.
	synced            Index
	emitted           Index
	commit            Index
	applied           Index
	members           Members
	peers             map[kwid.NodeID]*progress
	votes             map[kwid.NodeID]bool
	electionDeadline  time.Time
	lastLeaderContact time.Time
	started           time.Time
	// ledBeforeRestart is the latest term if this member was its leader before the restart, and 0 otherwise.
	ledBeforeRestart Term
	nextHeartbeat    time.Time
	electedAt        time.Time
	// ledUntil is when this member last led. leaderlessSince is when it last had a leader, itself included, before it was elected.
	ledUntil, leaderlessSince time.Time
	pendingSnapshot           *Snapshot
	immediate                 []Message
	outbox                    []Message
	transferTarget            kwid.NodeID
	transferDeadline          time.Time
}

// New returns a member that continues from its persistent state.
func New(cfg Config, now time.Time, from PersistentState) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		role:           Follower,
		hardState:      from.HardState,
		savedHardState: from.HardState,
		snapshot:       from.Snapshot,
		entries:        append([]Entry(nil), from.Entries...),
		started:        now,
	}
	n.commit = n.snapshot.Index
	n.applied = n.snapshot.Index
	n.synced = n.lastIndex()
	n.emitted = n.synced
	n.members = n.membersAt(n.lastIndex())
	n.resetElectionDeadline(now)
	if n.hardState.LedTerm > 0 && n.hardState.LedTerm == n.hardState.Term {
		n.ledBeforeRestart = n.hardState.LedTerm
		n.electionDeadline = now
	}
	if len(n.members.Voters) == 1 && n.members.IsVoter(cfg.ID) {
		n.electionDeadline = now
	}
	return n
}

// Bootstrap returns the initial persistent state of a member of a new cluster.
func Bootstrap(members Members) PersistentState {
	return PersistentState{Snapshot: Snapshot{Members: members}}
}

func (n *Node) lastIndex() Index {
	return n.snapshot.Index + Index(len(n.entries))
}

// termAt returns the term of an entry, or false if the entry is compacted or does not exist.
func (n *Node) termAt(i Index) (Term, bool) {
	if i == n.snapshot.Index {
		return n.snapshot.Term, true
	}
	if i < n.snapshot.Index || i > n.lastIndex() {
		return 0, false
	}
	return n.entries[i-n.snapshot.Index-1].Term, true
}

func (n *Node) entriesBetween(from, to Index) []Entry {
	return n.entries[from-n.snapshot.Index-1 : to-n.snapshot.Index]
}

// membersAt returns the membership in effect after an entry is appended.
func (n *Node) membersAt(i Index) Members {
	for k := i; k > n.snapshot.Index; k-- {
		e := n.entries[k-n.snapshot.Index-1]
		if e.Kind == EntryMembers {
			return e.Members.clone()
		}
	}
	return n.snapshot.Members.clone()
}

// MembersPosition returns the position of the latest membership in the log, or that of the snapshot if the log holds none.
func (n *Node) MembersPosition() Position {
	for i := len(n.entries) - 1; i >= 0; i-- {
		if e := n.entries[i]; e.Kind == EntryMembers {
			return Position{Term: e.Term, Index: e.Index}
		}
	}
	return Position{Term: n.snapshot.Term, Index: n.snapshot.Index}
}

func (n *Node) resetElectionDeadline(now time.Time) {
	jitter := time.Duration(n.rng.Int64N(int64(n.cfg.MinElectionTimeout)))
	n.electionDeadline = now.Add(n.cfg.MinElectionTimeout + jitter)
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	m.Term = max(m.Term, n.hardState.Term)
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		n.immediate = append(n.immediate, m)
		return
	}
	n.outbox = append(n.outbox, m)
}

func (n *Node) become(role Role, term Term, leader kwid.NodeID) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	n.role = role
	n.leader = leader
	n.votes = nil
	n.transferTarget = ""
	if role != Leader {
		n.peers = nil
	}
}

// Tick advances the time: it starts elections, has other members forget a silent leader, sends heartbeats and makes a leader that has
// lost its quorum step down.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDeadline) {
		return
	}
	n.resetElectionDeadline(now)
	if n.members.IsVoter(n.cfg.ID) {
		n.campaign(now, PreCandidate, false)
	} else {
		n.become(Follower, n.hardState.Term, "")
	}
	if n.mayResumeLeadership(now) {
		n.electionDeadline = now.Add(n.cfg.HeartbeatInterval)
	}
}

// mayResumeLeadership reports whether this member may ask for its leadership back after a restart: it led the newest
// term that it knows of. No other member holds a lease after all members have stopped at once, so there is no lease to
// wait for. It repeats the request at the heartbeat interval during the first minimum election timeout, since the
// other members may start a little later; after that it runs ordinary elections.
func (n *Node) mayResumeLeadership(now time.Time) bool {
	return n.ledBeforeRestart > 0 && n.ledBeforeRestart == n.hardState.Term && n.leader == "" && now.Sub(n.started) < n.cfg.MinElectionTimeout
}

func (n *Node) tickLeader(now time.Time) {
	n.ledUntil = now
	transferExpired := n.transferTarget != "" && now.After(n.transferDeadline)
	if transferExpired || !n.quorumActive(now) {
		n.become(Follower, n.hardState.Term, "")
		n.resetElectionDeadline(now)
		return
	}
	if now.Before(n.nextHeartbeat) {
		return
	}
	n.nextHeartbeat = now.Add(n.cfg.HeartbeatInterval)
	for id := range n.otherMembers() {
		n.sendAppend(now, id, true)
	}
}

// Step processes a message from another member.
func (n *Node) Step(now time.Time, m Message) {
	if m.To != n.cfg.ID {
		return
	}
	if n.ignoresVoteRequest(now, m) {
		return
	}
	if m.Term > n.hardState.Term && raisesTerm(m) {
		leader := kwid.NodeID("")
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
			leader = m.From
		}
		n.become(Follower, m.Term, leader)
		n.resetElectionDeadline(now)
	}
	n.dispatch(now, m)
}

// raisesTerm reports whether a message with a higher term makes this member adopt it. Pre-vote requests and granted
// pre-votes carry the term of a future election.
func raisesTerm(m Message) bool {
	return m.Kind != MsgPreVote && (m.Kind != MsgPreVoteReply || m.Reject)
}

// ignoresVoteRequest reports whether a vote request must be dropped because a leader's lease may still be valid. A
// request for a leadership transfer is allowed, as the leader itself asked for it.
func (n *Node) ignoresVoteRequest(now time.Time, m Message) bool {
	if m.Kind != MsgPreVote && m.Kind != MsgVote {
		return false
	}
	if m.Transfer {
		return false
	}
	if m.LedTerm > 0 && m.LedTerm >= n.hardState.Term {
		// The candidate led the newest term that this member knows of and has restarted since, so no lease is valid.
		return false
	}
	if n.role == Leader {
		return n.quorumActive(now)
	}
	return now.Sub(n.lastLeaderContact) < n.cfg.MinElectionTimeout || now.Sub(n.started) < n.cfg.MinElectionTimeout
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
		if m.Term == n.hardState.Term && n.members.IsVoter(n.cfg.ID) {
			n.campaign(now, Candidate, true)
		}
	}
}

// Propose appends commands to the leader's log and returns the index of the first one. It returns NotLeader on any
// other member and during a leadership transfer.
func (n *Node) Propose(now time.Time, data [][]byte) (Index, error) {
	if n.role != Leader || n.transferTarget != "" {
		return 0, kwcode.New(kwcode.NotLeader, "%s is not the leader", n.cfg.ID)
	}
	first := n.lastIndex() + 1
	for _, d := range data {
		n.append(Entry{Kind: EntryData, Data: d})
	}
	n.replicate(now)
	return first, nil
}

func (n *Node) append(e Entry) {
	e.Index = n.lastIndex() + 1
	e.Term = n.hardState.Term
	n.entries = append(n.entries, e)
	if e.Kind == EntryMembers {
		n.members = e.Members.clone()
	}
}

// Ready returns the work to do. The caller persists the state and the entries and then calls Persisted.
func (n *Node) Ready() Ready {
	out := Ready{ImmediateMessages: n.immediate, Snapshot: n.pendingSnapshot, Messages: n.outbox}
	n.immediate = nil
	n.outbox = nil
	n.pendingSnapshot = nil
	if n.hardState != n.savedHardState {
		hard := n.hardState
		out.HardState = &hard
		n.savedHardState = n.hardState
	}
	if n.emitted < n.lastIndex() {
		out.Entries = append(out.Entries, n.entriesBetween(n.emitted+1, n.lastIndex())...)
		n.emitted = n.lastIndex()
	}
	limit := min(n.commit, n.synced)
	if n.applied < limit {
		out.Committed = append(out.Committed, n.entriesBetween(n.applied+1, limit)...)
		n.applied = limit
	}
	return out
}

// Persisted reports that all entries of the last Ready are synced to this member's disk.
func (n *Node) Persisted(now time.Time) {
	n.synced = n.emitted
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// CompactedState returns the state that must be on disk before Compact is called with the same arguments, or false if that would do nothing.
func (n *Node) CompactedState(index Index, state []byte) (PersistentState, bool) {
	term, ok := n.termAt(index)
	if !ok || index > n.applied || index <= n.snapshot.Index {
		return PersistentState{}, false
	}
	return PersistentState{
		HardState: n.hardState,
		Snapshot:  Snapshot{Index: index, Term: term, Members: n.membersAt(index), State: state},
		Entries:   append([]Entry(nil), n.entriesBetween(index+1, n.lastIndex())...),
	}, true
}

// Compact discards the entries up to an applied index; state is the snapshot of the state machine after that entry.
func (n *Node) Compact(index Index, state []byte) {
	if compacted, ok := n.CompactedState(index, state); ok {
		n.snapshot, n.entries = compacted.Snapshot, compacted.Entries
	}
}

// PersistentState returns the state that must be on disk for the member to restart from its current state.
func (n *Node) PersistentState() PersistentState {
	return PersistentState{HardState: n.hardState, Snapshot: n.snapshot, Entries: n.entries}
}

// Status describes the current state of a member.
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

// Status returns the current state of the member.
func (n *Node) Status() Status {
	return Status{
		ID:            n.cfg.ID,
		Role:          n.role,
		Term:          n.hardState.Term,
		Leader:        n.leader,
		LastIndex:     n.lastIndex(),
		CommitIndex:   n.commit,
		AppliedIndex:  n.applied,
		SnapshotIndex: n.snapshot.Index,
		Members:       n.members.clone(),
	}
}
