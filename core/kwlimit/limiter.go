package kwlimit

import (
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Config holds the limits of one entry. MaxInFlight bounds the requests in flight of all workspaces together.
type Config struct {
	MaxInFlight int
}

// Share is a workspace's limit at this entry, its part of the fleet-wide limit, in requests in flight.
type Share struct {
	Workspace   kwid.WorkspaceName
	MaxInFlight int
}

// Split returns the part of a fleet-wide limit that the entry of the given rank gets, at least 1.
func Split(limit, entries, rank int) int {
	if entries < 1 {
		return limit
	}
	part := limit / entries
	if rank < limit%entries {
		part++
	}
	return max(1, part)
}

// usage counts the requests of one workspace.
type usage struct {
	limit    int
	inFlight int
	// totalHeld is the sum of the holding times of the released requests.
	totalHeld time.Duration
	released  int
}

// Limiter limits the requests in flight at one entry. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	cfg         Config
	inFlight    int
	byWorkspace map[kwid.WorkspaceName]*usage
}

// New returns a Limiter without shares; it rejects the requests of a workspace that has none.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, byWorkspace: make(map[kwid.WorkspaceName]*usage)}
}

// SetShares replaces the shares. Requests in flight stay counted.
func (l *Limiter) SetShares(shares []Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.byWorkspace {
		u.limit = 0
	}
	for _, s := range shares {
		l.usageOf(s.Workspace).limit = s.MaxInFlight
	}
}

func (l *Limiter) usageOf(name kwid.WorkspaceName) *usage {
	u, ok := l.byWorkspace[name]
	if !ok {
		u = &usage{}
		l.byWorkspace[name] = u
	}
	return u
}

// Acquire admits a request and returns the function that releases it, to be called with the time for which it was
// held. It returns WorkspaceLimit or EntryOverloaded, with a Retry-After time, if a limit is reached.
func (l *Limiter) Acquire(name kwid.WorkspaceName) (func(held time.Duration), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(name)
	if u.inFlight >= u.limit {
		rejection := kwcode.New(kwcode.WorkspaceLimit, "workspace %q has %d requests in flight at this entry", name, u.inFlight)
		return nil, rejection.After(u.retryAfter())
	}
	if l.inFlight >= l.cfg.MaxInFlight {
		rejection := kwcode.New(kwcode.EntryOverloaded, "%d requests in flight", l.inFlight)
		return nil, rejection.After(u.retryAfter())
	}
	u.inFlight++
	l.inFlight++
	var once sync.Once
	return func(held time.Duration) {
		once.Do(func() { l.release(u, held) })
	}, nil
}

func (l *Limiter) release(u *usage, held time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
	l.inFlight--
	u.totalHeld += held
	u.released++
}

// Bounds of the Retry-After time.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// retryAfter estimates when the next slot is released: the mean holding time divided by the slots in use.
func (u *usage) retryAfter() time.Duration {
	if u.released == 0 || u.inFlight == 0 {
		return minRetryAfter
	}
	mean := u.totalHeld / time.Duration(u.released)
	return min(max(mean/time.Duration(u.inFlight), minRetryAfter), maxRetryAfter)
}

// InFlight returns the number of requests in flight of all workspaces.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
