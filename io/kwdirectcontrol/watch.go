package kwdirectcontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// maxHold bounds how long a watch may wait, so that entries notice a silent connection in time.
const maxHold = time.Second

// onWatch answers an entry at the next change of what it serves by.
func (h *Server) onWatch(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.Watch
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	m := h.member.Load()
	if m == nil {
		return nil, kwcode.New(kwcode.NotLeader, "%s keeps no log", h.cfg.Address)
	}
	h.watch.note(time.Now(), req)
	hold := time.NewTimer(min(req.MaxWait, maxHold))
	defer hold.Stop()
	for held := false; ; {
		changed := m.loop.Changed()
		view, err := h.view(ctx, m, req)
		if err != nil {
			return nil, err
		}
		if held || view.Full || view.Declaration != nil || len(view.Endpoints) > 0 {
			view.Loads = h.watch.others(time.Now(), req.Entry)
			view.EntryCount = h.watch.entries(time.Now())
			return view, nil
		}
		select {
		case <-changed:
		case <-hold.C:
			held = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// refusalWitnesses is how many entries must say that an endpoint refuses connections: one alone may be cut off.
const refusalWitnesses = 2

// onRefusal takes an entry's word that an endpoint refuses connections.
func (h *Server) onRefusal(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.ConnectionRefused
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	wanted := min(refusalWitnesses, max(1, h.watch.entries(time.Now())))
	lost := false
	err := h.lead(ctx, func(now time.Time, b *kwreconcile.Tables) {
		lost = b.Roster.ReportRefusal(now, req.Endpoint, req.Incarnation, req.Entry, wanted)
	})
	if err == nil && lost {
		h.deps.Events.Emit(kwevent.EndpointLost, "", kwevent.F("endpoint", req.Endpoint), kwevent.F("cause", "refuses connections"),
			kwevent.F("entry", req.Entry), kwevent.F("witnesses", wanted))
	}
	return nil, err
}

// onLoan lends an entry one repeat, or refuses.
func (h *Server) onLoan(ctx context.Context, body kwtcprpc.Body) (any, error) {
	var req kwdirectproto.RetryLoan
	if err := body.Decode(&req); err != nil {
		return nil, err
	}
	lent := false
	err := h.lead(ctx, func(now time.Time, b *kwreconcile.Tables) { lent = h.lender.Lend(now, b.Epoch, req.Service) })
	if err == nil && !lent {
		err = kwcode.New(kwcode.RetryBudgetSpent, "the retry budget of %q is spent", req.Service)
	}
	return nil, err
}

// view collects what changed since the entry's view, under the leader's lease.
func (h *Server) view(ctx context.Context, m *membership, req kwdirectproto.Watch) (kwdirectproto.View, error) {
	var v kwdirectproto.View
	err := h.lead(ctx, func(now time.Time, b *kwreconcile.Tables) {
		v.Gathering = now.Before(b.GatherUntil)
		v.Version = b.Roster.Version()
		if d := b.State.Declared(); d.Number > req.DeclarationNumber {
			v.Declaration = &kwdirectproto.CompressedDeclaration{Number: d.Number, Content: d.Content}
		}
		since := req.Version
		v.Epoch = b.Epoch
		if req.Epoch != v.Epoch {
			v.Full = true
			since = 0
		}
		v.Endpoints = b.Roster.Since(since)
	})
	if err != nil {
		return kwdirectproto.View{}, err
	}
	m.loop.Log(func(_ time.Time, n *kwraft.Node) {
		members := n.Status().Members
		for _, id := range slices.Concat(members.Voters, members.Learners) {
			v.ControlAddresses = append(v.ControlAddresses, string(kwcontrol.NodeOf(id)))
		}
	})
	return v, nil
}

// watchers remembers what entries reported with their last watch.
type watchers struct {
	mu   sync.Mutex
	rows map[kwid.NodeID]watcher
}

type watcher struct {
	heard time.Time
	loads []kwdirectproto.Load
}

func newWatchers() *watchers {
	return &watchers{rows: make(map[kwid.NodeID]watcher)}
}

func (w *watchers) note(now time.Time, req kwdirectproto.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows[req.Entry] = watcher{heard: now, loads: req.Loads}
}

// live drops entries that are silent; the caller holds the lock.
func (w *watchers) live(now time.Time) {
	maps.DeleteFunc(w.rows, func(_ kwid.NodeID, r watcher) bool { return now.Sub(r.heard) > entryLease })
}

func (w *watchers) entries(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live(now)
	return len(w.rows)
}

// others sums the loads of all entries but one.
func (w *watchers) others(now time.Time, self kwid.NodeID) []kwdirectproto.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live(now)
	sum := make(map[kwid.EndpointID]kwdirectproto.Load)
	for entry, r := range w.rows {
		if entry == self {
			continue
		}
		for _, l := range r.loads {
			s := sum[l.Endpoint]
			sum[l.Endpoint] = kwdirectproto.Load{Endpoint: l.Endpoint, Used: s.Used + l.Used, Running: s.Running + l.Running}
		}
	}
	out := slices.Collect(maps.Values(sum))
	slices.SortFunc(out, func(a, b kwdirectproto.Load) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}
