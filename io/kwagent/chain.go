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

// Types of the transport.
type (
	frame  = kwquic.Frame
	stream = kwquic.Stream
)

// dialTimeout bounds opening a stream to another stage.
const dialTimeout = 2 * time.Second

// openNextStage opens a stream to the stage at params.Index and watches it; a failure of that stage cancels the attempt
// with the error as cause.
func (r *Role) openNextStage(ctx context.Context, params kwagentproto.Stage, cancel context.CancelCauseFunc) (*stream, error) {
	next := params.Chain[params.Index]
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	out, err := r.transport.Open(dialCtx, next.Address, next.Agent)
	if err == nil {
		err = out.Send(kwagentproto.KindStage, params)
	}
	if err != nil {
		return nil, kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(next.Endpoint))
	}
	go watchNextStage(out, next, cancel)
	return out, nil
}

// watchNextStage waits for the next stage to end. A failure cancels the attempt; a stage that ends normally closes its
// stream without a frame.
func watchNextStage(out *stream, next kwmaxflow.Stage, cancel context.CancelCauseFunc) {
	f, err := out.Recv()
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

// onStage runs a later stage of a chain until the stage before it closes the stream.
func (r *Role) onStage(ctx context.Context, first frame, s *stream) error {
	var params kwagentproto.Stage
	if err := first.Decode(&params); err != nil {
		return err
	}
	if params.Index < 1 || params.Index >= len(params.Chain) {
		return kwcode.New(kwcode.FrameMalformed, "stage index %d is out of range for a chain of %d stages", params.Index, len(params.Chain))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a, err := r.beginAttempt(params.Request, params.Attempt, params.Chain[params.Index], cancel)
	if err != nil {
		return r.emitRefusal(params.Request, err)
	}
	defer r.endAttempt(a)
	r.deps.Events.Emit(kwevent.StageStarted, params.Request, kwevent.F("attempt", params.Attempt), kwevent.F("stage", params.Index))
	defer r.deps.Events.Emit(kwevent.StageEnded, params.Request, kwevent.F("attempt", params.Attempt), kwevent.F("stage", params.Index))
	out, err := r.openOutput(ctx, params, cancel)
	if err != nil {
		return err
	}
	defer out.Close()
	stop := context.AfterFunc(ctx, s.StopReading)
	defer stop()
	return r.relay(ctx, params, a, s, out)
}

// openOutput opens the stream for this stage's results: to the next stage, or from the last stage back to the first.
func (r *Role) openOutput(ctx context.Context, params kwagentproto.Stage, cancel context.CancelCauseFunc) (*stream, error) {
	if params.Index < len(params.Chain)-1 {
		next := params
		next.Index++
		return r.openNextStage(ctx, next, cancel)
	}
	firstStage := params.Chain[0]
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	out, err := r.transport.Open(dialCtx, firstStage.Address, firstStage.Agent)
	if err == nil {
		err = out.Send(kwagentproto.KindReturnPath, kwagentproto.ReturnPath{Request: params.Request, Attempt: params.Attempt})
	}
	if err != nil {
		return nil, kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(firstStage.Endpoint))
	}
	return out, nil
}

// relay runs each step that arrives and forwards its result.
func (r *Role) relay(ctx context.Context, params kwagentproto.Stage, a *stageAttempt, s, out *stream) error {
	for {
		f, err := s.Recv()
		if cause := context.Cause(ctx); cause != nil && err != nil {
			return relayError(cause)
		}
		if err != nil {
			return nil
		}
		var step kwagentproto.Step
		if err := f.Expect(kwagentproto.KindStep, &step); err != nil {
			return err
		}
		if err := r.relayStep(ctx, params, a, step, out); err != nil {
			return err
		}
	}
}

// relayError converts the cause of a cancelled context to the error for the previous stage; a plain cancellation is a
// normal end.
func relayError(cause error) error {
	if cause == context.Canceled {
		return nil
	}
	return cause
}

// relayStep runs one step at the engine and sends its result to the next stage, or its token to the first.
func (r *Role) relayStep(ctx context.Context, params kwagentproto.Stage, a *stageAttempt, step kwagentproto.Step, out *stream) error {
	reply, err := r.runStep(ctx, a, kwengine.StepRequest{
		Request:      params.Request,
		Attempt:      step.Attempt,
		Position:     step.Position,
		Layer:        step.Layer,
		HiddenStates: step.HiddenStates,
		Priority:     params.Priority,
	}, len(step.HiddenStates))
	if err != nil {
		return err
	}
	if params.Index < len(params.Chain)-1 {
		return out.Send(kwagentproto.KindStep, kwagentproto.Step{
			Attempt:      step.Attempt,
			Position:     step.Position,
			Layer:        params.Chain[params.Index].Layers.To,
			HiddenStates: reply.HiddenStates,
		})
	}
	return out.Send(kwagentproto.KindToken, newToken(step.Attempt, step.Position+kwid.Position(len(step.HiddenStates)), reply))
}

// newToken returns the token message for the engine's reply; next is the position of that token.
func newToken(attempt kwid.Attempt, next kwid.Position, reply kwengine.StepReply) kwagentproto.Token {
	return kwagentproto.Token{Attempt: attempt, Position: next, Token: reply.Token, Text: reply.Text, Stop: reply.Stop}
}

// onReturn passes the tokens of a last stage to the session that waits for them.
func (r *Role) onReturn(ctx context.Context, first frame, s *stream) error {
	var params kwagentproto.ReturnPath
	if err := first.Decode(&params); err != nil {
		return err
	}
	r.mu.Lock()
	tokens, ok := r.returnPaths[returnKey{params.Request, params.Attempt}]
	r.mu.Unlock()
	if !ok {
		return kwcode.New(kwcode.OldAttempt, "no session is open for attempt %d", params.Attempt)
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

// validateChain requires that the stages cover the layers from 0 on, each exactly once and without a gap.
func validateChain(chain []kwmaxflow.Stage) error {
	var nextLayer kwid.Layer
	for i, s := range chain {
		if s.Layers.From != nextLayer || s.Layers.Len() < 1 {
			return kwcode.New(kwcode.FrameMalformed, "stage %d starts at layer %d, want layer %d", i, s.Layers.From, nextLayer)
		}
		nextLayer = s.Layers.To
	}
	if len(chain) == 0 {
		return kwcode.New(kwcode.FrameMalformed, "the chain is empty")
	}
	return nil
}

// normalizePriority returns Batch or Interactive; an unknown priority counts as Interactive.
func normalizePriority(p kwsiteconfig.Priority) kwsiteconfig.Priority {
	if p == kwsiteconfig.Batch {
		return p
	}
	return kwsiteconfig.Interactive
}
