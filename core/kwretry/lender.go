package kwretry

import (
	"time"

	"knapweedproxy/core/kwid"
)

// LenderConfig configures a Lender: in any Window, the fleet may send Ratio retries per request, and Burst more.
type LenderConfig struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

const (
	// lentBurstShare is the share of the fleet's burst that is lent to entries that have spent their own share.
	lentBurstShare = 0.4
	// lentRatioShare is the share of the fleet's ratio that is lent.
	lentRatioShare = 0.25
	// loanDelay extends the window, since a loan is used some time after it is granted.
	loanDelay = time.Second
)

// Lender keeps the part of the fleet's budget that is not split between the entries, and lends it to entries on demand. It
// answers the loss of servers: that breaks their streams all at once, at the entries of one availability zone, whose own shares
// cover a part of these streams while the shares of all other entries are unused. It is not safe for concurrent use; the control
// goroutine owns it.
type Lender struct {
	cfg        LenderConfig
	epoch      uint64
	epochStart time.Time
	loans      map[kwid.ServiceName][]time.Time
}

// NewLender returns a Lender. Without a window it lends nothing.
func NewLender(cfg LenderConfig) *Lender {
	if cfg.Window <= 0 {
		cfg.Ratio, cfg.Burst = 0, 0
	}
	return &Lender{cfg: cfg, loans: make(map[kwid.ServiceName][]time.Time)}
}

// Lend grants one retry from the pool of a service, or returns false; requests is the number of requests for the service that
// the entries have reported for their last window. A new leader does not know the loans of its predecessor, so it grants none
// for the length of a window after its epoch has begun.
func (l *Lender) Lend(now time.Time, epoch uint64, service kwid.ServiceName, requests int) bool {
	if epoch != l.epoch || l.epochStart.IsZero() {
		l.epoch, l.epochStart = epoch, now
		clear(l.loans)
	}
	window := l.cfg.Window + loanDelay
	if now.Sub(l.epochStart) < window && epoch > firstEpoch {
		return false
	}
	loans := l.loans[service]
	for len(loans) > 0 && now.Sub(loans[0]) >= window {
		loans = loans[1:]
	}
	l.loans[service] = loans
	if float64(len(loans)+1) > l.cfg.Burst*lentBurstShare+l.cfg.Ratio*lentRatioShare*float64(requests) {
		return false
	}
	l.loans[service] = append(loans, now)
	return true
}

// firstEpoch is the epoch of the first leader of a fleet, which has no predecessor.
const firstEpoch = 1
