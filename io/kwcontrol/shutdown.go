package kwcontrol

import (
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
)

// shutDown transfers leadership unless the loop was abandoned, fails pending proposals and closes the files.
func (l *Loop) shutDown() error {
	if !l.abandoned.Load() && l.raft.TransferLeadership(l.now()) {
		l.awaitLeadershipTransfer()
	}
	l.failPending(kwcode.New(kwcode.ControlStopping, "%s is shutting down", l.cfg.Member))
	l.disk.close()
	return nil
}

// awaitLeadershipTransfer keeps running the replicated log until another member leads or the transfer has timed out. It
// rejects new proposals meanwhile.
func (l *Loop) awaitLeadershipTransfer() {
	tick := time.NewTicker(l.cfg.Timing.TickPeriod)
	defer tick.Stop()
	for l.raft.Status().Role == kwraft.Leader {
		select {
		case m := <-l.messages:
			l.raft.Step(l.now(), m)
		case p := <-l.proposals:
			p.reply <- kwstatemachine.Reply{Err: l.notLeader()}
		case f := <-l.calls:
			f()
		case <-tick.C:
			l.raft.Tick(l.now())
		}
		if err := l.processReady(); err != nil {
			return
		}
	}
}

// Stop shuts the loop down gracefully and waits until it has ended.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.stopped
}

// abandon stops the loop without transferring leadership, as in a crash.
func (l *Loop) abandon() {
	l.abandoned.Store(true)
	l.Stop()
}
