package kwtcprpc

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
)

const (
	kindEcho         Kind = 1
	kindUnregistered Kind = 2
	kindLead         Kind = 3
)

func startServer(t *testing.T, handlers map[Kind]Handler) *Server {
	t.Helper()
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Handlers: handlers})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	return s
}

func echo(_ context.Context, b Body) (any, error) {
	var s string
	err := b.Decode(&s)
	return s, err
}

func TestCall(t *testing.T) {
	s := startServer(t, map[Kind]Handler{kindEcho: echo})
	p := NewPool(nil)
	defer p.Close()
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want := string(rune('a' + i))
			var got string
			if err := p.Call(t.Context(), s.Address(), kindEcho, want, &got); err != nil || got != want {
				t.Errorf("got %q, %v, want %q", got, err, want)
			}
		}()
	}
	wg.Wait()
	err := p.Call(t.Context(), s.Address(), kindUnregistered, "", nil)
	if !kwcode.Is(err, kwcode.UnknownMessage) {
		t.Errorf("unregistered kind: got %v, want %v", err, kwcode.UnknownMessage)
	}
}

// TestSilentPeer calls a peer that accepts connections and never replies: each call ends with its context, and the next
// call opens a new connection instead of reusing the unresponsive one.
func TestSilentPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	p := NewPool(nil)
	defer p.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		err := p.Call(ctx, l.Addr().String(), kindEcho, "x", nil)
		cancel()
		if !kwcode.Is(err, kwcode.PeerUnreachable) {
			t.Errorf("got %v, want %v", err, kwcode.PeerUnreachable)
		}
	}
	if got := len(accepted); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestDeadLeaderCooldown has the members name an unresponsive leader until they have elected another one. The client
// must find the new leader soon after the election, and not spend its time on calls to the dead leader.
func TestDeadLeaderCooldown(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	var elected atomic.Bool
	member := func(name string) *Server {
		return startServer(t, map[Kind]Handler{kindLead: func(context.Context, Body) (any, error) {
			if elected.Load() {
				return name, nil
			}
			return nil, kwcode.New(kwcode.NotLeader, "another process leads").WithEndpoint(silent.Addr().String())
		}})
	}
	p := NewPool(nil)
	defer p.Close()
	l := NewLeaderClient(p, []string{member("a").Address(), member("b").Address(), silent.Addr().String()})
	l.SetHint(silent.Addr().String())
	const electionTime = 1200 * time.Millisecond
	time.AfterFunc(electionTime, func() { elected.Store(true) })
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := l.Call(ctx, kindLead, nil, new(string), 0); err != nil {
		t.Fatal(err)
	}
	if elapsed, limit := time.Since(start), electionTime+300*time.Millisecond; elapsed > limit {
		t.Errorf("found the new leader after %v, want %v at most", elapsed, limit)
	}
}

