package kwstatemachine

import (
	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
)

// Config bounds the machine's state.
type Config struct {
	// MaxJournalRows is the largest number of rows kept.
	MaxJournalRows int
	// RetentionMillis is how long an ended row is kept, in milliseconds.
	RetentionMillis int64
	// MaxChangeIDs is how many answered change ids are remembered.
	MaxChangeIDs int
}

// DefaultConfig returns the bounds that a control process uses.
func DefaultConfig() Config {
	return Config{
		MaxJournalRows:  200_000,
		RetentionMillis: 24 * 60 * 60 * 1000,
		MaxChangeIDs:    10_000,
	}
}

// change is the remembered answer to one change id.
type change struct {
	ID       string        `cbor:"1,keyasint"`
	Digest   string        `cbor:"2,keyasint"`
	Revision kwid.Revision `cbor:"3,keyasint"`
}

// Machine holds the state; it is owned by one goroutine.
type Machine struct {
	cfg      Config
	fence    kwid.FencingToken
	revision kwid.Revision
	source   kwsiteconfig.Source
	fleet    *kwsiteconfig.Fleet
	changes  []change
	drains   map[kwid.EndpointID]bool
	journal  *journal
	owners   *owners
	declared Declare
	leaving  *leaving
	seen     *seen
}

// New returns an empty machine.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		drains:  make(map[kwid.EndpointID]bool),
		journal: newJournal(cfg),
		owners:  newOwners(),
		leaving: newLeaving(cfg.RetentionMillis),
		seen:    newSeen(),
	}
}

// Apply runs one command; equal command sequences give equal states and replies.
func (m *Machine) Apply(c Command) Reply {
	m.journal.expire(c.TimeMillis)
	m.leaving.expire(c.TimeMillis)
	switch {
	case c.AdvanceFence != nil:
		m.fence++
		return Reply{Fence: m.fence}
	case c.ApplyConfig != nil:
		return m.applyConfig(c.ApplyConfig)
	case c.Claim != nil:
		return m.journal.claim(c.TimeMillis, c.Claim, m.owners.check(c.Claim.Scope.Workspace, c.Claim.Grant.Site))
	case c.Outcome != nil:
		defer m.settleMoves(c.Outcome.Scope.Workspace)
		return m.journal.outcome(c.TimeMillis, c.Outcome)
	case c.Fenced != nil:
		defer m.settleMoves(c.Fenced.Scope.Workspace)
		return m.journal.fenced(c.TimeMillis, c.Fenced)
	case c.Unknown != nil:
		defer m.settleMoves(c.Unknown.Scope.Workspace)
		return m.journal.unknown(c.TimeMillis, c.Unknown)
	case c.Move != nil:
		owner := m.owners.move(c.Move, m.journal.settledAt(c.Move.Workspace, c.Move.To))
		return Reply{Owner: &owner}
	case c.Settle != nil:
		return m.journal.settle(c.TimeMillis, c.Settle)
	case c.Drain != nil:
		return m.drain(c.Drain)
	case c.Declare != nil:
		return m.declare(c.Declare)
	case c.Departure != nil:
		m.leaving.put(c.TimeMillis, c.Departure.Row)
		m.seen.leave(c.Departure.Row)
		return Reply{}
	case c.LiveEndpoints != nil:
		m.seen.apply(c.LiveEndpoints)
		return Reply{}
	}
	return Reply{Err: kwcode.New(kwcode.UnknownMessage, "the command is empty")}
}

func (m *Machine) applyConfig(a *ApplyConfig) Reply {
	for _, old := range m.changes {
		if old.ID != a.ChangeID {
			continue
		}
		if old.Digest != a.Digest {
			return Reply{Err: kwcode.New(kwcode.ChangeIDReused, "change %q was used for other content", a.ChangeID)}
		}
		return Reply{Revision: old.Revision}
	}
	if a.BaseRevision != m.revision {
		return Reply{
			Err:      kwcode.New(kwcode.RevisionConflict, "edited revision %d, present revision %d", a.BaseRevision, m.revision),
			Revision: m.revision,
		}
	}
	fleet, err := kwsiteconfig.Load(a.Source)
	if err != nil {
		return Reply{Err: kwcode.FromError(err), Revision: m.revision}
	}
	m.revision++
	m.fleet = fleet
	m.source = a.Source
	m.remember(change{ID: a.ChangeID, Digest: a.Digest, Revision: m.revision})
	return Reply{Revision: m.revision}
}

func (m *Machine) remember(c change) {
	m.changes = append(m.changes, c)
	if len(m.changes) > m.cfg.MaxChangeIDs {
		m.changes = append([]change(nil), m.changes[1:]...)
	}
}

func (m *Machine) declare(d *Declare) Reply {
	if d.Number > m.declared.Number {
		m.declared = *d
	}
	return Reply{Number: m.declared.Number}
}

// Declared returns the numbered declaration in force; number 0 means none yet.
func (m *Machine) Declared() Declare { return m.declared }

