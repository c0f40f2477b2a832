package kwagentproto

import (
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
)

// Kind identifies a message type on the wire.
type Kind uint16

// Message kinds. Kinds 10 to 15 are used on streams to control, 20 to 26 on the streams of a token stream's chain, 30
// to 32 on calls to agents, and 40 to 42 between control processes.
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
	KindAddMember    Kind = 41
	KindRaftChunk    Kind = 42
)

// Announce is an agent's announcement of its endpoint, which renews the endpoint's lease.
type Announce struct {
	Endpoint kwmembership.Endpoint `cbor:"1,keyasint"`
}

// AnnounceReply answers an Announce; FencingToken is 0 until the leader has advanced it, and Control is the leader's
// member ID.
type AnnounceReply struct {
	FencingToken kwid.FencingToken `cbor:"1,keyasint"`
	Draining     bool              `cbor:"2,keyasint"`
	Revision     kwid.Revision     `cbor:"3,keyasint"`
	Control      kwid.NodeID       `cbor:"4,keyasint"`
}

// Watch opens an entry's subscription to views.
type Watch struct {
	Entry kwmembership.Entry `cbor:"1,keyasint"`
}

// View carries the rows that have changed since the last view; Full tells that it carries all rows and replaces the old
// ones. Version is the version of the membership table, and Revision that of the fleet declaration. AckedSequence
// repeats the Sequence of the newest ViewAck received, by which the entry knows since when its view is confirmed.
// EntryRank is the receiving entry's rank among the EntryCount live entries, which determines its share of fleet-wide
// limits. Loads holds the quantized load of each live endpoint, in the order of their IDs.
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
	// Patched tells that Fleet comes without workspaces, and that Patches apply to the workspaces that the entry holds.
	Patched bool                          `cbor:"10,keyasint,omitempty"`
	Patches []kwsiteconfig.WorkspacePatch `cbor:"11,keyasint,omitempty"`
	// Owners holds the workspace ownership rows that have changed.
	Owners []kwstatemachine.Owner `cbor:"12,keyasint,omitempty"`
}

// ViewAck acknowledges the view that an entry serves with, and renews the entry's lease. Sequence counts the renewals of
// one subscription; the acknowledgement of a changed view repeats the AckedSequence of that view.
type ViewAck struct {
	Sequence uint64        `cbor:"1,keyasint"`
	Version  uint64        `cbor:"2,keyasint"`
	Revision kwid.Revision `cbor:"3,keyasint"`
}

// Propose asks control to append a command to the replicated log.
type Propose struct {
	Command kwstatemachine.Command `cbor:"1,keyasint"`
}

// AwaitOutcome asks for a journal row once the attempt is no longer open; Wait is the longest wait in milliseconds.
type AwaitOutcome struct {
	Scope   kwstatemachine.Scope `cbor:"1,keyasint"`
	Attempt kwid.Attempt         `cbor:"2,keyasint"`
	Wait    int64                `cbor:"3,keyasint"`
}

// Session opens a token stream at the first stage of a chain. Delivered holds the tokens that the client already has,
// when a stream is resumed; MaxTokens includes them.
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

// Stage opens a later stage of a chain; Index is the stage's position in Chain.
type Stage struct {
	Request  kwid.RequestID        `cbor:"1,keyasint"`
	Attempt  kwid.Attempt          `cbor:"2,keyasint"`
	Model    kwid.ModelName        `cbor:"3,keyasint"`
	Priority kwsiteconfig.Priority `cbor:"4,keyasint"`
	Chain    []kwmaxflow.Stage     `cbor:"5,keyasint"`
	Index    int                   `cbor:"6,keyasint"`
}

// Step carries the hidden states of consecutive tokens, the first of them at Position, one value for each token. They
// are the input of Layer.
type Step struct {
	Attempt      kwid.Attempt  `cbor:"1,keyasint"`
	Position     kwid.Position `cbor:"2,keyasint"`
	Layer        kwid.Layer    `cbor:"3,keyasint"`
	HiddenStates []uint64      `cbor:"4,keyasint"`
}

// ReturnPath opens the stream on which the last stage returns tokens to the first.
type ReturnPath struct {
	Request kwid.RequestID `cbor:"1,keyasint"`
	Attempt kwid.Attempt   `cbor:"2,keyasint"`
}

// Token is one sampled token; Index is 0 for the first one after the prompt. Stop marks the end of the text.
type Token struct {
	Attempt  kwid.Attempt  `cbor:"1,keyasint"`
	Position kwid.Position `cbor:"2,keyasint"`
	Index    int           `cbor:"3,keyasint"`
	Token    kwid.Token    `cbor:"4,keyasint"`
	Text     string        `cbor:"5,keyasint"`
	Stop     bool          `cbor:"6,keyasint"`
}

// End ends a token stream that is complete. It carries the token counts of the prompt and of the completion; Stop tells
// that the model ended the text, rather than the token limit.
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

// ProbeReply answers a Probe: the next position that the stage will compute, whether a step is running, and whether the
// stage's engine responds.
type ProbeReply struct {
	Next        kwid.Position `cbor:"1,keyasint"`
	Running     bool          `cbor:"2,keyasint"`
	EngineAlive bool          `cbor:"3,keyasint"`
}

// Call carries a service request to the agent of an endpoint.
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

// CallReply answers a Call with the service's response and the endpoint's load.
type CallReply struct {
	Response kwstatemachine.Response `cbor:"1,keyasint"`
	Load     uint8                   `cbor:"2,keyasint"`
}

// Fence asks an agent to fence an attempt, so that it can no longer start, or to report its outcome if it has started.
// AgeMillis is the time since the attempt was granted.
type Fence struct {
	Scope       kwstatemachine.Scope `cbor:"1,keyasint"`
	Attempt     kwid.Attempt         `cbor:"2,keyasint"`
	Incarnation kwid.Incarnation     `cbor:"3,keyasint"`
	AgeMillis   int64                `cbor:"4,keyasint"`
}

// FenceReply answers a Fence; State is the attempt's state in the call table, or "restarted".
type FenceReply struct {
	State    string                  `cbor:"1,keyasint"`
	Response kwstatemachine.Response `cbor:"2,keyasint"`
}

// Order tells an agent which model and layers its engine must load. The agent rejects an order whose fencing token is
// older than the newest it knows, and every order before it has received a fencing token from control.
type Order struct {
	FencingToken kwid.FencingToken `cbor:"1,keyasint"`
	Model        kwid.ModelName    `cbor:"2,keyasint"`
	Layers       kwid.LayerRange   `cbor:"3,keyasint"`
}

// OrderReply answers an Order that the engine has accepted; FencingToken repeats that of the order.
type OrderReply struct {
	FencingToken kwid.FencingToken `cbor:"1,keyasint"`
}

// Failure is the body of an error frame.
type Failure struct {
	Error kwcode.Error `cbor:"1,keyasint"`
}

// RaftChunk is part of a Raft message that is too large for one frame. The chunks of a message are sent in order on one
// stream, and Last marks the final one.
type RaftChunk struct {
	Last bool   `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// AddMember asks the leader to add a member to the replicated log; Member is its member ID, made of its node and disk.
type AddMember struct {
	Member kwid.NodeID `cbor:"1,keyasint"`
}

// Done is the empty reply to a request that succeeded.
type Done struct{}
