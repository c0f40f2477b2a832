package kwcontrol

import (
	"sync"
	"sync/atomic"
	"time"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwwal"
)

// Timing holds the spans of the control role.
type Timing struct {
	// EndpointLease is how long an endpoint stays live without a renewal.
	EndpointLease time.Duration
	// EntryLease must exceed the time that an entry serves with an unconfirmed view.
	EntryLease time.Duration
	// GatherPeriod is how long a new leader collects announcements before it publishes a view.
	GatherPeriod time.Duration
	// MaxCallAge is how long a claim may stay open before the agent is asked about it.
	MaxCallAge time.Duration
	// TickPeriod is the period of the controllers.
	TickPeriod time.Duration
}

// DefaultTiming returns the spans of a deployed control process.
func DefaultTiming() Timing {
	return Timing{
		EndpointLease: 4 * time.Second,
		EntryLease:    12 * time.Second,
		GatherPeriod:  2500 * time.Millisecond,
		MaxCallAge:    30 * time.Second,
		TickPeriod:    20 * time.Millisecond,
	}
}

// Sender carries messages to other members; it must not block.
type Sender interface {
	Send(m kwraft.Message)
}

// LoopConfig holds what a Loop needs.
type LoopConfig struct {
	Member    kwid.NodeID
	Files     kwwal.FileSystem
	Bootstrap bool
	// InitialMembers are the members of a fleet that several members found together; empty means this one alone.
	InitialMembers []kwid.NodeID
	// Now replaces the monotonic clock that leases are kept by; nil means the runtime's.
	Now    func() time.Time
	Log    kwraft.Config
	State  kwstatemachine.Config
	Timing Timing
	Events *kwevent.Emitter
	Sender Sender
	// Roster sets how long announced endpoints live.
	Roster kwmembership.RosterConfig
	// Controllers run after the usual ones at each tick.
	Controllers []kwreconcile.Controller
	// CompactEntries is how many applied entries are kept before a snapshot.
	CompactEntries int
}

// DefaultCompactEntries bounds the log between snapshots.
const DefaultCompactEntries = 10_000

const queueLength = 4096

// doubtPeriod is the time between two questions about rows whose outcome is unknown.
const doubtPeriod = 2 * time.Second

type proposal struct {
	command kwstatemachine.Command
	reply   chan kwstatemachine.Reply
}

type pending struct {
	term  kwraft.Term
	reply chan kwstatemachine.Reply
}

type waiter struct {
	attempt kwid.Attempt
	reply   chan kwstatemachine.JournalRow
}

// Loop is the control goroutine with all that it owns.
type Loop struct {
	cfg         LoopConfig
	disk        *disk
	raft        *kwraft.Node
	board       *kwreconcile.Tables
	controllers []kwreconcile.Controller
	pending     map[kwraft.Index]pending
	waiters     map[kwstatemachine.Scope][]waiter
	led         bool
	booted      bool
	snapshotAt  kwraft.Index
	appliedAt   kwraft.Index
	anchor      time.Time
	proposals   chan proposal
	messages    chan kwraft.Message
	calls       chan func()
	metrics     loopMetrics
	stop        chan struct{}
	stopped     chan struct{}
	stopOnce    sync.Once
	alive       atomic.Int64
	dropped     atomic.Bool
	leaderKnown atomic.Bool
	diff        patchCache
	mu          sync.Mutex
	changed     chan struct{}
	version     uint64
	revision    kwid.Revision
	entries     int
	// doubtful are rows that wait to be asked about.
	doubtful []kwstatemachine.JournalRow
	owners   uint64
	number   kwdeclaration.Number
	roster   uint64
}

// NewLoop recovers the state from the files; Run must be called next.
func NewLoop(cfg LoopConfig) (*Loop, error) {
	if cfg.CompactEntries == 0 {
		cfg.CompactEntries = DefaultCompactEntries
	}
	l := &Loop{
		cfg:       cfg,
		anchor:    time.Now(),
		proposals: make(chan proposal, queueLength),
		messages:  make(chan kwraft.Message, queueLength),
		calls:     make(chan func(), queueLength),
		metrics:   newLoopMetrics(),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
		changed:   make(chan struct{}),
	}
	l.controllers = []kwreconcile.Controller{
		kwreconcile.EndpointExpirer{},
		kwreconcile.StaleClaimFinder{MaxCallAge: cfg.Timing.MaxCallAge, EntryGrace: cfg.Timing.EntryLease},
		&kwreconcile.UnknownOutcomeFinder{Period: doubtPeriod},
		kwreconcile.RosterExpirer{},
	}
	l.controllers = append(l.controllers, cfg.Controllers...)
	if err := l.open(); err != nil {
		return nil, err
	}
	return l, nil
}

