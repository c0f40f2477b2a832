package kwqueue

import (
	"math"
	"time"
)

// LatencyConfig configures a LatencyEstimator.
type LatencyConfig struct {
	// AveragingTime is the time constant of the moving average of the samples.
	AveragingTime time.Duration
	// DecayTime is the time constant with which the average decays to the idle latency while there are no new samples, so
	// that an endpoint that was slow once is tried again.
	DecayTime time.Duration
}

// DefaultLatencyConfig returns a configuration that follows a change of load within a second.
func DefaultLatencyConfig() LatencyConfig {
	return LatencyConfig{AveragingTime: 500 * time.Millisecond, DecayTime: 1500 * time.Millisecond}
}

// LatencyEstimator estimates the time to the first event of a chain from the times that earlier requests have seen there.
// Engines do not report their internal prefill queue, so this latency is the only sign of it.
type LatencyEstimator struct {
	cfg     LatencyConfig
	average time.Duration
	updated time.Time
	pending []time.Time
}

// NewLatencyEstimator returns an estimator without samples.
func NewLatencyEstimator(cfg LatencyConfig) *LatencyEstimator {
	return &LatencyEstimator{cfg: cfg}
}

// Begin records that a request has been sent and waits for its first event.
func (l *LatencyEstimator) Begin(now time.Time) { l.pending = append(l.pending, now) }

// End records that the request begun at the given time no longer waits. received reports whether its first event arrived; the
// wait of a request that ended without one is only a lower bound, so it counts only if it exceeds the average.
func (l *LatencyEstimator) End(now, began time.Time, received bool) {
	for i, t := range l.pending {
		if t.Equal(began) {
			l.pending = append(l.pending[:i], l.pending[i+1:]...)
			break
		}
	}
	sample := now.Sub(began)
	if !received && sample < l.average {
		return
	}
	weight := 1.0
	if !l.updated.IsZero() {
		weight = 1 - math.Exp(-now.Sub(l.updated).Seconds()/l.cfg.AveragingTime.Seconds())
	}
	// Samples that arrive at the same time still count, as if they were some milliseconds apart.
	weight = max(weight, minSampleWeight)
	l.average += time.Duration(weight * float64(sample-l.average))
	l.updated = now
}

// minSampleWeight is the weight of a sample that arrives together with others.
const minSampleWeight = 0.1

// Estimate returns the expected time to the first event, given that of an idle chain. It is never less than the idle time or
// the age of the oldest pending request.
func (l *LatencyEstimator) Estimate(now time.Time, idle time.Duration) time.Duration {
	estimate := idle
	if !l.updated.IsZero() {
		decay := math.Exp(-now.Sub(l.updated).Seconds() / l.cfg.DecayTime.Seconds())
		estimate = max(estimate, time.Duration(decay*float64(l.average)))
	}
	if len(l.pending) > 0 {
		estimate = max(estimate, now.Sub(l.pending[0]))
	}
	return estimate
}
