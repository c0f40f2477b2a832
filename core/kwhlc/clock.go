package kwhlc

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is one point in hybrid logical time; Wall is Unix time in microseconds.
type Timestamp struct {
	Wall    int64  `cbor:"1,keyasint" json:"wall-us"`
	Logical uint32 `cbor:"2,keyasint" json:"logical"`
}

// Before tells whether s orders before t.
func (s Timestamp) Before(t Timestamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// String formats the stamp as microseconds and the logical counter.
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%03d", s.Wall, s.Logical)
}

// Config holds what a Clock needs; Now defaults to time.Now.
type Config struct {
	Now func() time.Time
}

// Clock hands out stamps that never go back; it is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// New returns a Clock.
func New(cfg Config) *Clock {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Clock{now: cfg.Now}
}

// Next returns a stamp later than every stamp given out or observed before.
func (c *Clock) Next() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMicro()
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe moves the clock past a stamp that arrived with a message.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
