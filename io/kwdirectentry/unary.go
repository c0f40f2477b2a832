package kwdirectentry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"knapweedproxy/core/kwanswer"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// attemptState is the outcome so far of the attempts of one request.
type attemptState struct {
	// exclude holds the endpoints that later attempts must avoid.
	exclude endpointSet
	// unreached holds the endpoints that have opened no connection in time; they may be silent for a while and go on, so they are
	// used again where there is no other. unreachedSince is when the first one was found.
	unreached      endpointSet
	unreachedSince time.Time
	// mayHaveRun counts the attempts that may have run the request, notRun those whose endpoint promised not to have
	// run it.
	mayHaveRun, notRun int
	lastErr            *kwcode.Error
	// refusal is set if the request must not be sent, or not be sent again.
	refusal *kwcode.Error
	// response is the response to pass on; an error response is replaced if a later attempt gets a better one.
	response *kwupstream.Result
}

// serveUnary serves a request to a service without an engine, which is answered with a single response or with a stream of events.
func (g *Gateway) serveUnary(ctx context.Context, q *request) {
	u := &unaryState{
		q: q, attempts: attemptState{exclude: make(endpointSet)},
		results: make(chan unaryResult, q.route.MaxAttempts+extraAttempts+1), awaited: make(map[kwid.EndpointID]kwmembership.Announcement),
	}
	if g.hedger.On() && q.route.Retryable() {
		u.hedge = &callHedge{}
		defer g.endCallHedge(u)
	}
	for {
		g.attemptUnary(ctx, u)
		g.endCallHedge(u)
		if u.stream == nil || g.relayPlain(ctx, u) || !q.route.Retryable() || q.mayCrashAgain() {
			break
		}
	}
	if u.begun {
		g.finishPlainStream(u)
		return
	}
	g.finishUnary(ctx, q, &u.attempts)
}

// attemptUnary makes attempts until one has brought the response or the first events of a stream, or there is none to make. The others are
// ended.
func (g *Gateway) attemptUnary(ctx context.Context, u *unaryState) {
	attemptsCtx, endAttempts := context.WithCancel(ctx)
	defer endAttempts()
	for g.startUnary(attemptsCtx, u) && !g.awaitUnary(attemptsCtx, u) {
	}
	if u.stream == nil {
		return
	}
	u.loseOthers()
	if !u.stream.take(ctx) {
		u.stream, u.attempts.response = nil, nil
		u.attempts.lastErr = kwcode.New(kwcode.StreamCut, "endpoint %s: %v", u.answeredBy, context.Cause(ctx))
	}
}

// loseOthers counts the attempts that have lost against a stream. If it breaks off, their results must not count for those that follow.
func (u *unaryState) loseOthers() {
	u.attempts.mayHaveRun += u.inProgress
	u.inProgress = 0
	u.results = make(chan unaryResult, cap(u.results))
	clear(u.awaited)
}

// liveEndpoints returns the live endpoints of the request's service in the present view, since those of its arrival may have left.
func (g *Gateway) liveEndpoints(q *request) []kwmembership.Announcement {
	return g.view.Load().live[q.service]
}

// unaryState is the state of a unary request over all its attempts.
type unaryState struct {
	q        *request
	attempts attemptState
	// results delivers the result of each attempt, inProgress counts those whose results are missing.
	results    chan unaryResult
	inProgress int
	// awaited holds the endpoints of the attempts in progress that have not been found silent.
	awaited map[kwid.EndpointID]kwmembership.Announcement
	// hedge is the hedge of the request, nil if it may have none.
	hedge *callHedge
	// answeredBy is the endpoint of the attempt that has brought the final response.
	answeredBy kwid.EndpointID
	// stream is the attempt whose events are relayed, nil if the response comes in one piece. begun means that the caller has received events,
	// the last one with lastEventID, and complete that it has received all.
	stream          *plainStream
	begun, complete bool
	lastEventID     string
}

// unaryResult is the result of an attempt at an endpoint.
type unaryResult struct {
	endpoint kwmembership.Announcement
	kwupstream.Result
	// stream is set if the response is a stream of events, of which the first have come.
	stream *plainStream
}

// unsent reports whether no server has received the request.
func (u *unaryState) unsent() bool { return u.attempts.mayHaveRun+u.inProgress == 0 }

