package kwdirectcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
	"knapweedproxy/io/kwtime"
	"knapweedproxy/io/kwwal"
)

// Server is a running control process.
type Server struct {
	cfg    Config
	deps   Deps
	pool   *kwtcprpc.Pool
	leader *kwtcprpc.LeaderClient
	server *kwtcprpc.Server
	member atomic.Pointer[membership]
	placer *placer
	watch  *watchers
	lender *kwretry.Lender
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	done   chan error
}

// membership is this process's part in the replicated log, absent on a relay.
type membership struct {
	id   kwid.NodeID
	loop *kwcontrol.Loop
}

// New opens the listener; the hub serves after Start.
func New(cfg Config, deps Deps) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Server{cfg: cfg, deps: deps, pool: kwtcprpc.NewPool(), ctx: ctx, cancel: cancel, done: make(chan error, 1)}
	h.leader = kwtcprpc.NewLeaderClient(h.pool, cfg.Seeds)
	h.watch = newWatchers()
	h.lender = kwretry.NewLender(cfg.RetryBudget)
	h.placer = newPlacer(placerConfig{Decoder: deps.Decoder, Engines: deps.Engines, Events: deps.Events, Run: h.background})
	server, err := kwtcprpc.Listen(cfg.Address, map[kwtcprpc.Kind]kwtcprpc.Handler{
		kwdirectproto.KindRaft:              h.onLog,
		kwdirectproto.KindAddMember:         h.onJoin,
		kwdirectproto.KindAnnounce:          h.onAnnounce,
		kwdirectproto.KindDeregister:        h.onDepart,
		kwdirectproto.KindWriteDeclaration:  h.onDeclare,
		kwdirectproto.KindReadDeclaration:   h.onRead,
		kwdirectproto.KindWatch:             h.onWatch,
		kwdirectproto.KindConnectionRefused: h.onRefusal,
		kwdirectproto.KindRetryLoan:         h.onLoan,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	h.server = server
	return h, nil
}

// Start begins to serve; Done reports an end that nobody asked for.
func (h *Server) Start() {
	h.background(func() {
		if err := h.server.Serve(); err != nil {
			h.fail(err)
		}
	})
	if h.cfg.DataFolder != "" {
		h.background(h.takePart)
	}
}

// Done reports a failure that ended the hub.
func (h *Server) Done() <-chan error { return h.done }

// Stop hands leadership over and ends the hub.
func (h *Server) Stop() {
	if m := h.member.Load(); m != nil {
		m.loop.Stop()
	}
	h.cancel()
	h.server.Close()
	h.work.Wait()
	h.pool.Close()
}

// SetControlAddresses replaces the seeds after the settings changed.
func (h *Server) SetControlAddresses(seeds []string) { h.leader.SetAddresses(seeds) }

func (h *Server) background(f func()) {
	h.work.Add(1)
	go func() {
		defer h.work.Done()
		f()
	}()
}

func (h *Server) fail(err error) {
	select {
	case h.done <- err:
	default:
	}
}

// takePart opens the data folder, again and again while the disk refuses, and runs this process's member of the log.
func (h *Server) takePart() {
	for h.ctx.Err() == nil {
		m, sender, err := h.open()
		if err != nil {
			h.deps.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", err.Error()))
			if kwcode.Is(err, kwcode.LogDamaged) {
				h.fail(err)
				return
			}
			kwtime.Sleep(h.ctx, retryOpen)
			continue
		}
		h.member.Store(m)
		h.background(func() { h.keepMembership(m) })
		err = m.loop.Run()
		sender.stop()
		if err != nil && h.ctx.Err() == nil {
			h.fail(err)
		}
		return
	}
}

func (h *Server) open() (*membership, *logSender, error) {
	folder, err := kwwal.OpenFolder(h.cfg.DataFolder)
	if err != nil {
		return nil, nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	founder := h.cfg.founder()
	id, err := kwcontrol.MemberID(h.cfg.DataFolder, kwid.NodeID(h.cfg.Address), founder)
	if err != nil {
		return nil, nil, err
	}
	logCfg := kwraft.DefaultConfig(id, uint64(time.Now().UnixNano()))
	logCfg.MinElectionTimeout, logCfg.HeartbeatInterval = electionMin, logHeartbeat
	sender := newLogSender(h.ctx, h.pool)
	loop, err := kwcontrol.NewLoop(kwcontrol.LoopConfig{
		Member:         id,
		Files:          folder,
		Bootstrap:      founder && id == kwcontrol.FounderID(kwid.NodeID(h.cfg.Address)),
		Founders:       h.cfg.founders(),
		Now:            h.deps.Now,
		Log:            logCfg,
		State:          stateConfig(),
		Timing:         h.cfg.timing(),
		Events:         h.deps.Events,
		Sender:         sender,
		Roster:         h.cfg.roster(),
		Controllers:    []kwreconcile.Controller{h.placer, &recorder{propose: h.record}},
		CompactEntries: compactEntries,
	})
	if err != nil {
		sender.stop()
		return nil, nil, err
	}
	return &membership{id: id, loop: loop}, sender, nil
}

// record hands a command to the log beside the control goroutine; one that is lost is made good by a later one.
func (h *Server) record(c kwstatemachine.Command) {
	h.background(func() {
		ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
		defer cancel()
		if m := h.member.Load(); m != nil {
			if reply := m.loop.Propose(ctx, c); reply.Err != nil {
				h.deps.Events.Emit(kwevent.EndpointsUnrecorded, "", kwevent.F("error", reply.Err.Error()))
			}
		}
	})
}

// keepMembership asks to be taken in while this member is outside, and lets the steward act while it leads.
func (h *Server) keepMembership(m *membership) {
	steward := h.cfg.steward()
	for h.ctx.Err() == nil {
		kwtime.Sleep(h.ctx, stewardPeriod)
		var status kwraft.Status
		var change *kwraft.MembershipChange
		m.loop.Log(func(now time.Time, n *kwraft.Node) {
			status = n.Status()
			next, ok := steward.NextChange(now, n)
			if !ok {
				return
			}
			if _, err := n.ChangeMembers(now, next); err == nil {
				change = &next
			}
		})
		if change != nil {
			h.deps.Events.Emit(kwevent.MembersChanged, "", kwevent.F("promote", change.Promote),
				kwevent.F("remove", change.Remove), kwevent.F("voters", len(status.Members.Voters)))
		}
		if status.Leader == "" && !status.Members.IsVoter(m.id) || !status.Members.IsVoter(m.id) && !status.Members.IsLearner(m.id) {
			h.askToJoin(m.id)
		}
	}
}

func (h *Server) askToJoin(id kwid.NodeID) {
	ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
	defer cancel()
	// A failure is repeated at the next look; the leader logs what it does.
	_ = h.leader.Call(ctx, kwdirectproto.KindAddMember, kwdirectproto.AddMember{Member: id}, nil, 0)
}

// lead runs f on the control goroutine of this process if it leads.
func (h *Server) lead(ctx context.Context, f func(now time.Time, b *kwreconcile.Tables)) error {
	m := h.member.Load()
	if m == nil {
		return kwcode.New(kwcode.NotLeader, "%s keeps no log", h.cfg.Address)
	}
	out := make(chan error, 1)
	go func() { out <- m.loop.Lead(f) }()
	select {
	case err := <-out:
		if e := kwcode.FromError(err); e != nil {
			return e
		}
		return nil
	case <-ctx.Done():
		return kwcode.New(kwcode.DiskFailed, "the control goroutine of %s does not answer", h.cfg.Address)
	}
}

// ask has the leader answer: this process if it leads, else the one that does.
func (h *Server) ask(ctx context.Context, kind kwtcprpc.Kind, here func(context.Context) error, req, resp any) error {
	err := here(ctx)
	if !kwcode.Is(err, kwcode.NotLeader) && !kwcode.Is(err, kwcode.ControlStopping) {
		return err
	}
	if at := kwcode.FromError(err).Endpoint; at != "" && at != h.cfg.Address {
		h.leader.Hint(at)
	}
	return h.leader.Call(ctx, kind, req, resp, 0)
}

// Read returns the declaration in force; an error means that this process cannot be sure.
func (h *Server) Read(ctx context.Context) (kwdeclaration.Number, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out kwdirectproto.CompressedDeclaration
	err := h.ask(ctx, kwdirectproto.KindReadDeclaration, func(ctx context.Context) (err error) {
		out, err = h.read(ctx)
		return err
	}, nil, &out)
	if err != nil {
		return 0, nil, err
	}
	if out.Number == 0 {
		return 0, nil, kwcode.New(kwcode.NotFound, "nothing has been declared yet")
	}
	content, err := kwdirectproto.Decompress(out.Content)
	return out.Number, content, err
}
