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

// Headers of the caller interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Request-Timeout"
	HeaderReplayed       = "Idempotent-Replayed"
	HeaderResultCode     = "X-Result-Code"
)

// MaxBodyBytes is the largest request body, in bytes.
const MaxBodyBytes = 1 << 20

const keyWorkspace = "workspace"

func (r *Role) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.UseRawPath = true
	g.UnescapePathValues = false
	g.Use(gin.CustomRecoveryWithWriter(nil, r.onPanic))
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", r.onReady)
	g.GET("/metrics", r.onMetrics)
	api := g.Group("/", r.authenticate)
	api.GET("/v1/models", r.onModels)
	api.POST("/v1/chat/completions", r.onChat)
	api.Any("/services/:service/*path", r.onService)
	g.NoRoute(func(c *gin.Context) {
		r.refuse(c, "", kwcode.New(kwcode.NoRule, "no such path"))
	})
	return g
}

func (r *Role) onPanic(c *gin.Context, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	r.refuse(c, "", kwcode.New(kwcode.OperationFailed, "%v", cause))
}

// stallLimit is how long the view loop may be silent before the entry is not ready.
const stallLimit = 5 * time.Second

// onReady asserts that the view is confirmed and that the loop that confirms it runs.
func (r *Role) onReady(c *gin.Context) {
	if err := r.admits(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err.Error())
		return
	}
	silent := time.Since(r.started) - time.Duration(r.watching.Load())
	if silent > max(stallLimit, 2*r.cfg.ViewRenewInterval) {
		c.String(http.StatusServiceUnavailable, "the view loop is silent for %s\n", silent.Round(time.Millisecond))
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (r *Role) onMetrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.metrics, c.Writer)
}

// count adds to a named counter.
func (r *Role) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.metrics).Inc(n)
}

// observe records a span.
func (r *Role) observe(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, r.metrics).Update(d)
}

// authenticate admits a caller by its bearer token.
func (r *Role) authenticate(c *gin.Context) {
	if err := r.admits(); err != nil {
		r.refuse(c, "", err)
		return
	}
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok {
		r.refuse(c, "", kwcode.New(kwcode.Unauthenticated, "want the header Authorization: Bearer TOKEN"))
		return
	}
	w, ok := r.view.Load().workspace(token)
	if !ok {
		r.refuse(c, "", kwcode.New(kwcode.Unauthenticated, "the token belongs to no workspace of this site"))
		return
	}
	c.Set(keyWorkspace, w)
}

func workspaceOf(c *gin.Context) kwsiteconfig.Workspace {
	return c.MustGet(keyWorkspace).(kwsiteconfig.Workspace)
}

// newRequest names a caller request and tells the caller the name.
func newRequest(c *gin.Context) kwid.RequestID {
	id := uuid.NewString()
	c.Header(HeaderRequestID, id)
	return kwid.RequestID(id)
}

// refuse answers with a result code; the caller learns whether the request ran and when to come back.
func (r *Role) refuse(c *gin.Context, request kwid.RequestID, err error) {
	coded := kwcode.FromError(err)
	info := kwcode.Describe(coded.Code)
	event := kwevent.RequestFailed
	if info.Outcome == kwcode.NotRun {
		event = kwevent.RequestRefused
	}
	r.deps.Events.Emit(event, request, kwevent.F("error", coded.Error()))
	r.count(fmt.Sprintf("result.%d", int(coded.Code)), 1)
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

// timeout reads the caller's deadline, within the bound of the declaration.
func timeout(c *gin.Context, usual time.Duration) (time.Duration, error) {
	text := c.GetHeader(HeaderTimeout)
	if text == "" {
		return usual, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, kwcode.New(kwcode.MalformedRequest, "%s: want a span such as 5s, got %q", HeaderTimeout, text)
	}
	return min(d, maxStretch*usual), nil
}

// maxStretch bounds a caller's deadline as a multiple of the declared one.
const maxStretch = 10

// modelList is the answer to GET /v1/models.
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
