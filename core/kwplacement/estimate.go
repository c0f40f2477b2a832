package kwplacement

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// Estimate is the capacity of the model servers of an availability zone, in typical requests.
type Estimate struct {
	Zone    kwid.AvailabilityZone
	Servers int
	// Copies is the number of servers that hold the rarest layer.
	Copies int
	// Rate is the number of requests per second that the placement serves with every chain full. RateAfterLoss is that after
	// the loss of the one server whose loss costs most, before any other server is moved.
	Rate, RateAfterLoss float64
	// RateBound is a rate that no placement exceeds: all memory beside a single copy holds requests, which all run on the
	// fastest servers that hold the model together.
	RateBound float64
}

// EstimateZones places the model on an empty fleet and returns the estimates of the availability zones, ordered by name.
func EstimateZones(e *kwdeclaration.Engine, servers []Server) []Estimate {
	m := newModel(e)
	placed := settledPlacement(e, servers)
	zones := make(map[kwid.AvailabilityZone][]Server)
	for _, s := range placed {
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	var out []Estimate
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list := zones[zone]
		slices.SortFunc(list, compareFastFirst)
		est := Estimate{Zone: zone, Servers: len(list), Copies: slices.Min(m.coverage(list)), Rate: m.rate(list), RateBound: m.rateBound(list)}
		est.RateAfterLoss = est.Rate
		for i := range list {
			est.RateAfterLoss = min(est.RateAfterLoss, m.rate(slices.Delete(slices.Clone(list), i, i+1)))
		}
		out = append(out, est)
	}
	return out
}

// maxPlanRounds bounds how often a new placement is planned again until no orders are left.
const maxPlanRounds = 5

// settledPlacement plans the servers until no orders are left.
func settledPlacement(e *kwdeclaration.Engine, servers []Server) []Server {
	placed := slices.Clone(servers)
	for range maxPlanRounds {
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

// rate returns the typical requests per second that a pool serves.
func (m model) rate(pool []Server) float64 {
	return m.throughput(pool) / m.requestTokens / float64(max(1, m.engine.TypicalAnswerTokens))
}

// rateBound returns the bound on the rate of any placement on a pool.
func (m model) rateBound(pool []Server) float64 {
	memory := 0.0
	for _, s := range pool {
		memory += s.MemoryMB
	}
	kvTokens := (memory - float64(m.layers)*m.layerMB) / (m.kvMBPerTokenLayer * float64(m.layers))
	if kvTokens <= 0 {
		return 0
	}
	fastestFirst := slices.Clone(pool)
	slices.SortFunc(fastestFirst, func(a, b Server) int { return cmp.Compare(a.StepTimeFactor, b.StepTimeFactor) })
	left, tokenTime := m.layers, 0.0
	for _, s := range fastestFirst {
		n := min(left, m.layersFor(s, 0))
		left -= n
		tokenTime += float64(n) * s.StepTimeFactor * m.engine.StepTime.Seconds() / float64(m.layers)
	}
	if left > 0 || tokenTime <= 0 {
		return 0
	}
	return kvTokens / m.requestTokens / (tokenTime * float64(max(1, m.engine.TypicalAnswerTokens)))
}
