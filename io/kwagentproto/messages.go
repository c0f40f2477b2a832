package kwagentproto

import (
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
)

// Kind numbers a message type on the wire.
type Kind uint16

// Message kinds; a stream opens with one of the first block of its role.
const (
	KindReply        Kind = 1
	KindError        Kind = 2
	KindAnnounce     Kind = 10
	KindWatch        Kind = 11
	KindView         Kind = 12
	KindViewAck      Kind = 13
	KindPropose      Kind = 14
	KindAwaitOutcome Kind = 15
	KindSession      Kind = 20
	KindStage        Kind = 21
	KindReturnPath   Kind = 22
	KindProbe        Kind = 23
	KindStep         Kind = 24
	KindToken        Kind = 25
	KindEnd          Kind = 26
	KindCall         Kind = 30
	KindFence        Kind = 31
	KindOrder        Kind = 32
	KindRaft         Kind = 40
	KindJoin         Kind = 41
	KindRaftChunk    Kind = 42
)

// Announce renews an endpoint's lease.
type Announce struct {
	Endpoint kwmembership.Endpoint `cbor:"1,keyasint"`
}

// AnnounceReply answers an Announce.
type AnnounceReply struct {
	Fence    kwid.FencingToken `cbor:"1,keyasint"`
	Draining bool              `cbor:"2,keyasint"`
	Revision kwid.Revision     `cbor:"3,keyasint"`
	Control  kwid.NodeID       `cbor:"4,keyasint"`
}

// Watch opens an entry's subscription; Version and Boot name the newest view it holds.
type Watch struct {
	Entry kwmembership.Entry `cbor:"1,keyasint"`
}

// View carries the rows that changed; Full replaces all rows. Echo returns the number of the Seen it answers. Place is
// the receiving entry's place among the Entries live ones, which gives it its part of fleet-wide limits.
type View struct {
	Version       uint64                  `cbor:"1,keyasint"`
	Revision      kwid.Revision           `cbor:"2,keyasint"`
	Fleet         *kwsiteconfig.Fleet     `cbor:"3,keyasint,omitempty"`
	Endpoints     []kwmembership.Endpoint `cbor:"4,keyasint,omitempty"`
	EntryCount    int                     `cbor:"5,keyasint,omitempty"`
	EntryRank     int                     `cbor:"9,keyasint,omitempty"`
	Full          bool                    `cbor:"6,keyasint,omitempty"`
	AckedSequence uint64                  `cbor:"7,keyasint"`
	Loads         []byte                  `cbor:"8,keyasint,omitempty"`
	// Patched tells that Fleet is a skeleton and Patches change the workspaces that the entry holds.
	Patched bool                          `cbor:"10,keyasint,omitempty"`
	Patches []kwsiteconfig.WorkspacePatch `cbor:"11,keyasint,omitempty"`
	// Owners holds the ownership rows that changed.
	Owners []kwstatemachine.Owner `cbor:"12,keyasint,omitempty"`
}

// ViewAck renews an entry's lease and names the view it serves with.
type ViewAck struct {
	Sequence uint64        `cbor:"1,keyasint"`
	Version  uint64        `cbor:"2,keyasint"`
	Revision kwid.Revision `cbor:"3,keyasint"`
}

// Propose asks control to log a command.
type Propose struct {
	Command kwstatemachine.Command `cbor:"1,keyasint"`
}

// AwaitOutcome asks for a journal row once its attempt has ended; Wait is in milliseconds.
type AwaitOutcome struct {
	Scope   kwstatemachine.Scope `cbor:"1,keyasint"`
	Attempt kwid.Attempt         `cbor:"2,keyasint"`
	Wait    int64                `cbor:"3,keyasint"`
}

// Session opens a token stream at the first stage of a chain; Timeout is in milliseconds.
type Session struct {
	Request       kwid.RequestID        `cbor:"1,keyasint"`
	Attempt       kwid.Attempt          `cbor:"2,keyasint"`
	Model         kwid.ModelName        `cbor:"3,keyasint"`
	Prompt        string                `cbor:"4,keyasint"`
	Delivered     []kwid.Token          `cbor:"5,keyasint,omitempty"`
	MaxTokens     int                   `cbor:"6,keyasint"`
	Priority      kwsiteconfig.Priority `cbor:"7,keyasint"`
	Chain         []kwmaxflow.Stage     `cbor:"8,keyasint"`
	TimeoutMillis int64                 `cbor:"9,keyasint"`
}

