package kwstatemachine

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// seen remembers the live endpoints as a leader knew them a moment ago, so that the next one knows them at once: after an
// outage of everything the callers are back before the endpoints' next heartbeats.
type seen struct {
	byID map[kwid.EndpointID]kwmembership.Announcement
}

func newSeen() *seen {
	return &seen{byID: make(map[kwid.EndpointID]kwmembership.Announcement)}
}

func (s *seen) apply(c *RecordLiveEndpoints) {
	for _, id := range c.Gone {
		delete(s.byID, id)
	}
	for _, a := range c.Live {
		s.byID[a.ID] = a
	}
}

// leave drops an endpoint whose present life drains or has left.
func (s *seen) leave(row kwmembership.RosterRow) {
	if a, ok := s.byID[row.Announcement.ID]; ok && a.StartedMillis <= row.Announcement.StartedMillis {
		delete(s.byID, row.Announcement.ID)
	}
}

func (s *seen) list() []kwmembership.Announcement {
	out := slices.Collect(maps.Values(s.byID))
	slices.SortFunc(out, func(a, b kwmembership.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
