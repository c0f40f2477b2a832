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

// Profile is a named load on a named fleet.
type Profile struct {
	Name string
	// Callers keep one chat request each in progress.
	Callers int
	// Writers send one write after another, each with a key of its own.
	Writers      int
	PromptWords  int
	AnswerTokens int
	// TokenRates are the token rates of the servers of each range of layers.
	TokenRates []float64
	// ArrivalShare is the offered load of the recovery run, as a share of what is left after the loss.
	ArrivalShare float64
	// PlannedStopCallers keep requests in progress while endpoints are drained and stopped.
	PlannedStopCallers int
	MaxBatch           int
}

// Profiles returns the named profiles: the nightly drafting batch and the festival-eve loan desk.
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
	loadLayers  = 12
	loadRecords = 3
	loadKV      = 1 << 20
	stepTimeout = 400 * time.Millisecond
	loadZones   = 2
	maxInFlight = 4096
)

// stages builds the servers of a profile: each range of layers held once at each rate.
func (p Profile) stages() []kwdemo.Stage {
	zones := [loadZones]kwid.AvailabilityZone{"east", "west"}
	cuts := []kwid.LayerRange{{From: 0, To: 5}, {From: 5, To: 9}, {From: 9, To: loadLayers}}
	var out []kwdemo.Stage
	for c, cut := range cuts {
		for i, rate := range p.TokenRates {
			out = append(out, kwdemo.Stage{
				Name:      fmt.Sprintf("cut%d-kind%d", c, i),
				Zone:      zones[i%loadZones],
				Layers:    cut,
				TokenRate: rate,
				Servers:   1,
			})
		}
	}
	return out
}

// bound returns the max-flow of the profile's stages in tokens a second.
func (p Profile) bound() float64 {
	var stages []kwmaxflow.Stage
	for _, s := range p.stages() {
		stages = append(stages, kwmaxflow.Stage{Endpoint: kwid.EndpointID(s.Name), Layers: s.Layers, Rate: s.TokenRate})
	}
	return kwmaxflow.NewGraph(loadLayers, stages, nil).MaxFlow()
}

// left returns the bound after the loss of the fastest server of a range, in tokens a second.
func (p Profile) left() float64 {
	return p.bound() - slices.Max(p.TokenRates)
}

// arrivals returns the requests a second of the recovery run.
func (p Profile) arrivals() float64 {
	return p.ArrivalShare * p.left() / float64(p.PromptWords+p.AnswerTokens)
}

// fleet starts the profile's fleet with a routing policy.
func (p Profile) fleet(folder string, policy kwmaxflow.Policy, seed uint64) (*kwdemo.Fleet, error) {
	cfg := kwdemo.DefaultConfig(folder, logr.Discard())
	cfg.Layers = loadLayers
	cfg.Stages = p.stages()
	cfg.Records = loadRecords
	cfg.Policy = policy
	cfg.Seed = seed
	cfg.MaxBatch = p.MaxBatch
	cfg.KVTokens = loadKV
	cfg.PrefixTokens = 0
	cfg.StepTimeout = stepTimeout
	cfg.Base = kwdemo.BaseTOML(loadLayers, maxInFlight)
	cfg.Overlay = kwdemo.OverlayTOML(cfg.Site, cfg.Stages, loadRecords)
	return kwdemo.New(cfg)
}
