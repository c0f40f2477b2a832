package kwdirectentry

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// request is one caller request on its way through the gate.
type request struct {
	w         http.ResponseWriter
	r         *http.Request
	call      kwupstream.RequestMeta
	view      *view
	route     *kwdeclaration.Route
	workspace *kwdeclaration.Workspace
	service   kwid.ServiceName
	body      []byte
	arrived   time.Time
	deadline  time.Time
	// What the log line of the request tells.
	sends int
	// broken means that the caller has part of a stream that has broken off.
	broken bool
	waited time.Duration
	first  time.Duration
	// heard is when the caller got the last event of a stream, pause the longest time between two.
	heard    time.Time
	pause    time.Duration
	endpoint kwid.EndpointID
	chain    string
	resumed  int
}

// turn is the time in which the request wants its turn: its objective, or what its caller still bears where that is past.
func (q *request) turn() time.Duration {
	if q.broken {
		return brokenObjectives * q.route.LatencyObjective
	}
	if q.late() {
		return lateObjectives * q.route.LatencyObjective
	}
	return q.route.LatencyObjective
}

func (q *request) left() time.Duration { return time.Until(q.deadline) }

// brokenFirst ranks streams that have broken off before all others: their callers hold part of an answer already.
const brokenFirst = -1

func (q *request) priority() int {
	if q.broken {
		return brokenFirst
	}
	if q.late() {
		return q.rank() + lateRank
	}
	return q.rank()
}

// lateRank is what a request loses that cannot be in time any more, as after an outage: those that still can go first.
const lateRank = 1

// late tells whether the first event would miss the objective whenever the request got its turn.
func (q *request) late() bool { return time.Since(q.arrived) > q.route.LatencyObjective }

func (q *request) rank() int {
	if q.workspace != nil && q.workspace.Priority != nil {
		return *q.workspace.Priority
	}
	return q.route.Priority
}

// upstream returns the request as an endpoint gets it.
func (q *request) upstream(d kwupstream.Dialect, out kwupstream.ForwardMeta) *kwupstream.Request {
	out.Timeout = q.left()
	if q.workspace != nil {
		out.Workspace = q.workspace.Name
	}
	h := kwupstream.ForwardHeaders(q.r.Header)
	d.WriteRequest(h, out)
	return &kwupstream.Request{
		ID:     q.call.ID,
		Method: q.r.Method,
		Target: q.r.RequestURI,
		Host:   q.r.Host,
		Header: h,
		Body:   q.body,
	}
}

