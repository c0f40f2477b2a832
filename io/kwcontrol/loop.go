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

// Timing holds the durations that the control role works with.
type Timing struct {
	// EndpointLease is how long an endpoint stays live without a renewal.
	EndpointLease time.Duration
	// EntryLease is how long an entry counts as live without a renewal. It must exceed the time for which an entry
	// goes on serving with an unconfirmed view.
	EntryLease time.Duration
	// GatherPeriod is how long a new leader collects endpoint announcements before it publishes its first view.
	GatherPeriod time.Duration
	// MaxCallAge is how long a claim may stay open before control asks the agent for its outcome.
	MaxCallAge time.Duration
	// TickPeriod is the interval between two runs of the log's timers and of the controllers.
	TickPeriod time.Duration
}

// DefaultTiming returns the timing of a production control process.
func DefaultTiming() Timing {
	return Timing{
		EndpointLease: 4 * time.Second,
		EntryLease:    12 * time.Second,
		GatherPeriod:  2500 * time.Millisecond,
		MaxCallAge:    30 * time.Second,
		TickPeriod:    20 * time.Millisecond,
	}
}

// Sender sends Raft messages to other members. Send must not block.
type Sender interface {
	Send(m kwraft.Message)
}

// LoopConfig configures a Loop.
type LoopConfig struct {
	Member kwid.NodeID
	Files  kwwal.FileSystem
	// Bootstrap creates a new cluster if the data folder holds no log.
	Bootstrap bool
	// InitialMembers are the voters of a newly bootstrapped cluster; empty means Member alone.
	InitialMembers []kwid.NodeID
	// Now replaces the monotonic clock that leases are measured by; nil means the runtime's clock.
	Now func() time.Time
	// Log configures the replicated log.
	Log    kwraft.Config
	State  kwstatemachine.Config
	Timing Timing
	Events *kwevent.Emitter
	Sender Sender
	// Roster sets how long announced endpoints stay live.
	Roster kwmembership.RosterConfig
	// Controllers run after the built-in ones at each tick.
	Controllers []kwreconcile.Controller
	// CompactEntries is the number of applied entries after which the log is compacted into a snapshot; 0 means
	// DefaultCompactEntries.
	CompactEntries int
	// CompactBytes is the size of the log on disk from which it is compacted even before; 0 means DefaultCompactBytes.
	CompactBytes int64
}

const (
	// DefaultCompactEntries is the default number of applied entries between two snapshots.
	DefaultCompactEntries = 10_000
	// DefaultCompactBytes is the default size of the log between two snapshots.
	DefaultCompactBytes = 16 << 20
)

// queueLength is the capacity of each of the loop's input channels.
const queueLength = 4096

// unknownOutcomePeriod is the interval at which agents are asked again about rows with an unknown outcome.
const unknownOutcomePeriod = 2 * time.Second

// proposal is a command with the channel for its reply.
type proposal struct {
	command kwstatemachine.Command
	reply   chan kwstatemachine.Reply
}

// pendingReply is the reply channel of a proposed log entry; term tells whether the entry at that index is still the
// proposed one.
type pendingReply struct {
	term  kwraft.Term
	reply chan kwstatemachine.Reply
}

// waiter is a request that waits for the outcome of an attempt.
type waiter struct {
	attempt kwid.Attempt
	reply   chan kwstatemachine.JournalRow
}

// Loop is the control goroutine and the state that it owns. Other goroutines reach that state through Do and its
// variants.
type Loop struct {
	cfg           LoopConfig
	disk          *disk
	raft          *kwraft.Node
	tables        *kwreconcile.Tables
	controllers   []kwreconcile.Controller
	pending       map[kwraft.Index]pendingReply
	waiters       map[kwstatemachine.Scope][]waiter
	wasLeader     bool
	fenceAdvanced bool
	// rosterRestored means that the roster holds what earlier leaders have recorded; it applies to the present term only.
	rosterRestored bool
	snapshotIndex  kwraft.Index
	// nextCompaction is the earliest time of a compaction after one that failed.
	nextCompaction time.Time
	appliedIndex   kwraft.Index
	// appliedTerm is the term of the last applied entry.
	appliedTerm kwraft.Term
	started     time.Time
	proposals   chan proposal
	messages    chan kwraft.Message
	calls       chan func()
	panicLogged time.Time
	metrics     loopMetrics
	stop        chan struct{}
	stopped     chan struct{}
	stopOnce    sync.Once
	lastTick    atomic.Int64
	abandoned   atomic.Bool
	leaderKnown atomic.Bool
	lastPatches patchCache
	// mu guards changed, which is closed and replaced when the view changes.
	mu      sync.Mutex
	changed chan struct{}
	// membersVersion, revision, entryCount, ownerVersion, declarationNumber and rosterVersion describe the view of the
	// last notification to the watchers.
	membersVersion uint64
	revision       kwid.Revision
	entryCount     int
	// unknownOutcomes are the rows whose agents settleOrphanedRows has yet to ask for the outcome.
	unknownOutcomes   []kwstatemachine.JournalRow
	ownerVersion      uint64
	declarationNumber kwdeclaration.Number
	rosterVersion     uint64
}

