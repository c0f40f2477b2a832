package kwquic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwkeys"
)

const loopback = "127.0.0.1:0"

// newKeyIssuer creates a certificate authority and returns a function that issues a node's key with it.
func newKeyIssuer(t testing.TB) func(node kwid.NodeID, role kwkeys.Role) *kwkeys.Store {
	t.Helper()
	folder := t.TempDir()
	now := time.Now()
	if err := kwkeys.CreateAuthority(folder, now); err != nil {
		t.Fatal(err)
	}
	return func(node kwid.NodeID, role kwkeys.Role) *kwkeys.Store {
		t.Helper()
		req := kwkeys.IssueRequest{Folder: folder, Node: node, Role: role, Validity: time.Hour}
		if err := kwkeys.Issue(req, now); err != nil {
			t.Fatal(err)
		}
		store, err := kwkeys.Open(kwkeys.FolderConfig(folder, node))
		if err != nil {
			t.Fatal(err)
		}
		return store
	}
}

// listen starts a node on the loopback interface that is closed at the end of the test.
func listen(t testing.TB, store *kwkeys.Store, routes []Route) *Node {
	t.Helper()
	n, err := Listen(Config{Listen: loopback, Keys: store, Clock: kwhlc.New(kwhlc.Config{}), Routes: routes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// echoRoutes returns a route on which an entry's Fence is answered with the state "echo " and the request's key.
func echoRoutes() []Route {
	return []Route{{
		Kind:  kwagentproto.KindFence,
		Roles: []kwkeys.Role{kwkeys.RoleEntry},
		Handle: func(_ context.Context, first Frame, s *Stream) error {
			var in kwagentproto.Fence
			if err := first.Decode(&in); err != nil {
				return err
			}
			return s.Send(kwagentproto.KindReply, kwagentproto.FenceReply{State: "echo " + in.Scope.Key})
		},
	}}
}

// call sends a Fence as a frame of the given kind and returns the reply.
func call(t testing.TB, from, to *Node, kind kwagentproto.Kind) (kwagentproto.FenceReply, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var in kwagentproto.Fence
	in.Scope.Key = "k"
	var out kwagentproto.FenceReply
	err := from.Call(ctx, to.Address(), "", kind, in, &out)
	return out, err
}

// TestPeerAuthentication requires that a call succeeds only with a key of the same authority, in a role that the route
// admits, for a known message kind and to the expected node.
func TestPeerAuthentication(t *testing.T) {
	issue := newKeyIssuer(t)
	server := listen(t, issue("server", kwkeys.RoleAgent), echoRoutes())
	entry := listen(t, issue("entry", kwkeys.RoleEntry), nil)
	if got, err := call(t, entry, server, kwagentproto.KindFence); err != nil || got.State != "echo k" {
		t.Errorf("got %+v %v, want the echo", got, err)
	}
	if _, err := call(t, entry, server, kwagentproto.KindOrder); !kwcode.Is(err, kwcode.UnknownMessage) {
		t.Errorf("got %v, want %d", err, kwcode.UnknownMessage)
	}
	agent := listen(t, issue("agent", kwkeys.RoleAgent), nil)
	if _, err := call(t, agent, server, kwagentproto.KindFence); !kwcode.Is(err, kwcode.PeerUnknown) {
		t.Errorf("got %v, want %d", err, kwcode.PeerUnknown)
	}
	foreign := listen(t, newKeyIssuer(t)("entry", kwkeys.RoleEntry), nil)
	if _, err := call(t, foreign, server, kwagentproto.KindFence); !kwcode.Is(err, kwcode.PeerUnreachable) {
		t.Errorf("got %v, want %d", err, kwcode.PeerUnreachable)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := entry.Open(ctx, server.Address(), "another"); !kwcode.Is(err, kwcode.PeerUnknown) {
		t.Errorf("got %v, want %d for another node's address", err, kwcode.PeerUnknown)
	}
}

// TestRenewedKey renews an expired key while its node is running: new connections must use the new key.
func TestRenewedKey(t *testing.T) {
	folder := t.TempDir()
	now := time.Now()
	if err := kwkeys.CreateAuthority(folder, now); err != nil {
		t.Fatal(err)
	}
	issue := func(name kwid.NodeID, role kwkeys.Role, validity time.Duration) *kwkeys.Store {
		req := kwkeys.IssueRequest{Folder: folder, Node: name, Role: role, Validity: validity}
		if err := kwkeys.Issue(req, now); err != nil {
			t.Fatal(err)
		}
		store, err := kwkeys.Open(kwkeys.FolderConfig(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		return store
	}
	server := listen(t, issue("server", kwkeys.RoleAgent, time.Hour), echoRoutes())
	entry := listen(t, issue("entry", kwkeys.RoleEntry, -time.Minute), nil)
	if _, err := call(t, entry, server, kwagentproto.KindFence); !kwcode.Is(err, kwcode.PeerUnreachable) {
		t.Errorf("got %v, want %d with an expired key", err, kwcode.PeerUnreachable)
	}
	issue("entry", kwkeys.RoleEntry, time.Hour)
	if got, err := call(t, entry, server, kwagentproto.KindFence); err != nil || got.State != "echo k" {
		t.Errorf("got %+v %v, want the echo after renewal", got, err)
	}
}

// TestMalformedFrames sends 300 frames with random bytes overwritten and one that is too long. Each rejection must
// carry a result code, and the node must still answer afterwards.
func TestMalformedFrames(t *testing.T) {
	issue := newKeyIssuer(t)
	server := listen(t, issue("server", kwkeys.RoleAgent), echoRoutes())
	entry := listen(t, issue("entry", kwkeys.RoleEntry), nil)
	rng := rand.New(rand.NewPCG(5, 6))
	valid, err := encodeFrame(kwhlc.Timestamp{}, kwagentproto.KindFence, kwagentproto.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for range 300 {
		data := append([]byte(nil), valid...)
		for range 1 + rng.IntN(4) {
			data[rng.IntN(len(data))] = byte(rng.IntN(256))
		}
		if sendRaw(t, entry, server, data) != nil {
			rejected++
		}
	}
	if rejected < 100 {
		t.Errorf("got %d of 300 frames rejected, want at least 100", rejected)
	}
	tooLong := []byte{0xff, 0xff, 0xff, 0xff}
	if err := sendRaw(t, entry, server, tooLong); !kwcode.Is(err, kwcode.FrameTooLarge) {
		t.Errorf("got %v, want %d", err, kwcode.FrameTooLarge)
	}
	if got, err := call(t, entry, server, kwagentproto.KindFence); err != nil || got.State != "echo k" {
		t.Errorf("got %+v %v, want the echo afterwards", got, err)
	}
}

// sendRaw sends data on a stream of its own and returns the error of the reply, which must have a specific result code.
func sendRaw(t *testing.T, from, to *Node, data []byte) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	s, err := from.Open(ctx, to.Address(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, _ = s.raw.Write(data)
	s.CloseSend()
	f, err := s.Recv()
	if err != nil {
		t.Fatalf("got %v, want an answer to %x", err, data)
	}
	var out kwagentproto.FenceReply
	err = f.Expect(kwagentproto.KindReply, &out)
	if err != nil && kwcode.FromError(err).Code == kwcode.OperationFailed {
		t.Errorf("got %v, want an error with a specific result code", err)
	}
	return err
}

func FuzzFrame(f *testing.F) {
	valid, err := encodeFrame(kwhlc.Timestamp{}, kwagentproto.KindFence, kwagentproto.Fence{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid[lengthPrefixBytes:])
	f.Fuzz(func(t *testing.T, data []byte) {
		var env envelope
		if err := decodeMode.Unmarshal(data, &env); err != nil {
			return
		}
		var out kwagentproto.Session
		if err := (Frame{Kind: env.Kind, body: env.Body}).Decode(&out); err != nil && !kwcode.Is(err, kwcode.FrameMalformed) {
			t.Errorf("got %v, want %d", err, kwcode.FrameMalformed)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	issue := newKeyIssuer(b)
	server := listen(b, issue("server", kwkeys.RoleAgent), echoRoutes())
	entry := listen(b, issue("entry", kwkeys.RoleEntry), nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := call(b, entry, server, kwagentproto.KindFence); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHandshake(b *testing.B) {
	issue := newKeyIssuer(b)
	server := listen(b, issue("server", kwkeys.RoleAgent), echoRoutes())
	store := issue("entry", kwkeys.RoleEntry)
	for b.Loop() {
		entry, err := Listen(Config{Listen: loopback, Keys: store, Clock: kwhlc.New(kwhlc.Config{})})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := call(b, entry, server, kwagentproto.KindFence); err != nil {
			b.Fatal(err)
		}
		entry.Close()
	}
}

// BenchmarkConnectionMemory reports the heap and stack memory of an idle connection, halved as both sides are in this
// process.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, count := range []int{50, 150, 300} {
		b.Run(fmt.Sprintf("connections-%d", count), func(b *testing.B) {
			issue := newKeyIssuer(b)
			store := issue("server", kwkeys.RoleAgent)
			entry := listen(b, issue("entry", kwkeys.RoleEntry), nil)
			var servers []*Node
			for range count {
				servers = append(servers, listen(b, store, echoRoutes()))
			}
			for b.Loop() {
				before := memoryInUse()
				for _, s := range servers {
					if _, err := call(b, entry, s, kwagentproto.KindFence); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(memoryInUse()-before)/1024/float64(2*count), "KB/side")
			}
		})
	}
}

// memoryInUse returns the heap and stack memory in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
