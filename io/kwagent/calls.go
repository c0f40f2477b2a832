package kwagent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcalltable"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
)

// headerRequest carries the request id to the service; a service that echoes it gets its answers matched.
const headerRequest = "X-Request-Id"

const (
	maxResponse = 4 << 20
	maxIdle     = 64
	// lateFactor and lateMin set how long a write's answer is awaited after the caller's timeout.
	lateFactor = 4
	lateMin    = 30 * time.Second
	// crossedWait bounds a lookup's wait for an answer that went elsewhere; the lookup can be repeated.
	crossedWait = 500 * time.Millisecond
)

// newTransport returns a transport that never repeats a request: a write gets a connection of its own.
func newTransport(single bool) *http.Transport {
	return &http.Transport{
		Proxy:               nil,
		DisableKeepAlives:   single,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
	}
}

// onCall carries a service call to the endpoint.
func (r *Role) onCall(ctx context.Context, first frame, s *stream) error {
	var req kwagentproto.Call
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Incarnation != r.incarnation {
		return r.refused(req.Request, kwcode.New(kwcode.WrongIncarnation, "this is incarnation %d", r.incarnation).WithEndpoint(string(r.cfg.Endpoint)))
	}
	if req.Idempotent {
		return r.lookup(ctx, req, s)
	}
	return r.writeOnce(ctx, req, s)
}

func (r *Role) lookup(ctx context.Context, req kwagentproto.Call, s *stream) error {
	if err := r.enter(); err != nil {
		return r.refused(req.Request, err)
	}
	defer r.leave()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMillis)*time.Millisecond)
	defer cancel()
	response, _, err := r.send(ctx, r.lookups, req)
	if err != nil {
		return kwcode.New(kwcode.LookupFailed, "%v", err).WithEndpoint(string(r.cfg.Endpoint))
	}
	return s.Send(kwagentproto.KindReply, kwagentproto.CallReply{Response: response, Load: r.load()})
}

func (r *Role) load() uint8 {
	return kwmaxflow.QuantiseLoad(r.Active())
}

// writeOnce starts the call on its first arrival and waits for its end; the call goes on when the entry dies.
func (r *Role) writeOnce(ctx context.Context, req kwagentproto.Call, s *stream) error {
	id := kwcalltable.AttemptID{Scope: req.Scope, Attempt: req.Attempt}
	ended, err := r.admitWrite(id)
	if err != nil {
		return r.refused(req.Request, err)
	}
	if ended.fresh {
		go r.runWrite(id, req, ctx.Done())
	}
	select {
	case <-ended.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mu.Lock()
	state, response := r.calls.Lookup(id)
	r.mu.Unlock()
	return r.answerWrite(s, state, response)
}

func (r *Role) answerWrite(s *stream, state kwcalltable.State, response kwstatemachine.Response) error {
	switch state {
	case kwcalltable.Done:
		return s.Send(kwagentproto.KindReply, kwagentproto.CallReply{Response: response, Load: r.load()})
	case kwcalltable.Fenced:
		return kwcode.New(kwcode.AttemptFenced, "the service took no connection").WithEndpoint(string(r.cfg.Endpoint))
	}
	return kwcode.New(kwcode.OutcomeUnknown, "the service gave no answer").WithEndpoint(string(r.cfg.Endpoint))
}

type admitted struct {
	fresh bool
	done  chan struct{}
}

// admitWrite fences the attempt when the endpoint is leaving, so that its refusal stays true.
func (r *Role) admitWrite(id kwcalltable.AttemptID) (admitted, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh, err := r.calls.Begin(time.Now(), id)
	if err != nil {
		return admitted{}, err
	}
	if !fresh {
		return admitted{done: r.endedLocked(id)}, nil
	}
	if err := r.enterLocked(); err != nil {
		r.calls.MarkNotRun(time.Now(), id)
		return admitted{}, err
	}
	return admitted{fresh: true, done: r.endedLocked(id)}, nil
}

// endedLocked returns the channel that closes when an attempt has ended.
func (r *Role) endedLocked(id kwcalltable.AttemptID) chan struct{} {
	ch, ok := r.ended[id]
	if ok {
		return ch
	}
	ch = make(chan struct{})
	if state, _ := r.calls.Lookup(id); state != kwcalltable.Running {
		close(ch)
		return ch
	}
	r.ended[id] = ch
	return ch
}

// runWrite sends the call and keeps its outcome; if the entry is gone, the outcome goes to the journal from here.
func (r *Role) runWrite(id kwcalltable.AttemptID, req kwagentproto.Call, entryGone <-chan struct{}) {
	defer r.leave()
	wait := max(lateMin, lateFactor*time.Duration(req.TimeoutMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r.deps.Events.Emit(kwevent.CallStarted, req.Request, kwevent.F("attempt", req.Attempt))
	response, reached, err := r.send(ctx, r.writes, req)
	state := r.keepOutcome(id, response, reached, err)
	r.deps.Events.Emit(kwevent.CallEnded, req.Request, kwevent.F("attempt", req.Attempt), kwevent.F("state", state))
	select {
	case <-entryGone:
		r.reportOutcome(id, state, response)
	default:
	}
}

func (r *Role) keepOutcome(id kwcalltable.AttemptID, response kwstatemachine.Response, reached bool, err error) kwcalltable.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		r.calls.Complete(now, id, response)
	case reached:
		r.calls.MarkLost(now, id)
	default:
		r.calls.MarkNotRun(now, id)
	}
	if ch, ok := r.ended[id]; ok {
		close(ch)
		delete(r.ended, id)
	}
	state, _ := r.calls.Lookup(id)
	return state
}

const reportTimeout = 30 * time.Second

func (r *Role) reportOutcome(id kwcalltable.AttemptID, state kwcalltable.State, response kwstatemachine.Response) {
	if state != kwcalltable.Done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	command := kwstatemachine.Command{Outcome: &kwstatemachine.RecordOutcome{Scope: id.Scope, Attempt: id.Attempt, Response: response}}
	_ = r.control.Call(ctx, kwagentproto.KindPropose, kwagentproto.Propose{Command: command}, &kwstatemachine.Reply{})
}

// send makes one HTTP exchange; reached tells whether any of the request may have arrived at the service.
func (r *Role) send(ctx context.Context, transport *http.Transport, req kwagentproto.Call) (kwstatemachine.Response, bool, error) {
	var reached atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }}
	url := r.cfg.ServiceURL + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return kwstatemachine.Response{}, false, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	out.GetBody = nil
	for _, h := range req.Headers {
		out.Header.Add(h.Name, h.Value)
	}
	wire := wireID(req.Request, req.Attempt)
	out.Header.Set(headerRequest, wire)
	begin := time.Now()
	defer func() { metrics.GetOrRegisterTimer("service.call", r.registry).UpdateSince(begin) }()
	mine, forget := r.answers.Expect(wire)
	defer forget()
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return elsewhere(mine, reached.Load(), kwcode.New(kwcode.PeerUnreachable, "%v", err))
	}
	response, err := readResponse(resp)
	if err != nil {
		return elsewhere(mine, true, err)
	}
	if req.Idempotent {
		short, cancel := context.WithTimeout(ctx, crossedWait)
		defer cancel()
		ctx = short
	}
	return r.own(ctx, wire, resp.Header.Get(headerRequest), response, mine)
}

