package kwstatemachine

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// left is an announced endpoint that drains or has left, with the time of its record in Unix milliseconds.
type left struct {
	Row kwmembership.RosterRow `cbor:"1,keyasint"`
	At  int64                  `cbor:"2,keyasint"`
}

// leaving remembers endpoints that drain or have left for as long as a late heartbeat may come.
type leaving struct {
	keep int64
	byID map[kwid.EndpointID]left
}

func newLeaving(keepMillis int64) *leaving {
	return &leaving{keep: keepMillis, byID: make(map[kwid.EndpointID]left)}
}

// put keeps the younger life of an endpoint; of one life, what was recorded last.
func (l *leaving) put(now int64, row kwmembership.RosterRow) {
	old, ok := l.byID[row.Announcement.ID]
	if ok && old.Row.Announcement.StartedMillis > row.Announcement.StartedMillis {
		return
	}
	l.byID[row.Announcement.ID] = left{Row: row, At: now}
}

func (l *leaving) expire(now int64) {
	maps.DeleteFunc(l.byID, func(_ kwid.EndpointID, x left) bool { return now-x.At > l.keep })
}

func (l *leaving) rows() []left {
	out := slices.Collect(maps.Values(l.byID))
	slices.SortFunc(out, func(a, b left) int { return cmp.Compare(a.Row.Announcement.ID, b.Row.Announcement.ID) })
	return out
}

func (l *leaving) list() []kwmembership.RosterRow {
	var out []kwmembership.RosterRow
	for _, x := range l.rows() {
		out = append(out, x.Row)
	}
	return out
}

func (l *leaving) load(rows []left) {
	for _, x := range rows {
		l.byID[x.Row.Announcement.ID] = x
	}
}
