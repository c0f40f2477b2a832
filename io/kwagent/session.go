package kwagent

import (
	"context"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsequence"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwengine"
	"knapweedproxy/io/kwevent"
)

// session is the first stage's part of one attempt: it generates the tokens and sends them to the entry.
type session struct {
	role        *Role
	params      kwagentproto.Session
	attempt     *stageAttempt
	entryStream *stream
	nextStream  *stream
	tokens      chan kwagentproto.Token
	cancel      context.CancelCauseFunc
}

// onSession runs one attempt as its first stage and streams the tokens to the entry.
func (r *Role) onSession(ctx context.Context, first frame, s *stream) error {
	var params kwagentproto.Session
	if err := first.Decode(&params); err != nil {
		return err
	}
	params.Priority = normalizePriority(params.Priority)
	if err := validateChain(params.Chain); err != nil {
		return err
	}
	ctx, cancelDeadline := context.WithTimeout(ctx, time.Duration(params.TimeoutMillis)*time.Millisecond)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a, err := r.beginAttempt(params.Request, params.Attempt, params.Chain[0], cancel)
	if err != nil {
		return r.emitRefusal(params.Request, err)
	}
	defer r.endAttempt(a)
	sess := &session{role: r, params: params, attempt: a, entryStream: s, cancel: cancel}
	r.deps.Events.Emit(kwevent.SessionStarted, params.Request, kwevent.F("attempt", params.Attempt), kwevent.F("resumed-at", len(params.Delivered)))
	err = sess.run(ctx)
	r.deps.Events.Emit(kwevent.SessionEnded, params.Request, kwevent.F("attempt", params.Attempt), kwevent.F("ok", err == nil))
	return err
}

// run registers the return path, opens the next stage if there is one, and generates the tokens.
func (s *session) run(ctx context.Context) error {
	key := returnKey{s.params.Request, s.params.Attempt}
	s.tokens = make(chan kwagentproto.Token, 1)
	s.role.mu.Lock()
	s.role.returnPaths[key] = s.tokens
	s.role.mu.Unlock()
	defer s.removeReturnPath(key)
	go s.watchEntry(ctx)
	if len(s.params.Chain) > 1 {
		next, err := s.role.openNextStage(ctx, s.nextStageParams(), s.cancel)
		if err != nil {
			return err
		}
		s.nextStream = next
		defer next.Close()
	}
	return s.generate(ctx)
}

// watchEntry cancels the attempt when the entry closes its stream.
func (s *session) watchEntry(ctx context.Context) {
	if _, err := s.entryStream.Recv(); err != nil && ctx.Err() == nil {
		s.cancel(context.Canceled)
	}
}

func (s *session) removeReturnPath(key returnKey) {
	s.role.mu.Lock()
	defer s.role.mu.Unlock()
	delete(s.role.returnPaths, key)
}

// nextStageParams returns the message that opens the second stage.
func (s *session) nextStageParams() kwagentproto.Stage {
	return kwagentproto.Stage{
		Request:  s.params.Request,
		Attempt:  s.params.Attempt,
		Model:    s.params.Model,
		Priority: s.params.Priority,
		Chain:    s.params.Chain,
		Index:    1,
	}
}

// generate runs the prompt and the tokens already delivered as one step, then one step for each new token.
func (s *session) generate(ctx context.Context) error {
	prompt, err := s.role.engine.Tokenize(ctx, s.params.Prompt)
	if err != nil {
		return kwcode.FromError(err).WithEndpoint(string(s.role.cfg.Endpoint))
	}
	if len(prompt) == 0 {
		return kwcode.New(kwcode.MalformedRequest, "the prompt has no tokens")
	}
	position := kwid.Position(0)
	input := append(prompt, s.params.Delivered...)
	for index := len(s.params.Delivered); index < s.params.MaxTokens; index++ {
		token, err := s.nextToken(ctx, position, input)
		if err != nil {
			return err
		}
		token.Index = index
		if err := s.entryStream.Send(kwagentproto.KindToken, token); err != nil {
			return err
		}
		if token.Stop {
			return s.finish(len(prompt), index+1, true)
		}
		position += kwid.Position(len(input))
		input = []kwid.Token{token.Token}
	}
	return s.finish(len(prompt), s.params.MaxTokens, false)
}

// finish sends the end frame to the entry.
func (s *session) finish(promptTokens, tokens int, stopped bool) error {
	return s.entryStream.Send(kwagentproto.KindEnd, kwagentproto.End{
		Attempt:      s.params.Attempt,
		PromptTokens: promptTokens,
		Tokens:       tokens,
		Stop:         stopped,
	})
}

