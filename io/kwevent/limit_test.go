package kwevent

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwhlc"
)

// TestLimitedEvents replays a crowd that causes 1,000 events a second for ten seconds, and a single one afterwards.
func TestLimitedEvents(t *testing.T) {
	const perSecond, seconds = 1000, 10
	var l limits
	begin := time.Unix(1000, 0)
	written, suppressed := 0, 0
	for i := range perSecond * seconds {
		if n, ok := l.take(RequestRefused, begin.Add(time.Duration(i)*time.Second/perSecond)); ok {
			written++
			suppressed += n
		}
	}
	if want := limitedBurst + seconds*limitedPerSecond; written > want || written < want-2 {
		t.Errorf("got %d events, want %d", written, want)
	}
	n, ok := l.take(RequestRefused, begin.Add(2*seconds*time.Second))
	if !ok || written+suppressed+n != perSecond*seconds {
		t.Errorf("afterwards: got %v with %d suppressed, want all %d events written or counted", ok, n, perSecond*seconds)
	}
	if _, ok := l.take(MessageRefused, begin); !ok {
		t.Error("an event of another kind was suppressed")
	}
}

func TestEmitLimitedCountsWhatItLeavesOut(t *testing.T) {
	e := New(Config{Node: "a", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard()})
	for range 2 * limitedBurst {
		e.EmitLimited(RequestRefused, "")
	}
	if got := len(e.Records()); got < limitedBurst || got >= 2*limitedBurst {
		t.Errorf("got %d records, want about %d", got, limitedBurst)
	}
}
