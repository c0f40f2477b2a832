package kwdirectentry

import (
	"context"
	"maps"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
)

// view is what requests are served by; it is immutable.
type view struct {
	epoch     uint64
	version   uint64
	number    kwdeclaration.Number
	index     *kwdeclaration.Index
	endpoints map[kwid.EndpointID]kwmembership.RosterRow
	// services lists the live endpoints of each service.
	services map[kwid.ServiceName][]kwmembership.Announcement
	// chained lists the model servers of each service that has an engine, without load.
	chained map[kwid.ServiceName][]kwchainsearch.Server
	entries int
	// partial means that a new leader had not heard of every endpoint yet.
	partial bool
	// confirmed is when the question was asked that control answered last.
	confirmed time.Time
}

func emptyView() *view {
	return &view{endpoints: make(map[kwid.EndpointID]kwmembership.RosterRow), entries: 1}
}

// keepView watches control until the context ends.
func (g *Gateway) keepView(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := g.watch(ctx)
		if err == nil {
			lost = false
			g.noteReady()
			continue
		}
		if !lost && ctx.Err() == nil {
			lost = true
			g.deps.Events.Emit(kwevent.ViewLost, "", kwevent.F("error", err.Error()))
		}
		g.noteReady()
		kwtime.Sleep(ctx, retryWatch)
	}
}

// retryWatch is the pause after a watch that failed at every control process.
const retryWatch = 50 * time.Millisecond

func (g *Gateway) watch(ctx context.Context) error {
	old := g.view.Load()
	asked := g.deps.Now()
	req := kwdirectproto.Watch{
		Entry:             g.cfg.Node,
		Epoch:             old.epoch,
		Version:           old.version,
		DeclarationNumber: old.number,
		MaxWait:           watchHold,
		Loads:             g.chooser.report(),
	}
	ctx, cancel := context.WithTimeout(ctx, 3*(watchHold+watchTimeout))
	defer cancel()
	var got kwdirectproto.View
	if err := g.leader.Call(ctx, kwdirectproto.KindWatch, req, &got, watchHold); err != nil {
		return err
	}
	g.leader.SetAddresses(got.ControlAddresses)
	next, err := g.merge(old, got)
	if err != nil {
		return err
	}
	next.confirmed = asked
	g.view.Store(next)
	g.chooser.update(next, got.Loads)
	g.budgets.SetEntryCount(next.entries)
	g.arrivals.announce()
	if next.number != old.number || next.version != old.version || next.epoch != old.epoch {
		g.deps.Events.Emit(kwevent.ViewApplied, "", kwevent.F("number", next.number), kwevent.F("epoch", next.epoch),
			kwevent.F("version", next.version), kwevent.F("endpoints", len(next.endpoints)), kwevent.F("rows", len(got.Endpoints)),
			kwevent.F("full", got.Full), kwevent.F("gathering", got.Gathering), kwevent.F("entries", next.entries))
	}
	return nil
}

// merge returns the view after what control sent. While a new leader gathers heartbeats, endpoints that it has not
// heard of stay.
func (g *Gateway) merge(old *view, got kwdirectproto.View) (*view, error) {
	next := *old
	next.epoch, next.version, next.entries = got.Epoch, got.Version, max(1, got.EntryCount)
	next.partial = got.Gathering
	if old.partial && !got.Gathering && !got.Full {
		// The leader has gathered the list; endpoints that it lacks go once the whole of it is here.
		next.epoch = 0
	}
	changed := got.Full || len(got.Endpoints) > 0
	if changed {
		next.endpoints = mergeRows(old.endpoints, got)
	}
	if got.Declaration != nil && got.Declaration.Number > old.number {
		content, err := kwdirectproto.Decompress(got.Declaration.Content)
		if err != nil {
			return nil, err
		}
		decl, err := g.deps.Decoder.Decode(content)
		if err != nil {
			return nil, err
		}
		next.number = decl.Number
		next.index = kwdeclaration.NewIndex(decl)
		changed = true
	}
	if changed {
		next.group()
	}
	return &next, nil
}

func mergeRows(old map[kwid.EndpointID]kwmembership.RosterRow, got kwdirectproto.View) map[kwid.EndpointID]kwmembership.RosterRow {
	out := make(map[kwid.EndpointID]kwmembership.RosterRow, len(old))
	if !got.Full || got.Gathering {
		maps.Copy(out, old)
	}
	for _, row := range got.Endpoints {
		out[row.Announcement.ID] = row
		if row.State == kwmembership.Gone || row.State == kwmembership.Lost {
			delete(out, row.Announcement.ID)
		}
	}
	return out
}

// group sorts the live endpoints by service.
func (v *view) group() {
	v.services = make(map[kwid.ServiceName][]kwmembership.Announcement)
	v.chained = make(map[kwid.ServiceName][]kwchainsearch.Server)
	for _, row := range v.endpoints {
		a := row.Announcement
		if row.State != kwmembership.Live {
			continue
		}
		v.services[a.Service] = append(v.services[a.Service], a)
		if v.index == nil {
			continue
		}
		service := v.index.Service(a.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		if s, ok := kwchainsearch.NewServer(service.Engine, a.Accelerator, a.Layers); ok {
			s.ID, s.Address, s.Zone = a.ID, a.Address, a.Zone
			v.chained[a.Service] = append(v.chained[a.Service], s)
		}
	}
}

// awaitView waits for a view to serve by, as long as one can be expected soon and the caller's patience lasts: after a
// start or the loss of control, a leader is elected within the time of an election.
func (g *Gateway) awaitView(q *request) {
	patience := viewPatience
	if q.call.Timeout > 0 {
		patience = min(patience, time.Duration(float64(q.call.Timeout)*viewPatienceShare))
	}
	giveUp := q.arrived.Add(patience)
	for !g.serves(q.view) && !g.stopping.Load() && time.Now().Before(giveUp) && g.expectsView(q.view) {
		arrival := g.arrivals.next()
		if q.view = g.view.Load(); g.serves(q.view) {
			return
		}
		timer := time.NewTimer(time.Until(giveUp))
		select {
		case <-arrival:
		case <-timer.C:
		case <-q.r.Context().Done():
			giveUp = time.Now()
		}
		timer.Stop()
		q.view = g.view.Load()
	}
	q.waited = time.Since(q.arrived)
}

// expectsView tells whether the lack of a view is young enough to end with an election.
func (g *Gateway) expectsView(v *view) bool {
	ended := g.started
	if at := v.confirmed.Add(g.cfg.ViewLease); v.index != nil && at.After(ended) {
		ended = at
	}
	return g.deps.Now().Sub(ended) < viewExpected
}

// arrivals wakes the requests that wait for a view.
type arrivals struct {
	mu sync.Mutex
	c  chan struct{}
}

// next returns a channel that closes with the next view.
func (a *arrivals) next() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.c == nil {
		a.c = make(chan struct{})
	}
	return a.c
}

func (a *arrivals) announce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.c != nil {
		close(a.c)
		a.c = nil
	}
}

// serves tells whether the view may be served by: control has confirmed it within the lease.
func (g *Gateway) serves(v *view) bool {
	return v.index != nil && g.deps.Now().Sub(v.confirmed) < g.cfg.ViewLease
}
