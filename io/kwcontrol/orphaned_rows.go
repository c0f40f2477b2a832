package kwcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcalltable"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
)

// settlePeriod is the interval between two passes over the orphaned rows; settleTimeout bounds the call for one row.
const (
	settlePeriod  = 250 * time.Millisecond
	settleTimeout = 2 * time.Second
)

// StateRestarted is an agent's answer about an attempt that was granted to an earlier incarnation of its endpoint.
const StateRestarted = "restarted"

// settleOrphanedRows settles journal rows that stay open without an entry to end them, or whose outcome is unknown, by
// asking the agent that was granted the attempt.
func (r *Role) settleOrphanedRows(ctx context.Context) error {
	tick := time.NewTicker(settlePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var stale, unknown []kwstatemachine.JournalRow
		r.loop.Do(func(_ time.Time, t *kwreconcile.Tables) {
			stale = append(stale, t.StaleClaims...)
			unknown, r.loop.unknownOutcomes = r.loop.unknownOutcomes, nil
		})
		for _, row := range append(stale, unknown...) {
			r.settleRow(ctx, row)
		}
	}
}

// settleRow asks the agent about one row and proposes the command that records the answer. It proposes nothing if the
// outcome is still unknown and the row already says so.
func (r *Role) settleRow(ctx context.Context, row kwstatemachine.JournalRow) {
	callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var answer kwagentproto.FenceReply
	req := kwagentproto.Fence{
		Scope:       row.Scope,
		Attempt:     row.Grant.Attempt,
		Incarnation: row.Grant.Incarnation,
		AgeMillis:   time.Since(time.UnixMilli(row.ClaimedMillis)).Milliseconds(),
	}
	err := r.transport.Call(callCtx, row.Grant.Address, row.Grant.Agent, kwagentproto.KindFence, req, &answer)
	command, ok := r.settleCommand(row, answer, err)
	if !ok || row.State == kwstatemachine.RowUnknown && command.Unknown != nil {
		return
	}
	reply := r.loop.Propose(ctx, command)
	if reply.Err == nil {
		r.deps.Events.Emit(kwevent.RowSettled, row.Grant.Request, kwevent.F("key", row.Scope.Key), kwevent.F("state", reply.Row.State))
	}
}

// settleCommand turns the agent's answer, or the failure to get one, into a command; false means that the row stays as
// it is for now.
func (r *Role) settleCommand(row kwstatemachine.JournalRow, answer kwagentproto.FenceReply, err error) (kwstatemachine.Command, bool) {
	if err != nil {
		return r.unreachableAgentCommand(row, err)
	}
	return OutcomeCommand(row.Scope, row.Grant, answer)
}

// OutcomeCommand turns an agent's answer about an attempt into the command that records it; false means that the
// attempt may still be running.
func OutcomeCommand(scope kwstatemachine.Scope, g kwstatemachine.Grant, answer kwagentproto.FenceReply) (kwstatemachine.Command, bool) {
	switch answer.State {
	case string(kwcalltable.Fenced):
		return kwstatemachine.Command{Fenced: &kwstatemachine.RecordFenced{Scope: scope, Attempt: g.Attempt}}, true
	case string(kwcalltable.Done):
		return kwstatemachine.Command{Outcome: &kwstatemachine.RecordOutcome{Scope: scope, Attempt: g.Attempt, Response: answer.Response}}, true
	case string(kwcalltable.Lost):
		return unknownOutcomeCommand(scope, g, "the agent lost the service's answer"), true
	case string(kwcalltable.Absent):
		return unknownOutcomeCommand(scope, g, "the agent no longer knows"), true
	case StateRestarted:
		return unknownOutcomeCommand(scope, g, "the agent restarted"), true
	}
	return kwstatemachine.Command{}, false
}

// unknownOutcomeCommand returns the command that records that an attempt may or may not have run.
func unknownOutcomeCommand(scope kwstatemachine.Scope, g kwstatemachine.Grant, reason string) kwstatemachine.Command {
	return kwstatemachine.Command{Unknown: &kwstatemachine.RecordUnknown{Scope: scope, Attempt: g.Attempt, Reason: reason}}
}

// unreachableAgentCommand returns the command that records an unknown outcome once the agent can no longer answer:
// another process has its address, or its endpoint has left, was lost or has restarted. Until then it returns false.
func (r *Role) unreachableAgentCommand(row kwstatemachine.JournalRow, err error) (kwstatemachine.Command, bool) {
	if kwcode.Is(err, kwcode.PeerUnknown) {
		return unknownOutcomeCommand(row.Scope, row.Grant, "another process has the agent's address"), true
	}
	agentLost := false
	r.loop.Do(func(_ time.Time, t *kwreconcile.Tables) {
		e, ok := t.Membership.Endpoint(row.Grant.Endpoint)
		agentLost = !ok || e.State == kwmembership.Lost || e.State == kwmembership.Gone || e.Incarnation != row.Grant.Incarnation
	})
	if !agentLost {
		return kwstatemachine.Command{}, false
	}
	return unknownOutcomeCommand(row.Scope, row.Grant, "the agent is lost"), true
}
