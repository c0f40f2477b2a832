package kwagent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcalltable"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwcorrelate"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwengine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// Config holds the settings of an agent; exactly one of EngineURL and ServiceURL is set.
type Config struct {
	Node       kwid.NodeID
	Listen     string
	Endpoint   kwid.EndpointID
	Site       kwid.Site
	Zone       kwid.AvailabilityZone
	Control    []string
	EngineURL  string
	ServiceURL string
	Service    kwid.ServiceName
	// HTTPListen serves health and metrics; empty means not at all.
	HTTPListen string
	Announce   time.Duration
	// StepTimeout is how long a token may take before the chain's stages are probed.
	StepTimeout time.Duration
	// DrainTimeout bounds the wait for work in progress at a planned stop.
	DrainTimeout time.Duration
}

// Default spans of an agent.
const (
	DefaultAnnounce     = time.Second
	DefaultStepTimeout  = time.Second
	DefaultDrainTimeout = 2 * time.Minute
)

// keepCalls is how long the outcome of a call is kept in memory.
const keepCalls = 10 * time.Minute

// Deps holds what the process hands down.
type Deps struct {
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Events *kwevent.Emitter
}

// Role is a running agent.
type Role struct {
	cfg         Config
	deps        Deps
	incarnation kwid.Incarnation
	wire        *kwquic.Node
	control     *kwcontrol.Client
	engine      *kwengine.Client
	lookups     *http.Transport
	writes      *http.Transport
	answers     *kwcorrelate.Matcher[kwstatemachine.Response]
	cancel      context.CancelFunc
	done        chan error
	kick        chan struct{}
	health      *health
	registry    metrics.Registry
	// announced is when control last answered an announcement, in Unix nanoseconds.
	announced atomic.Int64

	mu       sync.Mutex
	info     kwengine.Info
	stopping bool
	draining bool
	gone     bool
	active   int
	work     map[kwid.RequestID]*work
	returns  map[returnKey]chan kwagentproto.Token
	calls    *kwcalltable.Table
	ended    map[kwcalltable.AttemptID]chan struct{}
	fence    kwid.FencingToken
}

// New opens the listener; the role serves after Start.
func New(cfg Config, deps Deps) (*Role, error) {
	r := &Role{
		cfg:         cfg,
		deps:        deps,
		incarnation: kwid.Incarnation(time.Now().UnixNano()),
		lookups:     newTransport(false),
		writes:      newTransport(true),
		answers:     kwcorrelate.New[kwstatemachine.Response](),
		done:        make(chan error, 1),
		kick:        make(chan struct{}, 1),
		registry:    metrics.NewRegistry(),
		work:        make(map[kwid.RequestID]*work),
		returns:     make(map[returnKey]chan kwagentproto.Token),
		calls:       kwcalltable.New(keepCalls),
		ended:       make(map[kwcalltable.AttemptID]chan struct{}),
	}
	if cfg.EngineURL != "" {
		r.engine = kwengine.New(kwengine.Config{URL: cfg.EngineURL, Crossed: r.crossed})
	}
	wire, err := kwquic.Listen(kwquic.Config{
		Listen:    cfg.Listen,
		Keys:      deps.Keys,
		Clock:     deps.Clock,
		Routes:    r.routes(),
		OnRefused: func(err error) { deps.Events.Emit(kwevent.PeerRefused, "", kwevent.F("error", err.Error())) },
	})
	if err != nil {
		return nil, err
	}
	r.wire = wire
	r.control = kwcontrol.NewClient(wire, cfg.Control)
	if cfg.HTTPListen == "" {
		return r, nil
	}
	r.health, err = r.openHealth(cfg.HTTPListen)
	if err != nil {
		wire.Close()
		return nil, err
	}
	return r, nil
}

func (r *Role) crossed(request kwid.RequestID) {
	r.deps.Events.Emit(kwevent.AnswerCrossed, request)
}

func (r *Role) routes() []kwquic.Route {
	entries := []kwkeys.Role{kwkeys.RoleEntry}
	agents := []kwkeys.Role{kwkeys.RoleAgent}
	controls := []kwkeys.Role{kwkeys.RoleControl}
	callers := []kwkeys.Role{kwkeys.RoleEntry, kwkeys.RoleControl}
	routes := []kwquic.Route{
		{Kind: kwagentproto.KindFence, Roles: callers, Handle: r.onFence},
	}
	if r.engine == nil {
		return append(routes, kwquic.Route{Kind: kwagentproto.KindCall, Roles: entries, Handle: r.onCall})
	}
	return append(
		routes,
		kwquic.Route{Kind: kwagentproto.KindProbe, Roles: append(entries, agents...), Handle: r.onProbe},
		kwquic.Route{Kind: kwagentproto.KindSession, Roles: entries, Handle: r.onSession},
		kwquic.Route{Kind: kwagentproto.KindStage, Roles: agents, Handle: r.onStage},
		kwquic.Route{Kind: kwagentproto.KindReturnPath, Roles: agents, Handle: r.onReturn},
		kwquic.Route{Kind: kwagentproto.KindOrder, Roles: controls, Handle: r.onOrder},
	)
}