// open builds the member and the machine from the files.
func (l *Loop) open() error {
	d, from, fresh, err := openDisk(l.cfg.Files)
	if err != nil {
		return err
	}
	if fresh && l.cfg.Bootstrap {
		founders := l.cfg.InitialMembers
		if len(founders) == 0 {
			founders = []kwid.NodeID{l.cfg.Member}
		}
		from = kwraft.Bootstrap(kwraft.Members{Voters: founders})
		if err := d.rewrite(from); err != nil {
			return err
		}
	}
	machine := kwstatemachine.New(l.cfg.State)
	if len(from.Snapshot.State) > 0 {
		if err := machine.Restore(from.Snapshot.State); err != nil {
			return err
		}
	}
	now := l.now()
	l.disk = d
	l.raft = kwraft.New(l.cfg.Log, now, from)
	l.snapshotAt = from.Snapshot.Index
	l.appliedAt = from.Snapshot.Index
	l.pending = make(map[kwraft.Index]pending)
	l.waiters = make(map[kwstatemachine.Scope][]waiter)
	l.board = &kwreconcile.Tables{State: machine, Members: l.newMembers(), Roster: kwmembership.NewRoster(l.cfg.Roster)}
	l.led = false
	l.cfg.Events.Emit(kwevent.StateRecovered, "",
		kwevent.F("entries", len(from.Entries)), kwevent.F("snapshot-index", uint64(from.Snapshot.Index)))
	return nil
}

func (l *Loop) newMembers() *kwmembership.Table {
	return kwmembership.New(kwmembership.Config{EndpointLease: l.cfg.Timing.EndpointLease, EntryLease: l.cfg.Timing.EntryLease})
}

// now returns a time that follows the monotonic clock, so that leases do not move with the wall clock.
func (l *Loop) now() time.Time {
	if l.cfg.Now != nil {
		return l.cfg.Now()
	}
	return l.anchor.Round(0).Add(time.Since(l.anchor))
}

// Run serves until Stop is called or the disk cannot be used.
func (l *Loop) Run() error {
	defer close(l.stopped)
	tick := time.NewTicker(l.cfg.Timing.TickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return l.finish()
		case p := <-l.proposals:
			l.propose(p)
		case m := <-l.messages:
			l.raft.Step(l.now(), m)
			l.takeMessages()
		case f := <-l.calls:
			f()
		case <-tick.C:
			l.tick()
		}
		if err := l.settleWork(); err != nil {
			return err
		}
	}
}

// takeMessages steps all messages that wait, so that one sync covers them.
func (l *Loop) takeMessages() {
	for range len(l.messages) {
		l.raft.Step(l.now(), <-l.messages)
	}
}

func (l *Loop) tick() {
	now := l.now()
	l.alive.Store(now.UnixNano())
	l.raft.Tick(now)
	l.board.Leading = l.raft.HoldsLease(now)
	l.leaderKnown.Store(l.raft.Status().Leader != "")
	for _, c := range l.controllers {
		c.Run(now, l.board)
	}
	l.doubtful = append(l.doubtful, l.board.UnknownOutcomes...)
	for _, row := range l.board.LostAnnounced {
		l.cfg.Events.Emit(kwevent.EndpointLost, "", kwevent.F("endpoint", row.Announcement.ID), kwevent.F("address", row.Announcement.Address))
	}
	for _, e := range l.board.LostEndpoints {
		l.cfg.Events.Emit(kwevent.EndpointLost, "", kwevent.F("endpoint", e.ID))
	}
}

// propose logs one command with all others that wait, so that one sync covers them.
func (l *Loop) propose(first proposal) {
	batch := []proposal{first}
	for range len(l.proposals) {
		batch = append(batch, <-l.proposals)
	}
	data := make([][]byte, 0, len(batch))
	for i := range batch {
		raw, err := kwcbor.Marshal(batch[i].command)
		if err != nil {
			raw = nil
		}
		data = append(data, raw)
	}
	index, err := l.raft.Propose(l.now(), data)
	if err != nil {
		refused := l.notLeader()
		for _, p := range batch {
			p.reply <- kwstatemachine.Reply{Err: refused}
		}
		return
	}
	term := l.raft.Status().Term
	for i, p := range batch {
		l.pending[index+kwraft.Index(i)] = pending{term: term, reply: p.reply}
	}
}

