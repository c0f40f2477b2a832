package kwretry

import (
	"time"

	"knapweedproxy/core/kwid"
)

// LenderConfig bounds what is lent to the entries: Burst is what the fleet may repeat beyond its ratio in any Window.
type LenderConfig struct {
	Burst  float64
	Window time.Duration
}

const (
	// lentShare of the fleet's burst is lent to entries whose own part is spent.
	lentShare = 0.4
	// lentLife is added to the window, since a loan is used a moment after it was given.
	lentLife = time.Second
)

// Lender keeps the part of the fleet's burst that is not split between the entries, and lends it where it is needed. It
// answers the loss of a stage: all streams through it break off at once, at the few entries that use it, whose own parts
// would cover a tenth of them while the other entries' parts lie idle. It is owned by the control goroutine.
type Lender struct {
	cfg   LenderConfig
	epoch uint64
	began time.Time
	given map[kwid.ServiceName][]time.Time
}

// NewLender returns a Lender; without a window it lends nothing.
func NewLender(cfg LenderConfig) *Lender {
	if cfg.Window <= 0 {
		cfg.Burst = 0
	}
	return &Lender{cfg: cfg, given: make(map[kwid.ServiceName][]time.Time)}
}

// Lend takes one repeat out of the pool of a service, or returns false. A new leadership, named by its epoch, does not know
// what the one before has lent, and waits until that has left the window.
func (l *Lender) Lend(now time.Time, epoch uint64, service kwid.ServiceName) bool {
	if epoch != l.epoch || l.began.IsZero() {
		l.epoch, l.began = epoch, now
		clear(l.given)
	}
	window := l.cfg.Window + lentLife
	if now.Sub(l.began) < window && epoch > firstEpoch {
		return false
	}
	given := l.given[service]
	for len(given) > 0 && now.Sub(given[0]) >= window {
		given = given[1:]
	}
	l.given[service] = given
	if float64(len(given)+1) > l.cfg.Burst*lentShare {
		return false
	}
	l.given[service] = append(given, now)
	return true
}

// firstEpoch is the term of a fleet's first leader, before which nothing was lent.
const firstEpoch = 1
