package kwcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"knapweedproxy/core/kwboard"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwconfig"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlog"
	"knapweedproxy/core/kwmember"
	"knapweedproxy/core/kwstate"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwwal"
)

// Timing holds the spans of the control role.
type Timing struct {
	// EndpointLease is how long an endpoint stays live without a renewal.
	EndpointLease time.Duration
	// EntryLease must exceed the time that an entry serves with an unconfirmed view.
	EntryLease time.Duration
	// Gather is how long a new leader collects announcements before it publishes a view.
	Gather time.Duration
	// Patience is how long a claim may stay open before the agent is asked about it.
	Patience time.Duration
	// Tick is the period of the controllers.
	Tick time.Duration
}

// DefaultTiming returns the spans of a deployed control process.
func DefaultTiming() Timing {
	return Timing{
		EndpointLease: 4 * time.Second,
		EntryLease:    12 * time.Second,
		Gather:        2500 * time.Millisecond,
		Patience:      30 * time.Second,
		Tick:          20 * time.Millisecond,
	}
}

// Sender carries messages to other members; it must not block.
type Sender interface {
	Send(m kwlog.Message)
}

// LoopConfig holds what a Loop needs.
type LoopConfig struct {
	Member    kwid.NodeID
	Files     kwwal.Files
	Bootstrap bool
	Log       kwlog.Config
	State     kwstate.Config
	Timing    Timing
	Events    *kwevent.Emitter
	Sender    Sender
	// CompactEntries is how many applied entries are kept before a snapshot.
	CompactEntries int
}

// DefaultCompactEntries bounds the log between snapshots.
const DefaultCompactEntries = 10_000

const queueLength = 4096

// doubtPeriod is the time between two questions about rows whose outcome is unknown.
const doubtPeriod = 2 * time.Second

type proposal struct {
	command kwstate.Command
	reply   chan kwstate.Reply
}

type pending struct {
	term  kwlog.Term
	reply chan kwstate.Reply
}

type waiter struct {
	attempt kwid.Attempt
	reply   chan kwstate.Row
}

// Loop is the control goroutine with all that it owns.
type Loop struct {
	cfg         LoopConfig
	disk        *disk
	raft        *kwlog.Node
	board       *kwboard.Board
	controllers []kwboard.Controller
	pending     map[kwlog.Index]pending
	waiters     map[kwstate.Scope][]waiter
	led         bool
	booted      bool
	snapshotAt  kwlog.Index
	appliedAt   kwlog.Index
	anchor      time.Time
	proposals   chan proposal
	messages    chan kwlog.Message
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
	doubtful []kwstate.Row
	owners   uint64
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
		messages:  make(chan kwlog.Message, queueLength),
		calls:     make(chan func(), queueLength),
		metrics:   newLoopMetrics(),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
		changed:   make(chan struct{}),
	}
	l.controllers = []kwboard.Controller{
		kwboard.ExpireMembers{},
		kwboard.FindStale{Patience: cfg.Timing.Patience, Grace: cfg.Timing.EntryLease},
		&kwboard.FindDoubtful{Period: doubtPeriod},
	}
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
		from = kwlog.Bootstrap(kwlog.Members{Voters: []kwid.NodeID{l.cfg.Member}})
		if err := d.rewrite(from); err != nil {
			return err
		}
	}
	machine := kwstate.New(l.cfg.State)
	if len(from.Snapshot.State) > 0 {
		if err := machine.Restore(from.Snapshot.State); err != nil {
			return err
		}
	}
	now := l.now()
	l.disk = d
	l.raft = kwlog.New(l.cfg.Log, now, from)
	l.snapshotAt = from.Snapshot.Index
	l.appliedAt = from.Snapshot.Index
	l.pending = make(map[kwlog.Index]pending)
	l.waiters = make(map[kwstate.Scope][]waiter)
	l.board = &kwboard.Board{State: machine, Members: l.newMembers()}
	l.led = false
	l.cfg.Events.Emit(kwevent.StateRecovered, "",
		kwevent.F("entries", len(from.Entries)), kwevent.F("snapshot-index", uint64(from.Snapshot.Index)))
	return nil
}

func (l *Loop) newMembers() *kwmember.Table {
	return kwmember.New(kwmember.Config{Lease: l.cfg.Timing.EndpointLease, EntryLease: l.cfg.Timing.EntryLease})
}

// now returns a time that follows the monotonic clock, so that leases do not move with the wall clock.
func (l *Loop) now() time.Time {
	return l.anchor.Round(0).Add(time.Since(l.anchor))
}

