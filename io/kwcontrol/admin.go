package kwcontrol

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
)

// MaxAdminBodyBytes is the largest body of an operator's request, in bytes.
const MaxAdminBodyBytes = 4 << 20

// StatusReply is what operators see of a control process.
type StatusReply struct {
	Node      kwid.NodeID             `json:"node"`
	Leading   bool                    `json:"leading"`
	Log       kwraft.Status           `json:"log"`
	Revision  kwid.Revision           `json:"revision"`
	Fence     kwid.FencingToken       `json:"fence"`
	Endpoints []kwmembership.Endpoint `json:"endpoints"`
	Entries   []kwmembership.Entry    `json:"entries"`
	OpenRows  int                     `json:"open-rows"`
	Owners    []kwstatemachine.Owner  `json:"owners"`
	KeyExpiry time.Time               `json:"key-expires"`
	Notice    string                  `json:"notice,omitempty"`
}

// FileBody is one settings file in an operator's request.
type FileBody struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// ConfigBody carries a whole fleet declaration.
type ConfigBody struct {
	Revision kwid.Revision `json:"revision"`
	ChangeID string        `json:"change-id,omitempty"`
	Base     FileBody      `json:"base"`
	Overlays []FileBody    `json:"overlays"`
	WaitMS   int64         `json:"wait-ms,omitempty"`
}

// ApplyReply answers an accepted change; InForce tells whether every entry serves with it.
type ApplyReply struct {
	Revision kwid.Revision `json:"revision"`
	InForce  bool          `json:"in-force"`
}

// ErrorReply is the body of every refused operator request.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail names the result code.
type ErrorDetail struct {
	Code    kwcode.Code    `json:"code"`
	Name    string         `json:"name"`
	Message string         `json:"message"`
	Outcome kwcode.Outcome `json:"outcome"`
}

// NewErrorDetail describes an error for a JSON body.
func NewErrorDetail(err *kwcode.Error) ErrorDetail {
	info := kwcode.Describe(err.Code)
	return ErrorDetail{Code: err.Code, Name: info.Name, Message: err.Detail, Outcome: info.Outcome}
}

func (r *Role) adminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.Use(gin.Recovery())
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", r.onReady)
	g.GET("/metrics", r.onMetrics)
	auth := g.Group("/admin", r.checkToken)
	auth.GET("/status", r.onStatus)
	auth.GET("/config", r.onShowConfig)
	auth.POST("/config", r.onApplyConfig)
	auth.POST("/drain", r.onDrain)
	auth.POST("/move", r.onMove)
	auth.GET("/journal", r.onJournal)
	auth.POST("/journal/settle", r.onSettle)
	auth.GET("/events", r.onEvents)
	return g
}

func refuse(c *gin.Context, err error) {
	coded := kwcode.FromError(err)
	status := kwcode.Describe(coded.Code).Status
	if status == 0 {
		status = http.StatusBadRequest
	}
	c.AbortWithStatusJSON(status, ErrorReply{Error: NewErrorDetail(coded)})
}

// checkToken admits operators by bearer token; no configured token admits everyone who reaches the listener.
func (r *Role) checkToken(c *gin.Context) {
	if r.cfg.AdminTokenSHA256 == "" {
		return
	}
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	got := hex.EncodeToString(sum[:])
	if subtle.ConstantTimeCompare([]byte(got), []byte(r.cfg.AdminTokenSHA256)) != 1 {
		refuse(c, kwcode.New(kwcode.Unauthenticated, "the admin token is wrong"))
	}
}

// stallLimit is how long the control loop may be silent before the process is not ready.
const stallLimit = 2 * time.Second

