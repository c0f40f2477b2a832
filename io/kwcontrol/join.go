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

// membershipInterval is the interval between membership checks.
const membershipInterval = 300 * time.Millisecond

// maintainMembership asks to join while this member is neither voter nor learner; as the leader it promotes learners.
func (r *Role) maintainMembership(ctx context.Context) error {
	tick := time.NewTicker(membershipInterval)
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
				r.promoteLearner(now, n, status.Members)
			}
		})
		if !status.Members.IsVoter(r.member) && !status.Members.IsLearner(r.member) {
			r.requestAddMember(ctx)
		}
	}
}

// promoteLearner makes a learner a voter if no availability zone then holds a majority of the voters; Raft refuses while
// the learner lacks committed entries.
func (r *Role) promoteLearner(now time.Time, n *kwraft.Node, m kwraft.Members) {
	if len(m.Voters) >= maxVoters {
		return
	}
	for _, id := range m.Learners {
		if !noZoneHoldsMajority(append(m.Voters, id), r.zoneOf) {
			continue
		}
		if _, err := n.ChangeMembers(now, kwraft.MembershipChange{Promote: id}); err == nil {
			return
		}
	}
}

// zoneOf returns the availability zone that the settings give for a member's node.
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

// zoneRuleMinVoters is the smallest number of voters for which noZoneHoldsMajority checks the availability zones: fewer
// cannot keep a quorum when one of them is lost.
const zoneRuleMinVoters = 3

// noZoneHoldsMajority reports whether no availability zone holds more than half of the voters, or there are too few to
// check. An odd number of voters then keeps a quorum when any one zone is lost; an even number may not, as a zone may
// hold exactly half of it.
func noZoneHoldsMajority(voters []kwid.NodeID, zoneOf func(kwid.NodeID) kwid.AvailabilityZone) bool {
	if len(voters) < zoneRuleMinVoters {
		return true
	}
	perZone := make(map[kwid.AvailabilityZone]int)
	for _, id := range voters {
		if zone := zoneOf(id); zone != "" {
			perZone[zone]++
		}
	}
	for _, n := range perZone {
		if n > 1 && n > len(voters)/2 {
			return false
		}
	}
	return true
}

// maxVoters limits how many VMs are dedicated to control.
const maxVoters = 7

// requestAddMember asks every peer to admit this member; only the leader can.
func (r *Role) requestAddMember(ctx context.Context) {
	for _, p := range r.cfg.Peers {
		callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		_ = r.transport.Call(callCtx, p.Address, p.Node, kwagentproto.KindAddMember, kwagentproto.AddMember{Member: r.member}, &kwagentproto.Done{})
		cancel()
	}
}

// onAddMember admits a member to the cluster. A node may only ask for a member of its own.
func (r *Role) onAddMember(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.AddMember
	if err := first.Decode(&req); err != nil {
		return err
	}
	if NodeOf(req.Member) != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s asked to join as %s", s.Peer().Node, req.Member)
	}
	var err error
	r.loop.Log(func(now time.Time, n *kwraft.Node) {
		err = admitMember(now, n, req.Member)
	})
	if err != nil {
		return err
	}
	return s.Send(kwagentproto.KindReply, kwagentproto.Done{})
}

// admitMember adds a member as a learner. An older member of the same node, whose disk was replaced, is removed first,
// and the join then has to be repeated.
func admitMember(now time.Time, n *kwraft.Node, member kwid.NodeID) error {
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
