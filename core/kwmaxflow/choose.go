package kwmaxflow

import (
	"math/rand/v2"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Policy names a way to choose among stages.
type Policy string

const (
	// FlowTwoChoice samples two stages by max-flow weight and takes the one that will answer first.
	FlowTwoChoice Policy = "flow-two-choice"
	// RoundRobin takes stages in turn.
	RoundRobin Policy = "round-robin"
	// Random takes any stage with equal chance.
	Random Policy = "random"
	// LeastOutstanding takes the stage with the fewest requests of this entry.
	LeastOutstanding Policy = "least-outstanding"
)

// EndpointLoads tells what an entry knows of an endpoint's work.
type EndpointLoads interface {
	// Outstanding returns the requests that are at the endpoint now.
	Outstanding(id kwid.EndpointID) float64
	// Excluded tells whether the endpoint must not be chosen.
	Excluded(id kwid.EndpointID) bool
}

// Chooser picks chains from a graph; it is not safe for concurrent use.
type Chooser struct {
	policy Policy
	rng    *rand.Rand
	turn   int
}

// maxTurn spreads the first turns of many round-robin choosers.
const maxTurn = 1 << 16

// NewChooser returns a Chooser with a policy and a seed.
func NewChooser(policy Policy, seed uint64) *Chooser {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	return &Chooser{policy: policy, rng: rng, turn: rng.IntN(maxTurn)}
}

// Choose picks stages that cover every layer once; it returns NoChain if none can.
func (c *Chooser) Choose(g *Graph, loads EndpointLoads) ([]Stage, error) {
	viable := g.viable(loads)
	var chain []Stage
	edges := g.first
	var at kwid.Layer
	for at < g.layers {
		pick := c.pick(g, edges, viable, loads)
		if pick < 0 {
			return nil, kwcode.New(kwcode.NoChain, "no live stage starts at layer %d", at)
		}
		chain = append(chain, g.stages[pick])
		at = g.stages[pick].Layers.To
		edges = g.next[pick]
	}
	c.turn++
	return chain, nil
}

// viable marks the stages from which the last layer can be reached without an excluded stage.
func (g *Graph) viable(loads EndpointLoads) []bool {
	known := make([]bool, len(g.stages))
	out := make([]bool, len(g.stages))
	for i := range g.stages {
		g.reach(i, loads, known, out)
	}
	return out
}

func (g *Graph) reach(i int, loads EndpointLoads, known, out []bool) bool {
	if known[i] {
		return out[i]
	}
	known[i] = true
	if loads.Excluded(g.stages[i].Endpoint) {
		return false
	}
	if g.stages[i].Layers.To == g.layers {
		out[i] = true
		return true
	}
	for _, e := range g.next[i] {
		if g.reach(e.to, loads, known, out) {
			out[i] = true
			return true
		}
	}
	return false
}

func (c *Chooser) pick(g *Graph, edges []edge, viable []bool, loads EndpointLoads) int {
	switch c.policy {
	case RoundRobin:
		return c.inTurn(edges, viable)
	case Random:
		return c.atRandom(edges, viable)
	case LeastOutstanding:
		return c.leastOutstanding(g, edges, viable, loads)
	default:
		return c.twoChoice(g, edges, viable, loads)
	}
}

func (c *Chooser) inTurn(edges []edge, viable []bool) int {
	for k := range edges {
		to := edges[(c.turn+k)%len(edges)].to
		if viable[to] {
			return to
		}
	}
	return -1
}

func (c *Chooser) atRandom(edges []edge, viable []bool) int {
	return c.sample(edges, viable, func(edge) float64 { return 1 })
}

// leastOutstanding breaks ties by chance.
func (c *Chooser) leastOutstanding(g *Graph, edges []edge, viable []bool, loads EndpointLoads) int {
	best := -1
	ties := 0
	var least float64
	for _, e := range edges {
		if !viable[e.to] {
			continue
		}
		n := loads.Outstanding(g.stages[e.to].Endpoint)
		if best < 0 || n < least {
			best, least, ties = e.to, n, 1
			continue
		}
		if n > least {
			continue
		}
		ties++
		if c.rng.IntN(ties) == 0 {
			best = e.to
		}
	}
	return best
}

// minWeight keeps stages that carry no planned flow reachable when others are excluded.
const minWeight = 1e-6

func (c *Chooser) twoChoice(g *Graph, edges []edge, viable []bool, loads EndpointLoads) int {
	a := c.sample(edges, viable, func(e edge) float64 { return max(e.weight, minWeight) })
	if a < 0 {
		return -1
	}
	b := c.sample(edges, viable, func(e edge) float64 {
		if e.to == a {
			return 0
		}
		return max(e.weight, minWeight)
	})
	if g.cost(edges, b, loads) < g.cost(edges, a, loads) {
		return b
	}
	return a
}

// cost estimates the delay of one token at a stage: the link to it and the work that waits there.
func (g *Graph) cost(edges []edge, to int, loads EndpointLoads) float64 {
	s := g.stages[to]
	wait := (loads.Outstanding(s.Endpoint) + 1) / max(s.Rate, minWeight)
	for _, e := range edges {
		if e.to == to {
			return wait + float64(e.delay)/float64(time.Second)
		}
	}
	return wait
}

func (c *Chooser) sample(edges []edge, viable []bool, weight func(edge) float64) int {
	total := 0.0
	last := -1
	for _, e := range edges {
		if viable[e.to] {
			total += weight(e)
			last = e.to
		}
	}
	point := c.rng.Float64() * total
	for _, e := range edges {
		if !viable[e.to] {
			continue
		}
		point -= weight(e)
		if point < 0 {
			return e.to
		}
	}
	return last
}