func (g *Gateway) serveHTTP(w http.ResponseWriter, r *http.Request) {
	g.busy.Add(1)
	defer g.busy.Add(-1)
	q := &request{w: w, r: r, arrived: time.Now(), view: g.view.Load()}
	q.call = g.deps.Dialect.ReadRequest(r.Header)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := g.route(q); err != nil {
		g.reject(q, err)
		return
	}
	if err := q.readBody(); err != nil {
		g.reject(q, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Kind == kwdeclaration.Streaming {
		g.stream(ctx, q)
		return
	}
	g.plain(ctx, q)
}

// route finds what the declaration says of a request; it reads the body only afterwards.
func (g *Gateway) route(q *request) *kwcode.Error {
	g.awaitView(q)
	if !g.serves(q.view) {
		g.measures.viewFails.Inc(1)
		return kwcode.New(kwcode.ViewExpired, "the view was confirmed %v ago", g.deps.Now().Sub(q.view.confirmed)).After(comeBack)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.view.index.Route(hostOf(q.r.Host), path)
	if q.route == nil {
		return kwcode.New(kwcode.NoRule, "no route for host %q and path %q", q.r.Host, path)
	}
	if q.view.index.RequiresKey(q.route) {
		q.workspace = q.view.index.WorkspaceByKey(q.call.Credential)
		if q.workspace == nil {
			return kwcode.New(kwcode.Unauthenticated, "the key belongs to no workspace")
		}
	}
	span := q.route.Timeout
	if q.call.Timeout > 0 {
		span = min(span, q.call.Timeout)
	}
	q.deadline = q.arrived.Add(span)
	q.service = q.route.PickService(draw(q.call.ID))
	g.budgets.ForService(q.service).RecordFirstAttempt(q.arrived)
	return nil
}

// hostOf drops the port of a Host header.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// draw maps a request id onto [0, 1), so that a split of a route is even and repeatable.
func draw(id kwid.RequestID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

func (q *request) readBody() *kwcode.Error {
	limit := q.view.index.Declaration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = usualBody
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	if q.r.ContentLength > limit {
		return kwcode.New(kwcode.BodyTooLarge, "%d bytes, limit %d", q.r.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		q.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return kwcode.New(kwcode.BodyTooLarge, "over %d bytes", limit)
	}
	return kwcode.New(kwcode.MalformedRequest, "the body: %v", err)
}

// reject answers a request that has not run and will not.
func (g *Gateway) reject(q *request, err *kwcode.Error) {
	g.measures.rejected.Inc(1)
	g.writeError(q, err)
	g.logEnd(kwevent.RequestRefused, q, kwcode.Describe(err.Code).Status, err)
}

// fail answers a request that may have run.
func (g *Gateway) fail(q *request, err *kwcode.Error) {
	g.measures.failed.Inc(1)
	g.writeError(q, err)
	g.logEnd(kwevent.RequestFailed, q, kwcode.Describe(err.Code).Status, err)
}

// errorBody is the JSON body of an answer of the gate's own.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

func (g *Gateway) writeError(q *request, err *kwcode.Error) {
	info := kwcode.Describe(err.Code)
	if err.RetryAfter > 0 {
		g.deps.Dialect.WriteRetryAfter(q.w.Header(), err.RetryAfter)
	}
	q.w.Header().Set("Content-Type", "application/json")
	q.w.WriteHeader(info.Status)
	// The caller may have left; there is nobody else to tell.
	_ = json.NewEncoder(q.w).Encode(errorBody{Code: int(err.Code), Name: info.Name, Outcome: string(info.Outcome), Detail: err.Detail})
}

// logEnd writes the line of a request that has ended.
func (g *Gateway) logEnd(id kwevent.ID, q *request, status int, err *kwcode.Error) {
	fields := []kwevent.Field{
		kwevent.F("status", status), kwevent.F("view", q.view.number),
		kwevent.F("view-age-ms", g.deps.Now().Sub(q.view.confirmed).Milliseconds()),
		kwevent.F("total-ms", time.Since(q.arrived).Milliseconds()),
		kwevent.F("sends", q.sends), kwevent.F("waited-ms", q.waited.Milliseconds()),
	}
	if q.route != nil {
		fields = append(fields, kwevent.F("route", q.route.Name), kwevent.F("kind", q.route.Kind.String()), kwevent.F("service", q.service))
	}
	if q.workspace != nil {
		fields = append(fields, kwevent.F("workspace", q.workspace.Name))
	}
	if q.endpoint != "" {
		fields = append(fields, kwevent.F("endpoint", q.endpoint))
	}
	if q.chain != "" {
		fields = append(fields, kwevent.F("chain", q.chain))
	}
	if q.first > 0 {
		fields = append(fields, kwevent.F("first-ms", q.first.Milliseconds()), kwevent.F("resumed", q.resumed),
			kwevent.F("pause-ms", q.pause.Milliseconds()))
	}
	if err != nil {
		fields = append(fields, kwevent.F("code", int(err.Code)), kwevent.F("error", err.Error()), kwevent.F("retry-after-ms", err.RetryAfter.Milliseconds()))
	}
	g.deps.Events.Emit(id, q.call.ID, fields...)
}

// gone ends a request whose caller has left; the connection is cut since nobody reads an answer.
func (g *Gateway) gone(q *request) {
	g.measures.gone.Inc(1)
	g.logEnd(kwevent.CallerGone, q, 0, nil)
	panic(http.ErrAbortHandler)
}

// copyHeaders passes on the headers of an endpoint's answer.
func copyHeaders(w http.ResponseWriter, h http.Header) {
	to := w.Header()
	closing := to.Get("Connection")
	for name, values := range kwupstream.ForwardHeaders(h) {
		to[name] = values
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
}
