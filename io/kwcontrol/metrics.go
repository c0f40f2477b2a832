package kwcontrol

import "github.com/rcrowley/go-metrics"

// sampleSize and sampleDecay set the exponentially decaying sample of the entriesPerSync histogram, which is biased
// towards the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// loopMetrics holds the metrics of the control goroutine.
type loopMetrics struct {
	registry       metrics.Registry
	persistTime    metrics.Timer
	entriesPerSync metrics.Histogram
	appliedEntries metrics.Meter
	// panics counts the functions on the control goroutine that have panicked.
	panics metrics.Counter
}

func newLoopMetrics() loopMetrics {
	r := metrics.NewRegistry()
	return loopMetrics{
		registry:       r,
		persistTime:    metrics.GetOrRegisterTimer("log.persist", r),
		entriesPerSync: metrics.GetOrRegisterHistogram("log.entries-a-sync", r, metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		appliedEntries: metrics.GetOrRegisterMeter("log.applied", r),
		panics:         metrics.GetOrRegisterCounter("panics", r),
	}
}
