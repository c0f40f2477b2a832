package kwdirectentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwupstream"
)

// streaming is the state of one stream over all its attempts.
type streaming struct {
	q    *request
	need kwchainsearch.RequestSize
	t    tries
	// begun means that the caller has the header and the first event.
	begun bool
	// last is the id of the last event that the caller has.
	last string
	// watched is the attempt under way.
	watched *watchedStream
}

// ending tells how an attempt of a stream ended.
type ending uint8

const (
	// endWhole means that the caller has the whole stream, or an answer in its place.
	endWhole ending = iota
	// endRefused means that the attempt has not run.
	endRefused
	// endBroken means that the stream broke off or fell silent.
	endBroken
)

// stream serves a generation; a broken one goes on at the last event on another chain.
func (g *Gateway) stream(ctx context.Context, q *request) {
	if s := q.view.index.Service(q.service); s == nil || s.Engine == nil || s.Engine.Layers == 0 {
		g.plain(ctx, q)
		return
	}
	s := &streaming{q: q, need: needOf(q), t: tries{out: make(excluded)}, last: q.call.LastEventID}
	for {
		chain, waited, err := g.chooser.chain(ctx, wish{r: q, need: s.need, out: s.t.out, view: g.view.Load})
		q.waited += waited
		g.measures.waited.Update(waited)
		if q.r.Context().Err() != nil {
			g.gone(q)
		}
		if err != nil {
			s.noChain(err)
			break
		}
		end := g.attempt(ctx, s, chain)
		if q.r.Context().Err() != nil {
			g.gone(q)
		}
		if end == endWhole {
			return
		}
		if !g.again(ctx, q, &s.t) {
			break
		}
		if s.begun {
			q.broken = true
			q.resumed++
			g.measures.resumed.Inc(1)
		}
	}
	g.finishStream(ctx, s)
}

// noChain keeps the reason of a failed attempt over the lack of another chain.
func (s *streaming) noChain(err error) {
	if s.t.runs == 0 {
		s.t.last = kwcode.FromError(err)
	}
}

// needOf estimates the KV room of a request: its prompt and the whole answer that its caller expects. Less than that, as what a
// stream holds on average, lets full engines put requests back and read them again, which keeps them full for good
// (docs/MEASUREMENTS.md).
func needOf(q *request) kwchainsearch.RequestSize {
	answer := q.call.EstimatedAnswerTokens
	if answer <= 0 || q.call.MaxAnswerTokens > 0 && answer > q.call.MaxAnswerTokens {
		answer = q.call.MaxAnswerTokens
	}
	return kwchainsearch.RequestSize{TotalTokens: float64(q.call.PromptTokens + answer), PromptTokens: float64(q.call.PromptTokens)}
}

// attempt sends the request down one chain and relays its events.
func (g *Gateway) attempt(ctx context.Context, s *streaming, chain kwchainsearch.Chain) ending {
	q := s.q
	first := chain.First()
	begin := time.Now()
	defer g.chooser.release(chain, s.need.TotalTokens)
	wait := g.awaitFirst(first.Endpoint, begin)
	defer wait.end(false)
	c, err := g.pool.Get(ctx, first.Address, false)
	if err != nil {
		return g.lostFirst(s, chain, err, false)
	}
	kept := false
	stop := context.AfterFunc(ctx, c.Close)
	defer func() {
		stop()
		if !kept {
			c.Close()
		}
	}()
	q.sends++
	q.endpoint = first.Endpoint
	q.chain = chainText(chain)
	up := q.upstream(g.deps.Dialect, kwupstream.ForwardMeta{Endpoint: first.Endpoint, Chain: &chain, LastEventID: s.last})
	if err := c.Send(up); err != nil {
		return g.lostFirst(s, chain, err, true)
	}
	s.watched = g.active.watch(q.call.ID, c, chain, patienceFor(q, chain), silenceActions{probe: g.probe, ask: g.blame})
	defer g.active.leave(q.call.ID, s.watched)
	c.SetReadDeadline(begin.Add(firstWait(q)))
	resp, answer, err := c.Receive(up, g.deps.Dialect)
	if err != nil {
		return g.broken(ctx, s, chain, err)
	}
	var end ending
	if resp.StatusCode != http.StatusOK {
		end, kept = g.refusedBy(ctx, s, chain, resp, answer)
	} else {
		end = g.relay(ctx, s, chain, c, resp, wait)
		kept = end == endWhole
	}
	if kept = kept && stop(); kept {
		g.pool.Put(c, resp)
	}
	return end
}

// firstWait is how long the first event may take before another chain is tried.
func firstWait(q *request) time.Duration {
	return max(firstEventObjectives*q.route.LatencyObjective, leastPause)
}

