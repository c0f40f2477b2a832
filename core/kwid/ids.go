package kwid

// WorkspaceName identifies a workspace of the fleet declaration.
type WorkspaceName string

// ServiceName identifies a service of the fleet declaration.
type ServiceName string

// ModelName identifies a language model of the fleet declaration.
type ModelName string

// NodeID identifies one process of the system.
type NodeID string

// EndpointID identifies a model server or service server.
type EndpointID string

// AvailabilityZone names a failure domain inside a site.
type AvailabilityZone string

// Site names a data centre that has its own overlay file.
type Site string

// RequestID identifies one caller request across all its attempts.
type RequestID string

// PromptPartID identifies the content of one part of a prompt, which many requests may share.
type PromptPartID string

// Attempt numbers the attempts of one request, starting at 1.
type Attempt uint32

// Incarnation identifies one run of a process; a later run has a larger number.
type Incarnation uint64

// Revision numbers accepted fleet declarations, starting at 1.
type Revision uint64

// FencingToken is raised by each new control leader; a receiver rejects any token lower than the highest it has seen.
type FencingToken uint64

// Layer is the index of a model layer, starting at 0.
type Layer int

// Position is the index of a token in a sequence, starting at 0.
type Position int

// Token is the index of an entry in the model's vocabulary.
type Token uint32

// LayerRange is the half-open range of layers [From, To).
type LayerRange struct {
	From Layer `cbor:"1,keyasint" json:"from"`
	To   Layer `cbor:"2,keyasint" json:"to"`
}

// Valid reports whether the range can exist: it begins at the first layer or later, and does not end before it begins.
func (r LayerRange) Valid() bool { return 0 <= r.From && r.From <= r.To }

// Len returns the number of layers in the range.
func (r LayerRange) Len() int {
	return int(r.To - r.From)
}
