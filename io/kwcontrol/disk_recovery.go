package kwcontrol

import (
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
)

// diskRetryInterval is the time between two attempts to reopen a failed disk.
const diskRetryInterval = 500 * time.Millisecond

// recoverDisk fails all pending proposals and reopens the files until a full rewrite of them succeeds. It returns an
// error if the log is damaged or the loop is stopped meanwhile.
func (l *Loop) recoverDisk(cause error) error {
	l.cfg.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", cause.Error()))
	l.failPending(kwcode.New(kwcode.DiskFailed, "%s", kwcode.FromError(cause).Detail).After(diskRetryInterval))
	l.disk.close()
	for {
		err := l.reopen()
		if err == nil {
			return nil
		}
		if kwcode.Is(err, kwcode.LogDamaged) {
			return err
		}
		if l.rejectFor(diskRetryInterval, err) {
			return err
		}
	}
}

// reopen recovers the state from the files and rewrites them, which shows that the disk accepts writes again.
func (l *Loop) reopen() error {
	if err := l.open(); err != nil {
		return err
	}
	if err := l.disk.rewrite(l.raft.PersistentState()); err != nil {
		l.disk.close()
		return err
	}
	return nil
}

// rejectFor answers proposals with the disk error for the duration d; it returns true if the loop was stopped
// meanwhile.
func (l *Loop) rejectFor(d time.Duration, cause error) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	rejection := kwcode.New(kwcode.DiskFailed, "%s", kwcode.FromError(cause).Detail).After(d)
	for {
		select {
		case <-l.stop:
			return true
		case <-timer.C:
			return false
		case p := <-l.proposals:
			p.reply <- kwstatemachine.Reply{Err: rejection}
		case f := <-l.calls:
			l.safely("call", f)
		case <-l.messages:
		}
	}
}
