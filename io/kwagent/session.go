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

// session is the first stage's side of one attempt.
type session struct {
	role   *Role
	open   kwagentproto.Session
	work   *work
	entry  *stream
	down   *stream
	tokens chan kwagentproto.Token
	cancel context.CancelCauseFunc
}

// onSession generates the tokens of one attempt and streams them to the entry.
func (r *Role) onSession(ctx context.Context, first frame, s *stream) error {
	var open kwagentproto.Session
	if err := first.Decode(&open); err != nil {
		return err
	}
	open.Priority = priorityOr(open.Priority)
	if err := checkChain(open.Chain); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(open.TimeoutMillis)*time.Millisecond)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w, err := r.begin(open.Request, open.Attempt, open.Chain[0], cancel)
	if err != nil {
		return r.refused(open.Request, err)
	}
	defer r.end(w)
	t := &session{role: r, open: open, work: w, entry: s, cancel: cancel}
	r.deps.Events.Emit(kwevent.SessionStarted, open.Request, kwevent.F("attempt", open.Attempt), kwevent.F("resumed-at", len(open.Delivered)))
	err = t.run(ctx)
	r.deps.Events.Emit(kwevent.SessionEnded, open.Request, kwevent.F("attempt", open.Attempt), kwevent.F("ok", err == nil))
	return err
}

func (t *session) run(ctx context.Context) error {
	key := returnKey{t.open.Request, t.open.Attempt}
	t.tokens = make(chan kwagentproto.Token, 1)
	t.role.mu.Lock()
	t.role.returns[key] = t.tokens
	t.role.mu.Unlock()
	defer t.forgetReturn(key)
	go t.watchEntry(ctx)
	if len(t.open.Chain) > 1 {
		down, err := t.role.openNext(ctx, t.stageOpen(), t.cancel)
		if err != nil {
			return err
		}
		t.down = down
		defer down.Close()
	}
	return t.generate(ctx)
}

// watchEntry cancels the work when the entry goes away.
func (t *session) watchEntry(ctx context.Context) {
	if _, err := t.entry.Recv(); err != nil && ctx.Err() == nil {
		t.cancel(context.Canceled)
	}
}

func (t *session) forgetReturn(key returnKey) {
	t.role.mu.Lock()
	defer t.role.mu.Unlock()
	delete(t.role.returns, key)
}

func (t *session) stageOpen() kwagentproto.Stage {
	return kwagentproto.Stage{
		Request:  t.open.Request,
		Attempt:  t.open.Attempt,
		Model:    t.open.Model,
		Priority: t.open.Priority,
		Chain:    t.open.Chain,
		Index:    1,
	}
}

// generate runs the prompt and the delivered tokens as one step, then a step for each new token.
func (t *session) generate(ctx context.Context) error {
	prompt, err := t.role.engine.Tokenize(ctx, t.open.Prompt)
	if err != nil {
		return kwcode.FromError(err).WithEndpoint(string(t.role.cfg.Endpoint))
	}
	if len(prompt) == 0 {
		return kwcode.New(kwcode.MalformedRequest, "the prompt holds no tokens")
	}
	position := kwid.Position(0)
	input := append(prompt, t.open.Delivered...)
	for index := len(t.open.Delivered); index < t.open.MaxTokens; index++ {
		token, err := t.next(ctx, position, input)
		if err != nil {
			return err
		}
		token.Index = index
		if err := t.entry.Send(kwagentproto.KindToken, token); err != nil {
			return err
		}
		if token.Stop {
			return t.finish(len(prompt), index+1, true)
		}
		position += kwid.Position(len(input))
		input = []kwid.Token{token.Token}
	}
	return t.finish(len(prompt), t.open.MaxTokens, false)
}

func (t *session) finish(prompt, tokens int, stopped bool) error {
	return t.entry.Send(kwagentproto.KindEnd, kwagentproto.End{
		Attempt:      t.open.Attempt,
		PromptTokens: prompt,
		Tokens:       tokens,
		Stop:         stopped,
	})
}

