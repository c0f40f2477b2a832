package kwstatemachine

import (
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
)

// Command is one log record; exactly one pointer is set. Time is Unix time in milliseconds.
type Command struct {
	TimeMillis    int64                `cbor:"1,keyasint"`
	AdvanceFence  *AdvanceFence        `cbor:"2,keyasint,omitempty"`
	ApplyConfig   *ApplyConfig         `cbor:"3,keyasint,omitempty"`
	Claim         *Claim               `cbor:"4,keyasint,omitempty"`
	Outcome       *RecordOutcome       `cbor:"5,keyasint,omitempty"`
	Fenced        *RecordFenced        `cbor:"6,keyasint,omitempty"`
	Unknown       *RecordUnknown       `cbor:"7,keyasint,omitempty"`
	Settle        *Settle              `cbor:"8,keyasint,omitempty"`
	Drain         *Drain               `cbor:"9,keyasint,omitempty"`
	Move          *Move                `cbor:"10,keyasint,omitempty"`
	Declare       *Declare             `cbor:"11,keyasint,omitempty"`
	Departure     *RecordDeparture     `cbor:"12,keyasint,omitempty"`
	LiveEndpoints *RecordLiveEndpoints `cbor:"13,keyasint,omitempty"`
}

// AdvanceFence raises the fencing number; a control leader logs it before it gives orders.
type AdvanceFence struct {
	Node kwid.NodeID `cbor:"1,keyasint"`
}

// ApplyConfig replaces the fleet declaration if Edited is the present revision.
type ApplyConfig struct {
	ChangeID     string              `cbor:"1,keyasint"`
	BaseRevision kwid.Revision       `cbor:"2,keyasint"`
	Source       kwsiteconfig.Source `cbor:"3,keyasint"`
	Digest       string              `cbor:"4,keyasint"`
}

// Declare replaces the numbered whole declaration if its number is above the present one; an equal or lower number is
// confirmed and changes nothing. Content is in the encoding of the adapter that checked it.
type Declare struct {
	Number  kwdeclaration.Number `cbor:"1,keyasint"`
	Content []byte               `cbor:"2,keyasint"`
}

// RecordLiveEndpoints records announced endpoints that are live, and others that no longer are.
type RecordLiveEndpoints struct {
	Live []kwmembership.Announcement `cbor:"1,keyasint,omitempty"`
	Gone []kwid.EndpointID           `cbor:"2,keyasint,omitempty"`
}

// RecordDeparture records that an announced endpoint drains or has left, so that no later leader takes it for live.
type RecordDeparture struct {
	Row kwmembership.RosterRow `cbor:"1,keyasint"`
}

// Scope names one idempotency key of one workspace at one service.
type Scope struct {
	Workspace kwid.WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	Service   kwid.ServiceName   `cbor:"2,keyasint" json:"service"`
	Key       string             `cbor:"3,keyasint" json:"key"`
}

// Grant names who may run an attempt.
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

// Claim asks for the right to run a call once; Window in milliseconds bounds a derived key's life.
type Claim struct {
	Scope        Scope  `cbor:"1,keyasint"`
	Digest       string `cbor:"2,keyasint"`
	Grant        Grant  `cbor:"3,keyasint"`
	WindowMillis int64  `cbor:"4,keyasint,omitempty"`
	Call         string `cbor:"5,keyasint,omitempty"`
}

// Header is one header line of a recorded response.
type Header struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Value string `cbor:"2,keyasint" json:"value"`
}

// Response is the recorded answer of a call.
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

// RecordFenced says that an attempt has not run and never will.
type RecordFenced struct {
	Scope   Scope        `cbor:"1,keyasint"`
	Attempt kwid.Attempt `cbor:"2,keyasint"`
}

// RecordUnknown says that nobody can tell whether an attempt ran.
type RecordUnknown struct {
	Scope   Scope        `cbor:"1,keyasint"`
	Attempt kwid.Attempt `cbor:"2,keyasint"`
	Reason  string       `cbor:"3,keyasint"`
}

// Verdict is an operator's finding about a row whose outcome is unknown.
type Verdict string

const (
	// VerdictRan keeps the call from ever running again.
	VerdictRan Verdict = "ran"
	// VerdictNotRun lets the next resend run the call.
	VerdictNotRun Verdict = "not-run"
)

// Settle ends a row whose outcome is unknown.
type Settle struct {
	Scope    Scope   `cbor:"1,keyasint" json:"scope"`
	Verdict  Verdict `cbor:"2,keyasint" json:"verdict"`
	Operator string  `cbor:"3,keyasint" json:"operator"`
}

// Drain sets or clears the draining mark of an endpoint.
type Drain struct {
	Endpoint kwid.EndpointID `cbor:"1,keyasint" json:"endpoint"`
	On       bool            `cbor:"2,keyasint" json:"on"`
}

// Move hands the ownership of a workspace's writes to a site, once no attempt is open elsewhere.
type Move struct {
	Workspace kwid.WorkspaceName `cbor:"1,keyasint" json:"workspace"`
	To        kwid.Site          `cbor:"2,keyasint" json:"to"`
}

// Reply is the answer to a command; Err is nil on success.
type Reply struct {
	Err      *kwcode.Error     `cbor:"1,keyasint,omitempty"`
	Revision kwid.Revision     `cbor:"2,keyasint,omitempty"`
	Row      *JournalRow       `cbor:"3,keyasint,omitempty"`
	Granted  bool              `cbor:"4,keyasint,omitempty"`
	Fence    kwid.FencingToken `cbor:"5,keyasint,omitempty"`
	Owner    *Owner            `cbor:"6,keyasint,omitempty"`
	// Number is the declaration in force after a Declare.
	Number kwdeclaration.Number `cbor:"7,keyasint,omitempty"`
}
