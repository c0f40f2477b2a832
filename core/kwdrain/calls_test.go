package kwdrain

import (
	"testing"
	"time"
)

// TestLateCallsOfADrain replays calls that arrive in a drain of 4 s, beside answers of 0.9 s of which a fifth takes three times as long.
func TestLateCallsOfADrain(t *testing.T) {
	now := time.Unix(1000, 0)
	const s, ms = time.Second, time.Millisecond
	cases := []struct {
		name         string
		answers      []time.Duration
		silentFor    time.Duration
		idle         time.Duration
		left, caller time.Duration
		want         bool
	}{
		{"deadline before the end", nil, 0, 0, 4 * s, 3 * s, true},
		{"nothing known", nil, 0, 0, 4 * s, 20 * s, false},
		{"nothing known, drain over", nil, 0, 0, 0, 20 * s, false},
		{"short answers", []time.Duration{20 * ms, 500 * ms}, 0, 0, 4 * s, 20 * s, true},
		{"short answers, close to the end", []time.Duration{20 * ms, 500 * ms}, 0, 0, 900 * ms, 20 * s, false},
		{"a fifth takes long", []time.Duration{900 * ms, 900 * ms, 2700 * ms, 900 * ms}, 0, 0, 4 * s, 20 * s, false},
		{"a fifth takes long, long drain", []time.Duration{900 * ms, 900 * ms, 2700 * ms, 900 * ms}, 0, 0, 8 * s, 20 * s, true},
		{"a server is silent", []time.Duration{20 * ms}, 3 * s, 0, 4 * s, 20 * s, false},
		{"a long answer of the window before", []time.Duration{2700 * ms}, 0, 40 * s, 4 * s, 20 * s, false},
		{"a long answer of long ago", []time.Duration{2700 * ms, 20 * ms}, 0, 5 * time.Minute, 4 * s, 20 * s, true},
	}
	for _, c := range cases {
		calls, at := NewCalls(), now
		for _, d := range c.answers {
			call := calls.Begin(at, "records")
			at = at.Add(d)
			calls.End(at, call, true)
		}
		silent := calls.Begin(at, "records")
		at = at.Add(c.silentFor)
		if c.silentFor == 0 {
			calls.End(at, silent, false)
		}
		at = at.Add(c.idle)
		if got := calls.MayPassOn(at, "records", Limits{Deadline: at.Add(c.caller), DrainEnd: at.Add(c.left)}); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	if !NewCalls().MayPassOn(now, "records", Limits{Deadline: now.Add(20 * s), DrainEnd: now.Add(s), Repeatable: true}) {
		t.Error("nothing known of a call that may be repeated: got false, want true")
	}
}
