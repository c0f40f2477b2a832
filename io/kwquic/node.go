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
	"knapweedproxy/io/kwtask"
)

// Protocol is the ALPN protocol name. An incompatible change to the frames needs a new name.
const Protocol = "knapweedproxy-1"

// Connection timeouts and periods.
const (
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 6 * time.Second
	keepAlivePeriod  = 2 * time.Second
	// unusedTimeout is how long a connection without streams stays in the pool.
	unusedTimeout = 30 * time.Second
	// sweepPeriod is the interval between two checks for unused connections.
	sweepPeriod = 5 * time.Second
	// firstFrameTimeout bounds the time from accepting a stream to its first frame.
	firstFrameTimeout = 3 * time.Second
)

// maxIncomingStreams limits the open incoming streams of a connection.
const maxIncomingStreams = 1 << 16

// Handler serves one incoming stream, whose first frame has been read. An error that it returns is sent to the peer.
type Handler func(ctx context.Context, first Frame, s *Stream) error

// Route maps the message kind that opens a stream to its handler, and lists the roles that may send it.
type Route struct {
	Kind   kwagentproto.Kind
	Roles  []kwkeys.Role
	Handle Handler
}

// Config configures a Node; Listen is a UDP address with an IP address as its host.
type Config struct {
	Listen string
	// Socket, if set, is used in place of a new socket at Listen. The node closes it when it is closed.
	Socket *net.UDPConn
	Keys   *kwkeys.Store
	Clock  *kwhlc.Clock
	Routes []Route
	// OnRefused, if set, is called with the error of each rejected connection or stream.
	OnRefused func(err error)
}

// Node accepts and dials the connections of one process on a single UDP socket. Dialed connections are pooled by
// address.
type Node struct {
	cfg           Config
	socket        *net.UDPConn
	transport     *quic.Transport
	listener      *quic.Listener
	ctx           context.Context
	cancel        context.CancelFunc
	mu            sync.Mutex
	pool          map[string]*pooledConn
	openConns     map[*quic.Conn]struct{}
	closedTraffic Traffic
	handlers      kwtask.Group
}

// Traffic counts the bytes, including UDP and IP headers, and the packets of a node's connections.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Packets       uint64
}

// packetHeaderBytes is the size of the UDP and IPv4 headers of a packet.
const packetHeaderBytes = 28

func (t Traffic) add(s quic.ConnectionStats) Traffic {
	t.SentBytes += s.BytesSent + packetHeaderBytes*s.PacketsSent
	t.ReceivedBytes += s.BytesReceived + packetHeaderBytes*s.PacketsReceived
	t.Packets += s.PacketsSent + s.PacketsReceived
	return t
}

// Traffic returns the total traffic of all connections of the node, closed ones included.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.closedTraffic
	for conn := range n.openConns {
		out = out.add(conn.ConnectionStats())
	}
	return out
}

// trackTraffic counts a connection's traffic in the node's total, also after the connection has closed.
func (n *Node) trackTraffic(conn *quic.Conn) {
	n.mu.Lock()
	n.openConns[conn] = struct{}{}
	n.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.openConns, conn)
		n.closedTraffic = n.closedTraffic.add(conn.ConnectionStats())
	})
}

// pooledConn is a dialed connection; ready is closed once dialing has ended, which sets conn and identity or err.
type pooledConn struct {
	conn        *quic.Conn
	identity    kwkeys.Identity
	openStreams int
	lastUsed    time.Time
	ready       chan struct{}
	err         error
}

// Listen opens the socket and starts serving. It returns ListenFailed if it cannot listen at the address.
func Listen(cfg Config) (*Node, error) {
	if cfg.OnRefused == nil {
		cfg.OnRefused = func(error) {}
	}
	socket := cfg.Socket
	if socket == nil {
		addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
		if err != nil {
			return nil, kwcode.New(kwcode.ListenFailed, "%s: %v", cfg.Listen, err)
		}
		if socket, err = net.ListenUDP("udp", addr); err != nil {
			return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
		}
	}
	n := &Node{cfg: cfg, socket: socket, pool: make(map[string]*pooledConn), openConns: make(map[*quic.Conn]struct{})}
	n.transport = &quic.Transport{Conn: socket}
	var err error
	n.listener, err = n.transport.Listen(cfg.Keys.ServerTLS(Protocol), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, kwcode.New(kwcode.ListenFailed, "%s: %v", cfg.Listen, err)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	go n.accept()
	go n.closeUnusedPeriodically()
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlivePeriod,
		MaxIncomingStreams:    maxIncomingStreams,
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
		go n.serveConn(conn)
	}
}

// serveConn verifies the peer and handles its streams until the connection ends.
func (n *Node) serveConn(conn *quic.Conn) {
	n.trackTraffic(conn)
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
		n.handlers.Go(func() { n.handleStream(s) })
	}
}

// handleStream reads the first frame, runs its handler and then closes the stream.
func (n *Node) handleStream(s *Stream) {
	defer s.Close()
	first, err := s.RecvUntil(time.Now().Add(firstFrameTimeout))
	if err != nil {
		n.rejectStream(s, err)
		return
	}
	route, err := n.findRoute(first.Kind, s.peer)
	if err != nil {
		n.rejectStream(s, err)
		return
	}
	ctx, cancel := context.WithCancel(s.raw.Context())
	defer cancel()
	if err := route.Handle(ctx, first, s); err != nil {
		_ = s.SendError(err)
	}
}