// Address returns the address for the system's own processes.
func (r *Role) Address() string { return r.wire.Address() }

// Incarnation returns the number of this life of the agent.
func (r *Role) Incarnation() kwid.Incarnation { return r.incarnation }

// Start begins to serve and to announce.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	var g run.Group
	g.Add(func() error { return r.announce(ctx) }, func(error) { cancel() })
	if r.health != nil {
		g.Add(r.health.serve, func(error) { r.health.close() })
	}
	go func() { r.done <- g.Run() }()
	r.deps.Events.Emit(kwevent.ProcessStarted, "", kwevent.F("role", "agent"), kwevent.F("endpoint", r.cfg.Endpoint))
}

// Traffic returns what the role's connections to other processes have carried.
func (r *Role) Traffic() kwquic.Traffic { return r.wire.Traffic() }

// Done returns a channel that gives the error with which the role ended.
func (r *Role) Done() <-chan error { return r.done }

// Stop shuts the role down gracefully: it takes no new work, finishes what is in progress and leaves.
func (r *Role) Stop() {
	r.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("role", "agent"))
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.announceNow()
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.DrainTimeout)
	defer cancel()
	r.waitIdle(ctx)
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	bye, cancelBye := context.WithTimeout(context.Background(), byeTimeout)
	defer cancelBye()
	_ = r.announceOnce(bye)
	r.cancel()
	r.wire.Wait(bye)
	r.wire.Close()
	r.deps.Events.Emit(kwevent.ProcessStopped, "", kwevent.F("role", "agent"))
}

const (
	byeTimeout = 2 * time.Second
	idlePeriod = 10 * time.Millisecond
)

// waitIdle returns once no work is in progress or the context ends.
func (r *Role) waitIdle(ctx context.Context) {
	tick := time.NewTicker(idlePeriod)
	defer tick.Stop()
	for r.Active() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Kill drops the network at once, as a crash of the VM would.
func (r *Role) Kill() {
	r.wire.Kill()
	r.cancel()
}

// Active returns how many requests are in progress.
func (r *Role) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// enter admits new work, or refuses it truthfully while the endpoint is leaving.
func (r *Role) enter() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.enterLocked()
}

func (r *Role) enterLocked() error {
	if r.stopping || r.draining {
		return kwcode.New(kwcode.EndpointLeaving, "endpoint %q is leaving", r.cfg.Endpoint).WithEndpoint(string(r.cfg.Endpoint))
	}
	r.active++
	return nil
}

func (r *Role) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

// refused notes work that was turned down before it ran.
func (r *Role) refused(request kwid.RequestID, err error) error {
	r.deps.Events.Emit(kwevent.WorkRefused, request, kwevent.F("error", err.Error()))
	return err
}

// announce renews the endpoint's lease until the context ends.
func (r *Role) announce(ctx context.Context) error {
	tick := time.NewTicker(r.cfg.Announce)
	defer tick.Stop()
	failing := false
	for {
		err := r.announceOnce(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			r.deps.Events.Emit(kwevent.AnnounceFailed, "", kwevent.F("error", err.Error()))
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.kick:
		}
	}
}

func (r *Role) announceNow() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// announceOnce renews the lease while the endpoint answers; an endpoint that does not answer lets it run out.
func (r *Role) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Announce+byeTimeout)
	defer cancel()
	if err := r.refreshInfo(ctx); err != nil {
		return err
	}
	var out kwagentproto.AnnounceReply
	if err := r.control.Call(ctx, kwagentproto.KindAnnounce, kwagentproto.Announce{Endpoint: r.endpoint()}, &out); err != nil {
		return err
	}
	r.announced.Store(time.Now().UnixNano())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fence = max(r.fence, out.Fence)
	r.draining = out.Draining
	return nil
}

func (r *Role) refreshInfo(ctx context.Context) error {
	if r.engine == nil {
		return nil
	}
	info, err := r.engine.Info(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info = info
	return nil
}

func (r *Role) endpoint() kwmembership.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := kwmembership.Live
	switch {
	case r.gone:
		state = kwmembership.Gone
	case r.stopping || r.draining:
		state = kwmembership.Leaving
	}
	return kwmembership.Endpoint{
		ID:          r.cfg.Endpoint,
		Agent:       r.cfg.Node,
		Incarnation: r.incarnation,
		Address:     r.wire.Address(),
		Site:        r.cfg.Site,
		Zone:        r.cfg.Zone,
		Model:       r.info.Model,
		Layers:      r.info.Layers,
		TokenRate:   r.info.TokenRate,
		Service:     r.cfg.Service,
		State:       state,
		Load:        kwmaxflow.QuantiseLoad(r.active),
	}
}
