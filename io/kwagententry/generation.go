package kwagententry

import (
	"context"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwquic"
)

// generation is one answer of a model over all its attempts.
type generation struct {
	role         *Role
	request      kwid.RequestID
	model        kwsiteconfig.Model
	prompt       string
	maxTokens    int
	priority     kwsiteconfig.Priority
	emit         func(text string)
	start        time.Time
	first        time.Duration
	attempt      kwid.Attempt
	tokens       []kwid.Token
	promptTokens int
	stopped      bool
	sent         bool
	mayHaveRun   bool
	failed       map[kwid.EndpointID]bool
}

// run makes attempts until the answer is complete; each continues from the tokens that the caller has.
func (g *generation) run(ctx context.Context) error {
	g.failed = make(map[kwid.EndpointID]bool)
	g.role.budget.RecordFirstAttempt()
	for {
		g.attempt++
		chain, err := g.choose()
		if err != nil {
			return g.final(err)
		}
		err = g.try(ctx, chain)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return g.final(kwcode.New(kwcode.DeadlineExceeded, "%d tokens were ready", len(g.tokens)))
		}
		g.note(chain, err)
		if !g.again(err) {
			return g.final(err)
		}
	}
}

// again tells whether another attempt follows; steps are idempotent, since an attempt has KV memory of its own.
func (g *generation) again(err error) bool {
	if kwcode.Is(err, kwcode.MalformedRequest) {
		return false
	}
	return kwretry.Retryable(err, true, int(g.attempt)) && g.role.budget.AllowRetry(int(g.attempt))
}

// final turns the last error into the caller's: "not run" only if no attempt can have run.
func (g *generation) final(err error) error {
	coded := kwcode.FromError(err)
	switch {
	case coded.Code == kwcode.DeadlineExceeded || coded.Code == kwcode.MalformedRequest:
		return coded
	case g.mayHaveRun || len(g.tokens) > 0:
		return kwcode.New(kwcode.StreamCut, "after %d tokens: %s", len(g.tokens), coded.Error()).After(retryLater)
	case kwcode.Describe(coded.Code).Outcome == kwcode.NotRun:
		return coded.After(retryLater)
	}
	return kwcode.New(kwcode.NoChain, "%s", coded.Error()).After(retryLater)
}

const retryLater = 2 * time.Second

func (g *generation) choose() ([]kwmaxflow.Stage, error) {
	r := g.role
	graphs, ok := r.view.Load().graphs[g.model.Name]
	if !ok {
		return nil, kwcode.New(kwcode.NoChain, "model %q has no stages", g.model.Name)
	}
	known := requestLoads{loads: r.loads, ejector: r.ejector, now: time.Now(), failed: g.failed}
	r.chooseMu.Lock()
	defer r.chooseMu.Unlock()
	chain, err := r.chooser.Choose(graphs.site, known)
	if err != nil {
		chain, err = r.chooser.Choose(graphs.all, known)
	}
	if err != nil {
		chain, err = r.chooser.Choose(graphs.all, onlyFailed{known})
	}
	return chain, err
}

// note records whose fault a failed attempt was.
func (g *generation) note(chain []kwmaxflow.Stage, err error) {
	coded := kwcode.FromError(err)
	at := kwid.EndpointID(coded.Endpoint)
	if at == "" {
		at = chain[0].Endpoint
	}
	g.failed[at] = true
	if g.sent && kwcode.Describe(coded.Code).Outcome != kwcode.NotRun {
		g.mayHaveRun = true
	}
	switch coded.Code {
	case kwcode.StageLost, kwcode.PeerUnreachable, kwcode.EngineFailed, kwcode.StepTimeout:
		g.role.ejector.Fail(time.Now(), at)
	}
	g.role.deps.Events.Emit(kwevent.AttemptFailed, g.request,
		kwevent.F("attempt", g.attempt), kwevent.F("endpoint", at), kwevent.F("error", coded.Error()), kwevent.F("tokens", len(g.tokens)))
	g.role.count("chat.attempt-failed", 1)
}

// try runs one attempt over a chain.
func (g *generation) try(ctx context.Context, chain []kwmaxflow.Stage) error {
	r := g.role
	g.sent = false
	r.deps.Events.Emit(kwevent.ChainChosen, g.request, kwevent.F("attempt", g.attempt), kwevent.F("chain", names(chain)))
	for _, s := range chain {
		r.loads.add(s.Endpoint, 1)
		defer r.loads.add(s.Endpoint, -1)
	}
	head := chain[0]
	dial, stop := context.WithTimeout(ctx, subscribeTimeout)
	defer stop()
	s, err := r.wire.Open(dial, head.Address, head.Agent)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err).WithEndpoint(string(head.Endpoint))
	}
	defer s.Close()
	g.sent = true
	if err := s.Send(kwagentproto.KindSession, g.session(ctx, chain)); err != nil {
		return kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(head.Endpoint))
	}
	if err := g.receive(ctx, s, head); err != nil {
		return err
	}
	for _, s := range chain {
		r.ejector.RecordSuccess(s.Endpoint)
	}
	return nil
}

