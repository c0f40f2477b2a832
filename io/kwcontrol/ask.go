package kwcontrol

import (
	"context"
	"time"

	"knapweedproxy/core/kwboard"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwlog"
	"knapweedproxy/core/kwstate"
)

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