// NewLoop recovers the state from the files. The caller must then call Run.
func NewLoop(cfg LoopConfig) (*Loop, error) {
	if cfg.CompactEntries == 0 {
		cfg.CompactEntries = DefaultCompactEntries
	}
	if cfg.CompactBytes == 0 {
		cfg.CompactBytes = DefaultCompactBytes
	}
	l := &Loop{
		cfg:       cfg,
		started:   time.Now(),
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
		&kwreconcile.UnknownOutcomeFinder{Period: unknownOutcomePeriod},
		kwreconcile.RosterExpirer{},
	}
	l.controllers = append(l.controllers, cfg.Controllers...)
	if err := l.open(); err != nil {
		return nil, err
	}
	return l, nil
}

// open recovers the Raft node and the state machine from the files, and resets all state that is kept in memory only.
func (l *Loop) open() (err error) {
	d, state, empty, err := openDisk(l.cfg.Files)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if empty && l.cfg.Bootstrap {
		voters := l.cfg.InitialMembers
		if len(voters) == 0 {
			voters = []kwid.NodeID{l.cfg.Member}
		}
		state = kwraft.Bootstrap(kwraft.Members{Voters: voters})
		if err := d.rewrite(state); err != nil {
			return err
		}
	}
	machine := kwstatemachine.New(l.cfg.State)
	if len(state.Snapshot.State) > 0 {
		if err := machine.Restore(state.Snapshot.State); err != nil {
			return err
		}
	}
	now := l.now()
	l.disk = d
	l.raft = kwraft.New(l.cfg.Log, now, state)
	l.snapshotIndex = state.Snapshot.Index
	l.appliedIndex = state.Snapshot.Index
	l.pending = make(map[kwraft.Index]pendingReply)
	l.waiters = make(map[kwstatemachine.Scope][]waiter)
	l.tables = &kwreconcile.Tables{State: machine, Membership: l.newMembershipTable(), Roster: kwmembership.NewRoster(l.cfg.Roster)}
	l.wasLeader, l.rosterRestored, l.appliedTerm = false, false, 0
	l.cfg.Events.Emit(kwevent.StateRecovered, "",
		kwevent.F("entries", len(state.Entries)), kwevent.F("snapshot-index", uint64(state.Snapshot.Index)))
	return nil
}

func (l *Loop) newMembershipTable() *kwmembership.Table {
	return kwmembership.New(kwmembership.Config{EndpointLease: l.cfg.Timing.EndpointLease, EntryLease: l.cfg.Timing.EntryLease})
}

// now returns the start time plus the monotonic time since, so that a step of the wall clock does not move leases.
func (l *Loop) now() time.Time {
	if l.cfg.Now != nil {
		return l.cfg.Now()
	}
	return l.started.Round(0).Add(time.Since(l.started))
}

// Run serves until Stop is called or the log on disk turns out to be damaged. While the disk fails for other reasons,
// it rejects proposals and retries.
func (l *Loop) Run() error {
	defer close(l.stopped)
	tick := time.NewTicker(l.cfg.Timing.TickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return l.shutDown()
		case p := <-l.proposals:
			l.proposeBatch(p)
		case m := <-l.messages:
			l.raft.Step(l.now(), m)
			l.stepQueuedMessages()
		case f := <-l.calls:
			l.safely("call", f)
		case <-tick.C:
			l.tick()
		}
		if err := l.processReady(); err != nil {
			return err
		}
	}
}

// stepQueuedMessages steps all queued messages, so that one sync covers them.
func (l *Loop) stepQueuedMessages() {
	for range len(l.messages) {
		l.raft.Step(l.now(), <-l.messages)
	}
}

