package kwdirectcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwclient"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwendpointlimit"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwguard"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwtime"
	"knapweedproxy/io/kwwal"
)

// Server is a control process: a member of the replicated log, or a relay to the leader if it has no data folder.
type Server struct {
	cfg  Config
	deps Deps
	pool *kwtcprpc.Pool
	// bulkPool holds the connections for large messages of the replicated log.
	bulkPool     *kwtcprpc.Pool
	leaderClient *kwtcprpc.LeaderClient
	rpcServer    *kwtcprpc.Server
	member       atomic.Pointer[logMember]
	discovery    *discovery
	placer       *placer
	watchers     *watchers
	deltas       declarationDeltas
	lender       *kwretry.Lender
	promptParts  *promptParts
	// limits is owned by the control goroutine.
	limits *kwendpointlimit.Lender
	// admission is owned by the control goroutine.
	admission *kwadmission.Tally
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	// done receives the first failure.
	done chan error
}

// logMember is this process's member of the replicated log; a relay has none.
type logMember struct {
	id   kwid.NodeID
	loop *kwcontrol.Loop
	// outside is set while the member has to ask the leader to add it.
	outside atomic.Bool
}

// New opens the listener; the server serves once Start is called.
func New(cfg Config, deps Deps) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	traffic := kwtcprpc.NewTraffic(deps.Metrics, kwdirectproto.KindNames())
	s := &Server{cfg: cfg, deps: deps, pool: kwtcprpc.NewPool(traffic), bulkPool: kwtcprpc.NewPool(traffic), ctx: ctx, cancel: cancel, done: make(chan error, 1)}
	s.leaderClient = kwtcprpc.NewLeaderClient(s.pool, cfg.Seeds)
	s.discovery = newDiscovery(s)
	s.watchers = newWatchers()
	s.lender = kwretry.NewLender(cfg.RetryBudget)
	s.promptParts = newPromptParts(deps.Events)
	s.limits = kwendpointlimit.NewLender()
	s.admission = kwadmission.NewTally(kwadmission.DefaultConfig())
	s.placer = newPlacer(placerConfig{
		Decoder: deps.Decoder, Engines: deps.Engines, Events: deps.Events, Run: s.background, ReportLeaving: s.reportOwnLeaver,
	})
	connections, calls := kwclient.NewConnections(cfg.Capacity.MaxPeerConnections()), kwbuffer.New(cfg.Capacity.PeerBytes())
	kwguard.RegisterConnections(deps.Metrics, "internal", connections)
	_ = deps.Metrics.Register("calls.bytes", metrics.NewFunctionalGauge(func() int64 { return calls.Usage().Used }))
	server, err := kwtcprpc.Listen(kwtcprpc.ServerConfig{Address: cfg.Address, Traffic: traffic, Connections: connections, Buffers: calls, Handlers: map[kwtcprpc.Kind]kwtcprpc.Handler{
		kwdirectproto.KindRaft:              s.handleRaft,
		kwdirectproto.KindAddMember:         s.handleAddMember,
		kwdirectproto.KindAnnounce:          s.handleAnnounce,
		kwdirectproto.KindDeregister:        s.handleDeregister,
		kwdirectproto.KindWriteDeclaration:  s.handleWriteDeclaration,
		kwdirectproto.KindReadDeclaration:   s.handleReadDeclaration,
		kwdirectproto.KindWatch:             s.handleWatch,
		kwdirectproto.KindConnectionRefused: s.handleConnectionRefused,
		kwdirectproto.KindRetryLoan:         s.handleRetryLoan,
		kwdirectproto.KindUnresponsive:      s.handleUnresponsive,
		kwdirectproto.KindEndpointCrashed:   s.handleEndpointCrashed,
		kwdirectproto.KindQuarantineTrial:   s.handleQuarantineTrial,
		kwdirectproto.KindSaidLeaving:       s.handleSaidLeaving,
		kwdirectproto.KindExchangeRecords:   s.discovery.handle,
	}})
	if err != nil {
		cancel()
		return nil, err
	}
	s.rpcServer = server
	return s, nil
}

// Start starts serving calls and, with a data folder, the member of the replicated log.
func (s *Server) Start() {
	s.background(func() {
		if err := s.rpcServer.Serve(); err != nil {
			s.fail(err)
		}
	})
	s.background(s.discovery.run)
	if s.cfg.DataFolder != "" {
		s.background(s.runMember)
	}
}

// Done returns a channel that delivers the first fatal error; Stop itself delivers nothing.
func (s *Server) Done() <-chan error { return s.done }

// Stop transfers leadership if this process leads, and stops the server.
func (s *Server) Stop() {
	if m := s.member.Load(); m != nil {
		m.loop.Stop()
	}
	s.cancel()
	s.rpcServer.Close()
	s.wg.Wait()
	s.pool.Close()
	s.bulkPool.Close()
}

// SetControlAddresses replaces the known addresses of control processes after the settings have changed.
func (s *Server) SetControlAddresses(addresses []string) {
	s.leaderClient.SetSeeds(addresses)
	s.discovery.setSeeds(addresses)
}

// background runs f in a goroutine that Stop waits for.
func (s *Server) background(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Server) fail(err error) {
	select {
	case s.done <- err:
	default:
	}
}

// runMember opens the data folder, with retries while the disk fails, and runs this process's member of the log.
func (s *Server) runMember() {
	for s.ctx.Err() == nil {
		m, sender, err := s.openMember()
		if err != nil {
			s.deps.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", err.Error()))
			if kwcode.Is(err, kwcode.LogDamaged) {
				s.fail(err)
				return
			}
			kwtime.Sleep(s.ctx, openRetryDelay)
			continue
		}
		s.member.Store(m)
		// Stop finds no member to stop if it is called before this one is stored.
		context.AfterFunc(s.ctx, m.loop.Stop)
		s.background(newMembership(s, m).run)
		err = m.loop.Run()
		sender.stop()
		if err != nil && s.ctx.Err() == nil {
			s.fail(err)
		}
		return
	}
}

