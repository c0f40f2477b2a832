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

// Timeouts and intervals of a call that must run at most once.
const (
	// backgroundTimeout bounds a call in total, including the work that continues after its caller was answered.
	backgroundTimeout = 2 * time.Minute
	// rpcTimeout bounds one exchange with control or with an agent.
	rpcTimeout         = 1500 * time.Millisecond
	fenceRetryInterval = 100 * time.Millisecond
	pendingRetryAfter  = 2 * time.Second
	awaitPollTimeout   = time.Second
	moveRetryInterval  = 50 * time.Millisecond
	// releaseTimeout bounds the clean-up after a claim whose answer was lost.
	releaseTimeout = 30 * time.Second
)

// sendGate decides between the caller's deadline and the sending of the call: whichever comes first rules out the
// other.
type sendGate struct {
	mu        sync.Mutex
	sent      bool
	abandoned bool
}

// trySend reports whether the call may be sent; it may not once the caller was told that it did not run.
func (g *sendGate) trySend() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = !g.abandoned
	return g.sent
}

// markNotRun records that the attempt that was sent has provably not run.
func (g *sendGate) markNotRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = false
}

// tryAbandon reports whether no call has been sent; trySend then refuses from now on.
func (g *sendGate) tryAbandon() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.abandoned = !g.sent
	return g.abandoned
}

// errDeadlineBeforeSend answers a caller whose deadline passed before the call was sent.
var errDeadlineBeforeSend = kwcode.New(kwcode.JournalUnavailable, "the deadline passed before the call was sent to an agent").After(defaultRetryAfter)

type callResult struct {
	response kwstatemachine.Response
	replayed bool
	err      error
}

// callAtMostOnce makes a call at most once, by means of the journal. If the caller's deadline passes after the call was
// sent, the search for its outcome continues in the background.
func (sc *serviceCall) callAtMostOnce(ctx context.Context) (kwstatemachine.Response, error) {
	window := sc.deriveKey()
	done := make(chan callResult, 1)
	var gate sendGate
	sc.role.backgroundCalls.Go(func() {
		callCtx, cancel := context.WithTimeout(sc.role.background, backgroundTimeout)
		defer cancel()
		stopEarly := context.AfterFunc(ctx, func() {
			if gate.tryAbandon() {
				cancel()
			}
		})
		defer stopEarly()
		done <- sc.claimAndSend(callCtx, &gate, window)
	})
	select {
	case res := <-done:
		sc.replayed = res.replayed
		return res.response, res.err
	case <-ctx.Done():
	}
	if gate.tryAbandon() {
		return kwstatemachine.Response{}, errDeadlineBeforeSend
	}
	return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomePending, "resend with the same %s for the outcome", HeaderIdempotencyKey).After(pendingRetryAfter)
}

// deriveKey completes the scope of the call with a journal key and returns the repeat window that applies to it.
// Without a key from the caller, equal requests within the rule's repeat window get the same key.
func (sc *serviceCall) deriveKey() time.Duration {
	scope := &sc.message.Scope
	switch {
	case scope.Key != "":
		scope.Key = "caller-" + scope.Key
		return 0
	case sc.rule.RepeatWindow.Std() > 0:
		scope.Key = "repeat-" + sc.digest()
		return sc.rule.RepeatWindow.Std()
	}
	scope.Key = "single-" + uuid.NewString()
	return 0
}

// claimAndSend claims the key and sends the call, and tries again until the call has an outcome or no retry is left.
func (sc *serviceCall) claimAndSend(ctx context.Context, gate *sendGate, window time.Duration) callResult {
	for attempts := 1; ; attempts++ {
		endpoint, err := sc.pickEndpoint()
		if err != nil {
			return callResult{err: err}
		}
		reply, err := sc.claim(ctx, endpoint, window)
		if sc.followOwner(ctx, err) {
			attempts--
			continue
		}
		if err != nil {
			if kwcode.Describe(kwcode.FromError(err).Code).Outcome != kwcode.NotRun {
				sc.releaseClaim(endpoint, window)
			}
			return callResult{err: notRunError(err)}
		}
		if !reply.Granted {
			res, retry := sc.resolveDuplicate(ctx, *reply.Row)
			if retry && attempts < kwretry.MaxAttempts {
				continue
			}
			return res
		}
		res, retry := sc.sendGranted(ctx, gate, endpoint, *reply.Row)
		if !retry || attempts >= kwretry.MaxAttempts || !sc.role.budget.AllowRetry(attempts) {
			return res
		}
	}
}