func (n *Node) rejectStream(s *Stream, err error) {
	n.cfg.OnRefused(err)
	_ = s.SendError(err)
}

// findRoute returns the route of a message kind if the peer's role may send it.
func (n *Node) findRoute(kind kwagentproto.Kind, peer kwkeys.Identity) (Route, error) {
	for _, r := range n.cfg.Routes {
		if r.Kind != kind {
			continue
		}
		if !slices.Contains(r.Roles, peer.Role) {
			return Route{}, kwcode.New(kwcode.PeerUnknown, "role %q of %s may not send message kind %d", peer.Role, peer.Node, kind)
		}
		return r, nil
	}
	return Route{}, kwcode.New(kwcode.UnknownMessage, "no handler for message kind %d", kind)
}

// Open opens a stream to a peer; want is the expected node, or empty for any. The peer may have closed a pooled
// connection, for example because it rejected the certificate after the handshake had ended on this side. As no data was
// sent on a stream that failed to open, Open then tries once more on a new connection.
func (n *Node) Open(ctx context.Context, address string, want kwid.NodeID) (*Stream, error) {
	s, closed, err := n.openOnce(ctx, address, want)
	if closed && ctx.Err() == nil {
		s, _, err = n.openOnce(ctx, address, want)
	}
	return s, err
}

// openOnce opens a stream on the pooled connection; closed reports that the connection turned out to be closed.
func (n *Node) openOnce(ctx context.Context, address string, want kwid.NodeID) (s *Stream, closed bool, err error) {
	p, err := n.connect(ctx, address)
	if err != nil {
		return nil, false, err
	}
	if want != "" && p.identity.Node != want {
		return nil, false, kwcode.New(kwcode.PeerUnknown, "%s is node %q, want %q", address, p.identity.Node, want)
	}
	raw, err := p.conn.OpenStreamSync(ctx)
	if err != nil {
		n.removeFromPool(address, p)
		return nil, true, kwcode.New(kwcode.PeerUnreachable, "open a stream to %s: %v", address, err)
	}
	n.addStreams(p, 1)
	return &Stream{raw: raw, clock: n.cfg.Clock, peer: p.identity, onClose: func() { n.addStreams(p, -1) }}, false, nil
}

// Call opens a stream, sends one frame and decodes the reply into out.
func (n *Node) Call(ctx context.Context, address string, want kwid.NodeID, kind kwagentproto.Kind, in, out any) error {
	s, err := n.Open(ctx, address, want)
	if err != nil {
		return err
	}
	return s.Call(ctx, kind, in, out)
}

// addStreams changes the number of open streams of a pooled connection by delta.
func (n *Node) addStreams(p *pooledConn, delta int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.openStreams += delta
	p.lastUsed = time.Now()
}

// connect returns the pooled connection to an address, or dials one. Concurrent callers share one dial.
func (n *Node) connect(ctx context.Context, address string) (*pooledConn, error) {
	n.mu.Lock()
	p, ok := n.pool[address]
	if ok && p.broken() {
		delete(n.pool, address)
		ok = false
	}
	if !ok {
		p = &pooledConn{ready: make(chan struct{}), lastUsed: time.Now()}
		n.pool[address] = p
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

// dialed reports whether dialing has ended, with or without success.
func (p *pooledConn) dialed() bool {
	select {
	case <-p.ready:
		return true
	default:
		return false
	}
}

// broken reports whether dialing has failed or the connection has closed.
func (p *pooledConn) broken() bool {
	return p.dialed() && (p.err != nil || p.conn.Context().Err() != nil)
}

func (n *Node) dial(address string, p *pooledConn) {
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
	n.trackTraffic(conn)
	p.identity, p.err = kwkeys.PeerIdentity(conn.ConnectionState().TLS)
	p.conn = conn
}

func (n *Node) removeFromPool(address string, p *pooledConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pool[address] == p {
		delete(n.pool, address)
	}
}

// closeUnusedPeriodically closes pooled connections that have had no stream for unusedTimeout, so that idle peers use
// no resources.
func (n *Node) closeUnusedPeriodically() {
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

// closeUnused removes broken connections from the pool and closes unused ones.
func (n *Node) closeUnused(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, p := range n.pool {
		if !p.dialed() {
			continue
		}
		if p.broken() {
			delete(n.pool, address)
			continue
		}
		if p.openStreams == 0 && now.Sub(p.lastUsed) > unusedTimeout {
			_ = p.conn.CloseWithError(0, "unused")
			delete(n.pool, address)
		}
	}
}

// Wait blocks until no incoming stream is being handled, or the context ends.
func (n *Node) Wait(ctx context.Context) { n.handlers.Wait(ctx) }

// Close closes all connections gracefully and notifies the peers.
func (n *Node) Close() {
	_ = n.listener.Close()
	n.cancel()
	_ = n.transport.Close()
	_ = n.socket.Close()
}

// Kill closes the socket without notifying the peers, as in a crash of the VM.
func (n *Node) Kill() {
	_ = n.socket.Close()
	n.cancel()
	_ = n.transport.Close()
}
