package kwdirectentry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// attemptState is the outcome so far of the attempts of one request.
type attemptState struct {
	// exclude holds the endpoints that later attempts must avoid.
	exclude endpointSet
	// mayHaveRun counts the attempts that may have run the request, notRun those whose endpoint promised not to have
	// run it.
	mayHaveRun, notRun int
	lastErr            *kwcode.Error
	// refusal is set if the request must not be sent, or not be sent again.
	refusal *kwcode.Error
	// response is the response to pass on; an error response is replaced if a later attempt gets a better one.
	response *kwupstream.Result
}

// serveUnary serves a request with a single response.
func (g *Gateway) serveUnary(ctx context.Context, q *request) {
	attempts := attemptState{exclude: make(endpointSet)}
	for {
		if err := g.checkQuarantine(ctx, q); err != nil {
			attempts.refusal = err
			break
		}
		endpoint, ok := g.scheduler.pickUnary(time.Now(), q.view.live[q.service], attempts.exclude)
		if !ok {
			break
		}
		res := g.sendUnary(ctx, q, endpoint)
		if q.callerLeft() {
			g.abortCallerGone(q)
		}
		if g.recordAttempt(q, &attempts, endpoint, res) || q.mayCrashAgain() || !g.mayRetry(ctx, q, &attempts) {
			break
		}
	}
	g.finishUnary(ctx, q, &attempts)
}

func (g *Gateway) sendUnary(ctx context.Context, q *request, endpoint kwmembership.Announcement) kwupstream.Result {
	atMostOnce := !q.route.Retryable()
	attemptCtx := ctx
	if !atMostOnce && q.sends+1 < q.route.MaxAttempts {
		var cancel context.CancelFunc
		attemptCtx, cancel = context.WithTimeout(ctx, time.Duration(float64(q.remaining())*attemptTimeShare))
		defer cancel()
	}
	upstreamReq := q.upstreamRequest(g.deps.Dialect, kwupstream.ForwardMeta{Endpoint: endpoint.ID})
	// An at-most-once request needs a new connection: if the endpoint has closed a reused one unnoticed, it is unknown
	// whether the request was read.
	res := g.upstreamPool.Exchange(attemptCtx, endpoint.Address, atMostOnce, upstreamReq, g.deps.Dialect, maxResponseBytes)
	g.recordNotices(q.meta.ID, endpoint.Process(), endpoint.Address, res.Meta)
	reportedInFlight := -1
	if res.Err == nil {
		reportedInFlight = res.Meta.InFlight
	}
	g.scheduler.finishUnary(endpoint.ID, reportedInFlight)
	if res.Sent {
		q.sends++
		q.endpoint = endpoint.ID
	}
	return res
}

// recordAttempt records the outcome of an attempt; it returns true if the request has its final response.
func (g *Gateway) recordAttempt(q *request, attempts *attemptState, endpoint kwmembership.Announcement, res kwupstream.Result) bool {
	attempts.exclude[endpoint.ID] = true
	switch {
	case res.Err != nil:
		if res.Sent {
			attempts.mayHaveRun++
			g.checkForCrash(q, endpoint.ID, endpoint.Address)
		}
		attempts.lastErr = kwcode.New(kwcode.OutcomeUnknown, "endpoint %s: %v", endpoint.ID, res.Err)
		if !q.stopped() {
			g.eject(q.meta.ID, endpoint.ID, endpoint.Address, res.Err.Error())
		}
		return false
	case res.Meta.NotRun:
		attempts.notRun++
		attempts.lastErr = kwcode.New(kwcode.NoEndpoint, "endpoint %s responded with status %d, not run", endpoint.ID, res.Response.StatusCode)
		g.logFailedAttempt(q, endpoint, attempts.lastErr)
		return false
	case !q.route.Retryable() && statusImpliesNotRun(res.Response.StatusCode):
		attempts.mayHaveRun++
		attempts.lastErr = kwcode.New(kwcode.OutcomeUnknown, "endpoint %s responded with status %d without a promise that the request has not run", endpoint.ID, res.Response.StatusCode)
		g.logFailedAttempt(q, endpoint, attempts.lastErr)
		return false
	case res.Response.StatusCode >= http.StatusInternalServerError:
		attempts.mayHaveRun++
		attempts.response = &res
		return false
	}
	attempts.response = &res
	attempts.mayHaveRun++
	g.scheduler.ejector.RecordSuccess(endpoint.ID)
	if res.Response.StatusCode == http.StatusOK {
		g.recordSound(q)
	}
	return true
}

