package kwmaxflow

import "math"

// arc is a directed edge of a flow network. Its reverse is the arc whose index differs in the lowest bit.
type arc struct {
	to       int
	capacity float64
	flow     float64
}

// flowNetwork computes a maximum flow by Dinic's algorithm.
type flowNetwork struct {
	arcs []arc
	// outArcs lists the arcs that leave each node, reverse arcs included.
	outArcs [][]int
	level   []int
	// nextArc is the first arc of each node that push has not exhausted in the current level graph.
	nextArc []int
}

// flowEpsilon is the smallest residual capacity that counts, in tokens per second.
const flowEpsilon = 1e-9

func newFlowNetwork(nodes int) *flowNetwork {
	return &flowNetwork{
		outArcs: make([][]int, nodes),
		level:   make([]int, nodes),
		nextArc: make([]int, nodes),
	}
}

// addArc adds an arc with its reverse and returns its index.
func (n *flowNetwork) addArc(from, to int, capacity float64) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{to: to, capacity: capacity}, arc{to: from})
	n.outArcs[from] = append(n.outArcs[from], id)
	n.outArcs[to] = append(n.outArcs[to], id+1)
	return id
}

func (n *flowNetwork) flow(id int) float64 {
	return n.arcs[id].flow
}

func (n *flowNetwork) residual(id int) float64 {
	return n.arcs[id].capacity - n.arcs[id].flow
}

// solve computes and returns the maximum flow from source to sink.
func (n *flowNetwork) solve(source, sink int) float64 {
	total := 0.0
	for n.buildLevels(source, sink) {
		clear(n.nextArc)
		for {
			pushed := n.push(source, sink, math.Inf(1))
			if pushed <= flowEpsilon {
				break
			}
			total += pushed
		}
	}
	return total
}

// buildLevels sets the breadth-first distance of each node from the source and reports whether the sink can be reached.
func (n *flowNetwork) buildLevels(source, sink int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, id := range n.outArcs[node] {
			to := n.arcs[id].to
			if n.level[to] < 0 && n.residual(id) > flowEpsilon {
				n.level[to] = n.level[node] + 1
				queue = append(queue, to)
			}
		}
	}
	return n.level[sink] >= 0
}

// push sends flow along one path to the sink in the level graph and returns its amount, at most limit.
func (n *flowNetwork) push(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; n.nextArc[node] < len(n.outArcs[node]); n.nextArc[node]++ {
		id := n.outArcs[node][n.nextArc[node]]
		to := n.arcs[id].to
		if n.level[to] != n.level[node]+1 || n.residual(id) <= flowEpsilon {
			continue
		}
		pushed := n.push(to, sink, min(limit, n.residual(id)))
		if pushed > flowEpsilon {
			n.arcs[id].flow += pushed
			n.arcs[id^1].flow -= pushed
			return pushed
		}
	}
	return 0
}
