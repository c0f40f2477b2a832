package kwstatemachine

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// liveEndpoints holds the live endpoints that the leader last recorded, so that a new leader knows them at once: after
// a full outage, clients return before the endpoints' next heartbeats.
type liveEndpoints struct {
	byID map[kwid.EndpointID]kwmembership.Announcement
}

func newLiveEndpoints() *liveEndpoints {
	return &liveEndpoints{byID: make(map[kwid.EndpointID]kwmembership.Announcement)}
}

func (l *liveEndpoints) apply(c *RecordLiveEndpoints) {
	for _, id := range c.Gone {
		delete(l.byID, id)
	}
	for _, a := range c.Live {
		l.byID[a.ID] = a
	}
}

// removeDeparting removes an endpoint that is draining or has left, unless a later process start is recorded as live.
func (l *liveEndpoints) removeDeparting(row kwmembership.RosterRow) {
	if a, ok := l.byID[row.Announcement.ID]; ok && a.StartedMillis <= row.Announcement.StartedMillis {
		delete(l.byID, row.Announcement.ID)
	}
}

func (l *liveEndpoints) list() []kwmembership.Announcement {
	out := slices.Collect(maps.Values(l.byID))
	slices.SortFunc(out, func(a, b kwmembership.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
