package kwcontrol

import (
	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
)

func (l *Loop) apply(entries []kwraft.Entry) {
	l.metrics.applied.Mark(int64(len(entries)))
	for _, e := range entries {
		l.appliedAt = e.Index
		if e.Kind != kwraft.EntryData {
			continue
		}
		var command kwstatemachine.Command
		reply := kwstatemachine.Reply{}
		if err := kwcbor.Unmarshal(e.Data, &command); err != nil {
			reply.Err = kwcode.New(kwcode.FrameMalformed, "%v", err)
		} else {
			reply = l.board.State.Apply(command)
			l.applied(command, reply)
		}
		l.answer(e, reply)
	}
}

func (l *Loop) answer(e kwraft.Entry, reply kwstatemachine.Reply) {
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

// applied updates the membership and wakes the requests that wait for a journal row.
func (l *Loop) applied(c kwstatemachine.Command, reply kwstatemachine.Reply) {
	if c.Drain != nil {
		l.drained(c.Drain)
	}
	if c.AdvanceFence != nil && c.AdvanceFence.Node == l.cfg.Member {
		l.booted = true
	}
	if reply.Row != nil && reply.Row.State != kwstatemachine.RowGranted {
		l.wake(*reply.Row)
	}
	if l.raft.Status().Role == kwraft.Leader {
		l.emit(c, reply)
	}
}

func (l *Loop) drained(d *kwstatemachine.Drain) {
	state := kwmembership.Live
	if d.On {
		state = kwmembership.Leaving
	}
	e, ok := l.board.Members.Endpoint(d.Endpoint)
	if ok && (e.State == kwmembership.Live || e.State == kwmembership.Leaving) {
		l.board.Members.SetState(d.Endpoint, state)
	}
}

func (l *Loop) wake(row kwstatemachine.JournalRow) {
	for _, w := range l.waiters[row.Scope] {
		w.reply <- row
	}
	delete(l.waiters, row.Scope)
}

func (l *Loop) emit(c kwstatemachine.Command, reply kwstatemachine.Reply) {
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
