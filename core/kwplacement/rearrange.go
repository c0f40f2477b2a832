package kwplacement

import (
	"math"
	"slices"

	"knapweedproxy/core/kwid"
)

const (
	// rearrangedKVShare is the share of the KV cache of a new placement that a rearranged pool leaves free on each server. A share of
	// 0.8 saves a tenth of the orders on random fleets but costs 0.03 of the throughput (docs/design/17-placement-after-loss.md).
	rearrangedKVShare = 0.9
	// minRearrangeGain is the factor by which a rearrangement must raise the throughput of a pool even if it needs no loads, since
	// each order keeps an engine from others for a heartbeat interval.
	minRearrangeGain = 1.1
	// gainPerModelLoaded is added to minRearrangeGain for each load of as many layers as the model has. Half a model must gain
	// minMoveGainFactor, as a move must. The gain that is needed falls with the loads that are left, so rearrangements are finished.
	gainPerModelLoaded = 0.4
	// keptThroughputShare is the share of the present throughput that a pool keeps with each plan of a rearrangement. Without this
	// bound, 12 of 674 plans on random fleets fell below it, to 0.66 at worst.
	keptThroughputShare = 0.9
	// minCostlyGain is the gain from which orders below keptThroughputShare are given if there are no others. Without them, a server that
	// returned while others were awaited left its zone at 0.36 to 0.46 of the throughput of before.
	minCostlyGain = 1.5
)

// rearrange returns the next orders on the way from the placement of a sound pool to one with the throughput of a new placement, at
// most limit of them. It answers the loss of a server for good, after which no single move gains enough: the servers beside the
// gap have given up KV cache for its layers. There are none if a server that left the pool may return.
func (m model) rearrange(pool []Server, limit int) []Order {
	if slices.Min(m.coverage(pool)) == 0 || unsettled(pool) || peerMayReturn(pool) {
		return nil
	}
	target := m.rearranged(pool)
	present := m.throughput(pool)
	if !m.worthRearranging(pool, target, present) {
		return nil
	}
	orders := m.stepsTowards(pool, target, limit, keptThroughputShare*present)
	if len(orders) == 0 && m.throughput(target) >= minCostlyGain*present {
		orders = m.stepsTowards(pool, target, limit, 0)
	}
	return orders
}

// fillTowards returns orders for the empty servers of a pool with all layers. These are the given ones, with which the pool is
// filled, unless it is worth it even after them to rearrange the pool; then the servers get their ranges for that at once.
func (m model) fillTowards(pool, filled []Server, orders []Order) []Order {
	if len(orders) == 0 || peerMayReturn(pool) {
		return orders
	}
	target := m.rearranged(pool)
	if !m.worthRearranging(pool, target, m.throughput(filled)) {
		return orders
	}
	var out []Order
	for _, o := range orders {
		i := slices.IndexFunc(target, func(s Server) bool { return s.ID == o.Endpoint })
		if target[i].Layers.Len() > 0 {
			out = append(out, Order{Endpoint: o.Endpoint, Layers: target[i].Layers})
		}
	}
	return out
}

// peerMayReturn reports whether a server that left a pool may return.
func peerMayReturn(pool []Server) bool {
	return slices.ContainsFunc(pool, func(s Server) bool { return s.PeerMayReturn })
}

// worthRearranging reports whether the throughput of a target for a pool exceeds another one by enough for its loads.
func (m model) worthRearranging(pool, target []Server, throughput float64) bool {
	loads := 0
	for i, s := range pool {
		loads += layersToLoad(s, target[i].Layers)
	}
	return m.throughput(target) >= (minRearrangeGain+gainPerModelLoaded*float64(loads)/float64(m.layers))*throughput
}

// rearranged returns a pool with the copies of a new placement. The servers of a copy keep their order along the layers; those
// outside the copies keep their ranges.
func (m model) rearranged(pool []Server) []Server {
	target := slices.Clone(pool)
	for _, c := range m.copies(pool) {
		servers, ranges := m.cheapestDivision(c)
		for i, layers := range ranges {
			j := slices.IndexFunc(target, func(s Server) bool { return s.ID == servers[i].ID })
			target[j].Layers = layers
		}
	}
	return target
}

