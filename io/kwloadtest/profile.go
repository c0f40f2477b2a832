package kwloadtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/io/kwdemo"
)

// Profile is a named load with the fleet that serves it.
type Profile struct {
	Name string
	// Callers is the number of clients that each keep one chat request in progress at saturation.
	Callers int
	// Writers is the number of clients that send one write after another, each with a new idempotency key.
	Writers      int
	PromptWords  int
	AnswerTokens int
	// TokenRates holds the rates of the servers of each layer range, in tokens per second.
	TokenRates []float64
	// ArrivalShare is the offered load of the recovery run, as a fraction of the capacity that remains after the loss.
	ArrivalShare float64
	// PlannedStopCallers is Callers for the run in which endpoints are drained and stopped.
	PlannedStopCallers int
	MaxBatch           int
}

// Profiles returns the named profiles: the nightly drafting batch and the loan desk on the eve of a festival.
func Profiles() []Profile {
	return []Profile{
		{Name: "drafting", Callers: 144, Writers: 2, PromptWords: 8, AnswerTokens: 24, TokenRates: []float64{200, 360, 640}, ArrivalShare: 0.5, PlannedStopCallers: 16, MaxBatch: 8},
		{Name: "loan-desk", Callers: 120, Writers: 6, PromptWords: 6, AnswerTokens: 12, TokenRates: []float64{300, 480}, ArrivalShare: 0.5, PlannedStopCallers: 8, MaxBatch: 6},
	}
}

// FindProfile returns the named profile, or false.
func FindProfile(name string) (Profile, bool) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

const (
	modelLayers    = 12
	recordsServers = 3
	kvTokens       = 1 << 20
	stepTimeout    = 400 * time.Millisecond
	zoneCount      = 2
	maxInFlight    = 4096
)

// stages returns the stages of the fleet: for each layer range, one server of each rate.
func (p Profile) stages() []kwdemo.Stage {
	zones := [zoneCount]kwid.AvailabilityZone{"east", "west"}
	ranges := []kwid.LayerRange{{From: 0, To: 5}, {From: 5, To: 9}, {From: 9, To: modelLayers}}
	var out []kwdemo.Stage
	for c, layers := range ranges {
		for i, rate := range p.TokenRates {
			out = append(out, kwdemo.Stage{
				Name:      fmt.Sprintf("cut%d-kind%d", c, i),
				Zone:      zones[i%zoneCount],
				Layers:    layers,
				TokenRate: rate,
				Servers:   1,
			})
		}
	}
	return out
}

// bound returns the maximum flow through the stages, which limits the throughput, in tokens per second.
func (p Profile) bound() float64 {
	var stages []kwmaxflow.Stage
	for _, s := range p.stages() {
		stages = append(stages, kwmaxflow.Stage{Endpoint: kwid.EndpointID(s.Name), Layers: s.Layers, TokenRate: s.TokenRate})
	}
	return kwmaxflow.NewGraph(modelLayers, stages, nil).MaxFlow()
}

// boundAfterLoss returns the bound after the loss of the fastest server of one layer range, in tokens per second.
func (p Profile) boundAfterLoss() float64 {
	return p.bound() - slices.Max(p.TokenRates)
}

// arrivalRate returns the offered load of the recovery run, in requests per second.
func (p Profile) arrivalRate() float64 {
	return p.ArrivalShare * p.boundAfterLoss() / float64(p.PromptWords+p.AnswerTokens)
}

// startFleet starts the fleet of the profile with a routing policy.
func (p Profile) startFleet(folder string, policy kwmaxflow.Policy, seed uint64) (*kwdemo.Fleet, error) {
	cfg := kwdemo.DefaultConfig(folder, logr.Discard())
	cfg.Layers = modelLayers
	cfg.Stages = p.stages()
	cfg.RecordsServers = recordsServers
	cfg.Policy = policy
	cfg.Seed = seed
	cfg.MaxBatch = p.MaxBatch
	cfg.KVTokens = kvTokens
	cfg.PrefixTokens = 0
	cfg.StepTimeout = stepTimeout
	cfg.Base = kwdemo.BaseTOML(modelLayers, maxInFlight)
	cfg.Overlay = kwdemo.OverlayTOML(cfg.Site, cfg.Stages, recordsServers)
	return kwdemo.New(cfg)
}
