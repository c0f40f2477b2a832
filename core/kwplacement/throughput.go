package kwplacement

import (
	"cmp"
	"slices"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

const (
	// countedChains is the number of chains that count for the throughput of a pool, one after the other as they fill up.
	countedChains = 3
	// minMoveGainFactor is the factor by which a move must raise the throughput of a pool to be worth its loads and the requests
	// that they disturb.
	minMoveGainFactor = 1.3
)

// throughput estimates the throughput of a pool: it fills the fastest chain, then the fastest of what is left. The unit is
// generated tokens per second times the KV cache tokens of a request.
func (m model) throughput(pool []Server) float64 {
	servers := make([]kwchainsearch.Server, 0, len(pool))
	for _, s := range pool {
		if n := s.Layers.Len(); n > 0 {
			kvLayerTokens := (s.MemoryMB - float64(n)*m.layerMB) / m.kvMBPerTokenLayer
			servers = append(servers, kwchainsearch.Server{ID: s.ID, Layers: s.Layers, StepTimeFactor: s.StepTimeFactor, Capacity: kwchainsearch.LayerTokens(max(0, kvLayerTokens))})
		}
	}
	total := 0.0
	search := kwchainsearch.NewSearch(m.engine, servers)
	for range countedChains {
		chain, ok := search.Best(kwchainsearch.RequestSize{TotalTokens: m.minKVTokens()})
		if !ok {
			break
		}
		total += search.Allocate(chain, float64(m.slots)*m.requestTokens) / chain.TokenTime.Seconds()
	}
	return total
}

// rangeChoice is a layer range for a server and the throughput that the pool has with it.
type rangeChoice struct {
	server     int
	layers     kwid.LayerRange
	throughput float64
}

// bestRange returns the range for server i with which the pool has the highest throughput. It tries the ranges that begin or
// end where others do, each with several sizes of KV cache.
func (m model) bestRange(pool []Server, i int, kvFactors ...float64) rangeChoice {
	pool = slices.Clone(pool)
	best := rangeChoice{server: i}
	for _, layers := range m.ranges(pool, pool[i], kvFactors) {
		pool[i].Layers = layers
		if v := m.throughput(pool); v > best.throughput {
			best.layers, best.throughput = layers, v
		}
	}
	return best
}

// KV cache that a server keeps beside its layers, as a multiple of the minimum. All are tried for an empty server, which may
// hold many layers or have a large cache; only the middle one is tried for a move.
const (
	smallKVFactor  = 1
	mediumKVFactor = 2
	largeKVFactor  = 4
)

// ranges returns the candidate ranges of a server for KV caches of the given multiples of the minimum.
func (m model) ranges(pool []Server, s Server, kvFactors []float64) []kwid.LayerRange {
	boundaries := []int{0, m.layers}
	for _, o := range pool {
		if o.Layers.Len() > 0 {
			boundaries = append(boundaries, int(o.Layers.From), int(o.Layers.To))
		}
	}
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	var out []kwid.LayerRange
	for _, factor := range kvFactors {
		n := m.layersFor(s, factor*m.minKVTokens())
		for _, boundary := range boundaries {
			if n > 0 && boundary+n <= m.layers {
				out = append(out, layerRange(boundary, boundary+n))
			}
			if n > 0 && boundary-n >= 0 {
				out = append(out, layerRange(boundary-n, boundary))
			}
		}
	}
	slices.SortFunc(out, func(a, b kwid.LayerRange) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return slices.Compact(out)
}

// improve moves at most one redundant server of a sound pool, to the range by which the pool gains most.
func (m model) improve(pool []Server) []Order {
	coverage := m.coverage(pool)
	if slices.Min(coverage) == 0 || unsettled(pool) {
		return nil
	}
	best := rangeChoice{throughput: minMoveGainFactor * m.throughput(pool)}
	for i, s := range pool {
		if s.Layers.Len() == 0 || !redundant(coverage, s.Layers) {
			continue
		}
		if c := m.bestRange(pool, i, mediumKVFactor); c.throughput > best.throughput && c.layers != s.Layers {
			best = c
		}
	}
	if best.layers.Len() == 0 {
		return nil
	}
	return []Order{{Endpoint: pool[best.server].ID, Layers: best.layers}}
}

// unsettled reports whether an order to a server of a pool is pending or a server has just joined without layers.
func unsettled(pool []Server) bool {
	return slices.ContainsFunc(pool, func(s Server) bool { return s.OrderPending || s.JustJoined && s.Layers.Len() == 0 })
}