// statusImpliesNotRun reports whether callers read a status as a promise that the request has not run.
func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (g *Gateway) logFailedAttempt(q *request, endpoint kwmembership.Announcement, err *kwcode.Error) {
	g.deps.Events.Emit(kwevent.AttemptFailed, q.meta.ID, kwevent.F("endpoint", endpoint.ID), kwevent.F("address", endpoint.Address), kwevent.F("error", err.Error()))
}

// mayRetry reports whether the request may be sent to another endpoint, and spends the retry budget for it.
func (g *Gateway) mayRetry(ctx context.Context, q *request, attempts *attemptState) bool {
	if ctx.Err() != nil || q.remaining() <= 0 {
		return false
	}
	if !attempts.count(q).MayAdd() {
		return false
	}
	if q.sends > 0 && !g.spendRetryBudget(ctx, q) {
		return false
	}
	if q.sends > 0 {
		g.metrics.retried.Inc(1)
	}
	return true
}

// recordStop adds to the error of a request that may have run that the entry has ended it, if it has.
func (a *attemptState) recordStop(q *request) {
	if q.stopped() && a.mayHaveRun > 0 && a.lastErr != nil {
		a.lastErr = kwcode.New(a.lastErr.Code, "%v: %s", errEntryStopped, a.lastErr.Detail)
	}
}

// finishUnary answers a request after its last attempt.
func (g *Gateway) finishUnary(ctx context.Context, q *request, attempts *attemptState) {
	attempts.recordStop(q)
	switch {
	case attempts.response != nil:
		g.writeResponse(q, attempts.response)
	case attempts.mayHaveRun == 0 && attempts.refusal != nil:
		g.reject(q, attempts.refusal)
	case attempts.mayHaveRun == 0 && ctx.Err() == nil:
		retryAfter := g.cfg.Queue.RetryAfterMin
		if pause := g.scheduler.pauseOfAll(time.Now(), q.view.live[q.service]); pause > 0 {
			retryAfter = pause
		}
		g.reject(q, noEndpointError(q, attempts).After(retryAfter))
	case attempts.mayHaveRun == 0 && q.stopped():
		g.reject(q, stoppingError("the entry has stopped before an endpoint accepted the request"))
	case attempts.mayHaveRun == 0:
		g.reject(q, kwcode.New(kwcode.DeadlineTooShort, "the deadline passed before an endpoint accepted the request"))
	case ctx.Err() != nil && !q.stopped():
		g.fail(q, kwcode.New(kwcode.DeadlineExceeded, "%v", attempts.lastErr))
	case q.route.Kind == kwdeclaration.Idempotent:
		g.fail(q, kwcode.New(kwcode.LookupFailed, "%v", attempts.lastErr))
	default:
		g.fail(q, kwcode.New(kwcode.OutcomeUnknown, "%v", attempts.lastErr))
	}
}

// noEndpointError explains why no endpoint accepted the request.
func noEndpointError(q *request, attempts *attemptState) *kwcode.Error {
	if attempts.lastErr == nil {
		return kwcode.New(kwcode.NoEndpoint, "no live endpoint of service %q is known", q.service)
	}
	return kwcode.New(kwcode.NoEndpoint, "%s", attempts.lastErr.Detail)
}

// writeResponse passes a buffered response on to the caller.
func (g *Gateway) writeResponse(q *request, res *kwupstream.Result) {
	copyHeaders(q.w, res.Response.Header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	q.w.WriteHeader(res.Response.StatusCode)
	if _, err := q.w.Write(res.Body); err != nil {
		g.abortUndelivered(q)
	}
	g.metrics.served.Inc(1)
	g.metrics.unary.UpdateSince(q.arrived)
	g.logEnd(kwevent.RequestAnswered, q, res.Response.StatusCode, nil)
}