// count returns the attempts so far, including those in progress.
func (u *unaryState) count() kwretry.Attempts {
	a := u.attempts.count(u.q)
	a.InProgress = u.inProgress
	return a
}

// excludeFailed excludes an endpoint at which an attempt has failed from later ones. One that has only opened no connection is avoided
// instead, until it has been silent for too long.
func (a *attemptState) excludeFailed(now time.Time, id kwid.EndpointID, err error) {
	if a.unreached == nil {
		a.unreached = make(endpointSet)
	}
	if errors.Is(err, kwupstream.ErrNoConnection) {
		if a.unreachedSince.IsZero() {
			a.unreachedSince = now
		}
		if now.Sub(a.unreachedSince) < kwretry.MaxSoundSilence {
			a.unreached[id] = true
			delete(a.exclude, id)
			return
		}
	}
	a.exclude[id] = true
}

// startUnary starts an attempt, the first one or one beside or after others; it reports false if there is none to make.
func (g *Gateway) startUnary(ctx context.Context, u *unaryState) bool {
	q := u.q
	if err := g.checkQuarantine(ctx, q); err != nil {
		u.attempts.refusal = err
		return false
	}
	if u.attempts.refusal = g.refuseLate(u); u.attempts.refusal != nil {
		return false
	}
	endpoint, ok := g.pickUnary(ctx, u)
	if !ok {
		endpoint, ok = g.awaitTurn(ctx, u)
	}
	if !ok {
		return false
	}
	// The stop may have begun during the wait.
	if u.attempts.refusal = g.refuseLate(u); u.attempts.refusal != nil {
		g.scheduler.withdrawUnary(endpoint)
		return false
	}
	if len(u.attempts.exclude)+len(u.attempts.unreached) > 0 && !g.mayRetry(ctx, q, u.count()) {
		g.scheduler.withdrawUnary(endpoint)
		return false
	}
	g.sendUnary(ctx, u, endpoint)
	return true
}

// pickUnary picks the endpoint of the next attempt.
func (g *Gateway) pickUnary(ctx context.Context, u *unaryState) (kwmembership.Announcement, bool) {
	live := g.liveEndpoints(u.q)
	endpoint, ok := g.scheduler.pickUnary(time.Now(), live, u.attempts.exclude, u.attempts.unreached)
	if !ok && len(u.attempts.unreached) > 0 && ctx.Err() == nil {
		endpoint, ok = g.scheduler.pickUnary(time.Now(), live, u.attempts.exclude, nil)
	}
	return endpoint, ok
}

// hedgeUnary adds an attempt beside those in progress if the request may have one. The results of these must not wait for it, so it
// asks the leader for neither a trial nor a retry loan.
func (g *Gateway) hedgeUnary(ctx context.Context, u *unaryState) {
	q := u.q
	if !u.mayHedge() || g.kept(q) != nil || ctx.Err() != nil || q.remaining() <= 0 {
		return
	}
	endpoint, ok := g.pickUnary(ctx, u)
	if !ok {
		return
	}
	if !g.retryBudgets.ForService(q.service).TrySpend(time.Now()) {
		g.scheduler.withdrawUnary(endpoint)
		return
	}
	g.metrics.retried.Inc(1)
	g.metrics.hedged.Inc(1)
	g.sendUnary(ctx, u, endpoint)
}

