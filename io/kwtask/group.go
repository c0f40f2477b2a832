// Package kwtask runs functions in goroutines that a stop waits for.
package kwtask

import (
	"context"
	"sync"
)

// Group runs functions in goroutines. Unlike with sync.WaitGroup, functions may be started while the group is waited for, as by a
// request that arrives during a stop. The zero Group is ready to use.
type Group struct {
	mu      sync.Mutex
	running int
	// idle is closed once no function is running; it is set while one is.
	idle chan struct{}
}

// Go runs f in a goroutine.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	if g.running == 0 {
		g.idle = make(chan struct{})
	}
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.end()
		f()
	}()
}

func (g *Group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running--; g.running == 0 {
		close(g.idle)
		g.idle = nil
	}
}

// Wait returns once no function is running, or the context ends. It does not wait for functions that are started after that.
func (g *Group) Wait(ctx context.Context) {
	g.mu.Lock()
	idle := g.idle
	g.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
