package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service. It behaves as the pages say and records what it runs.
type server struct {
	id, service, zone string
	controls          []string
	record            *record
	listener          net.Listener
	http              *http.Server
	born              int64
	work              time.Duration
	mu                sync.Mutex
	seq               uint64
	state             string
	runs              []run
	stop              chan struct{}
}

// run is a request that a server has begun to work on.
type run struct {
	id, tenant, key, path string
	at                    time.Time
}

func startServer(id, service, zone string, controls []string, rec *record, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, controls: controls, record: rec, listener: l, born: time.Now().UnixMilli(), work: work, state: "ready",
		stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	return s, nil
}

func (s *server) end() {
	close(s.stop)
	_ = s.http.Close()
}

// beat sends the pings, each to the next control process that acknowledges it.
func (s *server) beat() {
	for {
		for _, control := range s.controls {
			s.mu.Lock()
			s.seq++
			body, _ := json.Marshal(map[string]any{
				"service": s.service, "addr": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": 6, "state": s.state,
				"cold_left_ms": 0, "seq": s.seq, "born": s.born,
			})
			s.mu.Unlock()
			if status, err := post("http://"+control+"/instances/"+s.id+"/heartbeat", body); err == nil && status == http.StatusOK {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Knapweedproxy-Request-Id")
	w.Header().Set("X-Knapweedproxy-Request-Id", id)
	if expected := r.Header.Get("X-Knapweedproxy-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Knapweedproxy-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	one := run{id: id, tenant: r.Header.Get("X-Knapweedproxy-Tenant"), key: r.Header.Get("Authorization"), path: r.URL.Path, at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, one)
	s.mu.Unlock()
	s.record.add("server %s of %s runs %s, tenant %q", s.id, s.service, id, one.tenant)
	time.Sleep(s.work)
	w.Header().Set("X-Knapweedproxy-Response-Stamp", "stamp-"+id)
	w.Header().Set("X-Knapweedproxy-Server-Load", "1,0,6")
	text := fmt.Sprintf("answer to %s by %s\n", id, s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// runsOf returns the runs of a request.
func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		if r.id == id {
			n++
		}
	}
	return n
}