// next runs one step over the whole chain and returns the token that follows it.
func (t *session) next(ctx context.Context, position kwid.Position, input []kwid.Token) (kwagentproto.Token, error) {
	reply, err := t.role.step(ctx, t.work, kwengine.StepRequest{
		Request:  t.open.Request,
		Attempt:  t.open.Attempt,
		Position: position,
		Tokens:   input,
		Priority: t.open.Priority,
	}, len(input))
	if err != nil {
		return kwagentproto.Token{}, t.causeOr(ctx, err)
	}
	want := position + kwid.Position(len(input))
	if t.down == nil {
		return tokenOf(t.open.Attempt, want, reply), nil
	}
	err = t.down.Send(kwagentproto.KindStep, kwagentproto.Step{
		Attempt:  t.open.Attempt,
		Position: position,
		Layer:    t.open.Chain[0].Layers.To,
		Hidden:   reply.Hidden,
	})
	if err != nil {
		return kwagentproto.Token{}, t.causeOr(ctx, kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(t.open.Chain[1].Endpoint)))
	}
	return t.await(ctx, want)
}

// causeOr prefers the reason for which the work was cancelled.
func (t *session) causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// await waits for the token at a position; late tokens of other positions or attempts are dropped.
func (t *session) await(ctx context.Context, want kwid.Position) (kwagentproto.Token, error) {
	timer := time.NewTimer(t.role.cfg.StepTimeout)
	defer timer.Stop()
	var verdict <-chan error
	for {
		select {
		case <-ctx.Done():
			return kwagentproto.Token{}, context.Cause(ctx)
		case token := <-t.tokens:
			if token.Attempt == t.open.Attempt && token.Position == want {
				return token, nil
			}
		case <-timer.C:
			verdict = t.examine(ctx, want)
		case err := <-verdict:
			if err != nil {
				return kwagentproto.Token{}, err
			}
			timer.Reset(t.role.cfg.StepTimeout)
		}
	}
}

// probeShare is the part of the step timeout that each of the two probes may take, so that a lost stage is blamed
// within two step timeouts.
const probeShare = 2

// examine probes the chain twice beside the wait for the token; a stage that is at fault both times is blamed.
func (t *session) examine(ctx context.Context, want kwid.Position) <-chan error {
	verdict := make(chan error, 1)
	go func() {
		pause := time.NewTimer(t.role.cfg.StepTimeout / probeShare)
		defer pause.Stop()
		first := t.probeChain(ctx, want)
		if first < 0 {
			verdict <- nil
			return
		}
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		if t.probeChain(ctx, want) != first {
			verdict <- nil
			return
		}
		at := string(t.open.Chain[1+first].Endpoint)
		t.role.deps.Events.Emit(kwevent.StageBlamed, t.open.Request, kwevent.F("endpoint", at))
		verdict <- kwcode.New(kwcode.StageLost, "the stage makes no progress").WithEndpoint(at)
	}()
	return verdict
}

// probeChain asks every later stage how far it is and returns the index of the one at fault, or -1.
func (t *session) probeChain(ctx context.Context, want kwid.Position) int {
	ctx, cancel := context.WithTimeout(ctx, t.role.cfg.StepTimeout/probeShare)
	defer cancel()
	later := t.open.Chain[1:]
	progress := make([]kwsequence.Progress, len(later))
	var probes sync.WaitGroup
	for i, stage := range later {
		probes.Go(func() {
			var out kwagentproto.ProbeReply
			req := kwagentproto.Probe{Request: t.open.Request, Attempt: t.open.Attempt}
			err := t.role.wire.Call(ctx, stage.Address, stage.Agent, kwagentproto.KindProbe, req, &out)
			progress[i] = kwsequence.Progress{
				Reachable:    err == nil,
				EngineAlive:  out.EngineAlive,
				NextPosition: out.Next,
				Running:      out.Running,
			}
		})
	}
	probes.Wait()
	return kwsequence.FaultyStage(progress, want)
}
