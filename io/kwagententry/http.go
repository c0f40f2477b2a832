package kwagententry

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
)

// Headers of the HTTP interface for callers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Request-Timeout"
	HeaderReplayed       = "Idempotent-Replayed"
	HeaderResultCode     = "X-Result-Code"
)

// MaxBodyBytes is the largest request body, in bytes.
const MaxBodyBytes = 1 << 20

// Keys of the request context: the caller's workspace, and the account of the body.
const (
	contextKeyWorkspace = "workspace"
	contextKeyBuffer    = "buffer"
)

// handler returns the routes of the HTTP interface.
func (r *Role) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.UseRawPath = true
	router.UnescapePathValues = false
	router.Use(gin.CustomRecoveryWithWriter(nil, r.onPanic))
	router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", r.onReady)
	router.GET("/metrics", r.onMetrics)
	api := router.Group("/", r.authenticate, r.openBuffer)
	api.GET("/v1/models", r.onModels)
	api.POST("/v1/chat/completions", r.onChat)
	api.Any("/services/:service/*path", r.onService)
	router.NoRoute(func(c *gin.Context) {
		r.writeError(c, "", kwcode.New(kwcode.NoRule, "no such path"))
	})
	return router
}

// onPanic answers a request whose handler panicked; http.ErrAbortHandler is passed on to the HTTP server.
func (r *Role) onPanic(c *gin.Context, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	r.writeError(c, "", kwcode.New(kwcode.OperationFailed, "%v", cause))
}

// viewStallTimeout is how long the entry stays ready without a view from control, or twice the renew interval if that
// is longer.
const viewStallTimeout = 5 * time.Second

// onReady reports ready if the view's lease is valid and control has sent a view recently.
func (r *Role) onReady(c *gin.Context) {
	if err := r.checkServing(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	idle := time.Since(r.startedAt) - time.Duration(r.viewReceivedAt.Load())
	if idle > max(viewStallTimeout, 2*r.cfg.ViewRenewInterval) {
		c.String(http.StatusServiceUnavailable, "no view from control for %s\n", idle.Round(time.Millisecond))
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (r *Role) onMetrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.metrics, c.Writer)
}

func (r *Role) addToCounter(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.metrics).Inc(n)
}

func (r *Role) recordDuration(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.metrics).Update(d)
}

// authenticate looks up the caller's workspace by the bearer token.
func (r *Role) authenticate(c *gin.Context) {
	if err := r.checkServing(); err != nil {
		r.writeError(c, "", err)
		return
	}
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok {
		r.writeError(c, "", kwcode.New(kwcode.Unauthenticated, "want the header Authorization: Bearer TOKEN"))
		return
	}
	w, ok := r.view.Load().workspaceByToken(token)
	if !ok {
		r.writeError(c, "", kwcode.New(kwcode.Unauthenticated, "no workspace of this site has this token"))
		return
	}
	c.Set(contextKeyWorkspace, w)
}

// openBuffer gives a request its share of the memory for bodies.
func (r *Role) openBuffer(c *gin.Context) {
	account := r.buffers.OpenReclaiming(r.guard.Reclaim)
	defer account.Close()
	c.Set(contextKeyBuffer, account)
	c.Next()
}

func workspaceOf(c *gin.Context) kwsiteconfig.Workspace {
	return c.MustGet(contextKeyWorkspace).(kwsiteconfig.Workspace)
}

// newRequest assigns a request ID and returns it to the caller in a header.
func newRequest(c *gin.Context) kwid.RequestID {
	id := uuid.NewString()
	c.Header(HeaderRequestID, id)
	return kwid.RequestID(id)
}

// writeError answers with a result code, from which the caller learns whether the request ran and when to retry.
func (r *Role) writeError(c *gin.Context, request kwid.RequestID, err error) {
	coded := kwcode.FromError(err)
	info := kwcode.Describe(coded.Code)
	event := kwevent.RequestFailed
	if info.Outcome == kwcode.NotRun {
		event = kwevent.RequestRefused
	}
	r.deps.Events.Emit(event, request, kwevent.F("error", coded.Error()))
	r.addToCounter(fmt.Sprintf("result.%d", int(coded.Code)), 1)
	status := info.Status
	if status == 0 {
		status = http.StatusBadGateway
	}
	setErrorHeaders(c, coded)
	c.AbortWithStatusJSON(status, errorBody(coded))
}

func setErrorHeaders(c *gin.Context, coded *kwcode.Error) {
	c.Header(HeaderResultCode, strconv.Itoa(int(coded.Code)))
	if coded.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(coded.RetryAfter.Seconds()))))
	}
}

func errorBody(coded *kwcode.Error) kwcontrol.ErrorReply {
	return kwcontrol.ErrorReply{Error: kwcontrol.NewErrorDetail(coded)}
}

// requestTimeout returns the timeout that the caller asks for, bounded by a multiple of the declared one.
func requestTimeout(c *gin.Context, declared time.Duration) (time.Duration, error) {
	text := c.GetHeader(HeaderTimeout)
	if text == "" {
		return declared, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, kwcode.New(kwcode.MalformedRequest, "%s: want a duration such as 5s, got %q", HeaderTimeout, text)
	}
	return min(d, maxTimeoutFactor*declared), nil
}

// maxTimeoutFactor bounds a caller's timeout as a multiple of the declared one.
const maxTimeoutFactor = 10

// modelList is the body of the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      kwid.ModelName `json:"id"`
	Object  string         `json:"object"`
	OwnedBy string         `json:"owned_by"`
}

func (r *Role) onModels(c *gin.Context) {
	v := r.view.Load()
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range v.fleet.Models {
		out.Data = append(out.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: v.fleet.Name})
	}
	c.JSON(http.StatusOK, out)
}