// onReady asserts that the control loop runs, and that this member belongs to a cluster with a leader.
func (r *Role) onReady(c *gin.Context) {
	if time.Since(r.loop.LastTick()) > stallLimit {
		c.String(http.StatusServiceUnavailable, "the control loop is stalled\n")
		return
	}
	if !r.loop.leaderKnown.Load() {
		c.String(http.StatusServiceUnavailable, "no leader is known\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (r *Role) onMetrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	metrics.WriteJSONOnce(r.loop.metrics.registry, c.Writer)
}

func (r *Role) onStatus(c *gin.Context) {
	out := StatusReply{Node: r.cfg.Node, KeyExpiry: r.deps.Keys.Self().Expires}
	r.loop.Do(func(_ time.Time, b *kwreconcile.Tables) {
		out.Leading = b.Leading
		out.Revision = b.State.Revision()
		out.Fence = b.State.Fence()
		out.Endpoints = b.Members.Since(0)
		out.Entries = b.Members.Entries()
		out.OpenRows = len(b.State.OpenRows())
		out.Owners = b.State.Owners(0)
		out.Log = r.loop.raft.Status()
	})
	if len(out.Log.Members.Voters) == 1 {
		out.Notice = "one control process: losing its disk loses the journal and the configuration"
	}
	c.JSON(http.StatusOK, out)
}

func (r *Role) onShowConfig(c *gin.Context) {
	var out ConfigBody
	err := r.loop.DoAsLeader(func(_ time.Time, b *kwreconcile.Tables) {
		src := b.State.Source()
		out.Revision = b.State.Revision()
		out.Base = FileBody(src.Base)
		for _, o := range src.Overlays {
			out.Overlays = append(out.Overlays, FileBody(o))
		}
	})
	if err != nil {
		refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, out)
}

func bind(c *gin.Context, out any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, MaxAdminBodyBytes)
	if err := c.ShouldBindJSON(out); err != nil {
		refuse(c, kwcode.New(kwcode.MalformedRequest, "%v", err))
		return false
	}
	return true
}

func (r *Role) onApplyConfig(c *gin.Context) {
	var body ConfigBody
	if !bind(c, &body) {
		return
	}
	if body.ChangeID == "" {
		refuse(c, kwcode.New(kwcode.MalformedRequest, "a change needs a change-id"))
		return
	}
	apply := &kwstatemachine.ApplyConfig{ChangeID: body.ChangeID, BaseRevision: body.Revision, Source: body.source()}
	apply.Digest = digest(apply)
	if _, err := kwsiteconfig.Load(apply.Source); err != nil {
		refuse(c, err)
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{ApplyConfig: apply})
	if reply.Err != nil {
		refuse(c, reply.Err)
		return
	}
	out := ApplyReply{Revision: reply.Revision}
	out.InForce = r.waitInForce(c.Request.Context(), reply.Revision, time.Duration(body.WaitMS)*time.Millisecond)
	c.JSON(http.StatusOK, out)
}

func (b ConfigBody) source() kwsiteconfig.Source {
	src := kwsiteconfig.Source{Base: kwsiteconfig.File(b.Base)}
	for _, o := range b.Overlays {
		src.Overlays = append(src.Overlays, kwsiteconfig.File(o))
	}
	return src
}

func digest(a *kwstatemachine.ApplyConfig) string {
	h := sha256.New()
	for _, f := range append([]kwsiteconfig.File{a.Source.Base}, a.Source.Overlays...) {
		sum := sha256.Sum256([]byte(f.Name + "\x00" + f.Text))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

const forcePeriod = 25 * time.Millisecond

// waitInForce waits until each entry has seen a revision or can no longer serve without it.
func (r *Role) waitInForce(ctx context.Context, revision kwid.Revision, wait time.Duration) bool {
	deadline := time.Now().Add(wait)
	for {
		if r.inForce(revision) {
			return true
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(forcePeriod)
	}
}

// inForce needs a full entry lease since the leader took over: only then has every entry that it does not know stopped serving.
func (r *Role) inForce(revision kwid.Revision) bool {
	in := false
	_ = r.loop.DoAsLeader(func(now time.Time, b *kwreconcile.Tables) {
		known := b.GatherUntil.Add(r.cfg.Timing.EntryLease - r.cfg.Timing.GatherPeriod)
		if now.Before(known) && b.State.Revision() > 1 {
			return
		}
		in = true
		for _, e := range b.Members.Entries() {
			in = in && e.Revision >= revision
		}
	})
	return in
}

func (r *Role) onDrain(c *gin.Context) {
	var body kwstatemachine.Drain
	if !bind(c, &body) {
		return
	}
	known := false
	if err := r.loop.DoAsLeader(func(_ time.Time, b *kwreconcile.Tables) { _, known = b.Members.Endpoint(body.Endpoint) }); err != nil {
		refuse(c, err)
		return
	}
	if !known {
		refuse(c, kwcode.New(kwcode.NotFound, "no endpoint %q", body.Endpoint))
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{Drain: &body})
	if reply.Err != nil {
		refuse(c, reply.Err)
		return
	}
	c.JSON(http.StatusOK, body)
}

// onMove starts the hand-over of a workspace's writes to a declared site.
func (r *Role) onMove(c *gin.Context) {
	var body kwstatemachine.Move
	if !bind(c, &body) {
		return
	}
	declared := false
	err := r.loop.DoAsLeader(func(_ time.Time, b *kwreconcile.Tables) {
		if fleet := b.State.Fleet(); fleet != nil {
			_, declared = fleet.Site(body.To)
		}
	})
	if err != nil {
		refuse(c, err)
		return
	}
	if !declared {
		refuse(c, kwcode.New(kwcode.NotFound, "no site %q", body.To))
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{Move: &body})
	if reply.Err != nil {
		refuse(c, reply.Err)
		return
	}
	c.JSON(http.StatusOK, reply.Owner)
}

func (r *Role) onJournal(c *gin.Context) {
	rows := []kwstatemachine.JournalRow{}
	err := r.loop.DoAsLeader(func(_ time.Time, b *kwreconcile.Tables) {
		for _, row := range b.State.JournalRows() {
			if c.Query("state") == "" || c.Query("state") == string(row.State) {
				rows = append(rows, row)
			}
		}
	})
	if err != nil {
		refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, rows)
}

func (r *Role) onSettle(c *gin.Context) {
	var body kwstatemachine.Settle
	if !bind(c, &body) {
		return
	}
	if body.Verdict != kwstatemachine.VerdictRan && body.Verdict != kwstatemachine.VerdictNotRun {
		refuse(c, kwcode.New(kwcode.MalformedRequest, "want verdict %q or %q", kwstatemachine.VerdictRan, kwstatemachine.VerdictNotRun))
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{Settle: &body})
	if reply.Err != nil {
		refuse(c, reply.Err)
		return
	}
	c.JSON(http.StatusOK, reply.Row)
}

func (r *Role) onEvents(c *gin.Context) {
	c.Status(http.StatusOK)
	_ = kwevent.WriteJSON(c.Writer, r.deps.Events.Records())
}