// settleWork persists, sends and applies until nothing is left; a failed disk drops the member's memory.
func (l *Loop) settleWork() error {
	for {
		rd := l.raft.Ready()
		if rd.Empty() {
			break
		}
		l.send(rd.ImmediateMessages)
		if err := l.persist(rd); err != nil {
			return l.mend(err)
		}
		l.raft.Persisted(l.now())
		l.send(rd.Messages)
		l.apply(rd.Committed)
	}
	l.noteLeadership()
	l.compact()
	l.publish()
	return nil
}

func (l *Loop) send(messages []kwraft.Message) {
	for _, m := range messages {
		l.cfg.Sender.Send(m)
	}
}

func (l *Loop) persist(rd kwraft.Ready) error {
	if rd.Snapshot != nil {
		return l.install(rd)
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	begin := time.Now()
	err := l.disk.save(rd)
	l.metrics.persist.UpdateSince(begin)
	l.metrics.entries.Update(int64(len(rd.Entries)))
	return err
}

// install replaces the machine and all files by a snapshot from the leader.
func (l *Loop) install(rd kwraft.Ready) error {
	if err := l.board.State.Restore(rd.Snapshot.State); err != nil {
		return err
	}
	l.snapshotAt = rd.Snapshot.Index
	l.appliedAt = rd.Snapshot.Index
	return l.disk.rewrite(l.raft.PersistentState())
}

func (l *Loop) failPending(cause *kwcode.Error) {
	for index, p := range l.pending {
		p.reply <- kwstatemachine.Reply{Err: cause}
		delete(l.pending, index)
	}
}

// noteLeadership reacts to a gain or a loss of leadership.
func (l *Loop) noteLeadership() {
	leads := l.raft.Status().Role == kwraft.Leader
	if leads == l.led {
		return
	}
	l.led = leads
	if !leads {
		l.cfg.Events.Emit(kwevent.LeaderSteppedDown, "")
		l.failPending(l.notLeader())
		return
	}
	now := l.now()
	l.cfg.Events.Emit(kwevent.LeaderElected, "", kwevent.F("term", uint64(l.raft.Status().Term)))
	l.board.Members = l.newMembers()
	l.board.Roster = kwmembership.NewRoster(l.cfg.Roster)
	l.board.Roster.RestoreLive(now, l.board.State.LiveEndpoints())
	l.board.Roster.RestoreDeparting(now, l.board.State.DepartingEndpoints())
	l.board.Epoch = uint64(l.raft.Status().Term)
	l.board.GatherUntil = now.Add(l.cfg.Timing.GatherPeriod)
	l.booted = false
	l.calls <- func() {
		l.propose(proposal{
			command: kwstatemachine.Command{TimeMillis: l.millis(), AdvanceFence: &kwstatemachine.AdvanceFence{Node: l.cfg.Member}},
			reply:   make(chan kwstatemachine.Reply, 1),
		})
	}
}

func (l *Loop) millis() int64 {
	return time.Now().UnixMilli()
}

// compact writes a snapshot once enough entries have been applied since the last one.
func (l *Loop) compact() {
	if int(l.appliedAt-l.snapshotAt) < l.cfg.CompactEntries {
		return
	}
	state, err := l.board.State.Snapshot()
	if err != nil {
		return
	}
	l.raft.Compact(l.appliedAt, state)
	l.snapshotAt = l.appliedAt
	if err := l.disk.rewrite(l.raft.PersistentState()); err != nil {
		l.cfg.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", err.Error()))
		return
	}
	l.cfg.Events.Emit(kwevent.SnapshotWritten, "", kwevent.F("index", uint64(l.appliedAt)), kwevent.F("bytes", len(state)))
}

// publish wakes the watchers when an entry would see another view.
func (l *Loop) publish() {
	version, revision := l.board.Members.Version(), l.board.State.Revision()
	entries := l.board.Members.EntryCount()
	owners := l.board.State.OwnerVersion()
	number, roster := l.board.State.Declared().Number, l.board.Roster.Version()
	same := version == l.version && revision == l.revision && entries == l.entries && owners == l.owners
	if same && number == l.number && roster == l.roster {
		return
	}
	l.version, l.revision, l.entries, l.owners = version, revision, entries, owners
	l.number, l.roster = number, roster
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that closes at the next change of the view.
func (l *Loop) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Loop) notLeader() *kwcode.Error {
	leader := l.raft.Status().Leader
	return kwcode.New(kwcode.NotLeader, "the leader is %q", NodeOf(leader)).WithEndpoint(string(NodeOf(leader)))
}

// LastTick returns when the loop last ran its controllers.
func (l *Loop) LastTick() time.Time {
	return time.Unix(0, l.alive.Load())
}
