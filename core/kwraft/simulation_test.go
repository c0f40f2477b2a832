package kwraft_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
)

var (
	oneSeed   = flag.Uint64("seed", 0, "replay this schedule only")
	seedCount = flag.Int("seeds", 2000, "number of schedules")
)

const (
	scheduleSteps = 1500
	electionMin   = 100 * time.Millisecond
	heartbeat     = 20 * time.Millisecond
	drift         = 0.05
	maxDelay      = 30 * time.Millisecond
	keyCount      = 6
)

// TestSchedules runs seeded random schedules of messages, crashes, partitions, clock drift, disk loss and
// membership changes over the pure log and the control state.
func TestSchedules(t *testing.T) {
	total, all := runSchedules(t, newWorld)
	if !all {
		return
	}
	if total.Acked == 0 || total.Elections == 0 || total.Crashes == 0 || total.Torn == 0 || total.DiskLosses == 0 || total.Promotions == 0 || total.Snapshots == 0 {
		t.Errorf("got %+v, want every kind of event", total)
	}
}

// runSchedules runs the schedules of all seeds and counts what they covered, or replays the one that the flags name; all tells
// which.
func runSchedules(t *testing.T, build func(seed uint64) *world) (total tally, all bool) {
	t.Helper()
	if *oneSeed != 0 {
		if err := build(*oneSeed).run(); err != nil {
			t.Fatalf("seed %d: %v", *oneSeed, err)
		}
		return total, false
	}
	for seed := uint64(1); seed <= uint64(*seedCount); seed++ {
		w := build(seed)
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: %v (replay with -seed %d)", seed, err, seed)
		}
		total.add(w.tally)
	}
	t.Logf("%d schedules: %+v", *seedCount, total)
	return total, true
}

// tally counts what the schedules covered.
type tally struct {
	Acked, Elections, Crashes, Torn, DiskLosses, Promotions, Snapshots, Runs, Fences, Reads int
}

func (t *tally) add(o tally) {
	t.Acked += o.Acked
	t.Elections += o.Elections
	t.Crashes += o.Crashes
	t.Torn += o.Torn
	t.DiskLosses += o.DiskLosses
	t.Promotions += o.Promotions
	t.Snapshots += o.Snapshots
	t.Runs += o.Runs
	t.Fences += o.Fences
	t.Reads += o.Reads
}

// vm is one member with its disk; a nil node means that it is down.
type vm struct {
	id      kwid.NodeID
	place   int
	node    *kwraft.Node
	machine *kwstatemachine.Machine
	disk    kwraft.PersistentState
	rate    float64
	offset  time.Duration
	// founds is when a founder starts for the first time, 0 after that.
	founds  time.Duration
	applied kwraft.Index
	frozen  time.Duration
	pending map[kwraft.Index]*request
}

type envelope struct {
	at time.Duration
	m  kwraft.Message
}

// request is one client command; a claim that was granted may run its call once.
type request struct {
	command kwstatemachine.Command
	term    kwraft.Term
	done    bool
	called  int64
}

type attemptID struct {
	key     string
	attempt kwid.Attempt
}

// world is a schedule in progress.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	vms      []*vm
	net      []envelope
	cut      map[[2]int]bool
	leaders  map[kwraft.Term]kwid.NodeID
	log      map[kwraft.Index]string
	revision kwid.Revision
	winners  map[kwid.Revision]string
	ran      map[string]int
	arrived  map[attemptID]bool
	fenced   map[attemptID]bool
	grants   []kwstatemachine.JournalRow
	sent     []*request
	nextID   int
	calm     bool
	tickets  int64
	history  []porcupine.Operation
	delay    time.Duration
	pace     int
	tally    tally
	// steward keeps the members instead of the schedule if it is set.
	steward  *kwraft.Autopilot
	declared kwdeclaration.Number
}

