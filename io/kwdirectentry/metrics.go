package kwdirectentry

import "github.com/rcrowley/go-metrics"

// measures are the counters and latency histograms of an entry.
type measures struct {
	served    metrics.Counter
	rejected  metrics.Counter
	failed    metrics.Counter
	gone      metrics.Counter
	retried   metrics.Counter
	resumed   metrics.Counter
	events    metrics.Counter
	first     metrics.Timer
	pause     metrics.Timer
	plain     metrics.Timer
	waited    metrics.Timer
	viewFails metrics.Counter
}

func newMeasures(r metrics.Registry) measures {
	return measures{
		served:    metrics.GetOrRegisterCounter("requests.served", r),
		rejected:  metrics.GetOrRegisterCounter("requests.rejected", r),
		failed:    metrics.GetOrRegisterCounter("requests.failed", r),
		gone:      metrics.GetOrRegisterCounter("requests.caller-gone", r),
		retried:   metrics.GetOrRegisterCounter("requests.retried", r),
		resumed:   metrics.GetOrRegisterCounter("streams.resumed", r),
		events:    metrics.GetOrRegisterCounter("streams.event-writes", r),
		first:     metrics.GetOrRegisterTimer("streams.first-event", r),
		pause:     metrics.GetOrRegisterTimer("streams.longest-pause", r),
		plain:     metrics.GetOrRegisterTimer("calls.answer", r),
		waited:    metrics.GetOrRegisterTimer("admission.wait", r),
		viewFails: metrics.GetOrRegisterCounter("view.refused", r),
	}
}
