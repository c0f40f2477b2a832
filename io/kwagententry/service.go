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

// call is one service request of a caller.
type call struct {
	role     *Role
	request  kwid.RequestID
	service  kwsiteconfig.Service
	rule     kwsiteconfig.CallRule
	message  kwagentproto.Call
	failed   map[kwid.EndpointID]bool
	replayed bool
	began    time.Time
	// site is the only site that may run the call; empty means any.
	site kwid.Site
}

// onService passes a request through to a service by the rule of its method and path.
func (r *Role) onService(c *gin.Context) {
	request := newRequest(c)
	w := workspaceOf(c)
	q, err := r.parseCall(c, request, w)
	if err != nil {
		r.refuse(c, request, err)
		return
	}
	a, err := r.admit(c, request, q.service.Timeout.Std(), nil)
	if err != nil {
		r.refuse(c, request, err)
		return
	}
	defer a.end()
	q.message.TimeoutMillis = a.limit.Milliseconds()
	var response kwstatemachine.Response
	if q.message.Idempotent {
		response, err = q.repeat(a.ctx)
	} else {
		response, err = q.once(a.ctx)
	}
	if err != nil {
		r.refuse(c, request, err)
		return
	}
	r.observe("service.request", time.Since(a.start))
	q.answer(c, response)
	r.deps.Events.Emit(kwevent.RequestAnswered, request, kwevent.F("status", response.Status))
}

func (r *Role) parseCall(c *gin.Context, request kwid.RequestID, w kwsiteconfig.Workspace) (*call, error) {
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
	if slices.ContainsFunc(strings.Split(path, "/"), dotSegment) {
		return nil, kwcode.New(kwcode.MalformedRequest, "the path has a dot segment")
	}
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	key := c.GetHeader(HeaderKey)
	if len(key) > maxKey {
		return nil, kwcode.New(kwcode.MalformedRequest, "%s: at most %d bytes", HeaderKey, maxKey)
	}
	q := &call{role: r, began: time.Now(), request: request, service: service, rule: rule, failed: make(map[kwid.EndpointID]bool)}
	q.site = r.view.Load().owners[w.Name]
	q.message = kwagentproto.Call{
		Request:    request,
		Scope:      kwstatemachine.Scope{Workspace: w.Name, Service: name, Key: key},
		Idempotent: rule.Retry == kwsiteconfig.Idempotent,
		Method:     c.Request.Method,
		Path:       path,
		Query:      c.Request.URL.RawQuery,
		Headers:    passed(c.Request.Header),
		Body:       body,
	}
	return q, nil
}

const maxKey = 255

// dotSegment tells whether a path segment would let a service read another path than the rule allows.
func dotSegment(segment string) bool {
	plain, err := url.PathUnescape(segment)
	return err != nil || plain == "." || plain == ".." || strings.Contains(plain, "/")
}

