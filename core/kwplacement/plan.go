package kwplacement

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

// Server is a model server that accepts new requests. Layers is the range that it holds or was last ordered to hold.
type Server struct {
	ID   kwid.EndpointID
	Zone kwid.AvailabilityZone
	// Address is where the server listens. It decides the cell of the server, so that a server that restarts at the same
	// address is planned together with the same other servers.
	Address  string
	MemoryMB float64
	// StepTimeFactor is that of the accelerator: it multiplies the time of a decode step.
	StepTimeFactor float64
	Layers         kwid.LayerRange
	// OrderPending means that an order to the server is not confirmed yet, so it gets no other one.
	OrderPending bool
	// JustJoined means that the server is so new that the one it may replace has perhaps not announced its departure yet.
	JustJoined bool
	// PeerMayReturn means that a server of the same availability zone was lost or left so recently that it may return or be replaced.
	PeerMayReturn bool
}

// Order tells a server to hold a range of layers.
type Order struct {
	Endpoint kwid.EndpointID
	Layers   kwid.LayerRange
}

// minRequests is the number of typical requests that the KV cache of a copy must hold for the copy to be worth its memory.
const minRequests = 32

// Plan returns the orders that bring the servers of one engine to a sound placement, in which every layer is held; there are
// none if nothing has to change. Servers of a sound placement are moved for a gain only as far as no more than ConcurrentLoads
// servers load layers then. There is a plan for every engine and fleet, also for servers with layers that the model does not have.
func Plan(e *kwdeclaration.Engine, servers []Server) []Order {
	m := newModel(e)
	if m.layers <= 0 {
		return nil
	}
	servers = m.withoutOtherLayers(servers)
	var out []Order
	var sound [][]Server
	for _, pool := range pools(m, servers) {
		if holdsNothing(pool) {
			out = append(out, m.placeCopies(pool)...)
			continue
		}
		orders, complete := m.repair(pool)
		out = append(out, orders...)
		if complete && len(orders) == 0 {
			sound = append(sound, pool)
		}
	}
	loading := len(out)
	for _, s := range servers {
		if s.OrderPending {
			loading++
		}
	}
	for _, pool := range sound {
		limit := max(1, e.ConcurrentLoads) - loading
		if limit <= 0 {
			break
		}
		moves := m.rearrange(pool, limit)
		if len(moves) == 0 {
			moves = m.improve(pool)
		}
		loading += len(moves)
		out = append(out, moves...)
	}
	return out
}

// withoutOtherLayers returns servers of which those with layers of another model hold nothing. It answers endpoints that announce layers
// beyond those of the model, and declarations whose model has fewer layers than before.
func (m model) withoutOtherLayers(servers []Server) []Server {
	out := slices.Clone(servers)
	for i, s := range out {
		if !s.Layers.Valid() || int(s.Layers.To) > m.layers {
			out[i].Layers = kwid.LayerRange{}
		}
	}
	return out
}

// model holds the properties of an engine that placement needs.
type model struct {
	engine            *kwdeclaration.Engine
	layers            int
	layerMB           float64
	kvMBPerTokenLayer float64
	slots             int
	// requestTokens is the length of a typical request, prompt and response together.
	requestTokens float64
}

func newModel(e *kwdeclaration.Engine) model {
	return model{
		engine:            e,
		layers:            e.Layers,
		layerMB:           e.LayerMB,
		kvMBPerTokenLayer: e.KVMBPerTokenLayer,
		slots:             e.Slots,
		requestTokens:     float64(e.TypicalPromptTokens + e.TypicalAnswerTokens),
	}
}

// minKVTokens returns the minimum KV cache of a server, in tokens.
func (m model) minKVTokens() float64 { return minRequests * m.requestTokens }

// layersFor returns how many layers a server can hold beside a KV cache for the given number of tokens.
func (m model) layersFor(s Server, tokens float64) int {
	return min(m.layers, int(s.MemoryMB/(m.layerMB+tokens*m.kvMBPerTokenLayer)))
}

// totalLayers returns how many layers the servers can hold together, each beside a KV cache for the given number of tokens.
func (m model) totalLayers(servers []Server, tokens float64) int {
	n := 0
	for _, s := range servers {
		n += m.layersFor(s, tokens)
	}
	return n
}

// pools groups the servers that are planned together: by availability zone, and large zones by cell. Zones that cannot hold
// the whole model are joined.
func pools(m model, servers []Server) [][]Server {
	zones := make(map[kwid.AvailabilityZone][]Server)
	for _, s := range servers {
		zones[s.Zone] = append(zones[s.Zone], s)
	}
	var out [][]Server
	var joined []Server
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if m.totalLayers(zones[zone], 0) < m.layers {
			joined = append(joined, zones[zone]...)
			continue
		}
		out = append(out, zones[zone])
	}
	if len(joined) > 0 {
		out = append(out, joined)
	}
	var cells [][]Server
	for _, pool := range out {
		cells = append(cells, m.cells(pool)...)
	}
	for _, cell := range cells {
		slices.SortFunc(cell, compareFastFirst)
	}
	return cells
}

// compareFastFirst orders servers by speed, then by memory, the largest first.
func compareFastFirst(a, b Server) int {
	return cmp.Or(cmp.Compare(a.StepTimeFactor, b.StepTimeFactor), cmp.Compare(b.MemoryMB, a.MemoryMB), cmp.Compare(a.ID, b.ID))
}

// holdsNothing reports whether no server of a pool holds layers or has been ordered to.
func holdsNothing(pool []Server) bool {
	return !slices.ContainsFunc(pool, func(s Server) bool { return s.Layers.Len() > 0 || s.OrderPending })
}
