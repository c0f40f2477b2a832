package kwquarantine

import (
	"slices"
	"time"
)

const (
	// maxReported is the number of requests of crashes that a Guard keeps for the next leader; beyond it the oldest is forgotten.
	maxReported = 4096
	// handoverTime is the time after the first crash that was reported to an earlier leader, in which a new leader decides nothing: all
	// entries report theirs, and what they have served soundly since.
	handoverTime = time.Second
)

// reported is a request of a crash that the entry has reported.
type reported struct {
	at       time.Time
	evidence Evidence
}

// RecordReported remembers requests of a crash that the entry reports to the leader. A crash then counts under the next leader too, and
// changes of leader beside a crashing part cost no further servers.
func (g *Guard) RecordReported(now time.Time, evidence ...Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, ev := range evidence {
		g.reported = append(g.reported, reported{at: now, evidence: ev})
	}
	g.forgetReported(now)
}

// Reported returns the requests of crashes within Memory for a new leader, with their ages, the oldest first.
func (g *Guard) Reported(now time.Time) []Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgetReported(now)
	evidence := make([]Evidence, 0, len(g.reported))
	for _, r := range g.reported {
		ev := r.evidence
		ev.Age += now.Sub(r.at)
		evidence = append(evidence, ev)
	}
	return evidence
}

func (g *Guard) forgetReported(now time.Time) {
	expired := 0
	for expired < len(g.reported) && (now.Sub(g.reported[expired].at) > g.cfg.Memory || len(g.reported)-expired > maxReported) {
		expired++
	}
	g.reported = slices.Delete(g.reported, 0, expired)
}

// insertByTime inserts an item in the order of time: crashes that are handed over come later than those since.
func insertByTime[T any](items []T, item T, timeOf func(T) time.Time) []T {
	i := len(items)
	for i > 0 && timeOf(items[i-1]).After(timeOf(item)) {
		i--
	}
	return slices.Insert(items, i, item)
}

// noteHandover delays decisions if a crash was reported to an earlier leader.
func (r *Registry) noteHandover(now time.Time, age time.Duration) {
	if age > 0 && r.handoverUntil.IsZero() {
		r.handoverUntil = now.Add(handoverTime)
	}
}
