package kwmembership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// StartMillis is when an endpoint process started, in Unix milliseconds by its own clock; it tells lives of one id apart.
type StartMillis int64

// Announcement is what an endpoint that announces itself by heartbeat says of itself.
type Announcement struct {
	ID      kwid.EndpointID       `cbor:"1,keyasint"`
	Service kwid.ServiceName      `cbor:"2,keyasint"`
	Address string                `cbor:"3,keyasint"`
	Zone    kwid.AvailabilityZone `cbor:"4,keyasint"`
	Slots   int                   `cbor:"5,keyasint"`
	// Leaving means that the endpoint drains before a planned stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Sequence rises with each heartbeat of one life.
	Sequence      uint64          `cbor:"7,keyasint"`
	StartedMillis StartMillis     `cbor:"8,keyasint"`
	Accelerator   string          `cbor:"9,keyasint,omitempty"`
	Layers        kwid.LayerRange `cbor:"10,keyasint"`
}

// RosterRow is one announced endpoint with its state and the roster version of its last change.
type RosterRow struct {
	Announcement Announcement `cbor:"1,keyasint"`
	State        State        `cbor:"2,keyasint"`
	Version      uint64       `cbor:"3,keyasint"`
	heard        time.Time
	// refused holds when entries said that the endpoint refuses connections, since its last heartbeat.
	refused map[kwid.NodeID]time.Time
	// trusted is until when such words do not count, since a heartbeat has proved them wrong.
	trusted time.Time
}

// RosterConfig sets how long rows live; Lease without a heartbeat makes an endpoint lost, Keep is how long rows of
// endpoints that are gone are remembered, against late heartbeats.
type RosterConfig struct {
	Lease     time.Duration
	Retention time.Duration
}

// Roster is the table of endpoints that announce themselves; it is owned by the control goroutine.
type Roster struct {
	cfg     RosterConfig
	version uint64
	rows    map[kwid.EndpointID]*RosterRow
	byPlace map[string]kwid.EndpointID
}

// NewRoster returns an empty roster.
func NewRoster(cfg RosterConfig) *Roster {
	return &Roster{cfg: cfg, rows: make(map[kwid.EndpointID]*RosterRow), byPlace: make(map[string]kwid.EndpointID)}
}

// RestoreLive takes endpoints that an earlier leader knew as live; each has a lease to be heard in.
func (r *Roster) RestoreLive(now time.Time, known []Announcement) {
	for _, a := range known {
		r.put(now, a)
	}
}

// RestoreDeparting takes rows of endpoints that drain or have left, as an earlier leader recorded them; heartbeats that are not
// newer have no effect then.
func (r *Roster) RestoreDeparting(now time.Time, rows []RosterRow) {
	for _, row := range rows {
		row.heard = now
		r.rows[row.Announcement.ID] = &row
		if row.State == Leaving {
			r.byPlace[row.Announcement.Address] = row.Announcement.ID
		}
		r.mark(&row, row.State)
	}
}

// HeartbeatResult tells what became of a heartbeat.
type HeartbeatResult string

// Verdicts on heartbeats.
const (
	// Accepted heartbeats changed what the roster says of the endpoint.
	Accepted HeartbeatResult = "accepted"
	// Renewed heartbeats only extended the lease.
	Renewed HeartbeatResult = "renewed"
	// Late heartbeats are of an earlier life, or overtaken by a newer one.
	Late HeartbeatResult = "late"
)

// Announce takes a heartbeat.
func (r *Roster) Announce(now time.Time, a Announcement) HeartbeatResult {
	old := r.rows[a.ID]
	if old != nil && overtaken(old, a) {
		return Late
	}
	if r.placeTaken(a) {
		return Late
	}
	if old != nil && same(old, a) {
		old.Announcement.Sequence = a.Sequence
		old.heard = now
		clear(old.refused)
		return Renewed
	}
	r.put(now, a)
	return Accepted
}

func overtaken(old *RosterRow, a Announcement) bool {
	if a.StartedMillis != old.Announcement.StartedMillis {
		return a.StartedMillis < old.Announcement.StartedMillis
	}
	return old.State == Gone || a.Sequence <= old.Announcement.Sequence
}

// placeTaken tells whether a younger endpoint holds the address; an older holder is taken as gone.
func (r *Roster) placeTaken(a Announcement) bool {
	holder, ok := r.byPlace[a.Address]
	if !ok || holder == a.ID {
		return false
	}
	row := r.rows[holder]
	if row.Announcement.StartedMillis > a.StartedMillis {
		return true
	}
	r.mark(row, Gone)
	return false
}

func same(old *RosterRow, a Announcement) bool {
	return old.Announcement.EqualExceptSequence(a) && old.State == stateOf(a)
}

