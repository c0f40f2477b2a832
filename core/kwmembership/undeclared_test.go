package kwmembership

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// undeclaredHeartbeat is a heartbeat for a service that no declaration of these tests names at first.
func undeclaredHeartbeat(id kwid.EndpointID, address string, started StartMillis, seq uint64) Announcement {
	a := heartbeat(id, address, started, seq)
	a.Service = "other"
	return a
}

// TestForeignHeartbeatTakesNothing guards against a heartbeat of another writer, for a service that is not declared, that takes a sound
// server out of use by its address or its ID.
func TestForeignHeartbeatTakesNothing(t *testing.T) {
	draining := undeclaredHeartbeat("e1", "x:1", 20, 9)
	draining.Leaving = true
	foreign := map[string]Announcement{
		"address, later start":           undeclaredHeartbeat("t1", "x:1", 20, 1),
		"address, earlier start":         undeclaredHeartbeat("t1", "x:1", 5, 1),
		"address, no start":              undeclaredHeartbeat("t1", "x:1", 0, 1),
		"ID, later start":                undeclaredHeartbeat("e1", "y:1", 20, 1),
		"ID, same start, later sequence": undeclaredHeartbeat("e1", "y:1", 10, 99),
		"ID and address, draining":       draining,
	}
	for name, a := range foreign {
		for _, restored := range []bool{false, true} {
			now := time.Unix(100, 0)
			r := NewRoster(rosterCfg)
			r.SetServices(map[kwid.ServiceName]bool{"llm": true})
			if restored {
				r.RestoreLive(now, []Announcement{heartbeat("e1", "x:1", 10, 1)})
			} else {
				r.Announce(now, heartbeat("e1", "x:1", 10, 1))
			}
			version := r.Version()
			if got := r.Announce(now, a); got != Held {
				t.Errorf("%s, restored %v: got %q, want %q", name, restored, got, Held)
			}
			if got := r.Announce(now, a); got != HeldAgain {
				t.Errorf("%s, restored %v: again: got %q, want %q", name, restored, got, HeldAgain)
			}
			if got := stateOfEndpoint(t, r, "e1"); got != Live || r.Version() != version {
				t.Errorf("%s, restored %v: got state %q at version %d, want %q at %d", name, restored, got, r.Version(), Live, version)
			}
			if got := r.Announce(now, heartbeat("e1", "x:1", 10, 2)); got != Renewed {
				t.Errorf("%s, restored %v: the server's next heartbeat: got %q, want %q", name, restored, got, Renewed)
			}
		}
	}
}

// TestUndeclaredEndpointsJoinWithTheirService checks that servers which announce themselves before the declaration names their service are
// used as soon as it does.
func TestUndeclaredEndpointsJoinWithTheirService(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.SetServices(map[kwid.ServiceName]bool{})
	r.Announce(now, heartbeat("e2", "x:1", 20, 1))
	r.Announce(now, heartbeat("e1", "x:1", 10, 7))
	r.Announce(now, heartbeat("e3", "x:3", 10, 1))
	r.Announce(now, heartbeat("e4", "x:4", 10, 1))
	r.Deregister(now, "e4", 10)
	r.Announce(now.Add(-2*rosterCfg.Lease), undeclaredHeartbeat("t1", "x:9", 10, 1))
	r.Expire(now)
	r.SetServices(map[kwid.ServiceName]bool{"llm": true, "other": true})
	for id, want := range map[kwid.EndpointID]State{"e1": Gone, "e2": Live, "e3": Live, "e4": Gone, "t1": ""} {
		if got := stateOfEndpoint(t, r, id); got != want {
			t.Errorf("%s: got state %q, want %q", id, got, want)
		}
	}
	if lost := r.Expire(now.Add(rosterCfg.Lease + time.Second)); len(lost) != 2 {
		t.Errorf("after the lease since the heartbeats: got %d lost, want 2", len(lost))
	}
}

// TestDroppedServiceKeepsItsEndpoints checks that servers of a service which the declaration has dropped stay known while they go on,
// and claim nothing anew.
func TestDroppedServiceKeepsItsEndpoints(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.SetServices(map[kwid.ServiceName]bool{"llm": true, "other": true})
	r.Announce(now, undeclaredHeartbeat("e1", "x:1", 10, 1))
	r.SetServices(map[kwid.ServiceName]bool{"llm": true})
	if got := r.Announce(now, undeclaredHeartbeat("e1", "x:1", 10, 2)); got != Renewed {
		t.Errorf("the next heartbeat: got %q, want %q", got, Renewed)
	}
	if got := r.Announce(now, undeclaredHeartbeat("e1", "x:1", 11, 1)); got != Held {
		t.Errorf("after a restart: got %q, want %q", got, Held)
	}
	leaving := undeclaredHeartbeat("e1", "x:1", 10, 3)
	leaving.Leaving = true
	if got := r.Announce(now, leaving); got != Accepted || stateOfEndpoint(t, r, "e1") != Leaving {
		t.Errorf("as it drains: got %q and state %q, want %q and %q", got, stateOfEndpoint(t, r, "e1"), Accepted, Leaving)
	}
	// The address is used again by a server of a declared service.
	if got := r.Announce(now, heartbeat("e2", "x:1", 30, 1)); got != Accepted || stateOfEndpoint(t, r, "e1") != Gone {
		t.Errorf("a server at the address: got %q, and %q for the one before, want %q and %q", got, stateOfEndpoint(t, r, "e1"), Accepted, Gone)
	}
}
