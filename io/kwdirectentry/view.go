package kwdirectentry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
)

// view is the declaration and the endpoints that requests are served by; it is immutable.
type view struct {
	epoch             uint64
	version           uint64
	declarationNumber kwdeclaration.Number
	// declarationContent is the declaration as the operator sent it, to apply deltas to.
	declarationContent []byte
	// index is the declaration, nil until the first one has arrived.
	index     *kwdeclaration.Index
	endpoints map[kwid.EndpointID]kwmembership.RosterRow
	// live lists the live endpoints of each service.
	live map[kwid.ServiceName][]kwmembership.Announcement
	// servers lists the model servers of each service that has an engine, without their load.
	servers    map[kwid.ServiceName][]kwchainsearch.Server
	entryCount int
	// indexes holds the index of each endpoint in the roster of the epoch.
	indexes map[kwid.EndpointID]kwmembership.RosterIndex
	// leaderUnpacksLoads means that the leader accepts packed loads.
	leaderUnpacksLoads bool
	// gathering means that the leader is new and has not yet heard from every endpoint.
	gathering bool
	// confirmedAt is when the last watch was sent that the leader has answered.
	confirmedAt time.Time
}

func emptyView() *view {
	return &view{endpoints: make(map[kwid.EndpointID]kwmembership.RosterRow), entryCount: 1}
}

// watchControl keeps the view up to date until the context ends.
func (g *Gateway) watchControl(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := g.fetchView(ctx)
		if err == nil {
			lost = false
			g.logReadyChange()
			continue
		}
		if !lost && ctx.Err() == nil {
			lost = true
			g.deps.Events.Emit(kwevent.ViewLost, "", kwevent.F("error", err.Error()))
		}
		g.logReadyChange()
		kwtime.Sleep(ctx, watchRetryDelay)
	}
}

// watchRetryDelay is the delay after a watch that failed at every control process.
const watchRetryDelay = 50 * time.Millisecond

// fetchView sends one watch to the leader and applies the reply.
func (g *Gateway) fetchView(ctx context.Context) error {
	old := g.view.Load()
	sentAt := g.deps.Now()
	req := kwdirectproto.Watch{
		Entry:             g.cfg.Node,
		Epoch:             old.epoch,
		Version:           old.version,
		DeclarationNumber: old.declarationNumber,
		MaxWait:           watchMaxWait,
		Requests:          g.retryBudgets.Requests(time.Now()),
		// A leader of an older version ignores these.
		AcceptsPackedLoads: true,
		AcceptsDelta:       !g.needsWholeDeclaration,
		SoundParts:         g.partGuard.Sounds(time.Now()),
		QuarantinedParts:   g.partGuard.Held(time.Now()),
	}
	req.SoundRequests, req.HeldRequests = g.partGuard.SoundRequests(time.Now()), g.partGuard.HeldRequests(time.Now())
	req.SuspectRequests = g.partGuard.SuspectRequests(time.Now())
	if age, ok := g.partGuard.LastSound(time.Now()); ok {
		req.LastSoundAge = &age
	}
	begin := time.Now()
	req.Limits = g.scheduler.limits.Reports(begin)
	req.Admission = g.scheduler.admissionRows(begin)
	if own := g.scheduler.ownLoads(); old.leaderUnpacksLoads {
		req.PackedLoads = kwdirectproto.PackLoads(old.indexLoads(own))
	} else {
		req.Loads = own
	}
	ctx, cancel := context.WithTimeout(ctx, 3*(watchMaxWait+watchTimeout))
	defer cancel()
	var reply kwdirectproto.View
	if err := g.leader.Call(ctx, kwdirectproto.KindWatch, req, &reply, watchMaxWait); err != nil {
		return err
	}
	g.leader.SetMembers(reply.ControlAddresses)
	next, err := g.mergeView(old, reply)
	if err != nil {
		return err
	}
	loads, err := next.othersLoads(reply)
	if err != nil {
		return err
	}
	next.confirmedAt = sentAt
	g.partGuard.Apply(time.Now(), reply.SuspectParts, reply.QuarantinedParts, reply.Gathering)
	g.applyHeldRequests(reply)
	g.reportReplaced(old, next)
	g.view.Store(next)
	g.reportKeyCheck(old, next)
	g.scheduler.applyView(next, loads)
	g.applyLoans(begin, reply.Limits)
	g.scheduler.applyAdmission(time.Now(), reply.Admission)
	g.crashLog.retain(func(process kwmembership.Process) bool {
		row, ok := next.endpoints[process.Endpoint]
		return ok && row.Announcement.StartedMillis == process.StartedMillis
	})
	if failed := g.crashReports.takeFailed(); failed || next.epoch != old.epoch {
		g.goBackground(g.reportCrashesAgain)
	}
	g.retryBudgets.SetEntryCount(next.entryCount)
	g.hedger.SetShare(g.hedgeShare(next))
	g.viewChanged.broadcast()
	if next.declarationNumber != old.declarationNumber || next.version != old.version || next.epoch != old.epoch {
		g.deps.Events.Emit(kwevent.ViewApplied, "", kwevent.F("number", next.declarationNumber), kwevent.F("epoch", next.epoch),
			kwevent.F("version", next.version), kwevent.F("endpoints", len(next.endpoints)), kwevent.F("rows", len(reply.Endpoints)),
			kwevent.F("full", reply.Full), kwevent.F("gathering", reply.Gathering), kwevent.F("entries", next.entryCount))
	}
	return nil
}

