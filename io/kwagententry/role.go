package kwagententry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlimit"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// Config holds the settings of an entry.
type Config struct {
	Node             kwid.NodeID
	Listen           string
	HTTPListen       string
	Site             kwid.Site
	Zone             kwid.AvailabilityZone
	ControlAddresses []string
	// ViewLease is how long the entry serves without a confirmation by control.
	ViewLease time.Duration
	// ViewRenewInterval is the period of confirmations.
	ViewRenewInterval time.Duration
	// MaxInFlight bounds the requests of all workspaces together.
	MaxInFlight int
	// StepTimeout is how long a token may take before the first stage is probed.
	StepTimeout time.Duration
	// DrainTimeout bounds the wait for requests in progress at a planned stop.
	DrainTimeout time.Duration
	ChainPolicy  kwmaxflow.Policy
	ChainSeed    uint64
	RetryBudget  kwretry.BudgetConfig
	Ejector      kwretry.EjectorConfig
}

// Defaults of an entry.
const (
	DefaultViewLease         = 10 * time.Second
	DefaultViewRenewInterval = time.Second
	DefaultMaxInFlight       = 4096
	DefaultStepTimeout       = 1500 * time.Millisecond
	DefaultDrainTimeout      = 2 * time.Minute
)

// Deps holds what the process hands down.
type Deps struct {
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Events *kwevent.Emitter
}

// Role is a running entry.
type Role struct {
	cfg      Config
	deps     Deps
	wire     *kwquic.Node
	control  *kwcontrol.Client
	listener net.Listener
	server   *http.Server
	limiter  *kwlimit.Limiter
	forecast forecasts
	budget   *kwretry.Budget
	ejector  *kwretry.Ejector
	loads    *loads
	metrics  metrics.Registry
	view     atomic.Pointer[view]
	// confirmed is when control last confirmed the view, in nanoseconds after started.
	confirmed atomic.Int64
	watching  atomic.Int64
	started   time.Time
	stopping  atomic.Bool
	turn      atomic.Int64
	// life ends when the process is killed or has stopped; calls that outlive their caller run under it.
	life     context.Context
	endLife  context.CancelFunc
	inFlight sync.WaitGroup
	chooseMu sync.Mutex
	chooser  *kwmaxflow.Chooser
	cancel   context.CancelFunc
	done     chan error
}

// New opens the listeners; the role serves after Start.
func New(cfg Config, deps Deps) (*Role, error) {
	r := &Role{
		cfg:     cfg,
		deps:    deps,
		limiter: kwlimit.New(kwlimit.Config{MaxInFlight: cfg.MaxInFlight}),
		budget:  kwretry.NewBudget(cfg.RetryBudget),
		ejector: kwretry.NewEjector(cfg.Ejector),
		loads:   newLoads(),
		metrics: metrics.NewRegistry(),
		started: time.Now(),
		chooser: kwmaxflow.NewChooser(cfg.ChainPolicy, cfg.ChainSeed),
		done:    make(chan error, 1),
	}
	r.life, r.endLife = context.WithCancel(context.Background())
	r.confirmed.Store(-int64(cfg.ViewLease) - 1)
	wire, err := kwquic.Listen(kwquic.Config{Listen: cfg.Listen, Keys: deps.Keys, Clock: deps.Clock})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.HTTPListen)
	if err != nil {
		wire.Close()
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	r.wire = wire
	r.listener = listener
	r.control = kwcontrol.NewClient(wire, cfg.ControlAddresses)
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: headerTimeout}
	return r, nil
}

const headerTimeout = 10 * time.Second

// URL returns the base URL for callers.
func (r *Role) URL() string { return "http://" + r.listener.Addr().String() }

// Start begins to serve.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	var g run.Group
	g.Add(func() error { return r.watch(ctx) }, func(error) { cancel() })
	g.Add(func() error { return r.serve(ctx) }, func(error) { _ = r.server.Close() })
	go func() { r.done <- g.Run() }()
	r.deps.Events.Emit(kwevent.ProcessStarted, "", kwevent.F("role", "entry"))
}

// serve answers callers; during a graceful shutdown it lasts until the requests in progress are answered.
func (r *Role) serve(ctx context.Context) error {
	err := r.server.Serve(r.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Traffic returns what the role's connections to other processes have carried.
func (r *Role) Traffic() kwquic.Traffic { return r.wire.Traffic() }

// Done returns a channel that gives the error with which the role ended.
func (r *Role) Done() <-chan error { return r.done }

// Stop shuts the role down gracefully: new requests are refused, those in progress get their whole answer.
func (r *Role) Stop() {
	r.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("role", "entry"))
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.DrainTimeout)
	defer cancel()
	_ = r.server.Shutdown(ctx)
	r.waitCalls(ctx)
	r.cancel()
	r.endLife()
	r.wire.Close()
	r.deps.Events.Emit(kwevent.ProcessStopped, "", kwevent.F("role", "entry"))
}

// waitCalls waits for the calls that go on after their caller was answered.
func (r *Role) waitCalls(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Kill drops the network at once, as a crash of the VM would.
func (r *Role) Kill() {
	r.wire.Kill()
	_ = r.server.Close()
	r.cancel()
	r.endLife()
}

// Serving tells whether the entry admits requests.
func (r *Role) Serving() bool { return r.admits() == nil }

// Revision returns the configuration revision that the entry serves with; 0 means none.
func (r *Role) Revision() kwid.Revision {
	v := r.view.Load()
	if v == nil {
		return 0
	}
	return v.revision
}

// EndpointState returns the state of an endpoint in the entry's view; empty means unknown.
func (r *Role) EndpointState(id kwid.EndpointID) string {
	v := r.view.Load()
	if v == nil {
		return ""
	}
	return string(v.endpoints[id].State)
}
