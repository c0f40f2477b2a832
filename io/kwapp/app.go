package kwapp

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagent"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwsettings"
	"knapweedproxy/io/kwsignal"
)

// Options are the command-line flags of a process, which supplement its settings.
type Options struct {
	Verbose   bool
	Bootstrap bool
}

// role is the lifecycle that all roles have in common.
type role interface {
	Start()
	Stop()
	Done() <-chan error
}

const (
	// stopTimeoutMargin is how long after its drain timeout a process that still stops is ended.
	stopTimeoutMargin = 30 * time.Second
	// controlStopTimeout bounds the graceful shutdown of a control process, which has no drain timeout.
	controlStopTimeout = 5 * time.Minute
)

// stopTimeout bounds the graceful shutdown of a process.
func stopTimeout(p *kwsettings.Process) time.Duration {
	switch p.Role {
	case kwkeys.RoleEntry:
		return entryConfig(p).DrainTimeout + stopTimeoutMargin
	case kwkeys.RoleAgent:
		return agentConfig(p).DrainTimeout + stopTimeoutMargin
	default:
		return controlStopTimeout
	}
}

// Run runs the role of a process until a signal or a failure, which it returns.
func Run(p *kwsettings.Process, opts Options) error {
	var runErr error
	// SIGHUP has nothing to reload: settings are read at the start, and keys whenever their files change.
	kwsignal.ClaimHangups()
	kwsignal.IgnoreBrokenPipe()
	app := newApp(p, opts, &runErr)
	if err := app.Err(); err != nil {
		return kwcode.FromError(err)
	}
	// Wait claims SIGTERM; its channel is not needed. Run would claim the signal only after the role has started to serve.
	app.Wait()
	app.Run()
	return runErr
}

func newApp(p *kwsettings.Process, opts Options, runErr *error) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout(p)),
		fx.Supply(p, opts),
		fx.Provide(NewLogger, newClock, newKeys, newEvents, newRole),
		fx.Invoke(func(lc fx.Lifecycle, r role, stop fx.Shutdowner) { attach(lc, r, stop, runErr) }),
	)
}

// attach binds the role to the lifecycle of the process; the process shuts down when the role fails.
func attach(lc fx.Lifecycle, r role, stop fx.Shutdowner, runErr *error) {
	stopping, failureWatched := make(chan struct{}), make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			r.Start()
			go func() {
				defer close(failureWatched)
				select {
				case *runErr = <-r.Done():
					_ = stop.Shutdown()
				case <-stopping:
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			close(stopping)
			<-failureWatched
			r.Stop()
			return nil
		},
	})
}

// NewLogger returns a logger that writes JSON lines to standard error.
func NewLogger(opts Options) logr.Logger {
	level := zapcore.InfoLevel
	if opts.Verbose {
		level = zapcore.DebugLevel
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), level)
	return zapr.NewLogger(zap.New(core))
}

func newClock() *kwhlc.Clock {
	return kwhlc.New(kwhlc.Config{})
}

func newKeys(p *kwsettings.Process) (*kwkeys.Store, error) {
	store, err := kwkeys.Open(kwkeys.Config(p.TLS))
	if err != nil {
		return nil, err
	}
	self := store.Self()
	if self.Node != p.Node || self.Role != p.Role {
		return nil, kwcode.New(kwcode.KeyFileBad, "%s was issued to node %q with role %q, but the settings name node %q with role %q",
			p.TLS.Certificate, self.Node, self.Role, p.Node, p.Role)
	}
	return store, nil
}

// eventsFileMode is the permission of the events file.
const eventsFileMode = 0o600

// keyExpiryWarning is how long before its expiry a certificate is reported.
const keyExpiryWarning = 14 * 24 * time.Hour

