package kwdirectentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// lostFirst ends an attempt whose first endpoint could not be reached or dropped the connection while it was written.
func (g *Gateway) lostFirst(s *streaming, chain kwchainsearch.Chain, err error, sent bool) ending {
	first := chain.First()
	s.t.out[first.Endpoint] = true
	s.t.last = kwcode.New(kwcode.StreamCut, "endpoint %s: %v", first.Endpoint, err)
	g.eject(s.q.call.ID, first.Endpoint, first.Address, err.Error())
	g.probe(chain)
	if !sent {
		return endRefused
	}
	s.t.runs++
	return endBroken
}

// refusedBy takes an answer that is no stream; whole tells that it was read to its end.
func (g *Gateway) refusedBy(ctx context.Context, s *streaming, chain kwchainsearch.Chain, resp *http.Response, answer kwupstream.ResponseMeta) (end ending, whole bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return g.broken(ctx, s, chain, err), false
	}
	if !answer.NotRun {
		s.t.runs++
		s.t.answer = &kwupstream.Result{Response: resp, Body: body}
		s.t.last = kwcode.New(kwcode.StreamCut, "endpoint %s answered %d", chain.First().Endpoint, resp.StatusCode)
		return endBroken, true
	}
	s.t.refused++
	at := answer.FailedAddress
	if at == "" {
		at = chain.First().Address
	}
	id, known := g.chooser.failAt(time.Now(), at)
	if known {
		s.t.out[id] = true
	}
	s.t.last = kwcode.New(kwcode.NoChain, "endpoint %s at %s answered %d, not run", id, at, resp.StatusCode)
	g.deps.Events.Emit(kwevent.AttemptFailed, s.q.call.ID, kwevent.F("endpoint", id), kwevent.F("address", at),
		kwevent.F("status", resp.StatusCode), kwevent.F("chain", chainText(chain)))
	return endRefused, true
}

// broken ends an attempt that broke off or fell silent, and finds out which endpoint is to blame.
func (g *Gateway) broken(ctx context.Context, s *streaming, chain kwchainsearch.Chain, err error) ending {
	s.t.runs++
	s.t.last = kwcode.New(kwcode.StreamCut, "chain %s: %v", chainText(chain), err)
	blamed := g.active.blamed(s.watched)
	s.turnAway(chain, blamed)
	if blamed == "" && ctx.Err() == nil && brokeOff(err) {
		g.strike(s.q, chain.First(), err)
	}
	if ctx.Err() == nil {
		g.deps.Events.Emit(kwevent.AttemptFailed, s.q.call.ID, kwevent.F("chain", chainText(chain)), kwevent.F("error", err.Error()),
			kwevent.F("begun", s.begun), kwevent.F("last-event", s.last), kwevent.F("blamed", blamed))
		g.blame(chain)
	}
	return endBroken
}

// brokeOff tells whether the first endpoint of a chain ended the connection, as opposed to saying nothing for too long.
func brokeOff(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// strike notes that the first endpoint of a chain broke off a stream. Its report says nothing of that, and its connections
// open as ever, so nobody else would find an endpoint that breaks off all of them.
func (g *Gateway) strike(q *request, first kwchainsearch.Stage, err error) {
	if g.chooser.eject.RecordTransientFailure(time.Now(), first.Endpoint) {
		g.logEjected(q.call.ID, first.Endpoint, first.Address, "breaks off streams", kwevent.F("error", err.Error()))
	}
}

// turnAway keeps the next attempt off the endpoint at fault, or off the whole chain where that is not known.
func (s *streaming) turnAway(chain kwchainsearch.Chain, blamed kwid.EndpointID) {
	if blamed != "" && chain.Uses(blamed) {
		s.t.out[blamed] = true
		return
	}
	for _, p := range chain.Stages {
		s.t.out[p.Endpoint] = true
	}
}
