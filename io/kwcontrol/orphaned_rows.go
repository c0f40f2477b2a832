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

const (
	settlePeriod  = 250 * time.Millisecond
	settleTimeout = 2 * time.Second
)

// StateRestarted is an agent's answer for an attempt that was granted to an earlier incarnation.
const StateRestarted = "restarted"

// settle ends open journal rows whose entry is gone, by asking the agent that was granted the attempt.
func (r *Role) settle(ctx context.Context) error {
	tick := time.NewTicker(settlePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var stale, doubtful []kwstatemachine.JournalRow
		r.loop.Do(func(_ time.Time, b *kwreconcile.Tables) {
			stale = append(stale, b.StaleClaims...)
			doubtful, r.loop.doubtful = r.loop.doubtful, nil
		})
		for _, row := range append(stale, doubtful...) {
			r.settleRow(ctx, row)
		}
	}
}

func (r *Role) settleRow(ctx context.Context, row kwstatemachine.JournalRow) {
	ask, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var answer kwagentproto.FenceReply
	req := kwagentproto.Fence{
		Scope:       row.Scope,
		Attempt:     row.Grant.Attempt,
		Incarnation: row.Grant.Incarnation,
		AgeMillis:   time.Since(time.UnixMilli(row.ClaimedMillis)).Milliseconds(),
	}
	err := r.wire.Call(ask, row.Grant.Address, row.Grant.Agent, kwagentproto.KindFence, req, &answer)
	command, ok := r.verdict(row, answer, err)
	if !ok || row.State == kwstatemachine.RowUnknown && command.Unknown != nil {
		return
	}
	reply := r.loop.Propose(ctx, command)
	if reply.Err == nil {
		r.deps.Events.Emit(kwevent.RowSettled, row.Grant.Request, kwevent.F("key", row.Scope.Key), kwevent.F("state", reply.Row.State))
	}
}

// verdict turns the agent's answer into a command; false means that the row stays open for now.
func (r *Role) verdict(row kwstatemachine.JournalRow, answer kwagentproto.FenceReply, err error) (kwstatemachine.Command, bool) {
	if err != nil {
		return r.silentAgent(row, err)
	}
	return OutcomeCommand(row.Scope, row.Grant, answer)
}

// OutcomeCommand turns an agent's answer about an attempt into the command that records it.
func OutcomeCommand(scope kwstatemachine.Scope, g kwstatemachine.Grant, answer kwagentproto.FenceReply) (kwstatemachine.Command, bool) {
	switch answer.State {
	case string(kwcalltable.Fenced):
		return kwstatemachine.Command{Fenced: &kwstatemachine.RecordFenced{Scope: scope, Attempt: g.Attempt}}, true
	case string(kwcalltable.Done):
		return kwstatemachine.Command{Outcome: &kwstatemachine.RecordOutcome{Scope: scope, Attempt: g.Attempt, Response: answer.Response}}, true
	case string(kwcalltable.Lost):
		return unknown(scope, g, "the agent lost the service's answer"), true
	case string(kwcalltable.Absent):
		return unknown(scope, g, "the agent no longer knows"), true
	case StateRestarted:
		return unknown(scope, g, "the agent restarted"), true
	}
	return kwstatemachine.Command{}, false
}

func unknown(scope kwstatemachine.Scope, g kwstatemachine.Grant, reason string) kwstatemachine.Command {
	return kwstatemachine.Command{Unknown: &kwstatemachine.RecordUnknown{Scope: scope, Attempt: g.Attempt, Reason: reason}}
}

// silentAgent gives up on an agent only after its endpoint's lease has run out.
func (r *Role) silentAgent(row kwstatemachine.JournalRow, err error) (kwstatemachine.Command, bool) {
	if kwcode.Is(err, kwcode.PeerUnknown) {
		return unknown(row.Scope, row.Grant, "another process has the agent's address"), true
	}
	dead := false
	r.loop.Do(func(_ time.Time, b *kwreconcile.Tables) {
		e, ok := b.Members.Endpoint(row.Grant.Endpoint)
		dead = !ok || e.State == kwmembership.Lost || e.State == kwmembership.Gone || e.Incarnation != row.Grant.Incarnation
	})
	if !dead {
		return kwstatemachine.Command{}, false
	}
	return unknown(row.Scope, row.Grant, "the agent is lost"), true
}
