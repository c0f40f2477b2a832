package kwtcprpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"knapweedproxy/core/kwcode"
)

// slowLink passes connections on to a server and lets its answers pass at a rate.
func slowLink(t *testing.T, server string, bytesPerSecond int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			behind, err := net.Dial("tcp", server)
			if err != nil {
				_ = caller.Close()
				return
			}
			go func() {
				_, _ = io.Copy(behind, caller)
				_ = behind.Close()
			}()
			go func() {
				defer func() { _ = caller.Close() }()
				const slice = 10 * time.Millisecond
				part := make([]byte, bytesPerSecond/100)
				for {
					n, err := behind.Read(part)
					if _, writeErr := caller.Write(part[:n]); err != nil || writeErr != nil {
						return
					}
					time.Sleep(slice * time.Duration(n) / time.Duration(len(part)))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestLargeReplyArrivesOverSlowLink guards against a view with a large declaration that an entry behind a slow link never gets: each call ends
// before the reply is complete, and begins anew.
func TestLargeReplyArrivesOverSlowLink(t *testing.T) {
	t.Parallel()
	const replyBytes, bytesPerSecond = 3_000_000, 20_000_000 / 8
	want := bytes.Repeat([]byte{7}, replyBytes)
	server := startServer(t, map[Kind]Handler{1: func(context.Context, Body) (any, error) { return want, nil }})
	client := NewLeaderClient(NewPool(nil), []string{slowLink(t, server.Address(), bytesPerSecond)})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var got []byte
	if err := client.Call(ctx, 1, nil, &got, 200*time.Millisecond); err != nil || !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, %v, want %d", len(got), err, len(want))
	}
}

// TestSilentPeerTimesOutInTime has a peer stop in the middle of its reply.
func TestSilentPeerTimesOutInTime(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		// The prefix announces a frame of a million bytes, of which some come.
		_, _ = c.Write([]byte{0, 0x0f, 0x42, 0x40, 1, 2, 3})
		_, _ = io.Copy(io.Discard, c)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	begin := time.Now()
	if err := NewPool(nil).Call(ctx, l.Addr().String(), 1, nil, nil); !kwcode.Is(err, kwcode.PeerUnreachable) {
		t.Errorf("got %v, want %d", err, kwcode.PeerUnreachable)
	}
	if d := time.Since(begin); d > time.Second {
		t.Errorf("got an error after %v, want it soon after 300ms", d)
	}
}
