package kwraft

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Index is the position of an entry in the log, starting at 1.
type Index uint64

// Term is a Raft term; each term has at most one leader.
type Term uint64

// Position is the term and the index of a log entry. Of two entries that were ever in a log, the one at the later position is the newer.
type Position struct {
	Term  Term  `cbor:"1,keyasint"`
	Index Index `cbor:"2,keyasint"`
}

// After reports whether a position is later than another.
func (p Position) After(o Position) bool {
	if p.Term != o.Term {
		return p.Term > o.Term
	}
	return p.Index > o.Index
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

const (
	// EntryData entries hold a command for the state machine.
	EntryData EntryKind = 1
	// EntryMembers entries hold a new membership, which takes effect as soon as it is appended.
	EntryMembers EntryKind = 2
)

// Entry is one log entry.
type Entry struct {
	Index   Index     `cbor:"1,keyasint"`
	Term    Term      `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// Members is the membership of the cluster. Learners receive the log but do not count towards a quorum.
type Members struct {
	Voters   []kwid.NodeID `cbor:"1,keyasint" json:"voters"`
	Learners []kwid.NodeID `cbor:"2,keyasint" json:"learners"`
}

// IsVoter reports whether a node is a voter.
func (m Members) IsVoter(id kwid.NodeID) bool {
	return slices.Contains(m.Voters, id)
}

// IsLearner reports whether a node is a learner.
func (m Members) IsLearner(id kwid.NodeID) bool {
	return slices.Contains(m.Learners, id)
}

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int {
	return len(m.Voters)/2 + 1
}

func (m Members) clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// HardState is the state that must be persisted before any message that depends on it is sent.
type HardState struct {
	Term Term        `cbor:"1,keyasint"`
	Vote kwid.NodeID `cbor:"2,keyasint"`
	// LedTerm equals Term if this member was elected leader of that term, and is 0 otherwise.
	LedTerm Term `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state of the state machine after the entry at Index has been applied.
type Snapshot struct {
	Index   Index   `cbor:"1,keyasint"`
	Term    Term    `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	State   []byte  `cbor:"4,keyasint"`
}

// MessageKind is the type of a message.
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

// Message is sent between members. Index and LogTerm identify an entry: in a vote request the candidate's last one, in
// an append the one before Entries. In a reply to an append or a snapshot, Index is the last index known to match the
// leader's log. SentNanos is the time on the leader's clock in Unix nanoseconds; replies echo it.
type Message struct {
	Kind    MessageKind `cbor:"1,keyasint"`
	From    kwid.NodeID `cbor:"2,keyasint"`
	To      kwid.NodeID `cbor:"3,keyasint"`
	Term    Term        `cbor:"4,keyasint"`
	Index   Index       `cbor:"5,keyasint,omitempty"`
	LogTerm Term        `cbor:"6,keyasint,omitempty"`
	Commit  Index       `cbor:"7,keyasint,omitempty"`
	Entries []Entry     `cbor:"8,keyasint,omitempty"`
	Reject  bool        `cbor:"9,keyasint,omitempty"`
	// RejectHint is the index after which the leader retries a rejected append.
	RejectHint Index     `cbor:"10,keyasint,omitempty"`
	SentNanos  int64     `cbor:"11,keyasint,omitempty"`
	Snapshot   *Snapshot `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote request of a leadership transfer, which is answered even while the leader's lease is valid.
	Transfer bool `cbor:"13,keyasint,omitempty"`
	// LedTerm is the term that a candidate led before it restarted, or 0.
	LedTerm Term `cbor:"14,keyasint,omitempty"`
}

// DataBytes returns the size in bytes of the commands and the state that a message carries.
func (m Message) DataBytes() int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.State)
	}
	return n
}

// Bulk reports whether a message is large enough to hold up heartbeats on a slow link. Messages that are not bulk rely on the order of
// their transport; bulk messages may be overtaken by others.
func (m Message) Bulk() bool { return m.DataBytes() > maxPipelinedBytes }

// maxPipelinedBytes is the size of the commands in a message up to which it is sent without waiting for the reply to the one before.
const maxPipelinedBytes = 16 << 10

// Role is the role of a member in the current term.
type Role string

// Roles of a member.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Config holds the identity and the timing of a member. Seed seeds the jitter of its election timeouts;
// MinElectionTimeout is the shortest time without a leader before a member starts an election; MaxClockDrift is the
// largest relative difference between the clock rates of two members.
type Config struct {
	ID                 kwid.NodeID
	Seed               uint64
	MinElectionTimeout time.Duration
	HeartbeatInterval  time.Duration
	MaxClockDrift      float64
	MaxBatchEntries    int
	// MaxBatchBytes bounds the commands in one append, a larger command is sent alone; 0 means DefaultMaxBatchBytes.
	MaxBatchBytes int
	// MinLinkBytesPerSecond is the rate of the slowest link that the log is replicated over; 0 means DefaultMinLinkBytesPerSecond.
	MinLinkBytesPerSecond int
}

const (
	// DefaultMaxBatchBytes is far below the size of the transport's frames, and large against what a link carries in a round trip.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultMinLinkBytesPerSecond is 1 Mbit/s.
	DefaultMinLinkBytesPerSecond = 1e6 / 8
)

// DefaultConfig returns the configuration of a control process.
func DefaultConfig(id kwid.NodeID, seed uint64) Config {
	return Config{
		ID:                    id,
		Seed:                  seed,
		MinElectionTimeout:    time.Second,
		HeartbeatInterval:     200 * time.Millisecond,
		MaxClockDrift:         0.05,
		MaxBatchEntries:       512,
		MaxBatchBytes:         DefaultMaxBatchBytes,
		MinLinkBytesPerSecond: DefaultMinLinkBytesPerSecond,
	}
}

// withDefaults sets the bounds of messages that are not set.
func (c Config) withDefaults() Config {
	if c.MaxBatchBytes == 0 {
		c.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if c.MinLinkBytesPerSecond == 0 {
		c.MinLinkBytesPerSecond = DefaultMinLinkBytesPerSecond
	}
	return c
}

// PersistentState is the state that a member keeps on disk and restarts from.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Ready is the work to do, in the order of its fields. ImmediateMessages may be sent before the state and the entries
// are synced to disk; Messages may not.
type Ready struct {
	ImmediateMessages []Message
	HardState         *HardState
	Snapshot          *Snapshot
	Entries           []Entry
	Messages          []Message
	Committed         []Entry
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil &&
		len(r.ImmediateMessages)+len(r.Entries)+len(r.Messages)+len(r.Committed) == 0
}
