package kwplacement

import (
	"cmp"
	"math"
	"slices"

	"knapweedproxy/core/kwid"
)

const (
	// spreadKVShare is the share of the largest possible KV cache per server that a spread leaves free. A higher share leaves the
	// servers less choice of layers, so that more of them load others.
	spreadKVShare = 0.5
	// stepTimeWeight weighs the step time factor of a layer's server against one layer to load, to choose between ranges with
	// equally many layers to load.
	stepTimeWeight = 1e-3
)

// spread divides all layers anew between the servers of a pool that lacks some, so that the fewest layers must be loaded. It
// answers the loss of several servers of a single copy: those beside the gap lack the memory for it, while others further along
// the chain have enough. Servers keep their order along the layers. It returns nil if an order is pending, whose outcome would
// change the division, or if the pool lacks the memory for the model.
func (m model) spread(pool []Server) []Order {
	if slices.ContainsFunc(pool, func(s Server) bool { return s.OrderPending }) || m.totalLayers(pool, 0) < m.layers {
		return nil
	}
	servers := m.inLayerOrder(pool)
	var out []Order
	for i, layers := range m.divide(servers, spreadKVShare*m.maxKVTokens(pool)) {
		if layers.Len() > 0 && layers != servers[i].Layers {
			out = append(out, Order{Endpoint: servers[i].ID, Layers: layers})
		}
	}
	return out
}

// inLayerOrder returns the servers in the order of the layers that they hold, with the empty ones at the first missing layer.
func (m model) inLayerOrder(pool []Server) []Server {
	gap := m.leastCovered(m.coverage(pool), m.layers)
	position := func(s Server) kwid.Layer {
		if s.Layers.Len() == 0 {
			return gap.From
		}
		return s.Layers.From
	}
	servers := slices.Clone(pool)
	slices.SortStableFunc(servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(position(a), position(b)), cmp.Compare(a.Layers.To, b.Layers.To))
	})
	return servers
}

// divide returns consecutive ranges of all layers for the servers, some of them empty, with which the fewest layers must be
// loaded while each server keeps a KV cache for the given number of tokens.
func (m model) divide(servers []Server, kvTokens float64) []kwid.LayerRange {
	// cost[i][b] is the least cost of dividing the first b layers between the first i servers, start[i][b] the first layer of the
	// last of them then.
	cost := make([][]float64, len(servers)+1)
	start := make([][]int, len(servers)+1)
	for i := range cost {
		cost[i] = slices.Repeat([]float64{math.Inf(1)}, m.layers+1)
		start[i] = make([]int, m.layers+1)
	}
	cost[0][0] = 0
	for i, s := range servers {
		limit := m.layersFor(s, kvTokens)
		for from := 0; from <= m.layers; from++ {
			if math.IsInf(cost[i][from], 1) {
				continue
			}
			for to := from; to <= min(m.layers, from+limit); to++ {
				c := cost[i][from] + rangeCost(s, layerRange(from, to))
				if c < cost[i+1][to] {
					cost[i+1][to], start[i+1][to] = c, from
				}
			}
		}
	}
	ranges := make([]kwid.LayerRange, len(servers))
	if math.IsInf(cost[len(servers)][m.layers], 1) {
		return ranges
	}
	for i, to := len(servers), m.layers; i > 0; i-- {
		from := start[i][to]
		ranges[i-1] = layerRange(from, to)
		to = from
	}
	return ranges
}

// rangeCost is the number of layers that a server must load for a range, and the step time of the range on it.
func rangeCost(s Server, layers kwid.LayerRange) float64 {
	return float64(layersToLoad(s, layers)) + stepTimeWeight*s.StepTimeFactor*float64(layers.Len())
}

// layersToLoad returns how many layers of a range a server does not hold.
func layersToLoad(s Server, layers kwid.LayerRange) int {
	kept := max(0, int(min(layers.To, s.Layers.To)-max(layers.From, s.Layers.From)))
	return layers.Len() - kept
}
