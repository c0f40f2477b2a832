package kwcontrol

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
	"knapweedproxy/io/kwwal"
)

// Config holds the settings of a control process.
type Config struct {
	Node             kwid.NodeID
	Listen           string
	AdminListen      string
	AdminTokenSHA256 string
	DataFolder       string
	Bootstrap        bool
	Peers            []Peer
	Zone             kwid.AvailabilityZone
	Timing           Timing
	State            kwstatemachine.Config
	Log              kwraft.Config
	CompactEntries   int
}

// Deps holds what the process hands down.
type Deps struct {
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Events *kwevent.Emitter
	// Files replaces the data folder's files; nil means the real folder.
	Files kwwal.FileSystem
}

// Role is a running control process.
type Role struct {
	cfg    Config
	deps   Deps
	member kwid.NodeID
	unlock func()
	loop   *Loop
	peers  *PeerSender
	wire   *kwquic.Node
	admin  net.Listener
	server *http.Server
	cancel context.CancelFunc
	done   chan error
}

// New opens the data folder and the listeners; the role serves after Start.
func New(cfg Config, deps Deps) (*Role, error) {
	unlock, err := kwwal.Lock(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	r := &Role{cfg: cfg, deps: deps, unlock: unlock, done: make(chan error, 1)}
	if err := r.open(); err != nil {
		unlock()
		return nil, err
	}
	return r, nil
}

func (r *Role) open() error {
	member, err := MemberID(r.cfg.DataFolder, r.cfg.Node, false)
	if err != nil {
		return err
	}
	r.member = member
	files := r.deps.Files
	if files == nil {
		folder, err := kwwal.OpenFolder(r.cfg.DataFolder)
		if err != nil {
			return kwcode.New(kwcode.DiskFailed, "%v", err)
		}
		files = folder
	}
	r.peers = NewPeerSender(r.cfg.Peers)
	logCfg := r.cfg.Log
	logCfg.ID = member
	r.loop, err = NewLoop(LoopConfig{
		Member:         member,
		Files:          files,
		Bootstrap:      r.cfg.Bootstrap,
		Log:            logCfg,
		State:          r.cfg.State,
		Timing:         r.cfg.Timing,
		Events:         r.deps.Events,
		Sender:         r.peers,
		CompactEntries: r.cfg.CompactEntries,
	})
	if err != nil {
		return err
	}
	return r.listen()
}

func (r *Role) listen() error {
	wire, err := kwquic.Listen(kwquic.Config{
		Listen:    r.cfg.Listen,
		Keys:      r.deps.Keys,
		Clock:     r.deps.Clock,
		Routes:    r.routes(),
		OnRefused: func(err error) { r.deps.Events.Emit(kwevent.PeerRefused, "", kwevent.F("error", err.Error())) },
	})
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", r.cfg.AdminListen)
	if err != nil {
		wire.Close()
		return kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	r.wire = wire
	r.admin = admin
	r.server = &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: adminTimeout}
	return nil
}

const adminTimeout = 5 * time.Second

func (r *Role) routes() []kwquic.Route {
	agents := []kwkeys.Role{kwkeys.RoleAgent}
	entries := []kwkeys.Role{kwkeys.RoleEntry}
	controls := []kwkeys.Role{kwkeys.RoleControl}
	return []kwquic.Route{
		{Kind: kwagentproto.KindAnnounce, Roles: agents, Handle: r.onAnnounce},
		{Kind: kwagentproto.KindWatch, Roles: entries, Handle: r.onWatch},
		{Kind: kwagentproto.KindPropose, Roles: append(entries, agents...), Handle: r.onPropose},
		{Kind: kwagentproto.KindAwaitOutcome, Roles: entries, Handle: r.onAwait},
		{Kind: kwagentproto.KindRaft, Roles: controls, Handle: r.receive},
		{Kind: kwagentproto.KindRaftChunk, Roles: controls, Handle: r.receive},
		{Kind: kwagentproto.KindJoin, Roles: controls, Handle: r.onJoin},
	}
}

// Address returns the address for the system's own processes.
func (r *Role) Address() string { return r.wire.Address() }

// AdminURL returns the base URL for operators.
func (r *Role) AdminURL() string { return "http://" + r.admin.Addr().String() }

// Loop returns the control goroutine's handle.
func (r *Role) Loop() *Loop { return r.loop }

// Member returns the member id of this process in the replicated log.
func (r *Role) Member() kwid.NodeID { return r.member }

// Start begins to serve; Done reports the end.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.peers.Start(r.wire, r.cfg.Peers)
	var g run.Group
	g.Add(r.loop.Run, func(error) { r.loop.Stop() })
	g.Add(func() error { return r.server.Serve(r.admin) }, func(error) { r.stopAdmin() })
	g.Add(func() error { return r.settle(ctx) }, func(error) { cancel() })
	g.Add(func() error { return r.keepJoined(ctx) }, func(error) { cancel() })
	go func() { r.done <- g.Run() }()
	r.deps.Events.Emit(kwevent.ProcessStarted, "", kwevent.F("role", "control"), kwevent.F("member", r.member))
}

func (r *Role) stopAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	_ = r.server.Shutdown(ctx)
}

// Traffic returns what the role's connections to other processes have carried.
func (r *Role) Traffic() kwquic.Traffic { return r.wire.Traffic() }

// Done returns a channel that gives the error with which the role ended.
func (r *Role) Done() <-chan error { return r.done }

// Stop shuts the role down gracefully: leadership moves on, accepted work is synced, files are closed.
func (r *Role) Stop() {
	r.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("role", "control"))
	r.loop.Stop()
	r.cancel()
	r.stopAdmin()
	r.peers.Stop()
	r.wire.Close()
	r.unlock()
	r.deps.Events.Emit(kwevent.ProcessStopped, "", kwevent.F("role", "control"))
}

// Kill drops the network at once and abandons the rest, as a crash of the VM would.
func (r *Role) Kill() {
	r.wire.Kill()
	_ = r.server.Close()
	r.cancel()
	r.loop.abandon()
	r.peers.Stop()
	r.unlock()
}
