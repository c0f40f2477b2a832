package kwdirectcontrol

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtcprpc"
)

// maxQueuedMessages bounds the messages queued for one member; the log sends dropped messages again.
const maxQueuedMessages = 256

// peerSender sends Raft messages to the other control processes, with one call at a time to each.
type peerSender struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   *kwtcprpc.Pool
	events *kwevent.Emitter
	mu     sync.Mutex
	queues map[kwid.NodeID]chan kwraft.Message
	wg     sync.WaitGroup
}

func newPeerSender(ctx context.Context, pool *kwtcprpc.Pool, events *kwevent.Emitter) *peerSender {
	ctx, cancel := context.WithCancel(ctx)
	return &peerSender{ctx: ctx, cancel: cancel, pool: pool, events: events, queues: make(map[kwid.NodeID]chan kwraft.Message)}
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
	var failures failureLog
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
		if err := s.pool.Call(ctx, string(kwcontrol.NodeOf(to)), kwdirectproto.KindRaft, batch, nil); err != nil {
			failures.record(s.events, to, batch, err)
		}
		cancel()
	}
}

// failureLogInterval is the time between two log lines on failed calls to a member.
const failureLogInterval = time.Second

// failureLog logs failed calls to a member, once in failureLogInterval at most.
type failureLog struct {
	last time.Time
	// calls and bytes sum up what has failed since the last line; bytes counts what entries and snapshots hold.
	calls, bytes int
}

func (l *failureLog) record(events *kwevent.Emitter, to kwid.NodeID, batch kwdirectproto.RaftBatch, err error) {
	l.calls++
	for _, m := range batch.Messages {
		l.bytes += m.DataBytes()
	}
	if time.Since(l.last) < failureLogInterval {
		return
	}
	events.Emit(kwevent.ReplicationFailed, "", kwevent.F("member", to), kwevent.F("calls", l.calls), kwevent.F("bytes", l.bytes),
		kwevent.F("error", err.Error()))
	*l = failureLog{last: time.Now()}
}

func (s *peerSender) stop() {
	s.cancel()
	s.wg.Wait()
}

var _ kwcontrol.Sender = (*peerSender)(nil)
