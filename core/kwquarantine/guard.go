package kwquarantine

import (
	"container/list"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Memory is how long a sound request is reported.
	Memory time.Duration
	// RecentSound is how long a sound request clears a part of suspicion at this entry.
	RecentSound time.Duration
}

// DefaultGuardConfig reports sound requests for 1 min; they clear a part for 10 s.
func DefaultGuardConfig() GuardConfig {
	return GuardConfig{Memory: time.Minute, RecentSound: 10 * time.Second}
}

const (
	// maxSoundParts is the number of parts whose last sound request a Guard remembers; beyond it the part that was served soundly
	// least recently is forgotten.
	maxSoundParts = 4096
	// maxViewParts is the number of suspects, and of quarantines, that a Guard holds; those beyond it are ignored.
	maxViewParts = maxSuspects + maxQuarantined
)

// soundPart is the last sound request of a part.
type soundPart struct {
	part kwid.PromptPartID
	at   time.Time
}

// quarantinedUntil is a quarantine of the leader's view.
type quarantinedUntil struct {
	until time.Time
	with  []kwid.PromptPartID
}

// Guard is an entry's view of the quarantines and its memory of sound requests. It is safe for concurrent use.
type Guard struct {
	mu  sync.Mutex
	cfg GuardConfig
	// recency holds soundParts, the latest first.
	recency *list.List
	soundOf map[kwid.PromptPartID]*list.Element
	// soundAt is the last sound request of any kind.
	soundAt     time.Time
	suspects    map[kwid.PromptPartID]struct{}
	quarantined map[kwid.PromptPartID]quarantinedUntil
	requests    requestGuard
	// reported holds what the entry has reported of crashes, the oldest first.
	reported []reported
}

// NewGuard returns a Guard that holds nothing.
func NewGuard(cfg GuardConfig) *Guard {
	return &Guard{
		cfg:         cfg,
		recency:     list.New(),
		soundOf:     make(map[kwid.PromptPartID]*list.Element),
		suspects:    make(map[kwid.PromptPartID]struct{}),
		quarantined: make(map[kwid.PromptPartID]quarantinedUntil),
		requests:    newRequestGuard(),
	}
}

// RecordSound records that a request with these parts, or without any, was served soundly. The time is that of the second event of
// its answer: a stream that began before a part crashed servers says nothing about the part when it ends.
func (g *Guard) RecordSound(now time.Time, parts []kwid.PromptPartID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.After(g.soundAt) {
		g.soundAt = now
	}
	for _, part := range parts {
		if e, ok := g.soundOf[part]; ok {
			if s := e.Value.(*soundPart); now.After(s.at) {
				s.at = now
			}
			g.recency.MoveToFront(e)
			continue
		}
		if g.recency.Len() >= maxSoundParts {
			oldest := g.recency.Back()
			delete(g.soundOf, oldest.Value.(*soundPart).part)
			g.recency.Remove(oldest)
		}
		g.soundOf[part] = g.recency.PushFront(&soundPart{part: part, at: now})
	}
}

// Apply takes over a leader's view. With merge it keeps what it holds, for a leader that is still gathering; of two terms of a
// part the one that ends last counts.
func (g *Guard) Apply(now time.Time, suspects []kwid.PromptPartID, quarantined []Quarantine, merge bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !merge {
		clear(g.suspects)
		clear(g.quarantined)
	}
	for _, part := range suspects {
		if _, ok := g.suspects[part]; ok || len(g.suspects) < maxViewParts {
			g.suspects[part] = struct{}{}
		}
	}
	for _, q := range quarantined {
		old, ok := g.quarantined[q.Part]
		if !ok && len(g.quarantined) >= maxViewParts {
			continue
		}
		if at := now.Add(max(q.Remaining, 0)); !ok || at.After(old.until) {
			g.quarantined[q.Part] = quarantinedUntil{until: at, with: q.With}
		}
	}
}

// Sounds returns the last sound requests of the suspects within Memory, sorted by part.
func (g *Guard) Sounds(now time.Time) []Sound {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sounds []Sound
	for _, part := range slices.Sorted(maps.Keys(g.suspects)) {
		if age, ok := g.soundAge(now, part); ok && age <= g.cfg.Memory {
			sounds = append(sounds, Sound{Part: part, Age: age})
		}
	}
	return sounds
}

// LastSound returns the age of the last sound request of any kind within Memory, for a leader that has suspects: servers that serve
// are needed to tell them from the victims of an outage.
func (g *Guard) LastSound(now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	age := max(now.Sub(g.soundAt), 0)
	return age, len(g.suspects) > 0 && age <= g.cfg.Memory
}

// soundAge returns the age of the last sound request of a part, if one is remembered; the caller holds the lock.
func (g *Guard) soundAge(now time.Time, part kwid.PromptPartID) (time.Duration, bool) {
	e, ok := g.soundOf[part]
	if !ok {
		return 0, false
	}
	return max(now.Sub(e.Value.(*soundPart).at), 0), true
}

// Held returns the quarantines that it holds, sorted, for a new leader to adopt.
func (g *Guard) Held(now time.Time) []Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := make([]Quarantine, 0, len(g.quarantined))
	for part, q := range g.quarantined {
		held = append(held, Quarantine{Part: part, Remaining: max(q.until.Sub(now), 0), With: slices.Clone(q.with)})
	}
	slices.SortFunc(held, compareQuarantines)
	return held
}

// Check returns the quarantine that keeps a request with these parts from model servers: of several, the one with the longest
// Remaining.
func (g *Guard) Check(now time.Time, parts []kwid.PromptPartID) (Quarantine, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var longest Quarantine
	found := false
	for _, part := range parts {
		q, ok := g.quarantined[part]
		if !ok || !containsAll(parts, q.with) {
			continue
		}
		if remaining := max(q.until.Sub(now), 0); !found || remaining > longest.Remaining {
			longest, found = Quarantine{Part: part, Remaining: remaining, With: slices.Clone(q.with)}, true
		}
	}
	return longest, found
}

// Suspected reports whether a part is a suspect that this entry has not served soundly within RecentSound. It answers requests
// that crash one server after another: those are not repeated.
func (g *Guard) Suspected(now time.Time, parts []kwid.PromptPartID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(parts, func(part kwid.PromptPartID) bool {
		if _, ok := g.suspects[part]; !ok {
			return false
		}
		age, ok := g.soundAge(now, part)
		return !ok || age > g.cfg.RecentSound
	})
}
