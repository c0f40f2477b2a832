package kwfake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwcode"
)

// Headers that the records service reads; it also echoes the request ID.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Write is a distinct write request with the number of times it ran.
type Write struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Count  int    `json:"count"`
}

// CountsReply holds the counters of a RecordStore.
type CountsReply struct {
	Writes  []Write `json:"writes"`
	Total   int     `json:"total"`
	Lookups int     `json:"lookups"`
}

// RecordStore counts the writes and lookups of all servers of one records service.
type RecordStore struct {
	mu      sync.Mutex
	writes  []Write
	total   int
	lookups int
}

// NewRecordStore returns an empty RecordStore.
func NewRecordStore() *RecordStore {
	return &RecordStore{}
}

// recordWrite counts a write and returns its receipt number, which is unique.
func (s *RecordStore) recordWrite(w Write) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	for i := range s.writes {
		existing := &s.writes[i]
		if existing.Key == w.Key && existing.Method == w.Method && existing.Path == w.Path && existing.Body == w.Body {
			existing.Count++
			return s.total
		}
	}
	w.Count = 1
	s.writes = append(s.writes, w)
	return s.total
}

// lookup returns the writes to the given path.
func (s *RecordStore) lookup(path string) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
	out := []Write{}
	for _, w := range s.writes {
		if w.Path == path {
			out = append(out, w)
		}
	}
	return out
}

func (s *RecordStore) Counts() CountsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CountsReply{Writes: append([]Write{}, s.writes...), Total: s.total, Lookups: s.lookups}
}

// RecordsConfig configures one fake server of a records service. If RecordStore is nil, the server gets its own.
type RecordsConfig struct {
	Listen      string
	Name        string
	RecordStore *RecordStore
}

// httpReply is a reply to a call, with the request ID that it echoes.
type httpReply struct {
	request string
	body    any
}

// LookupReply is the reply to a GET request.
type LookupReply struct {
	Path   string  `json:"path"`
	Writes []Write `json:"writes"`
}

// WriteReply is the reply to a write.
type WriteReply struct {
	Receipt int    `json:"receipt"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

// Records is a fake records server: GET is a lookup, any other method a write.
type Records struct {
	cfg           RecordsConfig
	faults        *faultInjector
	swapper       replySwapper[httpReply]
	listener      net.Listener
	server        *http.Server
	mu            sync.Mutex
	receivedCalls int
}

// MaxRecordBody is the maximum size of a request body, in bytes; the rest of a larger body is ignored.
const MaxRecordBody = 1 << 20

// NewRecords starts a fake records server on cfg.Listen.
func NewRecords(cfg RecordsConfig) (*Records, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	if cfg.RecordStore == nil {
		cfg.RecordStore = NewRecordStore()
	}
	r := &Records{cfg: cfg, faults: newFaultInjector(), listener: listener}
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

func (r *Records) URL() string { return "http://" + r.listener.Addr().String() }

// CountsURL returns the URL of the store's counters.
func (r *Records) CountsURL() string { return r.URL() + "/stand-in/counts" }

// SetFaults replaces the injected faults.
func (r *Records) SetFaults(f Faults) { r.faults.set(f) }

// ReceivedCalls returns the number of requests that have reached this server.
func (r *Records) ReceivedCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.receivedCalls
}

// Close stops the server abruptly, without waiting for requests in progress, as a crash would.
func (r *Records) Close() { _ = r.server.Close() }

func (r *Records) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/stand-in/counts", func(c *gin.Context) { c.JSON(http.StatusOK, r.cfg.RecordStore.Counts()) })
	g.PUT("/stand-in/faults", r.onFaults)
	g.NoRoute(r.onCall)
	return g
}

func (r *Records) onFaults(c *gin.Context) {
	r.faults.serve(c, r.Close)
}

func (r *Records) onCall(c *gin.Context) {
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, MaxRecordBody))
	if err != nil {
		replyError(c, http.StatusBadRequest, err.Error())
		return
	}
	r.mu.Lock()
	r.receivedCalls++
	r.mu.Unlock()
	f, _ := r.faults.get()
	if f.CrashOnBody != "" && string(body) == f.CrashOnBody {
		r.Close()
		panic(http.ErrAbortHandler)
	}
	done := c.Request.Context().Done()
	if !r.faults.waitWhileHung(done) || !sleepMS(f.StartDelayMS, done) {
		return
	}
	out := httpReply{request: c.GetHeader(headerRequestID), body: r.execute(c, string(body))}
	sleepMS(f.ReplyDelayMS, done)
	if f.SwapReplies {
		out = r.swapper.swap(out)
	}
	if r.faults.consumeDrop() {
		panic(http.ErrAbortHandler)
	}
	c.Header(headerRequestID, out.request)
	c.JSON(http.StatusOK, out.body)
}

func (r *Records) execute(c *gin.Context, body string) any {
	path := c.Request.URL.Path
	if c.Request.Method == http.MethodGet {
		return LookupReply{Path: path, Writes: r.cfg.RecordStore.lookup(path)}
	}
	w := Write{Key: c.GetHeader(headerIdempotencyKey), Method: c.Request.Method, Path: path, Body: body}
	return WriteReply{Receipt: r.cfg.RecordStore.recordWrite(w), Path: path, Echo: body}
}
