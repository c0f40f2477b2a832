package kwagententry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlimit"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// view is an immutable snapshot of the fleet that requests are served with.
type view struct {
	version   uint64
	revision  kwid.Revision
	fleet     *kwsiteconfig.Fleet
	endpoints map[kwid.EndpointID]kwmembership.Endpoint
	// entryCount and entryIndex determine this entry's share of each workspace's limit.
	entryCount int
	entryRank  int
	// workspaces holds this site's workspaces by the SHA-256 digest of their token.
	workspaces map[string]kwsiteconfig.Workspace
	graphs     map[kwid.ModelName]modelGraphs
	byService  map[kwid.ServiceName][]kwmembership.Endpoint
	liveIDs    []kwid.EndpointID
	ownerSites map[kwid.WorkspaceName]kwid.Site
}

// modelGraphs holds the layer graphs of a model: over this site, and over all sites as a fallback.
type modelGraphs struct {
	site *kwmaxflow.Graph
	all  *kwmaxflow.Graph
}

// watchControl keeps a subscription to control's views until the context ends.
func (r *Role) watchControl(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.subscribe(ctx)
		if ctx.Err() != nil {
			return nil
		}
		r.deps.Events.Emit(kwevent.ViewLost, "", kwevent.F("error", err.Error()))
		r.control.NextAddress()
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeInterval):
		}
	}
	return nil
}

const (
	resubscribeInterval = 100 * time.Millisecond
	dialTimeout         = 2 * time.Second
)

// subscribe opens a stream to control and applies the views that arrive until the stream fails.
func (r *Role) subscribe(ctx context.Context) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	s, err := r.transport.Open(dialCtx, r.control.Address(), "")
	if err != nil {
		return err
	}
	defer s.Close()
	if s.Peer().Role != kwkeys.RoleControl {
		return kwcode.New(kwcode.PeerUnknown, "%s is not a control process", s.Peer().Node)
	}
	entry := kwmembership.Entry{ID: r.cfg.Node, Incarnation: kwid.Incarnation(r.startedAt.UnixNano()), Site: r.cfg.Site, Revision: r.Revision()}
	if err := s.Send(kwagentproto.KindWatch, kwagentproto.Watch{Entry: entry}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	renewals := newRenewalTimes()
	go r.renewView(ctx, cancel, s, renewals)
	stopReading := context.AfterFunc(ctx, s.Abort)
	defer stopReading()
	return r.receiveViews(ctx, s, renewals)
}

