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
	Node             kwid.NodeID
	Listen           string
	Endpoint         kwid.EndpointID
	Site             kwid.Site
	Zone             kwid.AvailabilityZone
	ControlAddresses []string
	EngineURL        string
	ServiceURL       string
	Service          kwid.ServiceName
	// HTTPListen is the address for health checks and metrics; empty disables them.
	HTTPListen       string
	AnnounceInterval time.Duration
	// StepTimeout is how long a token may take before the chain's stages are probed.
	StepTimeout time.Duration
	// DrainTimeout bounds the wait for work in progress during a graceful shutdown.
	DrainTimeout time.Duration
}

// Defaults of an agent.
const (
	DefaultAnnounceInterval = time.Second
	DefaultStepTimeout      = time.Second
	DefaultDrainTimeout     = 2 * time.Minute
)

// callRetention is how long the outcome of a call is kept in memory.
const callRetention = 10 * time.Minute

// Deps holds the dependencies that the process provides.
type Deps struct {
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Events *kwevent.Emitter
}

// Role is a running agent.
type Role struct {
	cfg             Config
	deps            Deps
	incarnation     kwid.Incarnation
	transport       *kwquic.Node
	control         *kwcontrol.LeaderClient
	engine          *kwengine.Client
	lookupTransport *http.Transport
	writeTransport  *http.Transport
	responses       *kwcorrelate.Matcher[kwstatemachine.Response]
	cancel          context.CancelFunc
	done            chan error
	announceTrigger chan struct{}
	health          *healthServer
	registry        metrics.Registry
	// lastAnnounced is when control last answered an announcement, in Unix nanoseconds.
	lastAnnounced atomic.Int64

	mu   sync.Mutex
	info kwengine.Info
	// stopping is set by Stop and draining by control; left is set for the last announcement.
	stopping bool
	draining bool
	left     bool
	active   int
	attempts map[kwid.RequestID]*stageAttempt
	// returnPaths holds the token channel of each open session.
	returnPaths map[returnKey]chan kwagentproto.Token
	calls       *kwcalltable.Table
	// callEnds holds, for writes in progress, a channel that is closed when the write has ended.
	callEnds     map[kwcalltable.AttemptID]chan struct{}
	fencingToken kwid.FencingToken
}

// New opens the listener; the role serves once Start is called.
func New(cfg Config, deps Deps) (*Role, error) {
	r := &Role{
		cfg:             cfg,
		deps:            deps,
		incarnation:     kwid.Incarnation(time.Now().UnixNano()),
		lookupTransport: newTransport(false),
		writeTransport:  newTransport(true),
		responses:       kwcorrelate.New[kwstatemachine.Response](),
		done:            make(chan error, 1),
		announceTrigger: make(chan struct{}, 1),
		registry:        metrics.NewRegistry(),
		attempts:        make(map[kwid.RequestID]*stageAttempt),
		returnPaths:     make(map[returnKey]chan kwagentproto.Token),
		calls:           kwcalltable.New(callRetention),
		callEnds:        make(map[kwcalltable.AttemptID]chan struct{}),
	}
	if cfg.EngineURL != "" {
		r.engine = kwengine.New(kwengine.Config{BaseURL: cfg.EngineURL, OnMismatchedReply: r.emitMismatchedReply})
	}
	transport, err := kwquic.Listen(kwquic.Config{
		Listen:    cfg.Listen,
		Keys:      deps.Keys,
		Clock:     deps.Clock,
		Routes:    r.routes(),
		OnRefused: func(err error) { deps.Events.Emit(kwevent.PeerRefused, "", kwevent.F("error", err.Error())) },
	})
	if err != nil {
		return nil, err
	}
	r.transport = transport
	r.control = kwcontrol.NewLeaderClient(transport, cfg.ControlAddresses)
	if cfg.HTTPListen == "" {
		return r, nil
	}
	r.health, err = r.openHealth(cfg.HTTPListen)
	if err != nil {
		transport.Close()
		return nil, err
	}
	return r, nil
}

// emitMismatchedReply logs a reply that arrived in answer to another request than its own.
func (r *Role) emitMismatchedReply(request kwid.RequestID) {
	r.deps.Events.Emit(kwevent.AnswerCrossed, request)
}

// routes returns the message kinds that the agent handles, with the roles that may send them.
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

// Address returns the address for connections from the fleet's own processes.
func (r *Role) Address() string { return r.transport.Address() }

// Incarnation returns the number that identifies this run of the agent.
func (r *Role) Incarnation() kwid.Incarnation { return r.incarnation }