// followOwner handles a claim that was refused because another site owns the workspace's writes: it switches to that
// site, or waits while the ownership is moving. It reports whether to claim again.
func (sc *serviceCall) followOwner(ctx context.Context, err error) bool {
	coded := kwcode.FromError(err)
	if coded == nil || ctx.Err() != nil {
		return false
	}
	switch coded.Code {
	case kwcode.WrongSite:
		moved := sc.ownerSite != kwid.Site(coded.Endpoint)
		sc.ownerSite = kwid.Site(coded.Endpoint)
		return moved
	case kwcode.WorkspaceMoving:
		sc.ownerSite = kwid.Site(coded.Endpoint)
		select {
		case <-ctx.Done():
		case <-time.After(moveRetryInterval):
		}
		return ctx.Err() == nil
	}
	return false
}

// releaseClaim fences a grant that control may have recorded although its answer was lost. This request won't use the
// grant, and a resend must not wait for it.
func (sc *serviceCall) releaseClaim(endpoint kwmembership.Endpoint, window time.Duration) {
	sc.role.backgroundCalls.Go(func() {
		ctx, cancel := context.WithTimeout(sc.role.background, releaseTimeout)
		defer cancel()
		reply, err := sc.claim(ctx, endpoint, window)
		if err == nil && reply.Granted {
			sc.recordFenced(*reply.Row)
		}
	})
}

// notRunError converts a failed claim to an error with the outcome "not run": the call has not been sent.
func notRunError(err error) error {
	coded := kwcode.FromError(err)
	if kwcode.Describe(coded.Code).Outcome == kwcode.NotRun {
		return coded
	}
	return kwcode.New(kwcode.JournalUnavailable, "%s", coded.Error()).After(defaultRetryAfter)
}

// claim asks control to grant the key to this request, for an attempt at the endpoint.
func (sc *serviceCall) claim(ctx context.Context, endpoint kwmembership.Endpoint, window time.Duration) (kwstatemachine.Reply, error) {
	claim := &kwstatemachine.Claim{
		Scope:        sc.message.Scope,
		Digest:       sc.digest(),
		WindowMillis: window.Milliseconds(),
		Call:         sc.message.Method + " " + sc.message.Path,
		Grant: kwstatemachine.Grant{
			Request:     sc.request,
			Entry:       sc.role.cfg.Node,
			Agent:       endpoint.Agent,
			Address:     endpoint.Address,
			Endpoint:    endpoint.ID,
			Incarnation: endpoint.Incarnation,
			Site:        endpoint.Site,
		},
	}
	var reply kwstatemachine.Reply
	err := sc.propose(ctx, kwstatemachine.Command{Claim: claim}, &reply)
	if err == nil && reply.Row == nil {
		err = kwcode.New(kwcode.JournalUnavailable, "control's answer holds no journal row")
	}
	return reply, err
}

// propose submits a command to control's replicated state machine.
func (sc *serviceCall) propose(ctx context.Context, command kwstatemachine.Command, reply *kwstatemachine.Reply) error {
	return sc.role.control.CallWithTimeout(ctx, rpcTimeout, kwagentproto.KindPropose, kwagentproto.Propose{Command: command}, reply)
}

