package kwdirectcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// handleRaft delivers messages of the replicated log. Those to an earlier member on this VM only tell who the members are.
func (s *Server) handleRaft(_ context.Context, body kwtcprpc.Body) (any, error) {
	var batch kwdirectproto.RaftBatch
	if err := body.Decode(&batch); err != nil {
		return nil, err
	}
	m := s.member.Load()
	if m == nil {
		s.discovery.hear(batch.Messages)
		return nil, s.discovery.notLeader()
	}
	for _, msg := range batch.Messages {
		if msg.To == m.id {
			m.loop.Deliver(msg)
		} else {
			s.discovery.hear([]kwraft.Message{msg})
		}
	}
	return nil, nil
}

// handleAddMember adds a member to the replicated log as a learner, if this process leads.
func (s *Server) handleAddMember(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.AddMember
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	m := s.member.Load()
	if m == nil {
		return nil, s.discovery.notLeader()
	}
	if err := s.runAsLeader(ctx, func(time.Time, *kwreconcile.Tables) {}); err != nil {
		return nil, err
	}
	var err error
	m.loop.Log(func(now time.Time, n *kwraft.Node) {
		err = addLearner(now, n, req.Member)
	})
	if err != nil {
		return nil, err
	}
	s.deps.Events.Emit(kwevent.MemberJoins, "", kwevent.F("member", req.Member))
	return nil, nil
}

// addLearner adds member as a learner. A learner of the same VM, whose disk has been replaced, is removed first; the
// caller tries again to add the new one. A voter of the same VM stays until the autopilot replaces it by the learner,
// once that has caught up.
func addLearner(now time.Time, n *kwraft.Node, member kwid.NodeID) error {
	m := n.Status().Members
	if m.IsVoter(member) || m.IsLearner(member) {
		return nil
	}
	for _, id := range m.Learners {
		if kwcontrol.NodeOf(id) == kwcontrol.NodeOf(member) {
			_, err := n.ChangeMembers(now, kwraft.MembershipChange{Remove: id})
			return err
		}
	}
	_, err := n.ChangeMembers(now, kwraft.MembershipChange{AddLearner: member})
	return err
}

// Announce passes an endpoint's heartbeat to the leader; nil means that the leader has processed it.
func (s *Server) Announce(ctx context.Context, a kwmembership.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.callLeader(ctx, kwdirectproto.KindAnnounce, func(ctx context.Context) error { return s.announce(ctx, a) }, a, nil)
}

func (s *Server) handleAnnounce(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var a kwmembership.Announcement
	if err := body.Decode(&a); err != nil {
		return nil, err
	}
	return nil, s.announce(ctx, a)
}

func (s *Server) announce(ctx context.Context, a kwmembership.Announcement) error {
	result := kwmembership.Renewed
	err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		s.placer.syncServices(t)
		result = t.Roster.Announce(now, a)
		row, _ := t.Roster.Row(a.ID)
		// The endpoint may have said in an answer, but not in its heartbeat, that it leaves.
		a.Leaving = a.Leaving || row.ReportedLeaving && row.Announcement.Process() == a.Process()
	})
	inRoster := result == kwmembership.Accepted || result == kwmembership.Renewed
	if err == nil && a.Leaving && inRoster {
		err = s.recordDeparture(ctx, a.ID)
	}
	if err != nil || result == kwmembership.Renewed || result == kwmembership.HeldAgain {
		return err
	}
	id, emit := kwevent.EndpointJoined, s.deps.Events.Emit
	switch {
	case result == kwmembership.Late:
		// Whoever knows an ID can cause these two at will.
		id, emit = kwevent.HeartbeatLate, s.deps.Events.EmitLimited
	case result == kwmembership.Held:
		id, emit = kwevent.HeartbeatHeld, s.deps.Events.EmitLimited
	case a.Leaving:
		id = kwevent.EndpointLeaving
	}
	emit(id, "", kwevent.F("endpoint", a.ID), kwevent.F("address", a.Address), kwevent.F("service", a.Service),
		kwevent.F("zone", a.Zone), kwevent.F("accelerator", a.Accelerator), kwevent.F("sequence", a.Sequence),
		kwevent.F("born", a.StartedMillis), kwevent.F("from", a.Layers.From), kwevent.F("to", a.Layers.To))
	return nil
}

