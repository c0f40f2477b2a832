package kwlimit

import (
	"testing"
	"time"
)

func TestForecast(t *testing.T) {
	now := time.Unix(100, 0)
	f := NewForecast()
	if _, ok := f.Estimate(now, 10); ok {
		t.Error("got an estimate without samples, want none")
	}
	for range minSamples {
		f.Observe(now, time.Second, 3*time.Second, 11)
	}
	got, ok := f.Estimate(now, 100)
	if want := 3 * time.Second; !ok || got < want-time.Millisecond || got > want+time.Millisecond {
		t.Errorf("got %s %t, want %s: responses are not expected to exceed their mean length", got, ok, want)
	}
	got, ok = f.Estimate(now, 1)
	if !ok || got < 999*time.Millisecond || got > 1001*time.Millisecond {
		t.Errorf("got %s %t, want 1s for one token", got, ok)
	}
	if _, ok := f.Estimate(now.Add(maxSampleAge+1), 10); ok {
		t.Error("got an estimate from old samples, want none, so that requests are tried again")
	}
}
