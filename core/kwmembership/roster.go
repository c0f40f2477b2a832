package kwmembership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
)

// StartMillis is when an endpoint process started, in Unix milliseconds on its own clock. It distinguishes successive
// processes with the same endpoint ID.
type StartMillis int64

// Announcement is the content of a heartbeat from an endpoint that announces itself.
type Announcement struct {
	ID      kwid.EndpointID       `cbor:"1,keyasint"`
	Service kwid.ServiceName      `cbor:"2,keyasint"`
	Address string                `cbor:"3,keyasint"`
	Zone    kwid.AvailabilityZone `cbor:"4,keyasint"`
	Slots   int                   `cbor:"5,keyasint"`
	// Leaving means that the endpoint is draining before a planned stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Sequence increases with each heartbeat of one process.
	Sequence      uint64          `cbor:"7,keyasint"`
	StartedMillis StartMillis     `cbor:"8,keyasint"`
	Accelerator   string          `cbor:"9,keyasint,omitempty"`
	Layers        kwid.LayerRange `cbor:"10,keyasint"`
}

// RosterIndex stands for an endpoint in messages that refer to many of them; it is never used again in the same roster.
type RosterIndex uint32

// RosterRow is one announced endpoint with its state and the roster version of its last change.
type RosterRow struct {
	Announcement Announcement `cbor:"1,keyasint"`
	State        State        `cbor:"2,keyasint"`
	Version      uint64       `cbor:"3,keyasint"`
	// Index is valid in one roster only: a new leader numbers its rows anew.
	Index RosterIndex `cbor:"4,keyasint,omitempty"`
	// ReportedLeaving means that the endpoint process has said in an answer that it leaves. Its heartbeats count as leaving
	// from then on, whatever they say.
	ReportedLeaving bool `cbor:"5,keyasint,omitempty"`
	lastHeartbeat   time.Time
	// refusedBy holds when each entry reported refused connections since the last heartbeat.
	refusedBy map[kwid.NodeID]time.Time
	// unresponsiveTo holds the entries that have found the endpoint unresponsive since the last heartbeat, and witnesses how many
	// of them suffice to shorten its lease.
	unresponsiveTo map[kwid.NodeID]bool
	witnesses      int
	// ignoreRefusalsUntil is set after a heartbeat has disproved such reports.
	ignoreRefusalsUntil time.Time
}

// RosterConfig sets the lifetimes of rows. An endpoint is lost after Lease without a heartbeat, and after SuspectLease if
// enough entries find it unresponsive besides; 0 means Lease. The row of a lost or gone endpoint is kept for Retention, so
// that delayed heartbeats do not bring it back.
type RosterConfig struct {
	Lease        time.Duration
	SuspectLease time.Duration
	Retention    time.Duration
}

// Roster is the table of endpoints that announce themselves by heartbeat. It is not safe for concurrent use: the
// control goroutine owns it.
type Roster struct {
	cfg       RosterConfig
	version   uint64
	rows      map[kwid.EndpointID]*RosterRow
	byAddress map[string]kwid.EndpointID
	byIndex   map[RosterIndex]kwid.EndpointID
	lastIndex RosterIndex
	// services holds the declared services, nil if they are not known. undeclared holds the endpoints of others.
	services   map[kwid.ServiceName]bool
	undeclared map[kwid.EndpointID]undeclaredEndpoint
}

// NewRoster returns an empty roster.
func NewRoster(cfg RosterConfig) *Roster {
	return &Roster{
		cfg: cfg, rows: make(map[kwid.EndpointID]*RosterRow), byAddress: make(map[string]kwid.EndpointID),
		byIndex: make(map[RosterIndex]kwid.EndpointID), undeclared: make(map[kwid.EndpointID]undeclaredEndpoint),
	}
}

// RestoreLive adds endpoints that an earlier leader recorded as live. Each has a full lease to send its next
// heartbeat.
func (r *Roster) RestoreLive(now time.Time, known []Announcement) {
	for _, a := range known {
		r.put(now, a)
	}
}

// RestoreDeparting adds the rows of endpoints that an earlier leader recorded as draining or gone, so that heartbeats
// that are not newer have no effect.
func (r *Roster) RestoreDeparting(now time.Time, rows []RosterRow) {
	for _, row := range rows {
		row.lastHeartbeat = now
		r.addRow(&row)
		if row.State == Leaving {
			r.byAddress[row.Announcement.Address] = row.Announcement.ID
		}
		r.setState(&row, row.State)
	}
}

// HeartbeatResult is the effect of a heartbeat.
type HeartbeatResult string

