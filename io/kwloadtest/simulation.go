package kwloadtest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
)

// SimulationConfig configures a discrete-event simulation of the routing policy: several entries choose chains of
// endpoints, each of which is a FIFO queue with a fixed service rate. It models the latency of the links, but no other
// property of networks, processes or platforms.
type SimulationConfig struct {
	Name    string
	Layers  int
	Stages  []kwmaxflow.Stage
	Links   kwmaxflow.Links
	Entries int
	// InFlight is the number of requests in progress at any time, over all entries.
	InFlight int
	// ChunkTokens is the number of tokens in one pass over a chain. A request makes ChunksPerRequest passes.
	ChunkTokens      int
	ChunksPerRequest int
	Duration         time.Duration
	WarmUp           time.Duration
	// LoadLag is the interval at which entries learn the load that the other entries cause; 0 means never.
	LoadLag time.Duration
	Policy  kwmaxflow.Policy
	Seed    uint64
}

// SimulationResult is the result of a simulation. BoundShare is the throughput as a fraction of Bound, the max-flow.
type SimulationResult struct {
	Policy          kwmaxflow.Policy `json:"policy"`
	Bound           float64          `json:"bound-tokens-per-second"`
	TokensPerSecond float64          `json:"tokens-per-second"`
	BoundShare      float64          `json:"throughput-against-bound"`
	LongestQueue    int              `json:"longest-queue"`
}

// simEndpoint is a simulated endpoint: a FIFO queue that serves chunks at a fixed rate, in tokens per second.
type simEndpoint struct {
	rate   float64
	freeAt time.Duration
	// reportedRequests is the number of requests of all entries at the latest report.
	reportedRequests float64
}

// simRequest is a request in progress; chain holds indices of endpoints.
type simRequest struct {
	entry           int
	chain           []int
	nextStage       int
	remainingPasses int
}

