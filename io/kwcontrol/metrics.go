package kwcontrol

import "github.com/rcrowley/go-metrics"

// sampleSize and sampleDecay set the sample of the batch histogram, weighted to the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// loopMetrics are the figures of the control goroutine.
type loopMetrics struct {
	registry metrics.Registry
	persist  metrics.Timer
	entries  metrics.Histogram
	applied  metrics.Meter
}

func newLoopMetrics() loopMetrics {
	r := metrics.NewRegistry()
	return loopMetrics{
		registry: r,
		persist:  metrics.GetOrRegisterTimer("log.persist", r),
		entries:  metrics.GetOrRegisterHistogram("log.entries-a-sync", r, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		applied:  metrics.GetOrRegisterMeter("log.applied", r),
	}
}
