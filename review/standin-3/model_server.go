package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// modelLayers is the number of layers of the model; each server has the memory for all of them.
	modelLayers = 8
	// streamEvents is the number of events of a stream, eventGap the time between two.
	streamEvents = 5
	eventGap     = 10 * time.Millisecond
)

// modelServer is a stand-in for a model server. It starts empty, holds the layers that it is ordered to hold, and answers requests that name
// it alone with a stream.
type modelServer struct {
	id, zone string
	controls []string
	record   *record
	listener net.Listener
	http     *http.Server
	born     int64
	mu       sync.Mutex
	seq      uint64
	orders   uint64
	from, to int
	// confirmed is when a ping was last confirmed.
	confirmed time.Time
	stop      chan struct{}
}

func startModelServer(id, zone string, controls []string, rec *record) (*modelServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &modelServer{id: id, zone: zone, controls: controls, record: rec, listener: l, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", m.handleReport)
	mux.HandleFunc("POST /order", m.handleOrder)
	mux.HandleFunc("/", m.handleRequest)
	m.http = &http.Server{Handler: mux}
	go func() { _ = m.http.Serve(l) }()
	go m.beat()
	return m, nil
}

func (m *modelServer) address() string { return m.listener.Addr().String() }

func (m *modelServer) end() {
	close(m.stop)
	_ = m.http.Close()
}

// state returns the fields that pings and reports share.
func (m *modelServer) state() map[string]any {
	return map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}},
		"layers": map[string]any{"from": m.from, "target": m.to, "version": 1}, "route_type": "a100", "born": m.born,
	}
}

// beat sends the pings, each to the next control process that acknowledges it.
func (m *modelServer) beat() {
	for {
		for _, control := range m.controls {
			m.mu.Lock()
			m.seq++
			ping := m.state()
			ping["service"], ping["addr"], ping["zone"], ping["version"], ping["slots"] = "drafting", m.address(), m.zone, "v1", 192
			ping["state"], ping["cold_left_ms"], ping["seq"] = "ready", 0, m.seq
			body, _ := json.Marshal(ping)
			m.mu.Unlock()
			if status, err := post("http://"+control+"/instances/"+m.id+"/heartbeat", body); err == nil && status == http.StatusOK {
				m.mu.Lock()
				m.confirmed = time.Now()
				m.mu.Unlock()
				break
			}
		}
		select {
		case <-m.stop:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

// sinceConfirmed returns the time since a ping was last confirmed.
func (m *modelServer) sinceConfirmed() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmed)
}

// misdirected refuses a call for another server and reports whether it did.
func (m *modelServer) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get("X-Knapweedproxy-Expect-Instance"); expected == "" || expected == m.id {
		return false
	}
	w.Header().Set("X-Knapweedproxy-Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (m *modelServer) handleReport(w http.ResponseWriter, r *http.Request) {
	if m.misdirected(w, r) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.state()
	report["busy"], report["seq"], report["waiting"], report["running"], report["stalled"] = false, m.orders, 0, 0, []any{}
	report["kv_used"], report["kv_total"], report["handles"] = 0, 100000*modelLayers, 0
	_ = json.NewEncoder(w).Encode(report)
}

func (m *modelServer) handleOrder(w http.ResponseWriter, r *http.Request) {
	if m.misdirected(w, r) {
		return
	}
	var order struct {
		Op       string  `json:"op"`
		From     int     `json:"from"`
		Target   int     `json:"target"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case order.From == m.from && order.Target == m.to:
		w.WriteHeader(http.StatusOK)
	case order.Expected != nil && *order.Expected != m.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		m.orders++
		m.from, m.to = order.From, order.Target
		m.record.add("model server %s holds the layers %d to %d", m.id, m.from, m.to)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (m *modelServer) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Knapweedproxy-Request-Id")
	w.Header().Set("X-Knapweedproxy-Request-Id", id)
	if m.misdirected(w, r) {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	m.mu.Lock()
	held := m.from == 0 && m.to == modelLayers
	m.mu.Unlock()
	if path := r.Header.Get("X-Knapweedproxy-Hop-Count"); !held || path != "" && path != m.address()+"=0-"+strconv.Itoa(modelLayers) {
		w.Header().Set("X-Knapweedproxy-Not-Run", "1")
		w.Header().Set("At-Server", m.address())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.record.add("model server %s runs %s", m.id, id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Knapweedproxy-Response-Stamp", "stamp-"+id)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := after + 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventText(id, event)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

func eventText(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// stream sends a streaming request to an entry, and reports whether it was served whole.
func (c *client) stream(entry, key string) bool {
	c.sent++
	id := fmt.Sprintf("%016x", 0x5e0000+c.sent)
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/summary/2f", strings.NewReader("a prompt"))
	if err != nil {
		return false
	}
	req.Host = "records.example"
	for name, value := range map[string]string{
		"X-Knapweedproxy-Request-Id": id, "X-Knapweedproxy-Model": "daka510000", "X-Knapweedproxy-Token-Count": "800,171",
		"X-Knapweedproxy-Prompt-Prefix": "5c1e07a2:40,91bd3f06:760", "X-Knapweedproxy-Deadline-Ms": "20000", "Authorization": "Bearer " + key,
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.add("client: %s to %s: %v", id, entry, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	var want strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", event, eventText(id, event))
	}
	whole := err == nil && resp.StatusCode == http.StatusOK && string(body) == want.String()
	if whole {
		c.record.add("client: %s to %s: answered 200, whole", id, entry)
	} else {
		c.record.add("client: %s to %s: answered %d, %v: %.120s", id, entry, resp.StatusCode, err, strings.TrimSpace(string(body)))
	}
	return whole
}
