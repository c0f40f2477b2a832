package kwendpointlimit

import (
	"encoding/binary"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

const (
	// probeRate is the rate at which all entries together still send requests to an endpoint with a lower limit. The answers tell
	// when that ends.
	probeRate Rate = 0.1
	// entryCountMemory is for how long a larger number of entries counts: a new leader has not yet heard from all of them.
	entryCountMemory = 10 * time.Second
	// minStartEntries is the least number of entries that an entry assumes until it has known their number for entryCountMemory.
	minStartEntries = 6
	// reportedChange is the relative change from which on a limit counts as another one.
	reportedChange = 0.2
)

// Limits keeps this entry to its share of the limits that endpoint processes name: an even one, less what it yields and with what the
// leader lends it of what others yield. It answers an overload of single endpoints, which all entries together must relieve: a server that
// names 10 requests a second gets no more from seven entries than from one. A limit ends with an answer that names none and with its
// process; until then a rate that is never 0 lets requests through whose answers tell. It is safe for concurrent use.
type Limits struct {
	entry kwid.NodeID
	mu    sync.Mutex
	// known holds the limit of each process that has one, or had one lately.
	known map[kwmembership.Process]*limit
	// entries is the number of entries that share the limits, counted at entriesAt, and firstCountAt when it was first set.
	entries                 int
	entriesAt, firstCountAt time.Time
	// none spares most calls the lock.
	none atomic.Bool
}

// limit is the limit of a process, and this entry's turns under it.
type limit struct {
	notice Notice
	// noticedAt is when the answer came that the notice is from.
	noticedAt time.Time
	// loan is the part of the limit that the leader lends this entry.
	loan timedPart
	// yields are the parts of the limit that this entry has reported to yield, each in force until no leader can have loans of it.
	yields []timedPart
	// lenderAt is when a leader last answered a report of the limit.
	lenderAt time.Time
	// began is when the limit became known, and wantedAt when a request last found no turn.
	began, wantedAt time.Time
	// use is the rate of the requests sent, a moving average as of usedAt.
	use    Rate
	usedAt time.Time
	// reported is the rate that Observe last reported as news.
	reported Rate
	// turns is the number of turns that have come, and not been used, until updated.
	turns   float64
	updated time.Time
}

// NewLimits returns the Limits of an entry, without any limit.
func NewLimits(entry kwid.NodeID) *Limits {
	l := &Limits{entry: entry, known: make(map[kwmembership.Process]*limit), entries: 1}
	l.none.Store(true)
	return l
}

// None reports whether no process has a limit.
func (l *Limits) None() bool { return l.none.Load() }

// Observe records what an answer of a process says. It reports whether the limit is new, has ended or is about another one than
// reported before.
func (l *Limits) Observe(now time.Time, p kwmembership.Process, n Notice) bool {
	if n.Kind == NoNews || n.Kind == Unlimited && l.None() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record(now, now, p, n)
}

// record records a notice that an answer bore at some time; the caller holds the lock.
func (l *Limits) record(now, noticedAt time.Time, p kwmembership.Process, n Notice) bool {
	if n.Kind == NoNews {
		return false
	}
	old, known := l.known[p]
	if known && noticedAt.Before(old.noticedAt) {
		return false
	}
	if !known || old.notice.Kind != Limited {
		if n.Kind == Limited {
			l.known[p] = &limit{notice: n, noticedAt: noticedAt, reported: n.Rate, turns: l.phase(p), updated: now, usedAt: now, began: now}
			l.none.Store(false)
			return true
		}
		return false
	}
	l.advance(now, old)
	old.notice, old.noticedAt = n, noticedAt
	if n.Kind != Limited {
		l.storeNone()
		return true
	}
	if math.Abs(float64(n.Rate-old.reported)) <= reportedChange*float64(old.reported) {
		return false
	}
	old.reported = n.Rate
	return true
}

// storeNone updates none; the caller holds the lock.
func (l *Limits) storeNone() {
	for _, k := range l.known {
		if k.notice.Kind == Limited {
			l.none.Store(false)
			return
		}
	}
	l.none.Store(true)
}

// limitOf returns the limit of a process, or false if it has none; the caller holds the lock.
func (l *Limits) limitOf(p kwmembership.Process) (*limit, bool) {
	k, ok := l.known[p]
	return k, ok && k.notice.Kind == Limited
}

// phase returns a number from 0 to 1 that differs between entries and processes, so that the first turns of the entries are spread.
func (l *Limits) phase(p kwmembership.Process) float64 {
	h := xxhash.New()
	// A hash.Hash never returns an error from Write.
	_, _ = h.WriteString(string(l.entry))
	_, _ = h.WriteString(string(p.Endpoint))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(p.StartedMillis)))
	return float64(h.Sum64()>>11) / (1 << 53)
}

