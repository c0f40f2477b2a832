package kwfake

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// Faults selects the faults that a fake server injects.
type Faults struct {
	// StartDelayMS delays the work of a request, in milliseconds.
	StartDelayMS int64 `json:"slow-ms"`
	// Hang blocks requests until the faults change.
	Hang bool `json:"hang"`
	// Crash stops the server.
	Crash bool `json:"die"`
	// CrashOnBody stops a records server when a call comes with this body.
	CrashOnBody string `json:"die-on-body"`
	// ReplyDelayMS delays the reply after the work is done, in milliseconds.
	ReplyDelayMS int64 `json:"late-ms"`
	// SwapReplies exchanges the replies of two concurrent requests.
	SwapReplies bool `json:"crossed"`
	// DropReplies does the work, then closes the connection without a reply.
	DropReplies bool `json:"drop"`
	// DropNextReply is DropReplies for one reply only.
	DropNextReply bool `json:"drop-once"`
}

// faultInjector holds the faults of one server; it is safe for concurrent use.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced at each change of the faults.
	changed chan struct{}
}

func newFaultInjector() *faultInjector {
	return &faultInjector{changed: make(chan struct{})}
}

func (s *faultInjector) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve handles a request that replaces the faults; crash stops the server.
func (s *faultInjector) serve(c *gin.Context, crash func()) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		replyError(c, http.StatusBadRequest, err.Error())
		return
	}
	s.set(f)
	if f.Crash {
		go crash()
	}
	c.JSON(http.StatusOK, f)
}

func (s *faultInjector) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// consumeDrop reports whether to drop the next reply, and clears DropNextReply.
func (s *faultInjector) consumeDrop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropNextReply {
		s.faults.DropNextReply = false
		return true
	}
	return s.faults.DropReplies
}

// waitWhileHung blocks while Hang is set. It returns false if done closes first.
func (s *faultInjector) waitWhileHung(done <-chan struct{}) bool {
	for {
		f, changed := s.get()
		if !f.Hang {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// sleepMS sleeps for ms milliseconds. It returns false if done closes first.
func sleepMS(ms int64, done <-chan struct{}) bool {
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

// replySwapper exchanges the replies of two concurrent requests.
type replySwapper[T any] struct {
	mu      sync.Mutex
	waiting *pendingSwap[T]
}

type pendingSwap[T any] struct {
	reply T
	peer  chan T
}

// swapTimeout is how long a reply waits for a second one to be exchanged with.
const swapTimeout = 40 * time.Millisecond

// swap returns the reply of a concurrent request, or reply itself if none comes within swapTimeout.
func (s *replySwapper[T]) swap(reply T) T {
	s.mu.Lock()
	if other := s.waiting; other != nil {
		s.waiting = nil
		s.mu.Unlock()
		other.peer <- reply
		return other.reply
	}
	self := &pendingSwap[T]{reply: reply, peer: make(chan T, 1)}
	s.waiting = self
	s.mu.Unlock()
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case got := <-self.peer:
		return got
	case <-timer.C:
	}
	s.mu.Lock()
	if s.waiting == self {
		s.waiting = nil
		s.mu.Unlock()
		return reply
	}
	s.mu.Unlock()
	return <-self.peer
}
