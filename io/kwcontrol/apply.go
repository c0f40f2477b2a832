package kwcontrol

import (
	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
)

// apply applies committed entries to the state machine and answers their proposers.
func (l *Loop) apply(entries []kwraft.Entry) {
	l.metrics.appliedEntries.Mark(int64(len(entries)))
	for _, e := range entries {
		l.appliedIndex, l.appliedTerm = e.Index, e.Term
		if e.Kind != kwraft.EntryData {
			continue
		}
		var command kwstatemachine.Command
		reply := kwstatemachine.Reply{}
		if err := kwcbor.Unmarshal(e.Data, &command); err != nil {
			reply.Err = kwcode.New(kwcode.FrameMalformed, "%v", err)
		} else {
			reply = l.applyCommand(command)
		}
		l.replyToProposer(e, reply)
	}
}

// applyCommand applies a command. One that panics does so on every member and again at each start, so that it must not end the process;
// its proposer gets an error, after which the command may have been applied in part.
func (l *Loop) applyCommand(c kwstatemachine.Command) kwstatemachine.Reply {
	reply := kwstatemachine.Reply{Err: kwcode.New(kwcode.JournalUnavailable, "applying the command panicked")}
	l.safely("command", func() {
		reply = l.tables.State.Apply(c)
		l.afterApply(c, reply)
	})
	return reply
}

// replyToProposer answers the proposal that waits for the entry's index. An entry of another term has replaced the
// proposed one, so the proposal then fails with NotLeader.
func (l *Loop) replyToProposer(e kwraft.Entry, reply kwstatemachine.Reply) {
	p, ok := l.pending[e.Index]
	if !ok {
		return
	}
	delete(l.pending, e.Index)
	if p.term != e.Term {
		reply = kwstatemachine.Reply{Err: l.notLeader()}
	}
	p.reply <- reply
}

// afterApply updates the membership tables for an applied command and wakes the requests that wait for its journal row.
// Only the leader emits the command's event.
func (l *Loop) afterApply(c kwstatemachine.Command, reply kwstatemachine.Reply) {
	if c.Drain != nil {
		l.applyDrain(c.Drain)
	}
	if c.AdvanceFencingToken != nil && c.AdvanceFencingToken.Node == l.cfg.Member {
		l.fenceAdvanced = true
	}
	if reply.Row != nil && reply.Row.State != kwstatemachine.RowGranted {
		l.notifyWaiters(*reply.Row)
	}
	if l.raft.Status().Role == kwraft.Leader {
		l.emitEvent(c, reply)
	}
}

// applyDrain marks a live endpoint as leaving, or a leaving one as live again.
func (l *Loop) applyDrain(d *kwstatemachine.Drain) {
	state := kwmembership.Live
	if d.On {
		state = kwmembership.Leaving
	}
	e, ok := l.tables.Membership.Endpoint(d.Endpoint)
	if ok && (e.State == kwmembership.Live || e.State == kwmembership.Leaving) {
		l.tables.Membership.SetState(d.Endpoint, state)
	}
}

// notifyWaiters sends a journal row that is no longer open to all requests that wait for it.
func (l *Loop) notifyWaiters(row kwstatemachine.JournalRow) {
	for _, w := range l.waiters[row.Scope] {
		w.reply <- row
	}
	delete(l.waiters, row.Scope)
}

// emitEvent emits the event of an applied command.
func (l *Loop) emitEvent(c kwstatemachine.Command, reply kwstatemachine.Reply) {
	events := l.cfg.Events
	switch {
	case c.Claim != nil && reply.Granted:
		events.Emit(kwevent.ClaimGranted, c.Claim.Grant.Request,
			kwevent.F("key", c.Claim.Scope.Key), kwevent.F("attempt", reply.Row.Grant.Attempt))
	case c.Claim != nil:
		events.Emit(kwevent.ClaimAnswered, c.Claim.Grant.Request, kwevent.F("key", c.Claim.Scope.Key))
	case c.ApplyConfig != nil && reply.Err == nil:
		events.Emit(kwevent.RevisionAccepted, "", kwevent.F("revision", reply.Revision), kwevent.F("change", c.ApplyConfig.ChangeID))
	case c.ApplyConfig != nil:
		events.Emit(kwevent.RevisionRefused, "", kwevent.F("change", c.ApplyConfig.ChangeID), kwevent.F("error", reply.Err.Error()))
	case reply.Owner != nil:
		events.Emit(kwevent.WorkspaceMoved, "", kwevent.F("workspace", reply.Owner.Workspace), kwevent.F("to", c.Move.To), kwevent.F("done", reply.Owner.NextSite == ""))
	case c.Settle != nil && reply.Err == nil:
		events.Emit(kwevent.RowSettled, "", kwevent.F("key", c.Settle.Scope.Key), kwevent.F("verdict", c.Settle.Verdict))
	case reply.Row != nil:
		events.Emit(kwevent.OutcomeLogged, reply.Row.Grant.Request,
			kwevent.F("key", reply.Row.Scope.Key), kwevent.F("state", reply.Row.State))
	case c.Drain != nil:
		events.Emit(kwevent.EndpointLeaving, "", kwevent.F("endpoint", c.Drain.Endpoint), kwevent.F("on", c.Drain.On))
	}
}