func newWorld(seed uint64) *world {
	w := &world{
		delay:   maxDelay,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		cut:     make(map[[2]int]bool),
		leaders: make(map[kwraft.Term]kwid.NodeID),
		log:     make(map[kwraft.Index]string),
		winners: make(map[kwid.Revision]string),
		ran:     make(map[string]int),
		arrived: make(map[attemptID]bool),
		fenced:  make(map[attemptID]bool),
	}
	n := 3 + 2*w.rng.IntN(2)
	w.pace = 1 + 9*w.rng.IntN(2)
	var members kwraft.Members
	for i := range n {
		members.Voters = append(members.Voters, kwid.NodeID(fmt.Sprintf("n%d@0", i)))
	}
	for i := range n {
		v := &vm{id: members.Voters[i], place: i, disk: kwraft.Bootstrap(members)}
		v.rate = 1 + (w.rng.Float64()*2-1)*drift
		v.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
		w.vms = append(w.vms, v)
		w.start(v)
	}
	return w
}

// local is a member's own clock.
func (w *world) local(v *vm) time.Time {
	return time.Unix(1000, 0).Add(v.offset + time.Duration(float64(w.now)*v.rate))
}

func (w *world) start(v *vm) {
	cfg := kwraft.Config{ID: v.id, Seed: w.rng.Uint64(), MinElectionTimeout: electionMin, HeartbeatInterval: heartbeat, MaxClockDrift: drift, MaxBatchEntries: 8}
	v.machine = kwstatemachine.New(kwstatemachine.Config{MaxJournalRows: 1000, RetentionMillis: 1 << 40, MaxChangeIDs: 100})
	if len(v.disk.Snapshot.State) > 0 {
		if err := v.machine.Restore(v.disk.Snapshot.State); err != nil {
			panic(err)
		}
	}
	v.applied = v.disk.Snapshot.Index
	v.pending = make(map[kwraft.Index]*request)
	v.node = kwraft.New(cfg, w.local(v), cloneDisk(v.disk))
}

func cloneDisk(d kwraft.PersistentState) kwraft.PersistentState {
	d.Entries = slices.Clone(d.Entries)
	return d
}

// found starts the founders whose time has come.
func (w *world) found() {
	for _, v := range w.vms {
		if v.founds > 0 && w.now >= v.founds {
			v.founds = 0
			if v.node == nil {
				w.start(v)
			}
		}
	}
}

func (w *world) run() error {
	for range scheduleSteps {
		if err := w.step(); err != nil {
			return err
		}
	}
	return w.heal()
}

func (w *world) step() error {
	w.now += time.Duration(w.rng.Int64N(int64(8 * time.Millisecond)))
	if err := w.deliver(); err != nil {
		return err
	}
	if err := w.checkLeases(); err != nil {
		return err
	}
	w.found()
	for _, v := range w.vms {
		if v.node == nil || v.frozen > w.now {
			continue
		}
		v.node.Tick(w.local(v))
		if err := w.work(v); err != nil {
			return err
		}
	}
	w.disturb()
	if v := w.leader(); v != nil && v.frozen <= w.now && w.rng.IntN(8) == 0 {
		w.members(v, w.local(v))
		if err := w.work(v); err != nil {
			return err
		}
	}
	if w.rng.IntN(w.pace) > 0 {
		return w.checkLeases()
	}
	if err := w.client(); err != nil {
		return err
	}
	return w.checkLeases()
}

// disturb injects one fault now and then.
func (w *world) disturb() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(140) {
	case 0:
		w.crash(v)
	case 1, 2, 3:
		if v.node == nil {
			w.start(v)
		}
	case 4:
		for i := range w.vms {
			w.cut[[2]int{v.place, i}] = true
			w.cut[[2]int{i, v.place}] = true
		}
	case 5:
		w.cut[[2]int{v.place, w.rng.IntN(len(w.vms))}] = true
	case 6, 7, 8:
		w.cut = make(map[[2]int]bool)
	case 9:
		w.loseDisk(v)
	case 15:
		if w.steward != nil {
			w.replaceVM(v)
		}
	case 11, 12:
		v.frozen = w.now + time.Duration(w.rng.Int64N(int64(6*electionMin)))
	case 13, 14:
		w.isolateAndRestart(v)
	case 10:
		if v.node != nil && w.rng.IntN(4) == 0 {
			v.node.TransferLeadership(w.local(v))
		}
	}
}

