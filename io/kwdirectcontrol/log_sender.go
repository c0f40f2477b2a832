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

// logSender sends messages of the replicated log, with one call at a time to each member.
type logSender struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   *kwtcprpc.Pool
	mu     sync.Mutex
	queues map[kwid.NodeID]chan kwraft.Message
	wg     sync.WaitGroup
}

func newLogSender(ctx context.Context, pool *kwtcprpc.Pool) *logSender {
	ctx, cancel := context.WithCancel(ctx)
	return &logSender{ctx: ctx, cancel: cancel, pool: pool, queues: make(map[kwid.NodeID]chan kwraft.Message)}
}

// Send queues a message for its receiver, or drops it if the queue is full.
func (s *logSender) Send(m kwraft.Message) {
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

func (s *logSender) sendQueued(to kwid.NodeID, queue chan kwraft.Message) {
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

func (s *logSender) stop() {
	s.cancel()
	s.wg.Wait()
}

var _ kwcontrol.Sender = (*logSender)(nil)
