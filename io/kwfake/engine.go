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

// EngineConfig configures a fake engine.
type EngineConfig struct {
	Listen      string
	Model       kwid.ModelName
	ModelLayers int
	Layers      kwid.LayerRange
	// TokenRate is the throughput with full batches, in tokens per second.
	TokenRate float64
	// MaxBatch is the largest number of tokens in one iteration.
	MaxBatch int
	// KVTokens is the capacity of the KV cache, in tokens.
	KVTokens int
	// PrefixTokens is the capacity of the prefix cache, in tokens.
	PrefixTokens int
	// LoadLag is how long a load report is served before it is refreshed.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse layer assignments that carry an outdated fencing token.
	ChecksFence bool
}

// attemptKey identifies one attempt at a request.
type attemptKey struct {
	request kwid.RequestID
	attempt kwid.Attempt
}

// attemptState is the KV cache and the progress of one attempt.
type attemptState struct {
	// layerStates holds the running hash of each layer, which stands for the KV cache.
	layerStates  []uint64
	nextPosition kwid.Position
	lastPosition kwid.Position
	kvTokens     int
	lastReply    kwengine.StepReply
	// stepDone is closed when the latest step has ended.
	stepDone chan struct{}
}

// Counts holds the work counters that tests compare with the expected work.
type Counts struct {
	LayerRuns        uint64 `json:"layer-runs"`
	Steps            uint64 `json:"steps"`
	Replays          uint64 `json:"replays"`
	CachedTokens     uint64 `json:"cached-tokens"`
	Requests         int    `json:"requests"`
	LayerAssignments uint64 `json:"orders"`
}

// Engine is a fake model engine that serves the kwengine protocol over HTTP.
type Engine struct {
	cfg         EngineConfig
	faults      *faultInjector
	swapper     replySwapper[kwengine.StepReply]
	batch       *batcher
	listener    net.Listener
	server      *http.Server
	mu          sync.Mutex
	layers      kwid.LayerRange
	attempts    map[attemptKey]*attemptState
	prefixCache *prefixCache
	kvUsed      int
	counts      Counts
	requests    map[kwid.RequestID]bool
	fence       kwid.FencingToken
	loadReport  kwengine.Load
	reportedAt  time.Time
}

// NewEngine starts a fake engine on cfg.Listen.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	e := &Engine{
		cfg:         cfg,
		faults:      newFaultInjector(),
		batch:       newBatcher(cfg.TokenRate, cfg.MaxBatch),
		listener:    listener,
		layers:      cfg.Layers,
		attempts:    make(map[attemptKey]*attemptState),
		prefixCache: newPrefixCache(cfg.PrefixTokens),
		requests:    make(map[kwid.RequestID]bool),
	}
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go e.batch.run()
	return e, nil
}

func (e *Engine) URL() string { return "http://" + e.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counts
	out.Requests = len(e.requests)
	return out
}

// Close stops the engine abruptly, without waiting for requests in progress, as a crash would.
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
	g.POST(kwengine.PathOrder, e.onAssignLayers)
	return g
}

func replyError(c *gin.Context, status int, text string) {
	c.AbortWithStatusJSON(status, kwengine.ErrorReply{Error: text})
}

func (e *Engine) onInfo(c *gin.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.JSON(http.StatusOK, kwengine.Info{
		Model:            e.cfg.Model,
		Layers:           e.layers,
		LastStage:        int(e.layers.To) == e.cfg.ModelLayers,
		KVCapacityTokens: e.cfg.KVTokens,
		TokenRate:        e.cfg.TokenRate,
	})
}

// onLoad serves a load report that is up to LoadLag old, as a real engine's metrics are.
func (e *Engine) onLoad(c *gin.Context) {
	if !e.faults.waitWhileHung(c.Request.Context().Done()) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) >= e.cfg.LoadLag {
		queue, iterations := e.batch.load()
		e.loadReport = kwengine.Load{QueueLength: queue, KVUsedTokens: e.kvUsed, KVCapacityTokens: e.cfg.KVTokens, Iterations: iterations}
		e.reportedAt = time.Now()
	}
	c.JSON(http.StatusOK, e.loadReport)
}

func (e *Engine) onFaults(c *gin.Context) {
	e.faults.serve(c, e.Close)
}

func (e *Engine) onTokenize(c *gin.Context) {
	var in kwengine.TokenizeRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		replyError(c, http.StatusBadRequest, err.Error())
		return
	}
	c.JSON(http.StatusOK, kwengine.TokenizeReply{Tokens: Tokenize(in.Text)})
}

func (e *Engine) onStep(c *gin.Context) {
	var in kwengine.StepRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		replyError(c, http.StatusBadRequest, err.Error())
		return
	}
	done := c.Request.Context().Done()
	f, _ := e.faults.get()
	if !e.faults.waitWhileHung(done) || !sleepMS(f.StartDelayMS, done) {
		return
	}
	reply, status, text := e.step(in, done)
	if status != http.StatusOK {
		replyError(c, status, text)
		return
	}
	sleepMS(f.ReplyDelayMS, done)
	if f.SwapReplies {
		reply = e.swapper.swap(reply)
	}
	if e.faults.consumeDrop() {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, reply)
}

