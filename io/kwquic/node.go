package kwquic

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwkeys"
)

// Protocol is the ALPN name of the frames; a new incompatible form gets a new name.
const Protocol = "knapweedproxy-1"

// Connection timing.
const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 6 * time.Second
	keepAlive        = 2 * time.Second
	unusedTimeout    = 30 * time.Second
	sweepPeriod      = 5 * time.Second
	openTimeout      = 3 * time.Second
)

const maxStreams = 1 << 16

// Handler serves one incoming stream, whose first frame is given; an error is sent to the peer.
type Handler func(ctx context.Context, first Frame, s *Stream) error

// Route binds a message kind to a handler and to the roles that may send it.
type Route struct {
	Kind   kwagentproto.Kind
	Roles  []kwkeys.Role
	Handle Handler
}

// Config holds what a Node needs; Listen is a UDP address with an IP number.
type Config struct {
	Listen string
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Routes []Route
	// OnRefused is told of connections and streams that were turned down.
	OnRefused func(err error)
}

// Node is one process's end of all connections: it listens and dials on one UDP socket.
type Node struct {
	cfg       Config
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex
	conns     map[string]*pooled
	open      map[*quic.Conn]struct{}
	past      Traffic
	work      sync.WaitGroup
}

// Traffic counts what a node's connections have carried, in bytes with UDP and IP headers.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Packets       uint64
}

// headerBytes is the size of the UDP and IPv4 headers of a packet.
const headerBytes = 28

func (t Traffic) plus(s quic.ConnectionStats) Traffic {
	t.SentBytes += s.BytesSent + headerBytes*s.PacketsSent
	t.ReceivedBytes += s.BytesReceived + headerBytes*s.PacketsReceived
	t.Packets += s.PacketsSent + s.PacketsReceived
	return t
}

// Traffic returns what all connections of the node have carried so far.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.past
	for conn := range n.open {
		out = out.plus(conn.ConnectionStats())
	}
	return out
}

// track counts a connection's traffic until it ends.
func (n *Node) track(conn *quic.Conn) {
	n.mu.Lock()
	n.open[conn] = struct{}{}
	n.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.open, conn)
		n.past = n.past.plus(conn.ConnectionStats())
	})
}

type pooled struct {
	conn     *quic.Conn
	identity kwkeys.Identity
	streams  int
	used     time.Time
	ready    chan struct{}
	err      error
}

