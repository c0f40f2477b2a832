package kwdirectentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdrain"
	"knapweedproxy/core/kwhedge"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwguard"
	"knapweedproxy/io/kwtask"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwtime"
	"knapweedproxy/io/kwupstream"
)

// Gateway is a running entry: it accepts callers' HTTP requests and relays them to endpoints.
type Gateway struct {
	cfg           Config
	deps          Deps
	view          atomic.Pointer[view]
	scheduler     *scheduler
	activeStreams activeStreams
	retryBudgets  *kwretry.SharedBudgets
	loanRefusals  loanRefusals
	hedger        *kwhedge.Hedger
	partGuard     *kwquarantine.Guard
	crashLog      *crashLog
	crashReports  crashReports
	// queued are the streams that wait for a chain.
	queued       queuedRequests
	upstreamPool *kwupstream.Pool
	buffers      *kwbuffer.Budget
	// streams are the requests that chains answer, calls the others.
	calls, streams *kwdrain.Calls
	controlPool    *kwtcprpc.Pool
	leader         *kwtcprpc.LeaderClient
	listener       net.Listener
	readyListener  net.Listener
	// callers and readiness bound what the clients of the listeners can make the entry keep.
	callers, readiness *kwguard.Guard
	server             *http.Server
	readyServer        *http.Server
	metrics            gatewayMetrics
	viewChanged        notifier
	// needsWholeDeclaration is set after a declaration could not be taken over; only watchControl uses it.
	needsWholeDeclaration bool
	started               time.Time
	stopping              atomic.Bool
	// drainEnd is when the requests in progress are ended; it is set before stopping.
	drainEnd atomic.Pointer[time.Time]
	// drainBegan ends when drainEnd is set; beginDrain ends it.
	drainBegan context.Context
	beginDrain context.CancelFunc
	// drained ends when the drain is over; endRequests ends it, and with it the requests in progress.
	drained     context.Context
	endRequests context.CancelFunc
	wasReady    atomic.Bool
	inFlight    atomic.Int64
	ctx         context.Context
	cancel      context.CancelFunc
	background  kwtask.Group
	done        chan error
}

// New opens the listeners; the gateway serves once Start is called.
func New(cfg Config, deps Deps) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{cfg: cfg, deps: deps, ctx: ctx, cancel: cancel, done: make(chan error, 1), started: deps.Now()}
	g.drained, g.endRequests = context.WithCancel(context.Background())
	g.drainBegan, g.beginDrain = context.WithCancel(context.Background())
	g.view.Store(emptyView())
	g.scheduler = newScheduler(cfg)
	g.retryBudgets = kwretry.NewSharedBudgets(cfg.RetryBudget)
	g.hedger = kwhedge.New(kwhedge.DefaultConfig(), cfg.Node)
	g.partGuard = kwquarantine.NewGuard(kwquarantine.DefaultGuardConfig())
	g.crashLog = newCrashLog()
	g.calls, g.streams = kwdrain.NewCalls(), kwdrain.NewCalls()
	g.upstreamPool = kwupstream.NewPool()
	if g.buffers = deps.Buffers; g.buffers == nil {
		g.buffers = kwbuffer.New(0)
	}
	registerBufferMetrics(deps.Metrics, g.buffers)
	g.controlPool = kwtcprpc.NewPool(kwtcprpc.NewTraffic(deps.Metrics, kwdirectproto.KindNames()))
	g.leader = kwtcprpc.NewLeaderClient(g.controlPool, cfg.ControlAddresses)
	g.metrics = newGatewayMetrics(deps.Metrics)
	if err := g.openListeners(); err != nil {
		cancel()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) openListeners() error {
	listener, err := kwguard.Listen(g.cfg.Listen)
	if err != nil {
		return err
	}
	readyListener, err := kwguard.Listen(g.cfg.ReadyListen)
	if err != nil {
		_ = listener.Close()
		return err
	}
	g.listener, g.readyListener = listener, readyListener
	g.openGuards()
	g.server = g.callers.Server(http.HandlerFunc(g.serveHTTP))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.cfg.ReadyPath, g.handleReady)
	g.readyServer = g.readiness.Server(mux)
	return nil
}

// Addresses returns the listen addresses for callers and for readiness checks.
func (g *Gateway) Addresses() (listen, ready string) {
	return g.listener.Addr().String(), g.readyListener.Addr().String()
}

