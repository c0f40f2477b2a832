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

// tries tells what the sends of one request came to so far.
type tries struct {
	out excluded
	// runs counts the endpoints that may have run the request, refused those that promised not to.
	runs, refused int
	last          *kwcode.Error
	// answer is a failure that an endpoint answered, passed on if nothing better follows.
	answer *kwupstream.Result
}

// plain serves a request that has one answer.
func (g *Gateway) plain(ctx context.Context, q *request) {
	t := tries{out: make(excluded)}
	for {
		a, ok := g.chooser.plain(time.Now(), q.view.services[q.service], t.out)
		if !ok {
			break
		}
		res := g.sendPlain(ctx, q, a)
		if q.r.Context().Err() != nil {
			g.gone(q)
		}
		if g.settle(q, &t, a, res) || !g.again(ctx, q, &t) {
			break
		}
	}
	g.finishPlain(ctx, q, &t)
}

func (g *Gateway) sendPlain(ctx context.Context, q *request, a kwmembership.Announcement) kwupstream.Result {
	once := !q.route.Retryable()
	try := ctx
	if !once && q.sends+1 < q.route.MaxAttempts {
		var cancel context.CancelFunc
		try, cancel = context.WithTimeout(ctx, time.Duration(float64(q.left())*plainShare))
		defer cancel()
	}
	up := q.upstream(g.deps.Dialect, kwupstream.ForwardMeta{Endpoint: a.ID})
	// A kept connection may have been dropped unnoticed, and then nobody knows whether the request was read.
	res := g.pool.Exchange(try, a.Address, once, up, g.deps.Dialect, maxAnswer)
	busy := -1
	if res.Err == nil {
		busy = res.Meta.InFlight
	}
	g.chooser.done(a.ID, busy)
	if res.Sent {
		q.sends++
		q.endpoint = a.ID
	}
	return res
}

// settle takes in what one send came to; true means that the request has its answer.
func (g *Gateway) settle(q *request, t *tries, a kwmembership.Announcement, res kwupstream.Result) bool {
	t.out[a.ID] = true
	switch {
	case res.Err != nil:
		if res.Sent {
			t.runs++
		}
		t.last = kwcode.New(kwcode.OutcomeUnknown, "endpoint %s: %v", a.ID, res.Err)
		g.eject(q.call.ID, a.ID, a.Address, res.Err.Error())
		return false
	case res.Meta.NotRun:
		t.refused++
		t.last = kwcode.New(kwcode.NoEndpoint, "endpoint %s answered %d, not run", a.ID, res.Response.StatusCode)
		g.logTry(q, a, t.last)
		return false
	case !q.route.Retryable() && promisesNotRun(res.Response.StatusCode):
		t.runs++
		t.last = kwcode.New(kwcode.OutcomeUnknown, "endpoint %s answered %d without saying that it has not run", a.ID, res.Response.StatusCode)
		g.logTry(q, a, t.last)
		return false
	case res.Response.StatusCode >= http.StatusInternalServerError:
		t.runs++
		t.answer = &res
		return false
	}
	t.answer = &res
	t.runs++
	g.chooser.eject.RecordSuccess(a.ID)
	return true
}

// promisesNotRun tells whether callers read a status as a promise that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (g *Gateway) logTry(q *request, a kwmembership.Announcement, err *kwcode.Error) {
	g.deps.Events.Emit(kwevent.AttemptFailed, q.call.ID, kwevent.F("endpoint", a.ID), kwevent.F("address", a.Address), kwevent.F("error", err.Error()))
}

// again tells whether the request may go to another endpoint.
func (g *Gateway) again(ctx context.Context, q *request, t *tries) bool {
	if ctx.Err() != nil || q.left() <= 0 {
		return false
	}
	if t.runs > 0 && (!q.route.Retryable() || t.runs >= q.route.MaxAttempts) {
		return false
	}
	if q.sends >= q.route.MaxAttempts+extraTries {
		return false
	}
	if q.sends > 0 && !g.mayRepeat(ctx, q) {
		return false
	}
	if q.sends > 0 {
		g.measures.retried.Inc(1)
	}
	return true
}

func (g *Gateway) finishPlain(ctx context.Context, q *request, t *tries) {
	switch {
	case t.answer != nil:
		g.writePlain(q, t.answer)
	case t.runs == 0 && ctx.Err() == nil:
		g.reject(q, unserved(q, t).After(g.cfg.Admission.RetryAfterMin))
	case t.runs == 0:
		g.reject(q, kwcode.New(kwcode.DeadlineTooShort, "the deadline passed before an endpoint took the request"))
	case ctx.Err() != nil:
		g.fail(q, kwcode.New(kwcode.DeadlineExceeded, "%v", t.last))
	case q.route.Kind == kwdeclaration.Idempotent:
		g.fail(q, kwcode.New(kwcode.LookupFailed, "%v", t.last))
	default:
		g.fail(q, kwcode.New(kwcode.OutcomeUnknown, "%v", t.last))
	}
}

// unserved says why no endpoint took the request.
func unserved(q *request, t *tries) *kwcode.Error {
	if t.last == nil {
		return kwcode.New(kwcode.NoEndpoint, "no live endpoint of %q is known", q.service)
	}
	return kwcode.New(kwcode.NoEndpoint, "%s", t.last.Detail)
}

// writePlain passes a whole answer on.
func (g *Gateway) writePlain(q *request, res *kwupstream.Result) {
	copyHeaders(q.w, res.Response.Header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	q.w.WriteHeader(res.Response.StatusCode)
	if _, err := q.w.Write(res.Body); err != nil {
		g.gone(q)
	}
	g.measures.served.Inc(1)
	g.measures.plain.UpdateSince(q.arrived)
	g.logEnd(kwevent.RequestAnswered, q, res.Response.StatusCode, nil)
}
