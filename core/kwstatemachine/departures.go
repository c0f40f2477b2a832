package kwstatemachine

import (
	"cmp"
	"maps"
	"slices"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

// departure is an announced endpoint that is draining or has left. At is when this was recorded, in Unix milliseconds.
type departure struct {
	Row kwmembership.RosterRow `cbor:"1,keyasint"`
	At  int64                  `cbor:"2,keyasint"`
}

// departures keeps endpoints that are draining or have left for as long as a delayed heartbeat may still arrive.
type departures struct {
	retentionMillis int64
	byID            map[kwid.EndpointID]departure
}

func newDepartures(retentionMillis int64) *departures {
	return &departures{retentionMillis: retentionMillis, byID: make(map[kwid.EndpointID]departure)}
}

// record keeps the latest process start of an endpoint; for the same process start, the last record wins.
func (d *departures) record(now int64, row kwmembership.RosterRow) {
	old, ok := d.byID[row.Announcement.ID]
	if ok && old.Row.Announcement.StartedMillis > row.Announcement.StartedMillis {
		return
	}
	d.byID[row.Announcement.ID] = departure{Row: row, At: now}
}

func (d *departures) expire(now int64) {
	maps.DeleteFunc(d.byID, func(_ kwid.EndpointID, x departure) bool { return now-x.At > d.retentionMillis })
}

func (d *departures) sorted() []departure {
	out := slices.Collect(maps.Values(d.byID))
	slices.SortFunc(out, func(a, b departure) int { return cmp.Compare(a.Row.Announcement.ID, b.Row.Announcement.ID) })
	return out
}

func (d *departures) endpoints() []kwmembership.RosterRow {
	var out []kwmembership.RosterRow
	for _, x := range d.sorted() {
		out = append(out, x.Row)
	}
	return out
}

func (d *departures) load(rows []departure) {
	for _, x := range rows {
		d.byID[x.Row.Announcement.ID] = x
	}
}