// Listen opens the socket and starts serving; it returns ListenFailed for an address in use.
func Listen(cfg Config) (*Node, error) {
	if cfg.OnRefused == nil {
		cfg.OnRefused = func(error) {}
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%s: %v", cfg.Listen, err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	n := &Node{cfg: cfg, socket: socket, conns: make(map[string]*pooled), open: make(map[*quic.Conn]struct{})}
	n.transport = &quic.Transport{Conn: socket}
	n.listener, err = n.transport.Listen(cfg.Keys.ServerTLS(Protocol), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, kwcode.New(kwcode.ListenFailed, "%s: %v", cfg.Listen, err)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go n.accept()
	go n.sweep()
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address returns the bound UDP address.
func (n *Node) Address() string {
	return n.socket.LocalAddr().String()
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

func (n *Node) serve(conn *quic.Conn) {
	n.track(conn)
	identity, err := kwkeys.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		n.cfg.OnRefused(err)
		_ = conn.CloseWithError(abortCode, "")
		return
	}
	for {
		raw, err := conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		s := &Stream{raw: raw, clock: n.cfg.Clock, peer: identity}
		n.work.Add(1)
		go n.handle(s)
	}
}

// handle reads the first frame and runs its handler; the stream ends when the handler returns.
func (n *Node) handle(s *Stream) {
	defer n.work.Done()
	defer s.Close()
	first, err := s.RecvUntil(time.Now().Add(openTimeout))
	if err != nil {
		n.refuse(s, err)
		return
	}
	route, err := n.route(first.Kind, s.peer)
	if err != nil {
		n.refuse(s, err)
		return
	}
	ctx, cancel := context.WithCancel(s.raw.Context())
	defer cancel()
	if err := route.Handle(ctx, first, s); err != nil {
		_ = s.SendError(err)
	}
}

func (n *Node) refuse(s *Stream, err error) {
	n.cfg.OnRefused(err)
	_ = s.SendError(err)
}

func (n *Node) route(kind kwagentproto.Kind, peer kwkeys.Identity) (Route, error) {
	for _, r := range n.cfg.Routes {
		if r.Kind != kind {
			continue
		}
		if !slices.Contains(r.Roles, peer.Role) {
			return Route{}, kwcode.New(kwcode.PeerUnknown, "role %q of %s may not send kind %d", peer.Role, peer.Node, kind)
		}
		return r, nil
	}
	return Route{}, kwcode.New(kwcode.UnknownMessage, "message kind %d", kind)
}

// Open opens a stream to a peer; want names the expected node, or is empty for any. A pooled connection may have been closed by
// the peer unnoticed, as one whose certificate it refuses after this side's handshake has ended; a stream that does not
// open on it has carried nothing, and a fresh connection is tried once.
func (n *Node) Open(ctx context.Context, address string, want kwid.NodeID) (*Stream, error) {
	s, closed, err := n.openOnce(ctx, address, want)
	if closed && ctx.Err() == nil {
		s, _, err = n.openOnce(ctx, address, want)
	}
	return s, err
}

// openOnce opens a stream on the pooled connection; closed tells that the connection turned out to be closed.
func (n *Node) openOnce(ctx context.Context, address string, want kwid.NodeID) (s *Stream, closed bool, err error) {
	p, err := n.connect(ctx, address)
	if err != nil {
		return nil, false, err
	}
	if want != "" && p.identity.Node != want {
		return nil, false, kwcode.New(kwcode.PeerUnknown, "%s is %q, want %q", address, p.identity.Node, want)
	}
	raw, err := p.conn.OpenStreamSync(ctx)
	if err != nil {
		n.drop(address, p)
		return nil, true, kwcode.New(kwcode.PeerUnreachable, "open a stream to %s: %v", address, err)
	}
	n.count(p, 1)
	return &Stream{raw: raw, clock: n.cfg.Clock, peer: p.identity, done: func() { n.count(p, -1) }}, false, nil
}

// Call opens a stream, sends one frame and decodes the answer into out.
func (n *Node) Call(ctx context.Context, address string, want kwid.NodeID, kind kwagentproto.Kind, in, out any) error {
	s, err := n.Open(ctx, address, want)
	if err != nil {
		return err
	}
	return s.Call(ctx, kind, in, out)
}

func (n *Node) count(p *pooled, delta int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.streams += delta
	p.used = time.Now()
}

// connect returns the pooled connection to an address, dialing once for all who wait.
func (n *Node) connect(ctx context.Context, address string) (*pooled, error) {
	n.mu.Lock()
	p, ok := n.conns[address]
	if ok && p.broken() {
		delete(n.conns, address)
		ok = false
	}
	if !ok {
		p = &pooled{ready: make(chan struct{}), used: time.Now()}
		n.conns[address] = p
		go n.dial(address, p)
	}
	n.mu.Unlock()
	select {
	case <-p.ready:
		return p, p.err
	case <-ctx.Done():
		return nil, kwcode.New(kwcode.PeerUnreachable, "connect to %s: %v", address, ctx.Err())
	}
}

// settled tells whether the dial has ended.
func (p *pooled) settled() bool {
	select {
	case <-p.ready:
		return true
	default:
		return false
	}
}

func (p *pooled) broken() bool {
	return p.settled() && (p.err != nil || p.conn.Context().Err() != nil)
}

func (n *Node) dial(address string, p *pooled) {
	defer close(p.ready)
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		p.err = kwcode.New(kwcode.PeerUnreachable, "%s: %v", address, err)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	conn, err := n.transport.Dial(ctx, addr, n.cfg.Keys.ClientTLS(Protocol), quicConfig())
	if err != nil {
		p.err = kwcode.New(kwcode.PeerUnreachable, "connect to %s: %v", address, err)
		return
	}
	n.track(conn)
	p.identity, p.err = kwkeys.PeerIdentity(conn.ConnectionState().TLS)
	p.conn = conn
}

func (n *Node) drop(address string, p *pooled) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] == p {
		delete(n.conns, address)
	}
}

// sweep closes connections that carry no stream, so that idle peers cost nothing.
func (n *Node) sweep() {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-tick.C:
			n.closeUnused(now)
		}
	}
}

func (n *Node) closeUnused(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, p := range n.conns {
		if !p.settled() {
			continue
		}
		if p.broken() {
			delete(n.conns, address)
			continue
		}
		if p.streams == 0 && now.Sub(p.used) > unusedTimeout {
			_ = p.conn.CloseWithError(0, "unused")
			delete(n.conns, address)
		}
	}
}

// Wait blocks until no incoming stream is being served, or the context ends.
func (n *Node) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close ends all connections with a close frame.
func (n *Node) Close() {
	_ = n.listener.Close()
	n.cancel()
	_ = n.transport.Close()
	_ = n.socket.Close()
}

// Kill closes the socket without a word to any peer, as a crash of the VM would.
func (n *Node) Kill() {
	_ = n.socket.Close()
	n.cancel()
	_ = n.transport.Close()
}
