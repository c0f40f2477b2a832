package kwqueue

import (
	"testing"
	"time"
)

const idleTime = 40 * time.Millisecond

func TestLatencyFollowsLoad(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLatencyEstimator(DefaultLatencyConfig())
	if got := l.Estimate(now, idleTime); got != idleTime {
		t.Errorf("without samples: got %v, want %v", got, idleTime)
	}
	for range 20 {
		began := now
		l.Begin(began)
		now = now.Add(400 * time.Millisecond)
		l.End(now, began, true)
	}
	if got := l.Estimate(now, idleTime); got < 350*time.Millisecond {
		t.Errorf("after slow responses: got %v, want about 400ms", got)
	}
	if got := l.Estimate(now.Add(10*time.Second), idleTime); got != idleTime {
		t.Errorf("10s after the last sample: got %v, want %v", got, idleTime)
	}
}

// TestLatencyOfUnresponsiveEndpoint checks that the estimate for an endpoint that stops answering grows with the age of its
// oldest pending request, before any request has timed out.
func TestLatencyOfUnresponsiveEndpoint(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLatencyEstimator(DefaultLatencyConfig())
	l.Begin(now)
	l.Begin(now.Add(100 * time.Millisecond))
	now = now.Add(600 * time.Millisecond)
	if got, want := l.Estimate(now, idleTime), 600*time.Millisecond; got != want {
		t.Errorf("with pending requests: got %v, want %v", got, want)
	}
	l.End(now, time.Unix(100, 0), false)
	if got, want := l.Estimate(now, idleTime), 500*time.Millisecond; got < want {
		t.Errorf("after one request has timed out: got %v, want %v at least", got, want)
	}
}
