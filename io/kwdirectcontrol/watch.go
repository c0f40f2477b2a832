package kwdirectcontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwtcprpc"
)

// maxWatchTime bounds how long a watch is held open, so that entries notice a dead connection in time.
const maxWatchTime = time.Second

// handleWatch is a long poll: it replies at the next change of the entry's view, or when the requested time is over.
func (s *Server) handleWatch(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.Watch
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	m := s.member.Load()
	if m == nil {
		return nil, s.discovery.notLeader()
	}
	timer := time.NewTimer(min(req.MaxWait, maxWatchTime))
	defer timer.Stop()
	if err := s.recordWatch(ctx, req); err != nil {
		return nil, err
	}
	for expired := false; ; {
		changed, decided := m.loop.Changed(), s.promptParts.decided.next()
		view, replies, err := s.view(ctx, m, req, expired)
		if err != nil {
			return nil, err
		}
		if replies {
			return view, nil
		}
		select {
		case <-changed:
		case <-decided:
			expired = true
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordWatch records the load that an entry reports, and what it knows of parts of prompts.
func (s *Server) recordWatch(ctx context.Context, req kwdirectproto.Watch) error {
	loads := req.Loads
	if len(req.PackedLoads) > 0 {
		unpacked, err := req.PackedLoads.Unpack()
		if err != nil {
			return err
		}
		err = s.runAsLeader(ctx, func(_ time.Time, t *kwreconcile.Tables) { loads = resolveLoads(unpacked, req.Epoch, t) })
		if err != nil {
			return err
		}
	}
	s.watchers.record(time.Now(), req.Entry, loads, req.Requests)
	if len(req.Limits) > 0 {
		err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) { s.limits.Record(now, t.Epoch, req.Entry, req.Limits) })
		if err != nil {
			return err
		}
	}
	if len(req.Admission) > 0 {
		err := s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) { s.admission.Record(now, t.Epoch, req.Entry, req.Admission) })
		if err != nil {
			return err
		}
	}
	if len(req.SoundParts) == 0 && len(req.QuarantinedParts) == 0 && req.LastSoundAge == nil && !reportsRequests(req) {
		return nil
	}
	return s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) { s.promptParts.recordWatch(now, t.Epoch, req) })
}

// resolveLoads finds the endpoints of loads whose indices are those of an epoch. Loads of an earlier epoch are dropped: the
// entry learns the new indices with the reply.
func resolveLoads(loads []kwdirectproto.IndexedLoad, epoch uint64, t *kwreconcile.Tables) []kwdirectproto.Load {
	if epoch != t.Epoch {
		return nil
	}
	out := make([]kwdirectproto.Load, 0, len(loads))
	for _, l := range loads {
		if id, ok := t.Roster.ByIndex(l.Index); ok {
			out = append(out, kwdirectproto.Load{Endpoint: id, Used: l.Used, Running: l.Running})
		}
	}
	return out
}

// indexLoads returns the loads of endpoints that the roster knows, in ascending order of their indices.
func indexLoads(loads []kwdirectproto.Load, roster *kwmembership.Roster) []kwdirectproto.IndexedLoad {
	out := make([]kwdirectproto.IndexedLoad, 0, len(loads))
	for _, l := range loads {
		if row, ok := roster.Row(l.Endpoint); ok {
			out = append(out, kwdirectproto.IndexedLoad{Index: row.Index, Used: l.Used, Running: l.Running})
		}
	}
	slices.SortFunc(out, func(a, b kwdirectproto.IndexedLoad) int { return cmp.Compare(a.Index, b.Index) })
	return out
}

// view returns what has changed since the entry's view, and whether that is to be sent: something has changed, or the watch
// has expired. It is read under the leader's lease, so it is not stale.
func (s *Server) view(ctx context.Context, m *logMember, req kwdirectproto.Watch, expired bool) (v kwdirectproto.View, replies bool, err error) {
	err = s.runAsLeader(ctx, func(now time.Time, t *kwreconcile.Tables) {
		v.Gathering = now.Before(t.GatherUntil)
		v.Version = t.Roster.Version()
		if d := t.State.Declared(); d.Number > req.DeclarationNumber {
			v.Declaration = &kwdirectproto.CompressedDeclaration{Number: d.Number, Content: d.Content}
		}
		since := req.Version
		v.Epoch = t.Epoch
		if req.Epoch != v.Epoch {
			v.Full = true
			since = 0
		}
		v.Endpoints = t.Roster.Since(since)
		if replies = expired || v.Full || v.Declaration != nil || len(v.Endpoints) > 0; replies {
			s.addLoads(&v, req, t.Roster)
			s.promptParts.addTo(&v, now)
			s.addLimits(&v, now, req.Entry, t)
			if len(req.Admission) > 0 {
				v.Admission = s.admission.Shares(now, t.Epoch)
			}
		}
	})
	if err != nil || !replies {
		return v, false, err
	}
	if v.Declaration != nil && req.AcceptsDelta {
		if v.DeclarationDelta, err = s.deltas.between(req.DeclarationNumber, v.Declaration); err != nil {
			return v, false, err
		}
		if v.DeclarationDelta != nil {
			v.Declaration = nil
		}
	}
	m.loop.Log(func(_ time.Time, n *kwraft.Node) {
		members := n.Status().Members
		for _, id := range slices.Concat(members.Voters, members.Learners) {
			v.ControlAddresses = append(v.ControlAddresses, string(kwcontrol.NodeOf(id)))
		}
	})
	return v, true, nil
}

// addLimits adds the limits of endpoints to a view, with what the leader lends the entry of them.
func (s *Server) addLimits(v *kwdirectproto.View, now time.Time, entry kwid.NodeID, t *kwreconcile.Tables) {
	s.limits.Retain(now, func(p kwmembership.Process) bool {
		row, ok := t.Roster.Row(p.Endpoint)
		return ok && row.Announcement.Process() == p
	})
	v.Limits = s.limits.Loans(now, t.Epoch, entry)
}

// addLoads adds the load of all other entries and the number of entries to a view.
func (s *Server) addLoads(v *kwdirectproto.View, req kwdirectproto.Watch, roster *kwmembership.Roster) {
	now := time.Now()
	loads := s.watchers.otherLoads(now, req.Entry)
	v.EntryCount = s.watchers.count(now)
	v.AcceptsPackedLoads = true
	if req.AcceptsPackedLoads {
		v.PackedLoads = kwdirectproto.PackLoads(indexLoads(loads, roster))
		return
	}
	slices.SortFunc(loads, func(a, b kwdirectproto.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	v.Loads = loads
}