// event is the arrival of a request at its next stage. seq orders events of the same time.
type event struct {
	at      time.Duration
	seq     int
	request *simRequest
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulationRun is the state of a simulation.
type simulationRun struct {
	cfg          SimulationConfig
	graph        *kwmaxflow.Graph
	index        map[kwid.EndpointID]int
	endpoints    []simEndpoint
	entries      []*simEntry
	queue        eventQueue
	seq          int
	now          time.Duration
	nextReport   time.Duration
	tokens       int
	longestQueue int
}

// simEntry is a simulated entry: its chooser and its own requests for each endpoint, at present and at the latest
// report.
type simEntry struct {
	sim         *simulationRun
	chooser     *kwmaxflow.Chooser
	ownRequests []float64
	reportedOwn []float64
}

// Outstanding returns the load of an endpoint by the latest report, corrected by what this entry has added since.
func (e *simEntry) Outstanding(id kwid.EndpointID) float64 {
	i := e.sim.index[id]
	if e.sim.cfg.LoadLag == 0 {
		return e.ownRequests[i]
	}
	return max(e.ownRequests[i], e.sim.endpoints[i].reportedRequests+e.ownRequests[i]-e.reportedOwn[i])
}

// Excluded always returns false, since no endpoint fails in a simulation.
func (e *simEntry) Excluded(kwid.EndpointID) bool { return false }

// RunSimulation runs a simulation. It is deterministic: equal configurations give equal results.
func RunSimulation(cfg SimulationConfig) (SimulationResult, error) {
	sim := &simulationRun{cfg: cfg, index: make(map[kwid.EndpointID]int)}
	sim.graph = kwmaxflow.NewGraph(cfg.Layers, cfg.Stages, cfg.Links)
	sim.endpoints = make([]simEndpoint, len(cfg.Stages))
	for i, s := range cfg.Stages {
		sim.index[s.Endpoint] = i
		sim.endpoints[i].rate = s.TokenRate
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	for i := range cfg.Entries {
		sim.entries = append(sim.entries, &simEntry{
			sim:         sim,
			chooser:     kwmaxflow.NewChooser(cfg.Policy, cfg.Seed+uint64(i)*7919+1),
			ownRequests: make([]float64, len(cfg.Stages)),
			reportedOwn: make([]float64, len(cfg.Stages)),
		})
	}
	for i := range cfg.InFlight {
		if err := sim.startRequest(i%cfg.Entries, time.Duration(rng.Int64N(int64(time.Second)))); err != nil {
			return SimulationResult{}, err
		}
	}
	if err := sim.run(); err != nil {
		return SimulationResult{}, err
	}
	measuredSeconds := (cfg.Duration - cfg.WarmUp).Seconds()
	out := SimulationResult{Policy: cfg.Policy, Bound: sim.graph.MaxFlow(), TokensPerSecond: float64(sim.tokens) / measuredSeconds, LongestQueue: sim.longestQueue}
	out.BoundShare = out.TokensPerSecond / out.Bound
	return out, nil
}

// startRequest starts a request at an entry.
func (sim *simulationRun) startRequest(entry int, at time.Duration) error {
	e := sim.entries[entry]
	chain, err := e.chooser.Choose(sim.graph, e)
	if err != nil {
		return err
	}
	r := &simRequest{entry: entry, remainingPasses: sim.cfg.ChunksPerRequest}
	for _, s := range chain {
		i := sim.index[s.Endpoint]
		r.chain = append(r.chain, i)
		e.ownRequests[i]++
	}
	sim.schedule(at, r)
	return nil
}

// schedule queues the arrival of a request at its next stage.
func (sim *simulationRun) schedule(at time.Duration, r *simRequest) {
	sim.seq++
	heap.Push(&sim.queue, event{at: at, seq: sim.seq, request: r})
}

func (sim *simulationRun) run() error {
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		if sim.now > sim.cfg.Duration {
			return nil
		}
		sim.publishLoad()
		if err := sim.handleArrival(e.request); err != nil {
			return err
		}
	}
	return nil
}

// publishLoad reports the present load of all endpoints to every entry, once per LoadLag.
func (sim *simulationRun) publishLoad() {
	if sim.cfg.LoadLag == 0 || sim.now < sim.nextReport {
		return
	}
	sim.nextReport = sim.now + sim.cfg.LoadLag
	for i := range sim.endpoints {
		sim.endpoints[i].reportedRequests = 0
	}
	for _, e := range sim.entries {
		copy(e.reportedOwn, e.ownRequests)
		for i, n := range e.ownRequests {
			sim.endpoints[i].reportedRequests += n
		}
	}
}

// handleArrival serves a chunk at the next stage of a request, or ends the pass over the chain.
func (sim *simulationRun) handleArrival(r *simRequest) error {
	if r.nextStage == len(r.chain) {
		return sim.finishPass(r)
	}
	i := r.chain[r.nextStage]
	s := &sim.endpoints[i]
	start := max(sim.now, s.freeAt)
	s.freeAt = start + time.Duration(float64(sim.cfg.ChunkTokens)/s.rate*float64(time.Second))
	waiting := int((s.freeAt - sim.now).Seconds() * s.rate / float64(sim.cfg.ChunkTokens))
	sim.longestQueue = max(sim.longestQueue, waiting)
	delay := time.Duration(0)
	if r.nextStage+1 < len(r.chain) {
		delay = sim.cfg.Links.Between(sim.cfg.Stages[i].Zone, sim.cfg.Stages[r.chain[r.nextStage+1]].Zone).Latency
	}
	r.nextStage++
	sim.schedule(s.freeAt+delay, r)
	return nil
}

// finishPass starts the next pass of a request, or replaces the request by a new one if this was its last pass.
func (sim *simulationRun) finishPass(r *simRequest) error {
	if sim.now >= sim.cfg.WarmUp {
		sim.tokens += sim.cfg.ChunkTokens
	}
	r.nextStage = 0
	r.remainingPasses--
	if r.remainingPasses > 0 {
		sim.schedule(sim.now, r)
		return nil
	}
	for _, i := range r.chain {
		sim.entries[r.entry].ownRequests[i]--
	}
	return sim.startRequest(r.entry, sim.now)
}

// SimulatedFleet describes the size of a simulated fleet. ServerKinds is the number of different token rates, and
// LayerRanges the number of ranges into which the model is split.
type SimulatedFleet struct {
	Name        string
	Servers     int
	ServerKinds int
	LayerRanges int
	Entries     int
}

// SimulatedFleets returns fleets of the present size, of the target size, and of one in between.
func SimulatedFleets() []SimulatedFleet {
	return []SimulatedFleet{
		{Name: "today", Servers: 30, ServerKinds: 3, LayerRanges: 3, Entries: 4},
		{Name: "middle", Servers: 150, ServerKinds: 7, LayerRanges: 5, Entries: 90},
		{Name: "target", Servers: 600, ServerKinds: 7, LayerRanges: 6, Entries: 370},
	}
}

// Constants of the simulated fleets and their load.
const (
	simLayersPerRange   = 8
	slowestKindRate     = 400
	kindRateFactor      = 1.6
	simChunkTokens      = 16
	simChunksPerRequest = 12
	requestsPerServer   = 12
	simZones            = 5
	crossZoneLatency    = 5 * time.Millisecond
	sameZoneLatency     = 50 * time.Microsecond
)

// Config returns the simulation of the fleet. Its servers are of random kinds whose rates differ by powers of
// kindRateFactor, and latency between zones is 100 times that within a zone.
func (f SimulatedFleet) Config(policy kwmaxflow.Policy, seed uint64, lag time.Duration) SimulationConfig {
	cfg := SimulationConfig{
		Name:             f.Name,
		Layers:           f.LayerRanges * simLayersPerRange,
		Links:            make(kwmaxflow.Links),
		Entries:          f.Entries,
		InFlight:         f.Servers * requestsPerServer,
		ChunkTokens:      simChunkTokens,
		ChunksPerRequest: simChunksPerRequest,
		Duration:         30 * time.Second,
		WarmUp:           10 * time.Second,
		LoadLag:          lag,
		Policy:           policy,
		Seed:             seed,
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	for i := range f.Servers {
		rate := float64(slowestKindRate)
		for range rng.IntN(f.ServerKinds) {
			rate *= kindRateFactor
		}
		firstLayer := kwid.Layer(i % f.LayerRanges * simLayersPerRange)
		cfg.Stages = append(cfg.Stages, kwmaxflow.Stage{
			Endpoint:  kwid.EndpointID(fmt.Sprintf("e%04d", i)),
			Zone:      zoneName(i / f.LayerRanges % simZones),
			Layers:    kwid.LayerRange{From: firstLayer, To: firstLayer + simLayersPerRange},
			TokenRate: rate,
		})
	}
	for a := range simZones {
		for b := range simZones {
			latency := sameZoneLatency
			if a != b {
				latency = crossZoneLatency
			}
			cfg.Links[kwmaxflow.ZonePair{From: zoneName(a), To: zoneName(b)}] = kwmaxflow.Link{Latency: latency}
		}
	}
	return cfg
}

func zoneName(i int) kwid.AvailabilityZone {
	return kwid.AvailabilityZone(fmt.Sprintf("z%d", i))
}
