package kwdirectcontrol

import "testing"

// TestAbandonedCallDoesNotRun guards against a call on the control goroutine that writes the results of a caller which no longer
// waits for them, as its connection has closed.
func TestAbandonedCallDoesNotRun(t *testing.T) {
	var late abandonableCall
	late.abandon()
	late.run(func() { t.Error("a call that was abandoned before it began: got it run, want it dropped") })

	var running abandonableCall
	result, begun := 0, make(chan struct{})
	go running.run(func() {
		close(begun)
		result = 1
	})
	<-begun
	running.abandon()
	// The race detector checks that the call has ended.
	if result++; result != 2 {
		t.Errorf("a call that was abandoned while it ran: got result %d, want 2", result)
	}
}
