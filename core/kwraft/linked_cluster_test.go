package kwraft_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
)

const (
	// maxFrameBytes is the largest message that the transport carries.
	maxFrameBytes = 32 << 20
	// bulkBytes is the size from which a message travels at the rate of its link; smaller ones pass it.
	bulkBytes   = 16 << 10
	linkLatency = time.Millisecond
	megabit     = 1e6 / 8
)

// linkedMember is a member with its disk; a nil node is down.
type linkedMember struct {
	id   kwid.NodeID
	node *kwraft.Node
	disk kwraft.PersistentState
	// linkFree is when the link to the member has carried its last large message.
	linkFree time.Duration
}

// linkedCluster is a cluster whose links have a rate and carry no message beyond maxFrameBytes.
type linkedCluster struct {
	t              *testing.T
	now            time.Duration
	bytesPerSecond float64
	members        []*linkedMember
	inFlight       []delivery
	// largest is the size of the largest message, in bytes. sent is the size of all messages.
	largest, sent int
	// ledBy holds each leader that has held a lease.
	ledBy map[kwid.NodeID]bool
}

func newLinkedCluster(t *testing.T, bytesPerSecond float64) *linkedCluster {
	t.Helper()
	return newLinkedClusterOf(t, bytesPerSecond, "a", "b", "c")
}

func newLinkedClusterOf(t *testing.T, bytesPerSecond float64, voters ...kwid.NodeID) *linkedCluster {
	t.Helper()
	c := &linkedCluster{t: t, bytesPerSecond: bytesPerSecond, ledBy: make(map[kwid.NodeID]bool)}
	for _, id := range voters {
		m := &linkedMember{id: id, disk: kwraft.Bootstrap(kwraft.Members{Voters: voters})}
		c.members = append(c.members, m)
		c.start(m)
	}
	c.run(4 * time.Second)
	if c.leader() == nil {
		t.Fatal("got no leader, want one")
	}
	return c
}

func (c *linkedCluster) time() time.Time { return time.Unix(1000, 0).Add(c.now) }

func (c *linkedCluster) start(m *linkedMember) {
	m.node = kwraft.New(kwraft.DefaultConfig(m.id, uint64(m.id[0])), c.time(), cloneDisk(m.disk))
}

func (c *linkedCluster) leader() *linkedMember {
	for _, m := range c.members {
		if m.node != nil && m.node.HoldsLease(c.time()) {
			return m
		}
	}
	return nil
}

// followers returns the members other than the leader.
func (c *linkedCluster) followers() []*linkedMember {
	leader := c.leader()
	return slices.DeleteFunc(slices.Clone(c.members), func(m *linkedMember) bool { return m == leader })
}

// messageBytes returns the size of what a message carries.
func messageBytes(m kwraft.Message) int {
	n := 100
	for _, e := range m.Entries {
		n += len(e.Data) + 16
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.State)
	}
	return n
}

func (c *linkedCluster) send(messages []kwraft.Message) {
	for _, m := range messages {
		size := messageBytes(m)
		c.largest = max(c.largest, size)
		c.sent += size
		to := c.member(m.To)
		if size > maxFrameBytes || to == nil || to.node == nil {
			c.report(m, false)
			continue
		}
		at := c.now + linkLatency
		if size >= bulkBytes {
			at = max(c.now, to.linkFree) + time.Duration(float64(size)/c.bytesPerSecond*float64(time.Second))
			to.linkFree = at
			at += linkLatency
		}
		c.inFlight = append(c.inFlight, delivery{at: at, message: m})
	}
}

func (c *linkedCluster) member(id kwid.NodeID) *linkedMember {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// report tells the sender of a message whether it was delivered.
func (c *linkedCluster) report(m kwraft.Message, delivered bool) {
	from := c.member(m.From)
	switch {
	case from.node == nil:
	case delivered:
		from.node.ReportDelivered(c.time(), m)
	default:
		from.node.ReportUndelivered(m)
	}
}

// run lets the cluster work for a time, in steps of a millisecond.
func (c *linkedCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += time.Millisecond {
		var due []kwraft.Message
		c.inFlight = slices.DeleteFunc(c.inFlight, func(e delivery) bool {
			if e.at <= c.now {
				due = append(due, e.message)
			}
			return e.at <= c.now
		})
		for _, m := range due {
			to := c.member(m.To)
			c.report(m, to.node != nil)
			if to.node != nil {
				to.node.Step(c.time(), m)
				c.processReady(to)
			}
		}
		for _, m := range c.members {
			if m.node != nil {
				m.node.Tick(c.time())
				c.processReady(m)
			}
		}
		if l := c.leader(); l != nil {
			c.ledBy[l.id] = true
		}
	}
}

func (c *linkedCluster) processReady(m *linkedMember) {
	for {
		rd := m.node.Ready()
		if rd.Empty() {
			return
		}
		c.send(rd.ImmediateMessages)
		m.disk = cloneDisk(m.node.PersistentState())
		m.node.Persisted(c.time())
		c.send(rd.Messages)
	}
}

// propose has the leader take a change of some bytes.
func (c *linkedCluster) propose(size int) {
	c.t.Helper()
	leader := c.leader()
	if leader == nil {
		c.t.Fatal("got no leader, want one")
	}
	if _, err := leader.node.Propose(c.time(), [][]byte{bytes.Repeat([]byte{1}, size)}); err != nil {
		c.t.Fatal(err)
	}
	c.processReady(leader)
}

func lastIndex(m *linkedMember) kwraft.Index {
	return m.node.Status().LastIndex
}
