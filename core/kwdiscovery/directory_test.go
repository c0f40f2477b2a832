package kwdiscovery_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwdiscovery"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
)

func newDirectory(self string, seeds ...string) *kwdiscovery.Directory {
	return kwdiscovery.NewDirectory(kwdiscovery.Config{Self: self, AddressOf: addressOf}, seeds)
}

func at(term kwraft.Term, index kwraft.Index) kwraft.Position {
	return kwraft.Position{Term: term, Index: index}
}

func TestLaterMembershipAndNewerLeaderWin(t *testing.T) {
	known := kwdiscovery.Record{Position: at(3, 20), Members: []string{"a", "b"}, Term: 5, Leader: "a"}
	cases := []struct {
		name string
		news kwdiscovery.Record
		want kwdiscovery.Record
	}{
		{"nothing", kwdiscovery.Record{}, known},
		{"an earlier membership in a newer term", kwdiscovery.Record{Position: at(2, 30), Members: []string{"z"}, Term: 6, Leader: "b"}, kwdiscovery.Record{Position: at(3, 20), Members: []string{"a", "b"}, Term: 6, Leader: "b"}},
		{"a later membership in an older term", kwdiscovery.Record{Position: at(3, 21), Members: []string{"b", "c"}, Term: 4, Leader: "z"}, kwdiscovery.Record{Position: at(3, 21), Members: []string{"b", "c"}, Term: 5, Leader: "a"}},
		{"a newer term without a leader", kwdiscovery.Record{Term: 6}, kwdiscovery.Record{Position: at(3, 20), Members: []string{"a", "b"}, Term: 6}},
		{"the same term without a leader", kwdiscovery.Record{Term: 5}, known},
	}
	for _, c := range cases {
		d := newDirectory("x")
		d.Learn(known)
		d.Learn(c.news)
		if got := d.Record(); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestWipedMemberHearsOfLeader guards against a member with a new disk that drops what the leader sends to the member of before, though it
// names the leader: none of its seeds may be reachable.
func TestWipedMemberHearsOfLeader(t *testing.T) {
	d := newDirectory("a", "x", "y")
	if got := d.Hint(); got != "" {
		t.Errorf("a process that knows nobody: got the hint %q, want none", got)
	}
	d.Hear(kwraft.Message{Kind: kwraft.MsgPreVote, From: "b@0", To: "a@0", Term: 3})
	if got := d.Hint(); got != "b" {
		t.Errorf("after a request for a vote: got the hint %q, want b, which knows the members", got)
	}
	d.Hear(kwraft.Message{Kind: kwraft.MsgAppend, From: "c@0", To: "a@0", Term: 3})
	if got := d.Hint(); got != "c" {
		t.Errorf("after an append: got the hint %q, want c, which leads", got)
	}
}

// TestExchangesPerSecond bounds what discovery costs at a seed: it grows with the number of control processes alone.
func TestExchangesPerSecond(t *testing.T) {
	seeds := []string{"x", "y", "z"}
	count := func(d *kwdiscovery.Directory) map[string]int {
		out := make(map[string]int)
		start := time.Unix(1000, 0)
		for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(100 * time.Millisecond) {
			for _, address := range d.Exchanges(now) {
				out[address]++
			}
		}
		return out
	}
	member := newDirectory("a", seeds...)
	status := kwraft.Status{ID: "a@0", Term: 2, Leader: "b@0", Members: kwraft.Members{Voters: []kwid.NodeID{"a@0", "b@0"}}}
	member.UpdateOwn(status, at(2, 1))
	relay := newDirectory("x", seeds...)
	relay.Learn(member.Record())
	lost := newDirectory("x", seeds...)
	lost.UpdateOwn(kwraft.Status{ID: "x@0", Term: 2, Members: kwraft.Members{Voters: []kwid.NodeID{"x@0", "b@0"}}}, at(2, 1))
	stranger := newDirectory("x", seeds...)
	cases := []struct {
		name string
		got  map[string]int
		want map[string]int
	}{
		{"a member tells all its seeds", count(member), map[string]int{"x": 60, "y": 60, "z": 60}},
		{"a relay that knows the members asks one in turn, seldom", count(relay), map[string]int{"a": 3, "b": 3, "y": 3, "z": 3}},
		{"a member without a leader asks one in turn", count(lost), map[string]int{"b": 20, "y": 20, "z": 20}},
		{"a process that knows nobody asks all seeds", count(stranger), map[string]int{"y": 60, "z": 60}},
	}
	for _, c := range cases {
		if fmt.Sprint(c.got) != fmt.Sprint(c.want) {
			t.Errorf("%s, exchanges in a minute: got %v, want %v", c.name, c.got, c.want)
		}
	}
}

// TestNewsOfTheLogIsPassedOnAtOnce has a member see a new leader, and its settings name other seeds.
func TestNewsOfTheLogIsPassedOnAtOnce(t *testing.T) {
	d, now := newDirectory("a", "x"), time.Unix(1000, 0)
	status := kwraft.Status{ID: "a@0", Term: 2, Leader: "b@0", Members: kwraft.Members{Voters: []kwid.NodeID{"a@0", "b@0"}}}
	d.UpdateOwn(status, at(2, 1))
	d.Exchanges(now)
	if got := d.Exchanges(now.Add(time.Millisecond)); len(got) != 0 {
		t.Errorf("without news: got %v, want no exchange", got)
	}
	status.Term, status.Leader = 3, "a@0"
	d.UpdateOwn(status, at(3, 2))
	if got := d.Exchanges(now.Add(2 * time.Millisecond)); !slices.Equal(got, []string{"x"}) {
		t.Errorf("a new leader: got %v, want the seed", got)
	}
	d.SetSeeds([]string{"y"})
	if got := d.Exchanges(now.Add(3 * time.Millisecond)); !slices.Equal(got, []string{"y"}) {
		t.Errorf("another seed: got %v, want it", got)
	}
}

// TestRemovedVoterAsksToJoin guards against a voter that was cut off until another member had taken its place, and never comes back: nobody
// calls it any more, and by its own log it is a voter.
func TestRemovedVoterAsksToJoin(t *testing.T) {
	d := newDirectory("a", "x")
	status := kwraft.Status{ID: "a@0", Term: 2, Members: kwraft.Members{Voters: []kwid.NodeID{"a@0", "b@0", "c@0"}}}
	position := at(2, 5)
	d.UpdateOwn(status, position)
	if d.NeedsToJoin(status, position) {
		t.Error("an election is under way: got a request to join, want none")
	}
	d.Learn(kwdiscovery.Record{Position: at(2, 9), Members: []string{"b", "c", "d"}, Term: 2, Leader: "b"})
	if !d.NeedsToJoin(status, position) {
		t.Error("a later membership does not hold it: got no request to join, want one")
	}
	status.Leader = "b@0"
	if d.NeedsToJoin(status, position) {
		t.Error("the leader calls it: got a request to join, want none")
	}
}
