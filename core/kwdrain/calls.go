package kwdrain

import (
	"container/list"
	"sync"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwretry"
)

// window is for how long the longest answer of a service counts; it counts for up to twice as long.
const window = 30 * time.Second

// Calls knows how long the calls of each service take. It answers calls that arrive late in a planned stop: one that is passed on and cut
// may have run, one that is rejected is served at once by another entry. It is safe for concurrent use.
type Calls struct {
	mu       sync.Mutex
	services map[kwid.ServiceName]*serviceCalls
}

// serviceCalls holds the longest answers of the present and the last window, and the calls in progress, the oldest one first.
type serviceCalls struct {
	windowEnd     time.Time
	longest, last time.Duration
	known         bool
	inProgress    *list.List
}

// Call is a call in progress.
type Call struct {
	service kwid.ServiceName
	began   time.Time
	element *list.Element
}

// NewCalls returns a Calls without any.
func NewCalls() *Calls {
	return &Calls{services: make(map[kwid.ServiceName]*serviceCalls)}
}

// Begin records that a call is sent to a server.
func (c *Calls) Begin(now time.Time, service kwid.ServiceName) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[service]
	if !ok {
		s = &serviceCalls{inProgress: list.New()}
		c.services[service] = s
	}
	call := &Call{service: service, began: now}
	call.element = s.inProgress.PushBack(call)
	return call
}

// End records that a call is over; answered is whether the server has answered it.
func (c *Calls) End(now time.Time, call *Call, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[call.service]
	s.inProgress.Remove(call.element)
	if !answered {
		return
	}
	s.advance(now)
	s.known = true
	s.longest = max(s.longest, now.Sub(call.began))
}

// advance begins a new window once the present one is over.
func (s *serviceCalls) advance(now time.Time) {
	if now.Before(s.windowEnd) {
		return
	}
	s.last = s.longest
	if now.Sub(s.windowEnd) >= window {
		s.last = 0
	}
	s.longest, s.windowEnd = 0, now.Add(window)
}

// Limits are the times of a call of an entry that stops.
type Limits struct {
	// Deadline is that of the caller; DrainEnd is when the entry ends its requests.
	Deadline, DrainEnd time.Time
	// Repeatable means that the caller may send the call again after it was cut.
	Repeatable bool
}

// MayPassOn reports whether a call may be sent to a server by an entry that stops. One whose deadline comes before the end of the drain is
// answered in any case; another one only if even the longest answers end well before, also those that are still in progress: twice as long,
// or after a silence of a sound server. Of a service without any answers nothing is known: then a call is sent if it may be repeated.
func (c *Calls) MayPassOn(now time.Time, service kwid.ServiceName, limits Limits) bool {
	if limits.Deadline.Before(limits.DrainEnd) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[service]
	if !ok || !s.known {
		return limits.Repeatable
	}
	s.advance(now)
	longest := max(s.longest, s.last)
	if oldest := s.inProgress.Front(); oldest != nil {
		longest = max(longest, now.Sub(oldest.Value.(*Call).began))
	}
	return now.Add(longest + max(longest, kwretry.MaxSoundSilence)).Before(limits.DrainEnd)
}
