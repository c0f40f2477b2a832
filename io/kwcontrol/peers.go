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

// Peer is another control process by node, address and availability zone; an empty zone is one of its own.
type Peer struct {
	Node    kwid.NodeID
	Address string
	Zone    kwid.AvailabilityZone
}

const (
	peerQueue   = 256
	redialPause = 100 * time.Millisecond
	dialTimeout = time.Second
)

// PeerSender sends log messages to the other control processes, one stream each.
type PeerSender struct {
	wire   *kwquic.Node
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	queues map[kwid.NodeID]chan kwraft.Message
}

// NewPeerSender returns a sender without a transport; Start must be called before messages leave.
func NewPeerSender(peers []Peer) *PeerSender {
	p := &PeerSender{queues: make(map[kwid.NodeID]chan kwraft.Message)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, peer := range peers {
		p.queues[peer.Node] = make(chan kwraft.Message, peerQueue)
	}
	return p
}

// Start begins to send over a transport.
func (p *PeerSender) Start(wire *kwquic.Node, peers []Peer) {
	p.wire = wire
	for _, peer := range peers {
		p.work.Add(1)
		go p.run(peer)
	}
}

// Send queues a message for the node of its receiver; a full queue drops it, and the log will repeat it.
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

func (p *PeerSender) run(peer Peer) {
	defer p.work.Done()
	var s *kwquic.Stream
	for {
		select {
		case <-p.ctx.Done():
			if s != nil {
				s.Close()
			}
			return
		case m := <-p.queues[peer.Node]:
			s = p.deliver(s, peer, m)
		}
	}
}

// deliver sends on the open stream, or opens one; it returns nil after a failure.
func (p *PeerSender) deliver(s *kwquic.Stream, peer Peer, m kwraft.Message) *kwquic.Stream {
	if s == nil {
		s = p.open(peer)
	}
	if s == nil {
		return nil
	}
	if err := sendRaft(s, m); err != nil {
		s.Abort()
		return nil
	}
	return s
}

// Sizes of log messages that travel in parts, in bytes.
const (
	raftPart = 4 << 20
	maxRaft  = 512 << 20
)

// sendRaft sends a message in one frame, or one with a large snapshot in parts.
func sendRaft(s *kwquic.Stream, m kwraft.Message) error {
	if m.Snapshot == nil || len(m.Snapshot.State) < raftPart {
		return s.Send(kwagentproto.KindRaft, m)
	}
	data, err := kwcbor.Marshal(m)
	if err != nil {
		return kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	for len(data) > 0 {
		n := min(raftPart, len(data))
		part := kwagentproto.RaftChunk{Last: n == len(data), Data: data[:n]}
		if err := s.Send(kwagentproto.KindRaftChunk, part); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// raftReader puts the messages of one stream together again.
type raftReader struct {
	data []byte
}

// take returns the message that a frame completes, or nil while parts are missing.
func (r *raftReader) take(f kwquic.Frame) (*kwraft.Message, error) {
	var m kwraft.Message
	if f.Kind != kwagentproto.KindRaftChunk {
		return &m, f.Expect(kwagentproto.KindRaft, &m)
	}
	var part kwagentproto.RaftChunk
	if err := f.Decode(&part); err != nil {
		return nil, err
	}
	if len(r.data)+len(part.Data) > maxRaft {
		return nil, kwcode.New(kwcode.FrameTooLarge, "a message of more than %d bytes", maxRaft)
	}
	r.data = append(r.data, part.Data...)
	if !part.Last {
		return nil, nil
	}
	err := kwcbor.Unmarshal(r.data, &m)
	r.data = nil
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "%v", err)
	}
	return &m, nil
}

func (p *PeerSender) open(peer Peer) *kwquic.Stream {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	s, err := p.wire.Open(ctx, peer.Address, peer.Node)
	if err == nil {
		return s
	}
	select {
	case <-p.ctx.Done():
	case <-time.After(redialPause):
	}
	return nil
}

// Stop ends all sending.
func (p *PeerSender) Stop() {
	p.cancel()
	p.work.Wait()
}

// receive delivers the log messages of one peer's stream to the loop.
func (r *Role) receive(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	f := first
	var reader raftReader
	for {
		m, err := reader.take(f)
		if err != nil {
			return err
		}
		if m != nil && NodeOf(m.From) != s.Peer().Node {
			return kwcode.New(kwcode.PeerUnknown, "%s sent a message of %s", s.Peer().Node, m.From)
		}
		if m != nil {
			r.loop.Deliver(*m)
		}
		next, err := s.Recv()
		if err != nil {
			return nil
		}
		f = next
	}
}
