package kwclient

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestNewConnectionTakesTheLeastValuablePlace replays connections without end against a table with one connection of each state.
func TestNewConnectionTakesTheLeastValuablePlace(t *testing.T) {
	c := NewConnections(int(states))
	byState := make(map[*Connection]State)
	for s := states; s > 0; s-- {
		v, _ := c.Add(func() {})
		c.Set(v, s-1)
		byState[v] = s - 1
	}
	for _, want := range []State{Refused, Opening, Idle, Uploading} {
		admitted, victim := c.Add(func() {})
		if got, ok := byState[victim]; !ok || got != want {
			t.Fatalf("got a victim in state %d, want %d", got, want)
		}
		c.Set(admitted, Answering)
	}
	if admitted, victim := c.Add(func() {}); admitted != nil || victim != nil {
		t.Error("a connection was admitted although all are answered")
	}
	if got, want := c.Usage(), (Usage{Open: int(states), Answering: int(states), Evicted: 4, Refused: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestOldestGivesWayFirst replays a crowd of silent connections: one that has just come has time to send its head.
func TestOldestGivesWayFirst(t *testing.T) {
	c := NewConnections(3)
	var all []*Connection
	for range 10 {
		v, victim := c.Add(func() {})
		all = append(all, v)
		if n := len(all); n > 3 && victim != all[n-4] {
			t.Fatalf("connection %d did not take the place of the oldest", n)
		}
	}
	if v := c.EvictOpening(all[7]); v != all[8] {
		t.Error("the oldest open head but one's own was not closed")
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
				admitted, victim := c.Add(func() {})
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
					if s == Uploading {
						c.BeginUpload(v, now)
					} else {
						c.Set(v, s)
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
	begin := time.Unix(1000, 0)
	fast, _ := c.Add(func() {})
	stalled, _ := c.Add(func() {})
	c.BeginUpload(fast, begin)
	c.BeginUpload(stalled, begin)
	c.Uploaded(fast, 1<<20)
	c.Uploaded(stalled, 1<<10)
	if v := c.EvictSlowUpload(begin.Add(minUploadAge / 2)); v != nil {
		t.Error("a body that has just begun was closed")
	}
	fresh, _ := c.Add(func() {})
	c.BeginUpload(fresh, begin.Add(minUploadAge))
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
