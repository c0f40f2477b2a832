package kwplacement

import (
	"cmp"
	"slices"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
)

const (
	// valuedChains is how many chains of a pool are valued, one after the other as they fill up.
	valuedChains = 3
	// worthMoving is how much a pool must gain by a move to be worth its loads and the requests that meet them.
	worthMoving = 1.3
)

// value estimates the rate at which a pool serves: it fills the fastest chain, then the fastest of what is left.
func (m model) value(pool []Server) float64 {
	servers := make([]kwchainsearch.Server, 0, len(pool))
	for _, s := range pool {
		if n := s.Layers.Len(); n > 0 {
			room := (s.MemoryMB - float64(n)*m.layerMB) / m.tokenMB
			servers = append(servers, kwchainsearch.Server{ID: s.ID, Layers: s.Layers, Pace: s.Pace, Capacity: kwchainsearch.LayerTokens(max(0, room))})
		}
	}
	total := 0.0
	search := kwchainsearch.NewSearch(m.engine, servers)
	for range valuedChains {
		chain, ok := search.Best(kwchainsearch.RequestSize{TotalTokens: m.minRoom()})
		if !ok {
			break
		}
		total += search.Allocate(chain, float64(m.slots)*m.usualTokens) / chain.TokenTime.Seconds()
	}
	return total
}

// choice is a range for a server with the value that the pool has then.
type choice struct {
	server int
	layers kwid.LayerRange
	value  float64
}

// bestRange tries the ranges that begin or end where others do, each with some rooms to keep, and returns the one that the
// pool gains most by.
func (m model) bestRange(pool []Server, i int, rooms ...float64) choice {
	pool = slices.Clone(pool)
	best := choice{server: i}
	for _, layers := range m.ranges(pool, pool[i], rooms) {
		pool[i].Layers = layers
		if v := m.value(pool); v > best.value {
			best.layers, best.value = layers, v
		}
	}
	return best
}

// Multiples of the least room that a server keeps beside its layers: an empty one may hold many layers or have much room,
// for a move only the middle is tried.
const (
	littleRoom = 1
	moveRoom   = 2
	muchRoom   = 4
)

func (m model) ranges(pool []Server, s Server, rooms []float64) []kwid.LayerRange {
	points := []int{0, m.layers}
	for _, o := range pool {
		if o.Layers.Len() > 0 {
			points = append(points, int(o.Layers.From), int(o.Layers.To))
		}
	}
	slices.Sort(points)
	points = slices.Compact(points)
	var out []kwid.LayerRange
	for _, x := range rooms {
		n := m.fits(s, x*m.minRoom())
		for _, p := range points {
			if n > 0 && p+n <= m.layers {
				out = append(out, layerRange(p, p+n))
			}
			if n > 0 && p-n >= 0 {
				out = append(out, layerRange(p-n, p))
			}
		}
	}
	slices.SortFunc(out, func(a, b kwid.LayerRange) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return slices.Compact(out)
}

// improve moves one redundant server of a sound pool to where the pool gains much by it.
func (m model) improve(pool []Server) []Order {
	cover := m.coverage(pool)
	if slices.Min(cover) == 0 || slices.ContainsFunc(pool, func(s Server) bool { return s.OrderPending || s.JustJoined && s.Layers.Len() == 0 }) {
		return nil
	}
	best := choice{value: worthMoving * m.value(pool)}
	for i, s := range pool {
		if s.Layers.Len() == 0 || !redundant(cover, s.Layers) {
			continue
		}
		if c := m.bestRange(pool, i, moveRoom); c.value > best.value && c.layers != s.Layers {
			best = c
		}
	}
	if best.layers.Len() == 0 {
		return nil
	}
	return []Order{{Endpoint: pool[best.server].ID, Layers: best.layers}}
}
