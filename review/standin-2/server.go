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
	"sync/atomic"
	"time"
)

// serverConfig describes a stand-in for a server of the users.
type serverConfig struct {
	id, service, zone string
	// card is the kind of accelerator of a model server, empty for a plain one.
	card string
	// address is where it listens; any free port of its loopback address if the port is 0.
	address string
	// work is how long a plain server works on a request.
	work time.Duration
	// pingDelay is how late its pings arrive.
	pingDelay time.Duration
	// fault, if set, may answer a request that has run wrongly; it reports whether it did.
	fault func(s *server, w http.ResponseWriter, r *http.Request, run int) bool
}

// server is a running stand-in: a plain server, or a model server with a card.
type server struct {
	cfg      serverConfig
	fleet    *fleet
	listener net.Listener
	http     *http.Server
	born     int64
	stopped  chan struct{}
	stopOnce sync.Once
	seq      atomic.Uint64
	// confirmed is set once a ping has been confirmed.
	confirmed atomic.Bool

	mu sync.Mutex
	// from and target bound the layers that it holds; orders counts the orders that it has accepted.
	from, target int
	orders       uint64
	busy         bool
	running      int
	runs         int
	// ordered are the sizes of the placements that it was ordered to hold, in layers.
	ordered []int
}

// startServer starts a server and its pings.
func startServer(f *fleet, cfg serverConfig) (*server, error) {
	l, err := net.Listen("tcp", cfg.address)
	if err != nil {
		return nil, err
	}
	s := &server{cfg: cfg, fleet: f, listener: l, born: time.Now().UnixMilli(), stopped: make(chan struct{})}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.ping()
	f.record.printf("server %s of %s starts at %s, card %q", cfg.id, cfg.service, s.address(), cfg.card)
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// crash ends a server at once: its channels are closed and its pings end.
func (s *server) crash() {
	s.stopOnce.Do(func() {
		s.fleet.record.printf("server %s crashes", s.cfg.id)
		close(s.stopped)
		_ = s.http.Close()
	})
}

// ping sends pings to one node until one is not confirmed, then to the next.
func (s *server) ping() {
	nodes := s.fleet.controlAddresses()
	node := 0
	for {
		interval := heartbeatMS * time.Millisecond
		body, path := s.pingBody(), "/instances/"+s.cfg.id+"/heartbeat"
		if s.cfg.pingDelay > 0 {
			// The ping is under way for that long. Its sender waits for a second, and then calls the next node.
			address := nodes[node%len(nodes)]
			time.AfterFunc(s.cfg.pingDelay, func() {
				if s.alive() {
					status, err := post(address, path, body, time.Second)
					s.fleet.record.printf("server %s: late ping arrives at %s: status %d, error %v", s.cfg.id, address, status, err)
				}
			})
			node++
			interval = time.Second
		} else if status, err := post(nodes[node%len(nodes)], path, body, time.Second); err != nil || status != http.StatusOK {
			node++
			interval = 50 * time.Millisecond
		} else {
			s.confirmed.Store(true)
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(interval):
		}
	}
}

func (s *server) alive() bool {
	select {
	case <-s.stopped:
		return false
	default:
		return true
	}
}

func (s *server) pingBody() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := object{
		"service": s.cfg.service, "addr": s.address(), "zone": s.cfg.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"seq": s.seq.Add(1), "born": s.born,
	}
	if s.cfg.card != "" {
		body["slots"], body["stage"], body["route_type"] = 192, "both", s.cfg.card
		body["models"] = []object{{"name": "daka510000", "version": 1, "adapters": []string{}}}
		body["layers"] = object{"from": s.from, "target": s.target, "version": 1}
	}
	out, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return out
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if named := r.Header.Get("X-Knapweedproxy-Expect-Instance"); named != "" && named != s.cfg.id {
		s.fleet.record.printf("server %s: %s %s for %s: 421", s.cfg.id, r.Method, r.URL.Path, named)
		s.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Knapweedproxy-Instance-Id", s.cfg.id)
	case s.cfg.card != "" && r.URL.Path == "/report":
		s.report(w)
	case s.cfg.card != "" && r.URL.Path == "/order":
		s.order(w, body)
	case r.Header.Get("X-Knapweedproxy-Request-Id") == "":
		s.refuse(w, r, http.StatusBadRequest)
	case s.cfg.card != "":
		s.stream(w, r)
	default:
		s.answer(w, r)
	}
}