// sendUnary starts an attempt at an endpoint.
func (g *Gateway) sendUnary(ctx context.Context, u *unaryState, endpoint kwmembership.Announcement) {
	q := u.q
	u.attempts.exclude[endpoint.ID] = true
	u.inProgress++
	u.awaited[endpoint.ID] = endpoint
	q.sends++
	q.endpoint = endpoint.ID
	// An at-most-once request needs a new connection: if the endpoint has closed a reused one unnoticed, it is unknown
	// whether the request was read.
	fresh := !q.route.Retryable()
	upstreamReq := q.upstreamRequest(g.deps.Dialect, kwupstream.ForwardMeta{Endpoint: endpoint.ID, LastEventID: u.lastEventID})
	call := g.calls.Begin(time.Now(), q.service)
	// end records the end of the attempt; answered is whether it has brought an answer to its end.
	end := func(answered bool, reportedInFlight int) {
		g.calls.End(time.Now(), call, answered)
		g.scheduler.finishUnary(endpoint.ID, reportedInFlight)
	}
	streaming := q.route.Kind == kwdeclaration.Streaming
	lastEventID, results := cmp.Or(u.lastEventID, q.meta.LastEventID), u.results
	g.goBackground(func() {
		res := g.safely(upstreamReq.ID, func() (res unaryResult) {
			opened := g.upstreamPool.Open(ctx, endpoint.Address, fresh, upstreamReq, g.deps.Dialect)
			if streaming && relayable(opened.Result) {
				return openPlainStream(ctx, endpoint, opened, lastEventID, q.buffers, end)
			}
			res.Result = opened.ReadAll(upstreamReq, maxResponseBytes)
			return res
		})
		res.endpoint = endpoint
		g.recordNotices(upstreamReq.ID, endpoint.Process(), endpoint.Address, res.Meta)
		if !res.Sent {
			g.scheduler.limits.Return(time.Now(), endpoint.Process())
		}
		if res.stream == nil {
			reportedInFlight := -1
			if res.Err == nil {
				reportedInFlight = res.Meta.InFlight
			}
			end(res.Err == nil && !res.Meta.NotRun, reportedInFlight)
		}
		results <- res
	})
}

// safely makes an attempt that runs outside the handler of its request; a panic fails the attempt and not the process.
func (g *Gateway) safely(id kwid.RequestID, attempt func() unaryResult) (res unaryResult) {
	defer func() {
		if cause := recover(); cause != nil {
			g.recordPanic(id, cause)
			res = unaryResult{Result: kwupstream.Result{Sent: true, Err: kwcode.New(kwcode.OutcomeUnknown, "the attempt panicked: %v", cause)}}
		}
	}()
	return attempt()
}

// awaitUnary waits for the results of the attempts in progress. It reports true if the request has its final response or is over,
// and false if another attempt is due: after a failed one, or beside one whose endpoint has been silent for long (hedged request).
func (g *Gateway) awaitUnary(ctx context.Context, u *unaryState) bool {
	q := u.q
	delay := g.hedgeDelay(q)
	hedgeAt := time.Now().Add(delay)
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	drainBegan := g.drainBegan.Done()
	slow := g.armCallHedge(u)
	for {
		var res unaryResult
		select {
		case res = <-u.results:
		case <-slow:
			g.hedgeCall(ctx, u)
			continue
		case <-drainBegan:
			drainBegan = nil
			hedge.Reset(min(g.hedgeDelay(q), time.Until(hedgeAt)))
			continue
		case <-hedge.C:
			delay = max(g.hedgeDelay(q), minHedgeDelay)
			hedgeAt = time.Now().Add(delay)
			hedge.Reset(delay)
			select {
			case res = <-u.results:
			default:
				g.ejectSilent(u)
				g.hedgeUnary(ctx, u)
				continue
			}
		}
		u.inProgress--
		delete(u.awaited, res.endpoint.ID)
		u.hedge.recordResult(res.endpoint.ID)
		if !res.Sent {
			q.sends--
		}
		if q.callerLeft() {
			g.abortCallerGone(q)
		}
		if g.recordAttempt(q, &u.attempts, res.endpoint, res.Result) {
			q.endpoint, u.answeredBy, u.stream = res.endpoint.ID, res.endpoint.ID, res.stream
			return true
		}
		if u.inProgress == 0 {
			return q.mayCrashAgain()
		}
	}
}

// hedgeDelay returns how long the attempts in progress may be without an answer until another one is added. The time of a request ends
// with its deadline, or before with the drain of a stopping entry.
func (g *Gateway) hedgeDelay(q *request) time.Duration {
	remaining := q.remaining()
	if exit := g.exitTime(); !exit.IsZero() {
		remaining = min(remaining, time.Until(exit))
	}
	return kwretry.HedgeDelay(remaining)
}

// mayHedge reports whether an attempt may be added beside those in progress. A request that may crash its server is sent to one at a
// time.
func (u *unaryState) mayHedge() bool {
	q := u.q
	return u.count().MayAdd() && !q.mayCrashAgain() && !q.trial && !q.requestTrial
}

// ejectSilent ejects the endpoints of the attempts in progress. If a hedged request is answered first, nobody learns how the others
// end, and each later request would be sent to the silent endpoint again.
func (g *Gateway) ejectSilent(u *unaryState) {
	for id, endpoint := range u.awaited {
		g.eject(u.q.meta.ID, id, endpoint.Address, true, "silent since a request was sent")
		delete(u.awaited, id)
	}
}

