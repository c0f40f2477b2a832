package kwstatemachine

import (
	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
)

// Config bounds the size of the state.
type Config struct {
	// MaxJournalRows is the largest number of journal rows; further claims of new keys are refused.
	MaxJournalRows int
	// RetentionMillis is how long ended journal rows and departures are kept.
	RetentionMillis int64
	// MaxChangeIDs is the number of answered change IDs that are kept to answer retries.
	MaxChangeIDs int
}

// DefaultConfig returns the bounds of a control process.
func DefaultConfig() Config {
	return Config{
		MaxJournalRows:  200_000,
		RetentionMillis: 24 * 60 * 60 * 1000,
		MaxChangeIDs:    10_000,
	}
}

// answeredChange is the stored reply to a change of the fleet declaration, which answers retries.
type answeredChange struct {
	ID       string        `cbor:"1,keyasint"`
	Digest   string        `cbor:"2,keyasint"`
	Revision kwid.Revision `cbor:"3,keyasint"`
}

// Machine holds the state. It is not safe for concurrent use: one goroutine owns it.
type Machine struct {
	cfg          Config
	fencingToken kwid.FencingToken
	revision     kwid.Revision
	source       kwsiteconfig.Source
	fleet        *kwsiteconfig.Fleet
	changes      []answeredChange
	draining     map[kwid.EndpointID]bool
	journal      *journal
	owners       *owners
	declared     Declare
	departures   *departures
	live         *liveEndpoints
}

// New returns an empty machine.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:        cfg,
		draining:   make(map[kwid.EndpointID]bool),
		journal:    newJournal(cfg),
		owners:     newOwners(),
		departures: newDepartures(cfg.RetentionMillis),
		live:       newLiveEndpoints(),
	}
}

