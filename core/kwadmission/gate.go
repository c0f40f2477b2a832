package kwadmission

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedproxy/core/kwid"
)

// Outcome is what became of a request that was counted.
type Outcome uint8

const (
	// Granted means that the request got capacity at once.
	Granted Outcome = iota
	// Rejected means that it was rejected at once.
	Rejected
	// Queued means that it began to wait.
	Queued
	// GrantedAfterWait, RejectedAfterWait and Abandoned end a wait; Abandoned means that the caller left.
	GrantedAfterWait
	RejectedAfterWait
	Abandoned
)

// Action is how a request is treated.
type Action uint8

const (
	// Pass means that the request is dispatched as without admission control.
	Pass Action = iota
	// Behind means that it is dispatched behind all requests that pass.
	Behind
	// Reject means that it is rejected at once.
	Reject
)

// String returns the name of the action in logs.
func (a Action) String() string {
	switch a {
	case Behind:
		return "behind"
	case Reject:
		return "rejected"
	}
	return "passed"
}

// Verdict is the decision on a request, and what it is based on.
type Verdict struct {
	// Counted means that the service is under admission control and Record wants to know what becomes of the request.
	Counted    bool
	Action     Action
	RetryAfter time.Duration
	Share      Share
	Version    Version
	// Age is the age of the reports behind the share, Local means that the entry goes by its own counts.
	Age   time.Duration
	Local bool
}

// GateConfig configures a Gate.
type GateConfig struct {
	Control Config
	// Entry is the entry's own ID.
	Entry kwid.NodeID
	// StaleAfter is the time after the last answer of the leader from which on the entry goes by its own counts.
	StaleAfter time.Duration
	// RetryAfterMin and RetryAfterMax bound the Retry-After time of a rejected request.
	RetryAfterMin, RetryAfterMax time.Duration
}

// DefaultGateConfig returns the configuration of a production entry.
func DefaultGateConfig(entry kwid.NodeID) GateConfig {
	return GateConfig{
		Control: DefaultConfig(), Entry: entry,
		// An answer comes every 300 ms, so three are missing.
		StaleAfter:    time.Second,
		RetryAfterMin: 300 * time.Millisecond, RetryAfterMax: 4 * time.Second,
	}
}

// Gate applies the shares of the classes at one entry. It is not safe for concurrent use; the caller's lock protects it.
type Gate struct {
	cfg      GateConfig
	services map[kwid.ServiceName]*serviceGate
}

// serviceGate holds the counts and shares of the classes of one service, in order of urgency.
type serviceGate struct {
	classes []*classGate
	// leader is the last answer of the leader, and arrivedAt when it came; zero if there is none.
	leader    ServiceShares
	arrivedAt time.Time
	// own are the shares by the entry's own counts.
	own      control
	nextStep time.Time
}

// classGate is one class at the entry.
type classGate struct {
	priority int
	counts   classCounts
	// due is the part of a request that the share has left over.
	due Share
	// applied is the share that the last decision applied.
	applied Share
}

// NewGate returns a Gate that covers no service.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{cfg: cfg, services: make(map[kwid.ServiceName]*serviceGate)}
}

// SetServices sets the services under admission control with the priorities of their classes. Counts of services and classes that stay are
// kept.
func (g *Gate) SetServices(services map[kwid.ServiceName][]int) {
	maps.DeleteFunc(g.services, func(name kwid.ServiceName, _ *serviceGate) bool { return services[name] == nil })
	for name, priorities := range services {
		s := g.services[name]
		if s == nil {
			s = &serviceGate{own: control{cfg: g.cfg.Control}}
			g.services[name] = s
		}
		var classes []*classGate
		for _, p := range slices.Compact(slices.Sorted(slices.Values(priorities))) {
			c := s.class(p)
			if c == nil {
				c = &classGate{priority: p, due: g.phase(name, p), applied: 1}
			}
			classes = append(classes, c)
		}
		s.classes = classes
	}
}

// phase returns the first due of a class. It differs between entries: with 370 of them that get a request a second each, all would otherwise
// grant and withhold at the same time.
func (g *Gate) phase(service kwid.ServiceName, priority int) Share {
	h := xxhash.New()
	// A hash.Hash never returns an error from Write.
	_, _ = h.WriteString(string(g.cfg.Entry))
	_, _ = h.WriteString(string(service))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(priority)))
	return Share(h.Sum64()>>11) / (1 << 53)
}