// Stage opens a later stage of a chain; Index is its place in the chain.
type Stage struct {
	Request  kwid.RequestID        `cbor:"1,keyasint"`
	Attempt  kwid.Attempt          `cbor:"2,keyasint"`
	Model    kwid.ModelName        `cbor:"3,keyasint"`
	Priority kwsiteconfig.Priority `cbor:"4,keyasint"`
	Chain    []kwmaxflow.Stage     `cbor:"5,keyasint"`
	Index    int                   `cbor:"6,keyasint"`
}

// Step carries the activations of the tokens that start at Position; one value a token.
type Step struct {
	Attempt  kwid.Attempt  `cbor:"1,keyasint"`
	Position kwid.Position `cbor:"2,keyasint"`
	Layer    kwid.Layer    `cbor:"3,keyasint"`
	Hidden   []uint64      `cbor:"4,keyasint"`
}

// ReturnPath opens the path from the last stage back to the first.
type ReturnPath struct {
	Request kwid.RequestID `cbor:"1,keyasint"`
	Attempt kwid.Attempt   `cbor:"2,keyasint"`
}

// Token is one sampled token; Index counts from the first token after the prompt.
type Token struct {
	Attempt  kwid.Attempt  `cbor:"1,keyasint"`
	Position kwid.Position `cbor:"2,keyasint"`
	Index    int           `cbor:"3,keyasint"`
	Token    kwid.Token    `cbor:"4,keyasint"`
	Text     string        `cbor:"5,keyasint"`
	Stop     bool          `cbor:"6,keyasint"`
}

// End closes a token stream that is complete; PromptTokens counts the prompt.
type End struct {
	Attempt      kwid.Attempt `cbor:"1,keyasint"`
	PromptTokens int          `cbor:"2,keyasint"`
	Tokens       int          `cbor:"3,keyasint"`
	Stop         bool         `cbor:"4,keyasint"`
}

// Probe asks a stage for its progress with one attempt.
type Probe struct {
	Request kwid.RequestID `cbor:"1,keyasint"`
	Attempt kwid.Attempt   `cbor:"2,keyasint"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	Next        kwid.Position `cbor:"1,keyasint"`
	Running     bool          `cbor:"2,keyasint"`
	EngineAlive bool          `cbor:"3,keyasint"`
}

// Call carries a service request to the agent beside an endpoint; Timeout is in milliseconds.
type Call struct {
	Request       kwid.RequestID          `cbor:"1,keyasint"`
	Attempt       kwid.Attempt            `cbor:"2,keyasint"`
	Incarnation   kwid.Incarnation        `cbor:"3,keyasint"`
	Scope         kwstatemachine.Scope    `cbor:"4,keyasint"`
	Idempotent    bool                    `cbor:"5,keyasint"`
	Method        string                  `cbor:"6,keyasint"`
	Path          string                  `cbor:"7,keyasint"`
	Query         string                  `cbor:"8,keyasint"`
	Headers       []kwstatemachine.Header `cbor:"9,keyasint"`
	Body          []byte                  `cbor:"10,keyasint"`
	TimeoutMillis int64                   `cbor:"11,keyasint"`
}

// CallReply answers a Call with the service's response.
type CallReply struct {
	Response kwstatemachine.Response `cbor:"1,keyasint"`
	Load     uint8                   `cbor:"2,keyasint"`
}

// Fence asks an agent to bar an attempt, or to say what became of it; Age is the time since its grant in milliseconds.
type Fence struct {
	Scope       kwstatemachine.Scope `cbor:"1,keyasint"`
	Attempt     kwid.Attempt         `cbor:"2,keyasint"`
	Incarnation kwid.Incarnation     `cbor:"3,keyasint"`
	AgeMillis   int64                `cbor:"4,keyasint"`
}

// FenceReply answers a Fence; State is a state of the call table, or "restarted".
type FenceReply struct {
	State    string                  `cbor:"1,keyasint"`
	Response kwstatemachine.Response `cbor:"2,keyasint"`
}

// Order tells an engine to change what it holds.
type Order struct {
	Fence  kwid.FencingToken `cbor:"1,keyasint"`
	Model  kwid.ModelName    `cbor:"2,keyasint"`
	Layers kwid.LayerRange   `cbor:"3,keyasint"`
}

// OrderReply answers an Order.
type OrderReply struct {
	Fence kwid.FencingToken `cbor:"1,keyasint"`
}

// Failure is the body of an error frame.
type Failure struct {
	Error kwcode.Error `cbor:"1,keyasint"`
}

// RaftChunk is a piece of a log message that is too large for one frame; the parts follow each other on one stream.
type RaftChunk struct {
	Last bool   `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Join asks the leader to take a control member in; Member names its node and disk.
type Join struct {
	Member kwid.NodeID `cbor:"1,keyasint"`
}

// Done answers a request that has no other result.
type Done struct{}
