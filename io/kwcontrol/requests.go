package kwcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
)

// Deliver takes a message from another member; a full queue drops it, and its sender will repeat it.
func (l *Loop) Deliver(m kwraft.Message) {
	select {
	case l.messages <- m:
	default:
	}
}

// Propose logs a command and returns its reply once a quorum has synced it.
func (l *Loop) Propose(ctx context.Context, c kwstatemachine.Command) kwstatemachine.Reply {
	c.TimeMillis = l.millis()
	p := proposal{command: c, reply: make(chan kwstatemachine.Reply, 1)}
	select {
	case l.proposals <- p:
	case <-l.stopped:
		return kwstatemachine.Reply{Err: kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)}
	case <-ctx.Done():
		return kwstatemachine.Reply{Err: kwcode.New(kwcode.JournalUnavailable, "%v", ctx.Err())}
	}
	select {
	case r := <-p.reply:
		return r
	case <-l.stopped:
		return kwstatemachine.Reply{Err: kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)}
	case <-ctx.Done():
		return kwstatemachine.Reply{Err: kwcode.New(kwcode.JournalUnavailable, "%v", ctx.Err())}
	}
}

// Do runs f on the control goroutine and waits for it; false means that the loop has stopped.
func (l *Loop) Do(f func(now time.Time, b *kwreconcile.Tables)) bool {
	done := make(chan struct{})
	call := func() {
		now := l.now()
		l.board.Leading = l.raft.HoldsLease(now)
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

// DoAsLeader runs f on the control goroutine if this member leads and its lease stands.
func (l *Loop) DoAsLeader(f func(now time.Time, b *kwreconcile.Tables)) error {
	err := kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)
	l.Do(func(now time.Time, b *kwreconcile.Tables) {
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
func (l *Loop) Log(f func(now time.Time, n *kwraft.Node)) bool {
	return l.Do(func(now time.Time, _ *kwreconcile.Tables) { f(now, l.raft) })
}

// AwaitOutcome returns a journal row once its attempt is no longer open; false means that the context ended first.
func (l *Loop) AwaitOutcome(ctx context.Context, scope kwstatemachine.Scope, attempt kwid.Attempt) (kwstatemachine.JournalRow, bool) {
	reply := make(chan kwstatemachine.JournalRow, 1)
	l.Do(func(_ time.Time, b *kwreconcile.Tables) {
		row, ok := b.State.JournalRow(scope)
		if ok && (row.State != kwstatemachine.RowGranted || row.Grant.Attempt != attempt) {
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
	l.Do(func(time.Time, *kwreconcile.Tables) { l.forget(scope, reply) })
	return kwstatemachine.JournalRow{}, false
}

func (l *Loop) forget(scope kwstatemachine.Scope, reply chan kwstatemachine.JournalRow) {
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
