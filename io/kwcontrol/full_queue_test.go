package kwcontrol

import (
	"context"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
)

// TestNewLeaderWithFullQueueAnswers guards against a control goroutine that waits for itself: a member becomes leader while its queue of
// calls is full, after a disk that stalled, and answers nothing any more while its process runs.
func TestNewLeaderWithFullQueueAnswers(t *testing.T) {
	l := newLoop(t, openFolder(t, t.TempDir()), 0)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	slow := func() { time.Sleep(100 * time.Microsecond) }
	for range queueLength {
		l.calls <- slow
	}
	for range 2 {
		go func() {
			for {
				select {
				case l.calls <- slow:
				case <-stop:
					return
				}
			}
		}()
	}
	go func() { _ = l.Run() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		reply := l.Propose(ctx, kwstatemachine.Command{Declare: &kwstatemachine.Declare{Number: 1, Content: []byte("x")}})
		if reply.Err == nil {
			l.Stop()
			return
		}
		if !kwcode.Is(reply.Err, kwcode.NotLeader) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("a leader with a full queue: got no change accepted within 5s, want one")
}

// TestReplacedProposalIsAnswered guards against a proposal whose index another one takes after a change of leader, and which is then never
// answered.
func TestReplacedProposalIsAnswered(t *testing.T) {
	l := newLoop(t, openFolder(t, t.TempDir()), 0)
	l.raft.Tick(l.now())
	if got := l.raft.Status().Role; got != kwraft.Leader {
		t.Fatalf("got role %s, want the leader", got)
	}
	old := make(chan kwstatemachine.Reply, 1)
	next := l.raft.Status().LastIndex + 1
	l.pending[next] = pendingReply{term: 1, reply: old}
	l.proposeBatch(proposal{reply: make(chan kwstatemachine.Reply, 1)})
	select {
	case got := <-old:
		if !kwcode.Is(got.Err, kwcode.NotLeader) {
			t.Errorf("got %v, want %v", got.Err, kwcode.NotLeader)
		}
	default:
		t.Error("a proposal whose index is taken: got no answer, want one")
	}
}
