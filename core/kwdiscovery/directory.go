package kwdiscovery

import (
	"slices"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
)

// DefaultInterval is the time between two exchanges of records with the same address. A member that has lost its disk finds the leader within
// it, and has to be a voter again within seconds.
const DefaultInterval = time.Second

// relayIntervals is the time between two exchanges of a process without a log that knows the members, in intervals: members tell it of changes
// if it is a seed, and calls to the leader tell it otherwise. There may be a hundred of them.
const relayIntervals = 5

// Config configures a Directory.
type Config struct {
	// Self is the address of this process.
	Self string
	// Interval is the time between two exchanges of records with the same address; 0 means DefaultInterval.
	Interval time.Duration
	// AddressOf returns the address of a member.
	AddressOf func(kwid.NodeID) string
}

// Directory is what a control process knows of the replicated log, and decides whom it exchanges that with. It answers the load of a fleet
// that has lost its power: all processes ask a few seeds at once, of which none may know anything.
type Directory struct {
	cfg    Config
	seeds  []string
	record Record
	// hasLog is set once this process runs a member of the log, member while that belongs to the log and knows the leader.
	hasLog, member bool
	nextExchange   time.Time
	// turn counts the exchanges of a process that is no member.
	turn int
}

// NewDirectory returns a directory that knows nothing but its seeds.
func NewDirectory(cfg Config, seeds []string) *Directory {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Directory{cfg: cfg, seeds: seeds}
}

// SetSeeds replaces the addresses that the settings name.
func (d *Directory) SetSeeds(seeds []string) {
	d.seeds = seeds
	d.nextExchange = time.Time{}
}

// Record returns what the process knows.
func (d *Directory) Record() Record { return d.record }

// Learn adds what another process knows, and reports whether that was news.
func (d *Directory) Learn(r Record) bool {
	next := d.record.merge(r)
	if next.equal(d.record) {
		return false
	}
	d.record = next
	return true
}

// Hear learns from a message of the log, also from one that is meant for an earlier member on this VM.
func (d *Directory) Hear(m kwraft.Message) bool {
	r := Record{Members: []string{d.cfg.AddressOf(m.From)}}
	if m.Kind == kwraft.MsgAppend || m.Kind == kwraft.MsgSnapshot {
		r.Term, r.Leader = m.Term, d.cfg.AddressOf(m.From)
	}
	return d.Learn(r)
}

// UpdateOwn takes over the state of this process's own member of the log, whose membership has a position. A change is passed on at once.
func (d *Directory) UpdateOwn(status kwraft.Status, position kwraft.Position) bool {
	d.hasLog = true
	d.member = status.Leader != "" && (status.Members.IsVoter(status.ID) || status.Members.IsLearner(status.ID))
	r := Record{Position: position, Term: status.Term}
	for _, id := range slices.Concat(status.Members.Voters, status.Members.Learners) {
		r.Members = append(r.Members, d.cfg.AddressOf(id))
	}
	if status.Leader != "" {
		r.Leader = d.cfg.AddressOf(status.Leader)
	}
	changed := d.Learn(r)
	if changed && d.member {
		d.nextExchange = time.Time{}
	}
	return changed
}

// Exchanges returns the addresses to exchange records with now. Members tell all their seeds, so that these can answer; a process that is
// no member asks one address in turn, seldom if it has no log, or all seeds while it knows no member. The cost at a seed grows with the
// number of control processes, not with that of entries or heartbeats.
func (d *Directory) Exchanges(now time.Time) []string {
	if now.Before(d.nextExchange) {
		return nil
	}
	d.nextExchange = now.Add(d.cfg.Interval)
	if d.member || len(d.record.Members) == 0 {
		return d.others(d.seeds)
	}
	known := d.others(slices.Concat(d.record.Members, d.seeds))
	if len(known) == 0 {
		return nil
	}
	if !d.hasLog {
		d.nextExchange = now.Add(relayIntervals * d.cfg.Interval)
	}
	d.turn++
	return []string{known[d.turn%len(known)]}
}

// others returns the distinct addresses other than the own one.
func (d *Directory) others(addresses []string) []string {
	var out []string
	for _, a := range addresses {
		if a != d.cfg.Self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Hint returns where somebody who looks for the leader should ask next: the leader, or else one of the members in turn. It is "" if the
// process knows nobody else.
func (d *Directory) Hint() string {
	if d.record.Leader != "" && d.record.Leader != d.cfg.Self {
		return d.record.Leader
	}
	members := d.others(d.record.Members)
	if len(members) == 0 {
		return ""
	}
	d.turn++
	return members[d.turn%len(members)]
}

// NeedsToJoin reports whether a member of the log has to ask the leader to add it: it is neither a voter nor a learner, or a learner without
// a leader, or a voter without one that a later membership no longer holds.
func (d *Directory) NeedsToJoin(status kwraft.Status, position kwraft.Position) bool {
	switch {
	case status.Members.IsVoter(status.ID):
		removed := d.record.Position.After(position) && !slices.Contains(d.record.Members, d.cfg.Self)
		return status.Leader == "" && removed
	case status.Members.IsLearner(status.ID):
		return status.Leader == ""
	}
	return true
}
