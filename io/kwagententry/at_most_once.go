package kwagententry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
)

// Spans of a call that must run at most once.
const (
	// lingerTime is how long the outcome is pursued after the caller was answered.
	lingerTime  = 2 * time.Minute
	claimTime   = 1500 * time.Millisecond
	fencePause  = 100 * time.Millisecond
	pendingWait = 2 * time.Second
	awaitSlice  = time.Second
	movePause   = 50 * time.Millisecond
	// releaseTime bounds the clean-up after a claim whose answer was lost.
	releaseTime = 30 * time.Second
)

// handOver decides between the caller's deadline and the sending of the call: only one of them happens first.
type handOver struct {
	mu     sync.Mutex
	sent   bool
	gaveUp bool
}

// send allows the call to leave, unless the caller was told that it did not run.
func (h *handOver) send() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = !h.gaveUp
	return h.sent
}

// fenced notes that the call that left has provably not run.
func (h *handOver) fenced() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = false
}

// giveUp returns true if the call has not left; it then never will.
func (h *handOver) giveUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gaveUp = !h.sent
	return h.gaveUp
}

// errGaveUp is the answer when the deadline passes before the call has left.
var errGaveUp = kwcode.New(kwcode.JournalUnavailable, "the deadline passed before the call was handed on").After(retryLater)

type result struct {
	response kwstatemachine.Response
	replayed bool
	err      error
}

// once makes a call at most once by way of the journal; the outcome is pursued after the caller's deadline.
func (q *call) once(ctx context.Context) (kwstatemachine.Response, error) {
	window := q.key()
	done := make(chan result, 1)
	var over handOver
	q.role.inFlight.Add(1)
	go func() {
		defer q.role.inFlight.Done()
		linger, cancel := context.WithTimeout(q.role.life, lingerTime)
		defer cancel()
		stopEarly := context.AfterFunc(ctx, func() {
			if over.giveUp() {
				cancel()
			}
		})
		defer stopEarly()
		done <- q.pursue(linger, &over, window)
	}()
	select {
	case got := <-done:
		q.replayed = got.replayed
		return got.response, got.err
	case <-ctx.Done():
	}
	if over.giveUp() {
		return kwstatemachine.Response{}, errGaveUp
	}
	return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomePending, "resend with the same %s for the outcome", HeaderKey).After(pendingWait)
}

// key completes the scope of a call without a key: a repeat within the rule's window gets the same key.
func (q *call) key() time.Duration {
	scope := &q.message.Scope
	switch {
	case scope.Key != "":
		scope.Key = "caller-" + scope.Key
		return 0
	case q.rule.RepeatWindow.Std() > 0:
		scope.Key = "repeat-" + q.digest()
		return q.rule.RepeatWindow.Std()
	}
	scope.Key = "single-" + uuid.NewString()
	return 0
}

// pursue claims, sends and records until the call has an outcome.
func (q *call) pursue(ctx context.Context, over *handOver, window time.Duration) result {
	for tries := 1; ; tries++ {
		e, err := q.pick()
		if err != nil {
			return result{err: err}
		}
		reply, err := q.claim(ctx, e, window)
		if q.elsewhere(ctx, err) {
			tries--
			continue
		}
		if err != nil {
			if kwcode.Describe(kwcode.FromError(err).Code).Outcome != kwcode.NotRun {
				q.release(e, window)
			}
			return result{err: notSent(err)}
		}
		if !reply.Granted {
			got, again := q.other(ctx, *reply.Row)
			if again && tries < kwretry.MaxAttempts {
				continue
			}
			return got
		}
		got, again := q.run(ctx, over, e, *reply.Row)
		if !again || tries >= kwretry.MaxAttempts || !q.role.budget.AllowRetry(tries) {
			return got
		}
	}
}

// elsewhere follows the ownership of the workspace's writes: it names the owner's site, or waits for a hand-over.
func (q *call) elsewhere(ctx context.Context, err error) bool {
	coded := kwcode.FromError(err)
	if coded == nil || ctx.Err() != nil {
		return false
	}
	switch coded.Code {
	case kwcode.WrongSite:
		moved := q.site != kwid.Site(coded.Endpoint)
		q.site = kwid.Site(coded.Endpoint)
		return moved
	case kwcode.WorkspaceMoving:
		q.site = kwid.Site(coded.Endpoint)
		select {
		case <-ctx.Done():
		case <-time.After(movePause):
		}
		return ctx.Err() == nil
	}
	return false
}

