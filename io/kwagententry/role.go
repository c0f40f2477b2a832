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

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlimit"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwguard"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
	"knapweedproxy/io/kwtask"
)

// Config holds the settings of an entry.
type Config struct {
	Node             kwid.NodeID
	Listen           string
	HTTPListen       string
	Site             kwid.Site
	Zone             kwid.AvailabilityZone
	ControlAddresses []string
	// ViewLease is how long the entry serves after control last confirmed its view.
	ViewLease time.Duration
	// ViewRenewInterval is the time between two requests for such a confirmation.
	ViewRenewInterval time.Duration
	// MaxInFlight bounds the requests in progress of all workspaces together.
	MaxInFlight int
	// StepTimeout is how long a token may take before the first stage is probed.
	StepTimeout time.Duration
	// DrainTimeout bounds the wait for requests in progress during a graceful shutdown.
	DrainTimeout time.Duration
	ChainPolicy  kwmaxflow.Policy
	// ChainSeed seeds the random choices of ChainPolicy.
	ChainSeed   uint64
	RetryBudget kwretry.BudgetConfig
	Ejector     kwretry.EjectorConfig
}

// Defaults of an entry.
const (
	DefaultViewLease         = 10 * time.Second
	DefaultViewRenewInterval = time.Second
	DefaultMaxInFlight       = 4096
	DefaultStepTimeout       = 1500 * time.Millisecond
	DefaultDrainTimeout      = 2 * time.Minute
)

// Deps holds the dependencies that the process provides.
type Deps struct {
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Events *kwevent.Emitter
}

// Role is a running entry.
type Role struct {
	cfg       Config
	deps      Deps
	transport *kwquic.Node
	control   *kwcontrol.LeaderClient
	listener  net.Listener
	server    *http.Server
	// guard bounds what callers can make the process keep, buffers the bodies of their requests.
	guard     *kwguard.Guard
	buffers   *kwbuffer.Budget
	limiter   *kwlimit.Limiter
	forecasts forecasts
	budget    *kwretry.Budget
	ejector   *kwretry.Ejector
	loads     *endpointLoads
	metrics   metrics.Registry
	view      atomic.Pointer[view]
	// viewConfirmedAt is the time of the last renewal request that control confirmed, in nanoseconds after startedAt.
	viewConfirmedAt atomic.Int64
	// viewReceivedAt is when control last sent a view, in nanoseconds after startedAt.
	viewReceivedAt atomic.Int64
	startedAt      time.Time
	stopping       atomic.Bool
	// rotation is the offset at which the next search for the least loaded endpoint starts.
	rotation atomic.Int64
	// background ends when the process is killed or has stopped; calls that outlive their caller run under it.
	background       context.Context
	cancelBackground context.CancelFunc
	// backgroundCalls continue after their callers were answered; Stop waits for them.
	backgroundCalls kwtask.Group
	chooserMu       sync.Mutex
	chooser         *kwmaxflow.Chooser
	cancel          context.CancelFunc
	done            chan error
}

// New opens the listeners; the role serves once Start is called.
func New(cfg Config, deps Deps) (*Role, error) {
	r := &Role{
		cfg:       cfg,
		deps:      deps,
		limiter:   kwlimit.New(kwlimit.Config{MaxInFlight: cfg.MaxInFlight}),
		budget:    kwretry.NewBudget(cfg.RetryBudget),
		ejector:   kwretry.NewEjector(cfg.Ejector),
		loads:     newEndpointLoads(),
		buffers:   kwbuffer.New(0),
		metrics:   metrics.NewRegistry(),
		startedAt: time.Now(),
		chooser:   kwmaxflow.NewChooser(cfg.ChainPolicy, cfg.ChainSeed),
		done:      make(chan error, 1),
	}
	r.background, r.cancelBackground = context.WithCancel(context.Background())
	r.viewConfirmedAt.Store(-int64(cfg.ViewLease) - 1)
	transport, err := kwquic.Listen(kwquic.Config{Listen: cfg.Listen, Keys: deps.Keys, Clock: deps.Clock})
	if err != nil {
		return nil, err
	}
	listener, err := kwguard.Listen(cfg.HTTPListen)
	if err != nil {
		transport.Close()
		return nil, err
	}
	r.transport = transport
	r.guard = kwguard.New(kwguard.AgentFleetConfig("callers", deps.Events))
	r.listener = r.guard.Wrap(listener)
	r.control = kwcontrol.NewLeaderClient(transport, cfg.ControlAddresses)
	r.server = r.guard.Server(r.handler())
	return r, nil
}

// URL returns the base URL for callers.
func (r *Role) URL() string { return "http://" + r.listener.Addr().String() }

// Start begins to serve callers and to follow control's view.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	var g run.Group
	g.Add(func() error { return r.watchControl(ctx) }, func(error) { cancel() })
	g.Add(func() error { return r.serve(ctx) }, func(error) { _ = r.server.Close() })
	go func() { r.done <- g.Run() }()
	r.deps.Events.Emit(kwevent.ProcessStarted, "", kwevent.F("role", "entry"))
}

// serve answers callers; during a graceful shutdown it returns once the requests in progress are answered.
func (r *Role) serve(ctx context.Context) error {
	err := r.server.Serve(r.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Traffic returns the traffic totals of the role's connections to other processes.
func (r *Role) Traffic() kwquic.Traffic { return r.transport.Traffic() }

// Done returns a channel that delivers the error with which the role ended.
func (r *Role) Done() <-chan error { return r.done }

// Stop shuts the role down gracefully: new requests are rejected, those in progress are answered completely.
func (r *Role) Stop() {
	r.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("role", "entry"))
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.DrainTimeout)
	defer cancel()
	_ = r.server.Shutdown(ctx)
	r.backgroundCalls.Wait(ctx)
	r.cancel()
	r.cancelBackground()
	r.transport.Close()
	r.deps.Events.Emit(kwevent.ProcessStopped, "", kwevent.F("role", "entry"))
}

// Kill closes all connections at once, as a crash of the VM would.
func (r *Role) Kill() {
	r.transport.Kill()
	_ = r.server.Close()
	r.cancel()
	r.cancelBackground()
}

// Serving reports whether the entry admits requests.
func (r *Role) Serving() bool { return r.checkServing() == nil }

// Revision returns the revision of the fleet declaration that the entry serves with; 0 means that there is none yet.
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
