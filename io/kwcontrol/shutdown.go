package kwcontrol

import (
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
)

// finish hands leadership on, then closes the files.
func (l *Loop) finish() error {
	if !l.dropped.Load() && l.raft.TransferLeadership(l.now()) {
		l.handOver()
	}
	l.failPending(kwcode.New(kwcode.ControlStopping, "%s is shutting down", l.cfg.Member))
	l.disk.close()
	return nil
}

// handOver keeps serving the log until another member leads or the hand-over has failed.
func (l *Loop) handOver() {
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
		if err := l.settleWork(); err != nil {
			return
		}
	}
}

// Stop begins a graceful shutdown and waits for its end.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.stopped
}

// abandon stops the loop without a hand-over.
func (l *Loop) abandon() {
	l.dropped.Store(true)
	l.Stop()
}
