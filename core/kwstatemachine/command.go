package kwstatemachine

import (
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
)

// Command is one command in the replicated log; exactly one of its pointers is set. TimeMillis is Unix time.
type Command struct {
	TimeMillis          int64                `cbor:"1,keyasint"`
	AdvanceFencingToken *AdvanceFencingToken `cbor:"2,keyasint,omitempty"`
	ApplyConfig         *ApplyConfig         `cbor:"3,keyasint,omitempty"`
	Claim               *Claim               `cbor:"4,keyasint,omitempty"`
	Outcome             *RecordOutcome       `cbor:"5,keyasint,omitempty"`
	Fenced              *RecordFenced        `cbor:"6,keyasint,omitempty"`
	Unknown             *RecordUnknown       `cbor:"7,keyasint,omitempty"`
	Settle              *Settle              `cbor:"8,keyasint,omitempty"`
	Drain               *Drain               `cbor:"9,keyasint,omitempty"`
	Move                *Move                `cbor:"10,keyasint,omitempty"`
	Declare             *Declare             `cbor:"11,keyasint,omitempty"`
	Departure           *RecordDeparture     `cbor:"12,keyasint,omitempty"`
	LiveEndpoints       *RecordLiveEndpoints `cbor:"13,keyasint,omitempty"`
}

// AdvanceFencingToken raises the fencing token. A new control leader logs it before it sends orders.
type AdvanceFencingToken struct {
	Node kwid.NodeID `cbor:"1,keyasint"`
}

// ApplyConfig replaces the fleet declaration if BaseRevision is the current revision.
type ApplyConfig struct {
	ChangeID     string              `cbor:"1,keyasint"`
	BaseRevision kwid.Revision       `cbor:"2,keyasint"`
	Source       kwsiteconfig.Source `cbor:"3,keyasint"`
	Digest       string              `cbor:"4,keyasint"`
}

// Declare replaces the whole numbered declaration if Number is greater than the current number. A lower or equal
// number is acknowledged without effect. Content is in the encoding of the adapter that validated it.
type Declare struct {
	Number  kwdeclaration.Number `cbor:"1,keyasint"`
	Content []byte               `cbor:"2,keyasint"`
}

// RecordLiveEndpoints records announced endpoints that are live, and the IDs of others that no longer are.
type RecordLiveEndpoints struct {
	Live []kwmembership.Announcement `cbor:"1,keyasint,omitempty"`
	Gone []kwid.EndpointID           `cbor:"2,keyasint,omitempty"`
}

// RecordDeparture records that an announced endpoint is draining or has left, so that a later leader does not take it
// for live.
type RecordDeparture struct {
	Row kwmembership.RosterRow `cbor:"1,keyasint"`
}

// Scope identifies one idempotency key of one workspace at one service.
type Scope struct {
	Workspace kwid.WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	Service   kwid.ServiceName   `cbor:"2,keyasint" json:"service"`
	Key       string             `cbor:"3,keyasint" json:"key"`
}

// Grant names the entry, the agent and the endpoint that may run an attempt.
type Grant struct {
	Attempt     kwid.Attempt     `cbor:"1,keyasint" json:"attempt"`
	Request     kwid.RequestID   `cbor:"2,keyasint" json:"request"`
	Entry       kwid.NodeID      `cbor:"3,keyasint" json:"entry"`
	Agent       kwid.NodeID      `cbor:"4,keyasint" json:"agent"`
	Address     string           `cbor:"5,keyasint" json:"address"`
	Endpoint    kwid.EndpointID  `cbor:"6,keyasint" json:"endpoint"`
	Incarnation kwid.Incarnation `cbor:"7,keyasint" json:"incarnation"`
	Site        kwid.Site        `cbor:"8,keyasint,omitempty" json:"site"`
}

// Claim asks for the right to run a call once. Digest identifies the content of the request. WindowMillis limits how
// long the outcome answers repeats of a call whose key was derived from its content; 0 sets no limit. Call is the method
// and path of the call, for operators.
type Claim struct {
	Scope        Scope  `cbor:"1,keyasint"`
	Digest       string `cbor:"2,keyasint"`
	Grant        Grant  `cbor:"3,keyasint"`
	WindowMillis int64  `cbor:"4,keyasint,omitempty"`
	Call         string `cbor:"5,keyasint,omitempty"`
}

// Header is one header of a recorded response.
type Header struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Response is the recorded response of a call.
type Response struct {
	Status  int      `cbor:"1,keyasint" json:"status"`
	Headers []Header `cbor:"2,keyasint" json:"headers"`
	Body    []byte   `cbor:"3,keyasint" json:"body"`
}

// RecordOutcome ends an attempt with the response of the call.
type RecordOutcome struct {
	Scope    Scope        `cbor:"1,keyasint"`
	Attempt  kwid.Attempt `cbor:"2,keyasint"`
	Response Response     `cbor:"3,keyasint"`
}

// RecordFenced records that an attempt has not run and never will.
type RecordFenced struct {
	Scope   Scope        `cbor:"1,keyasint"`
	Attempt kwid.Attempt `cbor:"2,keyasint"`
}

// RecordUnknown records that it is not known whether an attempt has run.
type RecordUnknown struct {
	Scope   Scope        `cbor:"1,keyasint"`
	Attempt kwid.Attempt `cbor:"2,keyasint"`
	Reason  string       `cbor:"3,keyasint"`
}

// Verdict is an operator's decision on a row whose outcome is unknown.
type Verdict string

const (
	// VerdictRan means that the call ran; it is never run again.
	VerdictRan Verdict = "ran"
	// VerdictNotRun means that the call did not run; the next claim may run it.
	VerdictNotRun Verdict = "not-run"
)

// Settle applies an operator's verdict to a row whose outcome is unknown.
type Settle struct {
	Scope    Scope   `cbor:"1,keyasint" json:"scope"`
	Verdict  Verdict `cbor:"2,keyasint" json:"verdict"`
	Operator string  `cbor:"3,keyasint" json:"operator"`
}

// Drain sets or clears the draining flag of an endpoint.
type Drain struct {
	Endpoint kwid.EndpointID `cbor:"1,keyasint" json:"endpoint"`
	On       bool            `cbor:"2,keyasint" json:"on"`
}

// Move transfers the ownership of a workspace's writes to a site. The transfer completes once no attempt is open at
// another site.
type Move struct {
	Workspace kwid.WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	To        kwid.Site          `cbor:"2,keyasint" json:"to"`
}

// Reply is the result of a command; Err is nil on success.
type Reply struct {
	Err          *kwcode.Error     `cbor:"1,keyasint,omitempty"`
	Revision     kwid.Revision     `cbor:"2,keyasint,omitempty"`
	Row          *JournalRow       `cbor:"3,keyasint,omitempty"`
	Granted      bool              `cbor:"4,keyasint,omitempty"`
	FencingToken kwid.FencingToken `cbor:"5,keyasint,omitempty"`
	Owner        *Owner            `cbor:"6,keyasint,omitempty"`
	// Number is that of the numbered declaration in force after a Declare.
	Number kwdeclaration.Number `cbor:"7,keyasint,omitempty"`
}