// elsewhere returns the answer that already came with another call's response, or the failure.
func elsewhere(mine <-chan kwstatemachine.Response, reached bool, err error) (kwstatemachine.Response, bool, error) {
	select {
	case got := <-mine:
		return got, true, nil
	default:
		return kwstatemachine.Response{}, reached, err
	}
}

// wireID names one attempt towards the service.
func wireID(request kwid.RequestID, attempt kwid.Attempt) string {
	if attempt <= 1 {
		return string(request)
	}
	return string(request) + "-" + strconv.Itoa(int(attempt))
}

// own returns the answer that names this request; an answer that names another goes to its owner.
func (r *Role) own(ctx context.Context, wire, echo string, response kwstatemachine.Response, mine <-chan kwstatemachine.Response) (kwstatemachine.Response, bool, error) {
	if echo == "" || echo == wire {
		return response, true, nil
	}
	r.crossed(kwid.RequestID(echo))
	r.answers.Deliver(echo, response)
	select {
	case got := <-mine:
		return got, true, nil
	case <-ctx.Done():
		return kwstatemachine.Response{}, true, kwcode.New(kwcode.OutcomeUnknown, "the answer belonged to %q", echo)
	}
}

func readResponse(resp *http.Response) (kwstatemachine.Response, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil {
		return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomeUnknown, "%v", err)
	}
	if len(body) > maxResponse {
		return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomeUnknown, "the answer is over %d bytes", maxResponse)
	}
	out := kwstatemachine.Response{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if hopByHop(name) {
			continue
		}
		for _, v := range values {
			out.Headers = append(out.Headers, kwstatemachine.Header{Name: name, Value: v})
		}
	}
	return out, nil
}

// hopByHop tells whether a header belongs to one connection only.
func hopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", headerRequest:
		return true
	}
	return false
}

// onFence bars an attempt that has not arrived, or tells what became of it.
func (r *Role) onFence(_ context.Context, first frame, s *stream) error {
	var req kwagentproto.Fence
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Incarnation != r.incarnation {
		return s.Send(kwagentproto.KindReply, kwagentproto.FenceReply{State: kwcontrol.StateRestarted})
	}
	r.mu.Lock()
	state, response := r.calls.Fence(time.Now(), kwcalltable.AttemptID{Scope: req.Scope, Attempt: req.Attempt}, time.Duration(req.AgeMillis)*time.Millisecond)
	r.mu.Unlock()
	if state == kwcalltable.Fenced {
		r.deps.Events.Emit(kwevent.AttemptFenced, "", kwevent.F("key", req.Scope.Key), kwevent.F("attempt", req.Attempt))
	}
	return s.Send(kwagentproto.KindReply, kwagentproto.FenceReply{State: string(state), Response: response})
}
