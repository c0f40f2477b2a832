package kwchainsearch

import (
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

const (
	// homeAcceptShare is the share of the first-event objective below which a chain in the home zone is chosen without
	// considering other zones.
	homeAcceptShare = 0.5
	// crossZonePenalty is added to the score of chains in other availability zones, since their responses cross the costly
	// links between zones.
	crossZonePenalty = 150 * time.Millisecond
	// decodeTimeWeight weighs the decode time of a typical response against the time to the first event: a faster chain frees its
	// slots and serves its callers sooner.
	decodeTimeWeight = 0.03
	// eventGapShare is the share of the event gap objective that the expected interval between two events may take.
	eventGapShare = 0.6
)

// Criteria is what a request demands of a chain.
type Criteria struct {
	Size RequestSize
	Home kwid.AvailabilityZone
	// FirstEventObjective is the desired time to the first event, EventGapObjective the longest desired gap between
	// two events.
	FirstEventObjective, EventGapObjective time.Duration
	// Incomplete means that the list of servers is still being gathered, as after a restart of the whole deployment. A zone
	// that seems to lack layers most likely holds them, so a chain across zones is not worth its transfers yet.
	Incomplete bool
	// MaxFirstEvent is the longest acceptable time to the first event; a slower chain is treated as full.
	MaxFirstEvent time.Duration
	// EstimateFirstEvent estimates the time to the first event from the first endpoint and the time that an idle chain takes.
	EstimateFirstEvent func(first kwid.EndpointID, idle time.Duration) time.Duration
	// Accept reports whether a chain may be used; nil accepts all.
	Accept func(Chain) bool
}

// Choose returns the chain on which a request can expect its first event soonest: in the home zone if that is fast enough, or
// else in any availability zone. It handles two kinds of load: a burst, in which prompts queue at the fastest copy of the model
// in a zone while a slower copy or another zone is idle, and the loss of servers, after which a zone has less capacity than
// its callers need. Activations stay inside a zone while any zone holds the whole model, since all chains share the links
// between zones.
//
// Excluded servers are ejected or have failed the request. They still count as holders of their layers.
func Choose(engine *kwdeclaration.Engine, servers []Server, excluded func(kwid.EndpointID) bool, c Criteria) (Chain, bool) {
	zones := make(map[kwid.AvailabilityZone][]Server)
	var all []Server
	for _, s := range servers {
		if excluded(s.ID) {
			continue
		}
		zones[s.Zone] = append(zones[s.Zone], s)
		all = append(all, s)
	}
	best, found := c.bestCandidate(engine, zones[c.Home])
	if found && best.score < time.Duration(homeAcceptShare*float64(c.FirstEventObjective)) {
		return best.chain, true
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if zone == c.Home {
			continue
		}
		other, ok := c.bestCandidate(engine, zones[zone])
		if other.score += crossZonePenalty; ok && (!found || other.score < best.score) {
			best, found = other, true
		}
	}
	if found || c.Incomplete || anyZoneHoldsModel(engine, servers) {
		return best.chain, found
	}
	chain, ok := NewSearch(engine, all).Best(c.Size)
	return chain, ok && (c.Accept == nil || c.Accept(chain))
}

// candidate is a chain with its score, the expected time to the first event and the costs added to it. Lower is better.
type candidate struct {
	chain Chain
	score time.Duration
}

// bestCandidate returns the chain over the given servers with the best score.
func (c Criteria) bestCandidate(engine *kwdeclaration.Engine, servers []Server) (best candidate, found bool) {
	for _, chain := range NewSearch(engine, servers).BestByFirst(c.Size) {
		firstEvent := c.EstimateFirstEvent(chain.First().Endpoint, chain.PrefillTime+chain.TokenTime)
		if firstEvent > c.MaxFirstEvent || c.Accept != nil && !c.Accept(chain) {
			continue
		}
		score := firstEvent + c.decodeCost(engine, chain)
		if !found || score < best.score {
			best, found = candidate{chain: chain, score: score}, true
		}
	}
	return best, found
}

// decodeCost is the part of the score for the time after the first event: the weighted decode time of a typical response, and a
// penalty if events would arrive too far apart.
func (c Criteria) decodeCost(engine *kwdeclaration.Engine, chain Chain) time.Duration {
	cost := time.Duration(decodeTimeWeight * float64(engine.TypicalAnswerTokens) * float64(chain.TokenTime))
	if c.EventGapObjective > 0 && float64(chain.EventInterval(engine)) > eventGapShare*float64(c.EventGapObjective) {
		cost += c.FirstEventObjective
	}
	return cost
}

// anyZoneHoldsModel reports whether some availability zone holds the whole model, however busy or ejected its servers are.
func anyZoneHoldsModel(engine *kwdeclaration.Engine, servers []Server) bool {
	zones := make(map[kwid.AvailabilityZone][]Server)
	for _, s := range servers {
		s.Used, s.Running, s.NotFirst = 0, 0, false
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	for _, list := range zones {
		if _, ok := NewSearch(engine, list).Best(RequestSize{}); ok {
			return true
		}
	}
	return false
}
