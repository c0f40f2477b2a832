package kwdeclaration

import (
	"time"

	"knapweedproxy/core/kwid"
)

// Number orders whole declarations; the highest accepted number is in force.
type Number uint64

// CallKind tells what a route's requests allow.
type CallKind uint8

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent CallKind = 1
	// AtMostOnce marks requests that run at most once.
	AtMostOnce CallKind = 2
	// Streaming requests are answered by a series of numbered events.
	Streaming CallKind = 3
)

// String names the kind in log lines.
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

// Target is a service that takes a share of a route's requests.
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
	// LatencyObjective is the time to a plain answer, or to the first event of a stream, that callers aim for.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between two events of a stream that counts as in time.
	EventGapObjective time.Duration
	// Priority ranks the route's requests; 0 comes first.
	Priority int
	// MaxAttempts is the largest number of endpoints that may get one caller request.
	MaxAttempts int
	Public      bool
	Resumable   bool
	Targets     []Target
}

// Retryable tells whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Accelerator describes one kind of model server.
type Accelerator struct {
	Name     string
	MemoryMB float64
	// StepTimeFactor multiplies the time of a decode step.
	StepTimeFactor float64
	// PrefillTimeFactor multiplies the time to read a prompt.
	PrefillTimeFactor float64
}

// Engine describes the model servers of a service, which each hold a range of the model's layers.
type Engine struct {
	// Slots is how many requests a server takes as the first of a chain.
	Slots   int
	Layers  int
	LayerMB float64
	// KVMBPerTokenLayer is the KV cache memory of one token in one layer, in megabytes.
	KVMBPerTokenLayer float64
	// StepTime is one decode step of the whole model at pace 1 with an empty batch.
	StepTime time.Duration
	// StepTimePerSequence is added to StepTime for each request in the batch.
	StepTimePerSequence time.Duration
	// StepTimePerKiloToken is added to StepTime for each 1,000 tokens of context in the batch.
	StepTimePerKiloToken time.Duration
	// PrefillTokensPerSecond is how many prompt tokens are read in a second at pace 1.
	PrefillTokensPerSecond float64
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
	// LoadTime is how long a server takes to load the whole model when few others load.
	LoadTime            time.Duration
	ConcurrentLoads     int
	TypicalPromptTokens int
	TypicalAnswerTokens int
	Accelerators        []Accelerator
}

// Accelerator returns the row of an accelerator kind, or nil.
func (e *Engine) Accelerator(name string) *Accelerator {
	for i := range e.Accelerators {
		if e.Accelerators[i].Name == name {
			return &e.Accelerators[i]
		}
	}
	return nil
}

// Service is a group of interchangeable endpoints; Engine is nil for plain services.
type Service struct {
	Name   kwid.ServiceName
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a group of callers with keys of their own.
type Workspace struct {
	Name kwid.WorkspaceName
	Keys []string
	// Priority goes before the route's priority; nil leaves that in force.
	Priority *int
}

// Declaration is one whole numbered declaration.
type Declaration struct {
	Number     Number
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
