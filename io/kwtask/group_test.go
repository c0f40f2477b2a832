package kwtask

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestWaitBesideLateTasks guards against a stop that ends its process with "WaitGroup is reused" because a request begins meanwhile.
func TestWaitBesideLateTasks(t *testing.T) {
	t.Parallel()
	var g Group
	var begun, ended atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 2000 {
				begun.Add(1)
				g.Go(func() { ended.Add(1) })
				g.Wait(t.Context())
			}
		})
	}
	callers.Wait()
	g.Wait(t.Context())
	if begun.Load() != ended.Load() {
		t.Errorf("%d of %d functions have ended", ended.Load(), begun.Load())
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	t.Parallel()
	var g Group
	g.Wait(t.Context())
	release, done := make(chan struct{}), make(chan struct{})
	g.Go(func() {
		<-release
		close(done)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	g.Wait(ctx)
	if ctx.Err() == nil {
		t.Fatal("Wait has returned although a function is running")
	}
	close(release)
	g.Wait(t.Context())
	select {
	case <-done:
	default:
		t.Error("Wait has returned before the function did")
	}
}
