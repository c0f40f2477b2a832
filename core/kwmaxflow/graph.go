package kwmaxflow

import (
	"cmp"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// Stage is one model server with its layers; Rate is in tokens a second.
type Stage struct {
	Endpoint    kwid.EndpointID       `cbor:"1,keyasint" json:"endpoint"`
	Incarnation kwid.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Agent       kwid.NodeID           `cbor:"3,keyasint" json:"agent"`
	Address     string                `cbor:"4,keyasint" json:"address"`
	Zone        kwid.AvailabilityZone `cbor:"5,keyasint" json:"availability-zone"`
	Layers      kwid.LayerRange       `cbor:"6,keyasint" json:"layers"`
	Rate        float64               `cbor:"7,keyasint" json:"rate-tokens-per-second"`
}

// Link is the path between two availability zones; Rate is in tokens a second.
type Link struct {
	Latency time.Duration
	Rate    float64
}

// ZonePair names a path between availability zones in one direction.
type ZonePair struct {
	From kwid.AvailabilityZone
	To   kwid.AvailabilityZone
}

// Links holds the known paths; a path that is not listed has no latency and no bound.
type Links map[ZonePair]Link

// Between returns the path from one availability zone to another, in either listed direction.
func (l Links) Between(a, b kwid.AvailabilityZone) Link {
	if link, ok := l[ZonePair{From: a, To: b}]; ok {
		return link
	}
	return l[ZonePair{From: b, To: a}]
}

// edge leads to a stage; weight is the flow that the plan sends along it.
type edge struct {
	to     int
	weight float64
	delay  time.Duration
}

// Graph is the layer graph of one model with flow weights; it is immutable and safe for concurrent use.
type Graph struct {
	layers kwid.Layer
	stages []Stage
	first  []edge
	next   [][]edge
	flow   float64
}

// NewGraph makes the graph of a model from its live stages.
func NewGraph(layers int, stages []Stage, links Links) *Graph {
	g := &Graph{layers: kwid.Layer(layers)}
	g.stages = slices.Clone(stages)
	slices.SortFunc(g.stages, func(a, b Stage) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	g.next = make([][]edge, len(g.stages))
	starts := make(map[kwid.Layer][]int)
	for i, s := range g.stages {
		starts[s.Layers.From] = append(starts[s.Layers.From], i)
	}
	for _, i := range starts[0] {
		g.first = append(g.first, edge{to: i})
	}
	for i, s := range g.stages {
		for _, k := range starts[s.Layers.To] {
			link := links.Between(s.Zone, g.stages[k].Zone)
			g.next[i] = append(g.next[i], edge{to: k, delay: link.Latency})
		}
	}
	g.weigh(links)
	return g
}

// StageCount returns how many stages the graph has.
func (g *Graph) StageCount() int { return len(g.stages) }

// MaxFlow returns the max-flow of the graph in tokens a second: the bound on useful throughput.
func (g *Graph) MaxFlow() float64 { return g.flow }

// linkRate returns the capacity of a path; 0 in the declaration means no bound.
func linkRate(l Link, fallback float64) float64 {
	if l.Rate <= 0 {
		return fallback
	}
	return l.Rate
}

// weigh solves the max-flow and keeps the flow of each edge as its weight.
func (g *Graph) weigh(links Links) {
	total := 1.0
	for _, s := range g.stages {
		total += s.Rate
	}
	n := len(g.stages)
	source, sink := 2*n, 2*n+1
	net := newNetwork(2*n + 2)
	firstArcs := make([]int, len(g.first))
	for k, e := range g.first {
		firstArcs[k] = net.add(source, 2*e.to, total)
	}
	nextArcs := make([][]int, n)
	for i, s := range g.stages {
		net.add(2*i, 2*i+1, s.Rate)
		if s.Layers.To == g.layers {
			net.add(2*i+1, sink, total)
		}
		for _, e := range g.next[i] {
			rate := linkRate(links.Between(s.Zone, g.stages[e.to].Zone), total)
			nextArcs[i] = append(nextArcs[i], net.add(2*i+1, 2*e.to, rate))
		}
	}
	g.flow = net.solve(source, sink)
	for k := range g.first {
		g.first[k].weight = net.flow(firstArcs[k])
	}
	for i := range g.next {
		for k := range g.next[i] {
			g.next[i][k].weight = net.flow(nextArcs[i][k])
		}
	}
	g.spread(links)
}

// spread mixes a max-flow solution: each stage sends to every successor in proportion to the flow the
// successor carries, unless a link would then carry more than its rate.
func (g *Graph) spread(links Links) {
	carried := g.carried()
	starts := make(map[kwid.Layer]float64)
	for i, s := range g.stages {
		starts[s.Layers.From] += carried[i]
	}
	for i, s := range g.stages {
		for _, e := range g.next[i] {
			link := links.Between(s.Zone, g.stages[e.to].Zone)
			mixed := carried[i] * carried[e.to] / max(starts[s.Layers.To], flowEpsilon)
			if link.Rate > 0 && mixed > link.Rate {
				return
			}
		}
	}
	for i := range g.next {
		for k := range g.next[i] {
			g.next[i][k].weight = carried[g.next[i][k].to]
		}
	}
}

// carried returns the flow through each stage.
func (g *Graph) carried() []float64 {
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
