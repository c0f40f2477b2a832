package kwguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwclient"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwevent"
)

// Limits bound one client at a time. They may change while the server runs.
type Limits struct {
	// HeadBytes is the largest head of a request, with its first line and its line breaks.
	HeadBytes int
	// HeadTimeout is how long a head may take from its first byte.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Config configures a Guard.
type Config struct {
	// Listener names the listener in metrics and events.
	Listener string
	// MaxConnections bounds the connections of all clients together.
	MaxConnections int
	// Heads is the memory for the heads of all clients together; several guards may share it. Nil means one of the default size.
	Heads *kwbuffer.Budget
	// Limits returns the limits that are in force.
	Limits func() Limits
	// RequestTimeout is how long a request may take to arrive whole, AnswerTimeout how long its answer may take from then on until its client
	// has read it; 0 leaves both to the handler.
	RequestTimeout, AnswerTimeout time.Duration
	// Metrics and Events may be nil.
	Metrics metrics.Registry
	Events  *kwevent.Emitter
}

// Guard bounds what the clients of a listener can make a process keep.
type Guard struct {
	cfg         Config
	connections *kwclient.Connections
	report      report
}

// New returns a guard.
func New(cfg Config) *Guard {
	if cfg.Heads == nil {
		cfg.Heads = kwbuffer.New(0)
	}
	g := &Guard{cfg: cfg, connections: kwclient.NewConnections(cfg.MaxConnections), report: report{listener: cfg.Listener, events: cfg.Events}}
	if cfg.Metrics != nil {
		g.register(cfg.Metrics)
	}
	return g
}

// Listen opens a listener for clients, whose connections hold few unread bytes.
func Listen(address string) (net.Listener, error) {
	return ListenWith(address, kwclient.ReceiveBufferBytes)
}

// ListenWith opens a listener whose connections hold about so many unread bytes.
func ListenWith(address string, receiveBufferBytes int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the option the connections work and may hold more. The kernel doubles the value for its own needs.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	return l, nil
}

// Wrap returns a listener whose connections the guard bounds.
func (g *Guard) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// Server returns a server for the connections of a wrapped listener.
func (g *Guard) Server(h http.Handler) *http.Server {
	limits := g.cfg.Limits()
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, ok := r.Context().Value(connKey{}).(*conn); ok {
				c.beginRequest(r)
				defer c.endRequest()
			}
			h.ServeHTTP(w, r)
		}),
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:         trackIdle,
		ReadHeaderTimeout: limits.HeadTimeout,
		ReadTimeout:       g.cfg.RequestTimeout,
		WriteTimeout:      g.answerTimeout(),
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
	}
}

// answerTimeout counts from the end of the head, as http.Server does.
func (g *Guard) answerTimeout() time.Duration {
	if g.cfg.AnswerTimeout == 0 {
		return 0
	}
	return g.cfg.RequestTimeout + g.cfg.AnswerTimeout
}

// connKey is the key of a client's connection in the context of its requests.
type connKey struct{}

// trackIdle is the ConnState hook of the server: a connection whose last request is answered is idle.
func trackIdle(c net.Conn, state http.ConnState) {
	if client, ok := c.(*conn); ok && state == http.StateIdle {
		client.beginIdle()
	}
}

// Reclaim closes the connection whose body arrives most slowly and waits for a moment, in which its handler gives back the memory that the body
// holds. It reports whether there was one that takes long.
func (g *Guard) Reclaim() bool {
	v := g.connections.EvictSlowUpload(time.Now())
	if v == nil {
		return false
	}
	v.Close()
	g.report.count(&g.report.evicted)
	time.Sleep(reclaimTime)
	return true
}

// reclaimTime is the time in which the handler of a connection that was closed gives back its memory.
const reclaimTime = 5 * time.Millisecond

// set changes the state of a connection, and closes the one that has to give way for it.
func (g *Guard) set(v *kwclient.Connection, s kwclient.State) {
	if victim := g.connections.Set(v, s, time.Now()); victim != nil {
		victim.Close()
		g.report.count(&g.report.evicted)
	}
}

// evictOpening closes the connection whose head has been open for longest, and reports whether there was one besides except.
func (g *Guard) evictOpening(except *kwclient.Connection) bool {
	v := g.connections.EvictOpening(except)
	if v == nil {
		return false
	}
	v.Close()
	g.report.count(&g.report.evicted)
	return true
}

