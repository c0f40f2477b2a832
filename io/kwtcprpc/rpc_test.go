package kwtcprpc

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
)

const (
	kindEcho Kind = 1
	kindHang Kind = 2
	kindLead Kind = 3
)

func listen(t *testing.T, handlers map[Kind]Handler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", handlers)
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

func TestCalls(t *testing.T) {
	s := listen(t, map[Kind]Handler{kindEcho: echo})
	p := NewPool()
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
	err := p.Call(t.Context(), s.Address(), kindHang, "", nil)
	if !kwcode.Is(err, kwcode.UnknownMessage) {
		t.Errorf("an unknown kind: got %v, want %v", err, kwcode.UnknownMessage)
	}
}

// TestSilentPeer leaves a connection without an answer: the call ends with its context, and the next one opens
// another connection.
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
	p := NewPool()
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

// TestDeadLeaderIsShunned has the members name a leader that has fallen silent, until they have elected another: the client
// finds that one soon after, though the dead one is named to it again and again.
func TestDeadLeaderIsShunned(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	var elected atomic.Bool
	member := func(name string) *Server {
		return listen(t, map[Kind]Handler{kindLead: func(context.Context, Body) (any, error) {
			if elected.Load() {
				return name, nil
			}
			return nil, kwcode.New(kwcode.NotLeader, "another leads").WithEndpoint(silent.Addr().String())
		}})
	}
	p := NewPool()
	defer p.Close()
	l := NewLeaderClient(p, []string{member("a").Address(), member("b").Address(), silent.Addr().String()})
	l.Hint(silent.Addr().String())
	const electionTime = 1200 * time.Millisecond
	time.AfterFunc(electionTime, func() { elected.Store(true) })
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := l.Call(ctx, kindLead, nil, new(string), 0); err != nil {
		t.Fatal(err)
	}
	if took, most := time.Since(begin), electionTime+300*time.Millisecond; took > most {
		t.Errorf("the next leader was found after %v, want %v at most", took, most)
	}
}

// TestLeaderIsFound begins with a dead process and one that names the leader.
func TestLeaderIsFound(t *testing.T) {
	leads := listen(t, map[Kind]Handler{kindLead: func(context.Context, Body) (any, error) { return "led", nil }})
	follows := listen(t, map[Kind]Handler{kindLead: func(context.Context, Body) (any, error) {
		return nil, kwcode.New(kwcode.NotLeader, "another leads").WithEndpoint(leads.Address())
	}})
	dead := listen(t, nil)
	dead.Close()
	p := NewPool()
	defer p.Close()
	l := NewLeaderClient(p, []string{dead.Address(), follows.Address()})
	for range 2 {
		var got string
		if err := l.Call(t.Context(), kindLead, nil, &got, 0); err != nil || got != "led" {
			t.Fatalf("got %q, %v, want led", got, err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	lost := NewLeaderClient(p, []string{dead.Address()})
	if err := lost.Call(ctx, kindLead, nil, nil, 0); !kwcode.Is(err, kwcode.PeerUnreachable) {
		t.Errorf("without a live process: got %v, want %v", err, kwcode.PeerUnreachable)
	}
}

// shortListener has no descriptor left for its first connections.
type shortListener struct {
	net.Listener
	short int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.short > 0 {
		l.short--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesAWantOfDescriptors has accepts fail for want of descriptors: the server goes on.
func TestServerOutlivesAWantOfDescriptors(t *testing.T) {
	s, err := Listen("127.0.0.1:0", map[Kind]Handler{kindEcho: echo})
	if err != nil {
		t.Fatal(err)
	}
	s.listener = &shortListener{Listener: s.listener, short: 3}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	p := NewPool()
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

// TestShunningFollowsTheCost has an address fail in several ways, and then be named as the leader by another process: it is
// taken up again after twice the time that its failure took.
func TestShunningFollowsTheCost(t *testing.T) {
	lost := kwcode.New(kwcode.PeerUnreachable, "lost")
	named := kwcode.New(kwcode.NotLeader, "another leads").WithEndpoint("leader")
	cases := []struct {
		name        string
		took, after time.Duration
		want        string
	}{
		{"refused, started a moment later", 0, time.Millisecond, "leader"},
		{"no answer to a connection, back soon", dialTimeout, time.Second, "leader"},
		{"no answer to a connection, at once", dialTimeout, dialTimeout, "other"},
		{"no answer to a call, soon", tryTimeout, time.Second, "other"},
		{"no answer to a call, long ago", tryTimeout, 2 * time.Second, "leader"},
	}
	for _, c := range cases {
		now := time.Unix(1000, 0)
		l := NewLeaderClient(nil, []string{"other"})
		l.now = func() time.Time { return now }
		l.follow("leader", lost, c.took)
		now = now.Add(c.after)
		l.follow("other", named, 0)
		if got, _ := l.pick(); got != c.want {
			t.Errorf("%s: got %q tried next, want %q", c.name, got, c.want)
		}
	}
}
