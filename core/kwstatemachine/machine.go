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
	// JournalRows is the largest number of rows kept.
	JournalRows int
	// KeepMillis is how long an ended row is kept, in milliseconds.
	KeepMillis int64
	// ChangeIDs is how many answered change ids are remembered.
	ChangeIDs int
}

// DefaultConfig returns the bounds that a control process uses.
func DefaultConfig() Config {
	return Config{
		JournalRows: 200_000,
		KeepMillis:  24 * 60 * 60 * 1000,
		ChangeIDs:   10_000,
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
		leaving: newLeaving(cfg.KeepMillis),
		seen:    newSeen(),
	}
}

// Apply runs one command; equal command sequences give equal states and replies.
func (m *Machine) Apply(c Command) Reply {
	m.journal.expire(c.Time)
	m.leaving.expire(c.Time)
	switch {
	case c.Boot != nil:
		m.fence++
		return Reply{Fence: m.fence}
	case c.Apply != nil:
		return m.applyConfig(c.Apply)
	case c.Claim != nil:
		return m.journal.claim(c.Time, c.Claim, m.owners.check(c.Claim.Scope.Workspace, c.Claim.Grant.Site))
	case c.Outcome != nil:
		defer m.settleMoves(c.Outcome.Scope.Workspace)
		return m.journal.outcome(c.Time, c.Outcome)
	case c.Fenced != nil:
		defer m.settleMoves(c.Fenced.Scope.Workspace)
		return m.journal.fenced(c.Time, c.Fenced)
	case c.Unknown != nil:
		defer m.settleMoves(c.Unknown.Scope.Workspace)
		return m.journal.unknown(c.Time, c.Unknown)
	case c.Move != nil:
		owner := m.owners.move(c.Move, m.journal.settledAt(c.Move.Workspace, c.Move.To))
		return Reply{Owner: &owner}
	case c.Settle != nil:
		return m.journal.settle(c.Time, c.Settle)
	case c.Drain != nil:
		return m.drain(c.Drain)
	case c.Declare != nil:
		return m.declare(c.Declare)
	case c.Leave != nil:
		m.leaving.put(c.Time, c.Leave.Row)
		m.seen.leave(c.Leave.Row)
		return Reply{}
	case c.Seen != nil:
		m.seen.apply(c.Seen)
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
	if a.Edited != m.revision {
		return Reply{
			Err:      kwcode.New(kwcode.RevisionConflict, "edited revision %d, present revision %d", a.Edited, m.revision),
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
	if len(m.changes) > m.cfg.ChangeIDs {
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

// Rows returns a copy of the journal rows in claim order.
func (m *Machine) Rows() []Row { return m.journal.list() }

// Row returns a copy of one journal row, or false.
func (m *Machine) Row(s Scope) (Row, bool) { return m.journal.get(s) }

// Open returns the rows that have a grant without an outcome, in claim order.
func (m *Machine) Open() []Row { return m.journal.inState(RowGranted) }

// Doubtful returns the rows whose outcome is unknown, in claim order.
func (m *Machine) Doubtful() []Row { return m.journal.inState(RowUnknown) }

// Leaving returns the announced endpoints that drain or have left, in the order of their ids.
func (m *Machine) Leaving() []kwmembership.Row { return m.leaving.list() }

// Seen returns the announced endpoints that were live when a leader last recorded them, in the order of their ids.
func (m *Machine) Seen() []kwmembership.Announcement { return m.seen.list() }

// SeenOf returns what is recorded of a live endpoint, or false.
func (m *Machine) SeenOf(id kwid.EndpointID) (kwmembership.Announcement, bool) {
	a, ok := m.seen.byID[id]
	return a, ok
}

// HasLeft tells whether an endpoint's state is recorded as that of its present life.
func (m *Machine) HasLeft(row kwmembership.Row) bool {
	held, ok := m.leaving.byID[row.Announcement.ID]
	return ok && held.Row.State == row.State && held.Row.Announcement.Born == row.Announcement.Born
}

// image is the snapshot format.
type image struct {
	Fence    kwid.FencingToken   `cbor:"2,keyasint"`
	Revision kwid.Revision       `cbor:"3,keyasint"`
	Source   kwsiteconfig.Source `cbor:"4,keyasint"`
	Changes  []change            `cbor:"5,keyasint"`
	Drains   []kwid.EndpointID   `cbor:"6,keyasint"`
	Rows     []Row               `cbor:"7,keyasint"`
	Owners   []Owner             `cbor:"8,keyasint,omitempty"`
	Declared Declare             `cbor:"9,keyasint"`
	Leaving  []left              `cbor:"10,keyasint,omitempty"`
	Seen     Seen                `cbor:"11,keyasint,omitempty"`
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
		Seen:     Seen{Live: m.seen.list()},
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
