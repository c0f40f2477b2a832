package kwmaxflow

import "math"

// arc is a directed edge of a flow network; its reverse is the arc with the index xor 1.
type arc struct {
	to       int
	capacity float64
	used     float64
}

// network solves max-flow by Dinic's algorithm.
type network struct {
	arcs  []arc
	heads [][]int
	level []int
	seen  []int
}

// flowEpsilon is the smallest residual capacity that still counts, in tokens a second.
const flowEpsilon = 1e-9

func newNetwork(nodes int) *network {
	return &network{
		heads: make([][]int, nodes),
		level: make([]int, nodes),
		seen:  make([]int, nodes),
	}
}

func (n *network) add(from, to int, capacity float64) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{to: to, capacity: capacity}, arc{to: from})
	n.heads[from] = append(n.heads[from], id)
	n.heads[to] = append(n.heads[to], id+1)
	return id
}

func (n *network) flow(id int) float64 {
	return n.arcs[id].used
}

func (n *network) residual(id int) float64 {
	return n.arcs[id].capacity - n.arcs[id].used
}

func (n *network) solve(source, sink int) float64 {
	total := 0.0
	for n.layer(source, sink) {
		clear(n.seen)
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

func (n *network) layer(source, sink int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		for _, id := range n.heads[node] {
			to := n.arcs[id].to
			if n.level[to] < 0 && n.residual(id) > flowEpsilon {
				n.level[to] = n.level[node] + 1
				queue = append(queue, to)
			}
		}
	}
	return n.level[sink] >= 0
}

func (n *network) push(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; n.seen[node] < len(n.heads[node]); n.seen[node]++ {
		id := n.heads[node][n.seen[node]]
		to := n.arcs[id].to
		if n.level[to] != n.level[node]+1 || n.residual(id) <= flowEpsilon {
			continue
		}
		pushed := n.push(to, sink, min(limit, n.residual(id)))
		if pushed > flowEpsilon {
			n.arcs[id].used += pushed
			n.arcs[id^1].used -= pushed
			return pushed
		}
	}
	return 0
}
