package kwdirectproto

import (
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwtcprpc"
)

// The kinds of calls.
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
	KindUnresponsive      kwtcprpc.Kind = 10
	KindEndpointCrashed   kwtcprpc.Kind = 11
	KindQuarantineTrial   kwtcprpc.Kind = 12
	KindSaidLeaving       kwtcprpc.Kind = 13
	// KindExchangeRecords carries a kwdiscovery.Record each way.
	KindExchangeRecords kwtcprpc.Kind = 14
)

// KindNames returns the names of the kinds in metrics.
func KindNames() map[kwtcprpc.Kind]string {
	return map[kwtcprpc.Kind]string{
		KindRaft: "raft", KindAddMember: "add-member", KindAnnounce: "announce", KindDeregister: "deregister",
		KindWriteDeclaration: "write-declaration", KindReadDeclaration: "read-declaration", KindWatch: "watch",
		KindConnectionRefused: "connection-refused", KindRetryLoan: "retry-loan",
		KindUnresponsive: "unresponsive", KindEndpointCrashed: "endpoint-crashed", KindQuarantineTrial: "quarantine-trial",
		KindSaidLeaving: "said-leaving", KindExchangeRecords: "exchange-records",
	}
}

// RaftBatch carries messages of the replicated log in one call.
type RaftBatch struct {
	Messages []kwraft.Message `cbor:"1,keyasint"`
}

// AddMember asks the leader to add a member to the replicated log.
type AddMember struct {
	Member kwid.NodeID `cbor:"1,keyasint"`
}

// Deregister reports that an endpoint has left; a StartedMillis of 0 stands for the process that is currently known.
type Deregister struct {
	ID            kwid.EndpointID          `cbor:"1,keyasint"`
	StartedMillis kwmembership.StartMillis `cbor:"2,keyasint,omitempty"`
}

// ConnectionRefused reports that an endpoint refused a connection from an entry.
type ConnectionRefused struct {
	Entry         kwid.NodeID              `cbor:"1,keyasint"`
	Endpoint      kwid.EndpointID          `cbor:"2,keyasint"`
	StartedMillis kwmembership.StartMillis `cbor:"3,keyasint,omitempty"`
}

// Unresponsive reports that an entry cannot reach an endpoint while it reaches others.
type Unresponsive struct {
	Entry         kwid.NodeID              `cbor:"1,keyasint"`
	Endpoint      kwid.EndpointID          `cbor:"2,keyasint"`
	StartedMillis kwmembership.StartMillis `cbor:"3,keyasint,omitempty"`
}

// SaidLeaving reports that an endpoint has said in an answer to an entry that it leaves.
type SaidLeaving struct {
	Entry         kwid.NodeID              `cbor:"1,keyasint"`
	Endpoint      kwid.EndpointID          `cbor:"2,keyasint"`
	StartedMillis kwmembership.StartMillis `cbor:"3,keyasint,omitempty"`
}

// CrashedRequest is a request that an endpoint was to answer when it crashed, or had answered just before.
type CrashedRequest struct {
	Request kwid.RequestID     `cbor:"1,keyasint,omitempty"`
	Digest  kwid.RequestDigest `cbor:"2,keyasint"`
	// Parts are the parts that its prompt shares with others, empty unless the endpoint was to begin the answer.
	Parts []kwid.PromptPartID `cbor:"3,keyasint,omitempty"`
	// SoundAge is how long ago the entry last saw a sound run of the request, 0 if it has not.
	SoundAge time.Duration `cbor:"4,keyasint,omitempty"`
}

