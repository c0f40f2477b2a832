package kwagententry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
)

// serviceCall is one request of a caller to a service.
type serviceCall struct {
	role            *Role
	request         kwid.RequestID
	service         kwsiteconfig.Service
	rule            kwsiteconfig.CallRule
	message         kwagentproto.Call
	failedEndpoints map[kwid.EndpointID]bool
	replayed        bool
	startedAt       time.Time
	// ownerSite is the only site that may run the call; empty means any.
	ownerSite kwid.Site
}

// onService forwards a request to a service according to the rule for its method and path.
func (r *Role) onService(c *gin.Context) {
	request := newRequest(c)
	w := workspaceOf(c)
	sc, err := r.parseCall(c, request, w)
	if err != nil {
		r.writeError(c, request, err)
		return
	}
	adm, err := r.admit(c, request, sc.service.Timeout.Std(), nil)
	if err != nil {
		r.writeError(c, request, err)
		return
	}
	defer adm.end()
	sc.message.TimeoutMillis = adm.timeout.Milliseconds()
	var response kwstatemachine.Response
	if sc.message.Idempotent {
		response, err = sc.callIdempotent(adm.ctx)
	} else {
		response, err = sc.callAtMostOnce(adm.ctx)
	}
	if err != nil {
		r.writeError(c, request, err)
		return
	}
	r.recordDuration("service.request", time.Since(adm.start))
	sc.writeResponse(c, response)
	r.deps.Events.Emit(kwevent.RequestAnswered, request, kwevent.F("status", response.Status))
}