func names(chain []kwmaxflow.Stage) []kwid.EndpointID {
	var out []kwid.EndpointID
	for _, s := range chain {
		out = append(out, s.Endpoint)
	}
	return out
}

func (g *generation) session(ctx context.Context, chain []kwmaxflow.Stage) kwagentproto.Session {
	deadline, _ := ctx.Deadline()
	return kwagentproto.Session{
		Request:       g.request,
		Attempt:       g.attempt,
		Model:         g.model.Name,
		Prompt:        g.prompt,
		Delivered:     g.tokens,
		MaxTokens:     g.maxTokens,
		Priority:      g.priority,
		Chain:         chain,
		TimeoutMillis: time.Until(deadline).Milliseconds(),
	}
}

// receive takes frames until the end mark; the first stage is probed while it is silent.
func (g *generation) receive(ctx context.Context, s *kwquic.Stream, head kwmaxflow.Stage) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	heard := make(chan struct{}, 1)
	go g.guard(ctx, cancel, head, heard)
	for {
		f, err := s.Recv()
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		if err != nil {
			return kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(head.Endpoint))
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		done, err := g.take(f)
		if done || err != nil {
			return err
		}
	}
}

// take handles one frame; a token of another attempt or out of order is an error and is never passed on.
func (g *generation) take(f kwquic.Frame) (bool, error) {
	if f.Kind == kwagentproto.KindEnd {
		var end kwagentproto.End
		if err := f.Decode(&end); err != nil {
			return false, err
		}
		if end.Attempt != g.attempt || end.Tokens != len(g.tokens) {
			return false, kwcode.New(kwcode.StepGap, "the end mark counts %d tokens, %d arrived", end.Tokens, len(g.tokens))
		}
		g.promptTokens = end.PromptTokens
		g.stopped = end.Stop
		return true, nil
	}
	var token kwagentproto.Token
	if err := f.Expect(kwagentproto.KindToken, &token); err != nil {
		return false, err
	}
	if token.Attempt != g.attempt || token.Index != len(g.tokens) {
		return false, kwcode.New(kwcode.StepGap, "token %d of attempt %d, want %d of %d", token.Index, token.Attempt, len(g.tokens), g.attempt)
	}
	if len(g.tokens) == 0 {
		g.first = time.Since(g.start)
		g.role.observe("chat.first-token", g.first)
	}
	g.tokens = append(g.tokens, token.Token)
	g.emit(token.Text)
	return false, nil
}

// guardProbes is how many probes in a row must fail before the first stage is given up; together they may take as
// long as the silence before them.
const guardProbes = 2

// guard ends the attempt when the first stage is silent and does not answer probes.
func (g *generation) guard(ctx context.Context, cancel context.CancelCauseFunc, head kwmaxflow.Stage, heard <-chan struct{}) {
	timer := time.NewTimer(g.role.cfg.StepTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard:
		case <-timer.C:
			if !g.anyAlive(ctx, head) {
				cancel(kwcode.New(kwcode.StageLost, "the first stage is silent").WithEndpoint(string(head.Endpoint)))
				return
			}
		}
		timer.Reset(g.role.cfg.StepTimeout)
	}
}

// anyAlive tells whether one of the probes finds the first stage and its engine alive.
func (g *generation) anyAlive(ctx context.Context, head kwmaxflow.Stage) bool {
	for range guardProbes {
		pause := time.NewTimer(g.role.cfg.StepTimeout / guardProbes)
		if g.alive(ctx, head) {
			pause.Stop()
			return true
		}
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
	}
	return false
}

func (g *generation) alive(ctx context.Context, head kwmaxflow.Stage) bool {
	ctx, cancel := context.WithTimeout(ctx, g.role.cfg.StepTimeout/guardProbes)
	defer cancel()
	var out kwagentproto.ProbeReply
	req := kwagentproto.Probe{Request: g.request, Attempt: g.attempt}
	err := g.role.wire.Call(ctx, head.Address, head.Agent, kwagentproto.KindProbe, req, &out)
	return err == nil && out.EngineAlive
}
