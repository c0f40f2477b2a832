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

// view is an immutable picture of the fleet that requests are served with.
type view struct {
	version   uint64
	revision  kwid.Revision
	fleet     *kwsiteconfig.Fleet
	endpoints map[kwid.EndpointID]kwmembership.Endpoint
	entries   int
	place     int
	tokens    map[string]kwsiteconfig.Workspace
	graphs    map[kwid.ModelName]modelGraphs
	services  map[kwid.ServiceName][]kwmembership.Endpoint
	live      []kwid.EndpointID
	owners    map[kwid.WorkspaceName]kwid.Site
}

// modelGraphs holds the layer graphs of a model: over this site, and over all sites as a fallback.
type modelGraphs struct {
	site *kwmaxflow.Graph
	all  *kwmaxflow.Graph
}

// watch keeps the subscription to control until the context ends.
func (r *Role) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		err := r.subscribe(ctx)
		if ctx.Err() != nil {
			return nil
		}
		r.deps.Events.Emit(kwevent.ViewLost, "", kwevent.F("error", err.Error()))
		r.control.NextAddress()
		select {
		case <-ctx.Done():
		case <-time.After(resubscribePause):
		}
	}
	return nil
}

const (
	resubscribePause = 100 * time.Millisecond
	subscribeTimeout = 2 * time.Second
)