// isolateAndRestart cuts a member off from the leader alone and restarts another, whose memory of the lease is gone.
func (w *world) isolateAndRestart(v *vm) {
	leader := w.leader()
	if leader == nil || leader == v {
		return
	}
	w.cut[[2]int{leader.place, v.place}] = true
	w.cut[[2]int{v.place, leader.place}] = w.rng.IntN(2) == 0
	o := w.vms[w.rng.IntN(len(w.vms))]
	if o != v && o != leader && o.node != nil {
		w.crash(o)
		w.start(o)
	}
}

func (w *world) crash(v *vm) {
	if v.node == nil {
		return
	}
	w.tally.Crashes++
	v.node = nil
}

// loseDisk replaces the VM's disk if every other voter holds its own; the VM comes back as a new member.
func (w *world) loseDisk(v *vm) {
	leader := w.leader()
	if leader == nil || leader == v {
		return
	}
	members := leader.node.Status().Members
	if !members.IsVoter(v.id) || !w.othersCurrent(leader, v, members) {
		return
	}
	w.tally.DiskLosses++
	v.node = nil
	w.nextID++
	v.id = kwid.NodeID(fmt.Sprintf("n%d@%d", v.place, w.nextID))
	v.disk = kwraft.PersistentState{}
	w.start(v)
}

// othersCurrent tells whether a quorum without v holds all that is committed, so that one disk may go.
func (w *world) othersCurrent(leader, v *vm, members kwraft.Members) bool {
	commit := leader.node.Status().CommitIndex
	holding := 0
	for _, o := range w.vms {
		if o != v && members.IsVoter(o.id) && diskLast(o.disk) >= commit {
			holding++
		}
	}
	return holding >= members.Quorum()
}

func diskLast(d kwraft.PersistentState) kwraft.Index {
	return d.Snapshot.Index + kwraft.Index(len(d.Entries))
}

func (w *world) leader() *vm {
	for _, v := range w.vms {
		if v.node != nil && v.node.HoldsLease(w.local(v)) {
			return v
		}
	}
	return nil
}

func (w *world) post(messages []kwraft.Message) {
	for _, m := range messages {
		copies := 1
		switch w.rng.IntN(30) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
		for range copies {
			w.net = append(w.net, envelope{at: w.now + time.Duration(w.rng.Int64N(int64(w.delay))), m: m})
		}
	}
}

func (w *world) find(id kwid.NodeID) *vm {
	for _, v := range w.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

func (w *world) deliver() error {
	var due []kwraft.Message
	w.net = slices.DeleteFunc(w.net, func(e envelope) bool {
		if e.at > w.now {
			return false
		}
		due = append(due, e.m)
		return true
	})
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		to, from := w.find(m.To), w.find(m.From)
		if to == nil || to.node == nil || to.frozen > w.now || from != nil && w.cut[[2]int{from.place, to.place}] {
			continue
		}
		to.node.Step(w.local(to), m)
		if err := w.work(to); err != nil {
			return err
		}
	}
	return nil
}

// work does what a Ready asks, with a crash between any two of its parts now and then.
func (w *world) work(v *vm) error {
	for v.node != nil {
		rd := v.node.Ready()
		if rd.Empty() {
			return w.noteLeader(v)
		}
		w.post(rd.ImmediateMessages)
		if !w.calm && w.losesPower(rd) {
			w.tear(v, rd)
			w.crash(v)
			return nil
		}
		w.persist(v, rd)
		if !w.calm && w.rng.IntN(400) == 0 {
			w.crash(v)
			return nil
		}
		v.node.Persisted(w.local(v))
		w.post(rd.Messages)
		if err := w.apply(v, rd.Committed); err != nil {
			return err
		}
	}
	return nil
}

