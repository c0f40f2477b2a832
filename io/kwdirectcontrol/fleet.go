package kwdirectcontrol

import (
	"slices"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwplacement"
)

// fleet is the live servers of one engine.
type fleet struct {
	servers []kwplacement.Server
	at      map[kwid.EndpointID]kwmembership.Announcement
	// empty means that no server holds layers or was ordered to.
	empty bool
}

func (p *placer) fleetOf(now time.Time, service *kwdeclaration.Service, rows []kwmembership.RosterRow) fleet {
	f := fleet{at: make(map[kwid.EndpointID]kwmembership.Announcement), empty: true}
	ended := endedPlaces(service.Name, rows)
	for _, row := range rows {
		a := row.Announcement
		if a.Service != service.Name || row.State != kwmembership.Live {
			continue
		}
		kind := service.Engine.Accelerator(a.Accelerator)
		if kind == nil {
			continue
		}
		s := p.stateOf(now, a)
		if ended[a.Address] {
			// A server that has started again in place replaces no other.
			s.joined = time.Time{}
		}
		server := kwplacement.Server{
			ID: a.ID, Zone: a.Zone, Address: a.Address, MemoryMB: kind.MemoryMB, Pace: kind.StepTimeFactor, Layers: a.Layers,
			JustJoined: now.Sub(s.joined) < freshTime,
		}
		if s.ordered {
			server.Layers, server.OrderPending = s.target, true
		}
		f.empty = f.empty && server.Layers.Len() == 0
		f.at[a.ID] = a
		f.servers = append(f.servers, server)
	}
	return f
}

// same tells whether a server is in two fleets with the same layers and orders.
func same(a, b []kwplacement.Server, id kwid.EndpointID) bool {
	find := func(list []kwplacement.Server) int {
		return slices.IndexFunc(list, func(s kwplacement.Server) bool { return s.ID == id })
	}
	i, j := find(a), find(b)
	return i >= 0 && j >= 0 && a[i].Layers == b[j].Layers && a[i].OrderPending == b[j].OrderPending
}

// endedPlaces lists the addresses at which servers of a service have ended.
func endedPlaces(service kwid.ServiceName, rows []kwmembership.RosterRow) map[string]bool {
	out := make(map[string]bool)
	for _, row := range rows {
		if row.Announcement.Service == service && (row.State == kwmembership.Lost || row.State == kwmembership.Gone) {
			out[row.Announcement.Address] = true
		}
	}
	return out
}

// stateOf returns the order state of an endpoint's present life; an order is done once the endpoint reports its range.
func (p *placer) stateOf(now time.Time, a kwmembership.Announcement) *engineState {
	s, ok := p.engines[a.ID]
	if !ok || s.born != a.StartedMillis {
		s = &engineState{born: a.StartedMillis, joined: now}
		p.engines[a.ID] = s
	}
	if s.ordered && (a.Layers == s.target || now.After(s.since)) {
		s.ordered = false
	}
	return s
}
