package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	plainServers       = 7
	plainEvents        = 30
	plainEventHalf     = 20 * time.Millisecond
	plainStreams       = 600
	plainStreamPause   = 12 * time.Millisecond
	plainCrashAfter    = 4 * time.Second
	plainStreamTimeout = 20 * time.Second
)

// plainStreamCut has one of seven plain servers crash while it answers streams. Its answers have no length and end with their channels, as
// those of the other servers, and the crash cuts some of them in the middle of an event.
func plainStreamCut(f *fleet, trouble bool) (string, error) {
	streams := &cutStreams{fleet: f, whole: make(map[string]string)}
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	for i := range plainServers {
		s, err := startServer(f, serverConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "notes", zone: f.machines[i%3].zone, address: fmt.Sprintf("127.61.%d.%d:0", i%3+1, 20+i),
			fault: streams.answer,
		})
		if err != nil {
			return "", err
		}
		servers = append(servers, s)
	}
	r := route("notes", "/notes/", "streaming", "notes", 500, 20000, 2)
	r["sticky"], r["resumable"], r["gap_slo_ms"] = true, true, 200
	if err := replaceManifest(f, manifest(1, []object{r}, []object{plainService("notes")}), 20*time.Second); err != nil {
		return "", err
	}
	if err := awaitReady(f, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		time.AfterFunc(plainCrashAfter, func() {
			streams.cut(servers[0])
			servers[0].crash()
		})
	}
	var clients sync.WaitGroup
	answers := make(chan answer, plainStreams)
	for i := range plainStreams {
		clients.Go(func() {
			answers <- send(f, f.machines[i%len(f.machines)], fmt.Sprintf("%016x", 0x3000+i), "/notes/2f", plainStreamTimeout, nil)
		})
		time.Sleep(plainStreamPause)
	}
	clients.Wait()
	close(answers)
	return streams.judge(answers)
}

// cutStreams knows what the servers have sent of each stream.
type cutStreams struct {
	fleet *fleet
	mu    sync.Mutex
	// whole holds the answers of the streams that were sent to the end, by the id of the request.
	whole map[string]string
	// open are the channels of the streams of each server.
	open map[string][]net.Conn
}

// answer sends a stream of events without a length, each in two halves, and ends the channel.
func (c *cutStreams) answer(s *server, w http.ResponseWriter, r *http.Request, _ int) bool {
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	c.mu.Lock()
	if c.open == nil {
		c.open = make(map[string][]net.Conn)
	}
	c.open[s.cfg.id] = append(c.open[s.cfg.id], conn)
	c.mu.Unlock()
	id := r.Header.Get("X-Knapweedproxy-Request-Id")
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n")
	for _, name := range []string{"X-Knapweedproxy-Request-Id", "X-Knapweedproxy-Response-Stamp", "X-Knapweedproxy-Server-Load"} {
		fmt.Fprintf(&head, "%s: %s\r\n", name, w.Header().Get(name))
	}
	head.WriteString("\r\n")
	sent := ""
	if !c.write(rw.Writer, head.String()) {
		return true
	}
	for n := 1; n <= plainEvents; n++ {
		first, second := fmt.Sprintf("id: %d\ndata: pie", n), fmt.Sprintf("ce %d\n\n", n)
		if !c.write(rw.Writer, first) || !c.write(rw.Writer, second) {
			return true
		}
		sent += first + second
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole[id] = sent
	return true
}

// write sends a part of a stream and pauses.
func (c *cutStreams) write(w *bufio.Writer, part string) bool {
	_, err := w.WriteString(part)
	if err == nil {
		err = w.Flush()
	}
	time.Sleep(plainEventHalf)
	return err == nil
}

// cut ends the channels of a server as its crash does: nothing that it has received is unread, so that they end without a reset.
func (c *cutStreams) cut(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open[s.cfg.id] {
		_ = conn.Close()
	}
}

// judge checks that no answer that looks complete ends within an event.
func (c *cutStreams) judge(answers <-chan answer) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, cut, first := 0, 0, ""
	for a := range answers {
		switch {
		case a.err != nil || a.status != http.StatusOK:
		case a.body == c.whole[a.id]:
			served++
		case !strings.HasSuffix(a.body, "\n\n"):
			if cut++; first == "" {
				first = fmt.Sprintf("stream %s ends as complete with %q", a.id, a.body[max(0, len(a.body)-40):])
			}
		}
	}
	c.fleet.record.printf("%d of %d streams were served whole, %d ended as complete within an event", served, plainStreams, cut)
	if served < plainStreams*9/10 {
		return "", fmt.Errorf("only %d of %d streams were served", served, plainStreams)
	}
	if cut > 0 {
		return fmt.Sprintf("ORDER: %d streams ended as complete before their last piece; %s", cut, first), nil
	}
	return "", nil
}
