package kwmembership

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

var rosterCfg = RosterConfig{Lease: 5 * time.Second, Retention: time.Minute}

func heartbeat(id kwid.EndpointID, address string, started StartMillis, seq uint64) Announcement {
	return Announcement{ID: id, Service: "llm", Address: address, Zone: "a", Sequence: seq, StartedMillis: started}
}

func stateOfEndpoint(t *testing.T, r *Roster, id kwid.EndpointID) State {
	t.Helper()
	row, ok := r.Row(id)
	if !ok {
		return ""
	}
	return row.State
}

func TestRosterHeartbeats(t *testing.T) {
	now := time.Unix(100, 0)
	leaving := heartbeat("e1", "x:1", 10, 5)
	leaving.Leaving = true
	type step struct {
		a    Announcement
		want HeartbeatResult
	}
	cases := []struct {
		name  string
		steps []step
		id    kwid.EndpointID
		want  State
	}{
		{"renewed", []step{{heartbeat("e1", "x:1", 10, 1), Accepted}, {heartbeat("e1", "x:1", 10, 2), Renewed}}, "e1", Live},
		{"reordered", []step{{heartbeat("e1", "x:1", 10, 2), Accepted}, {heartbeat("e1", "x:1", 10, 1), Late}}, "e1", Live},
		{"late after draining", []step{{leaving, Accepted}, {heartbeat("e1", "x:1", 10, 4), Late}}, "e1", Leaving},
		{"started again", []step{{leaving, Accepted}, {heartbeat("e1", "x:1", 11, 1), Accepted}}, "e1", Live},
		{"earlier process", []step{{heartbeat("e1", "x:1", 11, 1), Accepted}, {heartbeat("e1", "x:1", 10, 9), Late}}, "e1", Live},
		{"address taken over", []step{{heartbeat("e1", "x:1", 10, 1), Accepted}, {heartbeat("e2", "x:1", 20, 1), Accepted}}, "e1", Gone},
		{"delayed by a partition", []step{{heartbeat("e2", "x:1", 20, 1), Accepted}, {heartbeat("e1", "x:1", 10, 9), Late}}, "e1", ""},
	}
	for _, c := range cases {
		r := NewRoster(rosterCfg)
		for i, s := range c.steps {
			if got := r.Announce(now, s.a); got != s.want {
				t.Errorf("%s, heartbeat %d: got %q, want %q", c.name, i, got, s.want)
			}
		}
		if got := stateOfEndpoint(t, r, c.id); got != c.want {
			t.Errorf("%s: state got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestRosterDeregister(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.Announce(now, heartbeat("e1", "x:1", 10, 1))
	if r.Deregister(now, "e1", 9) {
		t.Errorf("the departure of an earlier process changed the roster")
	}
	if !r.Deregister(now, "e1", 10) || stateOfEndpoint(t, r, "e1") != Gone {
		t.Errorf("state after the departure: got %q, want %q", stateOfEndpoint(t, r, "e1"), Gone)
	}
	if got := r.Announce(now, heartbeat("e1", "x:1", 10, 2)); got != Late {
		t.Errorf("a heartbeat after the departure: got %q, want %q", got, Late)
	}
	if got := r.Announce(now, heartbeat("e1", "x:1", 12, 1)); got != Accepted {
		t.Errorf("a heartbeat of the next process: got %q, want %q", got, Accepted)
	}
	r.Deregister(now, "e9", 0)
	if got := r.Announce(now, heartbeat("e9", "x:9", 0, 3)); got != Late {
		t.Errorf("a heartbeat received after the departure of an unknown endpoint: got %q, want %q", got, Late)
	}
}

// TestMissingStartReplacesNoStart guards against a heartbeat or deregistration that does not say when its process started and counts as one of a
// later process.
func TestMissingStartReplacesNoStart(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.Announce(now, heartbeat("e1", "x:1", 10, 1))
	for name, a := range map[string]Announcement{
		"its ID":                  heartbeat("e1", "x:1", 0, 9),
		"its ID, another address": heartbeat("e1", "x:2", 0, 9),
		"its address":             heartbeat("e2", "x:1", 0, 9),
	} {
		if got := r.Announce(now, a); got != Late {
			t.Errorf("heartbeat without a start, %s: got %q, want %q", name, got, Late)
		}
	}
	if got := r.Announce(now, heartbeat("e1", "x:1", 10, 2)); got != Renewed {
		t.Errorf("heartbeat of the known process: got %q, want %q", got, Renewed)
	}
	if !r.Deregister(now, "e1", 0) || stateOfEndpoint(t, r, "e1") != Gone {
		t.Errorf("deregistration without a start: got state %q, want %q", stateOfEndpoint(t, r, "e1"), Gone)
	}
	if got := r.Announce(now, heartbeat("e1", "x:1", 10, 3)); got != Late {
		t.Errorf("heartbeat of the process that left: got %q, want %q", got, Late)
	}
	if got := r.Announce(now, heartbeat("e1", "x:1", 11, 1)); got != Accepted {
		t.Errorf("heartbeat of the next process: got %q, want %q", got, Accepted)
	}
}

func TestRosterExpires(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.Announce(now, heartbeat("e1", "x:1", 10, 1))
	r.Announce(now.Add(4*time.Second), heartbeat("e2", "x:2", 10, 1))
	lost := r.Expire(now.Add(6 * time.Second))
	if len(lost) != 1 || lost[0].Announcement.ID != "e1" {
		t.Fatalf("lost: got %v, want e1", lost)
	}
	if got := r.Announce(now.Add(7*time.Second), heartbeat("e1", "x:1", 10, 2)); got != Accepted {
		t.Errorf("a heartbeat of a lost endpoint: got %q, want %q", got, Accepted)
	}
	r.Expire(now.Add(10 * time.Minute))
	r.Expire(now.Add(20 * time.Minute))
	if rows := r.Since(0); len(rows) != 0 {
		t.Errorf("rows after the retention time: got %v, want none", rows)
	}
}

func TestRosterSince(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.Announce(now, heartbeat("e1", "x:1", 10, 1))
	before := r.Version()
	r.Announce(now, heartbeat("e1", "x:1", 10, 2))
	if rows := r.Since(before); len(rows) != 0 {
		t.Errorf("got changed rows %v after a renewal, want none", rows)
	}
	r.Announce(now, heartbeat("e2", "x:2", 10, 1))
	if rows := r.Since(before); len(rows) != 1 || rows[0].Announcement.ID != "e2" {
		t.Errorf("changes: got %v, want e2", rows)
	}
}

// TestRestoredRosterIgnoresLateHeartbeats restores a roster after a change of leader: heartbeats from before an
// endpoint drained or left must not bring it back.
func TestRestoredRosterIgnoresLateHeartbeats(t *testing.T) {
	now := time.Unix(100, 0)
	first := NewRoster(rosterCfg)
	draining := heartbeat("e1", "x:1", 10, 5)
	draining.Leaving = true
	first.Announce(now, draining)
	first.Announce(now, heartbeat("e2", "x:2", 10, 5))
	first.Deregister(now, "e2", 10)
	next := NewRoster(rosterCfg)
	next.RestoreDeparting(now, first.Since(0))
	for _, a := range []Announcement{heartbeat("e1", "x:1", 10, 4), heartbeat("e2", "x:2", 10, 9)} {
		if got := next.Announce(now, a); got != Late {
			t.Errorf("%s at the next leader: got %q, want %q", a.ID, got, Late)
		}
	}
	if got := stateOfEndpoint(t, next, "e1"); got != Leaving {
		t.Errorf("e1 at the next leader: got %q, want %q", got, Leaving)
	}
	if got := next.Announce(now, heartbeat("e3", "x:1", 30, 1)); got != Accepted {
		t.Errorf("a successor at the address: got %q, want %q", got, Accepted)
	}
}

// TestRosterRefusal reports refused connections, as after a crash or during a partition between some entries and a
// healthy endpoint. Two entries make the endpoint lost at once, one alone does not; after a heartbeat the endpoint is
// live, and further reports are ignored for a while.
func TestRosterRefusal(t *testing.T) {
	now := time.Unix(100, 0)
	r := NewRoster(rosterCfg)
	r.Announce(now, heartbeat("e1", "x:1", 10, 1))
	steps := []struct {
		name  string
		after time.Duration
		do    func(now time.Time) bool
		want  bool
		state State
	}{
		{"one entry", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "a", 2) }, false, Live},
		{"the same entry", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "a", 2) }, false, Live},
		{"another entry, for an earlier process", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 9, "b", 2) }, false, Live},
		{"another entry, too late", 2 * time.Second, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "b", 2) }, false, Live},
		{"both", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "a", 2) }, true, Lost},
		{"a heartbeat", 0, func(now time.Time) bool { return r.Announce(now, heartbeat("e1", "x:1", 10, 2)) == Accepted }, true, Live},
		{"one entry again", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "a", 2) }, false, Live},
		{"both entries, soon after the heartbeat", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "b", 2) }, false, Live},
		{"one entry, long after the heartbeat", 20 * time.Second, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "a", 2) }, false, Live},
		{"a heartbeat between two reports", 0, func(now time.Time) bool { return r.Announce(now, heartbeat("e1", "x:1", 10, 3)) == Renewed }, true, Live},
		{"another entry, after that heartbeat", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e1", 10, "b", 2) }, false, Live},
		{"an unknown endpoint", 0, func(now time.Time) bool { return r.ReportRefusal(now, "e9", 10, "b", 1) }, false, Live},
	}
	for _, s := range steps {
		now = now.Add(s.after)
		if got := s.do(now); got != s.want {
			t.Errorf("%s: got %t, want %t", s.name, got, s.want)
		}
		if got := stateOfEndpoint(t, r, "e1"); got != s.state {
			t.Errorf("%s: state got %q, want %q", s.name, got, s.state)
		}
	}
}