// SetEntryCount sets the number of entries that share the limits.
func (l *Limits) SetEntryCount(now time.Time, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstCountAt.IsZero() {
		l.firstCountAt = now
	}
	if now.Sub(l.firstCountAt) < entryCountMemory {
		n = max(n, minStartEntries)
	}
	if n < l.entries && now.Sub(l.entriesAt) < entryCountMemory {
		return
	}
	if n != l.entries {
		for _, k := range l.known {
			l.advance(now, k)
		}
	}
	l.entries, l.entriesAt = max(1, n), now
}

// Retain forgets the limits of processes that are no longer known.
func (l *Limits) Retain(known func(kwmembership.Process) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.known, func(p kwmembership.Process, _ *limit) bool { return !known(p) })
	l.storeNone()
}

// Wait returns how long until this entry may send another request to a process, 0 if it may now.
func (l *Limits) Wait(now time.Time, p kwmembership.Process) time.Duration {
	if l.None() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.limitOf(p)
	if !ok {
		return 0
	}
	l.advance(now, k)
	return k.wait(l.share(now, k))
}

// Take uses a turn to send a request to a process; the caller has seen that Wait is 0. Without a limit it does nothing.
func (l *Limits) Take(now time.Time, p kwmembership.Process) {
	if l.None() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.limitOf(p); ok {
		l.advance(now, k)
		k.turns--
		k.addUse(now, 1)
	}
}

// Return gives back a turn whose request was not sent.
func (l *Limits) Return(now time.Time, p kwmembership.Process) {
	if l.None() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.limitOf(p); ok {
		l.advance(now, k)
		k.turns++
		k.addUse(now, -1)
	}
}

// Share returns this entry's share of the limit of a process, or false if it has none.
func (l *Limits) Share(now time.Time, p kwmembership.Process) (Rate, bool) {
	if l.None() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.limitOf(p)
	if !ok {
		return 0, false
	}
	return l.share(now, k), true
}

// share returns this entry's share of a limit; the caller holds the lock.
func (l *Limits) share(now time.Time, k *limit) Rate {
	even, yield := 1/float64(l.entries), 0.0
	k.yields, yield = largest(now, k.yields)
	part := max(0, even-yield)
	if now.Sub(l.firstCountAt) < startTime {
		part = min(part, keptShare*even)
	}
	if !k.loan.ended(now) {
		part += k.loan.part
	}
	return max(k.notice.Rate, probeRate) * Rate(part)
}

// Reports returns the limits that this entry knows, the newest ones if there are too many, for the leader.
func (l *Limits) Reports(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for p, k := range l.known {
		if k.notice.Kind != Limited && now.Sub(k.noticedAt) > newsMemory {
			delete(l.known, p)
			continue
		}
		r := Report{Process: p, Notice: k.notice, Age: now.Sub(k.noticedAt)}
		if k.notice.Kind == Limited {
			l.advance(now, k)
			k.addUse(now, 0)
			r.Yield, r.Short = l.yield(now, k)
			k.addYield(now, r.Yield)
		}
		out = append(out, r)
	}
	return newest(out, func(r Report) (time.Duration, kwmembership.Process) { return r.Age, r.Process })
}

// Apply takes over loans from the leader's answer to a watch that was sent at sentAt, and returns those whose notice is news.
func (l *Limits) Apply(now, sentAt time.Time, loans []Loan) []Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []Loan
	for _, loan := range loans {
		// The answer is older than its age at the time of sending, so it never replaces one that came to this entry later.
		if l.record(now, sentAt.Add(-max(0, loan.Age)), loan.Process, loan.Notice) {
			news = append(news, loan)
		}
		if k, ok := l.limitOf(loan.Process); ok {
			l.advance(now, k)
			k.loan = timedPart{min(max(0, loan.Part), 1), sentAt.Add(loanTerm)}
			k.lenderAt = now
			k.endYields(now.Add(loanTerm))
		}
	}
	return news
}