// cheapestDivision divides the layers between the servers of a copy so that the fewest must be loaded, and returns the servers
// in the order of their ranges. Those that hold layers keep their order, the empty ones go together where that costs least.
func (m model) cheapestDivision(c copyPlan) (servers []Server, ranges []kwid.LayerRange) {
	var holding, empty []Server
	for _, s := range m.inLayerOrder(c.servers) {
		if s.Layers.Len() > 0 {
			holding = append(holding, s)
		} else {
			empty = append(empty, s)
		}
	}
	positions := 1
	if len(empty) > 0 {
		positions += len(holding)
	}
	least := math.Inf(1)
	for i := range positions {
		order := slices.Insert(slices.Clone(holding), i, empty...)
		divided := m.divide(order, rearrangedKVShare*c.kvTokens)
		cost := 0.0
		for j, s := range order {
			cost += rangeCost(s, divided[j])
		}
		if cost < least {
			servers, ranges, least = order, divided, cost
		}
	}
	return servers, ranges
}

// stepsTowards returns orders that bring servers nearer to their ranges in the target, first those that arrive there. All layers
// stay held while the orders are carried out in any order, since a server gives up only layers that another one holds now. No
// server gets less KV cache than the one with the least has, or than the target leaves it, so the requests in progress on a chain
// keep their room. Orders that would lower the throughput below least are left out.
func (m model) stepsTowards(pool, target []Server, limit int, least float64) []Order {
	after := slices.Clone(pool)
	coverage := m.coverage(pool)
	kvTokens := m.leastKVTokens(pool)
	ordered := make([]bool, len(pool))
	var out []Order
	for _, arriving := range []bool{true, false} {
		for i, s := range pool {
			goal := target[i].Layers
			if len(out) == limit || ordered[i] || goal.Len() == 0 {
				continue
			}
			next := approach(keptLayers(s.Layers, goal, coverage), goal, max(goal.Len(), m.layersFor(s, kvTokens)))
			if next == s.Layers || arriving != (next == goal) {
				continue
			}
			if after[i].Layers = next; m.throughput(after) < least {
				after[i].Layers = s.Layers
				continue
			}
			ordered[i] = true
			for layer := s.Layers.From; layer < s.Layers.To; layer++ {
				if !contains(next, layer) {
					coverage[layer]--
				}
			}
			out = append(out, Order{Endpoint: s.ID, Layers: next})
		}
	}
	return out
}

// keptLayers returns the part of a range that a server keeps on its way to a goal: the layers that no other server holds and those
// of the goal.
func keptLayers(layers, goal kwid.LayerRange, coverage []int) kwid.LayerRange {
	needed := func(layer kwid.Layer) bool { return coverage[layer] < 2 || contains(goal, layer) }
	for layers.From < layers.To && !needed(layers.From) {
		layers.From++
	}
	for layers.From < layers.To && !needed(layers.To-1) {
		layers.To--
	}
	return layers
}

// approach extends a range to a goal as far as a number of layers allows. A range with other layers between it and the goal stays
// as it is.
func approach(layers, goal kwid.LayerRange, limit int) kwid.LayerRange {
	if layers.Len() == 0 {
		return goal
	}
	if layers.From > goal.To || layers.To < goal.From {
		return layers
	}
	spare := kwid.Layer(max(0, limit-layers.Len()))
	up := min(spare, max(0, goal.To-layers.To))
	down := min(spare-up, max(0, layers.From-goal.From))
	return kwid.LayerRange{From: layers.From - down, To: layers.To + up}
}

// contains reports whether a layer is part of a range.
func contains(layers kwid.LayerRange, layer kwid.Layer) bool {
	return layer >= layers.From && layer < layers.To
}

// leastKVTokens returns the smallest KV cache that a server of a pool has beside its layers, in tokens.
func (m model) leastKVTokens(pool []Server) float64 {
	least := math.Inf(1)
	for _, s := range pool {
		if n := float64(s.Layers.Len()); n > 0 {
			least = min(least, (s.MemoryMB-n*m.layerMB)/(m.kvMBPerTokenLayer*n))
		}
	}
	return max(0, least)
}
