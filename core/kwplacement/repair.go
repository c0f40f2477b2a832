package kwplacement

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// repair orders the empty servers to hold the missing layers or, if none is missing, the layers with which the pool has the
// highest throughput, and reports whether every layer is held then. If a layer is missing and no server is empty, servers with
// adjacent layers and enough memory extend their range to it. If that is not enough, the slowest servers whose layers are all
// held by others move there, and then adjacent servers give up a part of the minimum KV cache. If a layer is still missing, all
// servers are spread over the layers anew.
func (m model) repair(pool []Server) (out []Order, complete bool) {
	before := pool
	pool = slices.Clone(pool)
	coverage := m.coverage(pool)
	ordered := make(map[kwid.EndpointID]bool)
	fill := m.fillEmpty(pool, coverage)
	if slices.Min(m.coverage(before)) > 0 {
		fill = m.fillTowards(before, pool, fill)
	}
	for _, o := range fill {
		ordered[o.Endpoint] = true
		out = append(out, o)
	}
	if slices.Min(coverage) > 0 {
		return out, true
	}
	for _, method := range []func([]Server, []int, map[kwid.EndpointID]bool) []Order{m.extend, m.move, m.squeeze} {
		for _, o := range method(pool, coverage, ordered) {
			ordered[o.Endpoint] = true
			out = append(out, o)
		}
	}
	if slices.Min(coverage) > 0 {
		return out, true
	}
	if spread := m.spread(before); len(spread) > 0 {
		return spread, true
	}
	return out, false
}

// fillEmpty returns orders for the empty servers of a pool and records them in the pool and the coverage.
func (m model) fillEmpty(pool []Server, coverage []int) []Order {
	var out []Order
	for i, s := range pool {
		complete := slices.Min(coverage) > 0
		if s.OrderPending || s.Layers.Len() > 0 || s.JustJoined && complete {
			continue
		}
		layers := m.leastCovered(coverage, m.layersFor(s, m.minKVTokens()))
		if complete {
			layers = m.bestRange(pool, i, smallKVFactor, mediumKVFactor, largeKVFactor).layers
		}
		if layers.Len() == 0 {
			continue
		}
		addCoverage(coverage, layers, 1)
		pool[i].Layers, pool[i].OrderPending = layers, true
		out = append(out, Order{Endpoint: s.ID, Layers: layers})
	}
	return out
}

// squeezedKVShare is the share of the minimum KV cache that a server keeps if a layer would be missing otherwise.
const squeezedKVShare = 0.25

// extend extends ranges to missing layers as far as the minimum KV cache allows.
func (m model) extend(pool []Server, coverage []int, ordered map[kwid.EndpointID]bool) []Order {
	return m.extendRanges(pool, coverage, ordered, m.minKVTokens())
}

// squeeze extends ranges to missing layers with less than the minimum KV cache.
func (m model) squeeze(pool []Server, coverage []int, ordered map[kwid.EndpointID]bool) []Order {
	return m.extendRanges(pool, coverage, ordered, squeezedKVShare*m.minKVTokens())
}

// extendRanges extends the ranges of servers next to missing layers, as far as they keep a KV cache for the given number of
// tokens.
func (m model) extendRanges(pool []Server, coverage []int, ordered map[kwid.EndpointID]bool, kvTokens float64) []Order {
	var out []Order
	for _, s := range pool {
		gap := m.leastCovered(coverage, m.layers)
		if coverage[gap.From] > 0 {
			return out
		}
		spare := m.layersFor(s, kvTokens) - s.Layers.Len()
		if s.OrderPending || ordered[s.ID] || s.Layers.Len() == 0 || spare <= 0 {
			continue
		}
		extended := s.Layers
		n := kwid.Layer(min(spare, gap.Len()))
		switch {
		case s.Layers.To == gap.From:
			extended.To += n
		case s.Layers.From == gap.To:
			extended.From -= n
		default:
			continue
		}
		addCoverage(coverage, s.Layers, -1)
		addCoverage(coverage, extended, 1)
		out = append(out, Order{Endpoint: s.ID, Layers: extended})
	}
	return out
}

// coverage returns the number of servers that hold each layer.
func (m model) coverage(pool []Server) []int {
	coverage := make([]int, m.layers)
	for _, s := range pool {
		addCoverage(coverage, s.Layers, 1)
	}
	return coverage
}

// addCoverage adds n to the coverage of a range of layers.
func addCoverage(coverage []int, layers kwid.LayerRange, n int) {
	for i := max(0, layers.From); i < layers.To && int(i) < len(coverage); i++ {
		coverage[i] += n
	}
}

// leastCovered returns the first run of layers with the lowest coverage, cut to a length.
func (m model) leastCovered(coverage []int, limit int) kwid.LayerRange {
	least := slices.Min(coverage)
	from := slices.Index(coverage, least)
	to := from
	for to < len(coverage) && coverage[to] == least && to-from < limit {
		to++
	}
	return layerRange(from, to)
}

// move orders redundant servers, slowest first, to missing layers.
func (m model) move(pool []Server, coverage []int, ordered map[kwid.EndpointID]bool) []Order {
	var out []Order
	for i := len(pool) - 1; i >= 0 && slices.Min(coverage) == 0; i-- {
		s := pool[i]
		if s.OrderPending || ordered[s.ID] || s.Layers.Len() == 0 || !redundant(coverage, s.Layers) {
			continue
		}
		layers := m.leastCovered(coverage, m.layersFor(s, m.minKVTokens()))
		if layers.Len() == 0 {
			continue
		}
		addCoverage(coverage, s.Layers, -1)
		addCoverage(coverage, layers, 1)
		out = append(out, Order{Endpoint: s.ID, Layers: layers})
	}
	return out
}

// redundant reports whether every layer of a range is held by at least two servers.
func redundant(coverage []int, layers kwid.LayerRange) bool {
	for i := layers.From; i < layers.To && int(i) < len(coverage); i++ {
		if coverage[i] < 2 {
			return false
		}
	}
	return true
}