// refuse answers a request that does not run.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Knapweedproxy-Request-Id", r.Header.Get("X-Knapweedproxy-Request-Id"))
	w.Header().Set("X-Knapweedproxy-Not-Run", "1")
	w.WriteHeader(status)
}

// begin counts a run and sets the headers of its answer.
func (s *server) begin(w http.ResponseWriter, r *http.Request) (run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs++
	id := r.Header.Get("X-Knapweedproxy-Request-Id")
	s.fleet.record.printf("server %s runs %s, its run %d", s.cfg.id, id, s.runs)
	w.Header().Set("X-Knapweedproxy-Request-Id", id)
	w.Header().Set("X-Knapweedproxy-Response-Stamp", fmt.Sprintf("%s.%d", s.cfg.id, s.runs))
	w.Header().Set("X-Knapweedproxy-Server-Load", fmt.Sprintf("%d,0,6", s.running))
	return s.runs
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// answer runs a request of a plain server.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	run := s.begin(w, r)
	defer s.end()
	time.Sleep(s.cfg.work)
	if s.cfg.fault != nil && s.cfg.fault(s, w, r, run) {
		return
	}
	_, _ = io.WriteString(w, "answer to "+r.Header.Get("X-Knapweedproxy-Request-Id"))
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{
		"stage": "both", "models": []object{{"name": "daka510000", "version": 1, "adapters": []string{}}}, "busy": s.busy, "seq": s.orders,
		"waiting": 0, "running": s.running, "kv_used": 0, "kv_total": 100000 * layerCount, "handles": 0, "pace": 1.0,
		"layers": object{"from": s.from, "target": s.target, "version": 1}, "route_type": s.cfg.card,
	})
}

// order takes an order to hold layers.
func (s *server) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Op       string  `json:"op"`
		From     int     `json:"from"`
		Target   int     `json:"target"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &order); err != nil || order.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.record.printf("server %s of %s (card %s, room for %d layers, %d orders so far) is ordered to hold layers %d to %d: %s", s.cfg.id,
		s.cfg.service, s.cfg.card, s.room(), s.orders, order.From, order.Target, strings.TrimSpace(string(body)))
	switch {
	case s.busy || order.Expected != nil && *order.Expected != s.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case order.From == s.from && order.Target == s.target:
		return
	}
	s.orders++
	s.ordered = append(s.ordered, order.Target-order.From)
	s.busy = true
	share := float64(order.Target-order.From) / layerCount
	// Before the first request a load takes a tenth of its time.
	time.AfterFunc(time.Duration(share*loadSeconds/10*float64(time.Second)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy, s.from, s.target = false, order.From, order.Target
	})
	w.WriteHeader(http.StatusAccepted)
}

// room returns how many layers the card of a model server holds.
func (s *server) room() int { return int(cards[s.cfg.card] / layerMB) }

// holdsPart reports whether a request names this server first, with layers that it holds.
func (s *server) holdsPart(hops string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hops == "" {
		return s.from == 0 && s.target == layerCount
	}
	first, _, _ := strings.Cut(hops, ",")
	address, layers, _ := strings.Cut(first, "=")
	from, target, _ := strings.Cut(layers, "-")
	a, errFrom := strconv.Atoi(from)
	b, errTarget := strconv.Atoi(target)
	return address == s.address() && errFrom == nil && errTarget == nil && s.from <= a && b <= s.target
}

// streamEvents is the number of events of a stream.
const streamEvents = 10

// stream runs a request as the first server of its path.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	if !s.holdsPart(r.Header.Get("X-Knapweedproxy-Hop-Count")) {
		w.Header().Set("At-Server", s.address())
		s.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	run := s.begin(w, r)
	defer s.end()
	time.Sleep(20 * time.Millisecond)
	if s.cfg.fault != nil && s.cfg.fault(s, w, r, run) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	begin, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := begin + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}