// listener accepts the connections of a guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. Connections without room are closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, guard: l.guard}
		admitted, victim := l.guard.connections.Add(time.Now(), c.abort)
		if victim != nil {
			victim.Close()
			l.guard.report.count(&l.guard.report.evicted)
		}
		if admitted == nil {
			_ = raw.Close()
			l.guard.report.count(&l.guard.report.notAdmitted)
			continue
		}
		c.entry = admitted
		return c, nil
	}
}

// register adds the guard's gauges to a registry.
func (g *Guard) register(r metrics.Registry) {
	RegisterConnections(r, g.cfg.Listener, g.connections)
	_ = r.Register("clients."+g.cfg.Listener+".heads-refused", metrics.NewFunctionalGauge(g.report.headsRefused))
}

// RegisterConnections adds gauges for the connections of a listener to a registry, which may be nil.
func RegisterConnections(r metrics.Registry, listener string, c *kwclient.Connections) {
	if r == nil {
		return
	}
	gauge := func(name string, value func(kwclient.Usage) int64) {
		_ = r.Register("clients."+listener+"."+name, metrics.NewFunctionalGauge(func() int64 { return value(c.Usage()) }))
	}
	gauge("connections", func(u kwclient.Usage) int64 { return int64(u.Open) })
	gauge("answering", func(u kwclient.Usage) int64 { return int64(u.Answering) })
	gauge("evicted", func(u kwclient.Usage) int64 { return u.Evicted })
	gauge("not-admitted", func(u kwclient.Usage) int64 { return u.Refused })
}

// reportInterval is the least time between two events of a guard, so that clients don't choose the volume of the log.
const reportInterval = time.Second

// report counts what a guard has refused, and logs it now and then.
type report struct {
	listener string
	events   *kwevent.Emitter
	mu       sync.Mutex
	// evicted, notAdmitted, tooLarge and noRoom count since the last event, heads all heads that were refused.
	evicted, notAdmitted, tooLarge, noRoom int
	heads                                  int64
	last                                   time.Time
}

// count increases a counter of the report.
func (r *report) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
	if n == &r.tooLarge || n == &r.noRoom {
		r.heads++
	}
	now := time.Now()
	if r.events == nil || now.Sub(r.last) < reportInterval {
		return
	}
	r.last = now
	r.events.Emit(kwevent.ClientsRefused, "", kwevent.F("listener", r.listener), kwevent.F("evicted", r.evicted), kwevent.F("not-admitted", r.notAdmitted),
		kwevent.F("heads-too-large", r.tooLarge), kwevent.F("heads-without-room", r.noRoom))
	r.evicted, r.notAdmitted, r.tooLarge, r.noRoom = 0, 0, 0, 0
}

func (r *report) headsRefused() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heads
}

// PageConfig returns the configuration of a listener for readiness checks or metrics, whose clients send a few lines now and then.
func PageConfig(listener string, capacity kwclient.Capacity, heads *kwbuffer.Budget) Config {
	return Config{
		Listener: listener, MaxConnections: capacity.MaxPageConnections(), Heads: heads,
		Limits: func() Limits {
			return Limits{HeadBytes: pageHeadBytes, HeadTimeout: pageTimeout, IdleTimeout: pageIdleTimeout}
		},
		RequestTimeout: pageTimeout, AnswerTimeout: pageTimeout,
	}
}

const (
	// pageHeadBytes is what a check or a scraper sends, many times.
	pageHeadBytes = 8 << 10
	pageTimeout   = 5 * time.Second
	// pageIdleTimeout is longer than the time between two checks or two scrapes.
	pageIdleTimeout = time.Minute
)

// AgentFleetConfig returns the configuration of a listener of a fleet with agents, whose processes know neither their memory nor their
// descriptors: the limits are those of a small VM.
func AgentFleetConfig(listener string, events *kwevent.Emitter) Config {
	return Config{
		Listener: listener, MaxConnections: kwclient.Capacity{}.MaxTrafficConnections(), Events: events,
		Limits: func() Limits {
			return Limits{HeadBytes: agentFleetHeadBytes, HeadTimeout: agentFleetHeadTimeout, IdleTimeout: pageIdleTimeout}
		},
		RequestTimeout: agentFleetRequestTimeout,
	}
}

const (
	agentFleetHeadBytes   = 64 << 10
	agentFleetHeadTimeout = 10 * time.Second
	// agentFleetRequestTimeout lets the largest body of an operator, 4 MB, pass over a slow link.
	agentFleetRequestTimeout = 30 * time.Second
)