func newEvents(lc fx.Lifecycle, p *kwsettings.Process, keys *kwkeys.Store, clock *kwhlc.Clock, log logr.Logger) (*kwevent.Emitter, error) {
	var file io.Writer
	if p.EventsFile != "" {
		f, err := os.OpenFile(p.EventsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventsFileMode)
		if err != nil {
			return nil, kwcode.New(kwcode.SettingsFile, "%v", err)
		}
		lc.Append(fx.Hook{OnStop: func(context.Context) error { return f.Close() }})
		file = f
	}
	events := kwevent.New(kwevent.Config{Node: p.Node, Clock: clock, Log: log, File: file})
	if remaining := time.Until(keys.Self().Expires); remaining < keyExpiryWarning {
		events.Emit(kwevent.KeyExpires, "", kwevent.F("in", remaining.String()))
	}
	return events, nil
}

func newRole(p *kwsettings.Process, opts Options, keys *kwkeys.Store, clock *kwhlc.Clock, events *kwevent.Emitter) (role, error) {
	switch p.Role {
	case kwkeys.RoleEntry:
		return kwagententry.New(entryConfig(p), kwagententry.Deps{Keys: keys, Clock: clock, Events: events})
	case kwkeys.RoleAgent:
		return kwagent.New(agentConfig(p), kwagent.Deps{Keys: keys, Clock: clock, Events: events})
	default:
		return kwcontrol.New(controlConfig(p, opts), kwcontrol.Deps{Keys: keys, Clock: clock, Events: events})
	}
}

// or returns d if it is set, otherwise fallback.
func or(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func entryConfig(p *kwsettings.Process) kwagententry.Config {
	e := p.Entry
	cfg := kwagententry.Config{
		Node:              p.Node,
		Listen:            p.Listen,
		HTTPListen:        e.HTTPListen,
		Site:              p.Site,
		Zone:              p.AvailabilityZone,
		ControlAddresses:  e.ControlAddresses,
		ViewLease:         or(e.ViewLease.Std(), kwagententry.DefaultViewLease),
		ViewRenewInterval: or(e.ViewRenewInterval.Std(), kwagententry.DefaultViewRenewInterval),
		MaxInFlight:       e.MaxRequestsInFlight,
		StepTimeout:       kwagententry.DefaultStepTimeout,
		DrainTimeout:      or(e.DrainTimeout.Std(), kwagententry.DefaultDrainTimeout),
		ChainPolicy:       kwmaxflow.FlowTwoChoice,
		ChainSeed:         uint64(time.Now().UnixNano()),
		RetryBudget:       kwretry.DefaultBudgetConfig(),
		Ejector:           kwretry.DefaultEjectorConfig(),
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = kwagententry.DefaultMaxInFlight
	}
	return cfg
}

func agentConfig(p *kwsettings.Process) kwagent.Config {
	a := p.Agent
	return kwagent.Config{
		Node:             p.Node,
		Listen:           p.Listen,
		Endpoint:         a.Endpoint,
		Site:             p.Site,
		Zone:             p.AvailabilityZone,
		ControlAddresses: a.ControlAddresses,
		EngineURL:        a.EngineURL,
		ServiceURL:       a.ServiceURL,
		HTTPListen:       a.HTTPListen,
		Service:          a.Service,
		AnnounceInterval: or(a.AnnounceInterval.Std(), kwagent.DefaultAnnounceInterval),
		StepTimeout:      kwagent.DefaultStepTimeout,
		DrainTimeout:     or(a.DrainTimeout.Std(), kwagent.DefaultDrainTimeout),
	}
}

func controlConfig(p *kwsettings.Process, opts Options) kwcontrol.Config {
	cfg := kwcontrol.Config{
		Node:             p.Node,
		Listen:           p.Listen,
		AdminListen:      p.Control.AdminListen,
		AdminTokenSHA256: p.Control.AdminTokenSHA256,
		DataFolder:       p.DataFolder,
		Bootstrap:        opts.Bootstrap,
		Zone:             p.AvailabilityZone,
		Timing:           kwcontrol.DefaultTiming(),
		State:            kwstatemachine.DefaultConfig(),
		Log:              kwraft.DefaultConfig("", uint64(time.Now().UnixNano())),
	}
	for _, peer := range p.Control.Peers {
		cfg.Peers = append(cfg.Peers, kwcontrol.Peer{Node: peer.Node, Address: peer.Listen, Zone: peer.AvailabilityZone})
	}
	return cfg
}
