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

// queueLength bounds the messages that wait for one member; the log repeats what is dropped.
const queueLength = 256

// logSender carries messages of the replicated log, one call at a time for each member.
type logSender struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   *kwtcprpc.Pool
	mu     sync.Mutex
	queues map[kwid.NodeID]chan kwraft.Message
	work   sync.WaitGroup
}

func newLogSender(ctx context.Context, pool *kwtcprpc.Pool) *logSender {
	ctx, cancel := context.WithCancel(ctx)
	return &logSender{ctx: ctx, cancel: cancel, pool: pool, queues: make(map[kwid.NodeID]chan kwraft.Message)}
}

// Send queues a message; a full queue drops it.
func (s *logSender) Send(m kwraft.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	queue, ok := s.queues[m.To]
	if !ok {
		queue = make(chan kwraft.Message, queueLength)
		s.queues[m.To] = queue
		s.work.Add(1)
		go s.run(m.To, queue)
	}
	select {
	case queue <- m:
	default:
	}
}

func (s *logSender) run(to kwid.NodeID, queue chan kwraft.Message) {
	defer s.work.Done()
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
		// A lost batch shows as silence to the log, which acts on it.
		_ = s.pool.Call(ctx, string(kwcontrol.NodeOf(to)), kwdirectproto.KindRaft, batch, nil)
		cancel()
	}
}

func (s *logSender) stop() {
	s.cancel()
	s.work.Wait()
}

var _ kwcontrol.Sender = (*logSender)(nil)
