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
	// reportedChange is the relative change from which on a limit counts as another one.
	reportedChange = 0.2
)

// Limits keeps this entry to its share of the limits that endpoint processes name, an even share of each entry. It answers an overload of
// single endpoints, which all entries together must relieve: a server that names 10 requests a second gets no more from seven entries
// than from one. A limit ends with an answer that names none and with its process; until then a rate that is never 0 lets requests
// through whose answers tell. It is safe for concurrent use.
type Limits struct {
	entry kwid.NodeID
	mu    sync.Mutex
	// known holds the limit of each process that has one.
	known map[kwmembership.Process]*limit
	// entries is the number of entries that share the limits, counted at entriesAt, and firstCountAt when it was first set.
	entries                 int
	entriesAt, firstCountAt time.Time
	// none spares most calls the lock.
	none atomic.Bool
}

// limit is the limit of a process, and this entry's turns under it.
type limit struct {
	rate Rate
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
	old, known := l.known[p]
	if n.Kind == Unlimited {
		delete(l.known, p)
		l.none.Store(len(l.known) == 0)
		return known
	}
	if !known {
		l.known[p] = &limit{rate: n.Rate, reported: n.Rate, turns: l.phase(p), updated: now}
		l.none.Store(false)
		return true
	}
	l.advance(now, old)
	old.rate = n.Rate
	if math.Abs(float64(n.Rate-old.reported)) <= reportedChange*float64(old.reported) {
		return false
	}
	old.reported = n.Rate
	return true
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
	if l.None() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.known, func(p kwmembership.Process, _ *limit) bool { return !known(p) })
	l.none.Store(len(l.known) == 0)
}

// Wait returns how long until this entry may send another request to a process, 0 if it may now.
func (l *Limits) Wait(now time.Time, p kwmembership.Process) time.Duration {
	if l.None() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.known[p]
	if !ok {
		return 0
	}
	l.advance(now, k)
	return k.wait(l.share(k))
}

// Take uses a turn to send a request to a process; the caller has seen that Wait is 0. Without a limit it does nothing.
func (l *Limits) Take(now time.Time, p kwmembership.Process) {
	if l.None() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.known[p]; ok {
		l.advance(now, k)
		k.turns--
	}
}

// Return gives back a turn whose request was not sent.
func (l *Limits) Return(now time.Time, p kwmembership.Process) {
	if l.None() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.known[p]; ok {
		l.advance(now, k)
		k.turns++
	}
}

// Share returns this entry's share of the limit of a process, or false if it has none.
func (l *Limits) Share(p kwmembership.Process) (Rate, bool) {
	if l.None() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.known[p]
	if !ok {
		return 0, false
	}
	return l.share(k), true
}

// share returns this entry's share of a limit; the caller holds the lock.
func (l *Limits) share(k *limit) Rate { return max(k.rate, probeRate) / Rate(l.entries) }

// advance adds the turns that have come since the last update, and drops those that were not used in time; the caller holds the lock.
func (l *Limits) advance(now time.Time, k *limit) {
	if !now.After(k.updated) {
		return
	}
	share := float64(l.share(k))
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
