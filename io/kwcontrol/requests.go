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

// Deliver queues a Raft message from another member. It drops the message if the queue is full; Raft retransmits it.
func (l *Loop) Deliver(m kwraft.Message) {
	select {
	case l.messages <- m:
	default:
	}
}

// Delivered tells the log that a message has been handed to its receiver.
func (l *Loop) Delivered(m kwraft.Message) {
	l.reportDelivery(func() { l.raft.ReportDelivered(l.now(), m) })
}

// Undelivered tells the log that a message could not be delivered.
func (l *Loop) Undelivered(m kwraft.Message) {
	l.reportDelivery(func() { l.raft.ReportUndelivered(m) })
}

// reportDelivery runs f on the control goroutine, if that keeps up; the log does without reports by its deadlines.
func (l *Loop) reportDelivery(f func()) {
	select {
	case l.calls <- f:
	default:
	}
}

// Propose appends a command to the replicated log and returns its reply once a quorum has synced it and it has been
// applied. If the context ends or the loop stops first, the reply holds JournalUnavailable or ControlStopping, and the
// command may still be applied.
func (l *Loop) Propose(ctx context.Context, c kwstatemachine.Command) kwstatemachine.Reply {
	c.TimeMillis = l.wallMillis()
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

// Do runs f on the control goroutine and waits for it to return; it returns false if f has panicked or the loop has stopped.
func (l *Loop) Do(f func(now time.Time, t *kwreconcile.Tables)) bool {
	done, returned := make(chan struct{}), false
	call := func() {
		defer close(done)
		now := l.now()
		l.tables.Leading = l.raft.HoldsLease(now)
		f(now, l.tables)
		returned = true
	}
	select {
	case l.calls <- call:
	case <-l.stopped:
		return false
	}
	select {
	case <-done:
		return returned
	case <-l.stopped:
		return false
	}
}

// DoAsLeader runs f on the control goroutine if this member is the leader and holds its leader lease; otherwise it
// returns NotLeader or ControlStopping. It returns OperationFailed if f has panicked.
func (l *Loop) DoAsLeader(f func(now time.Time, t *kwreconcile.Tables)) error {
	err := kwcode.New(kwcode.ControlStopping, "%s has stopped", l.cfg.Member)
	l.Do(func(now time.Time, t *kwreconcile.Tables) {
		if !t.Leading {
			err = l.notLeader()
			return
		}
		err = kwcode.New(kwcode.OperationFailed, "the call panicked on the control goroutine of %s", l.cfg.Member)
		f(now, t)
		err = nil
	})
	if err == nil {
		return nil
	}
	return err
}

// Log runs f on the control goroutine with this member's node of the replicated log; it returns false if the loop has
// stopped.
func (l *Loop) Log(f func(now time.Time, n *kwraft.Node)) bool {
	return l.Do(func(now time.Time, _ *kwreconcile.Tables) { f(now, l.raft) })
}

// AwaitOutcome returns the journal row once the given attempt is no longer open. It returns false if the context ended
// or the loop stopped first.
func (l *Loop) AwaitOutcome(ctx context.Context, scope kwstatemachine.Scope, attempt kwid.Attempt) (kwstatemachine.JournalRow, bool) {
	reply := make(chan kwstatemachine.JournalRow, 1)
	l.Do(func(_ time.Time, t *kwreconcile.Tables) {
		row, ok := t.State.JournalRow(scope)
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
	l.Do(func(time.Time, *kwreconcile.Tables) { l.removeWaiter(scope, reply) })
	return kwstatemachine.JournalRow{}, false
}

func (l *Loop) removeWaiter(scope kwstatemachine.Scope, reply chan kwstatemachine.JournalRow) {
	var remaining []waiter
	for _, w := range l.waiters[scope] {
		if w.reply != reply {
			remaining = append(remaining, w)
		}
	}
	if len(remaining) == 0 {
		delete(l.waiters, scope)
		return
	}
	l.waiters[scope] = remaining
}
