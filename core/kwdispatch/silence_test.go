package kwdispatch

import (
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
)

// TestSilentEndpointsAreBetterThanNone checks when a request may use endpoints that are out of use because they were silent.
func TestSilentEndpointsAreBetterThanNone(t *testing.T) {
	cases := []struct {
		name string
		// silent and failed are parts of the IDs of endpoints that are out of use.
		silent, failed string
		wantGranted    bool
		wantSilent     bool
	}{
		{"all sound", "none", "none", true, false},
		{"the first servers of one zone silent", "a-", "none", true, false},
		{"all first servers silent", "-0", "none", true, true},
		{"all first servers failed", "none", "-0", false, false},
		{"a silent chain, the servers of the others failed", "fast-0", "slow", true, true},
		{"a silent chain that has failed besides, the others sound", "fast-0", "fast-1", true, false},
	}
	for _, c := range cases {
		silent := func(_ time.Time, id kwid.EndpointID) bool { return strings.Contains(string(id), c.silent) }
		d := New(Config{
			Zone: "a", Queue: kwqueue.DefaultConfig(), Silent: silent,
			Unavailable: func(now time.Time, id kwid.EndpointID) bool {
				return silent(now, id) || strings.Contains(string(id), c.failed)
			},
		})
		now := time.Unix(1000, 0)
		got := d.Dispatch(now, testFleet(20), request(now))
		if got.Granted != c.wantGranted {
			t.Errorf("%s: got granted %t, want %t", c.name, got.Granted, c.wantGranted)
			continue
		}
		usesSilent := false
		for _, stage := range got.Chain.Stages {
			usesSilent = usesSilent || silent(now, stage.Endpoint)
		}
		if usesSilent != c.wantSilent {
			t.Errorf("%s: got a chain with a silent endpoint %t, want %t", c.name, usesSilent, c.wantSilent)
		}
	}
}
