package kwagent

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwsequence"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwengine"
)

// returnKey identifies the return path, from the last stage to the first, of one attempt.
type returnKey struct {
	request kwid.RequestID
	attempt kwid.Attempt
}

// stageAttempt is one attempt of a request at this stage.
type stageAttempt struct {
	request   kwid.RequestID
	attempt   kwid.Attempt
	cancel    context.CancelCauseFunc
	mu        sync.Mutex
	sequence  *kwsequence.Sequence
	lastReply kwengine.StepReply
	running   bool
}

// beginAttempt registers an attempt. It cancels an older attempt of the request and rejects one that is not newer.
func (r *Role) beginAttempt(request kwid.RequestID, attempt kwid.Attempt, stage kwmaxflow.Stage, cancel context.CancelCauseFunc) (*stageAttempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stage.Endpoint != r.cfg.Endpoint || stage.Incarnation != r.incarnation {
		return nil, kwcode.New(kwcode.WrongIncarnation, "incarnation %d of endpoint %q is running", r.incarnation, r.cfg.Endpoint).WithEndpoint(string(stage.Endpoint))
	}
	if stage.Layers != r.info.Layers {
		return nil, kwcode.New(kwcode.WrongIncarnation, "endpoint %q no longer holds these layers", r.cfg.Endpoint).WithEndpoint(string(stage.Endpoint))
	}
	old, exists := r.attempts[request]
	if exists && old.attempt >= attempt {
		return nil, kwcode.New(kwcode.AttemptFenced, "attempt %d is not newer than attempt %d", attempt, old.attempt)
	}
	if err := r.beginWorkLocked(); err != nil {
		return nil, err
	}
	if exists {
		old.cancel(kwcode.New(kwcode.OldAttempt, "attempt %d replaced attempt %d", attempt, old.attempt))
	}
	a := &stageAttempt{request: request, attempt: attempt, cancel: cancel, sequence: kwsequence.New(stage.Layers, attempt)}
	r.attempts[request] = a
	return a, nil
}

// cancelTimeout bounds the request that frees an attempt's KV cache in the engine.
const cancelTimeout = 2 * time.Second

// endAttempt removes an attempt and frees its KV cache in the engine.
func (r *Role) endAttempt(a *stageAttempt) {
	r.mu.Lock()
	if r.attempts[a.request] == a {
		delete(r.attempts, a.request)
	}
	r.mu.Unlock()
	go func() {
		defer r.endWork()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.engine.Cancel(ctx, a.request, a.attempt)
	}()
}

// runStep runs a step at the engine if it is the next one; a repeated step gets the last result.
func (r *Role) runStep(ctx context.Context, a *stageAttempt, in kwengine.StepRequest, count int) (kwengine.StepReply, error) {
	a.mu.Lock()
	decision, err := a.sequence.Admit(kwsequence.Step{Attempt: in.Attempt, Position: in.Position, Count: count, Layer: in.Layer})
	reply := a.lastReply
	a.running = err == nil && decision == kwsequence.Run
	a.mu.Unlock()
	if err != nil {
		return reply, err
	}
	if decision == kwsequence.Replay {
		return reply, nil
	}
	start := time.Now()
	reply, err = r.engine.Step(ctx, in)
	metrics.GetOrRegisterTimer("engine.step", r.registry).UpdateSince(start)
	metrics.GetOrRegisterCounter("engine.tokens", r.registry).Inc(int64(count))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running = false
	if err != nil {
		return reply, kwcode.FromError(err).WithEndpoint(string(r.cfg.Endpoint))
	}
	a.sequence.Done()
	a.lastReply = reply
	return reply, nil
}

// engineProbeDivisor sets how long a probe waits for the engine: the step timeout divided by it.
const engineProbeDivisor = 4

// onProbe reports how far an attempt has come at this stage and whether the engine responds.
func (r *Role) onProbe(ctx context.Context, first frame, s *stream) error {
	var req kwagentproto.Probe
	if err := first.Decode(&req); err != nil {
		return err
	}
	return s.Send(kwagentproto.KindReply, r.probeAttempt(ctx, req))
}

func (r *Role) probeAttempt(ctx context.Context, req kwagentproto.Probe) kwagentproto.ProbeReply {
	var out kwagentproto.ProbeReply
	r.mu.Lock()
	a, ok := r.attempts[req.Request]
	r.mu.Unlock()
	if ok && a.attempt == req.Attempt {
		a.mu.Lock()
		out.Next = a.sequence.NextPosition()
		out.Running = a.running
		a.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StepTimeout/engineProbeDivisor)
	defer cancel()
	_, err := r.engine.Load(ctx)
	out.EngineAlive = err == nil
	return out
}
