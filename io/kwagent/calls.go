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
	"knapweedproxy/io/kwupstream"
)

// headerRequestID carries the request ID to the service. If the service echoes it, a reply that arrives for another
// call can be matched to its own.
const headerRequestID = "X-Request-Id"

const (
	maxResponseBytes = 4 << 20
	maxIdleConns     = 64
	// writeTimeoutFactor and minWriteTimeout set how long the agent waits for the response to a write: a multiple of
	// the caller's timeout, and at least the minimum.
	writeTimeoutFactor = 4
	minWriteTimeout    = 30 * time.Second
	// mismatchedReplyTimeout bounds a lookup's wait for a response that went to another call; the lookup can be
	// repeated.
	mismatchedReplyTimeout = 500 * time.Millisecond
	// earlyResponseTimeout bounds the wait for the end of the write after a response that ended with its connection.
	earlyResponseTimeout = 200 * time.Millisecond
)

// newTransport returns a transport for lookups or, if forWrites is true, for writes. A write gets a connection of its
// own, because net/http may repeat a request that failed on a reused connection.
func newTransport(forWrites bool) *http.Transport {
	return &http.Transport{
		Proxy:               nil,
		DisableKeepAlives:   forWrites,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
	}
}

// onCall makes a service call on behalf of an entry.
func (r *Role) onCall(ctx context.Context, first frame, s *stream) error {
	var req kwagentproto.Call
	if err := first.Decode(&req); err != nil {
		return err
	}
	if req.Incarnation != r.incarnation {
		return r.emitRefusal(req.Request, kwcode.New(kwcode.WrongIncarnation, "incarnation %d is running", r.incarnation).WithEndpoint(string(r.cfg.Endpoint)))
	}
	if req.Idempotent {
		return r.lookup(ctx, req, s)
	}
	return r.writeAtMostOnce(ctx, req, s)
}

// lookup makes an idempotent call, which an entry may repeat.
func (r *Role) lookup(ctx context.Context, req kwagentproto.Call, s *stream) error {
	if err := r.beginWork(); err != nil {
		return r.emitRefusal(req.Request, err)
	}
	defer r.endWork()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMillis)*time.Millisecond)
	defer cancel()
	response, _, err := r.roundTrip(ctx, r.lookupTransport, req)
	if err != nil {
		return kwcode.New(kwcode.LookupFailed, "%v", err).WithEndpoint(string(r.cfg.Endpoint))
	}
	return s.Send(kwagentproto.KindReply, kwagentproto.CallReply{Response: response, Load: r.quantizedLoad()})
}

// quantizedLoad returns the number of requests in progress, quantized as in load reports.
func (r *Role) quantizedLoad() uint8 {
	return kwmaxflow.QuantizeLoad(r.ActiveRequests())
}

