package kwdirectcontrol

import (
	"slices"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwplacement"
)

// fleet holds the live servers of one service.
type fleet struct {
	servers       []kwplacement.Server
	announcements map[kwid.EndpointID]kwmembership.Announcement
	// empty means that no server holds layers or has a pending order to hold some.
	empty bool
}

// liveFleet returns the live servers of a service. A server with a pending order counts with the layers that it was
// ordered to hold.
func (p *placer) liveFleet(now time.Time, service *kwdeclaration.Service, rows []kwmembership.RosterRow) fleet {
	f := fleet{announcements: make(map[kwid.EndpointID]kwmembership.Announcement), empty: true}
	departed := departedAddresses(service.Name, rows)
	mayReturn := p.zonesAwaitingReturn(now, service.Name, rows)
	for _, row := range rows {
		a := row.Announcement
		// A row may have been recorded by a build that did not check heartbeats.
		if a.Service != service.Name || row.State != kwmembership.Live || !a.Layers.Valid() {
			continue
		}
		accelerator := service.Engine.Accelerator(a.Accelerator)
		if accelerator == nil {
			continue
		}
		s := p.orderStateOf(now, a)
		if departed[a.Address] {
			// A server that restarted at the same address need not wait for another one to leave.
			s.firstSeen = time.Time{}
		}
		server := kwplacement.Server{
			ID: a.ID, Zone: a.Zone, Address: a.Address, MemoryMB: accelerator.MemoryMB, StepTimeFactor: accelerator.StepTimeFactor, Layers: a.Layers,
			JustJoined: now.Sub(s.firstSeen) < justJoinedTime, PeerMayReturn: mayReturn[a.Zone],
		}
		if s.ordered {
			server.Layers, server.OrderPending = s.target, true
		}
		f.empty = f.empty && server.Layers.Len() == 0
		f.announcements[a.ID] = a
		f.servers = append(f.servers, server)
	}
	return f
}

// unchanged reports whether both a and b contain a server with the same layers and the same order status.
func unchanged(a, b []kwplacement.Server, id kwid.EndpointID) bool {
	find := func(list []kwplacement.Server) int {
		return slices.IndexFunc(list, func(s kwplacement.Server) bool { return s.ID == id })
	}
	i, j := find(a), find(b)
	return i >= 0 && j >= 0 && a[i].Layers == b[j].Layers && a[i].OrderPending == b[j].OrderPending
}

// departedAddresses returns the addresses of the servers of a service that are lost or gone.
func departedAddresses(service kwid.ServiceName, rows []kwmembership.RosterRow) map[string]bool {
	out := make(map[string]bool)
	for _, row := range rows {
		if row.Announcement.Service == service && (row.State == kwmembership.Lost || row.State == kwmembership.Gone) {
			out[row.Announcement.Address] = true
		}
	}
	return out
}

// zonesAwaitingReturn returns the availability zones that a server of a service has departed from within returnWait, unless
// another one is live at its address. For a new leader these are all zones: it does not know the orders of the earlier one, by
// which servers may be giving up layers that they still announce.
func (p *placer) zonesAwaitingReturn(now time.Time, service kwid.ServiceName, rows []kwmembership.RosterRow) map[kwid.AvailabilityZone]bool {
	live := make(map[string]bool)
	for _, row := range rows {
		if row.State == kwmembership.Live {
			live[row.Announcement.Address] = true
		}
	}
	newLeader := now.Sub(p.leadingSince) < returnWait
	out := make(map[kwid.AvailabilityZone]bool)
	for _, row := range rows {
		a := row.Announcement
		at, departed := p.departedAt[a.ID]
		mayReturn := departed && !live[a.Address] && now.Sub(at) < returnWait
		if a.Service == service && (newLeader || mayReturn) {
			out[a.Zone] = true
		}
	}
	return out
}

// holds reports whether a range includes all layers of another.
func holds(layers, other kwid.LayerRange) bool {
	return other.Len() <= 0 || layers.From <= other.From && layers.To >= other.To
}

// lostServer reports whether one of the servers is not part of a fleet any more.
func lostServer(servers []kwplacement.Server, f fleet) bool {
	return slices.ContainsFunc(servers, func(s kwplacement.Server) bool {
		_, ok := f.announcements[s.ID]
		return !ok
	})
}

// orderStateOf returns the order state of the running process of an endpoint. It ends an order once the endpoint
// announces the ordered layers, or once the deadline has passed.
func (p *placer) orderStateOf(now time.Time, a kwmembership.Announcement) *orderState {
	s, ok := p.orderStates[a.ID]
	if !ok || s.startedMillis != a.StartedMillis {
		s = &orderState{startedMillis: a.StartedMillis, firstSeen: now}
		p.orderStates[a.ID] = s
	}
	if s.ordered && (a.Layers == s.target || now.After(s.deadline)) {
		s.ordered = false
	}
	return s
}
