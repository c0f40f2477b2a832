package kwdirectentry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"knapweedproxy/core/kwadmission"
	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwqueue"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// request is one caller's request on its way through the gateway.
type request struct {
	w         http.ResponseWriter
	r         *http.Request
	meta      kwupstream.RequestMeta
	view      *view
	route     *kwdeclaration.Route
	workspace *kwdeclaration.Workspace
	service   kwid.ServiceName
	body      []byte
	// bodyBuffers is what the body holds of the memory of the entry, buffers what the answers hold: a large body must not keep a request that
	// has been sent from its answer.
	bodyBuffers, buffers *kwbuffer.Account
	arrived              time.Time
	deadline             time.Time
	// sends counts the attempts that were sent to an endpoint.
	sends int
	// crashes counts the attempts that ended with the crash of an endpoint before the answer had begun.
	crashes int
	// suspect means that a part of the prompt was a suspect when the request was last checked before it was first sent.
	suspect bool
	// trial means that the leader lets the request pass although a part of its prompt is quarantined.
	trial bool
	// digest identifies what the request asks for, also when it comes again under another ID.
	digest kwid.RequestDigest
	// ownCrashes counts the attempts that ended with the crash of an endpoint at any time.
	ownCrashes int
	// suspectRequest means that the request was a suspect when it was last checked before it was first sent.
	suspectRequest bool
	// requestTrial means that the leader lets the request pass although it is kept from servers.
	requestTrial bool
	// returning means that the caller was rejected before and comes back.
	returning bool
	// broken means that the caller has received part of a stream that has broken off.
	broken bool
	// waited is the time spent waiting for a view and in the queue, firstEvent the time from arrival to the first event.
	waited     time.Duration
	firstEvent time.Duration
	// lastEventAt is when the caller received the last event of a stream, longestPause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
	// limited means that the request has waited while endpoints were at the limits that they have named.
	limited bool
	// admission is the verdict of admission control, if it covers the request.
	admission kwadmission.Verdict
	// hedged is how the hedge of the request went, empty if none was sent.
	hedged hedgeOutcome
	// endpoint and chain are those of the last attempt, for the log.
	endpoint    kwid.EndpointID
	chain       string
	resumptions int
	// expected is the time that the chain of the last attempt was expected to take for the whole answer.
	expected time.Duration
	// events is how many events the caller has received.
	events int
	// headSent means that the head of the answer has been written.
	headSent bool
}

// writeHead writes the head of the answer. From now on a caller that does not read holds up the write, for deliveryTimeout beyond the deadline
// of its request at most.
func (q *request) writeHead(status int) {
	end := time.Now()
	if q.deadline.After(end) {
		end = q.deadline
	}
	// It fails only once the connection is closed, which the write will tell.
	_ = http.NewResponseController(q.w).SetWriteDeadline(end.Add(deliveryTimeout))
	q.w.WriteHeader(status)
	q.headSent = true
}

// urgency is what the caller has to gain from being served soon.
func (q *request) urgency() kwqueue.Urgency {
	return kwqueue.UrgencyOf(time.Now(), q.arrived, q.route.LatencyObjective, q.broken)
}

func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

func (q *request) basePriority() int {
	if q.workspace != nil && q.workspace.Priority != nil {
		return *q.workspace.Priority
	}
	return q.route.Priority
}

