package kwagent

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwengine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwquic"
)

// Short names for the transport's types.
type (
	frame  = kwquic.Frame
	stream = kwquic.Stream
)

const dialTimeout = 2 * time.Second

// openNext opens the stage after the one at index and watches it; its failure cancels the work with a cause.
func (r *Role) openNext(ctx context.Context, open kwagentproto.Stage, cancel context.CancelCauseFunc) (*stream, error) {
	next := open.Chain[open.Index]
	dial, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	down, err := r.wire.Open(dial, next.Address, next.Agent)
	if err == nil {
		err = down.Send(kwagentproto.KindStage, open)
	}
	if err != nil {
		return nil, kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(next.Endpoint))
	}
	go watchDown(down, next, cancel)
	return down, nil
}

// watchDown waits for the next stage to fail; a stage that ends well closes its stream without a frame.
func watchDown(down *stream, next kwmaxflow.Stage, cancel context.CancelCauseFunc) {
	f, err := down.Recv()
	if err == nil {
		err = f.Expect(kwagentproto.KindEnd, &kwagentproto.End{})
	}
	if err == nil {
		return
	}
	coded := kwcode.FromError(err)
	if coded.Code == kwcode.PeerUnreachable {
		coded = kwcode.New(kwcode.StageLost, "%s", coded.Detail)
	}
	if coded.Endpoint == "" {
		coded = coded.WithEndpoint(string(next.Endpoint))
	}
	cancel(coded)
}

// onStage serves a later stage of a chain until the stage before it closes the stream.
func (r *Role) onStage(ctx context.Context, first frame, s *stream) error {
	var open kwagentproto.Stage
	if err := first.Decode(&open); err != nil {
		return err
	}
	if open.Index < 1 || open.Index >= len(open.Chain) {
		return kwcode.New(kwcode.FrameMalformed, "stage %d of %d", open.Index, len(open.Chain))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w, err := r.begin(open.Request, open.Attempt, open.Chain[open.Index], cancel)
	if err != nil {
		return r.refused(open.Request, err)
	}
	defer r.end(w)
	r.deps.Events.Emit(kwevent.StageStarted, open.Request, kwevent.F("attempt", open.Attempt), kwevent.F("stage", open.Index))
	defer r.deps.Events.Emit(kwevent.StageEnded, open.Request, kwevent.F("attempt", open.Attempt), kwevent.F("stage", open.Index))
	out, err := r.openOutput(ctx, open, cancel)
	if err != nil {
		return err
	}
	defer out.Close()
	stop := context.AfterFunc(ctx, s.StopReading)
	defer stop()
	return r.relay(ctx, open, w, s, out)
}

// openOutput opens the path to the next stage, or from the last stage back to the first.
func (r *Role) openOutput(ctx context.Context, open kwagentproto.Stage, cancel context.CancelCauseFunc) (*stream, error) {
	if open.Index < len(open.Chain)-1 {
		next := open
		next.Index++
		return r.openNext(ctx, next, cancel)
	}
	head := open.Chain[0]
	dial, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	back, err := r.wire.Open(dial, head.Address, head.Agent)
	if err == nil {
		err = back.Send(kwagentproto.KindReturnPath, kwagentproto.ReturnPath{Request: open.Request, Attempt: open.Attempt})
	}
	if err != nil {
		return nil, kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(head.Endpoint))
	}
	return back, nil
}

// relay runs each arriving step and passes its result on.
func (r *Role) relay(ctx context.Context, open kwagentproto.Stage, w *work, s, out *stream) error {
	for {
		f, err := s.Recv()
		if cause := context.Cause(ctx); cause != nil && err != nil {
			return ended(cause)
		}
		if err != nil {
			return nil
		}
		var step kwagentproto.Step
		if err := f.Expect(kwagentproto.KindStep, &step); err != nil {
			return err
		}
		if err := r.relayStep(ctx, open, w, step, out); err != nil {
			return err
		}
	}
}

// ended turns the cause of a cancelled context into the error for the stage before.
func ended(cause error) error {
	if cause == context.Canceled {
		return nil
	}
	return cause
}

func (r *Role) relayStep(ctx context.Context, open kwagentproto.Stage, w *work, step kwagentproto.Step, out *stream) error {
	reply, err := r.step(ctx, w, kwengine.StepRequest{
		Request:  open.Request,
		Attempt:  step.Attempt,
		Position: step.Position,
		Layer:    step.Layer,
		Hidden:   step.Hidden,
		Priority: open.Priority,
	}, len(step.Hidden))
	if err != nil {
		return err
	}
	if open.Index < len(open.Chain)-1 {
		return out.Send(kwagentproto.KindStep, kwagentproto.Step{
			Attempt:  step.Attempt,
			Position: step.Position,
			Layer:    open.Chain[open.Index].Layers.To,
			Hidden:   reply.Hidden,
		})
	}
	return out.Send(kwagentproto.KindToken, tokenOf(step.Attempt, step.Position+kwid.Position(len(step.Hidden)), reply))
}

func tokenOf(attempt kwid.Attempt, next kwid.Position, reply kwengine.StepReply) kwagentproto.Token {
	return kwagentproto.Token{Attempt: attempt, Position: next, Token: reply.Token, Text: reply.Text, Stop: reply.Stop}
}

// onReturn passes the tokens of a last stage to the session that waits for them.
func (r *Role) onReturn(ctx context.Context, first frame, s *stream) error {
	var open kwagentproto.ReturnPath
	if err := first.Decode(&open); err != nil {
		return err
	}
	r.mu.Lock()
	tokens, ok := r.returns[returnKey{open.Request, open.Attempt}]
	r.mu.Unlock()
	if !ok {
		return kwcode.New(kwcode.OldAttempt, "no session waits for attempt %d", open.Attempt)
	}
	for {
		f, err := s.Recv()
		if err != nil {
			return nil
		}
		var token kwagentproto.Token
		if err := f.Expect(kwagentproto.KindToken, &token); err != nil {
			return err
		}
		select {
		case tokens <- token:
		case <-ctx.Done():
			return nil
		}
	}
}

// checkChain requires that the chain covers each layer from 0 on once, without a gap.
func checkChain(chain []kwmaxflow.Stage) error {
	var at kwid.Layer
	for i, s := range chain {
		if s.Layers.From != at || s.Layers.Len() < 1 {
			return kwcode.New(kwcode.FrameMalformed, "stage %d starts at layer %d, want %d", i, s.Layers.From, at)
		}
		at = s.Layers.To
	}
	if len(chain) == 0 {
		return kwcode.New(kwcode.FrameMalformed, "the chain is empty")
	}
	return nil
}

// priorityOr returns a known priority.
func priorityOr(p kwsiteconfig.Priority) kwsiteconfig.Priority {
	if p == kwsiteconfig.Batch {
		return p
	}
	return kwsiteconfig.Interactive
}
