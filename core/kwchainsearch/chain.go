package kwchainsearch

import (
	"slices"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// MaxStages is the largest number of stages in a chain that engines accept.
const MaxStages = 32

// Stage is one endpoint of a chain and the layers that it runs.
type Stage struct {
	Endpoint kwid.EndpointID
	Address  string
	Layers   kwid.LayerRange
}

// Chain runs every layer once and in order. The request is sent to the endpoint of the first stage.
type Chain struct {
	Stages []Stage
	// TokenTime is the estimated time per token under the present load.
	TokenTime time.Duration
	// PrefillTime is the time to process the prompt on endpoints without other requests.
	PrefillTime time.Duration
}

// First returns the stage whose endpoint receives the request.
func (c Chain) First() Stage { return c.Stages[0] }

// EventInterval is the expected time between two events of a stream; an engine sends TokensPerEvent tokens in each.
func (c Chain) EventInterval(e *kwdeclaration.Engine) time.Duration {
	return c.TokenTime * time.Duration(max(1, e.TokensPerEvent))
}

// AnswerTime is the expected time from the arrival of a request at the chain to the end of its answer, if it does not wait.
func (c Chain) AnswerTime(answerTokens int) time.Duration {
	return c.PrefillTime + c.TokenTime*time.Duration(answerTokens)
}

// StageOf returns the stage of an endpoint; ok is false if it is not part of the chain.
func (c Chain) StageOf(id kwid.EndpointID) (stage Stage, ok bool) {
	i := slices.IndexFunc(c.Stages, func(s Stage) bool { return s.Endpoint == id })
	if i < 0 {
		return Stage{}, false
	}
	return c.Stages[i], true
}

// Uses reports whether an endpoint is part of the chain.
func (c Chain) Uses(id kwid.EndpointID) bool {
	_, ok := c.StageOf(id)
	return ok
}

// LayerTokens is an amount of KV cache, in tokens times layers.
type LayerTokens float64

// Server is a model server and its present load. Its factors multiply the time of a decode step and of prompt processing;
// Capacity and Used are the size and the use of its KV cache.
type Server struct {
	ID                kwid.EndpointID
	Address           string
	Zone              kwid.AvailabilityZone
	Layers            kwid.LayerRange
	StepTimeFactor    float64
	PrefillTimeFactor float64
	Capacity          LayerTokens
	Used              LayerTokens
	// Withheld is KV cache that is free, but left to the requests of other entries.
	Withheld LayerTokens
	// Slots is the number of requests that the server accepts as the first of a chain, Running the number that it has.
	Slots   int
	Running int
	// NotFirst means that the server accepts no request as the first of a chain now, whatever its load.
	NotFirst bool
}

// NewServer returns a server of an engine without load; ok is false for an unknown accelerator or an empty layer range.
func NewServer(e *kwdeclaration.Engine, accelerator string, layers kwid.LayerRange) (s Server, ok bool) {
	a := e.Accelerator(accelerator)
	if a == nil || layers.Len() <= 0 || e.KVMBPerTokenLayer <= 0 {
		return Server{}, false
	}
	kvLayerTokens := (a.MemoryMB - float64(layers.Len())*e.LayerMB) / e.KVMBPerTokenLayer
	return Server{Layers: layers, StepTimeFactor: a.StepTimeFactor, PrefillTimeFactor: a.PrefillTimeFactor, Capacity: LayerTokens(max(0, kvLayerTokens)), Slots: e.Slots}, true
}

// kvUse returns the share of the KV cache that is in use.
func (s *Server) kvUse() float64 {
	if s.Capacity <= 0 {
		return 1
	}
	return float64(s.Used / s.Capacity)
}
