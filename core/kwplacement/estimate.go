package kwplacement

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// Estimate is what the model servers of an availability zone can serve, in usual requests.
type Estimate struct {
	Zone    kwid.AvailabilityZone
	Servers int
	// Copies is how often the rarest layer is held by the placement.
	Copies int
	// Rate is how many requests a second the placement serves with every chain full; RateAfterLoss is that after the loss of the
	// one server whose loss costs most, before any server is moved.
	Rate, RateAfterLoss float64
	// RateBound is a rate that no placement exceeds: all memory beside a single copy holds requests, which all run on the fastest
	// servers that hold the model between them.
	RateBound float64
}

// EstimateZones places an empty fleet and returns what each availability zone serves, in the order of their names.
func EstimateZones(e *kwdeclaration.Engine, servers []Server) []Estimate {
	m := newModel(e)
	placed := settle(e, servers)
	zones := make(map[kwid.AvailabilityZone][]Server)
	for _, s := range placed {
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	var out []Estimate
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list := zones[zone]
		slices.SortFunc(list, fastFirst)
		est := Estimate{Zone: zone, Servers: len(list), Copies: slices.Min(m.coverage(list)), Rate: m.rate(list), RateBound: m.bound(list)}
		est.RateAfterLoss = est.Rate
		for i := range list {
			est.RateAfterLoss = min(est.RateAfterLoss, m.rate(slices.Delete(slices.Clone(list), i, i+1)))
		}
		out = append(out, est)
	}
	return out
}

// settleRounds is how often a fresh placement is planned again until nothing is worth a move.
const settleRounds = 5

func settle(e *kwdeclaration.Engine, servers []Server) []Server {
	placed := slices.Clone(servers)
	for range settleRounds {
		orders := Plan(e, placed)
		if len(orders) == 0 {
			break
		}
		for _, o := range orders {
			i := slices.IndexFunc(placed, func(s Server) bool { return s.ID == o.Endpoint })
			placed[i].Layers = o.Layers
		}
	}
	return placed
}

// rate returns the usual requests a second that a pool serves.
func (m model) rate(pool []Server) float64 {
	return m.value(pool) / m.usualTokens / float64(max(1, m.engine.TypicalAnswerTokens))
}

func (m model) bound(pool []Server) float64 {
	memory := 0.0
	for _, s := range pool {
		memory += s.MemoryMB
	}
	room := (memory - float64(m.layers)*m.layerMB) / (m.tokenMB * float64(m.layers))
	if room <= 0 {
		return 0
	}
	byPace := slices.Clone(pool)
	slices.SortFunc(byPace, func(a, b Server) int { return cmp.Compare(a.Pace, b.Pace) })
	left, tokenTime := m.layers, 0.0
	for _, s := range byPace {
		n := min(left, m.fits(s, 0))
		left -= n
		tokenTime += float64(n) * s.Pace * m.engine.StepTime.Seconds() / float64(m.layers)
	}
	if left > 0 || tokenTime <= 0 {
		return 0
	}
	return room / m.usualTokens / (tokenTime * float64(max(1, m.engine.TypicalAnswerTokens)))
}
