package kwretry

import (
	"maps"
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

// EjectorConfig configures an Ejector: the first ejection lasts BaseEjection, each further one twice as long, up to
// MaxEjection. MaxEjectedShare bounds the ejected share of all endpoints.
type EjectorConfig struct {
	BaseEjection    time.Duration
	MaxEjection     time.Duration
	MaxEjectedShare float64
}

// DefaultEjectorConfig ejects for 1 s at first and for at most 30 s, and at most half of the endpoints.
func DefaultEjectorConfig() EjectorConfig {
	return EjectorConfig{BaseEjection: time.Second, MaxEjection: 30 * time.Second, MaxEjectedShare: 0.5}
}

type endpointState struct {
	ejectedUntil time.Time
	// silent means that the endpoint is ejected only because it was silent.
	silent bool
	// pausedUntil is set by refusals.
	pausedUntil      time.Time
	ejectionDuration time.Duration
	// transientFailures counts the transient failures since the last success.
	transientFailures int
}

// transientFailureThreshold is how many transient failures in a row eject an endpoint. An endpoint that loses a few responses
// in a hundred is worth keeping; one that breaks every stream is ejected after two.
const transientFailureThreshold = 2

// Ejector does outlier detection: it excludes failing endpoints for a growing time. It is safe for concurrent use.
type Ejector struct {
	mu            sync.Mutex
	cfg           EjectorConfig
	endpoints     map[kwid.EndpointID]endpointState
	endpointCount int
}

// NewEjector returns an Ejector without endpoints; none is ejected before SetEndpointCount is called.
func NewEjector(cfg EjectorConfig) *Ejector {
	return &Ejector{cfg: cfg, endpoints: make(map[kwid.EndpointID]endpointState)}
}

// SetEndpointCount sets the number of endpoints that MaxEjectedShare refers to.
func (e *Ejector) SetEndpointCount(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpointCount = n
}

// Fail ejects an endpoint after a definite failure, unless too many are ejected already.
func (e *Ejector) Fail(now time.Time, id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eject(now, id, false)
}

// FailSilent ejects an endpoint that has been silent, as Fail does. It may go on at any moment, so it may still be used where there is no
// other: see Silent.
func (e *Ejector) FailSilent(now time.Time, id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eject(now, id, true)
}

// eject ejects an endpoint unless it is ejected or too many others are; the caller holds the lock.
func (e *Ejector) eject(now time.Time, id kwid.EndpointID, silent bool) {
	state := e.endpoints[id]
	if now.Before(state.ejectedUntil) {
		if state.silent && !silent {
			state.silent = false
			e.endpoints[id] = state
		}
		return
	}
	if float64(e.ejectedCount(now)+1) > e.cfg.MaxEjectedShare*float64(e.endpointCount) {
		return
	}
	state.ejectionDuration = min(max(2*state.ejectionDuration, e.cfg.BaseEjection), e.cfg.MaxEjection)
	state.ejectedUntil = now.Add(state.ejectionDuration)
	state.silent = silent
	e.endpoints[id] = state
}

// refusalPause is how long an endpoint that has refused a request for lack of room gets no other one. Requests end and loads are
// reported within that time.
const refusalPause = 250 * time.Millisecond

// RecordRefusal pauses an endpoint that has refused a request, which an endpoint without room does while it serves others. It
// answers an overload, in which an ejection would take the endpoint away from its zone for longer and longer, and with it the only
// copy of its layers.
func (e *Ejector) RecordRefusal(now time.Time, id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.endpoints, func(_ kwid.EndpointID, s endpointState) bool {
		return s.ejectionDuration == 0 && s.transientFailures == 0 && !now.Before(s.pausedUntil)
	})
	state := e.endpoints[id]
	state.pausedUntil = now.Add(refusalPause)
	e.endpoints[id] = state
}

// RecordTransientFailure counts a failure that a healthy endpoint may show now and then, such as a reset connection; several
// in a row eject the endpoint. It reports whether the endpoint is ejected.
func (e *Ejector) RecordTransientFailure(now time.Time, id kwid.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.endpoints[id]
	state.transientFailures++
	e.endpoints[id] = state
	if state.transientFailures >= transientFailureThreshold {
		e.eject(now, id, false)
	}
	return now.Before(e.endpoints[id].ejectedUntil)
}

// RecordSuccess clears the failure history of an endpoint and ends its ejection, but not the pause after a refusal: an endpoint
// without room still completes what it has.
func (e *Ejector) RecordSuccess(id kwid.EndpointID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state, ok := e.endpoints[id]
	if !ok {
		return
	}
	if state.pausedUntil.IsZero() {
		delete(e.endpoints, id)
		return
	}
	e.endpoints[id] = endpointState{pausedUntil: state.pausedUntil}
}

// Ejected reports whether an endpoint is ejected or paused now.
func (e *Ejector) Ejected(now time.Time, id kwid.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.endpoints[id]
	return now.Before(state.ejectedUntil) || now.Before(state.pausedUntil)
}

// Silent reports whether an endpoint is out of use now only because it was silent.
func (e *Ejector) Silent(now time.Time, id kwid.EndpointID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.endpoints[id]
	return state.silent && now.Before(state.ejectedUntil) && !now.Before(state.pausedUntil)
}

func (e *Ejector) ejectedCount(now time.Time) int {
	n := 0
	for _, state := range e.endpoints {
		if now.Before(state.ejectedUntil) {
			n++
		}
	}
	return n
}
