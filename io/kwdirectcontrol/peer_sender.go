package kwdirectcontrol

import (
	"context"
	"sync"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwtcprpc"
)

// maxQueuedMessages bounds the messages queued for one member; the log sends dropped messages again.
const maxQueuedMessages = 256

// peerSender sends Raft messages to the other control processes, with one call at a time to each.
type peerSender struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   *kwtcprpc.Pool
	mu     sync.Mutex
	queues map[kwid.NodeID]chan kwraft.Message
	wg     sync.WaitGroup
}

func newPeerSender(ctx context.Context, pool *kwtcprpc.Pool) *peerSender {
	ctx, cancel := context.WithCancel(ctx)
	return &peerSender{ctx: ctx, cancel: cancel, pool: pool, queues: make(map[kwid.NodeID]chan kwraft.Message)}
}

// Send queues a message for its receiver, or drops it if the queue is full.
func (s *peerSender) Send(m kwraft.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	queue, ok := s.queues[m.To]
	if !ok {
		queue = make(chan kwraft.Message, maxQueuedMessages)
		s.queues[m.To] = queue
		s.wg.Add(1)
		go s.sendQueued(m.To, queue)
	}
	select {
	case queue <- m:
	default:
	}
}

func (s *peerSender) sendQueued(to kwid.NodeID, queue chan kwraft.Message) {
	defer s.wg.Done()
	for {
		var batch kwdirectproto.RaftBatch
		select {
		case <-s.ctx.Done():
			return
		case m := <-queue:
			batch.Messages = append(batch.Messages, m)
		}
		for range len(queue) {
			batch.Messages = append(batch.Messages, <-queue)
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		// The log detects a lost batch by the missing replies and recovers from it.
		_ = s.pool.Call(ctx, string(kwcontrol.NodeOf(to)), kwdirectproto.KindRaft, batch, nil)
		cancel()
	}
}

func (s *peerSender) stop() {
	s.cancel()
	s.wg.Wait()
}

var _ kwcontrol.Sender = (*peerSender)(nil)
