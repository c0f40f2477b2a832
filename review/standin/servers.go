package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// recordsServer is a server of the records service.
type recordsServer struct {
	announcer
	work     time.Duration
	listener net.Listener

	mu   sync.Mutex
	runs int
}

// startRecords starts a sound server at a loopback address and its heartbeats.
func startRecords(p *platform, n int) (*recordsServer, error) {
	return startRecordsWith(p, n, func(s *recordsServer) { _ = http.Serve(s.listener, s) })
}

// startRecordsWith is startRecords for a server that accepts channels in a way of its own.
func startRecordsWith(p *platform, n int, serve func(*recordsServer)) (*recordsServer, error) {
	address := net.JoinHostPort(p.ip(100+n), strconv.Itoa(serverPort))
	s := &recordsServer{
		announcer: newAnnouncer(p, fmt.Sprintf("i-records%d", n), "records", zoneOf(n), address, func() map[string]any { return map[string]any{"slots": 6} }),
		work:      15 * time.Millisecond,
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
	s.recordRun()
	time.Sleep(s.work)
	w.Header().Set("X-Knapweedproxy-Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// recordRun counts the run of a request and returns the number of runs.
func (s *recordsServer) recordRun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	return s.runs
}

func (s *recordsServer) close() {
	s.stopHeartbeats()
	_ = s.listener.Close()
}