// EqualExceptSequence tells whether two announcements say the same but for their sequence.
func (a Announcement) EqualExceptSequence(b Announcement) bool {
	a.Sequence = b.Sequence
	return a == b
}

func stateOf(a Announcement) State {
	if a.Leaving {
		return Leaving
	}
	return Live
}

func (r *Roster) put(now time.Time, a Announcement) {
	if old, ok := r.rows[a.ID]; ok && r.byPlace[old.Announcement.Address] == a.ID {
		delete(r.byPlace, old.Announcement.Address)
	}
	row := &RosterRow{Announcement: a, heard: now}
	if old, ok := r.rows[a.ID]; ok && old.Announcement.StartedMillis == a.StartedMillis {
		row.trusted = old.trusted
		if old.State == Lost && len(old.refused) > 0 {
			row.trusted = now.Add(refusalTrust)
		}
	}
	r.rows[a.ID] = row
	r.byPlace[a.Address] = a.ID
	r.mark(row, stateOf(a))
}

const (
	// refusalTime is how long an entry's word that an endpoint refuses connections counts: several rounds of probes.
	refusalTime = time.Second
	// refusalTrust is how long such words do not count after a heartbeat has proved them wrong, so that entries that are cut
	// off from a sound endpoint do not make it come and go.
	refusalTrust = 10 * time.Second
)

// ReportRefusal takes an entry's word that one life of an endpoint refuses connections. Once as many entries as wanted say so at
// the same time, the endpoint is lost until its next heartbeat; ReportRefusal then reports true.
func (r *Roster) ReportRefusal(now time.Time, id kwid.EndpointID, born StartMillis, by kwid.NodeID, wanted int) bool {
	row, ok := r.rows[id]
	if !ok || row.Announcement.StartedMillis != born || row.State != Live && row.State != Leaving || now.Before(row.trusted) {
		return false
	}
	if row.refused == nil {
		row.refused = make(map[kwid.NodeID]time.Time)
	}
	row.refused[by] = now
	maps.DeleteFunc(row.refused, func(_ kwid.NodeID, at time.Time) bool { return now.Sub(at) > refusalTime })
	if len(row.refused) < wanted {
		return false
	}
	r.mark(row, Lost)
	return true
}

func (r *Roster) mark(row *RosterRow, s State) {
	r.version++
	row.State = s
	row.Version = r.version
	if s == Gone && r.byPlace[row.Announcement.Address] == row.Announcement.ID {
		delete(r.byPlace, row.Announcement.Address)
	}
}

// Deregister takes an endpoint's word that it leaves; born 0 means that the life is not named, which then is the one that
// is known. It reports whether the roster changed.
func (r *Roster) Deregister(now time.Time, id kwid.EndpointID, born StartMillis) bool {
	row, ok := r.rows[id]
	if !ok {
		row = &RosterRow{Announcement: Announcement{ID: id, StartedMillis: born}, heard: now}
		r.rows[id] = row
		r.mark(row, Gone)
		return true
	}
	if row.State == Gone || born != 0 && born < row.Announcement.StartedMillis {
		return false
	}
	row.Announcement.StartedMillis = max(row.Announcement.StartedMillis, born)
	row.heard = now
	r.mark(row, Gone)
	return true
}

// Expire marks endpoints whose lease ran out as lost, forgets old rows and returns those that it marked.
func (r *Roster) Expire(now time.Time) []RosterRow {
	var lost []RosterRow
	for id, row := range r.rows {
		quiet := now.Sub(row.heard)
		switch {
		case (row.State == Live || row.State == Leaving) && quiet > r.cfg.Lease:
			r.mark(row, Lost)
			lost = append(lost, *row)
		case (row.State == Gone || row.State == Lost) && quiet > r.cfg.Retention:
			if r.byPlace[row.Announcement.Address] == id {
				delete(r.byPlace, row.Announcement.Address)
			}
			delete(r.rows, id)
		}
	}
	return lost
}

// Version rises with each change.
func (r *Roster) Version() uint64 { return r.version }

// Row returns one endpoint's row, or false.
func (r *Roster) Row(id kwid.EndpointID) (RosterRow, bool) {
	row, ok := r.rows[id]
	if !ok {
		return RosterRow{}, false
	}
	return *row, true
}

// Since returns the rows that changed after a version, in the order of their ids; 0 returns all.
func (r *Roster) Since(version uint64) []RosterRow {
	var out []RosterRow
	for _, row := range r.rows {
		if row.Version > version {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b RosterRow) int { return cmp.Compare(a.Announcement.ID, b.Announcement.ID) })
	return out
}
