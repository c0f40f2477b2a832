package kwclient

import (
	"math/rand/v2"
	"testing"
	"time"
)

// begin is when the tests begin.
var begin = time.Unix(1000, 0)

func noClose() {}

// TestNewConnectionTakesTheLeastValuablePlace replays connections without end against a table with connections of each state.
func TestNewConnectionTakesTheLeastValuablePlace(t *testing.T) {
	const each = refusedParts
	c := NewConnections(int(states) * each)
	byState := make(map[*Connection]State)
	for s := states; s > 0; s-- {
		for range each {
			v, _ := c.Add(begin, noClose)
			byState[v] = s - 1
			if victim := c.Set(v, s-1, begin); victim != nil {
				byState[victim] = states
				v, _ = c.Add(begin, noClose)
				c.Set(v, Answering, begin)
				byState[v] = Answering
			}
		}
	}
	now := begin.Add(time.Minute)
	last := Refused
	for {
		admitted, victim := c.Add(now, noClose)
		if admitted == nil {
			break
		}
		got, ok := byState[victim]
		if !ok || got < last || got >= Answering {
			t.Fatalf("got a victim in state %d after one in state %d", got, last)
		}
		last = got
		c.Set(admitted, Answering, now)
	}
	if got := c.Usage(); last != Uploading || got.Answering != int(states)*each || got.Refused != 1 {
		t.Errorf("got %+v, the last victim in state %d, want all answered", got, last)
	}
}

// TestOldestGivesWayFirst replays a crowd of silent connections: one that has just come has time to send its head.
func TestOldestGivesWayFirst(t *testing.T) {
	c := NewConnections(3)
	var all []*Connection
	for i := range 10 {
		v, victim := c.Add(begin.Add(time.Duration(i)*time.Second), noClose)
		all = append(all, v)
		if n := len(all); n > 3 && victim != all[n-4] {
			t.Fatalf("connection %d did not take the place of the oldest", n)
		}
	}
	if v := c.EvictOpening(all[7]); v != all[8] {
		t.Error("the oldest open head but one's own was not closed")
	}
}

// TestNewConnectionsOutliveCrowds replays crowds that fill the table with idle connections, or with requests whose bodies do not arrive, and come
// again at once. A caller that has just come must not give way to the next of the crowd.
func TestNewConnectionsOutliveCrowds(t *testing.T) {
	const limit, turns = 50, 20
	for _, state := range []State{Idle, Uploading} {
		c := NewConnections(limit)
		now := begin
		join := func() (victim *Connection) {
			now = now.Add(10 * time.Microsecond)
			v, victim := c.Add(now, noClose)
			c.Set(v, state, now)
			return victim
		}
		for range 3 * limit {
			join()
		}
		now = now.Add(10 * time.Microsecond)
		caller, _ := c.Add(now, noClose)
		for range turns {
			if join() == caller {
				t.Fatalf("state %d: the caller gave way to the crowd", state)
			}
		}
	}
}

// TestFewRefusedConnectionsStay replays clients that are refused without end and read nothing.
func TestFewRefusedConnectionsStay(t *testing.T) {
	for limit, want := range map[int]int{10 * refusedParts: 10, refusedParts / 2: 1} {
		c := NewConnections(limit)
		for range limit {
			v, _ := c.Add(begin, noClose)
			c.Set(v, Refused, begin)
		}
		if got := c.Usage().Open; got != want {
			t.Errorf("a limit of %d: got %d open connections, want %d", limit, got, want)
		}
	}
}

// TestTableHoldsItsBound replays any order of connections, changes of state and ends.
func TestTableHoldsItsBound(t *testing.T) {
	const limit = 20
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := NewConnections(limit)
		open := make(map[*Connection]bool)
		answering := make(map[*Connection]bool)
		now := time.Unix(1000, 0)
		end := func(v *Connection) {
			if answering[v] {
				t.Fatalf("seed %d: a connection that is answered was closed", seed)
			}
			delete(open, v)
		}
		for range 2000 {
			now = now.Add(100 * time.Millisecond)
			var v *Connection
			for v = range open {
				break
			}
			switch rng.IntN(5) {
			case 0, 1:
				admitted, victim := c.Add(now, noClose)
				if victim != nil {
					end(victim)
				}
				if admitted != nil {
					open[admitted] = true
				} else if len(answering) != limit {
					t.Fatalf("seed %d: refused with %d of %d answered", seed, len(answering), limit)
				}
			case 2:
				if v != nil {
					s := State(rng.IntN(int(states)))
					delete(answering, v)
					if s == Answering {
						answering[v] = true
					}
					if victim := c.Set(v, s, now); victim != nil {
						end(victim)
					}
				}
			case 3:
				if victim := c.EvictSlowUpload(now); victim != nil {
					end(victim)
				}
			case 4:
				if v != nil {
					c.Remove(v)
					c.Remove(v)
					delete(open, v)
					delete(answering, v)
				}
			}
			if got := c.Usage(); got.Open != len(open) || got.Open > limit || got.Answering != len(answering) {
				t.Fatalf("seed %d: got %+v, want %d open and %d answered", seed, got, len(open), len(answering))
			}
		}
	}
}

// TestSlowestUploadGivesWay replays bodies of which a part arrives beside one that comes quickly.
func TestSlowestUploadGivesWay(t *testing.T) {
	c := NewConnections(10)
	fast, _ := c.Add(begin, noClose)
	stalled, _ := c.Add(begin, noClose)
	c.Set(fast, Uploading, begin)
	c.Set(stalled, Uploading, begin)
	c.Uploaded(fast, 1<<20)
	c.Uploaded(stalled, 1<<10)
	if v := c.EvictSlowUpload(begin.Add(minUploadAge / 2)); v != nil {
		t.Error("a body that has just begun was closed")
	}
	fresh, _ := c.Add(begin, noClose)
	c.Set(fresh, Uploading, begin.Add(minUploadAge))
	if v := c.EvictSlowUpload(begin.Add(minUploadAge)); v != stalled {
		t.Error("another one than the slowest body was closed")
	}
}

func TestCapacity(t *testing.T) {
	small := Capacity{MemoryBytes: 284 << 20, Descriptors: 4100}
	if got, want := small.MaxTrafficConnections(), 1755; got != want {
		t.Errorf("a small VM: got %d connections, want %d", got, want)
	}
	if got := (Capacity{}).MaxTrafficConnections(); got != small.MaxTrafficConnections() {
		t.Errorf("unknown: got %d connections, want those of a small VM", got)
	}
	if got := (Capacity{MemoryBytes: 36 << 20, Descriptors: 4100}).MaxTrafficConnections(); got != 256 {
		t.Errorf("little memory: got %d connections, want 256", got)
	}
	if got := (Capacity{Descriptors: 10}).MaxPageConnections(); got != minConnections {
		t.Errorf("few descriptors: got %d connections, want %d", got, minConnections)
	}
}
