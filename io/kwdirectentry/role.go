package kwdirectentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwtime"
	"knapweedproxy/io/kwupstream"
)

// Gateway is a running entry.
type Gateway struct {
	cfg      Config
	deps     Deps
	view     atomic.Pointer[view]
	chooser  *chooser
	active   active
	budgets  *kwretry.SharedBudgets
	loans    loans
	pool     *kwupstream.Pool
	link     *kwtcprpc.Pool
	leader   *kwtcprpc.LeaderClient
	front    net.Listener
	ready    net.Listener
	server   *http.Server
	checks   *http.Server
	measures measures
	arrivals arrivals
	started  time.Time
	stopping atomic.Bool
	wasReady atomic.Bool
	busy     atomic.Int64
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	done     chan error
}

// New opens the listeners; the gate serves after Start.
func New(cfg Config, deps Deps) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{cfg: cfg, deps: deps, ctx: ctx, cancel: cancel, done: make(chan error, 1), started: deps.Now()}
	g.view.Store(emptyView())
	g.chooser = newChooser(cfg)
	g.budgets = kwretry.NewSharedBudgets(cfg.Retry)
	g.pool = kwupstream.NewPool()
	g.link = kwtcprpc.NewPool()
	g.leader = kwtcprpc.NewLeaderClient(g.link, cfg.ControlAddresses)
	g.measures = newMeasures(deps.Metrics)
	if err := g.listen(); err != nil {
		cancel()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) listen() error {
	front, err := net.Listen("tcp", g.cfg.Listen)
	if err != nil {
		return kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	ready, err := net.Listen("tcp", g.cfg.ReadyListen)
	if err != nil {
		_ = front.Close()
		return kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	g.front, g.ready = front, ready
	g.server = &http.Server{
		Handler:           http.HandlerFunc(g.serveHTTP),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.cfg.ReadyPath, g.answerReady)
	g.checks = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return nil
}

// Addresses returns where the gate listens for callers and for readiness checks.
func (g *Gateway) Addresses() (front, ready string) {
	return g.front.Addr().String(), g.ready.Addr().String()
}

// Start begins to serve; Done reports an end that nobody asked for.
func (g *Gateway) Start() {
	g.background(func() { g.keepView(g.ctx) })
	g.background(g.sweep)
	g.background(func() { g.serve(g.server, g.front) })
	g.background(func() { g.serve(g.checks, g.ready) })
}

func (g *Gateway) background(f func()) {
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		f()
	}()
}

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

// Done reports a failure that ended the gate.
func (g *Gateway) Done() <-chan error { return g.done }

// Learn replaces the addresses of control after the settings changed.
func (g *Gateway) Learn(control []string) { g.leader.SetAddresses(control) }

// Stop shuts down gracefully: it stops being ready, asks callers to close their connections, takes new ones until
// the load balancer has turned elsewhere, and finishes what is under way within the drain time.
func (g *Gateway) Stop() {
	begin := time.Now()
	g.stopping.Store(true)
	g.noteReady()
	for time.Since(begin) < min(noticeTime, g.cfg.DrainTimeout/2) {
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(g.cfg.DrainTimeout-drainMargin))
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil {
		g.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("unfinished", g.busy.Load()))
		_ = g.server.Close()
	}
	_ = g.checks.Close()
	g.cancel()
	g.link.Close()
	g.work.Wait()
}

// stopPoll is the period at which a shutdown looks at the clock.
const stopPoll = 50 * time.Millisecond

func (g *Gateway) sweep() {
	for g.ctx.Err() == nil {
		kwtime.Sleep(g.ctx, sweepPeriod)
		v := g.view.Load()
		known := make(map[string]bool, len(v.endpoints))
		for _, row := range v.endpoints {
			known[row.Announcement.Address] = true
		}
		g.pool.Sweep(func(address string) bool { return known[address] })
	}
}

func (g *Gateway) isReady() bool {
	return !g.stopping.Load() && g.serves(g.view.Load())
}

// noteReady logs a change of readiness.
func (g *Gateway) noteReady() {
	ready := g.isReady()
	if g.wasReady.Swap(ready) != ready {
		v := g.view.Load()
		g.deps.Events.Emit(kwevent.ReadyChanged, "", kwevent.F("ready", ready), kwevent.F("number", v.number),
			kwevent.F("view-age-ms", g.deps.Now().Sub(v.confirmed).Milliseconds()), kwevent.F("stopping", g.stopping.Load()))
	}
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
