package kwdeclaration

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Number is the version number of a declaration; the highest accepted number is in force.
type Number uint64

// CallKind says whether a route's requests may run more than once and whether their answers are streamed.
type CallKind uint8

// Kinds of calls.
const (
	// Idempotent requests may run more than once.
	Idempotent CallKind = 1
	// AtMostOnce requests must not run more than once.
	AtMostOnce CallKind = 2
	// Streaming requests are answered with a stream of numbered events.
	Streaming CallKind = 3
)

// String returns the name that log lines use.
func (k CallKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Target is a service that receives a share of a route's requests, in proportion to its weight.
type Target struct {
	Service kwid.ServiceName
	Weight  int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    CallKind
	Timeout time.Duration
	// LatencyObjective is the target time to the whole answer, or to the first event of a stream.
	LatencyObjective time.Duration
	// EventGapObjective is the target for the longest gap between two events of a stream.
	EventGapObjective time.Duration
	// Priority orders the route's requests against others; 0 is served first.
	Priority int
	// MaxAttempts limits the number of endpoints that one caller request is sent to.
	MaxAttempts int
	Public      bool
	Resumable   bool
	Targets     []Target
}

// Retryable reports whether a request that may already have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Accelerator describes one type of model server by its accelerator hardware.
type Accelerator struct {
	Name     string
	MemoryMB float64
	// StepTimeFactor multiplies the time of a decode step.
	StepTimeFactor float64
	// PrefillTimeFactor multiplies the time to process a prompt.
	PrefillTimeFactor float64
}

// Engine describes the model servers of a service, each of which holds a range of the model's layers.
type Engine struct {
	// Slots is how many requests a server accepts at a time as the first server of a chain.
	Slots   int
	Layers  int
	LayerMB float64
	// KVMBPerTokenLayer is the KV cache memory of one token in one layer, in megabytes.
	KVMBPerTokenLayer float64
	// StepTime is the time of one decode step through the whole model, with an empty batch and a StepTimeFactor of 1.
	StepTime time.Duration
	// StepTimePerSequence is added to StepTime for each request in the batch.
	StepTimePerSequence time.Duration
	// StepTimePerKiloToken is added to StepTime for each 1,000 tokens of context in the batch.
	StepTimePerKiloToken time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are processed with a PrefillTimeFactor of 1.
	PrefillTokensPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// LoadTime is how long a server takes to load the whole model while at most ConcurrentLoads servers load.
	LoadTime            time.Duration
	ConcurrentLoads     int
	TypicalPromptTokens int
	TypicalAnswerTokens int
	Accelerators        []Accelerator
}

// Accelerator returns the named accelerator type, or nil.
func (e *Engine) Accelerator(name string) *Accelerator {
	for i := range e.Accelerators {
		if e.Accelerators[i].Name == name {
			return &e.Accelerators[i]
		}
	}
	return nil
}

// Service is a group of interchangeable endpoints; Engine is nil for a service without model servers.
type Service struct {
	Name   kwid.ServiceName
	Engine *Engine
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// HedgeShare limits hedged requests to a share of the requests of each service; nil leaves it to the flags of the entries.
	HedgeShare *float64
}

// Workspace is a group of callers with their own API keys.
type Workspace struct {
	Name kwid.WorkspaceName
	Keys []string
	// Priority overrides the route's priority; nil keeps it.
	Priority *int
}

// HasKey reports whether requests can come from the workspace: it has a key that is not empty.
func (w *Workspace) HasKey() bool {
	return slices.ContainsFunc(w.Keys, func(key string) bool { return key != "" })
}

// KeyCheck says whether requests need the key of a workspace.
type KeyCheck uint8

const (
	// KeyRequired admits requests to routes that are not public only with the key of a workspace, also if there is no workspace. It is the
	// zero value, so that a declaration opens its routes only where it says so.
	KeyRequired KeyCheck = iota
	// KeyIgnored admits all requests: the declaration has no list of workspaces, which is not the same as an empty one.
	KeyIgnored
)

// String returns the name that log lines use.
func (c KeyCheck) String() string {
	switch c {
	case KeyRequired:
		return "required"
	case KeyIgnored:
		return "ignored"
	}
	return "unknown"
}

// Declaration is one complete version of the declaration.
type Declaration struct {
	Number     Number
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	KeyCheck   KeyCheck
	Limits     Limits
}

// RequiresKey reports whether the route's requests need a key: the declaration requires keys, and the route is not public.
func (d *Declaration) RequiresKey(r *Route) bool { return d.KeyCheck != KeyIgnored && !r.Public }
