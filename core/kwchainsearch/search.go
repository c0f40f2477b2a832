package kwchainsearch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// hopTime is added for each stage, so that the shorter of two equal chains wins; it is the network delay inside a zone.
const hopTime = 100 * time.Microsecond

// contentionWeight is the relative slowdown of an endpoint with a full KV cache, where a request waits for the forward passes
// of others.
const contentionWeight = 2.0

// slotShare is the share of a first server's slots that an entry fills. The rest is for requests of other entries that it does
// not know of yet.
const slotShare = 0.95

// RequestSize is the expected size of a request.
type RequestSize struct {
	// TotalTokens is the length of the prompt and the response together.
	TotalTokens float64
	// PromptTokens is the length of the prompt.
	PromptTokens float64
}

// Search finds chains over one set of servers. It is not safe for concurrent use.
type Search struct {
	engine  *kwdeclaration.Engine
	servers []Server
	// boundaries are the layers at which ranges of the servers begin or end, in order.
	boundaries []kwid.Layer
}

// NewSearch returns a search over servers that accept new requests.
func NewSearch(engine *kwdeclaration.Engine, servers []Server) *Search {
	s := &Search{engine: engine, servers: slices.Clone(servers)}
	s.boundaries = []kwid.Layer{0, kwid.Layer(engine.Layers)}
	for _, server := range servers {
		s.boundaries = append(s.boundaries, server.Layers.From, server.Layers.To)
	}
	slices.Sort(s.boundaries)
	s.boundaries = slices.Compact(s.boundaries)
	return s
}

// Best returns the chain with the lowest estimated time per token that has capacity for the request, or false if there is none.
func (s *Search) Best(size RequestSize) (Chain, bool) {
	return s.bestFrom(size, anyServer)
}

// Allocate reserves all the KV cache that is left on a chain, up to a limit in tokens, and returns the number of tokens reserved.
func (s *Search) Allocate(c Chain, limit float64) float64 {
	tokens := limit
	servers := make([]*Server, 0, len(c.Stages))
	for _, stage := range c.Stages {
		i := slices.IndexFunc(s.servers, func(v Server) bool { return v.ID == stage.Endpoint })
		servers = append(servers, &s.servers[i])
		tokens = min(tokens, float64(s.servers[i].Capacity-s.servers[i].Used)/float64(stage.Layers.Len()))
	}
	for i, stage := range c.Stages {
		servers[i].Used += LayerTokens(tokens * float64(stage.Layers.Len()))
	}
	return tokens
}

// BestByFirst returns the best chain for each server that can be the first, the fastest chain first.
func (s *Search) BestByFirst(size RequestSize) []Chain {
	var out []Chain
	for i := range s.servers {
		if s.servers[i].Layers.From > 0 {
			continue
		}
		if c, ok := s.bestFrom(size, i); ok {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b Chain) int { return cmp.Compare(a.TokenTime, b.TokenTime) })
	return out
}

// anyServer leaves the first server of a chain open.
const anyServer = -1

// bestFrom returns the best chain that begins at a server of the given index, or at any.
func (s *Search) bestFrom(size RequestSize, first int) (Chain, bool) {
	visits, cost, ok := s.shortestPath(size, first)
	if !ok {
		return Chain{}, false
	}
	visits = mergeVisits(visits)
	if len(visits) > MaxStages || !s.hasCapacity(size, visits) {
		return Chain{}, false
	}
	return s.chain(size, visits, cost), true
}

// visit is the use of a server for a range of layers on a path.
type visit struct {
	server int
	layers kwid.LayerRange
}

// mergeVisits joins two visits of the same server into one, which also runs the layers in between: the server holds them too.
func mergeVisits(visits []visit) []visit {
	var merged []visit
	for _, next := range visits {
		i := slices.IndexFunc(merged, func(x visit) bool { return x.server == next.server })
		if i < 0 {
			merged = append(merged, next)
			continue
		}
		merged[i].layers.To = next.layers.To
		merged = merged[:i+1]
	}
	return merged
}