// reportKeyCheck logs and exports whether requests need keys, if the view has changed it.
func (g *Gateway) reportKeyCheck(old, next *view) {
	before, after := old.index.KeyCheck(), next.index.KeyCheck()
	if before == after {
		return
	}
	ignored := int64(0)
	if next.index.Declaration.KeyCheck == kwdeclaration.KeyIgnored {
		ignored = 1
	}
	g.metrics.keysIgnored.Update(ignored)
	g.deps.Events.Emit(kwevent.KeyCheckApplied, "", kwevent.F("number", next.declarationNumber), kwevent.F("before", before), kwevent.F("after", after),
		kwevent.F("before-number", old.declarationNumber))
}

// mergeView applies the leader's reply to a view. While a new leader still gathers heartbeats, endpoints that it has
// not heard from are kept.
func (g *Gateway) mergeView(old *view, reply kwdirectproto.View) (*view, error) {
	next := *old
	next.epoch, next.version, next.entryCount = reply.Epoch, reply.Version, max(1, reply.EntryCount)
	next.gathering, next.leaderUnpacksLoads = reply.Gathering, reply.AcceptsPackedLoads
	if old.gathering && !reply.Gathering && !reply.Full {
		// The leader has now heard from every live endpoint. Epoch 0 makes the next watch fetch the full list, which
		// drops the endpoints that it lacks.
		next.epoch = 0
	}
	changed := reply.Full || len(reply.Endpoints) > 0
	if changed {
		next.endpoints = mergeEndpoints(old.endpoints, reply)
		next.indexes = mergeIndexes(old.indexes, reply)
	}
	content, err := newDeclaration(old, reply)
	// A delta that cannot be applied must not keep the entry from the declaration.
	g.needsWholeDeclaration = err != nil
	if err != nil {
		return nil, err
	}
	if content != nil {
		decl, err := g.deps.Decoder.Decode(content)
		g.needsWholeDeclaration = err != nil
		if err != nil {
			return nil, err
		}
		next.declarationNumber, next.declarationContent = decl.Number, content
		next.index = kwdeclaration.NewIndex(decl)
		changed = true
	}
	if changed {
		next.indexEndpoints()
	}
	return &next, nil
}

// newDeclaration returns the declaration in a reply, or nil if it holds none that is newer than that of the view.
func newDeclaration(old *view, reply kwdirectproto.View) ([]byte, error) {
	if d := reply.DeclarationDelta; d != nil && d.Number > old.declarationNumber {
		if d.From != old.declarationNumber {
			return nil, kwcode.New(kwcode.FrameMalformed, "delta from declaration %d, not %d", d.From, old.declarationNumber)
		}
		return kwdirectproto.ApplyDelta(old.declarationContent, d.Delta)
	}
	if d := reply.Declaration; d != nil && d.Number > old.declarationNumber {
		return kwdirectproto.Decompress(d.Content)
	}
	return nil, nil
}

func mergeEndpoints(old map[kwid.EndpointID]kwmembership.RosterRow, reply kwdirectproto.View) map[kwid.EndpointID]kwmembership.RosterRow {
	out := make(map[kwid.EndpointID]kwmembership.RosterRow, len(old))
	if !reply.Full || reply.Gathering {
		maps.Copy(out, old)
	}
	for _, row := range reply.Endpoints {
		out[row.Announcement.ID] = row
		if row.State == kwmembership.Gone || row.State == kwmembership.Lost {
			delete(out, row.Announcement.ID)
		}
	}
	return out
}

// mergeIndexes returns the indices of the endpoints in the roster that the reply comes from.
func mergeIndexes(old map[kwid.EndpointID]kwmembership.RosterIndex, reply kwdirectproto.View) map[kwid.EndpointID]kwmembership.RosterIndex {
	out := make(map[kwid.EndpointID]kwmembership.RosterIndex, len(old))
	if !reply.Full {
		maps.Copy(out, old)
	}
	for _, row := range reply.Endpoints {
		out[row.Announcement.ID] = row.Index
		if row.State == kwmembership.Gone || row.State == kwmembership.Lost {
			delete(out, row.Announcement.ID)
		}
	}
	return out
}

// indexLoads returns the loads of endpoints whose index is known, in ascending order of their indices.
func (v *view) indexLoads(loads []kwdirectproto.Load) []kwdirectproto.IndexedLoad {
	out := make([]kwdirectproto.IndexedLoad, 0, len(loads))
	for _, l := range loads {
		if index, ok := v.indexes[l.Endpoint]; ok {
			out = append(out, kwdirectproto.IndexedLoad{Index: index, Used: l.Used, Running: l.Running})
		}
	}
	slices.SortFunc(out, func(a, b kwdirectproto.IndexedLoad) int { return cmp.Compare(a.Index, b.Index) })
	return out
}

