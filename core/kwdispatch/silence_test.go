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

// TestTryReserve checks that a stream that is to move gets a sound chain with room, or nothing at once.
func TestTryReserve(t *testing.T) {
	fleet := testFleet(1)
	now := time.Unix(1000, 0)
	exclude := func(part string) map[kwid.EndpointID]bool {
		out := make(map[kwid.EndpointID]bool)
		for _, server := range fleet.Servers {
			if strings.Contains(string(server.ID), part) {
				out[server.ID] = true
			}
		}
		return out
	}
	running := func(d *Dispatcher) (n int) {
		for _, load := range d.Loads().Own() {
			n += load.Running
		}
		return n
	}
	never := func(*Dispatcher) {}
	fill := func(d *Dispatcher) {
		for d.Dispatch(now, fleet, request(now)).Granted {
		}
	}
	// queue leaves a chain free and a request waiting.
	queue := func(d *Dispatcher) {
		first := d.Dispatch(now, fleet, request(now))
		fill(d)
		d.Release(now, first.Chain, requestTokens)
	}
	cases := []struct {
		name    string
		silent  string
		prepare func(*Dispatcher)
		set     func(*Request)
		want    bool
	}{
		{"none excluded", "none", never, func(*Request) {}, true},
		{"one zone excluded", "none", never, func(r *Request) { r.Excluded = exclude("a-") }, true},
		{"all first servers excluded", "none", never, func(r *Request) { r.Excluded = exclude("-0") }, false},
		{"no first server reached", "none", never, func(r *Request) { r.Unreached = exclude("-0") }, false},
		{"all first servers silent", "-0", never, func(*Request) {}, false},
		{"no room", "none", fill, func(r *Request) { r.Broken = true }, false},
		{"requests wait", "none", queue, func(*Request) {}, false},
		{"requests wait, the answer has begun", "none", queue, func(r *Request) { r.Broken = true }, true},
	}
	for _, c := range cases {
		silent := func(_ time.Time, id kwid.EndpointID) bool { return strings.Contains(string(id), c.silent) }
		d := New(Config{Zone: "a", Queue: kwqueue.DefaultConfig(), Silent: silent, Unavailable: silent})
		c.prepare(d)
		waiting, reserved := d.Waiting(), running(d)
		r := request(now)
		c.set(&r)
		if _, got := d.TryReserve(now, fleet, r); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
		if got := d.Waiting(); got != waiting {
			t.Errorf("%s: got %d requests in the queue, want %d", c.name, got, waiting)
		}
		if got := running(d) > reserved; got != c.want {
			t.Errorf("%s: got a reservation %t, want %t", c.name, got, c.want)
		}
	}
}
