package kwcontrol

import (
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
)

// mendPause is the time between tries to use a failed disk again.
const mendPause = 500 * time.Millisecond

// mend refuses what is under way and starts again from the files, once they take a full rewrite.
func (l *Loop) mend(cause error) error {
	l.cfg.Events.Emit(kwevent.DiskRefused, "", kwevent.F("error", cause.Error()))
	l.failPending(kwcode.New(kwcode.DiskFailed, "%s", kwcode.FromError(cause).Detail).After(mendPause))
	l.disk.close()
	for {
		err := l.reopen()
		if err == nil {
			return nil
		}
		if kwcode.Is(err, kwcode.LogDamaged) {
			return err
		}
		if l.refuseFor(mendPause, err) {
			return err
		}
	}
}

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

// refuseFor answers proposals with the disk's error for a while; true means that the loop must stop.
func (l *Loop) refuseFor(d time.Duration, cause error) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	refused := kwcode.New(kwcode.DiskFailed, "%s", kwcode.FromError(cause).Detail).After(d)
	for {
		select {
		case <-l.stop:
			return true
		case <-timer.C:
			return false
		case p := <-l.proposals:
			p.reply <- kwstatemachine.Reply{Err: refused}
		case f := <-l.calls:
			f()
		case <-l.messages:
		}
	}
}