// nextToken runs one step over the whole chain and returns the token that follows it.
func (s *session) nextToken(ctx context.Context, position kwid.Position, input []kwid.Token) (kwagentproto.Token, error) {
	reply, err := s.role.runStep(ctx, s.attempt, kwengine.StepRequest{
		Request:  s.params.Request,
		Attempt:  s.params.Attempt,
		Position: position,
		Tokens:   input,
		Priority: s.params.Priority,
	}, len(input))
	if err != nil {
		return kwagentproto.Token{}, s.cancelCauseOr(ctx, err)
	}
	wantPosition := position + kwid.Position(len(input))
	if s.nextStream == nil {
		return newToken(s.params.Attempt, wantPosition, reply), nil
	}
	err = s.nextStream.Send(kwagentproto.KindStep, kwagentproto.Step{
		Attempt:      s.params.Attempt,
		Position:     position,
		Layer:        s.params.Chain[0].Layers.To,
		HiddenStates: reply.HiddenStates,
	})
	if err != nil {
		return kwagentproto.Token{}, s.cancelCauseOr(ctx, kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(s.params.Chain[1].Endpoint)))
	}
	return s.awaitToken(ctx, wantPosition)
}

// cancelCauseOr returns the cause for which the attempt was cancelled, or err if it was not.
func (s *session) cancelCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// awaitToken waits for the token at a position and drops tokens of other positions or attempts. Whenever a step timeout
// passes without it, the stages are probed.
func (s *session) awaitToken(ctx context.Context, wantPosition kwid.Position) (kwagentproto.Token, error) {
	timer := time.NewTimer(s.role.cfg.StepTimeout)
	defer timer.Stop()
	var diagnosis <-chan error
	for {
		select {
		case <-ctx.Done():
			return kwagentproto.Token{}, context.Cause(ctx)
		case token := <-s.tokens:
			if token.Attempt == s.params.Attempt && token.Position == wantPosition {
				return token, nil
			}
		case <-timer.C:
			diagnosis = s.diagnose(ctx, wantPosition)
		case err := <-diagnosis:
			if err != nil {
				return kwagentproto.Token{}, err
			}
			timer.Reset(s.role.cfg.StepTimeout)
		}
	}
}

// probesPerTimeout bounds each of the two probes to half of the step timeout, so that a lost stage is found within two
// step timeouts.
const probesPerTimeout = 2

// diagnose probes the chain twice while the wait for the token continues. A stage that is at fault both times is
// reported as lost.
func (s *session) diagnose(ctx context.Context, wantPosition kwid.Position) <-chan error {
	diagnosis := make(chan error, 1)
	go func() {
		timer := time.NewTimer(s.role.cfg.StepTimeout / probesPerTimeout)
		defer timer.Stop()
		first := s.findFaultyStage(ctx, wantPosition)
		if first < 0 {
			diagnosis <- nil
			return
		}
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		if s.findFaultyStage(ctx, wantPosition) != first {
			diagnosis <- nil
			return
		}
		endpoint := string(s.params.Chain[1+first].Endpoint)
		s.role.deps.Events.Emit(kwevent.StageBlamed, s.params.Request, kwevent.F("endpoint", endpoint))
		diagnosis <- kwcode.New(kwcode.StageLost, "the stage makes no progress").WithEndpoint(endpoint)
	}()
	return diagnosis
}

// findFaultyStage probes every later stage for its progress and returns the index of the one at fault, or -1.
func (s *session) findFaultyStage(ctx context.Context, wantPosition kwid.Position) int {
	ctx, cancel := context.WithTimeout(ctx, s.role.cfg.StepTimeout/probesPerTimeout)
	defer cancel()
	laterStages := s.params.Chain[1:]
	progress := make([]kwsequence.Progress, len(laterStages))
	var probes sync.WaitGroup
	for i, stage := range laterStages {
		probes.Go(func() {
			var reply kwagentproto.ProbeReply
			req := kwagentproto.Probe{Request: s.params.Request, Attempt: s.params.Attempt}
			err := s.role.transport.Call(ctx, stage.Address, stage.Agent, kwagentproto.KindProbe, req, &reply)
			progress[i] = kwsequence.Progress{
				Reachable:    err == nil,
				EngineAlive:  reply.EngineAlive,
				NextPosition: reply.Next,
				Running:      reply.Running,
			}
		})
	}
	probes.Wait()
	return kwsequence.FaultyStage(progress, wantPosition)
}
