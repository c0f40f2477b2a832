package kwendpointlimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

const (
	// loanTerm is how long a loan is valid, counted by the entry from when it sent the watch, and by the leader from its reply. It covers
	// three watches.
	loanTerm = time.Second
	// newsMemory is for how long the end of a limit is remembered.
	newsMemory = 10 * time.Second
	// maxReports bounds the limits in one message.
	maxReports = 100
)

// Report is what an entry knows of the limit of a process, and what it does not need of its even share.
type Report struct {
	Process kwmembership.Process `cbor:"1,keyasint"`
	Notice  Notice               `cbor:"2,keyasint"`
	// Age is the time since the answer that the notice comes from.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Yield is the part of the whole limit that the entry leaves to others.
	Yield float64 `cbor:"4,keyasint,omitempty"`
	// Short means that the entry could use more than its even share.
	Short bool `cbor:"5,keyasint,omitempty"`
}

// Loan is what the leader knows of the limit of a process, and the part of it that an entry may use beyond its even share.
type Loan struct {
	Process kwmembership.Process `cbor:"1,keyasint"`
	Notice  Notice               `cbor:"2,keyasint"`
	Age     time.Duration        `cbor:"3,keyasint,omitempty"`
	Part    float64              `cbor:"4,keyasint,omitempty"`
}

// Lender lends what entries yield of their even shares of a limit to those that are short. It answers uneven use: a server is mostly used
// by the entries of its availability zone, and the even shares of the others would be left. Nothing is lent that was not yielded, and an
// entry takes back what it has yielded only when the loans of it have ended, so that the sum over all entries holds while shares move. A
// new leader lends nothing until the loans of its predecessor have ended. It is not safe for concurrent use.
type Lender struct {
	epoch      uint64
	epochStart time.Time
	processes  map[kwmembership.Process]*lentLimit
}

// lentLimit is the newest notice of a process, and what entries yield and have borrowed.
type lentLimit struct {
	notice    Notice
	noticedAt time.Time
	entries   map[kwid.NodeID]*lentEntry
}

type lentEntry struct {
	yield      float64
	short      bool
	reportedAt time.Time
	loans      []timedPart
}

// timedPart is a part of a limit that counts until a time.
type timedPart struct {
	part  float64
	until time.Time
}

func (t timedPart) ended(now time.Time) bool { return !now.Before(t.until) }

// largest drops the parts that have ended and returns the largest of the others.
func largest(now time.Time, parts []timedPart) ([]timedPart, float64) {
	parts = slices.DeleteFunc(parts, func(t timedPart) bool { return t.ended(now) })
	most := 0.0
	for _, t := range parts {
		most = max(most, t.part)
	}
	return parts, most
}

// NewLender returns a Lender without limits.
func NewLender() *Lender {
	return &Lender{processes: make(map[kwmembership.Process]*lentLimit)}
}

// Record records what an entry reports to the leader of an epoch.
func (l *Lender) Record(now time.Time, epoch uint64, entry kwid.NodeID, reports []Report) {
	l.begin(now, epoch)
	for _, r := range reports {
		p, ok := l.processes[r.Process]
		if !ok {
			p = &lentLimit{entries: make(map[kwid.NodeID]*lentEntry)}
			l.processes[r.Process] = p
		}
		if noticedAt := now.Add(-max(0, r.Age)); r.Notice.Kind != NoNews && noticedAt.After(p.noticedAt) {
			p.notice, p.noticedAt = r.Notice, noticedAt
		}
		e, ok := p.entries[entry]
		if !ok {
			e = new(lentEntry)
			p.entries[entry] = e
		}
		e.yield, e.short, e.reportedAt = max(0, r.Yield), r.Short, now
	}
}

// begin forgets the loans and yields of an earlier epoch.
func (l *Lender) begin(now time.Time, epoch uint64) {
	if epoch == l.epoch && !l.epochStart.IsZero() {
		return
	}
	l.epoch, l.epochStart = epoch, now
	for _, p := range l.processes {
		clear(p.entries)
	}
}

// Retain forgets the processes that are no longer known, once all loans of their limits have ended, and limits that ended long ago.
func (l *Lender) Retain(now time.Time, known func(kwmembership.Process) bool) {
	maps.DeleteFunc(l.processes, func(p kwmembership.Process, k *lentLimit) bool {
		return !known(p) && !k.lends(now) || k.notice.Kind != Limited && now.Sub(k.noticedAt) > newsMemory
	})
}

// lends reports whether a loan of the limit may be in use.
func (p *lentLimit) lends(now time.Time) bool {
	for _, e := range p.entries {
		if slices.ContainsFunc(e.loans, func(t timedPart) bool { return !t.ended(now) }) {
			return true
		}
	}
	return false
}

// Loans returns all limits, and lends an entry its part of each.
func (l *Lender) Loans(now time.Time, epoch uint64, entry kwid.NodeID) []Loan {
	l.begin(now, epoch)
	out := make([]Loan, 0, min(len(l.processes), maxReports))
	for process, p := range l.processes {
		loan := Loan{Process: process, Notice: p.notice, Age: now.Sub(p.noticedAt)}
		if p.notice.Kind == NoNews {
			continue
		}
		if p.notice.Kind == Limited && now.Sub(l.epochStart) >= loanTerm {
			loan.Part = p.lend(now, entry)
		}
		out = append(out, loan)
	}
	return newest(out, func(loan Loan) (time.Duration, kwmembership.Process) { return loan.Age, loan.Process })
}

// newest returns the first maxReports items in ascending order of their age.
func newest[T any](items []T, key func(T) (time.Duration, kwmembership.Process)) []T {
	slices.SortFunc(items, func(a, b T) int {
		ageA, a1 := key(a)
		ageB, b1 := key(b)
		return cmp.Or(cmp.Compare(ageA, ageB), cmp.Compare(a1.Endpoint, b1.Endpoint))
	})
	return items[:min(len(items), maxReports)]
}

// fresh reports whether an entry has reported the limit within the last loanTerm.
func (p *lentLimit) fresh(now time.Time, entry kwid.NodeID) bool {
	e, ok := p.entries[entry]
	return ok && now.Sub(e.reportedAt) <= loanTerm
}

// lend lends an entry that is short an equal part of what all yield, as far as the loans of the others leave room.
func (p *lentLimit) lend(now time.Time, entry kwid.NodeID) float64 {
	yielded, others, short := 0.0, 0.0, 0
	for id, e := range p.entries {
		borrowed := 0.0
		if e.loans, borrowed = largest(now, e.loans); id != entry {
			others += borrowed
		}
		if !p.fresh(now, id) {
			if len(e.loans) == 0 {
				delete(p.entries, id)
			}
			continue
		}
		yielded += e.yield
		if e.short {
			short++
		}
	}
	if !p.fresh(now, entry) || !p.entries[entry].short {
		return 0
	}
	part := max(0, min(yielded/float64(short), yielded-others))
	p.entries[entry].loans = append(p.entries[entry].loans, timedPart{part, now.Add(loanTerm)})
	return part
}
