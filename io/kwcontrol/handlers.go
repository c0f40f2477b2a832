package kwcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// onAnnounce renews the lease of an agent's endpoint. The reply carries the fencing token only after this leader has
// advanced it.
func (r *Role) onAnnounce(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.Announce
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Endpoint.Agent != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s announced an endpoint that belongs to %s", s.Peer().Node, req.Endpoint.Agent)
	}
	var out kwagentproto.AnnounceReply
	var announceErr error
	err := r.loop.DoAsLeader(func(now time.Time, t *kwreconcile.Tables) {
		announceErr = r.announce(now, t, req.Endpoint)
		out = kwagentproto.AnnounceReply{
			Draining: t.State.Draining(req.Endpoint.ID),
			Revision: t.State.Revision(),
			Control:  r.member,
		}
		if r.loop.fenceAdvanced {
			out.FencingToken = t.State.FencingToken()
		}
	})
	if err == nil {
		err = announceErr
	}
	if err != nil {
		return err
	}
	return s.Send(kwagentproto.KindReply, out)
}

// announce records an announced endpoint and emits an event if its state or incarnation is new.
func (r *Role) announce(now time.Time, t *kwreconcile.Tables, e kwmembership.Endpoint) error {
	previous, known := t.Membership.Endpoint(e.ID)
	if err := t.Membership.Announce(now, e, t.State.Draining(e.ID)); err != nil {
		return err
	}
	e, _ = t.Membership.Endpoint(e.ID)
	if known && previous.State == e.State && previous.Incarnation == e.Incarnation {
		return nil
	}
	event := kwevent.EndpointJoined
	switch e.State {
	case kwmembership.Gone:
		event = kwevent.EndpointGone
	case kwmembership.Leaving:
		event = kwevent.EndpointLeaving
	}
	r.deps.Events.Emit(event, "", kwevent.F("endpoint", e.ID), kwevent.F("incarnation", uint64(e.Incarnation)))
	return nil
}

// onPropose proposes a command for an entry or an agent, each limited to the commands of its role.
func (r *Role) onPropose(ctx context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.Propose
	if err := first.Decode(&req); err != nil {
		return err
	}
	c := req.Command
	if s.Peer().Role == kwkeys.RoleAgent && c.Outcome == nil {
		return kwcode.New(kwcode.UnknownMessage, "an agent may only propose outcomes")
	}
	if c.Claim == nil && c.Outcome == nil && c.Fenced == nil && c.Unknown == nil {
		return kwcode.New(kwcode.UnknownMessage, "an entry may not propose this command")
	}
	if c.Claim != nil && c.Claim.Grant.Entry != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s sent a claim on behalf of %s", s.Peer().Node, c.Claim.Grant.Entry)
	}
	reply := r.loop.Propose(ctx, c)
	if reply.Err != nil {
		return reply.Err
	}
	return s.Send(kwagentproto.KindReply, reply)
}

// onAwaitOutcome answers once an attempt's outcome is known, or with OutcomePending after the requested wait.
func (r *Role) onAwaitOutcome(ctx context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.AwaitOutcome
	if err := first.Decode(&req); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(req.Wait)*time.Millisecond)
	defer cancel()
	if err := r.loop.DoAsLeader(func(time.Time, *kwreconcile.Tables) {}); err != nil {
		return err
	}
	row, ok := r.loop.AwaitOutcome(waitCtx, req.Scope, req.Attempt)
	if !ok {
		return kwcode.New(kwcode.OutcomePending, "the call with key %q has no outcome yet", req.Scope.Key)
	}
	return s.Send(kwagentproto.KindReply, kwstatemachine.Reply{Row: &row})
}

// watcher is the state of one entry's subscription to the view; the sent fields describe the last view sent.
type watcher struct {
	role             *Role
	stream           *kwquic.Stream
	entry            kwmembership.Entry
	needsFull        bool
	sentVersion      uint64
	sentFleet        *kwsiteconfig.Fleet
	sentOwnerVersion uint64
	ackedSequence    uint64
	// needsLoads tells that the next view must carry the endpoints' loads.
	needsLoads bool
}

// onWatch serves one entry's subscription until the stream ends.
func (r *Role) onWatch(ctx context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.Watch
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Entry.ID != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s subscribed as %s", s.Peer().Node, req.Entry.ID)
	}
	w := &watcher{role: r, stream: s, entry: req.Entry, needsFull: true}
	acks := make(chan kwagentproto.ViewAck)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.readAcks(ctx, cancel, acks)
	return w.run(ctx, acks)
}

// readAcks forwards the entry's acknowledgements to acks until the stream ends.
func (w *watcher) readAcks(ctx context.Context, cancel context.CancelFunc, acks chan<- kwagentproto.ViewAck) {
	defer cancel()
	for {
		f, err := w.stream.Recv()
		if err != nil {
			return
		}
		var ack kwagentproto.ViewAck
		if err := f.Expect(kwagentproto.KindViewAck, &ack); err != nil {
			return
		}
		select {
		case acks <- ack:
		case <-ctx.Done():
			return
		}
	}
}

// run sends a view at each change and in answer to each acknowledgement.
func (w *watcher) run(ctx context.Context, acks <-chan kwagentproto.ViewAck) error {
	for {
		changed := w.role.loop.Changed()
		if err := w.sendView(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case ack := <-acks:
			w.ackedSequence = ack.Sequence
			w.needsLoads = true
			w.entry.SeenVersion = ack.Version
			w.entry.Revision = ack.Revision
		}
	}
}

// sendView renews the entry's lease and sends what has changed. During a new leader's gather period it sends nothing,
// as the endpoint table is still incomplete.
func (w *watcher) sendView() error {
	var view *kwagentproto.View
	err := w.role.loop.DoAsLeader(func(now time.Time, t *kwreconcile.Tables) {
		t.Membership.RenewEntry(now, w.entry)
		if !now.Before(t.GatherUntil) {
			view = w.buildView(t)
		}
	})
	if err != nil || view == nil {
		return err
	}
	if err := w.stream.Send(kwagentproto.KindView, view); err != nil {
		return err
	}
	w.needsFull = false
	w.needsLoads = false
	w.sentVersion = view.Version
	return nil
}

// buildView returns what has changed since the last view, or everything in the first one.
func (w *watcher) buildView(t *kwreconcile.Tables) *kwagentproto.View {
	view := &kwagentproto.View{
		Version:       t.Membership.Version(),
		Revision:      t.State.Revision(),
		Endpoints:     t.Membership.Since(w.sentVersion),
		Full:          w.needsFull,
		AckedSequence: w.ackedSequence,
	}
	if w.needsFull {
		view.Endpoints = t.Membership.Since(0)
	}
	w.addFleet(view, t.State.Fleet())
	view.Owners = t.State.Owners(w.sentOwnerVersion)
	w.sentOwnerVersion = t.State.OwnerVersion()
	if w.needsLoads || w.needsFull {
		view.Loads = t.Membership.Loads()
	}
	view.EntryRank, view.EntryCount = t.Membership.EntryRank(w.entry.ID)
	return view
}

// addFleet adds the fleet declaration to the view if it has changed: in full the first time, later without its workspaces
// but with patches to those that the entry holds.
func (w *watcher) addFleet(view *kwagentproto.View, fleet *kwsiteconfig.Fleet) {
	if fleet == w.sentFleet {
		return
	}
	if w.sentFleet == nil {
		view.Fleet = fleet
	} else {
		view.Fleet = fleet.WithoutWorkspaces()
		view.Patched = true
		view.Patches = w.role.loop.patches(w.sentFleet, fleet)
	}
	w.sentFleet = fleet
}
