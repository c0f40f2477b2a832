package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Index is the place of an entry in the log, starting at 1.
type Index uint64

// Term numbers leaderships; each has at most one leader.
type Term uint64

// EntryKind tells what an entry carries.
type EntryKind uint8

const (
	// EntryData carries a command of the state machine.
	EntryData EntryKind = 1
	// EntryMembers carries a new membership, in force from the moment it is appended.
	EntryMembers EntryKind = 2
)

// Entry is one place of the log.
type Entry struct {
	Index   Index     `cbor:"1,keyasint"`
	Term    Term      `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Members lists who takes part; learners receive the log and do not count.
type Members struct {
	Voters   []kwid.NodeID `cbor:"1,keyasint" json:"voters"`
	Learners []kwid.NodeID `cbor:"2,keyasint" json:"learners"`
}

// IsVoter tells whether a node counts towards a quorum.
func (m Members) IsVoter(id kwid.NodeID) bool {
	return slices.Contains(m.Voters, id)
}

// IsLearner tells whether a node receives the log without counting.
func (m Members) IsLearner(id kwid.NodeID) bool {
	return slices.Contains(m.Learners, id)
}

// Quorum returns how many voters make a majority.
func (m Members) Quorum() int {
	return len(m.Voters)/2 + 1
}

func (m Members) clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// HardState must be on disk before any message that follows from it is sent.
type HardState struct {
	Term Term        `cbor:"1,keyasint"`
	Vote kwid.NodeID `cbor:"2,keyasint"`
	// LedTerm is Term if this member was elected its leader, else 0.
	LedTerm Term `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state machine's state after an entry.
type Snapshot struct {
	Index   Index   `cbor:"1,keyasint"`
	Term    Term    `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	State   []byte  `cbor:"4,keyasint"`
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote       MessageKind = 1
	MsgPreVoteReply  MessageKind = 2
	MsgVote          MessageKind = 3
	MsgVoteReply     MessageKind = 4
	MsgAppend        MessageKind = 5
	MsgAppendReply   MessageKind = 6
	MsgSnapshot      MessageKind = 7
	MsgSnapshotReply MessageKind = 8
	MsgTimeoutNow    MessageKind = 9
)

// Message travels between members; Sent is the leader's clock in nanoseconds, echoed by replies.
type Message struct {
	Kind      MessageKind `cbor:"1,keyasint"`
	From      kwid.NodeID `cbor:"2,keyasint"`
	To        kwid.NodeID `cbor:"3,keyasint"`
	Term      Term        `cbor:"4,keyasint"`
	Index     Index       `cbor:"5,keyasint,omitempty"`
	LogTerm   Term        `cbor:"6,keyasint,omitempty"`
	Commit    Index       `cbor:"7,keyasint,omitempty"`
	Entries   []Entry     `cbor:"8,keyasint,omitempty"`
	Reject    bool        `cbor:"9,keyasint,omitempty"`
	Hint      Index       `cbor:"10,keyasint,omitempty"`
	SentNanos int64       `cbor:"11,keyasint,omitempty"`
	Snapshot  *Snapshot   `cbor:"12,keyasint,omitempty"`
	Transfer  bool        `cbor:"13,keyasint,omitempty"`
	// LedTerm is the term that a candidate led before it started anew.
	LedTerm Term `cbor:"14,keyasint,omitempty"`
}

// Role is what a member does at present.
type Role string

// Roles of a member.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Config holds the member's identity and timing. ElectionMin is the shortest time without a leader before
// an election; Drift is the largest relative difference between two members' clock rates.
type Config struct {
	ID                 kwid.NodeID
	Seed               uint64
	MinElectionTimeout time.Duration
	HeartbeatInterval  time.Duration
	MaxClockDrift      float64
	MaxBatchEntries    int
}

// DefaultConfig returns the timing of a control member.
func DefaultConfig(id kwid.NodeID, seed uint64) Config {
	return Config{
		ID:                 id,
		Seed:               seed,
		MinElectionTimeout: time.Second,
		HeartbeatInterval:  200 * time.Millisecond,
		MaxClockDrift:      0.05,
		MaxBatchEntries:    512,
	}
}

// PersistentState is what a member read from its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Ready is the work that must be done, in the order of the fields; Early messages need not wait for the disk.
type Ready struct {
	ImmediateMessages []Message
	HardState         *HardState
	Snapshot          *Snapshot
	Entries           []Entry
	Messages          []Message
	Committed         []Entry
}

// Empty tells whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil &&
		len(r.ImmediateMessages)+len(r.Entries)+len(r.Messages)+len(r.Committed) == 0
}
