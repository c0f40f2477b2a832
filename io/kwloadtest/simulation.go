package kwloadtest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
)

// SimulationConfig declares a trial of the chain choice on a fake clock: entries share endpoints, each a queue with a
// declared rate. No network, process or platform is modelled.
type SimulationConfig struct {
	Name     string
	Layers   int
	Stages   []kwmaxflow.Stage
	Links    kwmaxflow.Links
	Entries  int
	InFlight int
	// ChunkTokens is the tokens of one pass over a chain; Chunks is the passes of one request.
	ChunkTokens      int
	ChunksPerRequest int
	Duration         time.Duration
	WarmUp           time.Duration
	// LoadLag is the age of the load that entries see of each other; 0 shows none.
	LoadLag time.Duration
	Policy  kwmaxflow.Policy
	Seed    uint64
}

// SimulationResult is the outcome of a trial.
type SimulationResult struct {
	Policy          kwmaxflow.Policy `json:"policy"`
	Bound           float64          `json:"bound-tokens-per-second"`
	TokensPerSecond float64          `json:"tokens-per-second"`
	BoundShare      float64          `json:"throughput-against-bound"`
	LongestQueue    int              `json:"longest-queue"`
}

// station is a fake endpoint: a queue that serves chunks in order at its rate.
type station struct {
	rate     float64
	free     time.Duration
	reported float64
}

// job is one request in progress.
type job struct {
	entry int
	chain []int
	at    int
	left  int
}

