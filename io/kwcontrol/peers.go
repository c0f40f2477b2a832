package kwcontrol

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwquic"
)

// Peer is another control process. An empty Zone counts as a zone of its own.
type Peer struct {
	Node    kwid.NodeID
	Address string
	Zone    kwid.AvailabilityZone
}

const (
	// peerQueueLength is the number of messages that are queued for one peer.
	peerQueueLength = 256
	// redialDelay is the pause after a failed dial.
	redialDelay = 100 * time.Millisecond
	// dialTimeout bounds opening a stream to a peer, and a join request.
	dialTimeout = time.Second
)

// PeerSender sends Raft messages to the other control processes, on one stream for each.
type PeerSender struct {
	transport *kwquic.Node
	ctx       context.Context
	cancel    context.CancelFunc
	workers   sync.WaitGroup
	queues    map[kwid.NodeID]chan kwraft.Message
	// undelivered is told of bulk messages that may be lost.
	undelivered func(kwraft.Message)
}

// NewPeerSender returns a sender that only queues messages until Start is called.
func NewPeerSender(peers []Peer) *PeerSender {
	p := &PeerSender{queues: make(map[kwid.NodeID]chan kwraft.Message)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, peer := range peers {
		p.queues[peer.Node] = make(chan kwraft.Message, peerQueueLength)
	}
	return p
}

// Start starts sending the queued messages over a transport. It calls undelivered, which must not block, with bulk messages that may be
// lost.
func (p *PeerSender) Start(transport *kwquic.Node, peers []Peer, undelivered func(kwraft.Message)) {
	p.transport, p.undelivered = transport, undelivered
	for _, peer := range peers {
		p.workers.Add(1)
		go p.sendLoop(peer)
	}
}

// Send queues a message for the receiver's node. It drops the message if the queue is full; Raft retransmits it.
func (p *PeerSender) Send(m kwraft.Message) {
	queue, ok := p.queues[NodeOf(m.To)]
	if !ok {
		return
	}
	select {
	case queue <- m:
	default:
	}
}

// sendLoop sends the messages queued for a peer until the sender is stopped.
func (p *PeerSender) sendLoop(peer Peer) {
	defer p.workers.Done()
	var s *kwquic.Stream
	// lastBulk is the last bulk message on the stream, which may be lost with it.
	var lastBulk *kwraft.Message
	for {
		select {
		case <-p.ctx.Done():
			if s != nil {
				s.Close()
			}
			return
		case m := <-p.queues[peer.Node]:
			if m.Bulk() {
				lastBulk = &m
			}
			s = p.deliver(s, peer, m)
			if s == nil && lastBulk != nil {
				p.undelivered(*lastBulk)
				lastBulk = nil
			}
		}
	}
}

// deliver sends a message on the stream, which it opens if s is nil. It returns the stream, or nil after a failure.
func (p *PeerSender) deliver(s *kwquic.Stream, peer Peer, m kwraft.Message) *kwquic.Stream {
	if s == nil {
		s = p.dial(peer)
	}
	if s == nil {
		return nil
	}
	if err := sendRaftMessage(s, m); err != nil {
		s.Abort()
		return nil
	}
	return s
}

// Sizes of Raft messages that are sent in chunks, in bytes.
const (
	raftChunkBytes      = 4 << 20
	maxRaftMessageBytes = 512 << 20
)

// sendRaftMessage sends a message in one frame, or in chunks if it carries a large snapshot.
func sendRaftMessage(s *kwquic.Stream, m kwraft.Message) error {
	if m.Snapshot == nil || len(m.Snapshot.State) < raftChunkBytes {
		return s.Send(kwagentproto.KindRaft, m)
	}
	data, err := kwcbor.Marshal(m)
	if err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	for len(data) > 0 {
		n := min(raftChunkBytes, len(data))
		chunk := kwagentproto.RaftChunk{Last: n == len(data), Data: data[:n]}
		if err := s.Send(kwagentproto.KindRaftChunk, chunk); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// raftReassembler reassembles the Raft messages of one stream from their chunks.
type raftReassembler struct {
	data []byte
}

// add returns the message that a frame completes, or nil while chunks are missing.
func (r *raftReassembler) add(f kwquic.Frame) (*kwraft.Message, error) {
	var m kwraft.Message
	if f.Kind != kwagentproto.KindRaftChunk {
		return &m, f.Expect(kwagentproto.KindRaft, &m)
	}
	var chunk kwagentproto.RaftChunk
	if err := f.Decode(&chunk); err != nil {
		return nil, err
	}
	if len(r.data)+len(chunk.Data) > maxRaftMessageBytes {
		return nil, kwcode.New(kwcode.FrameTooLarge, "raft message exceeds %d bytes", maxRaftMessageBytes)
	}
	r.data = append(r.data, chunk.Data...)
	if !chunk.Last {
		return nil, nil
	}
	err := kwcbor.Unmarshal(r.data, &m)
	r.data = nil
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return &m, nil
}

// dial opens a stream to a peer; on failure it waits for redialDelay and returns nil.
func (p *PeerSender) dial(peer Peer) *kwquic.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	s, err := p.transport.Open(ctx, peer.Address, peer.Node)
	if err == nil {
		return s
	}
	select {
	case <-p.ctx.Done():
	case <-time.After(redialDelay):
	}
	return nil
}

// Stop stops sending and waits for the sending goroutines to end.
func (p *PeerSender) Stop() {
	p.cancel()
	p.workers.Wait()
}

// onRaft delivers the Raft messages of one peer's stream to the loop.
func (r *Role) onRaft(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	frame := first
	var reassembler raftReassembler
	for {
		m, err := reassembler.add(frame)
		if err != nil {
			return err
		}
		if m != nil && NodeOf(m.From) != s.Peer().Node {
			return kwcode.New(kwcode.PeerUnknown, "%s sent a raft message from %s", s.Peer().Node, m.From)
		}
		if m != nil {
			r.loop.Deliver(*m)
		}
		next, err := s.Recv()
		if err != nil {
			return nil
		}
		frame = next
	}
}