// writeAtMostOnce starts the call when it first arrives and waits for its end; the call continues if the entry fails.
func (r *Role) writeAtMostOnce(ctx context.Context, req kwagentproto.Call, s *stream) error {
	id := kwcalltable.AttemptID{Scope: req.Scope, Attempt: req.Attempt}
	admission, err := r.admitWrite(id)
	if err != nil {
		return r.emitRefusal(req.Request, err)
	}
	if admission.fresh {
		go r.runWrite(id, req, ctx.Done())
	}
	select {
	case <-admission.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mu.Lock()
	state, response := r.calls.Lookup(id)
	r.mu.Unlock()
	return r.answerWrite(s, state, response)
}

// answerWrite reports the outcome of a write to the entry.
func (r *Role) answerWrite(s *stream, state kwcalltable.State, response kwstatemachine.Response) error {
	switch state {
	case kwcalltable.Done:
		return s.Send(kwagentproto.KindReply, kwagentproto.CallReply{Response: response, Load: r.quantizedLoad()})
	case kwcalltable.Fenced:
		return kwcode.New(kwcode.AttemptFenced, "no connection to the service was made").WithEndpoint(string(r.cfg.Endpoint))
	}
	return kwcode.New(kwcode.OutcomeUnknown, "no response from the service").WithEndpoint(string(r.cfg.Endpoint))
}

// writeAdmission is the result of admitting a write: fresh is true on its first arrival, and done is closed when it has
// ended.
type writeAdmission struct {
	fresh bool
	done  chan struct{}
}

// admitWrite registers a write. If the endpoint is leaving it fences the attempt, so that the answer "not run" stays
// true.
func (r *Role) admitWrite(id kwcalltable.AttemptID) (writeAdmission, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh, err := r.calls.Begin(time.Now(), id)
	if err != nil {
		return writeAdmission{}, err
	}
	if !fresh {
		return writeAdmission{done: r.callEndLocked(id)}, nil
	}
	if err := r.beginWorkLocked(); err != nil {
		r.calls.MarkNotRun(time.Now(), id)
		return writeAdmission{}, err
	}
	return writeAdmission{fresh: true, done: r.callEndLocked(id)}, nil
}

// callEndLocked returns the channel that is closed when an attempt has ended.
func (r *Role) callEndLocked(id kwcalltable.AttemptID) chan struct{} {
	done, ok := r.callEnds[id]
	if ok {
		return done
	}
	done = make(chan struct{})
	if state, _ := r.calls.Lookup(id); state != kwcalltable.Running {
		close(done)
		return done
	}
	r.callEnds[id] = done
	return done
}

// runWrite makes the call and records its outcome. If the entry is gone, the agent itself reports the outcome to the
// journal.
func (r *Role) runWrite(id kwcalltable.AttemptID, req kwagentproto.Call, entryGone <-chan struct{}) {
	defer r.endWork()
	timeout := max(minWriteTimeout, writeTimeoutFactor*time.Duration(req.TimeoutMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r.deps.Events.Emit(kwevent.CallStarted, req.Request, kwevent.F("attempt", req.Attempt))
	response, reached, err := r.roundTrip(ctx, r.writeTransport, req)
	state := r.recordOutcome(id, response, reached, err)
	r.deps.Events.Emit(kwevent.CallEnded, req.Request, kwevent.F("attempt", req.Attempt), kwevent.F("state", state))
	select {
	case <-entryGone:
		r.reportOutcome(id, state, response)
	default:
	}
}

// recordOutcome records how a write ended and notifies those that wait for it. The outcome is lost if the request may
// have reached the service and no response came.
func (r *Role) recordOutcome(id kwcalltable.AttemptID, response kwstatemachine.Response, reached bool, err error) kwcalltable.State {
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
	if done, ok := r.callEnds[id]; ok {
		close(done)
		delete(r.callEnds, id)
	}
	state, _ := r.calls.Lookup(id)
	return state
}

// reportTimeout bounds the report of an outcome to the journal.
const reportTimeout = 30 * time.Second

// reportOutcome proposes the outcome of a completed write to control's journal.
func (r *Role) reportOutcome(id kwcalltable.AttemptID, state kwcalltable.State, response kwstatemachine.Response) {
	if state != kwcalltable.Done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	command := kwstatemachine.Command{Outcome: &kwstatemachine.RecordOutcome{Scope: id.Scope, Attempt: id.Attempt, Response: response}}
	_ = r.control.Call(ctx, kwagentproto.KindPropose, kwagentproto.Propose{Command: command}, &kwstatemachine.Reply{})
}

// roundTrip makes one HTTP exchange. The second result is true if any part of the request may have reached the service.
func (r *Role) roundTrip(ctx context.Context, transport *http.Transport, req kwagentproto.Call) (kwstatemachine.Response, bool, error) {
	var reached atomic.Bool
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			reached.Store(true)
			// The transport may write a lookup again, on another connection.
			select {
			case <-written:
			default:
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default:
			}
		},
	}
	url := r.cfg.ServiceURL + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	out, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return kwstatemachine.Response{}, false, kwcode.New(kwcode.MalformedRequest, "%v", err)
	}
	// Without GetBody, net/http can't rewind the body to repeat the request.
	out.GetBody = nil
	for _, h := range req.Headers {
		out.Header.Add(h.Name, h.Value)
	}
	id := serviceRequestID(req.Request, req.Attempt)
	out.Header.Set(headerRequestID, id)
	start := time.Now()
	defer func() { metrics.GetOrRegisterTimer("service.call", r.registry).UpdateSince(start) }()
	matched, stopWaiting := r.responses.Expect(id)
	defer stopWaiting()
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return deliveredResponse(matched, reached.Load(), kwcode.New(kwcode.PeerUnreachable, "%v", err))
	}
	response, err := readResponse(resp)
	if err == nil && !kwupstream.Framed(resp) {
		err = awaitWrite(written)
	}
	if err != nil {
		return deliveredResponse(matched, true, err)
	}
	if req.Idempotent {
		shortCtx, cancel := context.WithTimeout(ctx, mismatchedReplyTimeout)
		defer cancel()
		ctx = shortCtx
	}
	return r.matchResponse(ctx, id, resp.Header.Get(headerRequestID), response, matched)
}

