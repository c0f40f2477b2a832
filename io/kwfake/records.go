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

// Headers that a records service reads and echoes.
const (
	headerRequest = "X-Request-Id"
	headerKey     = "Idempotency-Key"
)

// Write is one distinct write and how often it ran.
type Write struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Count  int    `json:"count"`
}

// CountsReply tells how often each write and how many lookups ran.
type CountsReply struct {
	Writes  []Write `json:"writes"`
	Total   int     `json:"total"`
	Lookups int     `json:"lookups"`
}

// RecordStore is the store that the servers of one records service share.
type RecordStore struct {
	mu      sync.Mutex
	writes  []Write
	total   int
	lookups int
}

// NewRecordStore returns an empty Ledger.
func NewRecordStore() *RecordStore {
	return &RecordStore{}
}

// record counts a write and returns its receipt number.
func (l *RecordStore) record(w Write) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	for i := range l.writes {
		known := &l.writes[i]
		if known.Key == w.Key && known.Method == w.Method && known.Path == w.Path && known.Body == w.Body {
			known.Count++
			return l.total
		}
	}
	w.Count = 1
	l.writes = append(l.writes, w)
	return l.total
}

// lookup returns the writes whose path starts with the given one.
func (l *RecordStore) lookup(path string) []Write {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lookups++
	out := []Write{}
	for _, w := range l.writes {
		if w.Path == path {
			out = append(out, w)
		}
	}
	return out
}

// Counts returns how often each write ran.
func (l *RecordStore) Counts() CountsReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return CountsReply{Writes: append([]Write{}, l.writes...), Total: l.total, Lookups: l.lookups}
}

// RecordsConfig declares one server of a records service.
type RecordsConfig struct {
	Listen      string
	Name        string
	RecordStore *RecordStore
}

// answer is a response that can be crossed with another.
type answer struct {
	request string
	body    any
}

// LookupReply answers a GET.
type LookupReply struct {
	Path   string  `json:"path"`
	Writes []Write `json:"writes"`
}

// WriteReply answers a write with its receipt.
type WriteReply struct {
	Receipt int    `json:"receipt"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

// Records is a stand-in of one records server: GET looks up, any other method writes.
type Records struct {
	cfg      RecordsConfig
	faults   *switches
	cross    crosser[answer]
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	arrived  int
}

// MaxRecordBody is the largest body of a record, in bytes.
const MaxRecordBody = 1 << 20

// NewRecords opens the listener and starts serving.
func NewRecords(cfg RecordsConfig) (*Records, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	if cfg.RecordStore == nil {
		cfg.RecordStore = NewRecordStore()
	}
	r := &Records{cfg: cfg, faults: newSwitches(), listener: listener}
	r.server = &http.Server{Handler: r.handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// URL returns the server's base URL.
func (r *Records) URL() string { return "http://" + r.listener.Addr().String() }

// CountsURL returns the address that tells how often each write ran.
func (r *Records) CountsURL() string { return r.URL() + "/stand-in/counts" }

// SetFaults switches faults on or off.
func (r *Records) SetFaults(f Faults) { r.faults.set(f) }

// ReceivedCalls returns how many calls reached this server.
func (r *Records) ReceivedCalls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

// Close ends the server at once, as a crash would.
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
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	r.mu.Lock()
	r.arrived++
	r.mu.Unlock()
	f, _ := r.faults.get()
	done := c.Request.Context().Done()
	if !r.faults.hold(done) || !pause(f.StartDelayMS, done) {
		return
	}
	out := answer{request: c.GetHeader(headerRequest), body: r.run(c, string(body))}
	pause(f.ReplyDelayMS, done)
	if f.SwapReplies {
		out = r.cross.swap(out)
	}
	if r.faults.takeDrop() {
		panic(http.ErrAbortHandler)
	}
	c.Header(headerRequest, out.request)
	c.JSON(http.StatusOK, out.body)
}

func (r *Records) run(c *gin.Context, body string) any {
	path := c.Request.URL.Path
	if c.Request.Method == http.MethodGet {
		return LookupReply{Path: path, Writes: r.cfg.RecordStore.lookup(path)}
	}
	w := Write{Key: c.GetHeader(headerKey), Method: c.Request.Method, Path: path, Body: body}
	return WriteReply{Receipt: r.cfg.RecordStore.record(w), Path: path, Echo: body}
}