// recordsOf counts what a Ready writes to the log file.
func recordsOf(rd kwraft.Ready) int {
	if rd.HardState != nil {
		return len(rd.Entries) + 1
	}
	return len(rd.Entries)
}

// losesPower tells whether a member crashes in a write, more often in one of several records, which can be torn.
func (w *world) losesPower(rd kwraft.Ready) bool {
	if recordsOf(rd) > 1 {
		return w.rng.IntN(20) == 0
	}
	return w.rng.IntN(400) == 0
}

// tear loses power in the middle of a write: a part of the records from the first on reaches the disk, and what follows is
// torn or missing, which kwwal cuts off when it reads the file. A snapshot is a file of its own that is there or not.
func (w *world) tear(v *vm, rd kwraft.Ready) {
	records := recordsOf(rd)
	if rd.Snapshot != nil || records == 0 {
		return
	}
	kept := w.rng.IntN(records + 1)
	if kept == 0 {
		return
	}
	if kept < records {
		w.tally.Torn++
	}
	if rd.HardState != nil {
		kept--
	}
	rd.Entries = rd.Entries[:kept]
	w.persist(v, rd)
}

func (w *world) persist(v *vm, rd kwraft.Ready) {
	if rd.Snapshot != nil {
		w.tally.Snapshots++
		v.disk = cloneDisk(v.node.PersistentState())
		v.applied = rd.Snapshot.Index
		if err := v.machine.Restore(rd.Snapshot.State); err != nil {
			panic(err)
		}
		return
	}
	if rd.HardState != nil {
		v.disk.HardState = *rd.HardState
	}
	for _, e := range rd.Entries {
		at := int(e.Index - v.disk.Snapshot.Index - 1)
		if at < 0 {
			continue
		}
		v.disk.Entries = append(slices.Clone(v.disk.Entries[:at]), e)
	}
}

func (w *world) noteLeader(v *vm) error {
	st := v.node.Status()
	if st.Role != kwraft.Leader {
		return nil
	}
	known, ok := w.leaders[st.Term]
	if ok && known != v.id {
		return fmt.Errorf("term %d has leaders %s and %s", st.Term, known, v.id)
	}
	if !ok {
		w.tally.Elections++
		w.leaders[st.Term] = v.id
	}
	return nil
}

// apply checks that every member applies the same entry at an index and answers the clients.
func (w *world) apply(v *vm, entries []kwraft.Entry) error {
	for _, e := range entries {
		if e.Index != v.applied+1 {
			return fmt.Errorf("%s applied %d after %d", v.id, e.Index, v.applied)
		}
		v.applied = e.Index
		print := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
		if known, ok := w.log[e.Index]; ok && known != print {
			return fmt.Errorf("%s applied %s at %d, others %s", v.id, print, e.Index, known)
		}
		w.log[e.Index] = print
		if e.Kind != kwraft.EntryData {
			continue
		}
		var c kwstatemachine.Command
		if err := cbor.Unmarshal(e.Data, &c); err != nil {
			return err
		}
		reply := v.machine.Apply(c)
		r, ok := v.pending[e.Index]
		delete(v.pending, e.Index)
		if !ok || r.term != e.Term || r.done {
			continue
		}
		r.done = true
		w.recordApply(c, r.called, reply, true)
		if err := w.acked(c, reply); err != nil {
			return err
		}
	}
	if v.node != nil && v.applied > v.disk.Snapshot.Index+40 && w.rng.IntN(10) == 0 {
		w.compact(v)
	}
	return nil
}

func (w *world) compact(v *vm) {
	state, err := v.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	v.node.Compact(v.applied, state)
	v.disk = cloneDisk(v.node.PersistentState())
}

