package kwchainsearch

import (
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

const (
	// goodEnough is the share of the objective under which a chain at home is taken without a look at other zones.
	goodEnough = 0.5
	// crossZone is how much longer a request may expect to wait at home than in another availability zone, whose answers
	// cross the dear links between zones.
	crossZone = 150 * time.Millisecond
	// paceWeight is how much a slow chain costs beside its wait, as a share of the whole answer's time: a faster chain is
	// free again sooner, and its callers are too.
	paceWeight = 0.03
	// pauseShare of the pause objective is what the usual pause between two events may be.
	pauseShare = 0.6
)

// Criteria is what a request wants of a chain.
type Criteria struct {
	Size RequestSize
	Home kwid.AvailabilityZone
	// FirstEventObjective is the time to the first event that the caller aims for, PauseObjective the longest pause between events.
	FirstEventObjective, PauseObjective time.Duration
	// Incomplete means that the list of servers is still being gathered, as after a start of everything: a zone that seems to
	// lack layers most likely holds them, so a chain across zones is not worth its transfers yet.
	Incomplete bool
	// MaxFirstEvent is the longest wait for the first event; a chain that is slower counts as full.
	MaxFirstEvent time.Duration
	// EstimateFirstEvent estimates that wait for a first endpoint, from the time that an idle chain takes.
	EstimateFirstEvent func(first kwid.EndpointID, idle time.Duration) time.Duration
}

// Choose returns the chain with room on which a request can expect its first event soonest: at home if that is in good
// time there, else in another availability zone too. It answers two loads: a rush, in which the fastest copy of a zone
// has a queue of prompts while a slower copy or another zone idles, and the loss of servers, after which a zone has
// less room than callers. Activations stay inside a zone while any zone holds the whole model: the links between
// zones are shared by all chains. Servers that are out are ejected or have failed the request; they still count as
// holders of their layers.
func Choose(engine *kwdeclaration.Engine, servers []Server, out func(kwid.EndpointID) bool, w Criteria) (Chain, bool) {
	zones := make(map[kwid.AvailabilityZone][]Server)
	var all []Server
	for _, s := range servers {
		if out(s.ID) {
			continue
		}
		zones[s.Zone] = append(zones[s.Zone], s)
		all = append(all, s)
	}
	best, found := w.bestOf(engine, zones[w.Home])
	if found && best.score < time.Duration(goodEnough*float64(w.FirstEventObjective)) {
		return best.chain, true
	}
	for zone, list := range zones {
		if zone == w.Home {
			continue
		}
		other, ok := w.bestOf(engine, list)
		if other.score += crossZone; ok && (!found || other.score < best.score) {
			best, found = other, true
		}
	}
	if found || w.Incomplete || zoneHolds(engine, servers) {
		return best.chain, found
	}
	return NewSearch(engine, all).Best(w.Size)
}

// candidate is a chain with what a request can expect of it.
type candidate struct {
	chain Chain
	score time.Duration
}

// bestOf returns the chain over some servers with the best score.
func (w Criteria) bestOf(engine *kwdeclaration.Engine, servers []Server) (best candidate, found bool) {
	for _, chain := range NewSearch(engine, servers).BestByFirst(w.Size) {
		first := w.EstimateFirstEvent(chain.First().Endpoint, chain.PrefillTime+chain.TokenTime)
		if first > w.MaxFirstEvent {
			continue
		}
		score := first + w.paceCost(engine, chain)
		if !found || score < best.score {
			best, found = candidate{chain: chain, score: score}, true
		}
	}
	return best, found
}

// paceCost is what the pace of a chain counts for beside the wait for the first event.
func (w Criteria) paceCost(engine *kwdeclaration.Engine, chain Chain) time.Duration {
	cost := time.Duration(paceWeight * float64(engine.TypicalAnswerTokens) * float64(chain.TokenTime))
	if w.PauseObjective > 0 && float64(chain.EventInterval(engine)) > pauseShare*float64(w.PauseObjective) {
		cost += w.FirstEventObjective
	}
	return cost
}

// zoneHolds tells whether some availability zone holds the whole model, however busy or ejected its servers are.
func zoneHolds(engine *kwdeclaration.Engine, servers []Server) bool {
	zones := make(map[kwid.AvailabilityZone][]Server)
	for _, s := range servers {
		s.Used, s.Running = 0, 0
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	for _, list := range zones {
		if _, ok := NewSearch(engine, list).Best(RequestSize{}); ok {
			return true
		}
	}
	return false
}
