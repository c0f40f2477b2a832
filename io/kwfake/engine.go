package kwfake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwengine"
)

// EngineConfig declares an engine: its layers, rate and memory.
type EngineConfig struct {
	Listen      string
	Model       kwid.ModelName
	ModelLayers int
	Layers      kwid.LayerRange
	// TokenRate is the tokens a second at full batches.
	TokenRate float64
	// MaxBatch is the largest number of tokens in one iteration.
	MaxBatch int
	// KVTokens is the KV memory in tokens.
	KVTokens int
	// PrefixTokens is the prefix cache in tokens.
	PrefixTokens int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

// streamKey names one attempt at the engine.
type streamKey struct {
	request kwid.RequestID
	attempt kwid.Attempt
}

// stream is the KV state of one attempt.
type stream struct {
	caches  []uint64
	next    kwid.Position
	last    kwid.Position
	held    int
	reply   kwengine.StepReply
	running chan struct{}
}

// Counts is what an engine ran, for checks.
type Counts struct {
	LayerRuns    uint64 `json:"layer-runs"`
	Steps        uint64 `json:"steps"`
	Replays      uint64 `json:"replays"`
	CachedTokens uint64 `json:"cached-tokens"`
	Requests     int    `json:"requests"`
	Orders       uint64 `json:"orders"`
}

// Engine is a stand-in of a model engine that serves the kwengine protocol.
type Engine struct {
	cfg      EngineConfig
	faults   *switches
	cross    crosser[kwengine.StepReply]
	batch    *batcher
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	layers   kwid.LayerRange
	streams  map[streamKey]*stream
	prefixes *prefixCache
	kvUsed   int
	counts   Counts
	requests map[kwid.RequestID]bool
	fence    kwid.FencingToken
	report   kwengine.Load
	reported time.Time
}

// NewEngine opens the listener and starts serving.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	e := &Engine{
		cfg:      cfg,
		faults:   newSwitches(),
		batch:    newBatcher(cfg.TokenRate, cfg.MaxBatch),
		listener: listener,
		layers:   cfg.Layers,
		streams:  make(map[streamKey]*stream),
		prefixes: newPrefixCache(cfg.PrefixTokens),
		requests: make(map[kwid.RequestID]bool),
	}
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.batch.run()
	return e, nil
}

// URL returns the engine's base URL.
func (e *Engine) URL() string { return "http://" + e.listener.Addr().String() }

// SetFaults switches faults on or off.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Counts returns what the engine ran.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counts
	out.Requests = len(e.requests)
	return out
}

// Close ends the engine at once, as a crash would.
func (e *Engine) Close() {
	_ = e.server.Close()
	e.batch.stop()
}

func (e *Engine) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET(kwengine.PathInfo, e.onInfo)
	g.GET(kwengine.PathLoad, e.onLoad)
	g.GET(kwengine.PathCounts, func(c *gin.Context) { c.JSON(http.StatusOK, e.Counts()) })
	g.PUT(kwengine.PathFaults, e.onFaults)
	g.POST(kwengine.PathTokenize, e.onTokenize)
	g.POST(kwengine.PathStep, e.onStep)
	g.POST(kwengine.PathCancel, e.onCancel)
	g.POST(kwengine.PathOrder, e.onOrder)
	return g
}

func fail(c *gin.Context, status int, text string) {
	c.AbortWithStatusJSON(status, kwengine.ErrorReply{Error: text})
}

func (e *Engine) onInfo(c *gin.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, kwengine.Info{
		Model:     e.cfg.Model,
		Layers:    e.layers,
		Last:      int(e.layers.To) == e.cfg.ModelLayers,
		KVTokens:  e.cfg.KVTokens,
		TokenRate: e.cfg.TokenRate,
	})
}

// onLoad gives the report of some time ago.
func (e *Engine) onLoad(c *gin.Context) {
	if !e.faults.hold(c.Request.Context().Done()) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reported) >= e.cfg.LoadLag {
		queue, iterations := e.batch.load()
		e.report = kwengine.Load{Queue: queue, KVUsed: e.kvUsed, KVTokens: e.cfg.KVTokens, Iterations: iterations}
		e.reported = time.Now()
	}
	c.JSON(http.StatusOK, e.report)
}

func (e *Engine) onFaults(c *gin.Context) {
	e.faults.serve(c, e.Close)
}

func (e *Engine) onTokenize(c *gin.Context) {
	var in kwengine.TokenizeRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	c.JSON(http.StatusOK, kwengine.TokenizeReply{Tokens: Tokenize(in.Text)})
}

func (e *Engine) onStep(c *gin.Context) {
	var in kwengine.StepRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	done := c.Request.Context().Done()
	f, _ := e.faults.get()
	if !e.faults.hold(done) || !pause(f.StartDelayMS, done) {
		return
	}
	reply, status, text := e.step(in, done)
	if status != http.StatusOK {
		fail(c, status, text)
		return
	}
	pause(f.ReplyDelayMS, done)
	if f.SwapReplies {
		reply = e.cross.swap(reply)
	}
	if e.faults.takeDrop() {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, reply)
}

