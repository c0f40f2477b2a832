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

func (h *Server) onLog(_ context.Context, body kwtcprpc.Body) (any, error) {
	var batch kwdirectproto.RaftBatch
	if err := body.Decode(&batch); err != nil {
		return nil, err
	}
	m := h.member.Load()
	if m == nil {
		return nil, kwcode.New(kwcode.NotLeader, "%s keeps no log", h.cfg.Address)
	}
	for _, msg := range batch.Messages {
		if msg.To == m.id {
			m.loop.Deliver(msg)
		}
	}
	return nil, nil
}

func (h *Server) onJoin(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.AddMember
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	m := h.member.Load()
	if m == nil {
		return nil, kwcode.New(kwcode.NotLeader, "%s keeps no log", h.cfg.Address)
	}
	if err := h.lead(ctx, func(time.Time, *kwreconcile.Tables) {}); err != nil {
		return nil, err
	}
	var err error
	m.loop.Log(func(now time.Time, n *kwraft.Node) {
		err = takeIn(now, n, req.Member)
	})
	if err != nil {
		return nil, err
	}
	h.deps.Events.Emit(kwevent.MemberJoins, "", kwevent.F("member", req.Member))
	return nil, nil
}

// takeIn adds a learner; a learner of the same VM, whose disk is gone, is removed first. A voter of the same VM stays
// until the steward swaps it for the learner that has caught up.
func takeIn(now time.Time, n *kwraft.Node, member kwid.NodeID) error {
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

// Announce takes a heartbeat; nil means that the leader holds it.
func (h *Server) Announce(ctx context.Context, a kwmembership.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.ask(ctx, kwdirectproto.KindAnnounce, func(ctx context.Context) error { return h.announce(ctx, a) }, a, nil)
}

func (h *Server) onAnnounce(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var a kwmembership.Announcement
	if err := body.Decode(&a); err != nil {
		return nil, err
	}
	return nil, h.announce(ctx, a)
}

func (h *Server) announce(ctx context.Context, a kwmembership.Announcement) error {
	verdict := kwmembership.Renewed
	err := h.lead(ctx, func(now time.Time, b *kwreconcile.Tables) { verdict = b.Roster.Announce(now, a) })
	if err == nil && a.Leaving && verdict != kwmembership.Late {
		err = h.recordLeave(ctx, a.ID)
	}
	if err != nil || verdict == kwmembership.Renewed {
		return err
	}
	id := kwevent.EndpointJoined
	if a.Leaving {
		id = kwevent.EndpointLeaving
	}
	if verdict == kwmembership.Late {
		id = kwevent.HeartbeatLate
	}
	h.deps.Events.Emit(id, "", kwevent.F("endpoint", a.ID), kwevent.F("address", a.Address), kwevent.F("service", a.Service),
		kwevent.F("zone", a.Zone), kwevent.F("accelerator", a.Accelerator), kwevent.F("sequence", a.Sequence),
		kwevent.F("born", a.StartedMillis), kwevent.F("from", a.Layers.From), kwevent.F("to", a.Layers.To))
	return nil
}

// recordLeave logs that an endpoint drains or has left before that is confirmed, so that it outlives this leader.
func (h *Server) recordLeave(ctx context.Context, id kwid.EndpointID) error {
	var row kwmembership.RosterRow
	pending := false
	err := h.lead(ctx, func(_ time.Time, b *kwreconcile.Tables) {
		held, known := b.Roster.Row(id)
		row = held
		pending = known && !b.State.DepartureRecorded(held)
	})
	if err != nil || !pending {
		return err
	}
	reply := h.member.Load().loop.Propose(ctx, kwstatemachine.Command{Departure: &kwstatemachine.RecordDeparture{Row: row}})
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}

// Depart takes an endpoint's word that it leaves; nil means that the leader holds it.
func (h *Server) Depart(ctx context.Context, id kwid.EndpointID, born kwmembership.StartMillis) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := kwdirectproto.Deregister{ID: id, Incarnation: born}
	return h.ask(ctx, kwdirectproto.KindDeregister, func(ctx context.Context) error { return h.depart(ctx, req) }, req, nil)
}

func (h *Server) onDepart(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.Deregister
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	return nil, h.depart(ctx, req)
}

func (h *Server) depart(ctx context.Context, req kwdirectproto.Deregister) error {
	changed := false
	err := h.lead(ctx, func(now time.Time, b *kwreconcile.Tables) {
		changed = b.Roster.Deregister(now, req.ID, req.Incarnation)
	})
	if err == nil {
		err = h.recordLeave(ctx, req.ID)
	}
	if err == nil && changed {
		h.deps.Events.Emit(kwevent.EndpointGone, "", kwevent.F("endpoint", req.ID), kwevent.F("born", req.Incarnation))
	}
	return err
}

// Declare puts a checked declaration in force unless one with an equal or higher number is; nil means that it, or
// that one, is on the disks of a quorum.
func (h *Server) Declare(ctx context.Context, number kwdeclaration.Number, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	packed, err := kwdirectproto.Compress(content)
	if err != nil {
		return err
	}
	req := kwdirectproto.CompressedDeclaration{Number: number, Content: packed}
	return h.ask(ctx, kwdirectproto.KindWriteDeclaration, func(ctx context.Context) error { return h.declare(ctx, req) }, req, nil)
}

func (h *Server) onDeclare(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.CompressedDeclaration
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	return nil, h.declare(ctx, req)
}

func (h *Server) declare(ctx context.Context, req kwdirectproto.CompressedDeclaration) error {
	held := kwdeclaration.Number(0)
	if err := h.lead(ctx, func(_ time.Time, b *kwreconcile.Tables) { held = b.State.Declared().Number }); err != nil {
		return err
	}
	m := h.member.Load()
	if err := h.bearsLosses(m, held > 0); err != nil {
		return err
	}
	if req.Number <= held {
		h.deps.Events.Emit(kwevent.DeclarationKept, "", kwevent.F("number", req.Number), kwevent.F("in-force", held))
		return nil
	}
	reply := m.loop.Propose(ctx, kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: req.Number, Content: req.Content}})
	if reply.Err != nil {
		h.deps.Events.Emit(kwevent.DeclarationFailed, "", kwevent.F("number", req.Number), kwevent.F("error", reply.Err.Error()))
		return reply.Err
	}
	h.deps.Events.Emit(kwevent.DeclarationAccepted, "", kwevent.F("number", req.Number), kwevent.F("in-force", reply.Number),
		kwevent.F("bytes", len(req.Content)))
	return nil
}

// bearsLosses refuses confirmations while too few members hold the log for the losses that are tolerated.
func (h *Server) bearsLosses(m *membership, confirmed bool) error {
	voters, bears := 0, false
	steward := h.cfg.steward()
	m.loop.Log(func(now time.Time, n *kwraft.Node) {
		voters = len(n.Status().Members.Voters)
		bears = steward.MayAcknowledge(now, n, confirmed)
	})
	if bears {
		return nil
	}
	return kwcode.New(kwcode.DiskFailed, "%d members hold the log, %d are needed to bear the tolerated losses", voters, steward.TargetVoters)
}

func (h *Server) onRead(ctx context.Context, _ kwtcprpc.Body) (any, error) {
	return h.read(ctx)
}

func (h *Server) read(ctx context.Context) (kwdirectproto.CompressedDeclaration, error) {
	var out kwdirectproto.CompressedDeclaration
	err := h.lead(ctx, func(_ time.Time, b *kwreconcile.Tables) {
		d := b.State.Declared()
		out = kwdirectproto.CompressedDeclaration{Number: d.Number, Content: d.Content}
	})
	return out, err
}