// openMember opens the data folder and creates the member of the log with its message sender.
func (s *Server) openMember() (*logMember, *peerSender, error) {
	folder, err := kwwal.OpenFolder(s.cfg.DataFolder)
	if err != nil {
		return nil, nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	initial := s.cfg.isInitialMember()
	id, err := kwcontrol.MemberID(s.cfg.DataFolder, kwid.NodeID(s.cfg.Address), initial)
	if err != nil {
		return nil, nil, err
	}
	logCfg := kwraft.DefaultConfig(id, uint64(time.Now().UnixNano()))
	logCfg.MinElectionTimeout, logCfg.HeartbeatInterval = minElectionTimeout, raftHeartbeat
	sender := newPeerSender(s.ctx, s.pool, s.bulkPool, s.deps.Events)
	loop, err := kwcontrol.NewLoop(kwcontrol.LoopConfig{
		Member:         id,
		Files:          folder,
		Bootstrap:      initial && id == kwcontrol.InitialMemberID(kwid.NodeID(s.cfg.Address)),
		InitialMembers: s.cfg.initialMemberIDs(),
		Now:            s.deps.Now,
		Log:            logCfg,
		State:          stateMachineConfig(),
		Timing:         s.cfg.timing(),
		Events:         s.deps.Events,
		Sender:         sender,
		Roster:         s.cfg.rosterConfig(),
		Controllers:    []kwreconcile.Controller{s.placer, &recorder{propose: s.propose}},
		CompactEntries: compactionEntries,
		CompactBytes:   s.cfg.DiskBytes / compactionDiskParts,
	})
	if err != nil {
		sender.stop()
		return nil, nil, err
	}
	sender.reportTo(loop)
	return &logMember{id: id, loop: loop}, sender, nil
}

// propose submits a command to the log without blocking the control goroutine. The recorder makes up for a lost command
// later.
func (s *Server) propose(c kwstatemachine.Command) {
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if m := s.member.Load(); m != nil {
			if reply := m.loop.Propose(ctx, c); reply.Err != nil {
				s.deps.Events.Emit(kwevent.EndpointsUnrecorded, "", kwevent.F("error", reply.Err.Error()))
			}
		}
	})
}

// runAsLeader runs f on the control goroutine of this process, or returns an error if it does not lead.
func (s *Server) runAsLeader(ctx context.Context, f func(now time.Time, t *kwreconcile.Tables)) error {
	m := s.member.Load()
	if m == nil {
		return s.discovery.notLeader()
	}
	out := make(chan error, 1)
	var call abandonableCall
	go func() {
		out <- m.loop.DoAsLeader(func(now time.Time, t *kwreconcile.Tables) { call.run(func() { f(now, t) }) })
	}()
	select {
	case err := <-out:
		if e := kwcode.FromError(err); e != nil {
			return s.withHint(m, e)
		}
		return nil
	case <-ctx.Done():
		call.abandon()
		return kwcode.New(kwcode.DiskFailed, "the control goroutine of %s does not respond", s.cfg.Address)
	}
}

// withHint adds to a NotLeader error of a member that does not belong to the log, or not any more, where to ask next. A voter without a
// leader names nobody: an election is under way.
func (s *Server) withHint(m *logMember, err *kwcode.Error) *kwcode.Error {
	if err.Code != kwcode.NotLeader || err.Endpoint != "" || !m.outside.Load() {
		return err
	}
	return s.discovery.notLeader()
}

// abandonableCall is a call whose caller may stop waiting for it. From then on the variables that it uses are the caller's alone.
type abandonableCall struct {
	mu        sync.Mutex
	abandoned bool
}

// run calls f unless the call has been abandoned.
func (a *abandonableCall) run(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.abandoned {
		f()
	}
}

// abandon keeps f from being called, or waits for its end if it has begun.
func (a *abandonableCall) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
}

// callLeader runs local if this process leads, and otherwise sends the request to the leader.
func (s *Server) callLeader(ctx context.Context, kind kwtcprpc.Kind, local func(context.Context) error, req, resp any) error {
	err := local(ctx)
	if !kwcode.Is(err, kwcode.NotLeader) && !kwcode.Is(err, kwcode.ControlStopping) {
		return err
	}
	// A process outside the log knows no better than its client for the leader.
	if m := s.member.Load(); m != nil && !m.outside.Load() {
		if hint := kwcode.FromError(err).Endpoint; hint != "" && hint != s.cfg.Address {
			s.leaderClient.SetHint(hint)
		}
	}
	return s.leaderClient.Call(ctx, kind, req, resp, 0)
}

// ReadDeclaration returns the declaration in force. It returns an error if the leader cannot confirm which one that is.
func (s *Server) ReadDeclaration(ctx context.Context) (kwdeclaration.Number, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out kwdirectproto.CompressedDeclaration
	err := s.callLeader(ctx, kwdirectproto.KindReadDeclaration, func(ctx context.Context) (err error) {
		out, err = s.read(ctx)
		return err
	}, nil, &out)
	if err != nil {
		return 0, nil, err
	}
	if out.Number == 0 {
		return 0, nil, kwcode.New(kwcode.NotFound, "there is no declaration yet")
	}
	content, err := kwdirectproto.Decompress(out.Content)
	return out.Number, content, err
}