// parseCall validates a service request and builds the message for the agent.
func (r *Role) parseCall(c *gin.Context, request kwid.RequestID, w kwsiteconfig.Workspace) (*serviceCall, error) {
	name := kwid.ServiceName(c.Param("service"))
	service, ok := r.view.Load().fleet.Service(name)
	if !ok {
		return nil, kwcode.New(kwcode.UnknownService, "service %q", name)
	}
	path := c.Param("path")
	rule, ok := service.FindRule(c.Request.Method, path)
	if !ok {
		return nil, kwcode.New(kwcode.NoRule, "service %q declares no rule for %s %s", name, c.Request.Method, path)
	}
	if slices.ContainsFunc(strings.Split(path, "/"), isDotSegment) {
		return nil, kwcode.New(kwcode.MalformedRequest, "the path has a dot segment")
	}
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	key := c.GetHeader(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, kwcode.New(kwcode.MalformedRequest, "%s: at most %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	sc := &serviceCall{role: r, startedAt: time.Now(), request: request, service: service, rule: rule, failedEndpoints: make(map[kwid.EndpointID]bool)}
	sc.ownerSite = r.view.Load().ownerSites[w.Name]
	sc.message = kwagentproto.Call{
		Request:    request,
		Scope:      kwstatemachine.Scope{Workspace: w.Name, Service: name, Key: key},
		Idempotent: rule.Retry == kwsiteconfig.Idempotent,
		Method:     c.Request.Method,
		Path:       path,
		Query:      c.Request.URL.RawQuery,
		Headers:    forwardedHeaders(c.Request.Header),
		Body:       body,
	}
	return sc, nil
}

const maxKeyBytes = 255

// isDotSegment reports whether a path segment, once unescaped, would let the service read another path than the rule
// allows.
func isDotSegment(segment string) bool {
	unescaped, err := url.PathUnescape(segment)
	return err != nil || unescaped == "." || unescaped == ".." || strings.Contains(unescaped, "/")
}

// forwardedHeaders returns the caller's headers for the service, without the bearer token and connection headers.
func forwardedHeaders(headers http.Header) []kwstatemachine.Header {
	var out []kwstatemachine.Header
	for name, values := range headers {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Proxy-Authorization", "Content-Length", HeaderRequestID, HeaderTimeout, "Expect":
			continue
		}
		for _, v := range values {
			out = append(out, kwstatemachine.Header{Name: name, Value: v})
		}
	}
	slices.SortFunc(out, func(a, b kwstatemachine.Header) int { return compareHeaders(a, b) })
	return out
}

func compareHeaders(a, b kwstatemachine.Header) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// digest returns a hash of the request's content, by which the journal distinguishes a resend from a different request
// with the same key.
func (sc *serviceCall) digest() string {
	h := sha256.New()
	for _, part := range []string{sc.message.Method, sc.message.Path, sc.message.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(sc.message.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// writeResponse writes the service's status, headers and body to the caller.
func (sc *serviceCall) writeResponse(c *gin.Context, response kwstatemachine.Response) {
	headers := c.Writer.Header()
	for _, header := range response.Headers {
		headers.Add(header.Name, header.Value)
	}
	if sc.replayed {
		headers.Set(HeaderReplayed, "true")
	}
	c.Status(response.Status)
	_, _ = c.Writer.Write(response.Body)
}

// pickEndpoint returns the live endpoint with the fewest outstanding requests. It prefers endpoints of this site, then
// any that is not ejected, then any that has not failed this call.
func (sc *serviceCall) pickEndpoint() (kwmembership.Endpoint, error) {
	r := sc.role
	v := r.view.Load()
	status := endpointStatus{loads: r.loads, ejector: r.ejector, now: time.Now(), failed: sc.failedEndpoints}
	candidates := sc.filterBySite(v.byService[sc.service.Name])
	for _, skip := range []func(kwmembership.Endpoint) bool{
		func(e kwmembership.Endpoint) bool { return e.Site != r.cfg.Site || status.Excluded(e.ID) },
		func(e kwmembership.Endpoint) bool { return status.Excluded(e.ID) },
		func(e kwmembership.Endpoint) bool { return sc.failedEndpoints[e.ID] },
	} {
		if best, ok := leastLoaded(candidates, skip, status, int(r.rotation.Add(1))); ok {
			return best, nil
		}
	}
	return kwmembership.Endpoint{}, kwcode.New(kwcode.NoEndpoint, "service %q has no live endpoint left to try", sc.service.Name).After(defaultRetryAfter)
}

// filterBySite drops the endpoints of sites that may not run the call.
func (sc *serviceCall) filterBySite(endpoints []kwmembership.Endpoint) []kwmembership.Endpoint {
	if sc.ownerSite == "" {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e kwmembership.Endpoint) bool { return e.Site != sc.ownerSite })
}

// leastLoaded returns the endpoint with the fewest requests. The search starts at an offset, so that endpoints with
// equal load take turns.
func leastLoaded(endpoints []kwmembership.Endpoint, skip func(kwmembership.Endpoint) bool, status endpointStatus, offset int) (kwmembership.Endpoint, bool) {
	var best kwmembership.Endpoint
	found := false
	for i := range endpoints {
		e := endpoints[(offset+i)%len(endpoints)]
		if skip(e) {
			continue
		}
		if !found || status.Outstanding(e.ID) < status.Outstanding(best.ID) {
			best = e
			found = true
		}
	}
	return best, found
}

// send sends the call to the agent of an endpoint and waits for the response. Nothing is sent if the agent can't be
// reached or if the gate is closed, since the caller was already told that the call did not run; both errors have the
// outcome "not run".
func (sc *serviceCall) send(ctx context.Context, endpoint kwmembership.Endpoint, attempt kwid.Attempt, gate *sendGate) (kwstatemachine.Response, error) {
	r := sc.role
	r.loads.add(endpoint.ID, 1)
	defer r.loads.add(endpoint.ID, -1)
	s, err := r.transport.Open(ctx, endpoint.Address, endpoint.Agent)
	if err != nil {
		sc.failedEndpoints[endpoint.ID] = true
		return kwstatemachine.Response{}, kwcode.New(kwcode.NoEndpoint, "%v", err).WithEndpoint(string(endpoint.ID)).After(defaultRetryAfter)
	}
	if gate != nil && !gate.trySend() {
		s.Abort()
		return kwstatemachine.Response{}, errDeadlineBeforeSend
	}
	message := sc.message
	message.Attempt = attempt
	message.Incarnation = endpoint.Incarnation
	r.deps.Events.Emit(kwevent.CallSent, sc.request, kwevent.F("endpoint", endpoint.ID), kwevent.F("attempt", attempt))
	var reply kwagentproto.CallReply
	if err := s.Call(ctx, kwagentproto.KindCall, message, &reply); err != nil {
		sc.failedEndpoints[endpoint.ID] = true
		return kwstatemachine.Response{}, kwcode.FromError(err).WithEndpoint(string(endpoint.ID))
	}
	r.ejector.RecordSuccess(endpoint.ID)
	return reply.Response, nil
}

// callIdempotent makes an idempotent call; after a failure it retries on another endpoint.
func (sc *serviceCall) callIdempotent(ctx context.Context) (kwstatemachine.Response, error) {
	r := sc.role
	r.budget.RecordFirstAttempt()
	var lastErr error
	for attempts := 1; ; attempts++ {
		endpoint, err := sc.pickEndpoint()
		if err != nil {
			return kwstatemachine.Response{}, preferAttemptError(lastErr, err)
		}
		attemptCtx, cancel := sc.attemptContext(ctx)
		response, err := sc.send(attemptCtx, endpoint, kwid.Attempt(attempts), nil)
		cancel()
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return kwstatemachine.Response{}, kwcode.New(kwcode.DeadlineExceeded, "%v", err).After(defaultRetryAfter)
		}
		r.ejector.Fail(time.Now(), endpoint.ID)
		r.deps.Events.Emit(kwevent.AttemptFailed, sc.request, kwevent.F("endpoint", endpoint.ID), kwevent.F("error", err.Error()))
		lastErr = kwcode.New(kwcode.LookupFailed, "%v", err).After(defaultRetryAfter)
		if !kwretry.Retryable(err, true, attempts) || !r.budget.AllowRetry(attempts) {
			return kwstatemachine.Response{}, lastErr
		}
	}
}

// attemptContext gives one attempt half of the time left until the deadline, so that another one can follow.
func (sc *serviceCall) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// preferAttemptError returns the error of the last attempt if there was one, else the error that prevented an attempt.
func preferAttemptError(attemptErr, err error) error {
	if attemptErr != nil {
		return attemptErr
	}
	return err
}
