package kwfake

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// Faults are the ways in which a stand-in misbehaves; spans are in milliseconds.
type Faults struct {
	StartDelayMS int64 `json:"slow-ms"`
	Hang         bool  `json:"hang"`
	Crash        bool  `json:"die"`
	ReplyDelayMS int64 `json:"late-ms"`
	SwapReplies  bool  `json:"crossed"`
	// DropReplies runs the work and closes the connection in place of an answer.
	DropReplies bool `json:"drop"`
	// DropNextReply is Drop for the next answer only.
	DropNextReply bool `json:"drop-once"`
}

// switches guards the faults of one stand-in.
type switches struct {
	mu     sync.Mutex
	faults Faults
	wake   chan struct{}
}

func newSwitches() *switches {
	return &switches{wake: make(chan struct{})}
}

func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.wake)
	s.wake = make(chan struct{})
}

// serve sets the faults from a request; die ends the stand-in.
func (s *switches) serve(c *gin.Context, die func()) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	s.set(f)
	if f.Crash {
		go die()
	}
	c.JSON(http.StatusOK, f)
}

func (s *switches) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.wake
}

// takeDrop tells whether the answer must be dropped, and ends a single drop.
func (s *switches) takeDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropNextReply {
		s.faults.DropNextReply = false
		return true
	}
	return s.faults.DropReplies
}

// hold waits while the stand-in hangs; false means that done closed first.
func (s *switches) hold(done <-chan struct{}) bool {
	for {
		f, wake := s.get()
		if !f.Hang {
			return true
		}
		select {
		case <-wake:
		case <-done:
			return false
		}
	}
}

// pause waits for a span; false means that done closed first.
func pause(ms int64, done <-chan struct{}) bool {
	if ms <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// crosser swaps the answers of two requests that are in progress together.
type crosser[T any] struct {
	mu      sync.Mutex
	waiting *crossing[T]
}

type crossing[T any] struct {
	mine T
	peer chan T
}

const crossWait = 40 * time.Millisecond

// swap returns another request's answer if one is in progress, or its own after a wait.
func (c *crosser[T]) swap(mine T) T {
	c.mu.Lock()
	if other := c.waiting; other != nil {
		c.waiting = nil
		c.mu.Unlock()
		other.peer <- mine
		return other.mine
	}
	self := &crossing[T]{mine: mine, peer: make(chan T, 1)}
	c.waiting = self
	c.mu.Unlock()
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case got := <-self.peer:
		return got
	case <-timer.C:
	}
	c.mu.Lock()
	if c.waiting == self {
		c.waiting = nil
		c.mu.Unlock()
		return mine
	}
	c.mu.Unlock()
	return <-self.peer
}
