package kwplacement

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// singleCopyWeight weighs the rate of a pool with a single copy, which the loss of one server stops, against that of a pool
// with more copies.
const singleCopyWeight = 0.6

// copyPlan is a whole copy of the model on consecutive servers of a pool. kvTokens is the KV cache of each server, in tokens;
// rate is only comparable to that of other plans.
type copyPlan struct {
	servers  []Server
	kvTokens float64
	rate     float64
}

// placeCopies places whole copies on an empty pool, fast servers first, so that most requests use the fastest chain and the
// other copies are a reserve. Servers that are left over hold the first layers once more.
func (m model) placeCopies(pool []Server) []Order {
	var out []Order
	used := 0
	for _, c := range m.copies(pool) {
		out = append(out, m.copyOrders(c)...)
		used += len(c.servers)
	}
	return append(out, m.duplicateLayers(pool[used:])...)
}

// copies divides a prefix of the pool into copies with the highest total rate.
func (m model) copies(pool []Server) []copyPlan {
	// single[n] is the partition of the first n servers into one copy, several[n] the best one into more.
	single := make([]partition, len(pool)+1)
	several := make([]partition, len(pool)+1)
	best := partition{}
	for end := 1; end <= len(pool); end++ {
		for start := 0; start < end; start++ {
			c, ok := m.planCopy(pool[start:end])
			if !ok {
				continue
			}
			if start == 0 {
				single[end] = partition{plans: []copyPlan{c}, rate: c.rate}
				continue
			}
			several[end] = several[end].better(single[start].with(c)).better(several[start].with(c))
		}
		weighted := single[end]
		weighted.rate *= singleCopyWeight
		best = best.better(weighted).better(several[end])
	}
	if best.plans == nil {
		return m.smallCopy(pool)
	}
	return best.plans
}

// partition is a division of a prefix of a pool into copies.
type partition struct {
	plans []copyPlan
	rate  float64
}

// with adds a copy after the others; a partition without copies stays as it is.
func (p partition) with(c copyPlan) partition {
	if p.plans == nil {
		return p
	}
	return partition{plans: append(slices.Clone(p.plans), c), rate: p.rate + c.rate}
}

// better returns the partition with the higher rate.
func (p partition) better(other partition) partition {
	if other.rate > p.rate {
		return other
	}
	return p
}

// smallCopy returns the single copy of a pool that can hold the model only with less than the minimum KV cache.
func (m model) smallCopy(pool []Server) []copyPlan {
	if m.totalLayers(pool, 0) < m.layers {
		return nil
	}
	return []copyPlan{{servers: pool, kvTokens: m.maxKVTokens(pool)}}
}

// planCopy returns the copy that consecutive servers can hold; false means that they lack the memory.
func (m model) planCopy(servers []Server) (copyPlan, bool) {
	if m.totalLayers(servers, m.minKVTokens()) < m.layers {
		return copyPlan{}, false
	}
	// KV cache beyond what the slots can use is better spent on more layers on the fast servers.
	kvTokens := min(m.maxKVTokens(servers), float64(m.slots)*m.requestTokens)
	relativeTokenTime := 0.0
	for i, n := range m.layerCounts(servers, kvTokens) {
		relativeTokenTime += float64(n) * servers[i].StepTimeFactor
	}
	return copyPlan{servers: servers, kvTokens: kvTokens, rate: kvTokens / relativeTokenTime}, true
}

// bisectionSteps is how often the interval of the KV cache size is halved; 2^-20 of it is far below one token.
const bisectionSteps = 20

// maxKVTokens returns the largest KV cache per server, in tokens, with which the servers still hold every layer.
func (m model) maxKVTokens(servers []Server) float64 {
	low, high := 0.0, 0.0
	for _, s := range servers {
		high = max(high, s.MemoryMB/m.kvMBPerTokenLayer)
	}
	for range bisectionSteps {
		mid := (low + high) / 2
		if m.totalLayers(servers, mid) >= m.layers {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// layerCounts returns how many layers each server holds; the slowest servers, which come last, hold what is left.
func (m model) layerCounts(servers []Server, kvTokens float64) []int {
	out := make([]int, len(servers))
	left := m.layers
	for i, s := range servers {
		out[i] = min(left, m.layersFor(s, kvTokens))
		left -= out[i]
	}
	return out
}

// copyOrders returns the orders that place a copy on its servers.
func (m model) copyOrders(c copyPlan) []Order {
	var out []Order
	from := 0
	for i, n := range m.layerCounts(c.servers, c.kvTokens) {
		if n > 0 {
			out = append(out, Order{Endpoint: c.servers[i].ID, Layers: layerRange(from, from+n)})
		}
		from += n
	}
	return out
}

// duplicateLayers places the layers from the first on once more, with the minimum KV cache.
func (m model) duplicateLayers(servers []Server) []Order {
	var out []Order
	from := 0
	for _, s := range servers {
		n := min(m.layersFor(s, m.minKVTokens()), m.layers-from)
		if n <= 0 {
			continue
		}
		out = append(out, Order{Endpoint: s.ID, Layers: layerRange(from, from+n)})
		from = (from + n) % m.layers
	}
	return out
}

func layerRange(from, to int) kwid.LayerRange {
	return kwid.LayerRange{From: kwid.Layer(from), To: kwid.Layer(to)}
}
