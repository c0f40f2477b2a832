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
		t.Errorf("after slow answers: got %v, want about 400ms", got)
	}
	if got := l.Estimate(now.Add(10*time.Second), idleTime); got != idleTime {
		t.Errorf("long after them: got %v, want %v", got, idleTime)
	}
}

// TestLatencyOfSilence replays an endpoint that falls silent: the estimate grows with the age of what waits there, before
// anything has timed out.
func TestLatencyOfSilence(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLatencyEstimator(DefaultLatencyConfig())
	l.Begin(now)
	l.Begin(now.Add(100 * time.Millisecond))
	now = now.Add(600 * time.Millisecond)
	if got, want := l.Estimate(now, idleTime), 600*time.Millisecond; got != want {
		t.Errorf("while requests wait: got %v, want %v", got, want)
	}
	l.End(now, time.Unix(100, 0), false)
	if got, want := l.Estimate(now, idleTime), 500*time.Millisecond; got < want {
		t.Errorf("after one has given up: got %v, want %v at least", got, want)
	}
}
