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

const (
	// modelLayers is the number of layers of the model, and layerMB the memory of each.
	modelLayers = 80
	layerMB     = 1750
	// orderTime is how long a model server takes to load the layers of an order.
	orderTime = 300 * time.Millisecond
	modelPort = 18120
	// streamEvents is the number of events of a stream.
	streamEvents = 3
)

// modelServer is a sound model server as far as orders, reports and heartbeats go.
type modelServer struct {
	announcer
	listener net.Listener

	mu       sync.Mutex
	seq      uint64
	busy     bool
	from, to int
}

// startModel starts a model server of the a100 kind at a loopback address.
func startModel(p *platform, n int) (*modelServer, error) {
	s := &modelServer{}
	s.announcer = newAnnouncer(p, "i-model"+strconv.Itoa(n), "drafter", zoneOf(n), net.JoinHostPort(p.ip(150+n), strconv.Itoa(modelPort)), s.fields)
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", s.order)
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /notes/", s.stream)
	go func() { _ = http.Serve(s.listener, mux) }()
	go s.sendHeartbeats()
	return s, nil
}

// fields returns what a model server adds to its heartbeats.
func (s *modelServer) fields() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"slots": 192, "route_type": "a100", "stage": "both", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}},
		"layers": map[string]any{"from": s.from, "target": s.to, "version": 1},
	}
}

func (s *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		From     int     `json:"from"`
		Target   int     `json:"target"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.from == order.From && s.to == order.Target:
		return
	case s.busy || order.Expected != nil && *order.Expected != s.seq:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.seq++
	s.busy = true
	s.platform.record.logf("%s is ordered to hold the layers %d to %d", s.id, order.From, order.Target)
	time.AfterFunc(orderTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.from, s.to, s.busy = order.From, order.Target, false
	})
	w.WriteHeader(http.StatusAccepted)
}

func (s *modelServer) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "busy": s.busy, "seq": s.seq, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0,
		"layers": map[string]any{"from": s.from, "target": s.to, "version": 1},
	})
}

// stream answers a stream as the first server of its chain.
func (s *modelServer) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Knapweedproxy-Request-Id")
	w.Header().Set("X-Knapweedproxy-Request-Id", id)
	if want := r.Header.Get("X-Knapweedproxy-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Knapweedproxy-Response-Stamp", "stamp-"+id)
	for event := 1; event <= streamEvents; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, id)
	}
}

func (s *modelServer) close() {
	s.stopHeartbeats()
	_ = s.listener.Close()
}

// engine describes the model servers in the manifest.
func engine(layers int) map[string]any {
	return map[string]any{
		"slots": 192, "kv_tokens": 100000, "kv_bytes": 918000, "link_mbps": 400000.0, "stride": 4,
		"models":  []any{map[string]any{"name": "daka510000", "pace": 1.0, "load_s": 1.0, "warm_s": 1.0}},
		"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 164000.0, "pairs_per_m": 0.309, "chunk": 512,
		"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 5, "usual": map[string]any{"prompt": 774, "answer": 200},
		"layers": layers, "layer_mb": layerMB, "act_bytes": 45900, "pipe_mbps": 13000.0,
		"kinds": []any{map[string]any{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}},
	}
}
