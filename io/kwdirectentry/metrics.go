package kwdirectentry

import (
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwhedge"
)

// registerBufferMetrics adds the bytes that requests and answers hold, and how often they were refused more.
func registerBufferMetrics(r metrics.Registry, buffers *kwbuffer.Budget) {
	_ = r.Register("buffers.bytes", metrics.NewFunctionalGauge(func() int64 { return buffers.Usage().Used }))
	_ = r.Register("buffers.refused", metrics.NewFunctionalGauge(func() int64 { return buffers.Usage().Refusals }))
}

// registerHeadMetrics adds the bytes that callers' heads hold.
func registerHeadMetrics(r metrics.Registry, heads *kwbuffer.Budget) {
	_ = r.Register("heads.bytes", metrics.NewFunctionalGauge(func() int64 { return heads.Usage().Used }))
}

// gatewayMetrics holds the counters and timers of an entry.
type gatewayMetrics struct {
	served     metrics.Counter
	rejected   metrics.Counter
	failed     metrics.Counter
	callerGone metrics.Counter
	retried    metrics.Counter
	hedged     metrics.Counter
	// hedgesSent, hedgesWon and hedgesCancelled count hedges, hedgesHeld the requests whose hedge was held back, by reason.
	hedgesSent, hedgesWon, hedgesCancelled metrics.Counter

	hedgesHeld   map[kwhedge.Reason]metrics.Counter
	resumed      metrics.Counter
	eventWrites  metrics.Counter
	firstEvent   metrics.Timer
	longestPause metrics.Timer
	unary        metrics.Timer
	queueWait    metrics.Timer
	viewRefused  metrics.Counter
	quarantined  metrics.Counter
	held         metrics.Counter
	limitWaits   metrics.Counter
	returned     metrics.Counter
	limitRefused metrics.Counter
	// panicked counts the requests whose handling panicked.
	panicked metrics.Counter
	// keysIgnored is 1 while the declaration in force admits requests without keys, else 0.
	keysIgnored metrics.Gauge
}

func newGatewayMetrics(r metrics.Registry) gatewayMetrics {
	held := make(map[kwhedge.Reason]metrics.Counter)
	for _, reason := range kwhedge.Reasons() {
		held[reason] = metrics.GetOrRegisterCounter("hedges.held-back."+string(reason), r)
	}
	return gatewayMetrics{
		hedgesSent:      metrics.GetOrRegisterCounter("hedges.sent", r),
		hedgesWon:       metrics.GetOrRegisterCounter("hedges.won", r),
		hedgesCancelled: metrics.GetOrRegisterCounter("hedges.cancelled", r),
		hedgesHeld:      held,

		served:       metrics.GetOrRegisterCounter("requests.served", r),
		rejected:     metrics.GetOrRegisterCounter("requests.rejected", r),
		failed:       metrics.GetOrRegisterCounter("requests.failed", r),
		callerGone:   metrics.GetOrRegisterCounter("requests.caller-gone", r),
		retried:      metrics.GetOrRegisterCounter("requests.retried", r),
		hedged:       metrics.GetOrRegisterCounter("calls.hedged", r),
		resumed:      metrics.GetOrRegisterCounter("streams.resumed", r),
		eventWrites:  metrics.GetOrRegisterCounter("streams.event-writes", r),
		firstEvent:   metrics.GetOrRegisterTimer("streams.first-event", r),
		longestPause: metrics.GetOrRegisterTimer("streams.longest-pause", r),
		unary:        metrics.GetOrRegisterTimer("calls.answer", r),
		queueWait:    metrics.GetOrRegisterTimer("admission.wait", r),
		viewRefused:  metrics.GetOrRegisterCounter("view.refused", r),
		quarantined:  metrics.GetOrRegisterCounter("requests.quarantined", r),
		held:         metrics.GetOrRegisterCounter("requests.held", r),
		limitWaits:   metrics.GetOrRegisterCounter("requests.limit-waits", r),
		returned:     metrics.GetOrRegisterCounter("requests.returned", r),
		limitRefused: metrics.GetOrRegisterCounter("requests.limit-refused", r),
		panicked:     metrics.GetOrRegisterCounter("requests.panicked", r),
		keysIgnored:  metrics.GetOrRegisterGauge("keys.ignored", r),
	}
}