// tick advances the Raft timers and runs the controllers.
func (l *Loop) tick() {
	now := l.now()
	l.lastTick.Store(now.UnixNano())
	l.raft.Tick(now)
	l.tables.Leading = l.raft.HoldsLease(now)
	l.leaderKnown.Store(l.raft.Status().Leader != "")
	for _, c := range l.controllers {
		l.safely("controller", func() { c.Run(now, l.tables) })
	}
	l.unknownOutcomes = append(l.unknownOutcomes, l.tables.UnknownOutcomes...)
	for _, row := range l.tables.LostAnnounced {
		l.cfg.Events.Emit(kwevent.EndpointLost, "", kwevent.F("endpoint", row.Announcement.ID), kwevent.F("address", row.Announcement.Address),
			kwevent.F("unreachable-from", row.UnreachableFrom()))
	}
	for _, e := range l.tables.LostEndpoints {
		l.cfg.Events.Emit(kwevent.EndpointLost, "", kwevent.F("endpoint", e.ID))
	}
}

// maxBatchBytes bounds the commands that one sync covers, up to the last one: what is written at once has to fit into a record of the
// log, and into memory several times over.
const maxBatchBytes = 16 << 20

// proposeBatch proposes first together with the queued proposals, so that one sync covers them (group commit).
func (l *Loop) proposeBatch(first proposal) {
	batch := []proposal{first}
	data := [][]byte{encodeCommand(first.command)}
	for size := len(data[0]); len(l.proposals) > 0 && size < maxBatchBytes; {
		p := <-l.proposals
		batch = append(batch, p)
		data = append(data, encodeCommand(p.command))
		size += len(data[len(data)-1])
	}
	index, err := l.raft.Propose(l.now(), data)
	if err != nil {
		notLeader := l.notLeader()
		for _, p := range batch {
			p.reply <- kwstatemachine.Reply{Err: notLeader}
		}
		return
	}
	term := l.raft.Status().Term
	for i, p := range batch {
		at := index + kwraft.Index(i)
		if replaced, ok := l.pending[at]; ok {
			replaced.reply <- kwstatemachine.Reply{Err: l.notLeader()}
		}
		l.pending[at] = pendingReply{term: term, reply: p.reply}
	}
}

// encodeCommand returns the log's encoding of a command; one that cannot be encoded becomes an entry without effect.
func encodeCommand(c kwstatemachine.Command) []byte {
	raw, err := kwcbor.Marshal(c)
	if err != nil {
		return nil
	}
	return raw
}

// processReady persists, sends and applies until Raft has nothing more to do. After a disk error, the member discards
// its state in memory and recovers from the files.
func (l *Loop) processReady() error {
	for {
		rd := l.raft.Ready()
		if rd.Empty() {
			if l.updateLeadership() {
				continue
			}
			break
		}
		l.send(rd.ImmediateMessages)
		if err := l.persist(rd); err != nil {
			return l.recoverDisk(err)
		}
		l.raft.Persisted(l.now())
		l.send(rd.Messages)
		l.apply(rd.Committed)
	}
	l.restoreRoster()
	l.compact()
	l.notifyWatchers()
	return nil
}

func (l *Loop) send(messages []kwraft.Message) {
	for _, m := range messages {
		l.cfg.Sender.Send(m)
	}
}