// release fences a grant that control may have logged although its answer was lost: this request will not use it, and
// a resend must not wait for it.
func (q *call) release(e kwmembership.Endpoint, window time.Duration) {
	q.role.inFlight.Add(1)
	go func() {
		defer q.role.inFlight.Done()
		ctx, cancel := context.WithTimeout(q.role.life, releaseTime)
		defer cancel()
		reply, err := q.claim(ctx, e, window)
		if err == nil && reply.Granted {
			q.recordFenced(*reply.Row)
		}
	}()
}

// notSent makes an error of a claim say truthfully that the call has not left.
func notSent(err error) error {
	coded := kwcode.FromError(err)
	if kwcode.Describe(coded.Code).Outcome == kwcode.NotRun {
		return coded
	}
	return kwcode.New(kwcode.JournalUnavailable, "%s", coded.Error()).After(retryLater)
}

func (q *call) claim(ctx context.Context, e kwmembership.Endpoint, window time.Duration) (kwstatemachine.Reply, error) {
	claim := &kwstatemachine.Claim{
		Scope:        q.message.Scope,
		Digest:       q.digest(),
		WindowMillis: window.Milliseconds(),
		Call:         q.message.Method + " " + q.message.Path,
		Grant: kwstatemachine.Grant{
			Request:     q.request,
			Entry:       q.role.cfg.Node,
			Agent:       e.Agent,
			Address:     e.Address,
			Endpoint:    e.ID,
			Incarnation: e.Incarnation,
			Site:        e.Site,
		},
	}
	var out kwstatemachine.Reply
	err := q.propose(ctx, kwstatemachine.Command{Claim: claim}, &out)
	if err == nil && out.Row == nil {
		err = kwcode.New(kwcode.JournalUnavailable, "control answered without a row")
	}
	return out, err
}

func (q *call) propose(ctx context.Context, c kwstatemachine.Command, out *kwstatemachine.Reply) error {
	return q.role.control.CallWithTimeout(ctx, claimTime, kwagentproto.KindPropose, kwagentproto.Propose{Command: c}, out)
}

// other answers for a key that is not granted to this request: its outcome, or a wait for it.
func (q *call) other(ctx context.Context, row kwstatemachine.JournalRow) (got result, again bool) {
	for {
		switch row.State {
		case kwstatemachine.RowDone:
			q.role.deps.Events.Emit(kwevent.OutcomeReplayed, q.request, kwevent.F("key", row.Scope.Key))
			return result{response: row.Response, replayed: true}, false
		case kwstatemachine.RowUnknown:
			return result{err: kwcode.New(kwcode.OutcomeUnknown, "key %q: %s; an operator must settle it", row.Scope.Key, row.Note)}, false
		case kwstatemachine.RowFenced:
			return result{err: kwcode.New(kwcode.AttemptFenced, "key %q", row.Scope.Key).After(retryLater)}, true
		}
		next, err := q.await(ctx, row)
		if err != nil {
			return result{err: kwcode.New(kwcode.OutcomePending, "key %q is in progress", row.Scope.Key).After(pendingWait)}, false
		}
		row = next
	}
}

// await asks control for the end of an open row until the context ends.
func (q *call) await(ctx context.Context, row kwstatemachine.JournalRow) (kwstatemachine.JournalRow, error) {
	for {
		var out kwstatemachine.Reply
		req := kwagentproto.AwaitOutcome{Scope: row.Scope, Attempt: row.Grant.Attempt, Wait: awaitSlice.Milliseconds()}
		err := q.role.control.CallWithTimeout(ctx, awaitSlice+claimTime, kwagentproto.KindAwaitOutcome, req, &out)
		if err == nil && out.Row != nil {
			return *out.Row, nil
		}
		if ctx.Err() != nil {
			return row, ctx.Err()
		}
		if !kwcode.Is(err, kwcode.OutcomePending) {
			return row, err
		}
	}
}

// run sends a granted call and records how it ended; again means that it provably has not run.
func (q *call) run(ctx context.Context, over *handOver, e kwmembership.Endpoint, row kwstatemachine.JournalRow) (got result, again bool) {
	if e.ID != row.Grant.Endpoint || e.Incarnation != row.Grant.Incarnation {
		e = endpointOf(row.Grant)
	}
	response, err := q.send(ctx, e, row.Grant.Attempt, over)
	if err == nil {
		return q.recordOutcome(ctx, row, response), false
	}
	q.role.deps.Events.Emit(kwevent.AttemptFailed, q.request, kwevent.F("endpoint", e.ID), kwevent.F("error", err.Error()))
	command, known := q.settle(ctx, row, err)
	if !known {
		return result{err: kwcode.New(kwcode.OutcomePending, "the agent does not answer; resend with the same %s", HeaderKey).After(pendingWait)}, false
	}
	return q.conclude(ctx, over, row, command, err)
}

