package kwplacement

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// Server is a model server that takes new work; Layers is what it holds or was last ordered to hold.
type Server struct {
	ID   kwid.EndpointID
	Zone kwid.AvailabilityZone
	// Address is where the server listens; one that starts again in place is planned with the same others.
	Address  string
	MemoryMB float64
	Pace     float64
	Layers   kwid.LayerRange
	// OrderPending means that an order to the server is not yet proven done, so it gets no other.
	OrderPending bool
	// JustJoined means that the server has just come: the one that it may replace has perhaps not yet said that it leaves.
	JustJoined bool
}

// Order asks a server to hold a range of layers.
type Order struct {
	Endpoint kwid.EndpointID
	Layers   kwid.LayerRange
}

// minRequests is the KV room, in usual requests, below which a copy of the model is not worth its memory.
const minRequests = 32

// Plan returns the orders that bring the servers of one engine to a sound placement; no order means none is needed. Servers
// are only moved for a gain while fewer loads are under way than the engines carry out side by side.
func Plan(e *kwdeclaration.Engine, servers []Server) []Order {
	m := newModel(e)
	var out []Order
	var sound [][]Server
	for _, pool := range pools(m, servers) {
		if holdsNothing(pool) {
			out = append(out, m.tile(pool)...)
			continue
		}
		orders, whole := m.repair(pool)
		out = append(out, orders...)
		if whole && len(orders) == 0 {
			sound = append(sound, pool)
		}
	}
	loads := len(out)
	for _, s := range servers {
		if s.OrderPending {
			loads++
		}
	}
	for _, pool := range sound {
		if loads >= max(1, e.ConcurrentLoads) {
			break
		}
		moves := m.improve(pool)
		loads += len(moves)
		out = append(out, moves...)
	}
	return out
}

// model is the part of an engine's description that placement needs.
type model struct {
	engine      *kwdeclaration.Engine
	layers      int
	layerMB     float64
	tokenMB     float64
	slots       int
	usualTokens float64
}

func newModel(e *kwdeclaration.Engine) model {
	return model{
		engine:      e,
		layers:      e.Layers,
		layerMB:     e.LayerMB,
		tokenMB:     e.KVMBPerTokenLayer,
		slots:       e.Slots,
		usualTokens: float64(e.TypicalPromptTokens + e.TypicalAnswerTokens),
	}
}

func (m model) minRoom() float64 { return minRequests * m.usualTokens }

// fits returns how many layers a server holds while it keeps KV room for some tokens.
func (m model) fits(s Server, tokens float64) int {
	return min(m.layers, int(s.MemoryMB/(m.layerMB+tokens*m.tokenMB)))
}

func (m model) sum(servers []Server, tokens float64) int {
	n := 0
	for _, s := range servers {
		n += m.fits(s, tokens)
	}
	return n
}

// pools splits the servers by availability zone; zones that cannot hold the whole model are joined.
func pools(m model, servers []Server) [][]Server {
	zones := make(map[kwid.AvailabilityZone][]Server)
	for _, s := range servers {
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	var out [][]Server
	var joint []Server
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if m.sum(zones[zone], 0) < m.layers {
			joint = append(joint, zones[zone]...)
			continue
		}
		out = append(out, zones[zone])
	}
	if len(joint) > 0 {
		out = append(out, joint)
	}
	var cells [][]Server
	for _, pool := range out {
		cells = append(cells, m.cells(pool)...)
	}
	for _, cell := range cells {
		slices.SortFunc(cell, fastFirst)
	}
	return cells
}

func fastFirst(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(a.ID, b.ID))
}

func holdsNothing(pool []Server) bool {
	return !slices.ContainsFunc(pool, func(s Server) bool { return s.Layers.Len() > 0 || s.OrderPending })
}
