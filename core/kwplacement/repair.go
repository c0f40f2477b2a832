package kwplacement

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// repair gives empty servers the layers that are missing, or else those by which the pool gains most, and tells whether
// every layer is held then. If a layer is held by none and no server is empty, its neighbours take it where they have the
// memory; else the slowest server whose own layers all stand elsewhere moves there.
func (m model) repair(pool []Server) (out []Order, whole bool) {
	pool = slices.Clone(pool)
	cover := m.coverage(pool)
	taken := make(map[kwid.EndpointID]bool)
	for _, o := range m.fillEmpty(pool, cover) {
		taken[o.Endpoint] = true
		out = append(out, o)
	}
	if slices.Min(cover) > 0 {
		return out, true
	}
	for _, step := range []func([]Server, []int, map[kwid.EndpointID]bool) []Order{m.extend, m.move, m.squeeze} {
		for _, o := range step(pool, cover, taken) {
			taken[o.Endpoint] = true
			out = append(out, o)
		}
	}
	return out, slices.Min(cover) > 0
}

// fillEmpty orders layers to the empty servers of a pool, in which it notes them.
func (m model) fillEmpty(pool []Server, cover []int) []Order {
	var out []Order
	for i, s := range pool {
		whole := slices.Min(cover) > 0
		if s.OrderPending || s.Layers.Len() > 0 || s.JustJoined && whole {
			continue
		}
		layers := m.thinnest(cover, m.fits(s, m.minRoom()))
		if whole {
			layers = m.bestRange(pool, i, littleRoom, moveRoom, muchRoom).layers
		}
		if layers.Len() == 0 {
			continue
		}
		count(cover, layers, 1)
		pool[i].Layers, pool[i].OrderPending = layers, true
		out = append(out, Order{Endpoint: s.ID, Layers: layers})
	}
	return out
}

// squeezed is the share of the least room that a server keeps when a layer would else be missing.
const squeezed = 0.25

func (m model) extend(pool []Server, cover []int, taken map[kwid.EndpointID]bool) []Order {
	return m.stretch(pool, cover, taken, m.minRoom())
}

func (m model) squeeze(pool []Server, cover []int, taken map[kwid.EndpointID]bool) []Order {
	return m.stretch(pool, cover, taken, squeezed*m.minRoom())
}

// stretch grows servers next to layers that nobody holds as far as they keep some KV room.
func (m model) stretch(pool []Server, cover []int, taken map[kwid.EndpointID]bool, room float64) []Order {
	var out []Order
	for _, s := range pool {
		hole := m.thinnest(cover, m.layers)
		if cover[hole.From] > 0 {
			return out
		}
		spare := m.fits(s, room) - s.Layers.Len()
		if s.OrderPending || taken[s.ID] || s.Layers.Len() == 0 || spare <= 0 {
			continue
		}
		grown := s.Layers
		n := kwid.Layer(min(spare, hole.Len()))
		switch {
		case s.Layers.To == hole.From:
			grown.To += n
		case s.Layers.From == hole.To:
			grown.From -= n
		default:
			continue
		}
		count(cover, s.Layers, -1)
		count(cover, grown, 1)
		out = append(out, Order{Endpoint: s.ID, Layers: grown})
	}
	return out
}

func (m model) coverage(pool []Server) []int {
	cover := make([]int, m.layers)
	for _, s := range pool {
		count(cover, s.Layers, 1)
	}
	return cover
}

func count(cover []int, layers kwid.LayerRange, n int) {
	for i := max(0, layers.From); i < layers.To && int(i) < len(cover); i++ {
		cover[i] += n
	}
}

// thinnest returns the first run of least covered layers, cut to a length.
func (m model) thinnest(cover []int, most int) kwid.LayerRange {
	least := slices.Min(cover)
	from := slices.Index(cover, least)
	to := from
	for to < len(cover) && cover[to] == least && to-from < most {
		to++
	}
	return layerRange(from, to)
}

// move orders redundant servers, slowest first, to layers that nobody holds.
func (m model) move(pool []Server, cover []int, taken map[kwid.EndpointID]bool) []Order {
	var out []Order
	for i := len(pool) - 1; i >= 0 && slices.Min(cover) == 0; i-- {
		s := pool[i]
		if s.OrderPending || taken[s.ID] || s.Layers.Len() == 0 || !redundant(cover, s.Layers) {
			continue
		}
		layers := m.thinnest(cover, m.fits(s, m.minRoom()))
		count(cover, s.Layers, -1)
		count(cover, layers, 1)
		out = append(out, Order{Endpoint: s.ID, Layers: layers})
	}
	return out
}

func redundant(cover []int, layers kwid.LayerRange) bool {
	for i := layers.From; i < layers.To && int(i) < len(cover); i++ {
		if cover[i] < 2 {
			return false
		}
	}
	return true
}
