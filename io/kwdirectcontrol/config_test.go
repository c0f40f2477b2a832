package kwdirectcontrol

import (
	"testing"
	"time"

	"knapweedproxy/core/kwmembership"
)

// TestSilentEndpointIsNotLost guards against a lease that ends while a sound endpoint sends nothing for a while: it may fall silent just
// before a heartbeat is due, and sends that one when it goes on, which may take a while to arrive.
func TestSilentEndpointIsNotLost(t *testing.T) {
	for _, heartbeat := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
		for _, reported := range []bool{false, true} {
			r := kwmembership.NewRoster(Config{Heartbeat: heartbeat}.rosterConfig())
			now := time.Unix(1000, 0)
			a := kwmembership.Announcement{ID: "m", Address: "m:1", StartedMillis: 1, Sequence: 1}
			r.Announce(now, a)
			if reported {
				r.ReportUnresponsive("m", 1, "entry-1", 2)
				r.ReportUnresponsive("m", 1, "entry-2", 2)
			}
			const silence, delay = 1500 * time.Millisecond, 400 * time.Millisecond
			if lost := r.Expire(now.Add(silence + heartbeat + delay)); len(lost) > 0 {
				t.Errorf("heartbeat %v, reported %t: got the endpoint lost after a silence of %v, want it live", heartbeat, reported, silence)
			}
			if lost := r.Expire(now.Add(silence + 2*delay + 5*heartbeat)); len(lost) != 1 {
				t.Errorf("heartbeat %v, reported %t: got the endpoint live after %v, want it lost", heartbeat, reported, silence+2*delay+5*heartbeat)
			}
		}
	}
}