// recordDeparture writes to the replicated log that an endpoint drains or has left. This happens before the endpoint
// gets its confirmation, so that the fact survives a change of leader.
func (s *Server) recordDeparture(ctx context.Context, id kwid.EndpointID) error {
	var row kwmembership.RosterRow
	pending := false
	err := s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) {
		current, known := t.Roster.Row(id)
		row = current
		pending = known && !t.State.DepartureRecorded(current)
	})
	if err != nil || !pending {
		return err
	}
	reply := s.member.Load().loop.Propose(ctx, kwstatemachine.Command{Departure: &kwstatemachine.RecordDeparture{Row: row}})
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}

// Deregister tells the leader that an endpoint has left; nil means that the leader has recorded it.
func (s *Server) Deregister(ctx context.Context, id kwid.EndpointID, startedMillis kwmembership.StartMillis) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := kwdirectproto.Deregister{ID: id, StartedMillis: startedMillis}
	return s.callLeader(ctx, kwdirectproto.KindDeregister, func(ctx context.Context) error { return s.deregister(ctx, req) }, req, nil)
}

func (s *Server) handleDeregister(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.Deregister
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	return nil, s.deregister(ctx, req)
}

func (s *Server) deregister(ctx context.Context, req kwdirectproto.Deregister) error {
	changed := false
	err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		changed = t.Roster.Deregister(now, req.ID, req.StartedMillis)
	})
	if err == nil {
		err = s.recordDeparture(ctx, req.ID)
	}
	if err == nil && changed {
		s.deps.Events.Emit(kwevent.EndpointGone, "", kwevent.F("endpoint", req.ID), kwevent.F("born", req.StartedMillis))
	}
	return err
}

// Declare puts a validated declaration in force, unless one with an equal or higher number is in force already; nil
// means that the declaration in force is on the disks of a quorum.
func (s *Server) Declare(ctx context.Context, number kwdeclaration.Number, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	compressed, err := kwdirectproto.Compress(content)
	if err != nil {
		return err
	}
	req := kwdirectproto.CompressedDeclaration{Number: number, Content: compressed}
	return s.callLeader(ctx, kwdirectproto.KindWriteDeclaration, func(ctx context.Context) error { return s.declare(ctx, req) }, req, nil)
}

func (s *Server) handleWriteDeclaration(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.CompressedDeclaration
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	return nil, s.declare(ctx, req)
}

func (s *Server) declare(ctx context.Context, req kwdirectproto.CompressedDeclaration) error {
	inForce := kwdeclaration.Number(0)
	if err := s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) { inForce = t.State.Declared().Number }); err != nil {
		return err
	}
	m := s.member.Load()
	if err := s.checkRedundancy(m, inForce > 0); err != nil {
		return err
	}
	if req.Number <= inForce {
		s.deps.Events.Emit(kwevent.DeclarationKept, "", kwevent.F("number", req.Number), kwevent.F("in-force", inForce))
		return nil
	}
	reply := m.loop.Propose(ctx, kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: req.Number, Content: req.Content}})
	if reply.Err != nil {
		s.deps.Events.Emit(kwevent.DeclarationFailed, "", kwevent.F("number", req.Number), kwevent.F("error", reply.Err.Error()))
		return reply.Err
	}
	// Servers of services that are new join before the operator gets the confirmation. If this process has lost the leadership, the next
	// leader sees to that.
	if err := s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) { s.placer.syncServices(t) }); err != nil && !kwcode.Is(err, kwcode.NotLeader) {
		return err
	}
	s.deps.Events.Emit(kwevent.DeclarationAccepted, "", kwevent.F("number", req.Number), kwevent.F("in-force", reply.Number),
		kwevent.F("bytes", len(req.Content)))
	return nil
}

// checkRedundancy returns an error while the autopilot allows no confirmations, since the log has too few voters for the
// tolerated failures; confirmed is whether a declaration has been confirmed before.
func (s *Server) checkRedundancy(m *logMember, confirmed bool) error {
	voters, sufficient := 0, false
	autopilot := s.cfg.autopilot()
	m.loop.Log(func(now time.Time, n *kwraft.Node) {
		voters = len(n.Status().Members.Voters)
		sufficient = autopilot.MayAcknowledge(now, n, confirmed)
	})
	if sufficient {
		return nil
	}
	return kwcode.New(kwcode.DiskFailed, "the replicated log has %d voters, the tolerated failures require %d", voters, autopilot.TargetVoters)
}

func (s *Server) handleReadDeclaration(ctx context.Context, _ kwtcprpc.Body) (any, error) {
	return s.read(ctx)
}

func (s *Server) read(ctx context.Context) (kwdirectproto.CompressedDeclaration, error) {
	var out kwdirectproto.CompressedDeclaration
	err := s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) {
		d := t.State.Declared()
		out = kwdirectproto.CompressedDeclaration{Number: d.Number, Content: d.Content}
	})
	return out, err
}