// resolveDuplicate answers a request whose key is granted to another one: it returns the recorded outcome or waits for
// it. If retry is true, the other attempt has not run and the key can be claimed again.
func (sc *serviceCall) resolveDuplicate(ctx context.Context, row kwstatemachine.JournalRow) (res callResult, retry bool) {
	for {
		switch row.State {
		case kwstatemachine.RowDone:
			sc.role.deps.Events.Emit(kwevent.OutcomeReplayed, sc.request, kwevent.F("key", row.Scope.Key))
			return callResult{response: row.Response, replayed: true}, false
		case kwstatemachine.RowUnknown:
			return callResult{err: kwcode.New(kwcode.OutcomeUnknown, "key %q: %s; an operator must record the outcome", row.Scope.Key, row.Note)}, false
		case kwstatemachine.RowFenced:
			return callResult{err: kwcode.New(kwcode.AttemptFenced, "key %q", row.Scope.Key).After(defaultRetryAfter)}, true
		}
		next, err := sc.awaitRow(ctx, row)
		if err != nil {
			return callResult{err: kwcode.New(kwcode.OutcomePending, "key %q is in progress", row.Scope.Key).After(pendingRetryAfter)}, false
		}
		row = next
	}
}

// awaitRow polls control until the journal row is settled or the context ends.
func (sc *serviceCall) awaitRow(ctx context.Context, row kwstatemachine.JournalRow) (kwstatemachine.JournalRow, error) {
	for {
		var reply kwstatemachine.Reply
		req := kwagentproto.AwaitOutcome{Scope: row.Scope, Attempt: row.Grant.Attempt, Wait: awaitPollTimeout.Milliseconds()}
		err := sc.role.control.CallWithTimeout(ctx, awaitPollTimeout+rpcTimeout, kwagentproto.KindAwaitOutcome, req, &reply)
		if err == nil && reply.Row != nil {
			return *reply.Row, nil
		}
		if ctx.Err() != nil {
			return row, ctx.Err()
		}
		if !kwcode.Is(err, kwcode.OutcomePending) {
			return row, err
		}
	}
}

// sendGranted sends a call to the endpoint of its grant and records the outcome. If retry is true, the attempt has
// provably not run.
func (sc *serviceCall) sendGranted(ctx context.Context, gate *sendGate, endpoint kwmembership.Endpoint, row kwstatemachine.JournalRow) (res callResult, retry bool) {
	if endpoint.ID != row.Grant.Endpoint || endpoint.Incarnation != row.Grant.Incarnation {
		endpoint = endpointOf(row.Grant)
	}
	response, err := sc.send(ctx, endpoint, row.Grant.Attempt, gate)
	if err == nil {
		return sc.recordOutcome(ctx, row, response), false
	}
	sc.role.deps.Events.Emit(kwevent.AttemptFailed, sc.request, kwevent.F("endpoint", endpoint.ID), kwevent.F("error", err.Error()))
	command, known := sc.settleAttempt(ctx, row, err)
	if !known {
		return callResult{err: kwcode.New(kwcode.OutcomePending, "the agent does not answer; resend with the same %s", HeaderIdempotencyKey).After(pendingRetryAfter)}, false
	}
	return sc.recordSettlement(ctx, gate, row, command, err)
}

func endpointOf(grant kwstatemachine.Grant) kwmembership.Endpoint {
	return kwmembership.Endpoint{ID: grant.Endpoint, Agent: grant.Agent, Address: grant.Address, Incarnation: grant.Incarnation}
}

func fencedCommand(row kwstatemachine.JournalRow) kwstatemachine.Command {
	return kwstatemachine.Command{Fenced: &kwstatemachine.RecordFenced{Scope: row.Scope, Attempt: row.Grant.Attempt}}
}