// renewView asks control to confirm the view, once per renew interval.
func (r *Role) renewView(ctx context.Context, cancel context.CancelCauseFunc, s *kwquic.Stream, renewals *renewalTimes) {
	tick := time.NewTicker(r.cfg.ViewRenewInterval)
	defer tick.Stop()
	for number := uint64(1); ; number++ {
		renewals.record(number, time.Since(r.startedAt))
		if err := s.Send(kwagentproto.KindViewAck, r.newViewAck(number)); err != nil {
			cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// newViewAck returns a message that reports to control which view the entry has; number identifies the renewal
// request.
func (r *Role) newViewAck(number uint64) kwagentproto.ViewAck {
	out := kwagentproto.ViewAck{Sequence: number}
	if v := r.view.Load(); v != nil {
		out.Version = v.version
		out.Revision = v.revision
	}
	return out
}

// receiveViews applies the views that arrive; one that changes something is acknowledged at once.
func (r *Role) receiveViews(ctx context.Context, s *kwquic.Stream, renewals *renewalTimes) error {
	for {
		f, err := s.Recv()
		if err != nil {
			return err
		}
		var msg kwagentproto.View
		if err := f.Expect(kwagentproto.KindView, &msg); err != nil {
			return err
		}
		changed, err := r.applyView(&msg)
		if err != nil {
			return err
		}
		r.loads.applyReport(r.view.Load().liveIDs, msg.Loads)
		r.viewReceivedAt.Store(int64(time.Since(r.startedAt)))
		if at, ok := renewals.lookup(msg.AckedSequence); ok {
			r.viewConfirmedAt.Store(int64(at))
		}
		if !changed {
			continue
		}
		if err := s.Send(kwagentproto.KindViewAck, r.newViewAck(msg.AckedSequence)); err != nil {
			return err
		}
	}
}

// applyView builds and stores the view that results from a message and reports whether it changed anything. A message
// with an older revision is an error.
func (r *Role) applyView(msg *kwagentproto.View) (bool, error) {
	old := r.view.Load()
	if old != nil && msg.Revision < old.revision {
		return false, kwcode.New(kwcode.RevisionConflict, "view has revision %d, the entry already serves revision %d", msg.Revision, old.revision)
	}
	if old != nil && !msg.Full && msg.Fleet == nil && len(msg.Endpoints) == 0 && len(msg.Owners) == 0 && msg.EntryCount == old.entryCount && msg.EntryRank == old.entryRank {
		return false, nil
	}
	next := r.nextView(old, msg)
	r.view.Store(next)
	r.applyLimits(next)
	r.ejector.SetEndpointCount(len(next.endpoints))
	r.deps.Events.Emit(kwevent.ViewApplied, "", kwevent.F("revision", next.revision), kwevent.F("version", next.version))
	return true, nil
}

// nextView returns the view that results from applying a full or partial message to the old one.
func (r *Role) nextView(old *view, msg *kwagentproto.View) *view {
	next := &view{
		version:    msg.Version,
		revision:   msg.Revision,
		fleet:      msg.Fleet,
		entryCount: msg.EntryCount,
		entryRank:  msg.EntryRank,
		endpoints:  make(map[kwid.EndpointID]kwmembership.Endpoint),
	}
	if old != nil && !msg.Full {
		maps.Copy(next.endpoints, old.endpoints)
	}
	if old != nil && msg.Fleet == nil {
		next.fleet = old.fleet
	}
	if old != nil && msg.Patched {
		next.fleet = kwsiteconfig.ApplyPatches(old.fleet, msg.Fleet, msg.Patches)
	}
	for _, endpoint := range msg.Endpoints {
		next.endpoints[endpoint.ID] = endpoint
	}
	next.liveIDs = liveEndpointIDs(next.endpoints)
	next.ownerSites = mergeOwners(old, msg)
	if next.fleet == nil {
		return next
	}
	next.workspaces = r.workspacesByToken(next.fleet)
	next.byService = endpointsByService(next.endpoints)
	next.graphs = r.buildGraphs(next)
	return next
}

func (r *Role) workspacesByToken(fleet *kwsiteconfig.Fleet) map[string]kwsiteconfig.Workspace {
	out := make(map[string]kwsiteconfig.Workspace)
	site, ok := fleet.Site(r.cfg.Site)
	if !ok {
		return out
	}
	for _, w := range site.Workspaces {
		out[w.TokenSHA256] = w
	}
	return out
}

// mergeOwners returns the site that owns each workspace's writes; while the ownership moves, that is the next site.
func mergeOwners(old *view, msg *kwagentproto.View) map[kwid.WorkspaceName]kwid.Site {
	if old != nil && !msg.Full && len(msg.Owners) == 0 {
		return old.ownerSites
	}
	out := make(map[kwid.WorkspaceName]kwid.Site)
	if old != nil && !msg.Full {
		maps.Copy(out, old.ownerSites)
	}
	for _, owner := range msg.Owners {
		out[owner.Workspace] = owner.Site
		if owner.NextSite != "" {
			out[owner.Workspace] = owner.NextSite
		}
	}
	return out
}

// liveEndpointIDs lists the live endpoints in the order of control's load table.
func liveEndpointIDs(endpoints map[kwid.EndpointID]kwmembership.Endpoint) []kwid.EndpointID {
	var out []kwid.EndpointID
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		if endpoints[id].State == kwmembership.Live {
			out = append(out, id)
		}
	}
	return out
}

func endpointsByService(endpoints map[kwid.EndpointID]kwmembership.Endpoint) map[kwid.ServiceName][]kwmembership.Endpoint {
	out := make(map[kwid.ServiceName][]kwmembership.Endpoint)
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		e := endpoints[id]
		if e.State == kwmembership.Live && e.Service != "" {
			out[e.Service] = append(out[e.Service], e)
		}
	}
	return out
}

func (r *Role) buildGraphs(v *view) map[kwid.ModelName]modelGraphs {
	out := make(map[kwid.ModelName]modelGraphs)
	links := zoneLinks(v.fleet)
	for _, m := range v.fleet.Models {
		out[m.Name] = r.buildModelGraphs(v, m, links)
	}
	return out
}

func (r *Role) buildModelGraphs(v *view, m kwsiteconfig.Model, links kwmaxflow.Links) modelGraphs {
	return modelGraphs{
		site: kwmaxflow.NewGraph(m.Layers, liveStages(v.endpoints, m.Name, r.cfg.Site), links),
		all:  kwmaxflow.NewGraph(m.Layers, liveStages(v.endpoints, m.Name, ""), links),
	}
}

// graphsOf returns the graphs of the model of an admitted request, which the fleet may no longer declare.
func (r *Role) graphsOf(v *view, m kwsiteconfig.Model) modelGraphs {
	if graphs, ok := v.graphs[m.Name]; ok {
		return graphs
	}
	return r.buildModelGraphs(v, m, zoneLinks(v.fleet))
}

// liveStages lists the live stages of a model at a site; an empty site means all.
func liveStages(endpoints map[kwid.EndpointID]kwmembership.Endpoint, model kwid.ModelName, site kwid.Site) []kwmaxflow.Stage {
	var out []kwmaxflow.Stage
	for _, endpoint := range endpoints {
		if endpoint.State != kwmembership.Live || endpoint.Model != model || site != "" && endpoint.Site != site {
			continue
		}
		out = append(out, kwmaxflow.Stage{
			Endpoint:    endpoint.ID,
			Incarnation: endpoint.Incarnation,
			Agent:       endpoint.Agent,
			Address:     endpoint.Address,
			Zone:        endpoint.Zone,
			Layers:      endpoint.Layers,
			TokenRate:   endpoint.TokenRate,
		})
	}
	return out
}

// activationBits is the size of one token's activations on a link between stages.
const activationBits = 8 * 16 * 1024

const bitsPerMegabit = 1e6

// zoneLinks returns the latency and the rate, in tokens per second, of each link between zones.
func zoneLinks(fleet *kwsiteconfig.Fleet) kwmaxflow.Links {
	out := make(kwmaxflow.Links)
	for _, site := range fleet.Sites {
		for _, link := range site.Links {
			out[kwmaxflow.ZonePair{From: link.From, To: link.To}] = kwmaxflow.Link{
				Latency: link.Latency.Std(),
				Rate:    link.BandwidthMbps * bitsPerMegabit / activationBits,
			}
		}
	}
	return out
}

// applyLimits sets this entry's share of each workspace's fleet-wide limit.
func (r *Role) applyLimits(v *view) {
	var shares []kwlimit.Share
	for _, w := range v.workspaces {
		shares = append(shares, kwlimit.Share{
			Workspace:   w.Name,
			MaxInFlight: kwlimit.Split(w.MaxRequestsInFlight, v.entryCount, v.entryRank),
		})
	}
	r.limiter.SetShares(shares)
}

// viewRetryAfter is the Retry-After of requests that are rejected because the entry has no valid view.
const viewRetryAfter = 2 * time.Second

// checkServing returns an error if requests can't be admitted, because the entry is stopping or its view has expired.
func (r *Role) checkServing() error {
	if r.stopping.Load() {
		return kwcode.New(kwcode.EntryStopping, "entry %s is stopping; use another entry", r.cfg.Node).After(time.Second)
	}
	v := r.view.Load()
	if v == nil || v.fleet == nil {
		return kwcode.New(kwcode.ViewExpired, "entry %s has no configuration yet", r.cfg.Node).After(viewRetryAfter)
	}
	age := time.Since(r.startedAt) - time.Duration(r.viewConfirmedAt.Load())
	if age > r.cfg.ViewLease {
		return kwcode.New(kwcode.ViewExpired, "the configuration was last confirmed %s ago", age.Round(time.Millisecond)).After(viewRetryAfter)
	}
	return nil
}

// workspaceByToken finds the workspace of a bearer token; an empty one has none.
func (v *view) workspaceByToken(token string) (kwsiteconfig.Workspace, bool) {
	if token == "" {
		return kwsiteconfig.Workspace{}, false
	}
	sum := sha256.Sum256([]byte(token))
	w, ok := v.workspaces[hex.EncodeToString(sum[:])]
	return w, ok
}