func endpointOf(g kwstatemachine.Grant) kwmembership.Endpoint {
	return kwmembership.Endpoint{ID: g.Endpoint, Agent: g.Agent, Address: g.Address, Incarnation: g.Incarnation}
}

func fencedCommand(row kwstatemachine.JournalRow) kwstatemachine.Command {
	return kwstatemachine.Command{Fenced: &kwstatemachine.RecordFenced{Scope: row.Scope, Attempt: row.Grant.Attempt}}
}

// conclude records the command that settles an attempt and answers for it.
func (q *call) conclude(ctx context.Context, over *handOver, row kwstatemachine.JournalRow, command kwstatemachine.Command, cause error) (result, bool) {
	switch {
	case command.Outcome != nil:
		return q.recordOutcome(ctx, row, command.Outcome.Response), false
	case command.Fenced != nil:
		over.fenced()
		if !q.recordFenced(row) {
			return result{err: notSent(cause)}, false
		}
		q.role.ejector.Fail(time.Now(), row.Grant.Endpoint)
		return result{err: notSent(cause)}, true
	}
	q.record(ctx, command)
	return result{err: kwcode.New(kwcode.OutcomeUnknown, "%v; an operator must settle it", cause)}, false
}

// settle finds out what became of a call that was handed on and failed.
func (q *call) settle(ctx context.Context, row kwstatemachine.JournalRow, cause error) (kwstatemachine.Command, bool) {
	if kwcode.Is(cause, kwcode.OutcomeUnknown) {
		return unknownCommand(row, cause), true
	}
	if kwcode.Describe(kwcode.FromError(cause).Code).Outcome == kwcode.NotRun {
		return fencedCommand(row), true
	}
	for ctx.Err() == nil {
		if command, ok := q.ask(ctx, row); ok {
			return command, true
		}
		if q.lost(row.Grant) {
			return unknownCommand(row, cause), true
		}
		select {
		case <-ctx.Done():
		case <-time.After(fencePause):
		}
	}
	return kwstatemachine.Command{}, false
}

func unknownCommand(row kwstatemachine.JournalRow, cause error) kwstatemachine.Command {
	return kwstatemachine.Command{Unknown: &kwstatemachine.RecordUnknown{
		Scope:   row.Scope,
		Attempt: row.Grant.Attempt,
		Reason:  kwcode.FromError(cause).Error(),
	}}
}

// ask fences the attempt at its agent, or learns its outcome.
func (q *call) ask(ctx context.Context, row kwstatemachine.JournalRow) (kwstatemachine.Command, bool) {
	ask, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	var out kwagentproto.FenceReply
	req := kwagentproto.Fence{
		Scope:       row.Scope,
		Attempt:     row.Grant.Attempt,
		Incarnation: row.Grant.Incarnation,
		AgeMillis:   time.Since(q.began).Milliseconds(),
	}
	if err := q.role.wire.Call(ask, row.Grant.Address, row.Grant.Agent, kwagentproto.KindFence, req, &out); err != nil {
		return kwstatemachine.Command{}, false
	}
	return kwcontrol.OutcomeCommand(row.Scope, row.Grant, out)
}

// lost tells whether the granted agent's endpoint is gone for good by the entry's view.
func (q *call) lost(g kwstatemachine.Grant) bool {
	e, ok := q.role.view.Load().endpoints[g.Endpoint]
	return !ok || e.State == kwmembership.Lost || e.State == kwmembership.Gone || e.Incarnation != g.Incarnation
}

// record logs a command; false means that the journal could not be reached in time.
func (q *call) record(ctx context.Context, c kwstatemachine.Command) bool {
	var out kwstatemachine.Reply
	return q.propose(ctx, c, &out) == nil
}

// recordFenced logs that an attempt has not run, also when the caller is gone already.
func (q *call) recordFenced(row kwstatemachine.JournalRow) bool {
	ctx, cancel := context.WithTimeout(q.role.life, releaseTime)
	defer cancel()
	return q.record(ctx, fencedCommand(row))
}

// recordOutcome answers the caller only after the outcome is in the journal.
func (q *call) recordOutcome(ctx context.Context, row kwstatemachine.JournalRow, response kwstatemachine.Response) result {
	command := kwstatemachine.Command{Outcome: &kwstatemachine.RecordOutcome{Scope: row.Scope, Attempt: row.Grant.Attempt, Response: response}}
	if !q.record(ctx, command) {
		return result{err: kwcode.New(kwcode.OutcomePending, "the outcome could not be recorded yet").After(pendingWait)}
	}
	q.role.deps.Events.Emit(kwevent.OutcomeRecorded, q.request, kwevent.F("attempt", kwid.Attempt(row.Grant.Attempt)))
	return result{response: response}
}