// awaitWrite returns an error unless the whole request is written. A response without a length ends with its connection, which also ends when
// the service resets it, and the write may have got the report of that.
func awaitWrite(written <-chan error) error {
	timeout := time.NewTimer(earlyResponseTimeout)
	defer timeout.Stop()
	select {
	case err := <-written:
		if err == nil {
			return nil
		}
		return kwcode.New(kwcode.OutcomeUnknown, "the service closed its connection before the request was written: %v", err)
	case <-timeout.C:
		return kwcode.New(kwcode.OutcomeUnknown, "the service closed its connection before the request was written")
	}
}

// deliveredResponse returns the response that already arrived in answer to another call, else the given error.
func deliveredResponse(matched <-chan kwstatemachine.Response, reached bool, err error) (kwstatemachine.Response, bool, error) {
	select {
	case response := <-matched:
		return response, true, nil
	default:
		return kwstatemachine.Response{}, reached, err
	}
}

// serviceRequestID returns the request ID sent to the service, which is unique for each attempt.
func serviceRequestID(request kwid.RequestID, attempt kwid.Attempt) string {
	if attempt <= 1 {
		return string(request)
	}
	return string(request) + "-" + strconv.Itoa(int(attempt))
}

// matchResponse returns the response that echoes this call's ID. One that echoes another ID is delivered to its own
// call, and this call waits for its response.
func (r *Role) matchResponse(ctx context.Context, id, echoedID string, response kwstatemachine.Response, matched <-chan kwstatemachine.Response) (kwstatemachine.Response, bool, error) {
	if echoedID == "" || echoedID == id {
		return response, true, nil
	}
	r.emitMismatchedReply(kwid.RequestID(echoedID))
	r.responses.Deliver(echoedID, response)
	select {
	case own := <-matched:
		return own, true, nil
	case <-ctx.Done():
		return kwstatemachine.Response{}, true, kwcode.New(kwcode.OutcomeUnknown, "the service answered with the response to request %q", echoedID)
	}
}

func readResponse(resp *http.Response) (kwstatemachine.Response, error) {
	defer func() { _ = resp.Body.Close() }()
	if err := kwupstream.CheckResponse(resp); err != nil {
		return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomeUnknown, "%v", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomeUnknown, "%v", err)
	}
	if len(body) > maxResponseBytes {
		return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomeUnknown, "the response is larger than %d bytes", maxResponseBytes)
	}
	if kwupstream.CutWithinEvent(resp, body) {
		return kwstatemachine.Response{}, kwcode.New(kwcode.OutcomeUnknown, "the service broke off its stream within an event")
	}
	out := kwstatemachine.Response{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if isHopByHop(name) {
			continue
		}
		for _, v := range values {
			out.Headers = append(out.Headers, kwstatemachine.Header{Name: name, Value: v})
		}
	}
	return out, nil
}

// isHopByHop reports whether a header applies to a single connection only.
func isHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", headerRequestID:
		return true
	}
	return false
}

// onFence fences an attempt that has not arrived, so that it never runs, or returns the state of one that has.
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
