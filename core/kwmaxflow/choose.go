package kwmaxflow

import (
	"math/rand/v2"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Policy names a load-balancing policy for choosing among stages.
type Policy string

const (
	// FlowTwoChoice samples two stages by max-flow weight and picks the one with the lower expected delay.
	FlowTwoChoice Policy = "flow-two-choice"
	// RoundRobin picks stages in turn.
	RoundRobin Policy = "round-robin"
	// Random picks each stage with the same probability.
	Random Policy = "random"
	// LeastOutstanding picks the stage with the fewest outstanding requests.
	LeastOutstanding Policy = "least-outstanding"
)

// EndpointLoads provides what an entry knows of the load of the endpoints.
type EndpointLoads interface {
	// Outstanding returns the estimated number of requests at the endpoint.
	Outstanding(id kwid.EndpointID) float64
	// Excluded reports whether the endpoint must not be chosen.
	Excluded(id kwid.EndpointID) bool
}

// Chooser chooses chains from a graph. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	rng    *rand.Rand
	turn   int
}

// maxFirstTurn is the range of the random first turn, so that many round-robin choosers do not start with the same stage.
const maxFirstTurn = 1 << 16

// NewChooser returns a Chooser with a policy and a seed for its random numbers.
func NewChooser(policy Policy, seed uint64) *Chooser {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	return &Chooser{policy: policy, rng: rng, turn: rng.IntN(maxFirstTurn)}
}

// Choose returns stages that cover every layer once, in order, or a NoChain error if there are none.
func (c *Chooser) Choose(g *Graph, loads EndpointLoads) ([]Stage, error) {
	viable := g.viable(loads)
	var chain []Stage
	edges := g.first
	var layer kwid.Layer
	for layer < g.layers {
		pick := c.pick(g, edges, viable, loads)
		if pick < 0 {
			return nil, kwcode.New(kwcode.NoChain, "no live stage starts at layer %d", layer)
		}
		chain = append(chain, g.stages[pick])
		layer = g.stages[pick].Layers.To
		edges = g.next[pick]
	}
	c.turn++
	return chain, nil
}

// viable reports for each stage whether it can be continued to the last layer without an excluded endpoint.
func (g *Graph) viable(loads EndpointLoads) []bool {
	visited := make([]bool, len(g.stages))
	result := make([]bool, len(g.stages))
	for i := range g.stages {
		g.canFinish(i, loads, visited, result)
	}
	return result
}

// canFinish computes viable for one stage and those after it; visited marks the stages done.
func (g *Graph) canFinish(i int, loads EndpointLoads, visited, result []bool) bool {
	if visited[i] {
		return result[i]
	}
	visited[i] = true
	if loads.Excluded(g.stages[i].Endpoint) {
		return false
	}
	if g.stages[i].Layers.To == g.layers {
		result[i] = true
		return true
	}
	for _, e := range g.next[i] {
		if g.canFinish(e.to, loads, visited, result) {
			result[i] = true
			return true
		}
	}
	return false
}

// pick returns the stage chosen by the policy, or -1 if none of the edges leads to a viable stage.
func (c *Chooser) pick(g *Graph, edges []edge, viable []bool, loads EndpointLoads) int {
	switch c.policy {
	case RoundRobin:
		return c.roundRobin(edges, viable)
	case Random:
		return c.random(edges, viable)
	case LeastOutstanding:
		return c.leastOutstanding(g, edges, viable, loads)
	default:
		return c.twoChoice(g, edges, viable, loads)
	}
}

func (c *Chooser) roundRobin(edges []edge, viable []bool) int {
	for k := range edges {
		to := edges[(c.turn+k)%len(edges)].to
		if viable[to] {
			return to
		}
	}
	return -1
}

func (c *Chooser) random(edges []edge, viable []bool) int {
	return c.sample(edges, viable, func(edge) float64 { return 1 })
}

// leastOutstanding breaks ties at random.
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

// minWeight is the least weight of a stage, so that one without planned flow can be chosen while others are excluded.
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

// cost estimates the delay of one token at a stage: the latency of the link to it and the requests outstanding there.
func (g *Graph) cost(edges []edge, to int, loads EndpointLoads) float64 {
	s := g.stages[to]
	wait := (loads.Outstanding(s.Endpoint) + 1) / max(s.TokenRate, minWeight)
	for _, e := range edges {
		if e.to == to {
			return wait + float64(e.latency)/float64(time.Second)
		}
	}
	return wait
}

// sample picks a viable stage at random, with a probability in proportion to its weight; -1 means that there is none.
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