// Run serves until Stop is called or the disk cannot be used.
func (l *Loop) Run() error {
	defer close(l.stopped)
	tick := time.NewTicker(l.cfg.Timing.Tick)
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
	l.board.Leading = l.raft.Leading(now)
	l.leaderKnown.Store(l.raft.Status().Leader != "")
	for _, c := range l.controllers {
		c.Run(now, l.board)
	}
	l.doubtful = append(l.doubtful, l.board.Doubtful...)
	for _, e := range l.board.Lost {
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
		raw, err := cbor.Marshal(batch[i].command)
		if err != nil {
			raw = nil
		}
		data = append(data, raw)
	}
	index, err := l.raft.Propose(l.now(), data)
	if err != nil {
		refused := l.notLeader()
		for _, p := range batch {
			p.reply <- kwstate.Reply{Err: refused}
		}
		return
	}
	term := l.raft.Status().Term
	for i, p := range batch {
		l.pending[index+kwlog.Index(i)] = pending{term: term, reply: p.reply}
	}
}

// settleWork persists, sends and applies until nothing is left; a failed disk drops the member's memory.
func (l *Loop) settleWork() error {
	for {
		rd := l.raft.Ready()
		if rd.Empty() {
			break
		}
		l.send(rd.Early)
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

func (l *Loop) send(messages []kwlog.Message) {
	for _, m := range messages {
		l.cfg.Sender.Send(m)
	}
}

func (l *Loop) persist(rd kwlog.Ready) error {
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
func (l *Loop) install(rd kwlog.Ready) error {
	if err := l.board.State.Restore(rd.Snapshot.State); err != nil {
		return err
	}
	l.snapshotAt = rd.Snapshot.Index
	l.appliedAt = rd.Snapshot.Index
	return l.disk.rewrite(l.raft.Disk())
}

// mendPause is the time between tries to use a failed disk again.
const mendPause = 500 * time.Millisecond

// mend refuses what is under way and starts again from the files, once they take a full rewrite.
func (l *Loop) mend(cause error) error {
	l.cfg.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", cause.Error()))
	l.failPending(kwcode.New(kwcode.DiskFailed, "%s", kwcode.Of(cause).Detail).After(mendPause))
	l.disk.close()
	for {
		err := l.reopen()
		if err == nil {
			return nil
		}
		if kwcode.Is(err, kwcode.LogDamaged) {
			return err
		}
		if l.refuseFor(mendPause, err) {
			return err
		}
	}
}

func (l *Loop) reopen() error {
	if err := l.open(); err != nil {
		return err
	}
	if err := l.disk.rewrite(l.raft.Disk()); err != nil {
		l.disk.close()
		return err
	}
	return nil
}

// refuseFor answers proposals with the disk's error for a while; true means that the loop must stop.
func (l *Loop) refuseFor(d time.Duration, cause error) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	refused := kwcode.New(kwcode.DiskFailed, "%s", kwcode.Of(cause).Detail).After(d)
	for {
		select {
		case <-l.stop:
			return true
		case <-timer.C:
			return false
		case p := <-l.proposals:
			p.reply <- kwstate.Reply{Err: refused}
		case f := <-l.calls:
			f()
		case <-l.messages:
		}
	}
}

func (l *Loop) failPending(cause *kwcode.Error) {
	for index, p := range l.pending {
		p.reply <- kwstate.Reply{Err: cause}
		delete(l.pending, index)
	}
}

func (l *Loop) apply(entries []kwlog.Entry) {
	l.metrics.applied.Mark(int64(len(entries)))
	for _, e := range entries {
		l.appliedAt = e.Index
		if e.Kind != kwlog.EntryData {
			continue
		}
		var command kwstate.Command
		reply := kwstate.Reply{}
		if err := cbor.Unmarshal(e.Data, &command); err != nil {
			reply.Err = kwcode.New(kwcode.FrameMalformed, "%v", err)
		} else {
			reply = l.board.State.Apply(command)
			l.applied(command, reply)
		}
		l.answer(e, reply)
	}
}

func (l *Loop) answer(e kwlog.Entry, reply kwstate.Reply) {
	p, ok := l.pending[e.Index]
	if !ok {
		return
	}
	delete(l.pending, e.Index)
	if p.term != e.Term {
		reply = kwstate.Reply{Err: l.notLeader()}
	}
	p.reply <- reply
}

// applied updates the membership and wakes the requests that wait for a journal row.
func (l *Loop) applied(c kwstate.Command, reply kwstate.Reply) {
	if c.Drain != nil {
		l.drained(c.Drain)
	}
	if c.Boot != nil && c.Boot.Node == l.cfg.Member {
		l.booted = true
	}
	if reply.Row != nil && reply.Row.State != kwstate.RowGranted {
		l.wake(*reply.Row)
	}
	if l.raft.Status().Role == kwlog.Leader {
		l.emit(c, reply)
	}
}

func (l *Loop) drained(d *kwstate.Drain) {
	state := kwmember.Live
	if d.On {
		state = kwmember.Leaving
	}
	e, ok := l.board.Members.Endpoint(d.Endpoint)
	if ok && (e.State == kwmember.Live || e.State == kwmember.Leaving) {
		l.board.Members.Mark(d.Endpoint, state)
	}
}

func (l *Loop) wake(row kwstate.Row) {
	for _, w := range l.waiters[row.Scope] {
		w.reply <- row
	}
	delete(l.waiters, row.Scope)
}

func (l *Loop) emit(c kwstate.Command, reply kwstate.Reply) {
	events := l.cfg.Events
	switch {
	case c.Claim != nil && reply.Granted:
		events.Emit(kwevent.ClaimGranted, c.Claim.Grant.Request,
			kwevent.F("key", c.Claim.Scope.Key), kwevent.F("attempt", reply.Row.Grant.Attempt))
	case c.Claim != nil:
		events.Emit(kwevent.ClaimAnswered, c.Claim.Grant.Request, kwevent.F("key", c.Claim.Scope.Key))
	case c.Apply != nil && reply.Err == nil:
		events.Emit(kwevent.RevisionAccepted, "", kwevent.F("revision", reply.Revision), kwevent.F("change", c.Apply.ChangeID))
	case c.Apply != nil:
		events.Emit(kwevent.RevisionRefused, "", kwevent.F("change", c.Apply.ChangeID), kwevent.F("error", reply.Err.Error()))
	case reply.Owner != nil:
		events.Emit(kwevent.WorkspaceMoved, "", kwevent.F("workspace", reply.Owner.Workspace), kwevent.F("to", c.Move.To), kwevent.F("done", reply.Owner.Next == ""))
	case c.Settle != nil && reply.Err == nil:
		events.Emit(kwevent.RowSettled, "", kwevent.F("key", c.Settle.Scope.Key), kwevent.F("verdict", c.Settle.Verdict))
	case reply.Row != nil:
		events.Emit(kwevent.OutcomeLogged, reply.Row.Grant.Request,
			kwevent.F("key", reply.Row.Scope.Key), kwevent.F("state", reply.Row.State))
	case c.Drain != nil:
		events.Emit(kwevent.EndpointLeaving, "", kwevent.F("endpoint", c.Drain.Endpoint), kwevent.F("on", c.Drain.On))
	}
}

// noteLeadership reacts to a gain or a loss of leadership.
func (l *Loop) noteLeadership() {
	leads := l.raft.Status().Role == kwlog.Leader
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
	l.board.Gather = now.Add(l.cfg.Timing.Gather)
	l.booted = false
	l.calls <- func() {
		l.propose(proposal{
			command: kwstate.Command{Time: l.millis(), Boot: &kwstate.Boot{Node: l.cfg.Member}},
			reply:   make(chan kwstate.Reply, 1),
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
	if err := l.disk.rewrite(l.raft.Disk()); err != nil {
		l.cfg.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", err.Error()))
		return
	}
	l.cfg.Events.Emit(kwevent.SnapshotWritten, "", kwevent.F("index", uint64(l.appliedAt)), kwevent.F("bytes", len(state)))
}

// publish wakes the watchers when an entry would see another view.
func (l *Loop) publish() {
	version, revision := l.board.Members.Version(), l.board.State.Revision()
	entries := len(l.board.Members.Entries())
	owners := l.board.State.OwnerVersion()
	if version == l.version && revision == l.revision && entries == l.entries && owners == l.owners {
		return
	}
	l.version, l.revision, l.entries, l.owners = version, revision, entries, owners
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
	return kwcode.New(kwcode.NotLeader, "the leader is %q", nodeOf(leader)).At(string(nodeOf(leader)))
}

// finish hands leadership on, then closes the files.
func (l *Loop) finish() error {
	if !l.dropped.Load() && l.raft.Transfer(l.now()) {
		l.handOver()
	}
	l.failPending(kwcode.New(kwcode.ControlStopping, "%s is shutting down", l.cfg.Member))
	l.disk.close()
	return nil
}

// handOver keeps serving the log until another member leads or the hand-over has failed.
func (l *Loop) handOver() {
	tick := time.NewTicker(l.cfg.Timing.Tick)
	defer tick.Stop()
	for l.raft.Status().Role == kwlog.Leader {
		select {
		case m := <-l.messages:
			l.raft.Step(l.now(), m)
		case p := <-l.proposals:
			p.reply <- kwstate.Reply{Err: l.notLeader()}
		case f := <-l.calls:
			f()
		case <-tick.C:
			l.raft.Tick(l.now())
		}
		if err := l.settleWork(); err != nil {
			return
		}
	}
}

// Stop begins a graceful shutdown and waits for its end.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.stopped
}

// Deliver takes a message from another member; a full queue drops it, and its sender will repeat it.
func (l *Loop) Deliver(m kwlog.Message) {
	select {
	case l.messages <- m:
	default:
	}
}

// Propose logs a command and returns its reply once a quorum has synced it.
func (l *Loop) Propose(ctx context.Context, c kwstate.Command) kwstate.Reply {
	c.Time = l.millis()
	p := proposal{command: c, reply: make(chan kwstate.Reply, 1)}
	select {
	case l.proposals <- p:
	case <-l.stopped:
		return kwstate.Reply{Err: kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)}
	case <-ctx.Done():
		return kwstate.Reply{Err: kwcode.New(kwcode.JournalUnavailable, "%v", ctx.Err())}
	}
	select {
	case r := <-p.reply:
		return r
	case <-l.stopped:
		return kwstate.Reply{Err: kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)}
	case <-ctx.Done():
		return kwstate.Reply{Err: kwcode.New(kwcode.JournalUnavailable, "%v", ctx.Err())}
	}
}

// Do runs f on the control goroutine and waits for it; false means that the loop has stopped.
func (l *Loop) Do(f func(now time.Time, b *kwboard.Board)) bool {
	done := make(chan struct{})
	call := func() {
		now := l.now()
		l.board.Leading = l.raft.Leading(now)
		f(now, l.board)
		close(done)
	}
	select {
	case l.calls <- call:
	case <-l.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

// Lead runs f on the control goroutine if this member leads and its lease stands.
func (l *Loop) Lead(f func(now time.Time, b *kwboard.Board)) error {
	err := kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)
	l.Do(func(now time.Time, b *kwboard.Board) {
		if !b.Leading {
			err = l.notLeader()
			return
		}
		err = nil
		f(now, b)
	})
	if err == nil {
		return nil
	}
	return err
}

// Log runs f with the replicated log on the control goroutine.
func (l *Loop) Log(f func(now time.Time, n *kwlog.Node)) bool {
	return l.Do(func(now time.Time, _ *kwboard.Board) { f(now, l.raft) })
}

// Await returns a journal row once its attempt is no longer open; false means that the context ended first.
func (l *Loop) Await(ctx context.Context, scope kwstate.Scope, attempt kwid.Attempt) (kwstate.Row, bool) {
	reply := make(chan kwstate.Row, 1)
	l.Do(func(_ time.Time, b *kwboard.Board) {
		row, ok := b.State.Row(scope)
		if ok && (row.State != kwstate.RowGranted || row.Grant.Attempt != attempt) {
			reply <- row
			return
		}
		l.waiters[scope] = append(l.waiters[scope], waiter{attempt: attempt, reply: reply})
	})
	select {
	case row := <-reply:
		return row, true
	case <-ctx.Done():
	case <-l.stopped:
	}
	l.Do(func(time.Time, *kwboard.Board) { l.forget(scope, reply) })
	return kwstate.Row{}, false
}

func (l *Loop) forget(scope kwstate.Scope, reply chan kwstate.Row) {
	var kept []waiter
	for _, w := range l.waiters[scope] {
		if w.reply != reply {
			kept = append(kept, w)
		}
	}
	if len(kept) == 0 {
		delete(l.waiters, scope)
		return
	}
	l.waiters[scope] = kept
}

// Alive returns when the loop last ran its controllers.
func (l *Loop) Alive() time.Time {
	return time.Unix(0, l.alive.Load())
}

// abandon stops the loop without a hand-over.
func (l *Loop) abandon() {
	l.dropped.Store(true)
	l.Stop()
}

// patchCache keeps the newest difference between two declarations, which nearly all watchers need.
type patchCache struct {
	from    *kwconfig.Fleet
	to      *kwconfig.Fleet
	patches []kwconfig.Patch
}

// patches runs on the control goroutine.
func (l *Loop) patches(from, to *kwconfig.Fleet) []kwconfig.Patch {
	if l.diff.from != from || l.diff.to != to {
		l.diff = patchCache{from: from, to: to, patches: kwconfig.Diff(from, to)}
	}
	return l.diff.patches
}