// workspaceName returns the name of the caller's workspace, empty if it has none.
func (q *request) workspaceName() kwid.WorkspaceName {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// upstreamRequest returns the request as it is sent to an endpoint.
func (q *request) upstreamRequest(d kwupstream.Dialect, out kwupstream.ForwardMeta) *kwupstream.Request {
	out.Timeout = q.remaining()
	classes := q.view.index.PriorityClasses(q.service)
	out.Priority = q.urgency().EnginePriority(classes.Position(q.basePriority()), classes.Len())
	if q.workspace != nil {
		out.Workspace = q.workspace.Name
	}
	h := kwupstream.ForwardHeaders(q.r.Header)
	d.WriteRequest(h, out)
	return &kwupstream.Request{
		ID:      q.meta.ID,
		Method:  q.r.Method,
		Target:  q.r.RequestURI,
		Host:    q.r.Host,
		Header:  h,
		Body:    q.body,
		Buffers: q.buffers,
	}
}

// errEntryStopped is the cause with which the end of a drain ends the requests in progress.
var errEntryStopped = errors.New("the entry has stopped")

// stopped reports whether the end of the drain has ended the request.
func (q *request) stopped() bool { return errors.Is(context.Cause(q.r.Context()), errEntryStopped) }

// callerLeft reports whether the caller has left, rather than the entry having ended the request.
func (q *request) callerLeft() bool { return q.r.Context().Err() != nil && !q.stopped() }

// stoppingError is the rejection of a request that has not run and that this entry has no time for.
func stoppingError(detail string) *kwcode.Error {
	return kwcode.New(kwcode.EntryStopping, "%s", detail).After(stoppingRetryAfter)
}

func (g *Gateway) serveHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	stopEnd := context.AfterFunc(g.drained, func() { end(errEntryStopped) })
	defer stopEnd()
	r = r.WithContext(ctx)
	q := &request{w: w, r: r, arrived: time.Now(), view: g.view.Load()}
	defer g.answerPanic(q)
	q.meta = g.deps.Dialect.ReadRequest(r.Header)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := g.resolveRoute(q); err != nil {
		g.reject(q, err)
		return
	}
	q.bodyBuffers, q.buffers = g.buffers.OpenReclaiming(g.callers.Reclaim), g.buffers.Open()
	defer q.bodyBuffers.Close()
	defer q.buffers.Close()
	if err := q.readBody(); err != nil {
		g.reject(q, err)
		return
	}
	if !g.buffers.HasRoom() {
		g.reject(q, kwcode.New(kwcode.BuffersFull, "the entry has no memory for an answer").After(buffersFullRetryAfter))
		return
	}
	q.setDigest()
	if g.drained.Err() != nil {
		g.reject(q, stoppingError("the entry has stopped"))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.route.Kind == kwdeclaration.Streaming {
		q.returning = g.scheduler.observeCaller(q.arrived, q.route.Name, q.meta.Timeout)
		g.serveStream(ctx, q)
		return
	}
	g.serveUnary(ctx, q)
}

// answerPanic answers a request whose handler panics; http.ErrAbortHandler, with which handlers end connections, is passed on. The request may
// have run, and nothing of an endpoint's answer may go with the failure.
func (g *Gateway) answerPanic(q *request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	g.recordPanic(q.meta.ID, cause)
	if q.headSent {
		panic(http.ErrAbortHandler)
	}
	maps.DeleteFunc(q.w.Header(), func(name string, _ []string) bool { return name != "Connection" })
	g.fail(q, kwcode.New(kwcode.OutcomeUnknown, "the entry failed on the request"))
}

// recordPanic counts and logs a panic that fails one request alone.
func (g *Gateway) recordPanic(id kwid.RequestID, cause any) {
	g.metrics.panicked.Inc(1)
	g.deps.Events.Emit(kwevent.RequestPanicked, id, kwevent.F("error", fmt.Sprint(cause)), kwevent.F("stack", string(debug.Stack())))
}

// resolveRoute looks up the route, workspace, deadline and service of a request in the declaration, before the body is
// read. It waits for a valid view if there is none.
func (g *Gateway) resolveRoute(q *request) *kwcode.Error {
	g.waitForView(q)
	if !g.viewValid(q.view) {
		g.metrics.viewRefused.Inc(1)
		if g.stopping.Load() {
			return stoppingError("the entry is stopping and has no valid view")
		}
		return kwcode.New(kwcode.ViewExpired, "the view was last confirmed %v ago", g.deps.Now().Sub(q.view.confirmedAt)).After(noViewRetryAfter)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	route := q.view.index.Route(stripPort(q.r.Host), path)
	if route == nil {
		return kwcode.New(kwcode.NoRule, "no route for host %q and path %q", q.r.Host, path)
	}
	// A pointer into the declaration would keep all of it as long as the request lasts.
	ownRoute := *route
	q.route = &ownRoute
	workspace, admitted := q.view.index.Admit(route, q.meta.Credential)
	if !admitted {
		return kwcode.New(kwcode.Unauthenticated, "the key belongs to no workspace")
	}
	if workspace != nil {
		ownWorkspace := *workspace
		ownWorkspace.Keys = nil
		q.workspace = &ownWorkspace
	}
	timeout := q.route.Timeout
	if q.meta.Timeout > 0 {
		timeout = min(timeout, q.meta.Timeout)
	}
	q.deadline = q.arrived.Add(timeout)
	q.service = q.route.PickService(hashFraction(q.meta.ID))
	q.view = q.view.forService(q.service)
	g.retryBudgets.ForService(q.service).RecordFirstAttempt(q.arrived)
	if g.hedger.On() {
		g.hedger.RecordRequest(q.arrived, q.service)
	}
	return nil
}

// stripPort removes the port from a Host header.
func stripPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// hashFraction maps a request ID to [0, 1), so that the traffic split of a route is even and repeatable.
func hashFraction(id kwid.RequestID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

func (q *request) readBody() *kwcode.Error {
	limit := q.view.index.Declaration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	if q.r.ContentLength > limit {
		return kwcode.New(kwcode.BodyTooLarge, "the body has %d bytes, the limit is %d", q.r.ContentLength, limit)
	}
	// The deadline bounds the body too. The server resets it once the body is whole.
	_ = http.NewResponseController(q.w).SetReadDeadline(q.deadline)
	// The end of a drain interrupts the read; the read's own error would say nothing of that.
	stop := context.AfterFunc(q.r.Context(), func() { _ = http.NewResponseController(q.w).SetReadDeadline(time.Now()) })
	defer stop()
	body, err := kwupstream.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength, q.bodyBuffers)
	if err == nil {
		q.body = body
		return nil
	}
	if q.stopped() {
		return stoppingError("the entry has stopped before the body was complete")
	}
	if kwcode.Is(err, kwcode.BuffersFull) {
		return kwcode.FromError(err).After(buffersFullRetryAfter)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return kwcode.New(kwcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	// The library's own errors do not always say that the deadline has passed.
	if errors.Is(err, os.ErrDeadlineExceeded) || q.remaining() <= 0 {
		return kwcode.New(kwcode.BodyTimeout, "the body did not arrive before the deadline")
	}
	return kwcode.New(kwcode.MalformedRequest, "reading the body: %v", err)
}

// reject answers a request that has not run and will not run.
func (g *Gateway) reject(q *request, err *kwcode.Error) {
	g.metrics.rejected.Inc(1)
	if err.Code == kwcode.EndpointLimit {
		g.metrics.limitRefused.Inc(1)
	}
	g.writeError(q, err)
	g.logEnd(kwevent.RequestRefused, q, kwcode.Describe(err.Code).Status, err)
}

// causedAtWill reports whether callers can cause the end of a request as often as they like: they leave, or are rejected before anything was
// sent. The log must not grow with them.
func causedAtWill(id kwevent.ID, q *request) bool {
	return id == kwevent.CallerGone || id == kwevent.RequestRefused && q.sends == 0
}

// fail answers a request that may have run.
func (g *Gateway) fail(q *request, err *kwcode.Error) {
	g.metrics.failed.Inc(1)
	g.writeError(q, err)
	g.logEnd(kwevent.RequestFailed, q, kwcode.Describe(err.Code).Status, err)
}

// errorBody is the JSON body of an error response of the gateway itself.
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
	q.writeHead(info.Status)
	// Encode fails only if the caller has disconnected, and then there is nobody to report it to.
	_ = json.NewEncoder(q.w).Encode(errorBody{Code: int(err.Code), Name: info.Name, Outcome: string(info.Outcome), Detail: err.Detail})
}

// logEnd logs the end of a request.
func (g *Gateway) logEnd(id kwevent.ID, q *request, status int, err *kwcode.Error) {
	fields := []kwevent.Field{
		kwevent.F("status", status), kwevent.F("view", q.view.declarationNumber),
		kwevent.F("view-age-ms", g.deps.Now().Sub(q.view.confirmedAt).Milliseconds()),
		kwevent.F("total-ms", time.Since(q.arrived).Milliseconds()),
		kwevent.F("timeout-ms", q.meta.Timeout.Milliseconds()),
		kwevent.F("sends", q.sends), kwevent.F("waited-ms", q.waited.Milliseconds()),
	}
	if q.route != nil {
		fields = append(fields, kwevent.F("route", q.route.Name), kwevent.F("kind", q.route.Kind.String()), kwevent.F("service", q.service))
	}
	if q.workspace != nil {
		fields = append(fields, kwevent.F("workspace", q.workspace.Name))
	}
	if q.limited {
		g.metrics.limitWaits.Inc(1)
		fields = append(fields, kwevent.F("limited", true))
	}
	if q.returning {
		g.metrics.returned.Inc(1)
		fields = append(fields, kwevent.F("returning", true))
	}
	fields = append(fields, admissionFields(q)...)
	if q.hedged != hedgeNone {
		fields = append(fields, kwevent.F("hedged", true), kwevent.F("won", string(q.hedged)))
	}
	if q.endpoint != "" {
		fields = append(fields, kwevent.F("endpoint", q.endpoint))
	}
	if q.chain != "" {
		fields = append(fields, kwevent.F("chain", q.chain))
	}
	if q.firstEvent > 0 {
		fields = append(fields, kwevent.F("first-ms", q.firstEvent.Milliseconds()), kwevent.F("resumed", q.resumptions),
			kwevent.F("pause-ms", q.longestPause.Milliseconds()), kwevent.F("expected-ms", q.expected.Milliseconds()),
			kwevent.F("answer-tokens", q.answerTokens()), kwevent.F("max-answer-tokens", q.meta.MaxAnswerTokens), kwevent.F("events", q.events))
	}
	if err != nil {
		fields = append(fields, kwevent.F("code", int(err.Code)), kwevent.F("error", err.Error()), kwevent.F("retry-after-ms", err.RetryAfter.Milliseconds()))
	}
	if causedAtWill(id, q) {
		g.deps.Events.EmitLimited(id, q.meta.ID, fields...)
		return
	}
	g.deps.Events.Emit(id, q.meta.ID, fields...)
}

// abortCallerGone ends a request whose caller has left; it closes the connection, since nobody reads an answer.
func (g *Gateway) abortCallerGone(q *request) {
	g.metrics.callerGone.Inc(1)
	g.logEnd(kwevent.CallerGone, q, 0, nil)
	panic(http.ErrAbortHandler)
}

// abortUndelivered ends a request whose answer could not be written, since its caller has left or the entry has stopped.
func (g *Gateway) abortUndelivered(q *request) {
	if !q.stopped() {
		g.abortCallerGone(q)
	}
	code := kwcode.OutcomeUnknown
	if q.route.Kind == kwdeclaration.Streaming {
		code = kwcode.StreamCut
	}
	g.metrics.failed.Inc(1)
	g.logEnd(kwevent.RequestFailed, q, 0, kwcode.New(code, "%v before the answer was delivered", errEntryStopped))
	panic(http.ErrAbortHandler)
}

// copyHeaders copies the headers of an endpoint's response, except that a Connection header of the gateway itself
// stays.
func copyHeaders(w http.ResponseWriter, h http.Header) {
	dst := w.Header()
	connection := dst.Get("Connection")
	for name, values := range kwupstream.ForwardHeaders(h) {
		dst[name] = values
	}
	if connection != "" {
		dst.Set("Connection", connection)
	}
}
