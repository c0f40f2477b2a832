package kwdirectentry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
)

// setDigest computes what a request is known by when it comes again under another ID, at this or another entry.
func (q *request) setDigest() {
	caller := ""
	if q.workspace != nil {
		caller = string(q.workspace.Name)
	}
	q.digest = kwquarantine.DigestRequest(stripPort(q.r.Host), q.r.RequestURI, caller, q.body)
}

// checkHeld returns an error if the request is kept from servers, since it crashes them. When a trial of it is due, the leader lets
// one of its repeats in the whole fleet pass.
func (g *Gateway) checkHeld(ctx context.Context, q *request) *kwcode.Error {
	held, ok := g.partGuard.CheckRequest(time.Now(), q.digest)
	if !ok || q.requestTrial {
		if q.sends == 0 {
			q.suspectRequest = g.partGuard.SuspectedRequest(q.digest)
		}
		return nil
	}
	if held.Remaining == 0 && g.startRequestTrial(ctx, q.digest) {
		q.requestTrial = true
		return nil
	}
	g.metrics.held.Inc(1)
	g.deps.Events.Emit(kwevent.RequestHeld, q.meta.ID, kwevent.F("digest", q.digest.String()),
		kwevent.F("remaining-ms", held.Remaining.Milliseconds()), kwevent.F("sends", q.sends))
	return heldError(q.digest, held.Remaining)
}

func heldError(digest kwid.RequestDigest, remaining time.Duration) *kwcode.Error {
	return kwcode.New(kwcode.RequestQuarantined, "servers crash under this request, digest %s", digest).
		After(max(remaining, minQuarantineRetryAfter))
}

// startRequestTrial reports whether the leader allows this entry to send one request that is kept from servers.
func (g *Gateway) startRequestTrial(ctx context.Context, digest kwid.RequestDigest) bool {
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	req := kwdirectproto.QuarantineTrial{Entry: g.cfg.Node, Digest: &digest}
	return g.leader.Call(ctx, kwdirectproto.KindQuarantineTrial, req, nil, 0) == nil
}

// recordAnswered records that the chain of the current attempt has answered a stream in full.
func (g *Gateway) recordAnswered(s *streamState) {
	for _, process := range s.processes {
		g.partGuard.RecordAnswered(time.Now(), process, s.q.digest)
	}
}

// errHeld is the cause with which the wait of a request in the queue ends when the request is kept from servers.
var errHeld = errors.New("servers crash under this request")

// queuedRequests holds the streams that wait for a chain, so that their wait ends when they are kept from servers. It is safe for
// concurrent use.
type queuedRequests struct {
	mu      sync.Mutex
	waiting map[*request]context.CancelCauseFunc
}

// enter returns a context for the wait of a request in the queue, and a function to call after it.
func (w *queuedRequests) enter(ctx context.Context, q *request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[*request]context.CancelCauseFunc)
	}
	w.waiting[q] = cancel
	return ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiting, q)
		cancel(nil)
	}
}

// wake ends the wait of the requests that are kept from servers.
func (w *queuedRequests) wake(held []kwquarantine.HeldRequest) {
	if len(held) == 0 {
		return
	}
	digests := make(map[kwid.RequestDigest]bool, len(held))
	for _, h := range held {
		digests[h.Digest] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for q, cancel := range w.waiting {
		if digests[q.digest] && !q.requestTrial {
			cancel(errHeld)
		}
	}
}

// applyHeldRequests takes over what a view says of requests under which servers crash, and probes the endpoints that it reports as
// lost: this entry may have served requests on them just before.
func (g *Gateway) applyHeldRequests(reply kwdirectproto.View) {
	g.partGuard.ApplyRequests(time.Now(), reply.SuspectRequests, reply.HeldRequests, reply.Gathering)
	g.queued.wake(reply.HeldRequests)
	g.recordLeavers(reply.Endpoints)
	for _, row := range reply.Endpoints {
		if row.State == kwmembership.Lost && !row.Announcement.Leaving && !row.ReportedLeaving {
			g.goBackground(func() { g.checkLostEndpoint(row.Announcement) })
		}
	}
}

// answeredInFull reports whether a response shows that its endpoint has run the request to the end.
func answeredInFull(status int, notRun bool) bool {
	return !notRun && status != http.StatusMisdirectedRequest
}
