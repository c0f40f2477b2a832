package kwqueue

import (
	"math"
	"time"
)

// LatencyConfig sets how a Latency forgets.
type LatencyConfig struct {
	// AveragingTime is the time over which samples are averaged.
	AveragingTime time.Duration
	// DecayTime is the time over which an average without new samples goes back to the time of an idle endpoint, so that an
	// endpoint that was slow once is tried again.
	DecayTime time.Duration
}

// DefaultLatencyConfig follows a change of load within a second.
func DefaultLatencyConfig() LatencyConfig {
	return LatencyConfig{AveragingTime: 500 * time.Millisecond, DecayTime: 1500 * time.Millisecond}
}

// LatencyEstimator estimates how long a request waits for the first event of a chain, from what requests have met there: the
// queue for reading prompts is the engines' own, and this is how it shows.
type LatencyEstimator struct {
	cfg     LatencyConfig
	average time.Duration
	at      time.Time
	pending []time.Time
}

// NewLatencyEstimator returns an estimate without samples.
func NewLatencyEstimator(cfg LatencyConfig) *LatencyEstimator {
	return &LatencyEstimator{cfg: cfg}
}

// Begin notes a request that waits for its first event.
func (l *LatencyEstimator) Begin(now time.Time) { l.pending = append(l.pending, now) }

// End notes that a request that began at a time waits no longer; got tells that its first event came.
func (l *LatencyEstimator) End(now, began time.Time, got bool) {
	for i, t := range l.pending {
		if t.Equal(began) {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			break
		}
	}
	sample := now.Sub(began)
	if !got && sample < l.average {
		return
	}
	weight := 1.0
	if !l.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(l.at).Seconds()/l.cfg.AveragingTime.Seconds())
	}
	// Samples that come at once count as some milliseconds apart.
	weight = max(weight, leastWeight)
	l.average += time.Duration(weight * float64(sample-l.average))
	l.at = now
}

// leastWeight is the weight of one of many samples that come together.
const leastWeight = 0.1

// Estimate returns the expected wait for a request whose first event takes an idle chain the given time.
func (l *LatencyEstimator) Estimate(now time.Time, idle time.Duration) time.Duration {
	out := idle
	if !l.at.IsZero() {
		kept := math.Exp(-now.Sub(l.at).Seconds() / l.cfg.DecayTime.Seconds())
		out = max(out, time.Duration(kept*float64(l.average)))
	}
	if len(l.pending) > 0 {
		out = max(out, now.Sub(l.pending[0]))
	}
	return out
}
