package kwdispatch

import (
	"slices"
	"testing"
	"time"
)

// TestPromisesAreKeptInRush plays a lasting overload of 1.3 times what the fleet serves.
func TestPromisesAreKeptInRush(t *testing.T) {
	testPromises(t, loadPattern{utilization: 1.3, duration: 4 * time.Second})
}

// TestPromisesAreKeptInLongRush plays the same overload for longer than the longest promise.
func TestPromisesAreKeptInLongRush(t *testing.T) {
	testPromises(t, loadPattern{utilization: 1.3, duration: 6 * time.Second})
}

// TestPromisesAreKeptInSurge plays a short overload of twice what the fleet serves.
func TestPromisesAreKeptInSurge(t *testing.T) {
	testPromises(t, loadPattern{utilization: 2, duration: 2 * time.Second})
}

// testPromises plays an overload between calm times. Rejected callers come back at any entry. Under 1 in 10 of those that come back at the
// time they were told may be rejected again.
func testPromises(t *testing.T, p loadPattern) {
	// The longest promise is 4 s.
	p.returnReserve = 0.25
	p.elsewhere, p.before, p.after = true, 2*time.Second, 4500*time.Millisecond
	const minReturned = 100
	for _, entries := range []int{8, 22, 70, 370} {
		got := simulate(entries, p, 1, true)
		slices.Sort(got.promised)
		quantile := func(q float64) time.Duration {
			if len(got.promised) == 0 {
				return 0
			}
			return got.promised[int(q*float64(len(got.promised)-1))].Round(time.Millisecond)
		}
		again := got.returned - got.returnedServed
		t.Logf("%d entries: %d requests, served %.3f, on time %.3f, late %.3f, rejected %.3f, refused by engines %.3f, "+
			"rejected again %d (%d by engines) of %d (%.3f), promised %v, %v, %v",
			entries, got.requests, got.share(got.onTime+got.late+got.returnedServed), got.share(got.onTime), got.share(got.late),
			got.share(got.rejected), got.share(got.refusals),
			again, got.refusedAgain, got.returned, float64(again)/float64(max(1, got.returned)), quantile(0.1), quantile(0.5), quantile(0.9))
		if got.returned < minReturned {
			t.Errorf("%d entries: got %d callers that came back, want %d for the test to tell", entries, got.returned, minReturned)
		}
		if again*10 > got.returned {
			t.Errorf("%d entries: got %d of %d rejected again, want under 1 in 10", entries, again, got.returned)
		}
	}
}

// TestReturnDetector checks which callers of a route count as coming back: those with less time than the others, unless most have.
func TestReturnDetector(t *testing.T) {
	now := time.Unix(100, 0)
	d := NewReturnDetector()
	observe := func(route string, remaining time.Duration, want bool) {
		t.Helper()
		if got := d.Observe(now, route, remaining); got != want {
			t.Errorf("%s with %v left: got %t, want %t", route, remaining, got, want)
		}
	}
	observe("a", 2*time.Second, false)
	observe("a", 1950*time.Millisecond, false)
	observe("a", 1500*time.Millisecond, true)
	observe("a", 0, false)
	observe("b", 1500*time.Millisecond, false)
	for range minCallers {
		d.Observe(now, "b", 500*time.Millisecond)
		d.Observe(now, "a", 2*time.Second)
	}
	observe("b", 500*time.Millisecond, false)
	observe("a", 500*time.Millisecond, true)
	now = now.Add(longestTimeWindow)
	observe("a", 1500*time.Millisecond, true)
	now = now.Add(longestTimeWindow)
	observe("a", 1500*time.Millisecond, false)
}