// step admits a step, waits until the batcher has scheduled all of its tokens, and runs the layers once for each token.
func (e *Engine) step(in kwengine.StepRequest, done <-chan struct{}) (kwengine.StepReply, int, string) {
	hidden := in.HiddenStates
	if in.Layer == 0 {
		hidden = make([]uint64, 0, len(in.Tokens))
		for _, t := range in.Tokens {
			hidden = append(hidden, embed(t))
		}
	}
	s, replay, status, text := e.admitStep(in, len(hidden))
	if status != http.StatusOK {
		return kwengine.StepReply{}, status, text
	}
	if replay != nil {
		return e.awaitReplay(s, replay, done)
	}
	cost := len(hidden)
	if in.Position == 0 {
		cost -= e.prefixCache.lookUp(hidden)
		e.addCachedTokens(len(hidden) - cost)
	}
	ok := e.batch.compute(max(1, cost), in.Priority, done)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ok {
		e.freeAttempt(attemptKey{in.Request, in.Attempt})
		close(s.stepDone)
		return kwengine.StepReply{}, http.StatusServiceUnavailable, "stopped"
	}
	s.lastReply = e.runLayers(in, s, hidden)
	s.lastPosition = in.Position
	s.nextPosition = in.Position + kwid.Position(len(hidden))
	close(s.stepDone)
	return s.lastReply, http.StatusOK, ""
}

func (e *Engine) addCachedTokens(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.CachedTokens += uint64(n)
}

// awaitReplay returns the result of the latest step again, once that step has ended.
func (e *Engine) awaitReplay(s *attemptState, stepDone <-chan struct{}, done <-chan struct{}) (kwengine.StepReply, int, string) {
	select {
	case <-stepDone:
	case <-done:
		return kwengine.StepReply{}, http.StatusServiceUnavailable, "cancelled"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Replays++
	return s.lastReply, http.StatusOK, ""
}

// admitStep reserves KV cache for a step and returns the state of its attempt. For a repeat of the latest step it also
// returns the channel that is closed when that step's result is available.
func (e *Engine) admitStep(in kwengine.StepRequest, n int) (*attemptState, <-chan struct{}, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Layer != e.layers.From {
		return nil, nil, http.StatusConflict, "the engine does not start at the requested layer"
	}
	if n == 0 {
		return nil, nil, http.StatusBadRequest, "the step has no tokens"
	}
	key := attemptKey{in.Request, in.Attempt}
	s, ok := e.attempts[key]
	if ok && in.Position == s.lastPosition && s.stepDone != nil {
		return s, s.stepDone, http.StatusOK, ""
	}
	if ok && (in.Position != s.nextPosition || !isIdle(s)) || !ok && in.Position != 0 {
		return nil, nil, http.StatusConflict, "the step is out of sequence"
	}
	if e.kvUsed+n > e.cfg.KVTokens {
		return nil, nil, http.StatusInsufficientStorage, "the KV cache is full"
	}
	if !ok {
		s = &attemptState{layerStates: make([]uint64, e.layers.Len())}
		e.attempts[key] = s
		e.requests[in.Request] = true
	}
	e.kvUsed += n
	s.kvTokens += n
	s.lastPosition = in.Position
	s.stepDone = make(chan struct{})
	return s, nil, http.StatusOK, ""
}

// isIdle reports whether no step of the attempt is in progress.
func isIdle(s *attemptState) bool {
	if s.stepDone == nil {
		return true
	}
	select {
	case <-s.stepDone:
		return true
	default:
		return false
	}
}

func (e *Engine) runLayers(in kwengine.StepRequest, s *attemptState, hidden []uint64) kwengine.StepReply {
	out := make([]uint64, 0, len(hidden))
	for k, h := range hidden {
		position := in.Position + kwid.Position(k)
		for l := range s.layerStates {
			s.layerStates[l], h = runLayer(e.layers.From+kwid.Layer(l), position, s.layerStates[l], h)
		}
		out = append(out, h)
	}
	e.counts.LayerRuns += uint64(len(hidden) * len(s.layerStates))
	e.counts.Steps++
	reply := kwengine.StepReply{Request: in.Request, Attempt: in.Attempt, Position: in.Position}
	if int(e.layers.To) != e.cfg.ModelLayers {
		reply.HiddenStates = out
		return reply
	}
	reply.Token = sample(out[len(out)-1])
	reply.Stop = isStopToken(reply.Token, in.Position+kwid.Position(len(out)-1))
	if !reply.Stop {
		reply.Text = TokenText(reply.Token)
	}
	return reply
}

func (e *Engine) onCancel(c *gin.Context) {
	var in kwengine.CancelRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		replyError(c, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeAttempt(attemptKey{in.Request, in.Attempt})
	c.JSON(http.StatusOK, struct{}{})
}

// freeAttempt drops an attempt and frees its KV cache.
func (e *Engine) freeAttempt(key attemptKey) {
	s, ok := e.attempts[key]
	if !ok {
		return
	}
	e.kvUsed -= s.kvTokens
	delete(e.attempts, key)
}

func (e *Engine) onAssignLayers(c *gin.Context) {
	var in kwengine.AssignLayersRequest
	if err := c.ShouldBindJSON(&in); err != nil {
		replyError(c, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && in.FencingToken < e.fence {
		replyError(c, http.StatusPreconditionFailed, "the fencing token is outdated")
		return
	}
	e.fence = max(e.fence, in.FencingToken)
	e.counts.LayerAssignments++
	if in.Layers.Len() > 0 && in.Layers != e.layers {
		e.layers = in.Layers
		e.attempts = make(map[attemptKey]*attemptState)
		e.kvUsed = 0
	}
	c.JSON(http.StatusOK, struct{}{})
}

// priorityRank returns the scheduling rank of a priority; lower ranks run first.
func priorityRank(p kwsiteconfig.Priority) int {
	if p == kwsiteconfig.Batch {
		return 1
	}
	return 0
}

// Layers returns the range of layers that the engine serves.
func (e *Engine) Layers() kwid.LayerRange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layers
}
