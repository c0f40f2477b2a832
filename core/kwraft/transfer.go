package kwraft

import (
	"time"

	"knapweedproxy/core/kwid"
)

// transfer is a bulk message on its way to a member: entries or a snapshot.
type transfer struct {
	// after is the index before the entries; last is the index that the member holds once the transfer is complete.
	after, last Index
	// deadline is when the transfer counts as lost.
	deadline time.Time
}

// transferRetryHeartbeats is the number of heartbeat intervals, beyond the time that the slowest link takes, after which an
// unacknowledged transfer is repeated.
const transferRetryHeartbeats = 25

func (n *Node) transferDeadlineAfter(now time.Time, m Message) time.Time {
	onLink := time.Duration(float64(m.DataBytes()) / float64(n.cfg.MinLinkBytesPerSecond) * float64(time.Second))
	return now.Add(transferRetryHeartbeats*n.cfg.HeartbeatInterval + onLink)
}

// mayTransfer reports whether a bulk message may be sent to a member. One that is down would cost the leader a message each time, and
// a bulk message that overtakes a pipelined one is rejected.
func (n *Node) mayTransfer(now time.Time, id kwid.NodeID, p *progress) bool {
	return p.pipelined == 0 && n.silence(now, id) < n.cfg.MinElectionTimeout
}

// abandonTransfer goes back to before the transfer.
func (p *progress) abandonTransfer() {
	p.next = max(p.match, p.transfer.after) + 1
	p.transfer = nil
}

// ReportDelivered tells the leader that the transport has handed a message to its receiver, whose reply is now due.
func (n *Node) ReportDelivered(now time.Time, m Message) {
	if p := n.transferOf(m); p != nil {
		p.transfer.deadline = now.Add(transferRetryHeartbeats * n.cfg.HeartbeatInterval)
	}
}

// ReportUndelivered tells the leader that a message could not be delivered. Its entries are sent again with the next heartbeat.
func (n *Node) ReportUndelivered(m Message) {
	if p := n.transferOf(m); p != nil {
		p.abandonTransfer()
	}
}

// transferOf returns the progress of a message's receiver if the message is its transfer, nil otherwise.
func (n *Node) transferOf(m Message) *progress {
	p, ok := n.peers[m.To]
	if !ok || p.transfer == nil || m.Term != n.hardState.Term {
		return nil
	}
	last := m.Index + Index(len(m.Entries))
	if m.Snapshot != nil {
		last = m.Snapshot.Index
	}
	if last != p.transfer.last {
		return nil
	}
	return p
}