// othersLoads returns the loads of all other entries in a reply that has been merged into the view.
func (v *view) othersLoads(reply kwdirectproto.View) ([]kwdirectproto.Load, error) {
	packed, err := reply.PackedLoads.Unpack()
	if err != nil || len(packed) == 0 {
		return reply.Loads, err
	}
	byIndex := make(map[kwmembership.RosterIndex]kwid.EndpointID, len(v.indexes))
	for id, index := range v.indexes {
		byIndex[index] = id
	}
	loads := make([]kwdirectproto.Load, 0, len(packed))
	for _, l := range packed {
		if id, ok := byIndex[l.Index]; ok {
			loads = append(loads, kwdirectproto.Load{Endpoint: id, Used: l.Used, Running: l.Running})
		}
	}
	return loads, nil
}

// indexEndpoints groups the live endpoints by service.
func (v *view) indexEndpoints() {
	v.live = make(map[kwid.ServiceName][]kwmembership.Announcement)
	v.servers = make(map[kwid.ServiceName][]kwchainsearch.Server)
	for _, row := range v.endpoints {
		a := row.Announcement
		if row.State != kwmembership.Live {
			continue
		}
		v.live[a.Service] = append(v.live[a.Service], a)
		if s, ok := newModelServer(v.modelEngine(a.Service), a); ok {
			v.servers[a.Service] = append(v.servers[a.Service], s)
		}
	}
}

// forService returns the part of the view that requests of a service need once they have been routed.
func (v *view) forService(name kwid.ServiceName) *view {
	out := *v
	out.declarationContent, out.index = nil, v.index.ForService(name)
	return &out
}

// hasService reports whether a service is declared or has live endpoints.
func (v *view) hasService(name kwid.ServiceName) bool {
	return len(v.live[name]) > 0 || v.index != nil && v.index.Service(name) != nil
}

func (v *view) hasRoute(name string) bool {
	return v.index != nil && slices.ContainsFunc(v.index.Declaration.Routes, func(r kwdeclaration.Route) bool { return r.Name == name })
}

// modelEngine returns the engine of a service whose servers hold layers of a model, nil for any other service.
func (v *view) modelEngine(name kwid.ServiceName) *kwdeclaration.Engine {
	if v.index == nil {
		return nil
	}
	s := v.index.Service(name)
	if s == nil || s.Engine == nil || s.Engine.Layers == 0 {
		return nil
	}
	return s.Engine
}

// modelServers returns the model servers of a service as an engine describes them.
func (v *view) modelServers(name kwid.ServiceName, engine *kwdeclaration.Engine) []kwchainsearch.Server {
	var out []kwchainsearch.Server
	for _, a := range v.live[name] {
		if s, ok := newModelServer(engine, a); ok {
			out = append(out, s)
		}
	}
	return out
}

// newModelServer returns the server that an announcement describes, without load; ok is false if the engine does not describe it.
func newModelServer(engine *kwdeclaration.Engine, a kwmembership.Announcement) (s kwchainsearch.Server, ok bool) {
	if engine == nil {
		return s, false
	}
	s, ok = kwchainsearch.NewServer(engine, a.Accelerator, a.Layers)
	s.ID, s.Address, s.Zone = a.ID, a.Address, a.Zone
	return s, ok
}

// waitForView waits for a valid view while one can be expected soon and the caller's timeout allows: after a start or
// the loss of the leader, the next one is elected within the time of an election.
func (g *Gateway) waitForView(q *request) {
	timeout := viewWaitTimeout
	if q.meta.Timeout > 0 {
		timeout = min(timeout, time.Duration(float64(q.meta.Timeout)*viewWaitShare))
	}
	deadline := q.arrived.Add(timeout)
	for !g.viewValid(q.view) && time.Now().Before(deadline) && g.viewExpectedSoon(q.view) {
		changed := g.viewChanged.next()
		if q.view = g.view.Load(); g.viewValid(q.view) {
			return
		}
		if g.stopping.Load() {
			break
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-q.r.Context().Done():
			deadline = time.Now()
		}
		timer.Stop()
		q.view = g.view.Load()
	}
	q.waited = time.Since(q.arrived)
}

// viewExpectedSoon reports whether the view was lost so recently that an election can still bring a new one.
func (g *Gateway) viewExpectedSoon(v *view) bool {
	lostAt := g.started
	if expiry := v.confirmedAt.Add(g.cfg.ViewLease); v.index != nil && expiry.After(lostAt) {
		lostAt = expiry
	}
	return g.deps.Now().Sub(lostAt) < viewLossGrace
}

// notifier wakes the requests that wait for a view, also when the entry begins to stop.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed by the next broadcast.
func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// broadcast wakes all goroutines that wait on a channel from next.
func (n *notifier) broadcast() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// viewValid reports whether requests may be served by the view: the leader has confirmed it within the view lease.
func (g *Gateway) viewValid(v *view) bool {
	return v.index != nil && g.deps.Now().Sub(v.confirmedAt) < g.cfg.ViewLease
}
