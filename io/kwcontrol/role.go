package kwcontrol

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwguard"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
	"knapweedproxy/io/kwwal"
)

// Config holds the settings of a control process.
type Config struct {
	Node   kwid.NodeID
	Listen string
	// Socket, if set, is used in place of a new socket at Listen. The role closes it when it stops.
	Socket           *net.UDPConn
	AdminListen      string
	AdminTokenSHA256 string
	DataFolder       string
	Bootstrap        bool
	Peers            []Peer
	Zone             kwid.AvailabilityZone
	Timing           Timing
	State            kwstatemachine.Config
	// Log configures the replicated log; its ID is set from the data folder.
	Log            kwraft.Config
	CompactEntries int
}

// Deps holds the dependencies that the process provides.
type Deps struct {
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Events *kwevent.Emitter
	// Files replaces the file system under the data folder; nil means the real one.
	Files kwwal.FileSystem
}

// Role is a running control process.
type Role struct {
	cfg           Config
	deps          Deps
	member        kwid.NodeID
	unlockFolder  func()
	loop          *Loop
	peers         *PeerSender
	transport     *kwquic.Node
	adminListener net.Listener
	// adminGuard bounds what operators can make the process keep, adminBuffers the bodies of their requests.
	adminGuard   *kwguard.Guard
	adminBuffers *kwbuffer.Budget
	adminServer  *http.Server
	cancel       context.CancelFunc
	done         chan error
}

// New locks and opens the data folder and opens the listeners. The role serves once Start is called.
func New(cfg Config, deps Deps) (*Role, error) {
	unlock, err := kwwal.Lock(cfg.DataFolder)
	if err != nil {
		return nil, err
	}
	r := &Role{cfg: cfg, deps: deps, unlockFolder: unlock, adminBuffers: kwbuffer.New(0), done: make(chan error, 1)}
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
	raftCfg := r.cfg.Log
	raftCfg.ID = member
	r.loop, err = NewLoop(LoopConfig{
		Member:         member,
		Files:          files,
		Bootstrap:      r.cfg.Bootstrap,
		Log:            raftCfg,
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
	transport, err := kwquic.Listen(kwquic.Config{
		Listen:    r.cfg.Listen,
		Socket:    r.cfg.Socket,
		Keys:      r.deps.Keys,
		Clock:     r.deps.Clock,
		Routes:    r.routes(),
		OnRefused: func(err error) { r.deps.Events.Emit(kwevent.PeerRefused, "", kwevent.F("error", err.Error())) },
	})
	if err != nil {
		return err
	}
	adminListener, err := kwguard.Listen(r.cfg.AdminListen)
	if err != nil {
		transport.Close()
		return err
	}
	r.transport = transport
	r.adminGuard = kwguard.New(kwguard.AgentFleetConfig("admin", r.deps.Events))
	r.adminListener = r.adminGuard.Wrap(adminListener)
	r.adminServer = r.adminGuard.Server(r.adminHandler())
	return nil
}

// adminTimeout bounds the shutdown of the admin server.
const adminTimeout = 5 * time.Second

func (r *Role) routes() []kwquic.Route {
	agents := []kwkeys.Role{kwkeys.RoleAgent}
	entries := []kwkeys.Role{kwkeys.RoleEntry}
	controls := []kwkeys.Role{kwkeys.RoleControl}
	return []kwquic.Route{
		{Kind: kwagentproto.KindAnnounce, Roles: agents, Handle: r.onAnnounce},
		{Kind: kwagentproto.KindWatch, Roles: entries, Handle: r.onWatch},
		{Kind: kwagentproto.KindPropose, Roles: append(entries, agents...), Handle: r.onPropose},
		{Kind: kwagentproto.KindAwaitOutcome, Roles: entries, Handle: r.onAwaitOutcome},
		{Kind: kwagentproto.KindRaft, Roles: controls, Handle: r.onRaft},
		{Kind: kwagentproto.KindRaftChunk, Roles: controls, Handle: r.onRaft},
		{Kind: kwagentproto.KindAddMember, Roles: controls, Handle: r.onAddMember},
	}
}

// Address returns the address at which the system's other processes reach this one.
func (r *Role) Address() string { return r.transport.Address() }

// AdminURL returns the base URL of the admin interface.
func (r *Role) AdminURL() string { return "http://" + r.adminListener.Addr().String() }

// Loop returns the control loop.
func (r *Role) Loop() *Loop { return r.loop }

// Member returns this process's member ID in the replicated log.
func (r *Role) Member() kwid.NodeID { return r.member }

// Start starts serving; Done reports when serving has ended.
func (r *Role) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.peers.Start(r.transport, r.cfg.Peers, r.loop.Undelivered)
	var g run.Group
	g.Add(r.loop.Run, func(error) { r.loop.Stop() })
	g.Add(func() error { return r.adminServer.Serve(r.adminListener) }, func(error) { r.stopAdmin() })
	g.Add(func() error { return r.settleOrphanedRows(ctx) }, func(error) { cancel() })
	g.Add(func() error { return r.maintainMembership(ctx) }, func(error) { cancel() })
	go func() { r.done <- g.Run() }()
	r.deps.Events.Emit(kwevent.ProcessStarted, "", kwevent.F("role", "control"), kwevent.F("member", r.member))
}

func (r *Role) stopAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	_ = r.adminServer.Shutdown(ctx)
}

// Traffic returns the total traffic of the role's connections to other processes.
func (r *Role) Traffic() kwquic.Traffic { return r.transport.Traffic() }

// Done returns a channel that delivers the error with which the role ended.
func (r *Role) Done() <-chan error { return r.done }

// Stop shuts the role down gracefully: it transfers leadership, syncs accepted work and closes the files.
func (r *Role) Stop() {
	r.deps.Events.Emit(kwevent.ProcessStopping, "", kwevent.F("role", "control"))
	r.loop.Stop()
	r.cancel()
	r.stopAdmin()
	r.peers.Stop()
	r.transport.Close()
	r.unlockFolder()
	r.deps.Events.Emit(kwevent.ProcessStopped, "", kwevent.F("role", "control"))
}

// Kill closes the network first and skips the leadership transfer, as in a crash of the VM.
func (r *Role) Kill() {
	r.transport.Kill()
	_ = r.adminServer.Close()
	r.cancel()
	r.loop.abandon()
	r.peers.Stop()
	r.unlockFolder()
}
