package kwhlc

import (
	"fmt"
	"sync"
	"time"
)

// Timestamp is a point in hybrid logical time: Wall is Unix time in microseconds, and Logical orders timestamps with
// the same Wall.
type Timestamp struct {
	Wall    int64  `cbor:"1,keyasint" json:"wall-us"`
	Logical uint32 `cbor:"2,keyasint" json:"logical"`
}

// Before reports whether s is earlier than t.
func (s Timestamp) Before(t Timestamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// String formats the timestamp as microseconds and the logical counter.
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%03d", s.Wall, s.Logical)
}

// Config configures a Clock; Now defaults to time.Now.
type Config struct {
	Now func() time.Time
}

// Clock issues strictly increasing timestamps; it is safe for concurrent use.
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

// Next returns a timestamp later than every timestamp issued or observed before.
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

// Observe advances the clock to a timestamp received with a message, so that the next one issued is later.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