func (s *serviceGate) class(priority int) *classGate {
	if s == nil {
		return nil
	}
	at, ok := slices.BinarySearchFunc(s.classes, priority, func(c *classGate, p int) int { return cmp.Compare(c.priority, p) })
	if !ok {
		return nil
	}
	return s.classes[at]
}

// Apply takes over what the leader has answered to a report.
func (g *Gate) Apply(now time.Time, shares []ServiceShares) {
	for _, news := range shares {
		if s := g.services[news.Service]; s != nil {
			s.leader, s.arrivedAt = news, now
		}
	}
}

// Rows returns what the entry reports to the leader.
func (g *Gate) Rows(now time.Time) []Row {
	var out []Row
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		out = append(out, g.services[name].rows(now, name, g.cfg.Control.Window)...)
	}
	return out
}

func (s *serviceGate) rows(now time.Time, name kwid.ServiceName, window time.Duration) []Row {
	out := make([]Row, 0, len(s.classes))
	for _, c := range s.classes {
		r := c.counts.row(now, window)
		r.Service, r.Priority, r.Withheld = name, c.priority, 1-c.applied
		out = append(out, r)
	}
	return out
}

// Admit decides how a request is treated. A broken stream always passes, and does not count.
func (g *Gate) Admit(now time.Time, service kwid.ServiceName, priority int, broken bool) Verdict {
	s := g.services[service]
	c := s.class(priority)
	if c == nil || broken {
		return Verdict{}
	}
	c.counts.buckets[c.counts.advance(now, g.cfg.Control.Window)].arrivals++
	v, spare := s.share(now, service, priority, g.cfg)
	c.applied = v.Share
	c.due += v.Share
	if c.due >= 1 {
		c.due--
		return v
	}
	v.Action = Behind
	if !spare {
		v.Action = Reject
		v.RetryAfter = g.retryAfter(v.Share)
	}
	return v
}

// retryAfter returns when a request beyond a share has a chance: once the leader can have raised the share to 1.
func (g *Gate) retryAfter(s Share) time.Duration {
	steps := float64((1 - s) / g.cfg.Control.Raise)
	wait := g.cfg.Control.Window + time.Duration(steps*float64(g.cfg.Control.StepInterval))
	return min(max(wait, g.cfg.RetryAfterMin), g.cfg.RetryAfterMax)
}

// share returns the share of a class in force, and whether requests beyond it may use what capacity is left: no more urgent class is short
// at the entry itself or, by the leader, elsewhere. Without the former, 370 entries let places lapse that were theirs until the next report
// (0.01 to 0.02 of all served). Without news of the leader the entry goes on from its last share by its own counts, and opens no wider
// while a more urgent class is short here.
func (s *serviceGate) share(now time.Time, service kwid.ServiceName, priority int, cfg GateConfig) (Verdict, bool) {
	if !now.Before(s.nextStep) {
		s.nextStep = now.Add(cfg.Control.StepInterval)
		s.own.step(s.rows(now, service, cfg.Control.Window))
	}
	v := Verdict{Counted: true, Share: 1, Version: s.leader.Version, Local: true}
	at, ok := s.own.find(priority)
	if !ok {
		return v, true
	}
	own := &s.own.shares[at]
	if s.arrivedAt.IsZero() {
		v.Share = own.Share
		return v, own.Spare
	}
	last, spare := Share(1), true
	for _, c := range s.leader.Classes {
		if c.Priority == priority {
			last, spare = c.Share, c.Spare
		}
	}
	age := now.Sub(s.arrivedAt)
	v.Age = s.leader.Age + age
	if age < cfg.StaleAfter {
		v.Local, v.Share, own.Share = false, last, last
		return v, spare || own.Spare
	}
	v.Share = own.Share
	if !own.Spare {
		v.Share = min(own.Share, last)
	}
	return v, own.Spare
}

// Record counts what became of a request whose verdict was counted.
func (g *Gate) Record(now time.Time, service kwid.ServiceName, priority int, outcome Outcome) {
	c := g.services[service].class(priority)
	if c == nil {
		return
	}
	switch outcome {
	case Queued:
		c.counts.waiting++
		return
	case Abandoned:
		c.counts.waiting = max(0, c.counts.waiting-1)
		return
	case GrantedAfterWait, RejectedAfterWait:
		c.counts.waiting = max(0, c.counts.waiting-1)
	}
	b := &c.counts.buckets[c.counts.advance(now, g.cfg.Control.Window)]
	switch outcome {
	case Granted, GrantedAfterWait:
		b.granted++
	case Rejected, RejectedAfterWait:
		b.rejected++
	}
}