// Start begins to serve; Done reports an unexpected end.
func (g *Gateway) Start() {
	g.goBackground(func() { g.watchControl(g.ctx) })
	g.goBackground(g.sweepIdleConnections)
	g.goBackground(func() { g.serve(g.server, g.acceptCallers(g.listener)) })
	g.goBackground(func() { g.serve(g.readyServer, g.readiness.Wrap(g.readyListener)) })
}

// goBackground runs a function in a goroutine that Stop waits for.
func (g *Gateway) goBackground(f func()) { g.background.Go(f) }

// awaitBackground waits for the functions of goBackground. Requests that are being ended may start more meanwhile.
func (g *Gateway) awaitBackground() { g.background.Wait(context.Background()) }

func (g *Gateway) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case g.done <- kwcode.New(kwcode.ListenFailed, "%v", err):
	default:
	}
}

// Done returns a channel that delivers the error with which the gateway ended.
func (g *Gateway) Done() <-chan error { return g.done }

// SetControlAddresses replaces the addresses of the control processes after the settings have changed.
func (g *Gateway) SetControlAddresses(control []string) { g.leader.SetSeeds(control) }

// Stop shuts down gracefully: it fails readiness checks, asks callers to close their connections, accepts new ones
// until the load balancer has removed the entry, and finishes the requests in flight within DrainTimeout.
func (g *Gateway) Stop() {
	g.drain(drainTimes(time.Now(), g.cfg.DrainTimeout))
	_ = g.readyServer.Close()
	g.cancel()
	g.controlPool.Close()
	g.awaitBackground()
}

// drainTimes returns the times of a drain that begins now: see drain.
func drainTimes(now time.Time, timeout time.Duration) (acceptEnd, drainEnd, exit time.Time) {
	share := func(part float64) time.Duration { return time.Duration(part * float64(timeout)) }
	acceptEnd = now.Add(min(lameDuckTime, share(maxLameDuckShare)))
	return acceptEnd, now.Add(timeout - min(share(drainMarginShare), maxDrainMargin)), now.Add(timeout)
}

// drain accepts connections until acceptEnd, ends the requests in progress at drainEnd, and closes the connections at exit. The
// requests that it ends get their answers in between.
func (g *Gateway) drain(acceptEnd, drainEnd, exit time.Time) {
	g.drainEnd.Store(&drainEnd)
	g.stopping.Store(true)
	g.beginDrain()
	g.viewChanged.broadcast()
	g.logReadyChange()
	time.Sleep(time.Until(acceptEnd))
	err := g.shutdownServer(drainEnd)
	if err != nil {
		g.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("unfinished", g.inFlight.Load()))
	}
	g.endRequests()
	if err != nil && g.shutdownServer(exit) != nil {
		_ = g.server.Close()
	}
}

// shutdownServer waits until no request is in progress, or returns an error at the deadline.
func (g *Gateway) shutdownServer(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return g.server.Shutdown(ctx)
}

// exitTime returns when this entry ends its requests in progress, zero if it is not stopping.
func (g *Gateway) exitTime() time.Time {
	if end := g.drainEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// sweepIdleConnections regularly closes idle upstream connections that have expired or whose endpoint has left the
// view.
func (g *Gateway) sweepIdleConnections() {
	for g.ctx.Err() == nil {
		kwtime.Sleep(g.ctx, idleSweepInterval)
		v := g.view.Load()
		known := make(map[string]bool, len(v.endpoints))
		for _, row := range v.endpoints {
			known[row.Announcement.Address] = true
		}
		g.upstreamPool.Sweep(func(address string) bool { return known[address] })
	}
}

func (g *Gateway) isReady() bool {
	return !g.stopping.Load() && g.viewValid(g.view.Load())
}

// logReadyChange logs a change of readiness.
func (g *Gateway) logReadyChange() {
	ready := g.isReady()
	if g.wasReady.Swap(ready) != ready {
		v := g.view.Load()
		g.deps.Events.Emit(kwevent.ReadyChanged, "", kwevent.F("ready", ready), kwevent.F("number", v.declarationNumber),
			kwevent.F("view-age-ms", g.deps.Now().Sub(v.confirmedAt).Milliseconds()), kwevent.F("stopping", g.stopping.Load()))
	}
}

func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
