package kwplacement

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// lonely weighs a pool with a single copy, where the loss of one server stops the pool, against two copies.
const lonely = 0.6

// copyPlan is one whole copy of the model on consecutive servers.
type copyPlan struct {
	servers []Server
	room    float64
	rate    float64
}

// tile places whole copies on an empty pool, fast servers first, so that most requests meet the fastest chain and
// every further copy stands by; servers that make no whole copy double the first layers.
func (m model) tile(pool []Server) []Order {
	var out []Order
	used := 0
	for _, c := range m.copies(pool) {
		out = append(out, m.spread(c)...)
		used += len(c.servers)
	}
	return append(out, m.fill(pool[used:])...)
}

// copies splits a prefix of the pool into copies with the best total rate.
func (m model) copies(pool []Server) []copyPlan {
	one := make([]split, len(pool)+1)
	more := make([]split, len(pool)+1)
	top := split{}
	for end := 1; end <= len(pool); end++ {
		for start := 0; start < end; start++ {
			c, ok := m.copyOn(pool[start:end])
			if !ok {
				continue
			}
			if start == 0 {
				one[end] = split{plans: []copyPlan{c}, rate: c.rate}
				continue
			}
			more[end] = more[end].better(one[start].with(c)).better(more[start].with(c))
		}
		alone := one[end]
		alone.rate *= lonely
		top = top.better(alone).better(more[end])
	}
	if top.plans == nil {
		return m.cramped(pool)
	}
	return top.plans
}

// split is a way to divide a prefix of a pool into copies.
type split struct {
	plans []copyPlan
	rate  float64
}

// with adds a copy after the others; a split without copies stays as it is.
func (s split) with(c copyPlan) split {
	if s.plans == nil {
		return s
	}
	return split{plans: append(slices.Clone(s.plans), c), rate: s.rate + c.rate}
}

func (s split) better(other split) split {
	if other.rate > s.rate {
		return other
	}
	return s
}

// cramped is the one copy of a pool that has little KV room beside the model.
func (m model) cramped(pool []Server) []copyPlan {
	if m.sum(pool, 0) < m.layers {
		return nil
	}
	return []copyPlan{{servers: pool, room: m.roomOf(pool)}}
}

// copyOn returns the copy that a run of servers can hold, and the rate at which it serves.
func (m model) copyOn(servers []Server) (copyPlan, bool) {
	if m.sum(servers, m.minRoom()) < m.layers {
		return copyPlan{}, false
	}
	// Room beyond what the slots can use is given up for more layers on the fast servers.
	room := min(m.roomOf(servers), float64(m.slots)*m.usualTokens)
	pace := 0.0
	for i, n := range m.share(servers, room) {
		pace += float64(n) * servers[i].Pace
	}
	return copyPlan{servers: servers, room: room, rate: room / pace}, true
}

// roomSteps is how often the interval of the KV room is halved; 2^-20 of it is far below one token.
const roomSteps = 20

// roomOf returns the largest KV room, in tokens, with which the servers still hold every layer.
func (m model) roomOf(servers []Server) float64 {
	low, high := 0.0, 0.0
	for _, s := range servers {
		high = max(high, s.MemoryMB/m.tokenMB)
	}
	for range roomSteps {
		mid := (low + high) / 2
		if m.sum(servers, mid) >= m.layers {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// share returns how many layers each server takes; the slowest, which come last, take what is left.
func (m model) share(servers []Server, room float64) []int {
	out := make([]int, len(servers))
	left := m.layers
	for i, s := range servers {
		out[i] = min(left, m.fits(s, room))
		left -= out[i]
	}
	return out
}

func (m model) spread(c copyPlan) []Order {
	var out []Order
	at := 0
	for i, n := range m.share(c.servers, c.room) {
		if n > 0 {
			out = append(out, Order{Endpoint: c.servers[i].ID, Layers: layerRange(at, at+n)})
		}
		at += n
	}
	return out
}

// fill doubles layers from the first on, with the least room that is worth it.
func (m model) fill(servers []Server) []Order {
	var out []Order
	at := 0
	for _, s := range servers {
		n := min(m.fits(s, m.minRoom()), m.layers-at)
		if n <= 0 {
			continue
		}
		out = append(out, Order{Endpoint: s.ID, Layers: layerRange(at, at+n)})
		at = (at + n) % m.layers
	}
	return out
}

func layerRange(from, to int) kwid.LayerRange {
	return kwid.LayerRange{From: kwid.Layer(from), To: kwid.Layer(to)}
}
