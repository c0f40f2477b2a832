package kwcontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwwal"
)

// loopCluster runs several loops in one process and delivers their messages.
type loopCluster struct {
	mu    sync.Mutex
	loops map[kwid.NodeID]*Loop
}

// Send delivers a message to the loop that it is addressed to; it is lost if that loop is down.
func (c *loopCluster) Send(m kwraft.Message) {
	c.mu.Lock()
	l := c.loops[m.To]
	c.mu.Unlock()
	if l != nil {
		l.Deliver(m)
	}
}

// start opens and runs a loop for each folder.
func (c *loopCluster) start(t *testing.T, folders map[kwid.NodeID]kwwal.FileSystem) {
	t.Helper()
	members := slices.Sorted(maps.Keys(folders))
	clock := kwhlc.New(kwhlc.Config{})
	loops := make(map[kwid.NodeID]*Loop)
	for i, id := range members {
		l, err := NewLoop(LoopConfig{
			Member: id, Files: folders[id], Bootstrap: true, InitialMembers: members,
			Log: kwraft.DefaultConfig(id, uint64(i+1)), State: kwstatemachine.DefaultConfig(), Timing: DefaultTiming(),
			Roster: kwmembership.RosterConfig{Lease: 4 * time.Second, Retention: time.Minute},
			Events: kwevent.New(kwevent.Config{Node: id, Clock: clock, Log: logr.Discard()}),
			Sender: c,
		})
		if err != nil {
			t.Fatal(err)
		}
		loops[id] = l
	}
	c.mu.Lock()
	c.loops = loops
	c.mu.Unlock()
	for _, l := range loops {
		go func() { _ = l.Run() }()
	}
}

// stop stops all loops.
func (c *loopCluster) stop() {
	c.mu.Lock()
	loops := c.loops
	c.loops = nil
	c.mu.Unlock()
	for _, l := range loops {
		l.Stop()
	}
}

// asLeader runs f on the loop that leads, and waits until one does.
func (c *loopCluster) asLeader(t *testing.T, f func(l *Loop, now time.Time, tables *kwreconcile.Tables)) {
	t.Helper()
	for range 4000 {
		for _, l := range c.loops {
			if l.DoAsLeader(func(now time.Time, tables *kwreconcile.Tables) { f(l, now, tables) }) == nil {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no leader was elected")
}

// TestLeaderKnowsEndpointsAfterFullRestart stops all members and starts them again, without a snapshot. From the first
// moment in which a member leads, its roster must hold the endpoints that were recorded as live, and a heartbeat that a
// departed endpoint sent before it left must not bring that endpoint back.
func TestLeaderKnowsEndpointsAfterFullRestart(t *testing.T) {
	folders := make(map[kwid.NodeID]kwwal.FileSystem)
	for _, id := range []kwid.NodeID{"a@1", "b@1", "c@1"} {
		folders[id] = openFolder(t, t.TempDir())
	}
	live := kwmembership.Announcement{ID: "live", Service: "llm", Address: "x:1", Sequence: 7, StartedMillis: 10}
	departed := kwmembership.Announcement{ID: "departed", Service: "llm", Address: "x:2", Sequence: 5, StartedMillis: 10}
	cluster := &loopCluster{}
	cluster.start(t, folders)
	var leader *Loop
	cluster.asLeader(t, func(l *Loop, _ time.Time, _ *kwreconcile.Tables) { leader = l })
	commands := []kwstatemachine.Command{
		{LiveEndpoints: &kwstatemachine.RecordLiveEndpoints{Live: []kwmembership.Announcement{live}}},
		{Departure: &kwstatemachine.RecordDeparture{Row: kwmembership.RosterRow{Announcement: departed, State: kwmembership.Gone}}},
	}
	for _, command := range commands {
		if got := leader.Propose(context.Background(), command); got.Err != nil {
			t.Fatal(got.Err)
		}
	}
	cluster.stop()

	cluster.start(t, folders)
	defer cluster.stop()
	cluster.asLeader(t, func(_ *Loop, now time.Time, tables *kwreconcile.Tables) {
		if row, ok := tables.Roster.Row(live.ID); !ok || row.State != kwmembership.Live {
			t.Errorf("the endpoint that was recorded as live: got %+v, %t, want it live", row, ok)
		}
		if got := tables.Roster.Announce(now, departed); got != kwmembership.Late {
			t.Errorf("a heartbeat sent before the departure: got %q, want %q", got, kwmembership.Late)
		}
	})
}