// acked takes what a client was told.
func (w *world) acked(c kwstatemachine.Command, reply kwstatemachine.Reply) error {
	w.tally.Acked++
	switch {
	case c.ApplyConfig != nil && reply.Err == nil:
		if won, ok := w.winners[reply.Revision]; ok && won != c.ApplyConfig.ChangeID {
			return fmt.Errorf("revision %d went to %s and %s", reply.Revision, won, c.ApplyConfig.ChangeID)
		}
		w.winners[reply.Revision] = c.ApplyConfig.ChangeID
		w.revision = max(w.revision, reply.Revision)
	case c.Declare != nil:
		w.declared = max(w.declared, c.Declare.Number)
	case c.Claim != nil && reply.Granted:
		w.grants = append(w.grants, *reply.Row)
	}
	return nil
}

// client sends a command to a member that believes it leads, or acts on a grant or a fence.
func (w *world) client() error {
	if len(w.grants) > 0 && w.rng.IntN(3) == 0 {
		return w.useGrant()
	}
	v := w.vms[w.rng.IntN(len(w.vms))]
	if v.node == nil || v.frozen > w.now {
		return nil
	}
	now := w.local(v)
	if err := w.read(v, now); err != nil {
		return err
	}
	w.propose(v, now, w.command())
	return w.work(v)
}

func (w *world) propose(v *vm, now time.Time, c kwstatemachine.Command) {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(err)
	}
	index, err := v.node.Propose(now, [][]byte{data})
	if err == nil {
		r := &request{command: c, term: v.node.Status().Term, called: w.ticket()}
		v.pending[index] = r
		w.sent = append(w.sent, r)
	}
}

func (w *world) scope() kwstatemachine.Scope {
	return kwstatemachine.Scope{Workspace: "w", Service: "s", Key: fmt.Sprintf("k%d", w.rng.IntN(keyCount))}
}

func (w *world) command() kwstatemachine.Command {
	w.nextID++
	id := fmt.Sprintf("c%d", w.nextID)
	if w.steward != nil && w.rng.IntN(2) == 0 {
		return w.declare()
	}
	if w.rng.IntN(4) == 0 {
		edited := w.revision
		if edited > 0 && w.rng.IntN(3) == 0 {
			edited--
		}
		return kwstatemachine.Command{ApplyConfig: &kwstatemachine.ApplyConfig{ChangeID: id, BaseRevision: edited, Digest: id, Source: tinySource()}}
	}
	return kwstatemachine.Command{Claim: &kwstatemachine.Claim{Scope: w.scope(), Digest: "d", Grant: kwstatemachine.Grant{Request: kwid.RequestID(id)}}}
}

// useGrant plays the entry and the agent of a granted call: it runs, or is fenced, or both race.
func (w *world) useGrant() error {
	at := w.rng.IntN(len(w.grants))
	row := w.grants[at]
	id := attemptID{row.Scope.Key, row.Grant.Attempt}
	v := w.leader()
	if v != nil && v.frozen > w.now {
		v = nil
	}
	switch w.rng.IntN(4) {
	case 0:
		if !w.fenced[id] && !w.arrived[id] {
			w.arrived[id] = true
			w.ran[row.Scope.Key]++
			w.tally.Runs++
			if w.ran[row.Scope.Key] > 1 {
				return fmt.Errorf("key %s ran %d times", row.Scope.Key, w.ran[row.Scope.Key])
			}
		}
	case 1:
		if !w.arrived[id] {
			w.fenced[id] = true
			w.tally.Fences++
		}
	case 2:
		if v != nil && w.arrived[id] {
			o := &kwstatemachine.RecordOutcome{Scope: row.Scope, Attempt: row.Grant.Attempt, Response: kwstatemachine.Response{Status: 200}}
			w.propose(v, w.local(v), kwstatemachine.Command{Outcome: o})
			return w.work(v)
		}
	case 3:
		if v != nil && w.fenced[id] {
			w.propose(v, w.local(v), kwstatemachine.Command{Fenced: &kwstatemachine.RecordFenced{Scope: row.Scope, Attempt: row.Grant.Attempt}})
			w.grants = slices.Delete(w.grants, at, at+1)
			return w.work(v)
		}
	}
	return nil
}