// step admits a step, waits for its place in a batch and runs the layers once for each token.
func (e *Engine) step(in kwengine.StepRequest, done <-chan struct{}) (kwengine.StepReply, int, string) {
	hidden := in.Hidden
	if in.Layer == 0 {
		hidden = make([]uint64, 0, len(in.Tokens))
		for _, t := range in.Tokens {
			hidden = append(hidden, embed(t))
		}
	}
	s, replay, status, text := e.admit(in, len(hidden))
	if status != http.StatusOK {
		return kwengine.StepReply{}, status, text
	}
	if replay != nil {
		return e.replayed(s, replay, done)
	}
	cost := len(hidden)
	if in.Position == 0 {
		cost -= e.prefixes.hit(hidden)
		e.addCached(len(hidden) - cost)
	}
	ok := e.batch.wait(max(1, cost), in.Priority, done)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ok {
		e.forget(streamKey{in.Request, in.Attempt})
		close(s.running)
		return kwengine.StepReply{}, http.StatusServiceUnavailable, "stopped"
	}
	s.reply = e.runLayers(in, s, hidden)
	s.last = in.Position
	s.next = in.Position + kwid.Position(len(hidden))
	close(s.running)
	return s.reply, http.StatusOK, ""
}

func (e *Engine) addCached(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.CachedTokens += uint64(n)
}

func (e *Engine) replayed(s *stream, running <-chan struct{}, done <-chan struct{}) (kwengine.StepReply, int, string) {
	select {
	case <-running:
	case <-done:
		return kwengine.StepReply{}, http.StatusServiceUnavailable, "cancelled"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Replays++
	return s.reply, http.StatusOK, ""
}

// admit returns the stream and, for a repeat of the last step, the channel that closes when its result is there.
func (e *Engine) admit(in kwengine.StepRequest, n int) (*stream, <-chan struct{}, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Layer != e.layers.From {
		return nil, nil, http.StatusConflict, "the engine starts at another layer"
	}
	if n == 0 {
		return nil, nil, http.StatusBadRequest, "the step carries no tokens"
	}
	key := streamKey{in.Request, in.Attempt}
	s, ok := e.streams[key]
	if ok && in.Position == s.last && s.running != nil {
		return s, s.running, http.StatusOK, ""
	}
	if ok && (in.Position != s.next || !idle(s)) || !ok && in.Position != 0 {
		return nil, nil, http.StatusConflict, "the step is not the next one"
	}
	if e.kvUsed+n > e.cfg.KVTokens {
		return nil, nil, http.StatusInsufficientStorage, "the KV memory is full"
	}
	if !ok {
		s = &stream{caches: make([]uint64, e.layers.Len())}
		e.streams[key] = s
		e.requests[in.Request] = true
	}
	e.kvUsed += n
	s.held += n
	s.last = in.Position
	s.running = make(chan struct{})
	return s, nil, http.StatusOK, ""
}

func idle(s *stream) bool {
	if s.running == nil {
		return true
	}
	select {
	case <-s.running:
		return true
	default:
		return false
	}
}

func (e *Engine) runLayers(in kwengine.StepRequest, s *stream, hidden []uint64) kwengine.StepReply {
	out := make([]uint64, 0, len(hidden))
	for k, h := range hidden {
		position := in.Position + kwid.Position(k)
		for l := range s.caches {
			s.caches[l], h = runLayer(e.layers.From+kwid.Layer(l), position, s.caches[l], h)
		}
		out = append(out, h)
	}
	e.counts.LayerRuns += uint64(len(hidden) * len(s.caches))
	e.counts.Steps++
	reply := kwengine.StepReply{Request: in.Request, Attempt: in.Attempt, Position: in.Position}
	if int(e.layers.To) != e.cfg.ModelLayers {
		reply.Hidden = out
		return reply
	}
	reply.Token = sample(out[len(out)-1])
	reply.Stop = stops(reply.Token, in.Position+kwid.Position(len(out)-1))
	if !reply.Stop {
		reply.Text = TokenText(reply.Token)
	}
	return reply
}

func (e *Engine) onCancel(c *gin.Context) {
	var in kwengine.CancelRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(streamKey{in.Request, in.Attempt})
	c.JSON(http.StatusOK, struct{}{})
}

// forget frees the KV memory of an attempt.
func (e *Engine) forget(key streamKey) {
	s, ok := e.streams[key]
	if !ok {
		return
	}
	e.kvUsed -= s.held
	delete(e.streams, key)
}

func (e *Engine) onOrder(c *gin.Context) {
	var in kwengine.OrderRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		fail(c, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && in.Fence < e.fence {
		fail(c, http.StatusPreconditionFailed, "the fencing number is old")
		return
	}
	e.fence = max(e.fence, in.Fence)
	e.counts.Orders++
	if in.Layers.Len() > 0 && in.Layers != e.layers {
		e.layers = in.Layers
		e.streams = make(map[streamKey]*stream)
		e.kvUsed = 0
	}
	c.JSON(http.StatusOK, struct{}{})
}

// priorityRank orders the queue; smaller goes first.
func priorityRank(p kwsiteconfig.Priority) int {
	if p == kwsiteconfig.Batch {
		return 1
	}
	return 0
}

// Layers returns the layers that the engine holds.
func (e *Engine) Layers() kwid.LayerRange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layers
}
