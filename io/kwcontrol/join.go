package kwcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwquic"
)

const joinPeriod = 300 * time.Millisecond

// keepJoined asks to be taken in while this member is not part of the membership, and promotes learners as leader.
func (r *Role) keepJoined(ctx context.Context) error {
	tick := time.NewTicker(joinPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var status kwraft.Status
		r.loop.Log(func(now time.Time, n *kwraft.Node) {
			status = n.Status()
			if status.Role == kwraft.Leader {
				r.promote(now, n, status.Members)
			}
		})
		if !status.Members.IsVoter(r.member) && !status.Members.IsLearner(r.member) {
			r.askToJoin(ctx)
		}
	}
}

// promote makes a learner a voter once it holds the committed log and the voters stay spread.
func (r *Role) promote(now time.Time, n *kwraft.Node, m kwraft.Members) {
	if len(m.Voters) >= maxVoters {
		return
	}
	for _, id := range m.Learners {
		if !spread(append(m.Voters, id), r.zoneOf) {
			continue
		}
		if _, err := n.ChangeMembers(now, kwraft.MembershipChange{Promote: id}); err == nil {
			return
		}
	}
}

// zoneOf returns the availability zone of a member's node by the settings.
func (r *Role) zoneOf(member kwid.NodeID) kwid.AvailabilityZone {
	node := NodeOf(member)
	if node == r.cfg.Node {
		return r.cfg.Zone
	}
	for _, p := range r.cfg.Peers {
		if p.Node == node {
			return p.Zone
		}
	}
	return ""
}

// spreadFrom is the number of voters from which the loss of one availability zone must leave a quorum.
const spreadFrom = 3

// spread tells whether no availability zone holds more than half of the voters; an odd number of voters then keeps
// a quorum when any one of them is lost.
func spread(voters []kwid.NodeID, zoneOf func(kwid.NodeID) kwid.AvailabilityZone) bool {
	if len(voters) < spreadFrom {
		return true
	}
	held := make(map[kwid.AvailabilityZone]int)
	for _, id := range voters {
		if zone := zoneOf(id); zone != "" {
			held[zone]++
		}
	}
	for _, n := range held {
		if n > 1 && n > len(voters)/2 {
			return false
		}
	}
	return true
}

// maxVoters bounds the VMs that are set aside for control.
const maxVoters = 7

func (r *Role) askToJoin(ctx context.Context) {
	for _, p := range r.cfg.Peers {
		try, cancel := context.WithTimeout(ctx, dialTimeout)
		_ = r.wire.Call(try, p.Address, p.Node, kwagentproto.KindJoin, kwagentproto.Join{Member: r.member}, &kwagentproto.Done{})
		cancel()
	}
}

// onJoin takes a member in as a learner; an older member of the same node, whose disk is gone, is removed first.
func (r *Role) onJoin(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.Join
	if err := first.Decode(&req); err != nil {
		return err
	}
	if NodeOf(req.Member) != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s asked for %s", s.Peer().Node, req.Member)
	}
	var err error
	r.loop.Log(func(now time.Time, n *kwraft.Node) {
		err = takeIn(now, n, req.Member)
	})
	if err != nil {
		return err
	}
	return s.Send(kwagentproto.KindReply, kwagentproto.Done{})
}

func takeIn(now time.Time, n *kwraft.Node, member kwid.NodeID) error {
	m := n.Status().Members
	if m.IsVoter(member) || m.IsLearner(member) {
		return nil
	}
	for _, id := range append(m.Voters, m.Learners...) {
		if NodeOf(id) == NodeOf(member) {
			_, err := n.ChangeMembers(now, kwraft.MembershipChange{Remove: id})
			return err
		}
	}
	_, err := n.ChangeMembers(now, kwraft.MembershipChange{AddLearner: member})
	return err
}
