package kwmembership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// maxUndeclared bounds the endpoints of undeclared services that are held.
const maxUndeclared = 1 << 14

// undeclaredEndpoint is an endpoint whose service the declaration does not name. Anyone may send a heartbeat, so it claims neither its ID nor
// its address until its service is declared.
type undeclaredEndpoint struct {
	announcement  Announcement
	lastHeartbeat time.Time
}

// SetServices sets the services that the declaration in force names. Endpoints that were held for services which are declared now join the
// roster, those that started first before the others. Without a call all services count as declared.
func (r *Roster) SetServices(services map[kwid.ServiceName]bool) {
	r.services = services
	var joining []undeclaredEndpoint
	maps.DeleteFunc(r.undeclared, func(_ kwid.EndpointID, e undeclaredEndpoint) bool {
		if !services[e.announcement.Service] {
			return false
		}
		joining = append(joining, e)
		return true
	})
	slices.SortFunc(joining, func(a, b undeclaredEndpoint) int {
		return cmp.Or(cmp.Compare(a.announcement.StartedMillis, b.announcement.StartedMillis), cmp.Compare(a.announcement.ID, b.announcement.ID))
	})
	for _, e := range joining {
		r.Announce(e.lastHeartbeat, e.announcement)
	}
}

// declared reports whether a heartbeat may claim its ID and address: its service is declared, or was when the same process joined the roster.
// Streams of a service outlive its declaration, and have to learn when their endpoint drains or is lost.
func (r *Roster) declared(a Announcement) bool {
	if r.services == nil || r.services[a.Service] {
		return true
	}
	old, ok := r.rows[a.ID]
	known := ok && old.Announcement.Service == a.Service && old.Announcement.Address == a.Address
	return known && old.Announcement.StartedMillis == a.StartedMillis
}

// hold keeps the latest heartbeat of an endpoint of an undeclared service.
func (r *Roster) hold(now time.Time, a Announcement) HeartbeatResult {
	old, ok := r.undeclared[a.ID]
	switch {
	case !ok && len(r.undeclared) >= maxUndeclared:
		return HeldAgain
	case !ok:
		r.undeclared[a.ID] = undeclaredEndpoint{a, now}
		return Held
	case cmp.Or(cmp.Compare(a.StartedMillis, old.announcement.StartedMillis), cmp.Compare(a.Sequence, old.announcement.Sequence)) > 0:
		r.undeclared[a.ID] = undeclaredEndpoint{a, now}
	}
	return HeldAgain
}

// expireUndeclared drops the held endpoints that have sent no heartbeat within their lease.
func (r *Roster) expireUndeclared(now time.Time) {
	maps.DeleteFunc(r.undeclared, func(_ kwid.EndpointID, e undeclaredEndpoint) bool { return now.Sub(e.lastHeartbeat) > r.cfg.Lease })
}