// Results of a heartbeat.
const (
	// Accepted means that the heartbeat changed the row of the endpoint.
	Accepted HeartbeatResult = "accepted"
	// Renewed means that the heartbeat only extended the lease.
	Renewed HeartbeatResult = "renewed"
	// Late means that the heartbeat is ignored: it is older than one already received, or comes from an earlier
	// process of the endpoint or at its address.
	Late HeartbeatResult = "late"
	// Held means that the heartbeat is kept aside until its service is declared, and HeldAgain that an earlier one is already.
	Held      HeartbeatResult = "held"
	HeldAgain HeartbeatResult = "held-again"
)

// Announce processes a heartbeat.
func (r *Roster) Announce(now time.Time, a Announcement) HeartbeatResult {
	if !r.declared(a) {
		return r.hold(now, a)
	}
	old := r.rows[a.ID]
	if old != nil && outdated(old, a) {
		return Late
	}
	if r.addressTaken(a) {
		return Late
	}
	if old != nil && old.ReportedLeaving && old.Announcement.StartedMillis == a.StartedMillis {
		a.Leaving = true
	}
	if old != nil && unchanged(old, a) {
		old.Announcement.Sequence = a.Sequence
		old.lastHeartbeat = now
		clear(old.refusedBy)
		clear(old.unresponsiveTo)
		return Renewed
	}
	r.put(now, a)
	return Accepted
}

// outdated reports whether a heartbeat is older than the row or comes from a process that has left.
func outdated(old *RosterRow, a Announcement) bool {
	if a.StartedMillis != old.Announcement.StartedMillis {
		return a.StartedMillis < old.Announcement.StartedMillis
	}
	return old.State == Gone || a.Sequence <= old.Announcement.Sequence
}

// addressTaken reports whether an endpoint with a later process start holds the address. A holder with an earlier
// start is marked as gone.
func (r *Roster) addressTaken(a Announcement) bool {
	holder, ok := r.byAddress[a.Address]
	if !ok || holder == a.ID {
		return false
	}
	row := r.rows[holder]
	if row.Announcement.StartedMillis > a.StartedMillis {
		return true
	}
	r.setState(row, Gone)
	return false
}

// unchanged reports whether a heartbeat changes nothing but its sequence.
func unchanged(old *RosterRow, a Announcement) bool {
	return old.Announcement.EqualExceptSequence(a) && old.State == stateOf(a)
}

// EqualExceptSequence reports whether two announcements differ in nothing but their sequence.
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
	if old, ok := r.rows[a.ID]; ok && r.byAddress[old.Announcement.Address] == a.ID {
		delete(r.byAddress, old.Announcement.Address)
	}
	row := &RosterRow{Announcement: a, lastHeartbeat: now}
	if old, ok := r.rows[a.ID]; ok && old.Announcement.StartedMillis == a.StartedMillis {
		row.ignoreRefusalsUntil = old.ignoreRefusalsUntil
		row.ReportedLeaving = old.ReportedLeaving
		if old.State == Lost && len(old.refusedBy) > 0 {
			row.ignoreRefusalsUntil = now.Add(refusalImmunity)
		}
	}
	r.addRow(row)
	r.byAddress[a.Address] = a.ID
	r.setState(row, stateOf(a))
}

// ReportLeaving records that an endpoint process has said in an answer that it leaves, which has the effect of a heartbeat that
// announces it. It reports whether that is news.
func (r *Roster) ReportLeaving(id kwid.EndpointID, startedMillis StartMillis) bool {
	row, ok := r.rows[id]
	if !ok || row.Announcement.StartedMillis != startedMillis || row.ReportedLeaving || row.State == Gone {
		return false
	}
	row.ReportedLeaving = true
	row.Announcement.Leaving = true
	if row.State == Live {
		r.setState(row, Leaving)
	}
	return true
}

const (
	// refusalLifetime is how long a report of refused connections counts. It spans several probe rounds.
	refusalLifetime = time.Second
	// refusalImmunity is how long reports are ignored after a heartbeat has disproved them, so that entries that are
	// partitioned from a healthy endpoint do not make it flap.
	refusalImmunity = 10 * time.Second
)

// ReportRefusal records an entry's report that an endpoint process refuses connections. Once minReporters entries have
// reported it within refusalLifetime, the endpoint is marked as lost until its next heartbeat, and ReportRefusal
// returns true.
func (r *Roster) ReportRefusal(now time.Time, id kwid.EndpointID, startedMillis StartMillis, reporter kwid.NodeID, minReporters int) bool {
	row, ok := r.rows[id]
	if !ok || row.Announcement.StartedMillis != startedMillis || row.State != Live && row.State != Leaving || now.Before(row.ignoreRefusalsUntil) {
		return false
	}
	if row.refusedBy == nil {
		row.refusedBy = make(map[kwid.NodeID]time.Time)
	}
	row.refusedBy[reporter] = now
	maps.DeleteFunc(row.refusedBy, func(_ kwid.NodeID, at time.Time) bool { return now.Sub(at) > refusalLifetime })
	if len(row.refusedBy) < minReporters {
		return false
	}
	r.setState(row, Lost)
	return true
}