// members takes joiners in, promotes learners and removes members whose disk is gone, one change at a time.
func (w *world) members(v *vm, now time.Time) {
	st := v.node.Status()
	if st.Role != kwraft.Leader {
		return
	}
	if w.steward != nil {
		w.tend(v, now, st.Members)
		return
	}
	for _, id := range slices.Concat(st.Members.Voters, st.Members.Learners) {
		if w.find(id) == nil {
			_, _ = v.node.ChangeMembers(now, kwraft.MembershipChange{Remove: id})
			return
		}
	}
	for _, o := range w.vms {
		if !st.Members.IsVoter(o.id) && !st.Members.IsLearner(o.id) {
			_, _ = v.node.ChangeMembers(now, kwraft.MembershipChange{AddLearner: o.id})
			return
		}
	}
	if len(st.Members.Learners) == 0 {
		return
	}
	if _, err := v.node.ChangeMembers(now, kwraft.MembershipChange{Promote: st.Members.Learners[0]}); err == nil {
		w.tally.Promotions++
	}
}

// read checks that a member whose lease stands knows every acknowledged revision.
func (w *world) read(v *vm, now time.Time) error {
	if !v.node.HoldsLease(now) {
		return nil
	}
	w.tally.Reads++
	w.recordRead(v.machine.Revision())
	if v.machine.Revision() < w.revision {
		return fmt.Errorf("%s reads revision %d under its lease, %d is acknowledged", v.id, v.machine.Revision(), w.revision)
	}
	if got := v.machine.Declared().Number; got < w.declared {
		return fmt.Errorf("%s reads declaration %d under its lease, %d is acknowledged", v.id, got, w.declared)
	}
	return nil
}

// checkLeases requires that at most one member holds a lease at any moment.
func (w *world) checkLeases() error {
	var holder *vm
	for _, v := range w.vms {
		if v.node == nil || !v.node.HoldsLease(w.local(v)) {
			continue
		}
		if holder != nil {
			return fmt.Errorf("%s and %s both hold a lease", holder.id, v.id)
		}
		holder = v
	}
	return nil
}

var errStuck = errors.New("no leader after the faults ended")

// heal ends all faults and requires that a leader comes up that holds all that was acknowledged.
func (w *world) heal() error {
	w.calm = true
	for _, v := range w.vms {
		v.frozen = 0
	}
	w.cut = make(map[[2]int]bool)
	for _, v := range w.vms {
		if v.node == nil {
			w.start(v)
		}
	}
	for range 2000 {
		w.now += 4 * time.Millisecond
		if err := w.deliver(); err != nil {
			return err
		}
		for _, v := range w.vms {
			v.node.Tick(w.local(v))
			if err := w.work(v); err != nil {
				return err
			}
		}
		if v := w.leader(); v != nil && w.complete(v) {
			return w.read(v, w.local(v))
		}
	}
	return errStuck
}

// complete tells whether a member has applied every index that any member has applied.
func (w *world) complete(v *vm) bool {
	return int(v.applied) >= len(w.log)
}

func tinySource() (src kwsiteconfig.Source) {
	src.Base.Name = "base"
	src.Base.Text = "format = \"knapweedproxy-fleet-1\"\nname = \"f\"\n"
	src.Overlays = append(src.Overlays, src.Base)
	src.Overlays[0].Name = "site"
	src.Overlays[0].Text = "format = \"knapweedproxy-fleet-1\"\nsite = \"s\"\n[[availability-zones]]\nname = \"z\"\n"
	return src
}
