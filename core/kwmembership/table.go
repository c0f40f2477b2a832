package kwmembership

import (
	"cmp"
	"slices"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// State is the state of an endpoint.
type State string

const (
	// Live endpoints accept new work.
	Live State = "live"
	// Leaving endpoints finish their work and accept no more.
	Leaving State = "leaving"
	// Lost endpoints have not renewed their lease in time.
	Lost State = "lost"
	// Gone endpoints have left after a graceful shutdown.
	Gone State = "gone"
)

// Endpoint is an endpoint as its agent announces it. Version is the table version of its last change.
type Endpoint struct {
	ID          kwid.EndpointID       `cbor:"1,keyasint" json:"id"`
	Agent       kwid.NodeID           `cbor:"2,keyasint" json:"agent"`
	Incarnation kwid.Incarnation      `cbor:"3,keyasint" json:"incarnation"`
	Address     string                `cbor:"4,keyasint" json:"address"`
	Site        kwid.Site             `cbor:"5,keyasint" json:"site"`
	Zone        kwid.AvailabilityZone `cbor:"6,keyasint" json:"availability-zone"`
	Model       kwid.ModelName        `cbor:"7,keyasint,omitempty" json:"model,omitempty"`
	Layers      kwid.LayerRange       `cbor:"8,keyasint" json:"layers"`
	TokenRate   float64               `cbor:"9,keyasint" json:"rate-tokens-per-second"`
	Service     kwid.ServiceName      `cbor:"10,keyasint,omitempty" json:"service,omitempty"`
	State       State                 `cbor:"11,keyasint" json:"state"`
	Load        uint8                 `cbor:"12,keyasint" json:"load"`
	Version     uint64                `cbor:"13,keyasint" json:"version"`
}

// Entry is an entry as it announces itself. SeenVersion is the newest view version that it routes by.
type Entry struct {
	ID          kwid.NodeID      `cbor:"1,keyasint" json:"id"`
	Incarnation kwid.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Site        kwid.Site        `cbor:"3,keyasint" json:"site"`
	Revision    kwid.Revision    `cbor:"4,keyasint" json:"revision"`
	SeenVersion uint64           `cbor:"5,keyasint" json:"seen-version"`
}

type endpointRow struct {
	endpoint Endpoint
	expires  time.Time
}

type entryRow struct {
	entry   Entry
	expires time.Time
}

// Config sets the lease durations of endpoints and of entries.
type Config struct {
	EndpointLease time.Duration
	EntryLease    time.Duration
}

// Table holds the endpoints that agents announce, and the entries. Endpoints without an agent are in the Roster. It is
// not safe for concurrent use: the control goroutine owns it.
type Table struct {
	cfg       Config
	version   uint64
	endpoints map[kwid.EndpointID]*endpointRow
	entries   map[kwid.NodeID]*entryRow
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg,
		endpoints: make(map[kwid.EndpointID]*endpointRow),
		entries:   make(map[kwid.NodeID]*entryRow),
	}
}

// Version returns the version of the last change of an endpoint row.
func (t *Table) Version() uint64 { return t.version }

// Announce stores an endpoint and renews its lease; draining overrides the live state with leaving. It returns
// WrongIncarnation for an incarnation lower than the known one. An endpoint that is gone stays so until its next
// incarnation: an announcement that arrives after its last one has no effect.
func (t *Table) Announce(now time.Time, e Endpoint, draining bool) error {
	row, ok := t.endpoints[e.ID]
	if ok && e.Incarnation < row.endpoint.Incarnation {
		return kwcode.New(kwcode.WrongIncarnation, "endpoint %q has already announced a newer incarnation", e.ID)
	}
	if ok && row.endpoint.State == Gone && e.Incarnation == row.endpoint.Incarnation {
		return nil
	}
	if draining && e.State == Live {
		e.State = Leaving
	}
	if !ok {
		row = &endpointRow{}
		t.endpoints[e.ID] = row
	}
	row.expires = now.Add(t.cfg.EndpointLease)
	t.store(row, e)
	return nil
}

// store replaces a row and increments the version unless nothing but the load has changed.
func (t *Table) store(row *endpointRow, e Endpoint) {
	e.Version = row.endpoint.Version
	withNewLoad := row.endpoint
	withNewLoad.Load = e.Load
	if withNewLoad == e {
		row.endpoint = e
		return
	}
	t.version++
	e.Version = t.version
	row.endpoint = e
}

// SetState sets the state of an endpoint; it returns false if the endpoint is not in the table.
func (t *Table) SetState(id kwid.EndpointID, s State) bool {
	row, ok := t.endpoints[id]
	if !ok {
		return false
	}
	e := row.endpoint
	e.State = s
	t.store(row, e)
	return true
}

// RenewEntry stores an entry and renews its lease.
func (t *Table) RenewEntry(now time.Time, e Entry) {
	t.entries[e.ID] = &entryRow{entry: e, expires: now.Add(t.cfg.EntryLease)}
}

// forgetAfterLeases is the number of lease durations after which an expired endpoint is deleted.
const forgetAfterLeases = 100

// Expire marks endpoints whose lease has expired as lost and returns those that are newly lost. It also deletes old
// rows and expired entries.
func (t *Table) Expire(now time.Time) []Endpoint {
	var lost []Endpoint
	for id, row := range t.endpoints {
		if now.Before(row.expires) {
			continue
		}
		if row.endpoint.State == Live || row.endpoint.State == Leaving {
			t.SetState(id, Lost)
			lost = append(lost, row.endpoint)
		}
		if now.Sub(row.expires) > forgetAfterLeases*t.cfg.EndpointLease {
			delete(t.endpoints, id)
		}
	}
	for id, row := range t.entries {
		if now.After(row.expires) {
			delete(t.entries, id)
		}
	}
	SortByID(lost)
	return lost
}

// Since returns the endpoint rows that changed after a version, in version order.
func (t *Table) Since(version uint64) []Endpoint {
	var out []Endpoint
	for _, row := range t.endpoints {
		if row.endpoint.Version > version {
			out = append(out, row.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// Loads returns the quantized load of each live endpoint, in ID order.
func (t *Table) Loads() []byte {
	var live []Endpoint
	for _, row := range t.endpoints {
		if row.endpoint.State == Live {
			live = append(live, row.endpoint)
		}
	}
	SortByID(live)
	out := make([]byte, len(live))
	for i, e := range live {
		out[i] = e.Load
	}
	return out
}

// SortByID sorts endpoints into the order of Loads.
func SortByID(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Endpoint returns an endpoint, or false.
func (t *Table) Endpoint(id kwid.EndpointID) (Endpoint, bool) {
	row, ok := t.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return row.endpoint, true
}

// Entries returns the live entries in ID order.
func (t *Table) Entries() []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, row := range t.entries {
		out = append(out, row.entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// EntryCount returns the number of live entries.
func (t *Table) EntryCount() int { return len(t.entries) }

// EntryRank returns the rank of an entry among the live entries in ID order, starting at 0, and the number of live
// entries.
func (t *Table) EntryRank(id kwid.NodeID) (rank, entries int) {
	for other := range t.entries {
		if other < id {
			rank++
		}
	}
	return rank, len(t.entries)
}

// EntryAlive reports whether an entry holds a lease.
func (t *Table) EntryAlive(id kwid.NodeID) bool {
	_, ok := t.entries[id]
	return ok
}