// recordSettlement records the command that settles a failed attempt and returns the answer for the caller. The second
// result reports whether the attempt has provably not run, so that the call may be retried.
func (sc *serviceCall) recordSettlement(ctx context.Context, gate *sendGate, row kwstatemachine.JournalRow, command kwstatemachine.Command, cause error) (callResult, bool) {
	switch {
	case command.Outcome != nil:
		return sc.recordOutcome(ctx, row, command.Outcome.Response), false
	case command.Fenced != nil:
		gate.markNotRun()
		if !sc.recordFenced(row) {
			return callResult{err: notRunError(cause)}, false
		}
		sc.role.ejector.Fail(time.Now(), row.Grant.Endpoint)
		return callResult{err: notRunError(cause)}, true
	}
	sc.record(ctx, command)
	return callResult{err: kwcode.New(kwcode.OutcomeUnknown, "%v; an operator must record the outcome", cause)}, false
}

// settleAttempt returns the command that settles an attempt that was sent and failed; false means that the context
// ended before the outcome was known.
func (sc *serviceCall) settleAttempt(ctx context.Context, row kwstatemachine.JournalRow, cause error) (kwstatemachine.Command, bool) {
	if kwcode.Is(cause, kwcode.OutcomeUnknown) {
		return unknownCommand(row, cause), true
	}
	if kwcode.Describe(kwcode.FromError(cause).Code).Outcome == kwcode.NotRun {
		return fencedCommand(row), true
	}
	for ctx.Err() == nil {
		if command, ok := sc.fenceAtAgent(ctx, row); ok {
			return command, true
		}
		if sc.agentLost(row.Grant) {
			return unknownCommand(row, cause), true
		}
		select {
		case <-ctx.Done():
		case <-time.After(fenceRetryInterval):
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

// fenceAtAgent fences the attempt at its agent, or returns the outcome that the agent has.
func (sc *serviceCall) fenceAtAgent(ctx context.Context, row kwstatemachine.JournalRow) (kwstatemachine.Command, bool) {
	callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	var reply kwagentproto.FenceReply
	req := kwagentproto.Fence{
		Scope:       row.Scope,
		Attempt:     row.Grant.Attempt,
		Incarnation: row.Grant.Incarnation,
		AgeMillis:   time.Since(sc.startedAt).Milliseconds(),
	}
	if err := sc.role.transport.Call(callCtx, row.Grant.Address, row.Grant.Agent, kwagentproto.KindFence, req, &reply); err != nil {
		return kwstatemachine.Command{}, false
	}
	return kwcontrol.OutcomeCommand(row.Scope, row.Grant, reply)
}

// agentLost reports whether the entry's view rules out that the granted agent still runs in the same incarnation.
func (sc *serviceCall) agentLost(grant kwstatemachine.Grant) bool {
	endpoint, ok := sc.role.view.Load().endpoints[grant.Endpoint]
	return !ok || endpoint.State == kwmembership.Lost || endpoint.State == kwmembership.Gone || endpoint.Incarnation != grant.Incarnation
}

// record writes a command to the journal and reports whether it succeeded in time.
func (sc *serviceCall) record(ctx context.Context, command kwstatemachine.Command) bool {
	var reply kwstatemachine.Reply
	return sc.propose(ctx, command, &reply) == nil
}

// recordFenced records that an attempt has not run; it doesn't depend on the caller's context.
func (sc *serviceCall) recordFenced(row kwstatemachine.JournalRow) bool {
	ctx, cancel := context.WithTimeout(sc.role.background, releaseTimeout)
	defer cancel()
	return sc.record(ctx, fencedCommand(row))
}

// recordOutcome records the outcome; the caller gets the response only once the journal holds it.
func (sc *serviceCall) recordOutcome(ctx context.Context, row kwstatemachine.JournalRow, response kwstatemachine.Response) callResult {
	command := kwstatemachine.Command{Outcome: &kwstatemachine.RecordOutcome{Scope: row.Scope, Attempt: row.Grant.Attempt, Response: response}}
	if !sc.record(ctx, command) {
		return callResult{err: kwcode.New(kwcode.OutcomePending, "the outcome is not recorded yet").After(pendingRetryAfter)}
	}
	sc.role.deps.Events.Emit(kwevent.OutcomeRecorded, sc.request, kwevent.F("attempt", kwid.Attempt(row.Grant.Attempt)))
	return callResult{response: response}
}