// suspectWait is how long a chain may be silent before its first endpoint is asked who holds it up.
func suspectWait(q *request) time.Duration {
	return max(time.Duration(suspectPauses*float64(q.route.EventGapObjective)), leastSuspect)
}

// patienceFor is how long an attempt on a chain may be silent.
func patienceFor(q *request, chain kwchainsearch.Chain) patience {
	ask := suspectWait(q)
	probe := max(leastProbe, probePauses*chain.EventInterval(q.view.index.Service(q.service).Engine))
	return patience{probe: min(probe, ask), ask: ask}
}

func pauseWait(q *request) time.Duration {
	return max(pauseObjectives*q.route.EventGapObjective, leastPause)
}

// firstEvent is the wait of an attempt for its first event.
type firstEvent struct {
	chooser  *chooser
	endpoint kwid.EndpointID
	began    time.Time
	ended    bool
}

func (g *Gateway) awaitFirst(id kwid.EndpointID, began time.Time) *firstEvent {
	g.chooser.begin(id, began)
	return &firstEvent{chooser: g.chooser, endpoint: id, began: began}
}

// end notes once that the wait is over.
func (f *firstEvent) end(got bool) {
	if !f.ended {
		f.ended = true
		f.chooser.ended(f.endpoint, f.began, got)
	}
}

// relay passes events on as they arrive.
func (g *Gateway) relay(ctx context.Context, s *streaming, chain kwchainsearch.Chain, c *kwupstream.Conn, resp *http.Response, first *firstEvent) ending {
	q := s.q
	events := kwupstream.NewEventReader(resp.Body)
	control := http.NewResponseController(q.w)
	wait := first.began.Add(firstWait(q))
	for {
		c.SetReadDeadline(wait)
		chunk, err := events.Next()
		if errors.Is(err, io.EOF) && s.begun {
			g.finishWhole(s, chain)
			return endWhole
		}
		if err != nil {
			return g.broken(ctx, s, chain, err)
		}
		first.end(true)
		if !s.begun {
			s.begun = true
			g.chooser.eject.RecordSuccess(chain.First().Endpoint)
			q.first = time.Since(q.arrived)
			g.measures.first.Update(q.first)
			copyHeaders(q.w, resp.Header)
			q.w.WriteHeader(http.StatusOK)
		}
		if _, err := q.w.Write(chunk); err != nil {
			g.gone(q)
		}
		if err := control.Flush(); err != nil {
			g.gone(q)
		}
		now := time.Now()
		q.noteEvent(now)
		s.last = events.LastID
		g.measures.events.Inc(1)
		s.watched.progress(now)
		wait = now.Add(pauseWait(q))
	}
}

// noteEvent measures the pauses between the events that a caller gets, over all attempts.
func (q *request) noteEvent(now time.Time) {
	if !q.heard.IsZero() {
		q.pause = max(q.pause, now.Sub(q.heard))
	}
	q.heard = now
}

// finishWhole ends a stream that the caller has in full.
func (g *Gateway) finishWhole(s *streaming, chain kwchainsearch.Chain) {
	g.chooser.succeed(chain)
	g.measures.served.Inc(1)
	g.measures.pause.Update(s.q.pause)
	g.logEnd(kwevent.RequestAnswered, s.q, http.StatusOK, nil)
}

// finishStream ends a stream that no attempt has finished.
func (g *Gateway) finishStream(ctx context.Context, s *streaming) {
	q := s.q
	switch {
	case s.begun:
		g.measures.failed.Inc(1)
		g.logEnd(kwevent.RequestFailed, q, http.StatusOK, s.t.last)
		panic(http.ErrAbortHandler)
	case s.t.answer != nil:
		g.writePlain(q, s.t.answer)
	case s.t.runs > 0 && ctx.Err() != nil:
		g.fail(q, kwcode.New(kwcode.DeadlineExceeded, "%v", s.t.last))
	case s.t.runs > 0:
		g.fail(q, kwcode.New(kwcode.StreamCut, "%v", s.t.last))
	case ctx.Err() != nil:
		g.reject(q, kwcode.New(kwcode.DeadlineTooShort, "the deadline passed before a chain took the request"))
	default:
		err := s.t.last
		if err.RetryAfter == 0 {
			err = err.After(g.cfg.Admission.RetryAfterMin)
		}
		g.reject(q, err)
	}
}

// chainText lists the addresses and layers of a chain for log lines.
func chainText(c kwchainsearch.Chain) string {
	var b bytes.Buffer
	for i, p := range c.Stages {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.Address)
		b.WriteByte('=')
		b.WriteString(strconv.Itoa(int(p.Layers.From)))
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(int(p.Layers.To)))
	}
	return b.String()
}
