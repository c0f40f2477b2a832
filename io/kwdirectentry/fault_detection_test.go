package kwdirectentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwupstream"
)

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// setModels replaces the model servers of a gate.
func setModels(g *Gateway, models ...kwmembership.Announcement) {
	v := *g.view.Load()
	v.endpoints = make(map[kwid.EndpointID]kwmembership.RosterRow)
	for _, a := range models {
		a.Service, a.Zone, a.Accelerator = "llm", "a", "fast"
		v.endpoints[a.ID] = kwmembership.RosterRow{State: kwmembership.Live, Announcement: a}
	}
	v.group()
	g.view.Store(&v)
	g.chooser.update(&v, nil)
}

// TestStreamLeavesALostStage replays the crash of the second stage of a chain in the middle of a stream: the first stage
// keeps its connection open and says nothing, and the stream goes on elsewhere as soon as the second stage is found to
// refuse connections, long before the route's pause objective of 10 s has passed.
func TestStreamLeavesALostStage(t *testing.T) {
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	first := serveRaw(t, func(w io.Writer, id string) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n", id)
		<-silent
		return false
	})
	whole := serveRaw(t, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := testGate(t, first, "127.0.0.1:1")
	lost := kwmembership.Announcement{ID: "lost", Address: closedAddress(t), Layers: kwid.LayerRange{From: 4, To: 8}}
	setModels(g, kwmembership.Announcement{ID: "first", Address: first, Layers: kwid.LayerRange{To: 4}}, lost)
	time.AfterFunc(10*time.Millisecond, func() {
		setModels(g, kwmembership.Announcement{ID: "first", Address: first, Layers: kwid.LayerRange{To: 4}}, lost,
			kwmembership.Announcement{ID: "whole", Address: whole, Layers: kwid.LayerRange{To: 8}})
	})
	client := &http.Client{Timeout: 8 * time.Second}
	status, body := ask(t, client, g, "/notes/x", "q1")
	if want := "id: 1\n\nid: 2\n\n"; status != http.StatusOK || body != want {
		t.Errorf("got %d %q, want %q", status, body, want)
	}
	if !g.chooser.eject.Ejected(time.Now(), "lost") {
		t.Error("the stage that refuses connections is not ejected")
	}
	if g.chooser.eject.Ejected(time.Now(), "first") {
		t.Error("the sound first stage is ejected")
	}
}

// TestSilentAlone replays an entry that is cut off: no endpoint answers, and none is blamed for it.
func TestSilentAlone(t *testing.T) {
	g := testGate(t, closedAddress(t), "127.0.0.1:1")
	g.cancel()
	g.judge([]kwchainsearch.Stage{{Endpoint: "m", Address: "127.0.0.1:1", Layers: kwid.LayerRange{To: 8}}})
	if g.chooser.eject.Ejected(time.Now(), "m") {
		t.Error("got an endpoint blamed by a gate that reaches none, want none")
	}
}

func TestProbe(t *testing.T) {
	open := serveRaw(t, func(io.Writer, string) bool { return false })
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		address string
		want    kwchainsearch.ConnectResult
	}{
		{"open", t.Context(), open, kwchainsearch.Connected},
		{"refused", t.Context(), closedAddress(t), kwchainsearch.Refused},
		{"no answer", gone, open, kwchainsearch.Unresponsive},
	}
	for _, c := range cases {
		if got := kwupstream.Probe(c.ctx, c.address); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestServerThatBreaksOffIsLeft replays a first server that takes every connection, resets it before the first event, and
// whose report shows nothing: streams go on elsewhere, and soon none is sent there any more.
func TestServerThatBreaksOffIsLeft(t *testing.T) {
	var tries atomic.Int32
	bad := serveRaw(t, func(io.Writer, string) bool {
		tries.Add(1)
		return false
	})
	good := serveRaw(t, func(w io.Writer, id string) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", id)
		return err == nil
	})
	g := testGate(t, bad, "127.0.0.1:1")
	setModels(g, kwmembership.Announcement{ID: "bad", Address: bad, Layers: kwid.LayerRange{To: 8}},
		kwmembership.Announcement{ID: "good", Address: good, Layers: kwid.LayerRange{To: 8}})
	for i := range 20 {
		if status, body := ask(t, http.DefaultClient, g, "/notes/x", fmt.Sprint("q", i)); status != http.StatusOK || body != "id: 1\n\n" {
			t.Errorf("got %d %q, want the whole stream", status, body)
		}
	}
	if got := tries.Load(); got > 3 {
		t.Errorf("got %d streams sent to the server that breaks off all of them, want 3 at most", got)
	}
}

// TestOldReportSparesTheNextAttempt replays a report that still names an endpoint which a request's stream has left already: its
// next attempt, over another chain, goes on.
func TestOldReportSparesTheNextAttempt(t *testing.T) {
	address := serveRaw(t, func(io.Writer, string) bool { return true })
	conn, err := kwupstream.NewPool().Get(t.Context(), address, true)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var a active
	chain := kwchainsearch.Chain{Stages: []kwchainsearch.Stage{{Endpoint: "first"}, {Endpoint: "second"}}}
	w := a.watch("q1", conn, chain, patience{probe: time.Hour, ask: time.Hour}, silenceActions{})
	defer a.leave("q1", w)
	a.breakOff("q1", "lost")
	if got := a.blamed(w); got != "" {
		t.Errorf("got the attempt ended for %q, which its chain does not use", got)
	}
	a.breakOff("q1", "second")
	if got := a.blamed(w); got != "second" {
		t.Errorf("got %q blamed, want second", got)
	}
}
