package kwretry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// EjectConfig sets how failing endpoints are ejected; Limit is the largest ejected share of the known endpoints.
type EjectConfig struct {
	First time.Duration
	Max   time.Duration
	Limit float64
}

// DefaultEjectConfig ejects for 1 s at first, doubling up to 30 s, at most half of the endpoints.
func DefaultEjectConfig() EjectConfig {
	return EjectConfig{First: time.Second, Max: 30 * time.Second, Limit: 0.5}
}

type ejection struct {
	until time.Time
	span  time.Duration
	// strikes counts the failures since the last success that prove nothing by themselves.
	strikes int
}

// strikesOut is how many such failures in a row eject an endpoint: one that loses a few answers in a hundred is worth keeping,
// one that breaks off everything is left after two.
const strikesOut = 2

// Ejector keeps failing endpoints out for a growing time; it is safe for concurrent use.
type Ejector struct {
	mu    sync.Mutex
	cfg   EjectConfig
	rows  map[kwid.EndpointID]ejection
	known int
}

// NewEjector returns an Ejector that knows no endpoints.
func NewEjector(cfg EjectConfig) *Ejector {
	return &Ejector{cfg: cfg, rows: make(map[kwid.EndpointID]ejection)}
}

// SetKnown sets the number of endpoints that the limit is taken of.
func (e *Ejector) SetKnown(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = n
}

// Fail ejects an endpoint unless too many are out already.
func (e *Ejector) Fail(now time.Time, id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fail(now, id)
}

// fail ejects an endpoint; the caller holds the lock.
func (e *Ejector) fail(now time.Time, id kwid.EndpointID) {
	row := e.rows[id]
	if now.Before(row.until) {
		return
	}
	if float64(e.out(now)+1) > e.cfg.Limit*float64(e.known) {
		return
	}
	row.span = min(max(2*row.span, e.cfg.First), e.cfg.Max)
	row.until = now.Add(row.span)
	e.rows[id] = row
}

// Strike notes a failure that an endpoint in good health may show now and then, as a connection that it reset; several in a row
// eject it. It reports whether the endpoint is out.
func (e *Ejector) Strike(now time.Time, id kwid.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	row := e.rows[id]
	row.strikes++
	e.rows[id] = row
	if row.strikes >= strikesOut {
		e.fail(now, id)
	}
	return now.Before(e.rows[id].until)
}

// Succeed clears the history of an endpoint.
func (e *Ejector) Succeed(id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.rows, id)
}

// Out tells whether an endpoint is ejected now.
func (e *Ejector) Out(now time.Time, id kwid.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.rows[id].until)
}

func (e *Ejector) out(now time.Time) int {
	n := 0
	for _, row := range e.rows {
		if now.Before(row.until) {
			n++
		}
	}
	return n
}