// Start begins to serve and to announce the endpoint.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	var group run.Group
	group.Add(func() error { return r.announceLoop(ctx) }, func(error) { cancel() })
	if r.health != nil {
		group.Add(r.health.serve, func(error) { r.health.close() })
	}
	go func() { r.done <- group.Run() }()
	r.deps.Events.Emit(kwevent.ProcessStarted, "", kwevent.F("role", "agent"), kwevent.F("endpoint", r.cfg.Endpoint))
}

// Traffic returns the traffic totals of the role's connections to other processes.
func (r *Role) Traffic() kwquic.Traffic { return r.transport.Traffic() }

// Done returns a channel that delivers the error with which the role ended.
func (r *Role) Done() <-chan error { return r.done }

// Stop shuts the role down gracefully: it rejects new work, finishes what is in progress and announces that the
// endpoint has left.
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
	r.left = true
	r.mu.Unlock()
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	_ = r.announceOnce(leaveCtx)
	r.cancel()
	r.transport.Wait(leaveCtx)
	r.transport.Close()
	r.deps.Events.Emit(kwevent.ProcessStopped, "", kwevent.F("role", "agent"))
}

const (
	// leaveTimeout bounds the last announcement and the closing of connections.
	leaveTimeout     = 2 * time.Second
	idlePollInterval = 10 * time.Millisecond
)

// waitIdle returns once no work is in progress or the context ends.
func (r *Role) waitIdle(ctx context.Context) {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for r.ActiveRequests() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Kill closes all connections at once, as a crash of the VM would.
func (r *Role) Kill() {
	r.transport.Kill()
	r.cancel()
}

// ActiveRequests returns how many requests are in progress.
func (r *Role) ActiveRequests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// beginWork counts a new piece of work, or rejects it before it runs if the endpoint is leaving.
func (r *Role) beginWork() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beginWorkLocked()
}

func (r *Role) beginWorkLocked() error {
	if r.stopping || r.draining {
		return kwcode.New(kwcode.EndpointLeaving, "endpoint %q is leaving", r.cfg.Endpoint).WithEndpoint(string(r.cfg.Endpoint))
	}
	r.active++
	return nil
}

func (r *Role) endWork() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

// emitRefusal logs work that was rejected before it ran, and returns the error.
func (r *Role) emitRefusal(request kwid.RequestID, err error) error {
	r.deps.Events.Emit(kwevent.WorkRefused, request, kwevent.F("error", err.Error()))
	return err
}

// announceLoop renews the endpoint's lease until the context ends.
func (r *Role) announceLoop(ctx context.Context) error {
	tick := time.NewTicker(r.cfg.AnnounceInterval)
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
		case <-r.announceTrigger:
		}
	}
}

// announceNow makes announceLoop announce without waiting for the next interval.
func (r *Role) announceNow() {
	select {
	case r.announceTrigger <- struct{}{}:
	default:
	}
}

// announceOnce renews the lease if the endpoint responds; the lease of one that does not is left to expire.
func (r *Role) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.AnnounceInterval+leaveTimeout)
	defer cancel()
	if err := r.refreshInfo(ctx); err != nil {
		return err
	}
	var out kwagentproto.AnnounceReply
	if err := r.control.Call(ctx, kwagentproto.KindAnnounce, kwagentproto.Announce{Endpoint: r.endpointRecord()}, &out); err != nil {
		return err
	}
	r.lastAnnounced.Store(time.Now().UnixNano())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fencingToken = max(r.fencingToken, out.FencingToken)
	r.draining = out.Draining
	return nil
}

// refreshInfo fetches the model and layers that the engine holds; it fails if the engine does not respond.
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

// endpointRecord returns the endpoint's present state as announced to control.
func (r *Role) endpointRecord() kwmembership.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := kwmembership.Live
	switch {
	case r.left:
		state = kwmembership.Gone
	case r.stopping || r.draining:
		state = kwmembership.Leaving
	}
	return kwmembership.Endpoint{
		ID:          r.cfg.Endpoint,
		Agent:       r.cfg.Node,
		Incarnation: r.incarnation,
		Address:     r.transport.Address(),
		Site:        r.cfg.Site,
		Zone:        r.cfg.Zone,
		Model:       r.info.Model,
		Layers:      r.info.Layers,
		TokenRate:   r.info.TokenRate,
		Service:     r.cfg.Service,
		State:       state,
		Load:        kwmaxflow.QuantizeLoad(r.active),
	}
}
