package kwcontrol

import (
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwstatemachine"
)

// panickingController panics at each run.
type panickingController struct{}

func (panickingController) Run(time.Time, *kwreconcile.Tables) { panic("index out of range") }

// TestPanicOnControlGoroutineEndsNoProcess guards against a control process that ends, again and again, by one call, controller or command.
func TestPanicOnControlGoroutineEndsNoProcess(t *testing.T) {
	l := newLoop(t, openFolder(t, t.TempDir()), 1000)
	l.controllers = append([]kwreconcile.Controller{panickingController{}}, l.controllers...)
	runLoop(t, l)
	mustClaim(t, l, "before")
	if err := l.DoAsLeader(func(time.Time, *kwreconcile.Tables) { panic("nil map") }); !kwcode.Is(err, kwcode.OperationFailed) {
		t.Errorf("a call that panics: got %v, want %d", err, kwcode.OperationFailed)
	}
	if l.Log(func(time.Time, *kwraft.Node) { panic("nil map") }) {
		t.Error("a call that panics: got true, want false")
	}
	reply := make(chan kwstatemachine.Reply, 1)
	l.Do(func(time.Time, *kwreconcile.Tables) {
		state := l.tables.State
		l.tables.State = nil
		reply <- l.applyCommand(claimCommand("broken"))
		l.tables.State = state
	})
	if got := <-reply; got.Err == nil || got.Granted {
		t.Errorf("a command that panics: got %+v, want an error", got)
	}
	mustClaim(t, l, "after")
	if got := l.metrics.panics.Count(); got < 4 {
		t.Errorf("got %d panics counted, want at least 4", got)
	}
}