func (m *Machine) drain(d *Drain) Reply {
	if d.On {
		m.drains[d.Endpoint] = true
		return Reply{}
	}
	delete(m.drains, d.Endpoint)
	return Reply{}
}

// Fence returns the present fencing number.
func (m *Machine) Fence() kwid.FencingToken { return m.fence }

// Revision returns the present configuration revision; 0 means none yet.
func (m *Machine) Revision() kwid.Revision { return m.revision }

// Fleet returns the present declaration, or nil; callers must not change it.
func (m *Machine) Fleet() *kwsiteconfig.Fleet { return m.fleet }

// Source returns the files of the present declaration.
func (m *Machine) Source() kwsiteconfig.Source { return m.source }

// Draining tells whether an endpoint is marked as draining.
func (m *Machine) Draining(id kwid.EndpointID) bool { return m.drains[id] }

// Owners returns the ownership rows that changed after a version, in version order.
func (m *Machine) Owners(since uint64) []Owner { return m.owners.since(since) }

// OwnerVersion rises with every change of ownership.
func (m *Machine) OwnerVersion() uint64 { return m.owners.version }

// JournalRows returns a copy of the journal rows in claim order.
func (m *Machine) JournalRows() []JournalRow { return m.journal.list() }

// JournalRow returns a copy of one journal row, or false.
func (m *Machine) JournalRow(s Scope) (JournalRow, bool) { return m.journal.get(s) }

// OpenRows returns the rows that have a grant without an outcome, in claim order.
func (m *Machine) OpenRows() []JournalRow { return m.journal.inState(RowGranted) }

// UnknownRows returns the rows whose outcome is unknown, in claim order.
func (m *Machine) UnknownRows() []JournalRow { return m.journal.inState(RowUnknown) }

// DepartingEndpoints returns the announced endpoints that drain or have left, in the order of their ids.
func (m *Machine) DepartingEndpoints() []kwmembership.RosterRow { return m.leaving.list() }

// LiveEndpoints returns the announced endpoints that were live when a leader last recorded them, in the order of their ids.
func (m *Machine) LiveEndpoints() []kwmembership.Announcement { return m.seen.list() }

// LiveEndpoint returns what is recorded of a live endpoint, or false.
func (m *Machine) LiveEndpoint(id kwid.EndpointID) (kwmembership.Announcement, bool) {
	a, ok := m.seen.byID[id]
	return a, ok
}

// DepartureRecorded tells whether an endpoint's state is recorded as that of its present life.
func (m *Machine) DepartureRecorded(row kwmembership.RosterRow) bool {
	held, ok := m.leaving.byID[row.Announcement.ID]
	return ok && held.Row.State == row.State && held.Row.Announcement.StartedMillis == row.Announcement.StartedMillis
}

// image is the snapshot format.
type image struct {
	Fence    kwid.FencingToken   `cbor:"2,keyasint"`
	Revision kwid.Revision       `cbor:"3,keyasint"`
	Source   kwsiteconfig.Source `cbor:"4,keyasint"`
	Changes  []change            `cbor:"5,keyasint"`
	Drains   []kwid.EndpointID   `cbor:"6,keyasint"`
	Rows     []JournalRow        `cbor:"7,keyasint"`
	Owners   []Owner             `cbor:"8,keyasint,omitempty"`
	Declared Declare             `cbor:"9,keyasint"`
	Leaving  []left              `cbor:"10,keyasint,omitempty"`
	Seen     RecordLiveEndpoints `cbor:"11,keyasint,omitempty"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	img := image{
		Fence:    m.fence,
		Revision: m.revision,
		Source:   m.source,
		Changes:  m.changes,
		Rows:     m.journal.list(),
		Owners:   m.owners.since(0),
		Declared: m.declared,
		Leaving:  m.leaving.rows(),
		Seen:     RecordLiveEndpoints{Live: m.seen.list()},
	}
	for id := range m.drains {
		img.Drains = append(img.Drains, id)
	}
	return kwcbor.Marshal(img)
}

// Restore replaces the state with a snapshot; it returns LogDamaged for bytes it cannot use.
func (m *Machine) Restore(data []byte) error {
	var img image
	if err := kwcbor.Unmarshal(data, &img); err != nil {
		return kwcode.New(kwcode.LogDamaged, "the snapshot cannot be decoded: %v", err)
	}
	fresh := New(m.cfg)
	if img.Revision > 0 {
		fleet, err := kwsiteconfig.Load(img.Source)
		if err != nil {
			return kwcode.New(kwcode.LogDamaged, "the snapshot's declaration is not valid: %v", err)
		}
		fresh.fleet = fleet
	}
	fresh.fence = img.Fence
	fresh.revision = img.Revision
	fresh.source = img.Source
	fresh.changes = img.Changes
	for _, id := range img.Drains {
		fresh.drains[id] = true
	}
	fresh.journal.load(img.Rows)
	fresh.owners.load(img.Owners)
	fresh.declared = img.Declared
	fresh.leaving.load(img.Leaving)
	fresh.seen.apply(&img.Seen)
	*m = *fresh
	return nil
}
