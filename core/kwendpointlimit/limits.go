package kwendpointlimit

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

const (
	// turnLife is how long a turn to send a request stays valid at an entry that has less than one in that time. Without it, many
	// entries with small shares would save up one request each and could send them all at once.
	turnLife = time.Second
	// burstTime bounds what an entry with a larger share saves up, and so what a limited endpoint gets at one moment.
	burstTime = 200 * time.Millisecond
	// probeRate is the rate at which all entries together still send requests to an endpoint with a lower limit. The answers tell
	// when that ends.
	probeRate Rate = 0.1
	// entryCountMemory is for how long a larger number of entries counts: a new leader has not yet heard from all of them.
	entryCountMemory = 10 * time.Second
	// minStartEntries is the least number of entries that an entry assumes until it has known their number for entryCountMemory.
	minStartEntries = 6
	// useWindow is the time constant of the moving average of what an entry uses of a limit.
	useWindow = 5 * time.Second
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

// limited returns the limit of a process, or false if it has none; the caller holds the lock.
func (l *Limits) limited(p kwmembership.Process) (*limit, bool) {
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
	k, ok := l.limited(p)
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
	if k, ok := l.limited(p); ok {
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
	if k, ok := l.limited(p); ok {
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
	k, ok := l.limited(p)
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

// Want records that a request would have been sent to a process if there had been a turn.
func (l *Limits) Want(now time.Time, p kwmembership.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.limited(p); ok {
		k.wantedAt = now
	}
}

// yield returns what this entry does not need of its even share, in parts of the whole limit; the caller holds the lock.
func (l *Limits) yield(now time.Time, k *limit) (part float64, short bool) {
	if now.Sub(k.wantedAt) < wantTime {
		return 0, true
	}
	if now.Sub(k.began) < wantTime || now.Sub(k.lenderAt) > startTime {
		return 0, false
	}
	even := 1 / float64(l.entries)
	used := useHeadroom * float64(k.use/max(k.notice.Rate, probeRate))
	return max(0, even-max(used, keptShare*even)), false
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
		if k, ok := l.limited(loan.Process); ok {
			l.advance(now, k)
			k.loan = timedPart{min(max(0, loan.Part), 1), sentAt.Add(loanTerm)}
			k.lenderAt = now
			k.endYields(now.Add(loanTerm))
		}
	}
	return news
}

// addYield records what this entry reports to yield. Earlier yields that are no larger end before it and need not be kept.
func (k *limit) addYield(now time.Time, part float64) {
	k.yields = slices.DeleteFunc(k.yields, func(t timedPart) bool { return t.part <= part })
	k.yields = append(k.yields, timedPart{part, now.Add(yieldTerm)})
}

// endYields ends all yields but the last one, which the leader has confirmed, at the time when no loan of them is left.
func (k *limit) endYields(at time.Time) {
	for i := range max(0, len(k.yields)-1) {
		if at.Before(k.yields[i].until) {
			k.yields[i].until = at
		}
	}
}

// addUse adds requests to the moving average of the use.
func (k *limit) addUse(now time.Time, requests int) {
	if elapsed := now.Sub(k.usedAt).Seconds(); elapsed > 0 {
		k.use *= Rate(math.Exp(-elapsed / useWindow.Seconds()))
		k.usedAt = now
	}
	k.use = max(0, k.use+Rate(float64(requests)/useWindow.Seconds()))
}

// advance adds the turns that have come since the last update, and drops those that were not used in time; the caller holds the lock.
func (l *Limits) advance(now time.Time, k *limit) {
	if end := k.loan.until; k.updated.Before(end) && now.After(end) {
		l.advanceTo(end, k)
	}
	l.advanceTo(now, k)
}

// advanceTo is advance over a time in which the share does not change.
func (l *Limits) advanceTo(now time.Time, k *limit) {
	if !now.After(k.updated) {
		return
	}
	share := float64(l.share(k.updated, k))
	k.turns += share * now.Sub(k.updated).Seconds()
	k.updated = now
	whole, part := math.Modf(k.turns)
	k.turns = min(whole, max(1, math.Floor(share*burstTime.Seconds()))) + part
}

// wait returns how long until the next turn at a rate, 0 if it has come and is still valid.
func (k *limit) wait(share Rate) time.Duration {
	if k.turns >= 1 {
		_, part := math.Modf(k.turns)
		if part <= float64(share)*turnLife.Seconds() {
			return 0
		}
		return secondsUp((1 - part) / float64(share))
	}
	return secondsUp((1 - k.turns) / float64(share))
}

// secondsUp converts seconds to a duration and rounds up, so that a turn that is waited for has come.
func secondsUp(s float64) time.Duration {
	return time.Duration(math.Ceil(min(s, maxTime.Seconds())*float64(time.Second))) + time.Microsecond
}