// TestLeaderDiscovery starts from the addresses of a dead process and of a follower that names the leader.
func TestLeaderDiscovery(t *testing.T) {
	leader := startServer(t, map[Kind]Handler{kindLead: func(context.Context, Body) (any, error) { return "led", nil }})
	follower := startServer(t, map[Kind]Handler{kindLead: func(context.Context, Body) (any, error) {
		return nil, kwcode.New(kwcode.NotLeader, "another process leads").WithEndpoint(leader.Address())
	}})
	dead := startServer(t, nil)
	dead.Close()
	p := NewPool(nil)
	defer p.Close()
	l := NewLeaderClient(p, []string{dead.Address(), follower.Address()})
	for range 2 {
		var got string
		if err := l.Call(t.Context(), kindLead, nil, &got, 0); err != nil || got != "led" {
			t.Fatalf("got %q, %v, want led", got, err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	isolated := NewLeaderClient(p, []string{dead.Address()})
	if err := isolated.Call(ctx, kindLead, nil, nil, 0); !kwcode.Is(err, kwcode.PeerUnreachable) {
		t.Errorf("with only a dead process: got %v, want %v", err, kwcode.PeerUnreachable)
	}
}

// exhaustedListener fails its first accepts as if no file descriptors were left.
type exhaustedListener struct {
	net.Listener
	failures int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeRetriesWithoutFileDescriptors guards against a server that ends when accept fails with EMFILE.
func TestServeRetriesWithoutFileDescriptors(t *testing.T) {
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Handlers: map[Kind]Handler{kindEcho: echo}})
	if err != nil {
		t.Fatal(err)
	}
	s.listener = &exhaustedListener{Listener: s.listener, failures: 3}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	p := NewPool(nil)
	defer p.Close()
	var got string
	if err := p.Call(t.Context(), s.Address(), kindEcho, "hello", &got); err != nil || got != "hello" {
		t.Errorf("got %q, %v, want the echo", got, err)
	}
	s.Close()
	if err := <-ended; err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

// TestCooldownLength has a call to an address fail, and then another process name that address as the leader. The
// address is tried again only after twice the time that the failed call took, or maxCooldown if that is less.
func TestCooldownLength(t *testing.T) {
	unreachable := kwcode.New(kwcode.PeerUnreachable, "lost")
	notLeader := kwcode.New(kwcode.NotLeader, "another process leads").WithEndpoint("leader")
	cases := []struct {
		name          string
		elapsed, wait time.Duration
		want          string
	}{
		{"connection refused, hint 1 ms later", 0, time.Millisecond, "leader"},
		{"connection timed out, hint 1 s later", dialTimeout, time.Second, "leader"},
		{"connection timed out, hint during the cooldown", dialTimeout, dialTimeout, "other"},
		{"call timed out, hint during the cooldown", attemptTimeout, time.Second, "other"},
		{"call timed out, hint 2 s later", attemptTimeout, 2 * time.Second, "leader"},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		l := NewLeaderClient(nil, []string{"other"})
		l.now = func() time.Time { return now }
		l.recordFailure("leader", unreachable, c.elapsed)
		now = now.Add(c.wait)
		l.recordFailure("other", notLeader, 0)
		if got, _ := l.nextAddress(); got != c.want {
			t.Errorf("%s: next address: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestTrafficCountsBothSides compares the bytes that the two sides of a connection count, by kind.
func TestTrafficCountsBothSides(t *testing.T) {
	names := map[Kind]string{kindEcho: "echo"}
	server, client := metrics.NewRegistry(), metrics.NewRegistry()
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Handlers: map[Kind]Handler{kindEcho: echo}, Traffic: NewTraffic(server, names)})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	defer s.Close()
	p := NewPool(NewTraffic(client, names))
	defer p.Close()
	const text = "some text"
	for range 10 {
		var got string
		if err := p.Call(t.Context(), s.Address(), kindEcho, text, &got); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Call(t.Context(), s.Address(), kindUnregistered, text, nil); err == nil {
		t.Fatal("a call without a handler succeeded")
	}
	count := func(r metrics.Registry, name string) int64 { return metrics.GetOrRegisterCounter(name, r).Count() }
	for _, name := range []string{"echo", "other"} {
		sent, received := count(client, "control.bytes."+name+".sent"), count(server, "control.bytes."+name+".received")
		if sent != received || sent < int64(len(text)) {
			t.Errorf("%s requests: got %d bytes sent and %d received, want the same", name, sent, received)
		}
		// The server counts a reply after its write, which the client may have read before.
		if got := count(client, "control.bytes."+name+".received"); got < 10 {
			t.Errorf("%s replies: got %d bytes received", name, got)
		}
	}
}

// TestHandlerThatPanicsFailsItsCall guards against one odd message that ends the process.
func TestHandlerThatPanicsFailsItsCall(t *testing.T) {
	s := startServer(t, map[Kind]Handler{
		kindEcho: echo,
		kindLead: func(context.Context, Body) (any, error) { panic("odd message") },
	})
	p := NewPool(nil)
	defer p.Close()
	if err := p.Call(t.Context(), s.Address(), kindLead, "", nil); !kwcode.Is(err, kwcode.OperationFailed) {
		t.Errorf("call that panics: got %v, want %v", err, kwcode.OperationFailed)
	}
	var got string
	if err := p.Call(t.Context(), s.Address(), kindEcho, "x", &got); err != nil || got != "x" {
		t.Errorf("next call: got %q, %v, want x", got, err)
	}
}

// TestCloseBesideAccept guards against a connection that stays open after Close, as it was accepted meanwhile.
func TestCloseBesideAccept(t *testing.T) {
	const (
		rounds, dialers = 300, 4
		closedWithin    = 20 * time.Second
		// A listener that closes can drop the packet that completes a connection; only a probe tells its client.
		probeAfter = time.Second
	)
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter}}
	for range rounds {
		s := startServer(t, map[Kind]Handler{kindEcho: echo})
		var wg sync.WaitGroup
		for range dialers {
			wg.Go(func() {
				c, err := dialer.Dial("tcp", s.Address())
				if err != nil {
					return
				}
				defer c.Close()
				_ = c.SetReadDeadline(time.Now().Add(closedWithin))
				if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("a connection that was accepted beside Close: still open after %v", closedWithin)
				}
			})
		}
		s.Close()
		wg.Wait()
		if t.Failed() {
			return
		}
	}
}

// TestIdleConnectionsLeaveTheMemoryToFrames guards against idle connections that lower the even share of the memory for calls: large frames
// would be refused for them while the memory is used up.
func TestIdleConnectionsLeaveTheMemoryToFrames(t *testing.T) {
	const (
		idle            = 50
		givenBackWithin = 10 * time.Second
	)
	budget := kwbuffer.New(1 << 20)
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Handlers: map[Kind]Handler{kindEcho: echo}, Buffers: budget})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	defer s.Close()
	for range idle {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	p := NewPool(nil)
	defer p.Close()
	var got string
	if err := p.Call(t.Context(), s.Address(), kindEcho, "x", &got); err != nil || got != "x" {
		t.Fatalf("got %q, %v, want x", got, err)
	}
	// A call gives back its memory after its reply has been sent, so that its caller can be faster.
	for deadline := time.Now().Add(givenBackWithin); budget.Usage().Used > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v after the call's reply: got %d bytes held, want 0", givenBackWithin, budget.Usage().Used)
		}
	}
	account := budget.Open()
	defer account.Close()
	if err := account.Grow(budget.Size() - 1); err != nil {
		t.Fatal(err)
	}
	other := budget.Open()
	defer other.Close()
	if err := other.Grow(budget.Size() / 4); err != nil {
		t.Errorf("beside %d idle connections: got %v, want a quarter of the memory", idle, err)
	}
}