// Apply applies one command. It is deterministic: equal sequences of commands give equal states and replies.
func (m *Machine) Apply(c Command) Reply {
	m.journal.expire(c.TimeMillis)
	m.departures.expire(c.TimeMillis)
	switch {
	case c.AdvanceFencingToken != nil:
		m.fencingToken++
		return Reply{FencingToken: m.fencingToken}
	case c.ApplyConfig != nil:
		return m.applyConfig(c.ApplyConfig)
	case c.Claim != nil:
		return m.journal.claim(c.TimeMillis, c.Claim, m.owners.check(c.Claim.Scope.Workspace, c.Claim.Grant.Site))
	case c.Outcome != nil:
		defer m.finishMove(c.Outcome.Scope.Workspace)
		return m.journal.outcome(c.TimeMillis, c.Outcome)
	case c.Fenced != nil:
		defer m.finishMove(c.Fenced.Scope.Workspace)
		return m.journal.fenced(c.TimeMillis, c.Fenced)
	case c.Unknown != nil:
		defer m.finishMove(c.Unknown.Scope.Workspace)
		return m.journal.unknown(c.TimeMillis, c.Unknown)
	case c.Move != nil:
		owner := m.owners.move(c.Move, m.journal.noOpenAttemptsElsewhere(c.Move.Workspace, c.Move.To))
		return Reply{Owner: &owner}
	case c.Settle != nil:
		return m.journal.settle(c.TimeMillis, c.Settle)
	case c.Drain != nil:
		return m.drain(c.Drain)
	case c.Declare != nil:
		return m.declare(c.Declare)
	case c.Departure != nil:
		m.departures.record(c.TimeMillis, c.Departure.Row)
		m.live.removeDeparting(c.Departure.Row)
		return Reply{}
	case c.LiveEndpoints != nil:
		m.live.apply(c.LiveEndpoints)
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
			return Reply{Err: kwcode.New(kwcode.ChangeIDReused, "change id %q was already used for different content", a.ChangeID)}
		}
		return Reply{Revision: old.Revision}
	}
	if a.BaseRevision != m.revision {
		return Reply{
			Err:      kwcode.New(kwcode.RevisionConflict, "the change is based on revision %d, the current revision is %d", a.BaseRevision, m.revision),
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
	m.recordChange(answeredChange{ID: a.ChangeID, Digest: a.Digest, Revision: m.revision})
	return Reply{Revision: m.revision}
}

// recordChange stores the reply to a change and drops the oldest one beyond the bound.
func (m *Machine) recordChange(c answeredChange) {
	m.changes = append(m.changes, c)
	if len(m.changes) > m.cfg.MaxChangeIDs {
		m.changes = append([]answeredChange(nil), m.changes[1:]...)
	}
}

func (m *Machine) declare(d *Declare) Reply {
	if d.Number > m.declared.Number {
		m.declared = *d
	}
	return Reply{Number: m.declared.Number}
}

// Declared returns the numbered declaration in force; number 0 means that there is none yet.
func (m *Machine) Declared() Declare { return m.declared }

func (m *Machine) drain(d *Drain) Reply {
	if d.On {
		m.draining[d.Endpoint] = true
		return Reply{}
	}
	delete(m.draining, d.Endpoint)
	return Reply{}
}

// FencingToken returns the current fencing token.
func (m *Machine) FencingToken() kwid.FencingToken { return m.fencingToken }

// Revision returns the current revision of the fleet declaration; 0 means that there is none yet.
func (m *Machine) Revision() kwid.Revision { return m.revision }

// Fleet returns the current fleet declaration, or nil. Callers must not modify it.
func (m *Machine) Fleet() *kwsiteconfig.Fleet { return m.fleet }

// Source returns the source files of the current fleet declaration.
func (m *Machine) Source() kwsiteconfig.Source { return m.source }

// Draining reports whether an endpoint is marked as draining.
func (m *Machine) Draining(id kwid.EndpointID) bool { return m.draining[id] }

// Owners returns the ownership rows that changed after a version, in version order.
func (m *Machine) Owners(since uint64) []Owner { return m.owners.changedSince(since) }

// OwnerVersion returns the version of the last change of ownership.
func (m *Machine) OwnerVersion() uint64 { return m.owners.version }

// JournalRows returns a copy of all journal rows in claim order.
func (m *Machine) JournalRows() []JournalRow { return m.journal.list() }

// JournalRow returns a copy of one journal row, or false.
func (m *Machine) JournalRow(s Scope) (JournalRow, bool) { return m.journal.get(s) }

// OpenRows returns the rows that are granted and have no outcome yet, in claim order.
func (m *Machine) OpenRows() []JournalRow { return m.journal.unsettledInState(RowGranted) }

// UnknownRows returns the rows whose outcome is unknown, in claim order.
func (m *Machine) UnknownRows() []JournalRow { return m.journal.unsettledInState(RowUnknown) }

// DepartingEndpoints returns the announced endpoints that are draining or have left, in ID order.
func (m *Machine) DepartingEndpoints() []kwmembership.RosterRow { return m.departures.endpoints() }

// LiveEndpoints returns the announced endpoints that were live when a leader last recorded them, in ID order.
func (m *Machine) LiveEndpoints() []kwmembership.Announcement { return m.live.list() }

// LiveEndpoint returns the recorded announcement of a live endpoint, or false.
func (m *Machine) LiveEndpoint(id kwid.EndpointID) (kwmembership.Announcement, bool) {
	a, ok := m.live.byID[id]
	return a, ok
}

// DepartureRecorded reports whether the row's state is already recorded for the same process start of the endpoint.
func (m *Machine) DepartureRecorded(row kwmembership.RosterRow) bool {
	recorded, ok := m.departures.byID[row.Announcement.ID]
	return ok && recorded.Row.State == row.State && recorded.Row.Announcement.StartedMillis == row.Announcement.StartedMillis
}

// snapshot is the encoded form of the state.
type snapshot struct {
	FencingToken  kwid.FencingToken   `cbor:"2,keyasint"`
	Revision      kwid.Revision       `cbor:"3,keyasint"`
	Source        kwsiteconfig.Source `cbor:"4,keyasint"`
	Changes       []answeredChange    `cbor:"5,keyasint"`
	Draining      []kwid.EndpointID   `cbor:"6,keyasint"`
	Rows          []JournalRow        `cbor:"7,keyasint"`
	Owners        []Owner             `cbor:"8,keyasint,omitempty"`
	Declared      Declare             `cbor:"9,keyasint"`
	Departures    []departure         `cbor:"10,keyasint,omitempty"`
	LiveEndpoints RecordLiveEndpoints `cbor:"11,keyasint,omitempty"`
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	snap := snapshot{
		FencingToken:  m.fencingToken,
		Revision:      m.revision,
		Source:        m.source,
		Changes:       m.changes,
		Rows:          m.journal.list(),
		Owners:        m.owners.changedSince(0),
		Declared:      m.declared,
		Departures:    m.departures.sorted(),
		LiveEndpoints: RecordLiveEndpoints{Live: m.live.list()},
	}
	for id := range m.draining {
		snap.Draining = append(snap.Draining, id)
	}
	return kwcbor.Marshal(snap)
}

// Restore replaces the state by a snapshot. It returns LogDamaged if the snapshot cannot be decoded or is not valid.
func (m *Machine) Restore(data []byte) error {
	var snap snapshot
	if err := kwcbor.Unmarshal(data, &snap); err != nil {
		return kwcode.New(kwcode.LogDamaged, "the snapshot cannot be decoded: %v", err)
	}
	fresh := New(m.cfg)
	if snap.Revision > 0 {
		fleet, err := kwsiteconfig.Load(snap.Source)
		if err != nil {
			return kwcode.New(kwcode.LogDamaged, "the fleet declaration in the snapshot is not valid: %v", err)
		}
		fresh.fleet = fleet
	}
	fresh.fencingToken = snap.FencingToken
	fresh.revision = snap.Revision
	fresh.source = snap.Source
	fresh.changes = snap.Changes
	for _, id := range snap.Draining {
		fresh.draining[id] = true
	}
	fresh.journal.load(snap.Rows)
	fresh.owners.load(snap.Owners)
	fresh.declared = snap.Declared
	fresh.departures.load(snap.Departures)
	fresh.live.apply(&snap.LiveEndpoints)
	*m = *fresh
	return nil
}
