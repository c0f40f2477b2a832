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
	"github.com/gin-gonic/gin/binding"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// MaxAdminBodyBytes limits the body of an admin request.
const MaxAdminBodyBytes = 4 << 20

// StatusReply is the status of a control process as the admin interface reports it.
type StatusReply struct {
	Node         kwid.NodeID             `json:"node"`
	Leading      bool                    `json:"leading"`
	Log          kwraft.Status           `json:"log"`
	Revision     kwid.Revision           `json:"revision"`
	FencingToken kwid.FencingToken       `json:"fence"`
	Endpoints    []kwmembership.Endpoint `json:"endpoints"`
	Entries      []kwmembership.Entry    `json:"entries"`
	OpenRows     int                     `json:"open-rows"`
	Owners       []kwstatemachine.Owner  `json:"owners"`
	KeyExpiry    time.Time               `json:"key-expires"`
	// SilentVoters are the voters that do not answer the leader; each of them uses up a failure that the log tolerates.
	SilentVoters []kwid.NodeID `json:"silent-voters,omitempty"`
	Notice       string        `json:"notice,omitempty"`
}

// silentVoterTimeout is longer than an election and a reconnect.
const silentVoterTimeout = 3 * time.Second

// FileBody is one settings file in an admin request or reply.
type FileBody struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// ConfigBody carries a complete fleet declaration; Revision is the current one in a reply, and the one that a
// change is based on in a request. WaitMS limits how long a change waits to be in force.
type ConfigBody struct {
	Revision kwid.Revision `json:"revision"`
	ChangeID string        `json:"change-id,omitempty"`
	Base     FileBody      `json:"base"`
	Overlays []FileBody    `json:"overlays"`
	WaitMS   int64         `json:"wait-ms,omitempty"`
}

// ApplyReply answers an accepted change; InForce reports whether every entry already serves with it.
type ApplyReply struct {
	Revision kwid.Revision `json:"revision"`
	InForce  bool          `json:"in-force"`
}

// ErrorReply is the body of every rejected admin request.
type ErrorReply struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error by its result code, and tells whether the request may have taken effect.
type ErrorDetail struct {
	Code    kwcode.Code    `json:"code"`
	Name    string         `json:"name"`
	Message string         `json:"message"`
	Outcome kwcode.Outcome `json:"outcome"`
}

// NewErrorDetail returns the JSON form of an error.
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

// writeError answers with the HTTP status of the error's result code, or 400 if the code has none.
func writeError(c *gin.Context, err error) {
	codedErr := kwcode.FromError(err)
	status := kwcode.Describe(codedErr.Code).Status
	if status == 0 {
		status = http.StatusBadRequest
	}
	c.AbortWithStatusJSON(status, ErrorReply{Error: NewErrorDetail(codedErr)})
}

// checkToken admits operators by bearer token, never by an empty one. Without a configured token it admits everyone who can
// reach the listener.
func (r *Role) checkToken(c *gin.Context) {
	if r.cfg.AdminTokenSHA256 == "" {
		return
	}
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	tokenSHA256 := hex.EncodeToString(sum[:])
	if token == "" || subtle.ConstantTimeCompare([]byte(tokenSHA256), []byte(r.cfg.AdminTokenSHA256)) != 1 {
		writeError(c, kwcode.New(kwcode.Unauthenticated, "the admin token is wrong"))
	}
}

// maxTickAge is the age of the loop's last tick beyond which the process counts as not ready.
const maxTickAge = 2 * time.Second

// onReady reports readiness: the control loop runs, and this member knows a leader.
func (r *Role) onReady(c *gin.Context) {
	if time.Since(r.loop.LastTick()) > maxTickAge {
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
	r.loop.Do(func(now time.Time, t *kwreconcile.Tables) {
		out.Leading = t.Leading
		out.SilentVoters = r.loop.raft.SilentVoters(now, silentVoterTimeout)
		out.Revision = t.State.Revision()
		out.FencingToken = t.State.FencingToken()
		out.Endpoints = t.Membership.Since(0)
		out.Entries = t.Membership.Entries()
		out.OpenRows = len(t.State.OpenRows())
		out.Owners = t.State.Owners(0)
		out.Log = r.loop.raft.Status()
	})
	if len(out.Log.Members.Voters) == 1 {
		out.Notice = "one control process: losing its disk loses the journal and the configuration"
	}
	c.JSON(http.StatusOK, out)
}

func (r *Role) onShowConfig(c *gin.Context) {
	var out ConfigBody
	err := r.loop.DoAsLeader(func(_ time.Time, t *kwreconcile.Tables) {
		src := t.State.Source()
		out.Revision = t.State.Revision()
		out.Base = FileBody(src.Base)
		for _, o := range src.Overlays {
			out.Overlays = append(out.Overlays, FileBody(o))
		}
	})
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, out)
}

// decodeBody decodes the request's JSON body into out; on failure it answers with an error and returns false.
func (r *Role) decodeBody(c *gin.Context, out any) bool {
	account := r.adminBuffers.OpenReclaiming(r.adminGuard.Reclaim)
	defer account.Close()
	body, err := kwupstream.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, MaxAdminBodyBytes), c.Request.ContentLength, account)
	if kwcode.Is(err, kwcode.BuffersFull) {
		writeError(c, err)
		return false
	}
	if err == nil {
		err = binding.JSON.BindBody(body, out)
	}
	if err != nil {
		writeError(c, kwcode.New(kwcode.MalformedRequest, "%v", err))
		return false
	}
	return true
}