// event is the arrival of a job at its next stage.
type event struct {
	at  time.Duration
	seq int
	job *job
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

// trial is a run in progress.
type trial struct {
	cfg      SimulationConfig
	graph    *kwmaxflow.Graph
	index    map[kwid.EndpointID]int
	stations []station
	entries  []*trialEntry
	queue    eventQueue
	seq      int
	now      time.Duration
	nextLoad time.Duration
	tokens   int
	longest  int
}

// trialEntry is an entry's chooser with what it knows.
type trialEntry struct {
	trial   *trial
	chooser *kwmaxflow.Chooser
	own     []float64
	base    []float64
}

// Outstanding returns the last report and what this entry has added since.
func (e *trialEntry) Outstanding(id kwid.EndpointID) float64 {
	i := e.trial.index[id]
	if e.trial.cfg.LoadLag == 0 {
		return e.own[i]
	}
	return max(e.own[i], e.trial.stations[i].reported+e.own[i]-e.base[i])
}

// Excluded is always false: nothing fails in a trial.
func (e *trialEntry) Excluded(kwid.EndpointID) bool { return false }

// RunSimulation plays a trial; equal configurations give equal results to the digit.
func RunSimulation(cfg SimulationConfig) (SimulationResult, error) {
	t := &trial{cfg: cfg, index: make(map[kwid.EndpointID]int)}
	t.graph = kwmaxflow.NewGraph(cfg.Layers, cfg.Stages, cfg.Links)
	t.stations = make([]station, len(cfg.Stages))
	for i, s := range cfg.Stages {
		t.index[s.Endpoint] = i
		t.stations[i].rate = s.Rate
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	for i := range cfg.Entries {
		t.entries = append(t.entries, &trialEntry{
			trial:   t,
			chooser: kwmaxflow.NewChooser(cfg.Policy, cfg.Seed+uint64(i)*7919+1),
			own:     make([]float64, len(cfg.Stages)),
			base:    make([]float64, len(cfg.Stages)),
		})
	}
	for i := range cfg.InFlight {
		if err := t.begin(i%cfg.Entries, time.Duration(rng.Int64N(int64(time.Second)))); err != nil {
			return SimulationResult{}, err
		}
	}
	if err := t.run(); err != nil {
		return SimulationResult{}, err
	}
	span := (cfg.Duration - cfg.WarmUp).Seconds()
	out := SimulationResult{Policy: cfg.Policy, Bound: t.graph.MaxFlow(), TokensPerSecond: float64(t.tokens) / span, LongestQueue: t.longest}
	out.BoundShare = out.TokensPerSecond / out.Bound
	return out, nil
}

// begin starts a request at an entry.
func (t *trial) begin(entry int, at time.Duration) error {
	e := t.entries[entry]
	chain, err := e.chooser.Choose(t.graph, e)
	if err != nil {
		return err
	}
	j := &job{entry: entry, left: t.cfg.ChunksPerRequest}
	for _, s := range chain {
		i := t.index[s.Endpoint]
		j.chain = append(j.chain, i)
		e.own[i]++
	}
	t.post(at, j)
	return nil
}

func (t *trial) post(at time.Duration, j *job) {
	t.seq++
	heap.Push(&t.queue, event{at: at, seq: t.seq, job: j})
}

func (t *trial) run() error {
	for t.queue.Len() > 0 {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		if t.now > t.cfg.Duration {
			return nil
		}
		t.report()
		if err := t.arrive(e.job); err != nil {
			return err
		}
	}
	return nil
}

// report shows every entry the queues as they are now, once a lag span.
func (t *trial) report() {
	if t.cfg.LoadLag == 0 || t.now < t.nextLoad {
		return
	}
	t.nextLoad = t.now + t.cfg.LoadLag
	for i := range t.stations {
		t.stations[i].reported = 0
	}
	for _, e := range t.entries {
		copy(e.base, e.own)
		for i, n := range e.own {
			t.stations[i].reported += n
		}
	}
}

// arrive serves a chunk at the job's next stage, or ends a pass over the chain.
func (t *trial) arrive(j *job) error {
	if j.at == len(j.chain) {
		return t.endPass(j)
	}
	i := j.chain[j.at]
	s := &t.stations[i]
	start := max(t.now, s.free)
	s.free = start + time.Duration(float64(t.cfg.ChunkTokens)/s.rate*float64(time.Second))
	waiting := int((s.free - t.now).Seconds() * s.rate / float64(t.cfg.ChunkTokens))
	t.longest = max(t.longest, waiting)
	delay := time.Duration(0)
	if j.at+1 < len(j.chain) {
		delay = t.cfg.Links.Between(t.cfg.Stages[i].Zone, t.cfg.Stages[j.chain[j.at+1]].Zone).Latency
	}
	j.at++
	t.post(s.free+delay, j)
	return nil
}

func (t *trial) endPass(j *job) error {
	if t.now >= t.cfg.WarmUp {
		t.tokens += t.cfg.ChunkTokens
	}
	j.at = 0
	j.left--
	if j.left > 0 {
		t.post(t.now, j)
		return nil
	}
	for _, i := range j.chain {
		t.entries[j.entry].own[i]--
	}
	return t.begin(j.entry, t.now)
}

// SimulatedFleet names a fleet for trials.
type SimulatedFleet struct {
	Name        string
	Servers     int
	ServerKinds int
	LayerRanges int
	Entries     int
}

// SimulatedFleets returns the fleets of today and of the target.
func SimulatedFleets() []SimulatedFleet {
	return []SimulatedFleet{
		{Name: "today", Servers: 30, ServerKinds: 3, LayerRanges: 3, Entries: 4},
		{Name: "middle", Servers: 150, ServerKinds: 7, LayerRanges: 5, Entries: 90},
		{Name: "target", Servers: 600, ServerKinds: 7, LayerRanges: 6, Entries: 370},
	}
}

// Constants of the trials' fleets and load.
const (
	trialLayersPerCut = 8
	slowestKind       = 400
	kindStep          = 1.6
	trialChunk        = 16
	trialChunks       = 12
	perServer         = 12
	trialZones        = 5
	slowLink          = 5 * time.Millisecond
	fastLink          = 50 * time.Microsecond
)

// Config returns the trial of a fleet: mixed kinds whose rates grow by kindStep, over links a hundredfold apart.
func (f SimulatedFleet) Config(policy kwmaxflow.Policy, seed uint64, lag time.Duration) SimulationConfig {
	cfg := SimulationConfig{
		Name:             f.Name,
		Layers:           f.LayerRanges * trialLayersPerCut,
		Links:            make(kwmaxflow.Links),
		Entries:          f.Entries,
		InFlight:         f.Servers * perServer,
		ChunkTokens:      trialChunk,
		ChunksPerRequest: trialChunks,
		Duration:         30 * time.Second,
		WarmUp:           10 * time.Second,
		LoadLag:          lag,
		Policy:           policy,
		Seed:             seed,
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	for i := range f.Servers {
		rate := float64(slowestKind)
		for range rng.IntN(f.ServerKinds) {
			rate *= kindStep
		}
		cut := kwid.Layer(i % f.LayerRanges * trialLayersPerCut)
		cfg.Stages = append(cfg.Stages, kwmaxflow.Stage{
			Endpoint: kwid.EndpointID(fmt.Sprintf("e%04d", i)),
			Zone:     zoneName(i / f.LayerRanges % trialZones),
			Layers:   kwid.LayerRange{From: cut, To: cut + trialLayersPerCut},
			Rate:     rate,
		})
	}
	for a := range trialZones {
		for b := range trialZones {
			latency := fastLink
			if a != b {
				latency = slowLink
			}
			cfg.Links[kwmaxflow.ZonePair{From: zoneName(a), To: zoneName(b)}] = kwmaxflow.Link{Latency: latency}
		}
	}
	return cfg
}

func zoneName(i int) kwid.AvailabilityZone {
	return kwid.AvailabilityZone(fmt.Sprintf("z%d", i))
}