// recordAttempt records the outcome of an attempt; it returns true if the request has its final response.
func (g *Gateway) recordAttempt(q *request, attempts *attemptState, endpoint kwmembership.Announcement, res kwupstream.Result) bool {
	if res.Err != nil {
		g.recordBrokenAttempt(q, attempts, endpoint, res)
		return false
	}
	status := res.Response.StatusCode
	if answeredInFull(status, res.Meta.NotRun) {
		g.partGuard.RecordAnswered(time.Now(), endpoint.Process(), q.digest)
	}
	switch res.Meta.Head(res.Response).Outcome(q.route.Retryable()) {
	case kwanswer.Refused:
		attempts.notRun++
		attempts.lastErr = kwcode.New(kwcode.NoEndpoint, "endpoint %s responded with status %d, not run", endpoint.ID, status)
		g.logFailedAttempt(q, endpoint, attempts.lastErr)
		return false
	case kwanswer.Misleading:
		attempts.mayHaveRun++
		attempts.lastErr = misleadingError(endpoint.ID, status)
		g.logFailedAttempt(q, endpoint, attempts.lastErr)
		return false
	case kwanswer.Failed:
		attempts.mayHaveRun++
		attempts.response = &res
		return false
	}
	attempts.response = &res
	attempts.mayHaveRun++
	g.scheduler.ejector.RecordSuccess(endpoint.ID)
	if status == http.StatusOK {
		g.recordSound(q)
	}
	return true
}

// recordBrokenAttempt records an attempt that has brought no response.
func (g *Gateway) recordBrokenAttempt(q *request, attempts *attemptState, endpoint kwmembership.Announcement, res kwupstream.Result) {
	attempts.excludeFailed(time.Now(), endpoint.ID, res.Err)
	if res.Sent {
		attempts.mayHaveRun++
		if connectionDropped(res.Err) {
			g.checkForCrash(q, endpoint.Process(), endpoint.Address, q.guardedParts())
		} else {
			g.partGuard.RecordAbandoned(time.Now(), endpoint.Process(), q.digest)
		}
	} else {
		g.noteRefusal(endpoint.ID, res.Err)
	}
	attempts.lastErr = kwcode.New(kwcode.OutcomeUnknown, "endpoint %s: %v", endpoint.ID, res.Err)
	if !q.stopped() {
		silent := q.remaining() <= 0 || errors.Is(res.Err, kwupstream.ErrNoConnection)
		g.eject(q.meta.ID, endpoint.ID, endpoint.Address, silent, res.Err.Error())
	}
}

// misleadingError is the error of an attempt whose response is not passed on, since callers would take it for more than the endpoint has said.
func misleadingError(id kwid.EndpointID, status int) *kwcode.Error {
	return kwcode.New(kwcode.OutcomeUnknown, "endpoint %s responded with status %d, without its promise that the request has not run or without its ID", id, status)
}

func (g *Gateway) logFailedAttempt(q *request, endpoint kwmembership.Announcement, err *kwcode.Error) {
	g.deps.Events.Emit(kwevent.AttemptFailed, q.meta.ID, kwevent.F("endpoint", endpoint.ID), kwevent.F("address", endpoint.Address), kwevent.F("error", err.Error()))
}

// mayRetry reports whether the request may be sent to another endpoint after the given attempts, and spends the retry budget for it.
func (g *Gateway) mayRetry(ctx context.Context, q *request, attempts kwretry.Attempts) bool {
	if ctx.Err() != nil || q.remaining() <= 0 {
		return false
	}
	if !attempts.MayAdd() {
		return false
	}
	if attempts.Sent == 0 {
		return true
	}
	if !g.spendRetryBudget(ctx, q) {
		return false
	}
	g.metrics.retried.Inc(1)
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
		if pause := g.scheduler.pauseOfAll(time.Now(), g.liveEndpoints(q)); pause > 0 {
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
	q.writeHead(res.Response.StatusCode)
	if _, err := q.w.Write(res.Body); err != nil {
		g.abortUndelivered(q)
	}
	g.metrics.served.Inc(1)
	g.metrics.unary.UpdateSince(q.arrived)
	g.logEnd(kwevent.RequestAnswered, q, res.Response.StatusCode, nil)
}
