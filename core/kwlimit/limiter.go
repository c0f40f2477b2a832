package kwlimit

import (
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Config holds the limits of one entry; Total bounds the requests in flight of all workspaces together.
type Config struct {
	MaxInFlight int
}

// Share is one workspace's part of its fleet-wide limit at this entry, in requests in flight.
type Share struct {
	Workspace   kwid.WorkspaceName
	MaxInFlight int
}

// Split returns one entry's part of a fleet-wide limit; every entry gets at least one.
func Split(limit, entries, index int) int {
	if entries < 1 {
		return limit
	}
	part := limit / entries
	if index < limit%entries {
		part++
	}
	return max(1, part)
}

type usage struct {
	limit int
	used  int
	spent time.Duration
	ended int
}

// Limiter counts requests in flight; it is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	cfg   Config
	used  int
	byWho map[kwid.WorkspaceName]*usage
}

// New returns a Limiter without shares; a workspace without a share is refused.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, byWho: make(map[kwid.WorkspaceName]*usage)}
}

// SetShares replaces the shares; requests in flight stay counted.
func (l *Limiter) SetShares(shares []Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.byWho {
		u.limit = 0
	}
	for _, s := range shares {
		l.at(s.Workspace).limit = s.MaxInFlight
	}
}

func (l *Limiter) at(name kwid.WorkspaceName) *usage {
	u, ok := l.byWho[name]
	if !ok {
		u = &usage{}
		l.byWho[name] = u
	}
	return u
}

// Acquire admits a request and returns its release function, which takes the time the request was held.
func (l *Limiter) Acquire(name kwid.WorkspaceName) (func(held time.Duration), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.at(name)
	if u.used >= u.limit {
		refusal := kwcode.New(kwcode.WorkspaceLimit, "workspace %q has %d requests in flight at this entry", name, u.used)
		return nil, refusal.After(u.comeBack())
	}
	if l.used >= l.cfg.MaxInFlight {
		refusal := kwcode.New(kwcode.EntryOverloaded, "%d requests in flight", l.used)
		return nil, refusal.After(u.comeBack())
	}
	u.used++
	l.used++
	var once sync.Once
	return func(held time.Duration) {
		once.Do(func() { l.release(u, held) })
	}, nil
}

func (l *Limiter) release(u *usage, held time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.used--
	l.used--
	u.spent += held
	u.ended++
}

// Bounds of the suggested time to come back.
const (
	minComeBack = time.Second
	maxComeBack = 30 * time.Second
)

// comeBack estimates when a slot frees: the mean holding time over the slots in use.
func (u *usage) comeBack() time.Duration {
	if u.ended == 0 || u.used == 0 {
		return minComeBack
	}
	mean := u.spent / time.Duration(u.ended)
	return min(max(mean/time.Duration(u.used), minComeBack), maxComeBack)
}

// InFlight returns the requests in flight of all workspaces.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
