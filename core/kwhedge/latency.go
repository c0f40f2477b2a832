package kwhedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyUnit is the resolution of the measured latencies; the fastest calls take about a millisecond.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the longest latency that is told apart; routes allow less.
	maxLatency = 2 * time.Minute
	// latencyDigits gives an error of 1 in 100, for 14 kB a part of the window.
	latencyDigits = 2
	// windowParts is how many parts the window is divided into; the oldest is dropped when the next one begins.
	windowParts = 6
	// A delay is used for delayMaxAge at least once there is one, and until minNews latencies more were measured or a part of the window ends:
	// merging the parts takes tens of microseconds.
	delayMaxAge = time.Second
	minNews     = 10
)

// latencies holds the latencies of a class in a sliding window.
type latencies struct {
	histogram *hdrhistogram.WindowedHistogram
	partBegan time.Time
	lastAt    time.Time
	// delay is the quantile as of delayAt, 0 if too little was measured.
	delay   time.Duration
	delayAt time.Time
	// news counts the latencies since delayAt.
	news int
}

func newLatencies(now time.Time) *latencies {
	return &latencies{
		histogram: hdrhistogram.NewWindowed(windowParts, 1, int64(maxLatency/latencyUnit), latencyDigits),
		partBegan: now,
	}
}

// rotate begins the parts of the window that are due.
func (l *latencies) rotate(now time.Time, window time.Duration) {
	part := window / windowParts
	due := int(now.Sub(l.partBegan) / part)
	for range min(due, windowParts) {
		l.histogram.Rotate()
	}
	if due > 0 {
		l.news = minNews
	}
	l.partBegan = l.partBegan.Add(time.Duration(due) * part)
}

func (l *latencies) record(now time.Time, window, latency time.Duration) {
	l.rotate(now, window)
	l.lastAt = now
	l.news++
	// The only error is a value out of range, which the bounds exclude.
	_ = l.histogram.Current.RecordValue(min(max(1, int64(latency/latencyUnit)), int64(maxLatency/latencyUnit)))
}

// quantile returns the latency that a share of the requests in the window did not exceed, 0 if fewer than least were measured.
func (l *latencies) quantile(now time.Time, window time.Duration, share float64, least int64) time.Duration {
	l.rotate(now, window)
	if l.news < minNews || l.delay > 0 && now.Sub(l.delayAt) < delayMaxAge {
		return l.delay
	}
	l.delay, l.delayAt, l.news = 0, now, 0
	if all := l.histogram.Merge(); all.TotalCount() >= least {
		l.delay = time.Duration(all.ValueAtPercentile(100*share)) * latencyUnit
	}
	return l.delay
}