// persist writes what rd has to persist to disk before its messages may be sent.
func (l *Loop) persist(rd kwraft.Ready) error {
	if rd.Snapshot != nil {
		return l.installSnapshot(rd)
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	start := time.Now()
	err := l.disk.save(rd)
	l.metrics.persistTime.UpdateSince(start)
	l.metrics.entriesPerSync.Update(int64(len(rd.Entries)))
	return err
}

// installSnapshot replaces the state machine and all files with a snapshot from the leader.
func (l *Loop) installSnapshot(rd kwraft.Ready) error {
	if err := l.tables.State.Restore(rd.Snapshot.State); err != nil {
		return err
	}
	l.snapshotIndex = rd.Snapshot.Index
	l.appliedIndex = rd.Snapshot.Index
	return l.disk.rewrite(l.raft.PersistentState())
}

// failPending answers all pending proposals with an error.
func (l *Loop) failPending(cause *kwcode.Error) {
	for index, p := range l.pending {
		p.reply <- kwstatemachine.Reply{Err: cause}
		delete(l.pending, index)
	}
}

// updateLeadership handles a gain or a loss of leadership, and reports whether there was one. A new leader starts with empty membership
// tables, collects announcements for the gather period and advances the fencing token.
func (l *Loop) updateLeadership() (changed bool) {
	isLeader := l.raft.Status().Role == kwraft.Leader
	if isLeader == l.wasLeader {
		return false
	}
	l.wasLeader = isLeader
	if !isLeader {
		l.cfg.Events.Emit(kwevent.LeaderSteppedDown, "")
		l.failPending(l.notLeader())
		return true
	}
	now := l.now()
	l.cfg.Events.Emit(kwevent.LeaderElected, "", kwevent.F("term", uint64(l.raft.Status().Term)))
	l.tables.Membership = l.newMembershipTable()
	l.tables.Roster = kwmembership.NewRoster(l.cfg.Roster)
	l.rosterRestored = false
	l.tables.Epoch = uint64(l.raft.Status().Term)
	l.tables.GatherUntil = now.Add(l.cfg.Timing.GatherPeriod)
	l.fenceAdvanced = false
	l.proposeBatch(proposal{
		command: kwstatemachine.Command{TimeMillis: l.wallMillis(), AdvanceFencingToken: &kwstatemachine.AdvanceFencingToken{Node: l.cfg.Member}},
		reply:   make(chan kwstatemachine.Reply, 1),
	})
	return true
}

// restoreRoster fills the roster of a new leader with the endpoints that earlier leaders recorded, once an entry of its
// own term is applied. Before that, the state lacks entries that are committed already: after a restart of all members,
// it holds only what the last snapshot does. A leader has no lease before then, so nobody sees the empty roster.
func (l *Loop) restoreRoster() {
	if !l.wasLeader || l.rosterRestored || l.appliedTerm != l.raft.Status().Term {
		return
	}
	l.rosterRestored = true
	now := l.now()
	l.tables.Roster.RestoreLive(now, l.tables.State.LiveEndpoints())
	l.tables.Roster.RestoreDeparting(now, l.tables.State.DepartingEndpoints())
	l.tables.GatherUntil = now.Add(l.cfg.Timing.GatherPeriod)
}

func (l *Loop) wallMillis() int64 {
	return time.Now().UnixMilli()
}

// compact writes a snapshot once CompactEntries entries have been applied since the last one, or the log takes up CompactBytes: the disk
// holds the old snapshot, the log and the new snapshot at the same time.
func (l *Loop) compact() {
	applied := int(l.appliedIndex - l.snapshotIndex)
	if applied < l.cfg.CompactEntries && (applied == 0 || l.disk.wal.SegmentSize() < l.cfg.CompactBytes) || l.now().Before(l.nextCompaction) {
		return
	}
	state, err := l.tables.State.Snapshot()
	if err != nil {
		return
	}
	compacted, ok := l.raft.CompactedState(l.appliedIndex, state)
	if !ok {
		return
	}
	if err := l.disk.rewrite(compacted); err != nil {
		l.nextCompaction = l.now().Add(diskRetryInterval)
		l.cfg.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", err.Error()))
		return
	}
	l.raft.Compact(l.appliedIndex, state)
	l.snapshotIndex = l.appliedIndex
	l.cfg.Events.Emit(kwevent.SnapshotWritten, "", kwevent.F("index", uint64(l.appliedIndex)), kwevent.F("bytes", len(state)))
}

// notifyWatchers wakes the watchers when anything that a view contains has changed.
func (l *Loop) notifyWatchers() {
	members, revision := l.tables.Membership.Version(), l.tables.State.Revision()
	entries := l.tables.Membership.EntryCount()
	owners := l.tables.State.OwnerVersion()
	declaration, roster := l.tables.State.Declared().Number, l.tables.Roster.Version()
	unchanged := members == l.membersVersion && revision == l.revision && entries == l.entryCount && owners == l.ownerVersion
	if unchanged && declaration == l.declarationNumber && roster == l.rosterVersion {
		return
	}
	l.membersVersion, l.revision, l.entryCount, l.ownerVersion = members, revision, entries, owners
	l.declarationNumber, l.rosterVersion = declaration, roster
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the view next changes.
func (l *Loop) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// notLeader returns a NotLeader error that names the leader's node, if known.
func (l *Loop) notLeader() *kwcode.Error {
	leader := l.raft.Status().Leader
	return kwcode.New(kwcode.NotLeader, "the leader is %q", NodeOf(leader)).WithEndpoint(string(NodeOf(leader)))
}

// LastTick returns the time at which the loop last ran its controllers.
func (l *Loop) LastTick() time.Time {
	return time.Unix(0, l.lastTick.Load())
}
