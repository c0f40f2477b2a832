package kwdirectproto

import (
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwtcprpc"
)

// Kinds of calls.
const (
	KindRaft              kwtcprpc.Kind = 1
	KindAddMember         kwtcprpc.Kind = 2
	KindAnnounce          kwtcprpc.Kind = 3
	KindDeregister        kwtcprpc.Kind = 4
	KindWriteDeclaration  kwtcprpc.Kind = 5
	KindReadDeclaration   kwtcprpc.Kind = 6
	KindWatch             kwtcprpc.Kind = 7
	KindConnectionRefused kwtcprpc.Kind = 8
	KindRetryLoan         kwtcprpc.Kind = 9
)

// RaftBatch carries messages of the replicated log in one call.
type RaftBatch struct {
	Messages []kwraft.Message `cbor:"1,keyasint"`
}

// AddMember asks the leader to take a member in.
type AddMember struct {
	Member kwid.NodeID `cbor:"1,keyasint"`
}

// Deregister says that an endpoint leaves; Born 0 means that its life is not named.
type Deregister struct {
	ID          kwid.EndpointID          `cbor:"1,keyasint"`
	Incarnation kwmembership.StartMillis `cbor:"2,keyasint,omitempty"`
}

// ConnectionRefused says that an endpoint refused an entry's connection.
type ConnectionRefused struct {
	Entry       kwid.NodeID              `cbor:"1,keyasint"`
	Endpoint    kwid.EndpointID          `cbor:"2,keyasint"`
	Incarnation kwmembership.StartMillis `cbor:"3,keyasint,omitempty"`
}

// RetryLoan asks for one repeat beyond an entry's own part of the retry budget.
type RetryLoan struct {
	Entry   kwid.NodeID      `cbor:"1,keyasint"`
	Service kwid.ServiceName `cbor:"2,keyasint"`
}

// CompressedDeclaration is a numbered declaration in the adapter's encoding, packed by Pack.
type CompressedDeclaration struct {
	Number  kwdeclaration.Number `cbor:"1,keyasint"`
	Content []byte               `cbor:"2,keyasint,omitempty"`
}

// Load is what requests take up on an endpoint: KV room, and slots where it is the first of their chains.
type Load struct {
	Endpoint kwid.EndpointID           `cbor:"1,keyasint"`
	Used     kwchainsearch.LayerTokens `cbor:"2,keyasint,omitempty"`
	Running  int                       `cbor:"3,keyasint,omitempty"`
}

// Watch asks for what changed since a view; the leader answers at the next change, or after Hold at the latest.
type Watch struct {
	Entry             kwid.NodeID          `cbor:"1,keyasint"`
	Epoch             uint64               `cbor:"2,keyasint,omitempty"`
	Version           uint64               `cbor:"3,keyasint,omitempty"`
	DeclarationNumber kwdeclaration.Number `cbor:"4,keyasint,omitempty"`
	MaxWait           time.Duration        `cbor:"5,keyasint,omitempty"`
	Loads             []Load               `cbor:"6,keyasint,omitempty"`
}

// View is what an entry serves by. The leader answers under its lease, so nothing newer was in force when it did.
type View struct {
	// Epoch is the leader's term; versions of different epochs cannot be compared.
	Epoch   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Endpoints are the endpoints that changed, or all of them if Full is set.
	Endpoints []kwmembership.RosterRow `cbor:"3,keyasint,omitempty"`
	Full      bool                     `cbor:"4,keyasint,omitempty"`
	// Gathering means that the leader is new and has not yet heard of every endpoint.
	Gathering   bool                   `cbor:"5,keyasint,omitempty"`
	Declaration *CompressedDeclaration `cbor:"6,keyasint,omitempty"`
	// ControlAddresses lists the addresses of the control processes.
	ControlAddresses []string `cbor:"7,keyasint,omitempty"`
	// EntryCount is how many entries share the fleet's budgets.
	EntryCount int `cbor:"8,keyasint,omitempty"`
	// Loads is the KV room in use by the requests of all other entries.
	Loads []Load `cbor:"9,keyasint,omitempty"`
}