func (r *Role) subscribe(ctx context.Context) error {
	dial, stop := context.WithTimeout(ctx, subscribeTimeout)
	defer stop()
	s, err := r.wire.Open(dial, r.control.Address(), "")
	if err != nil {
		return err
	}
	defer s.Close()
	if s.Peer().Role != kwkeys.RoleControl {
		return kwcode.New(kwcode.PeerUnknown, "%s is no control process", s.Peer().Node)
	}
	entry := kwmembership.Entry{ID: r.cfg.Node, Incarnation: kwid.Incarnation(r.started.UnixNano()), Site: r.cfg.Site, Revision: r.Revision()}
	if err := s.Send(kwagentproto.KindWatch, kwagentproto.Watch{Entry: entry}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := newSentTimes()
	go r.renew(ctx, cancel, s, sent)
	stopReading := context.AfterFunc(ctx, s.Abort)
	defer stopReading()
	return r.receive(ctx, s, sent)
}

// renew sends a confirmation request now and then.
func (r *Role) renew(ctx context.Context, cancel context.CancelCauseFunc, s *kwquic.Stream, sent *sentTimes) {
	tick := time.NewTicker(r.cfg.Renew)
	defer tick.Stop()
	for number := uint64(1); ; number++ {
		sent.put(number, time.Since(r.started))
		if err := s.Send(kwagentproto.KindViewAck, r.seen(number)); err != nil {
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

func (r *Role) seen(number uint64) kwagentproto.ViewAck {
	out := kwagentproto.ViewAck{Sequence: number}
	if v := r.view.Load(); v != nil {
		out.Version = v.version
		out.Revision = v.revision
	}
	return out
}

// receive applies views; a view that changes something is acknowledged at once.
func (r *Role) receive(ctx context.Context, s *kwquic.Stream, sent *sentTimes) error {
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
		r.loads.report(r.view.Load().live, msg.Loads)
		r.watching.Store(int64(time.Since(r.started)))
		if at, ok := sent.take(msg.AckedSequence); ok {
			r.confirmed.Store(int64(at))
		}
		if !changed {
			continue
		}
		if err := s.Send(kwagentproto.KindViewAck, r.seen(msg.AckedSequence)); err != nil {
			return err
		}
	}
}

// applyView builds the next view; a revision that goes back is refused.
func (r *Role) applyView(msg *kwagentproto.View) (bool, error) {
	old := r.view.Load()
	if old != nil && msg.Revision < old.revision {
		return false, kwcode.New(kwcode.RevisionConflict, "revision %d after %d", msg.Revision, old.revision)
	}
	if old != nil && !msg.Full && msg.Fleet == nil && len(msg.Endpoints) == 0 && len(msg.Owners) == 0 && msg.EntryCount == old.entries && msg.EntryRank == old.place {
		return false, nil
	}
	next := r.nextView(old, msg)
	r.view.Store(next)
	r.applyLimits(next)
	r.ejector.SetEndpointCount(len(next.endpoints))
	r.deps.Events.Emit(kwevent.ViewApplied, "", kwevent.F("revision", next.revision), kwevent.F("version", next.version))
	return true, nil
}

func (r *Role) nextView(old *view, msg *kwagentproto.View) *view {
	next := &view{
		version:   msg.Version,
		revision:  msg.Revision,
		fleet:     msg.Fleet,
		entries:   msg.EntryCount,
		place:     msg.EntryRank,
		endpoints: make(map[kwid.EndpointID]kwmembership.Endpoint),
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
	for _, e := range msg.Endpoints {
		next.endpoints[e.ID] = e
	}
	next.live = live(next.endpoints)
	next.owners = ownersOf(old, msg)
	if next.fleet == nil {
		return next
	}
	next.tokens = r.tokens(next.fleet)
	next.services = services(next.endpoints)
	next.graphs = r.graphs(next)
	return next
}

func (r *Role) tokens(fleet *kwsiteconfig.Fleet) map[string]kwsiteconfig.Workspace {
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

// ownersOf returns the sites that own workspaces' writes; during a hand-over the next site is named.
func ownersOf(old *view, msg *kwagentproto.View) map[kwid.WorkspaceName]kwid.Site {
	if old != nil && !msg.Full && len(msg.Owners) == 0 {
		return old.owners
	}
	out := make(map[kwid.WorkspaceName]kwid.Site)
	if old != nil && !msg.Full {
		maps.Copy(out, old.owners)
	}
	for _, o := range msg.Owners {
		out[o.Workspace] = o.Site
		if o.NextSite != "" {
			out[o.Workspace] = o.NextSite
		}
	}
	return out
}

// live lists the live endpoints in the order of control's load table.
func live(endpoints map[kwid.EndpointID]kwmembership.Endpoint) []kwid.EndpointID {
	var out []kwid.EndpointID
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		if endpoints[id].State == kwmembership.Live {
			out = append(out, id)
		}
	}
	return out
}

func services(endpoints map[kwid.EndpointID]kwmembership.Endpoint) map[kwid.ServiceName][]kwmembership.Endpoint {
	out := make(map[kwid.ServiceName][]kwmembership.Endpoint)
	for _, id := range slices.Sorted(maps.Keys(endpoints)) {
		e := endpoints[id]
		if e.State == kwmembership.Live && e.Service != "" {
			out[e.Service] = append(out[e.Service], e)
		}
	}
	return out
}

func (r *Role) graphs(v *view) map[kwid.ModelName]modelGraphs {
	out := make(map[kwid.ModelName]modelGraphs)
	links := links(v.fleet)
	for _, m := range v.fleet.Models {
		local := stages(v.endpoints, m.Name, r.cfg.Site)
		all := stages(v.endpoints, m.Name, "")
		out[m.Name] = modelGraphs{
			site: kwmaxflow.NewGraph(m.Layers, local, links),
			all:  kwmaxflow.NewGraph(m.Layers, all, links),
		}
	}
	return out
}

// stages lists the live stages of a model at a site; an empty site means all.
func stages(endpoints map[kwid.EndpointID]kwmembership.Endpoint, model kwid.ModelName, site kwid.Site) []kwmaxflow.Stage {
	var out []kwmaxflow.Stage
	for _, e := range endpoints {
		if e.State != kwmembership.Live || e.Model != model || site != "" && e.Site != site {
			continue
		}
		out = append(out, kwmaxflow.Stage{
			Endpoint:    e.ID,
			Incarnation: e.Incarnation,
			Agent:       e.Agent,
			Address:     e.Address,
			Zone:        e.Zone,
			Layers:      e.Layers,
			Rate:        e.TokenRate,
		})
	}
	return out
}

// activationBits is the size of one token's activation on a link, in bits.
const activationBits = 8 * 16 * 1024

const bitsPerMegabit = 1e6

func links(fleet *kwsiteconfig.Fleet) kwmaxflow.Links {
	out := make(kwmaxflow.Links)
	for _, site := range fleet.Sites {
		for _, l := range site.Links {
			out[kwmaxflow.ZonePair{From: l.From, To: l.To}] = kwmaxflow.Link{
				Latency: l.Latency.Std(),
				Rate:    l.BandwidthMbps * bitsPerMegabit / activationBits,
			}
		}
	}
	return out
}

// applyLimits gives this entry its part of each workspace's fleet-wide limit.
func (r *Role) applyLimits(v *view) {
	var shares []kwlimit.Share
	for _, w := range v.tokens {
		shares = append(shares, kwlimit.Share{
			Workspace:   w.Name,
			MaxInFlight: kwlimit.Split(w.MaxRequestsInFlight, v.entries, v.place),
		})
	}
	r.limiter.SetShares(shares)
}

const viewRetry = 2 * time.Second

// admits tells whether requests may be admitted now: not while stopping, and only with a confirmed view.
func (r *Role) admits() error {
	if r.stopping.Load() {
		return kwcode.New(kwcode.EntryStopping, "entry %s is stopping; use another", r.cfg.Node).After(time.Second)
	}
	v := r.view.Load()
	if v == nil || v.fleet == nil {
		return kwcode.New(kwcode.ViewExpired, "entry %s has no configuration yet", r.cfg.Node).After(viewRetry)
	}
	age := time.Since(r.started) - time.Duration(r.confirmed.Load())
	if age > r.cfg.ViewLease {
		return kwcode.New(kwcode.ViewExpired, "the configuration was last confirmed %s ago", age.Round(time.Millisecond)).After(viewRetry)
	}
	return nil
}

// workspace finds the workspace of a bearer token.
func (v *view) workspace(token string) (kwsiteconfig.Workspace, bool) {
	sum := sha256.Sum256([]byte(token))
	w, ok := v.tokens[hex.EncodeToString(sum[:])]
	return w, ok
}
