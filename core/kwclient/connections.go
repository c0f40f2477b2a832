package kwclient

import (
	"container/list"
	"sync"
	"time"
)

// State is what a connection is kept for.
type State uint8

// The states. Connections whose requests are answered are never closed for others.
const (
	// Refused is a connection whose client has got a refusal and has yet to read it.
	Refused State = iota
	// Opening is a connection on which no whole head has come.
	Opening
	// Idle is a connection that is kept for the next request.
	Idle
	// Uploading is a connection whose request waits for its body; the request has not run.
	Uploading
	// Answering is a connection whose request is in progress.
	Answering
	states
)

const (
	// openingGrace is the time in which a new connection may bring its head before it gives way to others: some round trips.
	openingGrace = 200 * time.Millisecond
	// refusedParts is the part of the connections that may wait until their refusals are read; what they send meanwhile is not.
	refusedParts = 16
)

// Connections are the open connections of one listener. They answer a load of clients that open connections without end, or keep them open:
// a new one takes the place of that whose loss costs least. They are safe for concurrent use.
type Connections struct {
	mu    sync.Mutex
	limit int
	// byState holds the connections of each state, those first that are in it for longest.
	byState [states]list.List
	count   int
	evicted int64
	refused int64
}

// Connection is one open connection; Close must be safe to call at any time.
type Connection struct {
	close   func()
	state   State
	element *list.Element
	// since is when the connection came into its state, received how many bytes of a body have come.
	since    time.Time
	received int64
}

// NewConnections returns a table of at most limit connections.
func NewConnections(limit int) *Connections {
	c := &Connections{limit: limit}
	for i := range c.byState {
		c.byState[i].Init()
	}
	return c
}

// Add admits a new connection, which calls close if it must give way later. Victim is a connection that the caller has to close first; nil
// means none. Without room, all connections being answered, it admits none and returns nil.
func (c *Connections) Add(now time.Time, close func()) (admitted, victim *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count >= c.limit {
		if victim = c.leastLoss(now); victim == nil {
			c.refused++
			return nil, nil
		}
		c.remove(victim)
		c.evicted++
	}
	admitted = &Connection{close: close, state: Opening, since: now}
	admitted.element = c.byState[Opening].PushBack(admitted)
	c.count++
	return admitted, victim
}

// Close closes the connection.
func (v *Connection) Close() { v.close() }

// leastLoss returns the connection whose loss costs least, or nil if all are answered. A connection that has just come has time to send its head
// before it counts as one that does not; without idle ones, it and those whose bodies arrive go by their age.
func (c *Connections) leastLoss(now time.Time) *Connection {
	refused, opening, idle, uploading := c.oldest(Refused), c.oldest(Opening), c.oldest(Idle), c.oldest(Uploading)
	switch {
	case refused != nil:
		return refused
	case opening != nil && now.Sub(opening.since) >= openingGrace:
		return opening
	case idle != nil:
		return idle
	case opening == nil || uploading != nil && uploading.since.Before(opening.since):
		return uploading
	}
	return opening
}

// oldest returns the connection that is in a state for longest, or nil.
func (c *Connections) oldest(s State) *Connection {
	if first := c.byState[s].Front(); first != nil {
		return first.Value.(*Connection)
	}
	return nil
}

// Set changes the state of a connection; one that has been removed stays so. Victim is a connection that the caller has to close: of those that
// wait until their refusal is read only a part stays.
func (c *Connections) Set(v *Connection, s State, now time.Time) (victim *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.element == nil || v.state == s {
		return nil
	}
	c.byState[v.state].Remove(v.element)
	v.state, v.since, v.received = s, now, 0
	v.element = c.byState[s].PushBack(v)
	if c.byState[Refused].Len() <= max(1, c.limit/refusedParts) {
		return nil
	}
	victim = c.oldest(Refused)
	c.remove(victim)
	c.evicted++
	return victim
}

// Uploaded counts bytes of a body.
func (c *Connections) Uploaded(v *Connection, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v.received += int64(n)
}

// EvictOpening removes the connection whose head has been open for longest and returns it for the caller to close, or nil if there is none but
// except. It answers open heads that fill the memory for heads: whole ones would be refused meanwhile.
func (c *Connections) EvictOpening(except *Connection) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.byState[Opening].Front(); e != nil; e = e.Next() {
		if v := e.Value.(*Connection); v != except {
			c.remove(v)
			c.evicted++
			return v
		}
	}
	return nil
}

// minUploadAge is how long a body may take before it counts as slow.
const minUploadAge = time.Second

// EvictSlowUpload removes the connection whose body arrives most slowly and returns it for the caller to close, or nil if no body takes longer
// than a second. It answers bodies of which a part arrives and that fill the memory for bodies: sound ones would be refused meanwhile.
func (c *Connections) EvictSlowUpload(now time.Time) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var slowest *Connection
	var slowestRate float64
	for e := c.byState[Uploading].Front(); e != nil; e = e.Next() {
		v := e.Value.(*Connection)
		age := now.Sub(v.since)
		if age < minUploadAge {
			continue
		}
		if rate := float64(v.received) / age.Seconds(); slowest == nil || rate < slowestRate {
			slowest, slowestRate = v, rate
		}
	}
	if slowest != nil {
		c.remove(slowest)
		c.evicted++
	}
	return slowest
}

// Remove takes a closed connection out of the table; it may be called several times.
func (c *Connections) Remove(v *Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(v)
}

func (c *Connections) remove(v *Connection) {
	if v.element == nil {
		return
	}
	c.byState[v.state].Remove(v.element)
	v.element = nil
	c.count--
}

// Usage is the state of a table: its connections, and how many were closed for others or not admitted so far.
type Usage struct {
	Open, Answering  int
	Evicted, Refused int64
}

// Usage returns the present state.
func (c *Connections) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Open: c.count, Answering: c.byState[Answering].Len(), Evicted: c.evicted, Refused: c.refused}
}