// TestRosterUnresponsive has entries report that they cannot reach an endpoint. It must be lost soon only if enough of them do and
// its heartbeats have stopped as well: a server that is only cut off from some entries, or only late to report, is kept.
func TestRosterUnresponsive(t *testing.T) {
	const witnesses = 2
	start := time.Unix(1000, 0)
	cases := []struct {
		name      string
		reporters []kwid.NodeID
		heartbeat time.Duration
		silence   time.Duration
		want      State
	}{
		{"silent, nobody reports", nil, 0, 3 * time.Second, Live},
		{"silent, one entry reports", []kwid.NodeID{"a", "a"}, 0, 3 * time.Second, Live},
		{"silent, two entries report", []kwid.NodeID{"a", "b"}, 0, 1400 * time.Millisecond, Lost},
		{"two entries report, not silent for long", []kwid.NodeID{"a", "b"}, 0, 1200 * time.Millisecond, Live},
		{"two entries report, then a heartbeat", []kwid.NodeID{"a", "b"}, 500 * time.Millisecond, 3 * time.Second, Live},
		{"silent for the whole lease", nil, 0, 4100 * time.Millisecond, Lost},
	}
	for _, c := range cases {
		r := NewRoster(RosterConfig{Lease: 4 * time.Second, SuspectLease: 1300 * time.Millisecond, Retention: time.Minute})
		a := Announcement{ID: "e1", Address: "x:1", Sequence: 1, StartedMillis: 10}
		r.Announce(start, a)
		for _, reporter := range c.reporters {
			r.ReportUnresponsive("e1", 10, reporter, witnesses)
			r.ReportUnresponsive("e1", 9, "an entry that means an earlier process "+reporter, witnesses)
		}
		if c.heartbeat > 0 {
			a.Sequence++
			r.Announce(start.Add(c.heartbeat), a)
		}
		r.Expire(start.Add(c.silence))
		row, _ := r.Row("e1")
		if row.State != c.want {
			t.Errorf("%s: got %v, want %v", c.name, row.State, c.want)
		}
		a.Sequence++
		if r.Announce(start.Add(c.silence), a); c.want == Lost {
			if row, _ := r.Row("e1"); row.State != Live {
				t.Errorf("%s, then a heartbeat: got %v, want %v", c.name, row.State, Live)
			}
		}
	}
}