// EndpointCrashed reports the requests that an endpoint was to answer when it crashed. Request and Parts are those of one of them, for
// leaders of older versions.
type EndpointCrashed struct {
	Entry         kwid.NodeID              `cbor:"1,keyasint"`
	Endpoint      kwid.EndpointID          `cbor:"2,keyasint"`
	StartedMillis kwmembership.StartMillis `cbor:"3,keyasint,omitempty"`
	Request       kwid.RequestID           `cbor:"4,keyasint"`
	Parts         []kwid.PromptPartID      `cbor:"5,keyasint"`
	Requests      []CrashedRequest         `cbor:"6,keyasint,omitempty"`
	// Age is how long ago the entry first reported the crash, to an earlier leader. Leaders of older versions ignore it.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// QuarantineTrial asks for the permission to send one request with a quarantined part, or one that is held if Digest is set.
type QuarantineTrial struct {
	Entry  kwid.NodeID         `cbor:"1,keyasint"`
	Part   kwid.PromptPartID   `cbor:"2,keyasint"`
	Digest *kwid.RequestDigest `cbor:"3,keyasint,omitempty"`
}

// RetryLoan asks for one retry beyond the entry's own share of the retry budget.
type RetryLoan struct {
	Entry   kwid.NodeID      `cbor:"1,keyasint"`
	Service kwid.ServiceName `cbor:"2,keyasint"`
}

// DeclarationDelta is a declaration as its compressed kwdelta.Delta to an earlier one.
type DeclarationDelta struct {
	From   kwdeclaration.Number `cbor:"1,keyasint"`
	Number kwdeclaration.Number `cbor:"2,keyasint"`
	Delta  []byte               `cbor:"3,keyasint"`
}

// CompressedDeclaration is a numbered declaration in the platform's encoding, compressed by Compress.
type CompressedDeclaration struct {
	Number  kwdeclaration.Number `cbor:"1,keyasint"`
	Content []byte               `cbor:"2,keyasint,omitempty"`
}

// Load is what requests use of an endpoint: Used is KV cache, Running counts slots, which a request takes up only at the
// first endpoint of its chain.
type Load struct {
	Endpoint kwid.EndpointID           `cbor:"1,keyasint"`
	Used     kwchainsearch.LayerTokens `cbor:"2,keyasint,omitempty"`
	Running  int                       `cbor:"3,keyasint,omitempty"`
}

// Watch is a long poll for changes since a view: the leader replies at the next change, or after MaxWait.
type Watch struct {
	Entry             kwid.NodeID          `cbor:"1,keyasint"`
	Epoch             uint64               `cbor:"2,keyasint,omitempty"`
	Version           uint64               `cbor:"3,keyasint,omitempty"`
	DeclarationNumber kwdeclaration.Number `cbor:"4,keyasint,omitempty"`
	MaxWait           time.Duration        `cbor:"5,keyasint,omitempty"`
	Loads             []Load               `cbor:"6,keyasint,omitempty"`
	// Requests counts the entry's requests of the last window of the retry budget, by service.
	Requests map[kwid.ServiceName]int `cbor:"7,keyasint,omitempty"`
	// PackedLoads replaces Loads once a reply has set AcceptsPackedLoads. Its indices are those of the Epoch.
	PackedLoads PackedLoads `cbor:"8,keyasint,omitempty"`
	// AcceptsPackedLoads means that the reply may hold PackedLoads.
	AcceptsPackedLoads bool `cbor:"9,keyasint,omitempty"`
	// AcceptsDelta means that the reply may hold the declaration as a delta to that of DeclarationNumber.
	AcceptsDelta bool `cbor:"10,keyasint,omitempty"`
	// SoundParts are the last sound requests of the suspect parts of the entry's view.
	SoundParts []kwquarantine.Sound `cbor:"11,keyasint,omitempty"`
	// QuarantinedParts are the quarantines of the entry's view, which a new leader takes over.
	QuarantinedParts []kwquarantine.Quarantine `cbor:"12,keyasint,omitempty"`
	// LastSoundAge is the age of the entry's last sound request of any kind, if the entry's view holds suspect parts.
	LastSoundAge *time.Duration `cbor:"13,keyasint,omitempty"`
	// SoundRequests are the last sound runs of the suspect and held requests of the entry's view.
	SoundRequests []kwquarantine.SoundRequest `cbor:"14,keyasint,omitempty"`
	// HeldRequests and SuspectRequests are those of the entry's view, which a new leader takes over.
	HeldRequests    []kwquarantine.HeldRequest    `cbor:"15,keyasint,omitempty"`
	SuspectRequests []kwquarantine.SuspectRequest `cbor:"16,keyasint,omitempty"`
	// Limits are the limits of endpoints that the entry uses or has just learned of.
	Limits []kwendpointlimit.Report `cbor:"17,keyasint,omitempty"`
	// Admission are the counts of the request classes that are under admission control.
	Admission []kwadmission.Row `cbor:"18,keyasint,omitempty"`
}

// View is what an entry serves requests by. The leader replies under its lease, so no newer declaration or endpoint
// list was in force at the time.
type View struct {
	// Epoch is the leader's term; versions of different epochs cannot be compared.
	Epoch   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	// Endpoints are the endpoints that have changed, or all of them if Full is set.
	Endpoints []kwmembership.RosterRow `cbor:"3,keyasint,omitempty"`
	Full      bool                     `cbor:"4,keyasint,omitempty"`
	// Gathering means that the leader is new and has not yet heard from every endpoint.
	Gathering   bool                   `cbor:"5,keyasint,omitempty"`
	Declaration *CompressedDeclaration `cbor:"6,keyasint,omitempty"`
	// ControlAddresses are the addresses of all control processes.
	ControlAddresses []string `cbor:"7,keyasint,omitempty"`
	// EntryCount is the number of entries that share the budgets of the fleet.
	EntryCount int `cbor:"8,keyasint,omitempty"`
	// Loads is the load of the requests of all other entries.
	Loads []Load `cbor:"9,keyasint,omitempty"`
	// PackedLoads replaces Loads if the watch accepts it.
	PackedLoads PackedLoads `cbor:"10,keyasint,omitempty"`
	// AcceptsPackedLoads means that the next watch may hold PackedLoads.
	AcceptsPackedLoads bool `cbor:"11,keyasint,omitempty"`
	// DeclarationDelta replaces Declaration if the watch accepts it and the leader knows the declaration of the entry.
	DeclarationDelta *DeclarationDelta `cbor:"12,keyasint,omitempty"`
	// SuspectParts are the parts of prompts whose sound requests the leader wants to know.
	SuspectParts []kwid.PromptPartID `cbor:"13,keyasint,omitempty"`
	// QuarantinedParts are the parts of prompts that are kept from model servers.
	QuarantinedParts []kwquarantine.Quarantine `cbor:"14,keyasint,omitempty"`
	// SuspectRequests are the requests whose sound runs the leader wants to know.
	SuspectRequests []kwquarantine.SuspectRequest `cbor:"15,keyasint,omitempty"`
	// HeldRequests are the requests that are kept from servers.
	HeldRequests []kwquarantine.HeldRequest `cbor:"16,keyasint,omitempty"`
	// Limits are the limits of endpoints that the entry has reported or that are news, with what it may use of them.
	Limits []kwendpointlimit.Loan `cbor:"17,keyasint,omitempty"`
	// Admission are the shares of the classes of the services that the entry has reported; empty while a new leader gathers reports.
	Admission []kwadmission.ServiceShares `cbor:"18,keyasint,omitempty"`
}