// ReportUnresponsive records that an entry cannot reach an endpoint process while it reaches others. Such a report counts until the
// next heartbeat, since an entry does not try again soon. witnesses is the number of entries that must agree.
func (r *Roster) ReportUnresponsive(id kwid.EndpointID, startedMillis StartMillis, reporter kwid.NodeID, witnesses int) {
	row, ok := r.rows[id]
	if !ok || row.Announcement.StartedMillis != startedMillis || row.State != Live {
		return
	}
	if row.unresponsiveTo == nil {
		row.unresponsiveTo = make(map[kwid.NodeID]bool)
	}
	row.unresponsiveTo[reporter] = true
	row.witnesses = max(1, witnesses)
}

// UnreachableFrom returns how many entries have found the endpoint unresponsive since its last heartbeat.
func (r RosterRow) UnreachableFrom() int { return len(r.unresponsiveTo) }

// lease returns how long a row may be without a heartbeat.
func (r *Roster) lease(row *RosterRow) time.Duration {
	if row.State == Live && row.witnesses > 0 && len(row.unresponsiveTo) >= row.witnesses && r.cfg.SuspectLease > 0 {
		return r.cfg.SuspectLease
	}
	return r.cfg.Lease
}

// addRow adds a row or replaces that of the same endpoint, which keeps its index.
func (r *Roster) addRow(row *RosterRow) {
	id := row.Announcement.ID
	if old, ok := r.rows[id]; ok {
		row.Index = old.Index
	} else {
		r.lastIndex++
		row.Index = r.lastIndex
		r.byIndex[row.Index] = id
	}
	r.rows[id] = row
}

// ByIndex returns the endpoint with an index, or false.
func (r *Roster) ByIndex(index RosterIndex) (kwid.EndpointID, bool) {
	id, ok := r.byIndex[index]
	return id, ok
}

func (r *Roster) setState(row *RosterRow, s State) {
	r.version++
	row.State = s
	row.Version = r.version
	if s == Gone && r.byAddress[row.Announcement.Address] == row.Announcement.ID {
		delete(r.byAddress, row.Announcement.Address)
	}
}

// Deregister marks an endpoint as gone. A startedMillis of 0 stands for the process that is currently known. It reports
// whether the roster changed.
func (r *Roster) Deregister(now time.Time, id kwid.EndpointID, startedMillis StartMillis) bool {
	if held, ok := r.undeclared[id]; ok && (startedMillis == 0 || startedMillis >= held.announcement.StartedMillis) {
		delete(r.undeclared, id)
	}
	row, ok := r.rows[id]
	if !ok {
		row = &RosterRow{Announcement: Announcement{ID: id, StartedMillis: startedMillis}, lastHeartbeat: now}
		r.addRow(row)
		r.setState(row, Gone)
		return true
	}
	if row.State == Gone || startedMillis != 0 && startedMillis < row.Announcement.StartedMillis {
		return false
	}
	row.Announcement.StartedMillis = max(row.Announcement.StartedMillis, startedMillis)
	row.lastHeartbeat = now
	r.setState(row, Gone)
	return true
}

// Expire marks endpoints whose lease has expired as lost and returns them. It also deletes the rows of lost and gone
// endpoints after the retention time, and those of undeclared services after their lease.
func (r *Roster) Expire(now time.Time) []RosterRow {
	r.expireUndeclared(now)
	var lost []RosterRow
	for id, row := range r.rows {
		silence := now.Sub(row.lastHeartbeat)
		switch {
		case (row.State == Live || row.State == Leaving) && silence > r.lease(row):
			r.setState(row, Lost)
			lost = append(lost, *row)
		case (row.State == Gone || row.State == Lost) && silence > r.cfg.Retention:
			if r.byAddress[row.Announcement.Address] == id {
				delete(r.byAddress, row.Announcement.Address)
			}
			delete(r.rows, id)
			delete(r.byIndex, row.Index)
		}
	}
	return lost
}

// Version returns the version of the last change.
func (r *Roster) Version() uint64 { return r.version }

// Row returns the row of an endpoint, or false.
func (r *Roster) Row(id kwid.EndpointID) (RosterRow, bool) {
	row, ok := r.rows[id]
	if !ok {
		return RosterRow{}, false
	}
	return *row, true
}

// Since returns the rows that changed after a version, in ID order; version 0 returns all rows.
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
