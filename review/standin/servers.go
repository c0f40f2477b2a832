package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// recordsServer is a sound server of the records service.
type recordsServer struct {
	id, zone, address string
	platform          *platform
	born              int64
	seq               atomic.Int64
	work              time.Duration
	listener          net.Listener
	done              chan struct{}

	mu    sync.Mutex
	runs  int
	state string
	// lateFrom is the time from which requests are late, late lists those that are.
	lateFrom time.Time
	late     []string
}

// startRecords starts a sound server at a loopback address and its heartbeats.
func startRecords(p *platform, n int) (*recordsServer, error) {
	return startRecordsWith(p, n, func(s *recordsServer) { _ = http.Serve(s.listener, s) })
}

// startRecordsWith is startRecords for a server that accepts channels in a way of its own.
func startRecordsWith(p *platform, n int, serve func(*recordsServer)) (*recordsServer, error) {
	s := &recordsServer{
		id: fmt.Sprintf("i-records%d", n), zone: fmt.Sprintf("zone-%c", 'a'+(n-1)%3), platform: p, born: time.Now().UnixMilli(),
		address: net.JoinHostPort(p.ip(100+n), strconv.Itoa(serverPort)), work: 15 * time.Millisecond, state: "ready", done: make(chan struct{}),
	}
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return nil, err
	}
	go serve(s)
	go s.sendHeartbeats()
	return s, nil
}

// ServeHTTP runs a request.
func (s *recordsServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Knapweedproxy-Request-Id")
	w.Header().Set("X-Knapweedproxy-Request-Id", id)
	w.Header().Set("X-Knapweedproxy-Instance-Id", s.id)
	w.Header().Set("X-Knapweedproxy-Server-Load", "1,0,6")
	if r.URL.Path == "/healthz" {
		return
	}
	if want := r.Header.Get("X-Knapweedproxy-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.recordRun(id)
	time.Sleep(s.work)
	w.Header().Set("X-Knapweedproxy-Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// recordRun counts the run of a request.
func (s *recordsServer) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if !s.lateFrom.IsZero() && time.Now().After(s.lateFrom) {
		s.late = append(s.late, id)
	}
}

func (s *recordsServer) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// markLate has the requests from a time on count as late.
func (s *recordsServer) markLate(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateFrom = from
}

func (s *recordsServer) lateRuns() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// setState sets the state that the next heartbeats announce.
func (s *recordsServer) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// sendHeartbeats announces the server until it is closed.
func (s *recordsServer) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.heartbeat()
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
	}
}

// heartbeat announces the server to the first control process that confirms it, and reports whether one has.
func (s *recordsServer) heartbeat() bool {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": "records", "addr": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0,
		"seq": s.seq.Add(1), "born": s.born,
	})
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, seed := range s.platform.seeds {
		resp, err := client.Post("http://"+seed+"/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (s *recordsServer) close() {
	close(s.done)
	_ = s.listener.Close()
}
