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

func (r *Role) onAnnounce(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.Announce
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Endpoint.Agent != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s announced an endpoint of %s", s.Peer().Node, req.Endpoint.Agent)
	}
	var out kwagentproto.AnnounceReply
	var refused error
	err := r.loop.DoAsLeader(func(now time.Time, b *kwreconcile.Tables) {
		refused = r.announce(now, b, req.Endpoint)
		out = kwagentproto.AnnounceReply{
			Draining: b.State.Draining(req.Endpoint.ID),
			Revision: b.State.Revision(),
			Control:  r.member,
		}
		if r.loop.booted {
			out.Fence = b.State.Fence()
		}
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return err
	}
	return s.Send(kwagentproto.KindReply, out)
}

func (r *Role) announce(now time.Time, b *kwreconcile.Tables, e kwmembership.Endpoint) error {
	old, known := b.Members.Endpoint(e.ID)
	if err := b.Members.Announce(now, e, b.State.Draining(e.ID)); err != nil {
		return err
	}
	if known && old.State == e.State && old.Incarnation == e.Incarnation {
		return nil
	}
	id := kwevent.EndpointJoined
	switch e.State {
	case kwmembership.Gone:
		id = kwevent.EndpointGone
	case kwmembership.Leaving:
		id = kwevent.EndpointLeaving
	}
	r.deps.Events.Emit(id, "", kwevent.F("endpoint", e.ID), kwevent.F("incarnation", uint64(e.Incarnation)))
	return nil
}

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
		return kwcode.New(kwcode.PeerUnknown, "%s claimed for %s", s.Peer().Node, c.Claim.Grant.Entry)
	}
	reply := r.loop.Propose(ctx, c)
	if reply.Err != nil {
		return reply.Err
	}
	return s.Send(kwagentproto.KindReply, reply)
}

func (r *Role) onAwait(ctx context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.AwaitOutcome
	if err := first.Decode(&req); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, time.Duration(req.Wait)*time.Millisecond)
	defer cancel()
	if err := r.loop.DoAsLeader(func(time.Time, *kwreconcile.Tables) {}); err != nil {
		return err
	}
	row, ok := r.loop.AwaitOutcome(wait, req.Scope, req.Attempt)
	if !ok {
		return kwcode.New(kwcode.OutcomePending, "key %q is still open", req.Scope.Key)
	}
	return s.Send(kwagentproto.KindReply, kwstatemachine.Reply{Row: &row})
}

// watcher is the state of one entry's subscription.
type watcher struct {
	role    *Role
	stream  *kwquic.Stream
	entry   kwmembership.Entry
	full    bool
	version uint64
	fleet   *kwsiteconfig.Fleet
	owners  uint64
	echo    uint64
	// loads asks for the load table with the next view.
	loads bool
}

func (r *Role) onWatch(ctx context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var req kwagentproto.Watch
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Entry.ID != s.Peer().Node {
		return kwcode.New(kwcode.PeerUnknown, "%s subscribed as %s", s.Peer().Node, req.Entry.ID)
	}
	w := &watcher{role: r, stream: s, entry: req.Entry, full: true}
	seen := make(chan kwagentproto.ViewAck)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.read(ctx, cancel, seen)
	return w.run(ctx, seen)
}

// read passes the entry's renewals on until the stream ends.
func (w *watcher) read(ctx context.Context, cancel context.CancelFunc, seen chan<- kwagentproto.ViewAck) {
	defer cancel()
	for {
		f, err := w.stream.Recv()
		if err != nil {
			return
		}
		var msg kwagentproto.ViewAck
		if err := f.Expect(kwagentproto.KindViewAck, &msg); err != nil {
			return
		}
		select {
		case seen <- msg:
		case <-ctx.Done():
			return
		}
	}
}

// run sends a view at each change and answers each renewal.
func (w *watcher) run(ctx context.Context, seen <-chan kwagentproto.ViewAck) error {
	for {
		changed := w.role.loop.Changed()
		if err := w.push(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case msg := <-seen:
			w.echo = msg.Sequence
			w.loads = true
			w.entry.SeenVersion = msg.Version
			w.entry.Revision = msg.Revision
		}
	}
}

// push renews the entry's lease and sends what changed; while a new leader gathers, nothing is sent.
func (w *watcher) push() error {
	var view *kwagentproto.View
	err := w.role.loop.DoAsLeader(func(now time.Time, b *kwreconcile.Tables) {
		b.Members.RenewEntry(now, w.entry)
		if !now.Before(b.GatherUntil) {
			view = w.delta(b)
		}
	})
	if err != nil || view == nil {
		return err
	}
	if err := w.stream.Send(kwagentproto.KindView, view); err != nil {
		return err
	}
	w.full = false
	w.loads = false
	w.version = view.Version
	return nil
}

func (w *watcher) delta(b *kwreconcile.Tables) *kwagentproto.View {
	view := &kwagentproto.View{
		Version:       b.Members.Version(),
		Revision:      b.State.Revision(),
		Endpoints:     b.Members.Since(w.version),
		Full:          w.full,
		AckedSequence: w.echo,
	}
	if w.full {
		view.Endpoints = b.Members.Since(0)
	}
	w.addFleet(view, b.State.Fleet())
	view.Owners = b.State.Owners(w.owners)
	w.owners = b.State.OwnerVersion()
	if w.loads || w.full {
		view.Loads = b.Members.Loads()
	}
	view.EntryRank, view.EntryCount = b.Members.EntryRank(w.entry.ID)
	return view
}

// addFleet adds a changed declaration: whole at first, then as a skeleton with patches of the workspaces.
func (w *watcher) addFleet(view *kwagentproto.View, fleet *kwsiteconfig.Fleet) {
	if fleet == w.fleet {
		return
	}
	if w.fleet == nil {
		view.Fleet = fleet
	} else {
		view.Fleet = fleet.WithoutWorkspaces()
		view.Patched = true
		view.Patches = w.role.loop.patches(w.fleet, fleet)
	}
	w.fleet = fleet
}
