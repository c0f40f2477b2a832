package kwchainsearch

import (
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// MaxStages is the largest number of endpoints of a chain that engines take.
const MaxStages = 32

// Stage is one endpoint of a chain with the layers that it runs there.
type Stage struct {
	Endpoint kwid.EndpointID
	Address  string
	Layers   kwid.LayerRange
}

// Chain runs every layer once and in order; the request goes to the endpoint of the first part.
type Chain struct {
	Stages []Stage
	// TokenTime is the estimated time of one token, loads included.
	TokenTime time.Duration
	// PrefillTime is the time to read the prompt without others.
	PrefillTime time.Duration
}

// First returns the endpoint that takes the request.
func (c Chain) First() Stage { return c.Stages[0] }

// EventInterval is the usual time between two events of a stream: an engine hands out the tokens of a pass together.
func (c Chain) EventInterval(e *kwdeclaration.Engine) time.Duration {
	return c.TokenTime * time.Duration(max(1, e.TokensPerEvent))
}

// Uses tells whether an endpoint is part of the chain.
func (c Chain) Uses(id kwid.EndpointID) bool {
	for _, p := range c.Stages {
		if p.Endpoint == id {
			return true
		}
	}
	return false
}

// LayerTokens counts KV cache use or room in tokens times layers.
type LayerTokens float64

// Server is a model server as the choice sees it.
type Server struct {
	ID          kwid.EndpointID
	Address     string
	Zone        kwid.AvailabilityZone
	Layers      kwid.LayerRange
	Pace        float64
	PrefillPace float64
	Capacity    LayerTokens
	Used        LayerTokens
	// Slots is how many requests the server takes as the first of a chain, Running how many it has of these.
	Slots   int
	Running int
}

// NewServer returns a server of an engine without load; ok is false for an unknown accelerator or no layers.
func NewServer(e *kwdeclaration.Engine, accelerator string, layers kwid.LayerRange) (s Server, ok bool) {
	a := e.Accelerator(accelerator)
	if a == nil || layers.Len() <= 0 || e.KVMBPerTokenLayer <= 0 {
		return Server{}, false
	}
	room := (a.MemoryMB - float64(layers.Len())*e.LayerMB) / e.KVMBPerTokenLayer
	return Server{Layers: layers, Pace: a.StepTimeFactor, PrefillPace: a.PrefillTimeFactor, Capacity: LayerTokens(max(0, room)), Slots: e.Slots}, true
}

// fill is the share of the KV room that is in use.
func (s *Server) fill() float64 {
	if s.Capacity <= 0 {
		return 1
	}
	return float64(s.Used / s.Capacity)
}
