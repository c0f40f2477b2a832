package kwmaxflow

import (
	"cmp"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Stage is one model server with the layers that it holds. Rate is in tokens per second.
type Stage struct {
	Endpoint    kwid.EndpointID       `cbor:"1,keyasint" json:"endpoint"`
	Incarnation kwid.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Agent       kwid.NodeID           `cbor:"3,keyasint" json:"agent"`
	Address     string                `cbor:"4,keyasint" json:"address"`
	Zone        kwid.AvailabilityZone `cbor:"5,keyasint" json:"availability-zone"`
	Layers      kwid.LayerRange       `cbor:"6,keyasint" json:"layers"`
	TokenRate   float64               `cbor:"7,keyasint" json:"rate-tokens-per-second"`
}

// Link is the network path between two availability zones. Rate is in tokens per second; 0 means unlimited.
type Link struct {
	Latency time.Duration
	Rate    float64
}

// ZonePair identifies the path from one availability zone to another.
type ZonePair struct {
	From kwid.AvailabilityZone
	To   kwid.AvailabilityZone
}

// Links holds the known paths. A path that is not listed has no latency and no limit.
type Links map[ZonePair]Link

// Between returns the path from a to b, or that from b to a if only it is listed.
func (l Links) Between(a, b kwid.AvailabilityZone) Link {
	if link, ok := l[ZonePair{From: a, To: b}]; ok {
		return link
	}
	return l[ZonePair{From: b, To: a}]
}

// edge leads to a stage; weight is the flow that is planned along it.
type edge struct {
	to      int
	weight  float64
	latency time.Duration
}

// Graph is the layer graph of one model with flow weights. It is immutable and safe for concurrent use.
type Graph struct {
	layers kwid.Layer
	stages []Stage
	// first leads to the stages that hold the first layer.
	first []edge
	// next leads from each stage to the stages that continue after its last layer.
	next    [][]edge
	maxFlow float64
}

// NewGraph returns the graph of a model with the given number of layers and live stages.
func NewGraph(layers int, stages []Stage, links Links) *Graph {
	g := &Graph{layers: kwid.Layer(layers)}
	g.stages = slices.Clone(stages)
	slices.SortFunc(g.stages, func(a, b Stage) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	g.next = make([][]edge, len(g.stages))
	startingAt := make(map[kwid.Layer][]int)
	for i, s := range g.stages {
		startingAt[s.Layers.From] = append(startingAt[s.Layers.From], i)
	}
	for _, i := range startingAt[0] {
		g.first = append(g.first, edge{to: i})
	}
	for i, s := range g.stages {
		for _, k := range startingAt[s.Layers.To] {
			link := links.Between(s.Zone, g.stages[k].Zone)
			g.next[i] = append(g.next[i], edge{to: k, latency: link.Latency})
		}
	}
	g.setFlowWeights(links)
	return g
}

// StageCount returns the number of stages in the graph.
func (g *Graph) StageCount() int { return len(g.stages) }

// MaxFlow returns the maximum flow through the graph in tokens per second, an upper bound of the throughput.
func (g *Graph) MaxFlow() float64 { return g.maxFlow }

// linkRate returns the capacity of a path, or the fallback for an unlimited one.
func linkRate(l Link, fallback float64) float64 {
	if l.Rate <= 0 {
		return fallback
	}
	return l.Rate
}

// setFlowWeights computes the maximum flow and uses the flow along each edge as its weight.
func (g *Graph) setFlowWeights(links Links) {
	// No path can carry more than the sum of all rates.
	unlimited := 1.0
	for _, s := range g.stages {
		unlimited += s.TokenRate
	}
	n := len(g.stages)
	source, sink := 2*n, 2*n+1
	net := newFlowNetwork(2*n + 2)
	firstArcs := make([]int, len(g.first))
	for k, e := range g.first {
		firstArcs[k] = net.addArc(source, 2*e.to, unlimited)
	}
	nextArcs := make([][]int, n)
	for i, s := range g.stages {
		net.addArc(2*i, 2*i+1, s.TokenRate)
		if s.Layers.To == g.layers {
			net.addArc(2*i+1, sink, unlimited)
		}
		for _, e := range g.next[i] {
			rate := linkRate(links.Between(s.Zone, g.stages[e.to].Zone), unlimited)
			nextArcs[i] = append(nextArcs[i], net.addArc(2*i+1, 2*e.to, rate))
		}
	}
	g.maxFlow = net.solve(source, sink)
	for k := range g.first {
		g.first[k].weight = net.flow(firstArcs[k])
	}
	for i := range g.next {
		for k := range g.next[i] {
			g.next[i][k].weight = net.flow(nextArcs[i][k])
		}
	}
	g.setProportionalWeights(links)
}

// setProportionalWeights spreads the flow evenly: each stage sends to every successor in proportion to the flow that the
// successor carries. It keeps the weights of the maximum flow if a link would then exceed its rate.
func (g *Graph) setProportionalWeights(links Links) {
	flows := g.stageFlows()
	flowFrom := make(map[kwid.Layer]float64)
	for i, s := range g.stages {
		flowFrom[s.Layers.From] += flows[i]
	}
	for i, s := range g.stages {
		for _, e := range g.next[i] {
			link := links.Between(s.Zone, g.stages[e.to].Zone)
			flow := flows[i] * flows[e.to] / max(flowFrom[s.Layers.To], flowEpsilon)
			if link.Rate > 0 && flow > link.Rate {
				return
			}
		}
	}
	for i := range g.next {
		for k := range g.next[i] {
			g.next[i][k].weight = flows[g.next[i][k].to]
		}
	}
}

// stageFlows returns the flow through each stage.
func (g *Graph) stageFlows() []float64 {
	out := make([]float64, len(g.stages))
	for _, e := range g.first {
		out[e.to] += e.weight
	}
	for i := range g.next {
		for _, e := range g.next[i] {
			out[e.to] += e.weight
		}
	}
	return out
}
