package kwevent

import (
	"sync"
	"time"

	"knapweedproxy/core/kwid"
)

const (
	// limitedPerSecond is how many events of one kind that clients cause at will are logged a second, limitedBurst how many at once.
	limitedPerSecond = 50
	limitedBurst     = 200
)

// limits bounds the events that clients cause at will, by kind.
type limits struct {
	mu      sync.Mutex
	buckets map[ID]*bucket
}

// bucket is the token bucket of one kind of event.
type bucket struct {
	tokens float64
	last   time.Time
	// suppressed counts the events since the last one that was logged.
	suppressed int
}

// take reports whether an event may be logged, and how many of its kind were not since the last one.
func (l *limits) take(id ID, now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[ID]*bucket)
	}
	b := l.buckets[id]
	if b == nil {
		b = &bucket{tokens: limitedBurst, last: now}
		l.buckets[id] = b
	}
	b.tokens = min(limitedBurst, b.tokens+now.Sub(b.last).Seconds()*limitedPerSecond)
	b.last = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// EmitLimited writes an event that clients cause at will: at most 50 of one kind a second and 200 at once. The next one that is written says
// how many were not, as suppressed.
func (e *Emitter) EmitLimited(id ID, request kwid.RequestID, fields ...Field) {
	suppressed, ok := e.limits.take(id, time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields, F("suppressed", suppressed))
	}
	e.Emit(id, request, fields...)
}