// hasCapacity reports whether each server has the KV cache for its layers; a merged visit needs more than its parts did.
func (s *Search) hasCapacity(size RequestSize, visits []visit) bool {
	for _, v := range visits {
		server := &s.servers[v.server]
		if !server.hasRoom(size.TotalTokens * float64(v.layers.Len())) {
			return false
		}
	}
	return true
}

// shortestPath runs a shortest-path search over the layer boundaries and returns the visits and their total cost.
func (s *Search) shortestPath(size RequestSize, first int) ([]visit, float64, bool) {
	n := len(s.boundaries)
	cost := make([]float64, n)
	previous := make([]int, n)
	via := make([]int, n)
	for i := 1; i < n; i++ {
		cost[i] = math.Inf(1)
	}
	for i := 0; i < n-1; i++ {
		if math.IsInf(cost[i], 1) {
			continue
		}
		for serverIndex := range s.servers {
			if i == 0 && first != anyServer && serverIndex != first {
				continue
			}
			s.relax(size, serverIndex, i, cost, previous, via)
		}
	}
	if math.IsInf(cost[n-1], 1) {
		return nil, 0, false
	}
	var visits []visit
	for i := n - 1; i > 0; i = previous[i] {
		visits = append(visits, visit{via[i], kwid.LayerRange{From: s.boundaries[previous[i]], To: s.boundaries[i]}})
	}
	slices.Reverse(visits)
	return visits, cost[n-1], true
}

// relax updates the cost of the boundaries that a server reaches from boundary i; previous and via record the path.
func (s *Search) relax(size RequestSize, serverIndex, i int, cost []float64, previous, via []int) {
	start := s.boundaries[i]
	server := &s.servers[serverIndex]
	if start < server.Layers.From || start >= server.Layers.To || i == 0 && server.full() {
		return
	}
	perLayer := s.layerTime(server)
	for j := i + 1; j < len(s.boundaries) && s.boundaries[j] <= server.Layers.To; j++ {
		layers := float64(s.boundaries[j] - start)
		if !server.hasRoom(size.TotalTokens * layers) {
			return
		}
		newCost := cost[i] + perLayer*layers + float64(hopTime)
		if newCost < cost[j] {
			cost[j], previous[j], via[j] = newCost, i, serverIndex
		}
	}
}

// hasRoom reports whether a request may use an amount of the server's KV cache, in layer tokens.
func (s *Server) hasRoom(layerTokens float64) bool {
	return s.Used+s.Withheld+LayerTokens(layerTokens) <= s.Capacity
}

// full reports whether the server accepts no more requests as the first of a chain.
func (s *Server) full() bool {
	return s.NotFirst || s.Slots > 0 && float64(s.Running) >= slotShare*float64(s.Slots)
}

// layerTime estimates the time of one token in one layer on a server, in nanoseconds.
func (s *Search) layerTime(server *Server) float64 {
	e := s.engine
	tokens := float64(server.Used) / float64(server.Layers.Len())
	batch := tokens / float64(max(1, e.TypicalPromptTokens+e.TypicalAnswerTokens/2))
	stepTime := float64(e.StepTime) + float64(e.StepTimePerSequence)*batch + float64(e.StepTimePerKiloToken)*tokens/1000
	kvUse := server.kvUse()
	return stepTime * server.StepTimeFactor * (1 + contentionWeight*kvUse*kvUse) / float64(e.Layers)
}

// chain returns the chain over the given visits; cost is its time per token in nanoseconds.
func (s *Search) chain(size RequestSize, visits []visit, cost float64) Chain {
	c := Chain{TokenTime: time.Duration(cost), Stages: make([]Stage, 0, len(visits))}
	for _, v := range visits {
		server := &s.servers[v.server]
		c.Stages = append(c.Stages, Stage{Endpoint: server.ID, Address: server.Address, Layers: v.layers})
		if s.engine.PrefillTokensPerSecond > 0 {
			share := float64(v.layers.Len()) / float64(s.engine.Layers)
			c.PrefillTime += time.Duration(size.PromptTokens / s.engine.PrefillTokensPerSecond * server.PrefillTimeFactor * share * float64(time.Second))
		}
	}
	return c
}
