package kwchainsearch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// hopTime is charged for each part, so that short chains win between equals; it is the delay inside a zone.
const hopTime = 100 * time.Microsecond

// crowding weighs a full endpoint against an empty one: a request on a full one waits for the passes of others.
const crowding = 2.0

// slotShare of a first server's slots are filled; the rest is for requests of other entries that are not known yet.
const slotShare = 0.95

// RequestSize is what a request takes up.
type RequestSize struct {
	// TotalTokens is the expected length of prompt and answer together.
	TotalTokens float64
	// PromptTokens is the length of the prompt.
	PromptTokens float64
}

// Search finds chains over one set of servers; it is not safe for concurrent use.
type Search struct {
	engine  *kwdeclaration.Engine
	servers []Server
	points  []kwid.Layer
}

// NewSearch returns a search over servers that take new work.
func NewSearch(engine *kwdeclaration.Engine, servers []Server) *Search {
	s := &Search{engine: engine, servers: slices.Clone(servers)}
	s.points = []kwid.Layer{0, kwid.Layer(engine.Layers)}
	for _, v := range servers {
		s.points = append(s.points, v.Layers.From, v.Layers.To)
	}
	slices.Sort(s.points)
	s.points = slices.Compact(s.points)
	return s
}

// Best returns the chain with the lowest estimated time a token that has room; false means that there is none.
func (s *Search) Best(need RequestSize) (Chain, bool) {
	return s.from(need, anyFirst)
}

// Allocate takes up the whole room of a chain, up to a bound in tokens, and returns what it took.
func (s *Search) Allocate(c Chain, most float64) float64 {
	room := most
	at := make([]*Server, 0, len(c.Stages))
	for _, p := range c.Stages {
		i := slices.IndexFunc(s.servers, func(v Server) bool { return v.ID == p.Endpoint })
		at = append(at, &s.servers[i])
		room = min(room, float64(s.servers[i].Capacity-s.servers[i].Used)/float64(p.Layers.Len()))
	}
	for i, p := range c.Stages {
		at[i].Used += LayerTokens(room * float64(p.Layers.Len()))
	}
	return room
}

// BestByFirst returns the best chain for each server that can be the first, fastest first.
func (s *Search) BestByFirst(need RequestSize) []Chain {
	var out []Chain
	for v := range s.servers {
		if s.servers[v].Layers.From > 0 {
			continue
		}
		if c, ok := s.from(need, v); ok {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b Chain) int { return cmp.Compare(a.TokenTime, b.TokenTime) })
	return out
}

// anyFirst leaves the first server open.
const anyFirst = -1

func (s *Search) from(need RequestSize, first int) (Chain, bool) {
	steps, cost, ok := s.shortest(need, first)
	if !ok {
		return Chain{}, false
	}
	steps = mergeVisits(steps)
	if len(steps) > MaxStages || !s.roomy(need, steps) {
		return Chain{}, false
	}
	return s.chain(need, steps, cost), true
}

type step struct {
	server int
	layers kwid.LayerRange
}

// mergeVisits joins the visits of a server that the path meets twice: it holds all layers between them as well.
func mergeVisits(steps []step) []step {
	var out []step
	for _, next := range steps {
		at := slices.IndexFunc(out, func(x step) bool { return x.server == next.server })
		if at < 0 {
			out = append(out, next)
			continue
		}
		out[at].layers.To = next.layers.To
		out = out[:at+1]
	}
	return out
}

func (s *Search) roomy(need RequestSize, steps []step) bool {
	for _, st := range steps {
		v := &s.servers[st.server]
		if v.Used+LayerTokens(need.TotalTokens*float64(st.layers.Len())) > v.Capacity {
			return false
		}
	}
	return true
}

// shortest runs a shortest-path search over the layer boundaries.
func (s *Search) shortest(need RequestSize, first int) ([]step, float64, bool) {
	n := len(s.points)
	best := make([]float64, n)
	from := make([]int, n)
	via := make([]int, n)
	for i := 1; i < n; i++ {
		best[i] = math.Inf(1)
	}
	for i := 0; i < n-1; i++ {
		if math.IsInf(best[i], 1) {
			continue
		}
		for v := range s.servers {
			if i == 0 && first != anyFirst && v != first {
				continue
			}
			s.relax(need, v, i, best, from, via)
		}
	}
	if math.IsInf(best[n-1], 1) {
		return nil, 0, false
	}
	var steps []step
	for at := n - 1; at > 0; at = from[at] {
		steps = append(steps, step{via[at], kwid.LayerRange{From: s.points[from[at]], To: s.points[at]}})
	}
	slices.Reverse(steps)
	return steps, best[n-1], true
}

func (s *Search) relax(need RequestSize, v, i int, best []float64, from, via []int) {
	start := s.points[i]
	server := &s.servers[v]
	if start < server.Layers.From || start >= server.Layers.To || i == 0 && server.full() {
		return
	}
	perLayer := s.layerTime(server)
	for j := i + 1; j < len(s.points) && s.points[j] <= server.Layers.To; j++ {
		layers := float64(s.points[j] - start)
		if server.Used+LayerTokens(need.TotalTokens*layers) > server.Capacity {
			return
		}
		cost := best[i] + perLayer*layers + float64(hopTime)
		if cost < best[j] {
			best[j], from[j], via[j] = cost, i, v
		}
	}
}

// full tells whether the server takes no more requests as the first of a chain.
func (s *Server) full() bool {
	return s.Slots > 0 && float64(s.Running) >= slotShare*float64(s.Slots)
}

// layerTime estimates the time of one token in one layer on a server, in nanoseconds.
func (s *Search) layerTime(v *Server) float64 {
	e := s.engine
	tokens := float64(v.Used) / float64(v.Layers.Len())
	batch := tokens / float64(max(1, e.TypicalPromptTokens+e.TypicalAnswerTokens/2))
	step := float64(e.StepTime) + float64(e.StepTimePerSequence)*batch + float64(e.StepTimePerKiloToken)*tokens/1000
	fill := v.fill()
	return step * v.Pace * (1 + crowding*fill*fill) / float64(e.Layers)
}

func (s *Search) chain(need RequestSize, steps []step, cost float64) Chain {
	c := Chain{TokenTime: time.Duration(cost), Stages: make([]Stage, 0, len(steps))}
	for _, st := range steps {
		v := &s.servers[st.server]
		c.Stages = append(c.Stages, Stage{Endpoint: v.ID, Address: v.Address, Layers: st.layers})
		if s.engine.PrefillTokensPerSecond > 0 {
			share := float64(st.layers.Len()) / float64(s.engine.Layers)
			c.PrefillTime += time.Duration(need.PromptTokens / s.engine.PrefillTokensPerSecond * v.PrefillPace * share * float64(time.Second))
		}
	}
	return c
}
