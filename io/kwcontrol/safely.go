package kwcontrol

import (
	"fmt"
	"runtime/debug"
	"time"

	"knapweedproxy/io/kwevent"
)

// panicLogInterval is the time between two log lines on panics of the control goroutine.
const panicLogInterval = time.Second

// safely runs f on the control goroutine; a panic fails f and not the process, whose other functions go on.
func (l *Loop) safely(kind string, f func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		l.metrics.panics.Inc(1)
		if time.Since(l.panicLogged) < panicLogInterval {
			return
		}
		l.panicLogged = time.Now()
		l.cfg.Events.Emit(kwevent.ControlPanicked, "", kwevent.F("kind", kind), kwevent.F("panics", l.metrics.panics.Count()),
			kwevent.F("error", fmt.Sprint(cause)), kwevent.F("stack", string(debug.Stack())))
	}()
	f()
}
