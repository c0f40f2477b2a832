package kwdirectentry

import (
	"sync"
	"testing"
)

// TestRequestsDuringStopEndNoProcess guards against a stop that panics, as it waits for background work, because a request in progress
// starts more.
func TestRequestsDuringStopEndNoProcess(t *testing.T) {
	t.Parallel()
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	_ = g.server.Close()
	var requests sync.WaitGroup
	for range 8 {
		requests.Go(func() {
			for range 1000 {
				g.goBackground(func() {})
				g.awaitBackground()
			}
		})
	}
	requests.Wait()
}