func (r *Role) onApplyConfig(c *gin.Context) {
	var body ConfigBody
	if !r.decodeBody(c, &body) {
		return
	}
	if body.ChangeID == "" {
		writeError(c, kwcode.New(kwcode.MalformedRequest, "a change needs a change-id"))
		return
	}
	apply := &kwstatemachine.ApplyConfig{ChangeID: body.ChangeID, BaseRevision: body.Revision, Source: body.source()}
	apply.Digest = sourceDigest(apply)
	if _, err := kwsiteconfig.Load(apply.Source); err != nil {
		writeError(c, err)
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{ApplyConfig: apply})
	if reply.Err != nil {
		writeError(c, reply.Err)
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

// sourceDigest returns a digest of the names and contents of a change's settings files.
func sourceDigest(a *kwstatemachine.ApplyConfig) string {
	h := sha256.New()
	for _, f := range append([]kwsiteconfig.File{a.Source.Base}, a.Source.Overlays...) {
		sum := sha256.Sum256([]byte(f.Name + "\x00" + f.Text))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// inForcePollInterval is the interval at which waitInForce checks the entries.
const inForcePollInterval = 25 * time.Millisecond

// waitInForce waits up to wait until every entry either serves with the revision or can no longer serve at all.
func (r *Role) waitInForce(ctx context.Context, revision kwid.Revision, wait time.Duration) bool {
	deadline := time.Now().Add(wait)
	for {
		if r.inForce(revision) {
			return true
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(inForcePollInterval)
	}
}

// inForce reports whether every live entry serves with the revision. It is false until the leader has led for a full
// entry lease: only then have all entries that it does not know stopped serving. The first revision needs no such wait,
// as there is no older one to serve with.
func (r *Role) inForce(revision kwid.Revision) bool {
	inForce := false
	_ = r.loop.DoAsLeader(func(now time.Time, t *kwreconcile.Tables) {
		allKnownAt := t.GatherUntil.Add(r.cfg.Timing.EntryLease - r.cfg.Timing.GatherPeriod)
		if now.Before(allKnownAt) && t.State.Revision() > 1 {
			return
		}
		inForce = true
		for _, e := range t.Membership.Entries() {
			inForce = inForce && e.Revision >= revision
		}
	})
	return inForce
}

func (r *Role) onDrain(c *gin.Context) {
	var body kwstatemachine.Drain
	if !r.decodeBody(c, &body) {
		return
	}
	known := false
	if err := r.loop.DoAsLeader(func(_ time.Time, t *kwreconcile.Tables) { _, known = t.Membership.Endpoint(body.Endpoint) }); err != nil {
		writeError(c, err)
		return
	}
	if !known {
		writeError(c, kwcode.New(kwcode.NotFound, "no endpoint %q", body.Endpoint))
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{Drain: &body})
	if reply.Err != nil {
		writeError(c, reply.Err)
		return
	}
	c.JSON(http.StatusOK, body)
}

// onMove starts moving the ownership of a workspace's writes to a declared site.
func (r *Role) onMove(c *gin.Context) {
	var body kwstatemachine.Move
	if !r.decodeBody(c, &body) {
		return
	}
	declared := false
	err := r.loop.DoAsLeader(func(_ time.Time, t *kwreconcile.Tables) {
		if fleet := t.State.Fleet(); fleet != nil {
			_, declared = fleet.Site(body.To)
		}
	})
	if err != nil {
		writeError(c, err)
		return
	}
	if !declared {
		writeError(c, kwcode.New(kwcode.NotFound, "no site %q", body.To))
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{Move: &body})
	if reply.Err != nil {
		writeError(c, reply.Err)
		return
	}
	c.JSON(http.StatusOK, reply.Owner)
}

func (r *Role) onJournal(c *gin.Context) {
	rows := []kwstatemachine.JournalRow{}
	err := r.loop.DoAsLeader(func(_ time.Time, t *kwreconcile.Tables) {
		for _, row := range t.State.JournalRows() {
			if c.Query("state") == "" || c.Query("state") == string(row.State) {
				rows = append(rows, row)
			}
		}
	})
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, rows)
}

func (r *Role) onSettle(c *gin.Context) {
	var body kwstatemachine.Settle
	if !r.decodeBody(c, &body) {
		return
	}
	if body.Verdict != kwstatemachine.VerdictRan && body.Verdict != kwstatemachine.VerdictNotRun {
		writeError(c, kwcode.New(kwcode.MalformedRequest, "want verdict %q or %q", kwstatemachine.VerdictRan, kwstatemachine.VerdictNotRun))
		return
	}
	reply := r.loop.Propose(c.Request.Context(), kwstatemachine.Command{Settle: &body})
	if reply.Err != nil {
		writeError(c, reply.Err)
		return
	}
	c.JSON(http.StatusOK, reply.Row)
}

func (r *Role) onEvents(c *gin.Context) {
	c.Status(http.StatusOK)
	_ = kwevent.WriteJSON(c.Writer, r.deps.Events.Records())
}