// passed lists the caller's headers that a service sees; the token and connection headers stay here.
func passed(h http.Header) []kwstatemachine.Header {
	var out []kwstatemachine.Header
	for name, values := range h {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Proxy-Authorization", "Content-Length", HeaderRequest, HeaderTimeout, "Expect":
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

// digest names the content of a request, to tell a resend from another request under the same key.
func (q *call) digest() string {
	h := sha256.New()
	for _, part := range []string{q.message.Method, q.message.Path, q.message.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(q.message.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// answer writes the service's response with its status, headers and body.
func (q *call) answer(c *gin.Context, response kwstatemachine.Response) {
	h := c.Writer.Header()
	for _, line := range response.Headers {
		h.Add(line.Name, line.Value)
	}
	if q.replayed {
		h.Set(HeaderReplayed, "true")
	}
	c.Status(response.Status)
	_, _ = c.Writer.Write(response.Body)
}

// pick takes the live endpoint with the least of this entry's requests, this site first.
func (q *call) pick() (kwmembership.Endpoint, error) {
	r := q.role
	v := r.view.Load()
	known := requestLoads{loads: r.loads, ejector: r.ejector, now: time.Now(), failed: q.failed}
	all := q.atSite(v.services[q.service.Name])
	for _, skip := range []func(kwmembership.Endpoint) bool{
		func(e kwmembership.Endpoint) bool { return e.Site != r.cfg.Site || known.Excluded(e.ID) },
		func(e kwmembership.Endpoint) bool { return known.Excluded(e.ID) },
		func(e kwmembership.Endpoint) bool { return q.failed[e.ID] },
	} {
		if best, ok := least(all, skip, known, int(r.turn.Add(1))); ok {
			return best, nil
		}
	}
	return kwmembership.Endpoint{}, kwcode.New(kwcode.NoEndpoint, "service %q has no live endpoint left to try", q.service.Name).After(retryLater)
}

// atSite leaves out the endpoints of sites that may not run the call.
func (q *call) atSite(all []kwmembership.Endpoint) []kwmembership.Endpoint {
	if q.site == "" {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e kwmembership.Endpoint) bool { return e.Site != q.site })
}

// least takes the endpoint with the fewest requests; equal ones are taken in turn.
func least(all []kwmembership.Endpoint, skip func(kwmembership.Endpoint) bool, known requestLoads, turn int) (kwmembership.Endpoint, bool) {
	var best kwmembership.Endpoint
	found := false
	for i := range all {
		e := all[(turn+i)%len(all)]
		if skip(e) {
			continue
		}
		if !found || known.Outstanding(e.ID) < known.Outstanding(best.ID) {
			best = e
			found = true
		}
	}
	return best, found
}

// send hands the call to the agent beside an endpoint and waits for its answer. Nothing leaves if the agent cannot be
// reached, or if over says that the caller was told so already; both errors say "not run".
func (q *call) send(ctx context.Context, e kwmembership.Endpoint, attempt kwid.Attempt, over *handOver) (kwstatemachine.Response, error) {
	r := q.role
	r.loads.add(e.ID, 1)
	defer r.loads.add(e.ID, -1)
	s, err := r.wire.Open(ctx, e.Address, e.Agent)
	if err != nil {
		q.failed[e.ID] = true
		return kwstatemachine.Response{}, kwcode.New(kwcode.NoEndpoint, "%v", err).WithEndpoint(string(e.ID)).After(retryLater)
	}
	if over != nil && !over.send() {
		s.Abort()
		return kwstatemachine.Response{}, errGaveUp
	}
	message := q.message
	message.Attempt = attempt
	message.Incarnation = e.Incarnation
	r.deps.Events.Emit(kwevent.CallSent, q.request, kwevent.F("endpoint", e.ID), kwevent.F("attempt", attempt))
	var out kwagentproto.CallReply
	if err := s.Call(ctx, kwagentproto.KindCall, message, &out); err != nil {
		q.failed[e.ID] = true
		return kwstatemachine.Response{}, kwcode.FromError(err).WithEndpoint(string(e.ID))
	}
	r.ejector.RecordSuccess(e.ID)
	return out.Response, nil
}

// repeat makes an idempotent call, on another endpoint after each failure.
func (q *call) repeat(ctx context.Context) (kwstatemachine.Response, error) {
	r := q.role
	r.budget.RecordFirstAttempt()
	var last error
	for tries := 1; ; tries++ {
		e, err := q.pick()
		if err != nil {
			return kwstatemachine.Response{}, firstOf(last, err)
		}
		each, cancel := q.share(ctx)
		response, err := q.send(each, e, kwid.Attempt(tries), nil)
		cancel()
		if err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			return kwstatemachine.Response{}, kwcode.New(kwcode.DeadlineExceeded, "%v", err).After(retryLater)
		}
		r.ejector.Fail(time.Now(), e.ID)
		r.deps.Events.Emit(kwevent.AttemptFailed, q.request, kwevent.F("endpoint", e.ID), kwevent.F("error", err.Error()))
		last = kwcode.New(kwcode.LookupFailed, "%v", err).After(retryLater)
		if !kwretry.Retryable(err, true, tries) || !r.budget.AllowRetry(tries) {
			return kwstatemachine.Response{}, last
		}
	}
}

// share leaves time for another try: one try may take half of what is left of the deadline.
func (q *call) share(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// firstOf prefers an error that tells of a try over one that tells of none.
func firstOf(last, err error) error {
	if last != nil {
		return last
	}
	return err
}
