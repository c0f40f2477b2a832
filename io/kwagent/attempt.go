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

// returnKey names the return path of one attempt.
type returnKey struct {
	request kwid.RequestID
	attempt kwid.Attempt
}

// work is one attempt of a request at this stage.
type work struct {
	request kwid.RequestID
	attempt kwid.Attempt
	cancel  context.CancelCauseFunc
	mu      sync.Mutex
	seq     *kwsequence.Sequence
	reply   kwengine.StepReply
	running bool
}

// begin registers an attempt; it replaces an older attempt and refuses an attempt that is not newer.
func (r *Role) begin(request kwid.RequestID, attempt kwid.Attempt, mine kwmaxflow.Stage, cancel context.CancelCauseFunc) (*work, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if mine.Endpoint != r.cfg.Endpoint || mine.Incarnation != r.incarnation {
		return nil, kwcode.New(kwcode.WrongIncarnation, "this is incarnation %d of %q", r.incarnation, r.cfg.Endpoint).WithEndpoint(string(mine.Endpoint))
	}
	if mine.Layers != r.info.Layers {
		return nil, kwcode.New(kwcode.WrongIncarnation, "endpoint %q holds other layers now", r.cfg.Endpoint).WithEndpoint(string(mine.Endpoint))
	}
	old, ok := r.work[request]
	if ok && old.attempt >= attempt {
		return nil, kwcode.New(kwcode.AttemptFenced, "attempt %d, present attempt %d", attempt, old.attempt)
	}
	if err := r.enterLocked(); err != nil {
		return nil, err
	}
	if ok {
		old.cancel(kwcode.New(kwcode.OldAttempt, "attempt %d replaced attempt %d", attempt, old.attempt))
	}
	w := &work{request: request, attempt: attempt, cancel: cancel, seq: kwsequence.New(mine.Layers, attempt)}
	r.work[request] = w
	return w, nil
}

const cancelTimeout = 2 * time.Second

// end forgets an attempt and frees the engine's memory of it.
func (r *Role) end(w *work) {
	r.mu.Lock()
	if r.work[w.request] == w {
		delete(r.work, w.request)
	}
	r.mu.Unlock()
	go func() {
		defer r.leave()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.engine.Cancel(ctx, w.request, w.attempt)
	}()
}

// step runs a step at the engine if it is the next one; a repeat gets the last result.
func (r *Role) step(ctx context.Context, w *work, in kwengine.StepRequest, count int) (kwengine.StepReply, error) {
	w.mu.Lock()
	verdict, err := w.seq.Admit(kwsequence.Step{Attempt: in.Attempt, Position: in.Position, Count: count, Layer: in.Layer})
	reply := w.reply
	w.running = err == nil && verdict == kwsequence.Run
	w.mu.Unlock()
	if err != nil {
		return reply, err
	}
	if verdict == kwsequence.Replay {
		return reply, nil
	}
	begin := time.Now()
	reply, err = r.engine.Step(ctx, in)
	metrics.GetOrRegisterTimer("engine.step", r.registry).UpdateSince(begin)
	metrics.GetOrRegisterCounter("engine.tokens", r.registry).Inc(int64(count))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
	if err != nil {
		return reply, kwcode.FromError(err).WithEndpoint(string(r.cfg.Endpoint))
	}
	w.seq.Done()
	w.reply = reply
	return reply, nil
}

// engineShare is the part of the step timeout that an engine may take to answer a probe.
const engineShare = 4

// onProbe tells how far an attempt has come here and whether the engine answers.
func (r *Role) onProbe(ctx context.Context, first frame, s *stream) error {
	var req kwagentproto.Probe
	if err := first.Decode(&req); err != nil {
		return err
	}
	return s.Send(kwagentproto.KindReply, r.probe(ctx, req))
}

func (r *Role) probe(ctx context.Context, req kwagentproto.Probe) kwagentproto.ProbeReply {
	var out kwagentproto.ProbeReply
	r.mu.Lock()
	w, ok := r.work[req.Request]
	r.mu.Unlock()
	if ok && w.attempt == req.Attempt {
		w.mu.Lock()
		out.Next = w.seq.NextPosition()
		out.Running = w.running
		w.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StepTimeout/engineShare)
	defer cancel()
	_, err := r.engine.Load(ctx)
	out.EngineAlive = err == nil
	return out
}
