package kwretry

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// EjectorConfig sets how failing endpoints are ejected; Limit is the largest ejected share of the known endpoints.
type EjectorConfig struct {
	BaseEjection    time.Duration
	MaxEjection     time.Duration
	MaxEjectedShare float64
}

// DefaultEjectorConfig ejects for 1 s at first, doubling up to 30 s, at most half of the endpoints.
func DefaultEjectorConfig() EjectorConfig {
	return EjectorConfig{BaseEjection: time.Second, MaxEjection: 30 * time.Second, MaxEjectedShare: 0.5}
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
	cfg   EjectorConfig
	rows  map[kwid.EndpointID]ejection
	known int
}

// NewEjector returns an Ejector that knows no endpoints.
func NewEjector(cfg EjectorConfig) *Ejector {
	return &Ejector{cfg: cfg, rows: make(map[kwid.EndpointID]ejection)}
}

// SetEndpointCount sets the number of endpoints that the limit is taken of.
func (e *Ejector) SetEndpointCount(n int) {
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
	if float64(e.out(now)+1) > e.cfg.MaxEjectedShare*float64(e.known) {
		return
	}
	row.span = min(max(2*row.span, e.cfg.BaseEjection), e.cfg.MaxEjection)
	row.until = now.Add(row.span)
	e.rows[id] = row
}

// RecordTransientFailure notes a failure that an endpoint in good health may show now and then, as a connection that it reset; several in a row
// eject it. It reports whether the endpoint is out.
func (e *Ejector) RecordTransientFailure(now time.Time, id kwid.EndpointID) bool {
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

// RecordSuccess clears the history of an endpoint.
func (e *Ejector) RecordSuccess(id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.rows, id)
}

// Ejected tells whether an endpoint is ejected now.
func (e *Ejector) Ejected(now time.Time, id kwid.EndpointID) bool {
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
