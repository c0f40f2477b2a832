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

// maxQueuedBulk bounds the bulk messages queued for one member; the leader has one under way to each.
const maxQueuedBulk = 4

// deliveryLog is told by a peerSender whether it could deliver a message. Its methods must not wait for the sender.
type deliveryLog interface {
	Delivered(m kwraft.Message)
	Undelivered(m kwraft.Message)
}

// peerSender sends Raft messages to the other control processes, on two lanes for each: bulk messages have a connection of their own,
// so that heartbeats pass them on a slow link. Each lane makes one call at a time.
type peerSender struct {
	ctx    context.Context
	cancel context.CancelFunc
	pool   *kwtcprpc.Pool
	// bulkPool holds the connections for bulk messages.
	bulkPool   *kwtcprpc.Pool
	deliveries deliveryLog
	events     *kwevent.Emitter
	mu         sync.Mutex
	peers      map[kwid.NodeID]peerQueues
	wg         sync.WaitGroup
}

// peerQueues are the messages queued for one member, on the two lanes.
type peerQueues struct {
	small, bulk chan kwraft.Message
}

func newPeerSender(ctx context.Context, pool, bulkPool *kwtcprpc.Pool, events *kwevent.Emitter) *peerSender {
	ctx, cancel := context.WithCancel(ctx)
	return &peerSender{ctx: ctx, cancel: cancel, pool: pool, bulkPool: bulkPool, events: events, peers: make(map[kwid.NodeID]peerQueues)}
}

// reportTo sets whom to tell of deliveries; it must be called before the first Send.
func (s *peerSender) reportTo(deliveries deliveryLog) { s.deliveries = deliveries }

// Send queues a message for its receiver, or drops it if the queue is full.
func (s *peerSender) Send(m kwraft.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	peer, ok := s.peers[m.To]
	if !ok {
		peer = peerQueues{small: make(chan kwraft.Message, maxQueuedMessages), bulk: make(chan kwraft.Message, maxQueuedBulk)}
		s.peers[m.To] = peer
		s.wg.Go(func() { s.sendSmall(m.To, peer.small) })
		s.wg.Go(func() { s.sendBulk(m.To, peer.bulk) })
	}
	queue := peer.small
	if m.Bulk() {
		queue = peer.bulk
	}
	select {
	case queue <- m:
	default:
		// The leader repeats a bulk message after its deadline.
	}
}

// sendSmall sends the queued messages of a member in as few calls as possible.
func (s *peerSender) sendSmall(to kwid.NodeID, queue chan kwraft.Message) {
	var failures failureLog
	for {
		var batch kwdirectproto.RaftBatch
		size := 0
		select {
		case <-s.ctx.Done():
			return
		case m := <-queue:
			batch.Messages = append(batch.Messages, m)
			size += m.DataBytes()
		}
		for len(queue) > 0 && size < kwraft.DefaultMaxBatchBytes {
			m := <-queue
			batch.Messages = append(batch.Messages, m)
			size += m.DataBytes()
		}
		// The log detects a lost batch by the missing replies and recovers from it.
		_ = s.call(s.pool, to, batch, &failures)
	}
}

// sendBulk sends the queued bulk messages of a member one by one.
func (s *peerSender) sendBulk(to kwid.NodeID, queue chan kwraft.Message) {
	var failures failureLog
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-queue:
			if s.call(s.bulkPool, to, kwdirectproto.RaftBatch{Messages: []kwraft.Message{m}}, &failures) == nil {
				s.deliveries.Delivered(m)
			} else {
				s.deliveries.Undelivered(m)
			}
		}
	}
}

// call sends a batch, within the time that the slowest link takes for it.
func (s *peerSender) call(pool *kwtcprpc.Pool, to kwid.NodeID, batch kwdirectproto.RaftBatch, failures *failureLog) error {
	size := 0
	for _, m := range batch.Messages {
		size += m.DataBytes()
	}
	onLink := time.Duration(float64(size) / kwraft.DefaultMinLinkBytesPerSecond * float64(time.Second))
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout+onLink)
	defer cancel()
	err := pool.Call(ctx, string(kwcontrol.NodeOf(to)), kwdirectproto.KindRaft, batch, nil)
	if err != nil && s.ctx.Err() == nil {
		failures.record(s.events, to, batch, err)
	}
	return err
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
