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

// generation produces one answer of a model in one or more attempts.
type generation struct {
	role             *Role
	request          kwid.RequestID
	model            kwsiteconfig.Model
	prompt           string
	maxTokens        int
	priority         kwsiteconfig.Priority
	onToken          func(text string)
	startedAt        time.Time
	timeToFirstToken time.Duration
	attempt          kwid.Attempt
	tokens           []kwid.Token
	promptTokens     int
	stopped          bool
	sessionOpened    bool
	mayHaveRun       bool
	failedEndpoints  map[kwid.EndpointID]bool
}

// run makes attempts until the answer is complete; each one continues after the tokens that the caller already has.
func (g *generation) run(ctx context.Context) error {
	g.failedEndpoints = make(map[kwid.EndpointID]bool)
	g.role.budget.RecordFirstAttempt()
	for {
		g.attempt++
		chain, err := g.chooseChain()
		if err != nil {
			return g.finalError(err)
		}
		err = g.runAttempt(ctx, chain)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return g.finalError(kwcode.New(kwcode.DeadlineExceeded, "the deadline passed after %d tokens", len(g.tokens)))
		}
		g.recordFailure(chain, err)
		if !g.shouldRetry(err) {
			return g.finalError(err)
		}
	}
}

// shouldRetry reports whether another attempt follows. A retry is safe, since each attempt has a KV cache of its own.
func (g *generation) shouldRetry(err error) bool {
	if kwcode.Is(err, kwcode.MalformedRequest) {
		return false
	}
	return kwretry.Retryable(err, true, int(g.attempt)) && g.role.budget.AllowRetry(int(g.attempt))
}

// finalError converts the last error to the one for the caller; its outcome is "not run" only if no attempt can have
// run.
func (g *generation) finalError(err error) error {
	coded := kwcode.FromError(err)
	switch {
	case coded.Code == kwcode.DeadlineExceeded || coded.Code == kwcode.MalformedRequest:
		return coded
	case g.mayHaveRun || len(g.tokens) > 0:
		return kwcode.New(kwcode.StreamCut, "after %d tokens: %s", len(g.tokens), coded.Error()).After(defaultRetryAfter)
	case kwcode.Describe(coded.Code).Outcome == kwcode.NotRun:
		return coded.After(defaultRetryAfter)
	}
	return kwcode.New(kwcode.NoChain, "%s", coded.Error()).After(defaultRetryAfter)
}

const defaultRetryAfter = 2 * time.Second

// chooseChain picks a chain at this site, else over all sites, else over all sites with ejected endpoints included.
func (g *generation) chooseChain() ([]kwmaxflow.Stage, error) {
	r := g.role
	graphs := r.graphsOf(r.view.Load(), g.model)
	status := endpointStatus{loads: r.loads, ejector: r.ejector, now: time.Now(), failed: g.failedEndpoints}
	r.chooserMu.Lock()
	defer r.chooserMu.Unlock()
	chain, err := r.chooser.Choose(graphs.site, status)
	if err != nil {
		chain, err = r.chooser.Choose(graphs.all, status)
	}
	if err != nil {
		chain, err = r.chooser.Choose(graphs.all, ignoreEjections{status})
	}
	return chain, err
}

// recordFailure attributes a failed attempt to an endpoint.
func (g *generation) recordFailure(chain []kwmaxflow.Stage, err error) {
	coded := kwcode.FromError(err)
	endpoint := kwid.EndpointID(coded.Endpoint)
	if endpoint == "" {
		endpoint = chain[0].Endpoint
	}
	g.failedEndpoints[endpoint] = true
	if g.sessionOpened && kwcode.Describe(coded.Code).Outcome != kwcode.NotRun {
		g.mayHaveRun = true
	}
	switch coded.Code {
	case kwcode.StageLost, kwcode.PeerUnreachable, kwcode.EngineFailed, kwcode.StepTimeout:
		g.role.ejector.Fail(time.Now(), endpoint)
	}
	g.role.deps.Events.Emit(kwevent.AttemptFailed, g.request,
		kwevent.F("attempt", g.attempt), kwevent.F("endpoint", endpoint), kwevent.F("error", coded.Error()), kwevent.F("tokens", len(g.tokens)))
	g.role.addToCounter("chat.attempt-failed", 1)
}

// runAttempt runs one attempt over a chain.
func (g *generation) runAttempt(ctx context.Context, chain []kwmaxflow.Stage) error {
	r := g.role
	g.sessionOpened = false
	r.deps.Events.Emit(kwevent.ChainChosen, g.request, kwevent.F("attempt", g.attempt), kwevent.F("chain", endpointIDs(chain)))
	for _, s := range chain {
		r.loads.add(s.Endpoint, 1)
		defer r.loads.add(s.Endpoint, -1)
	}
	firstStage := chain[0]
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	s, err := r.transport.Open(dialCtx, firstStage.Address, firstStage.Agent)
	if err != nil {
		return kwcode.New(kwcode.PeerUnreachable, "%v", err).WithEndpoint(string(firstStage.Endpoint))
	}
	defer s.Close()
	g.sessionOpened = true
	if err := s.Send(kwagentproto.KindSession, g.sessionRequest(ctx, chain)); err != nil {
		return kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(firstStage.Endpoint))
	}
	if err := g.receiveTokens(ctx, s, firstStage); err != nil {
		return err
	}
	for _, s := range chain {
		r.ejector.RecordSuccess(s.Endpoint)
	}
	return nil
}

func endpointIDs(chain []kwmaxflow.Stage) []kwid.EndpointID {
	var out []kwid.EndpointID
	for _, s := range chain {
		out = append(out, s.Endpoint)
	}
	return out
}

func (g *generation) sessionRequest(ctx context.Context, chain []kwmaxflow.Stage) kwagentproto.Session {
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

// receiveTokens reads frames until the end frame; the first stage is probed while it sends nothing.
func (g *generation) receiveTokens(ctx context.Context, s *kwquic.Stream, firstStage kwmaxflow.Stage) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	activity := make(chan struct{}, 1)
	watch := stageWatch{role: g.role, request: g.request, attempt: g.attempt, stage: firstStage}
	go watch.run(ctx, cancel, activity)
	for {
		f, err := s.Recv()
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		if err != nil {
			return kwcode.New(kwcode.StageLost, "%v", err).WithEndpoint(string(firstStage.Endpoint))
		}
		select {
		case activity <- struct{}{}:
		default:
		}
		done, err := g.handleFrame(f)
		if done || err != nil {
			return err
		}
	}
}

// handleFrame handles one frame and reports whether it was the end frame. A token of another attempt or out of order is
// an error and never reaches the caller.
func (g *generation) handleFrame(f kwquic.Frame) (bool, error) {
	if f.Kind == kwagentproto.KindEnd {
		var end kwagentproto.End
		if err := f.Decode(&end); err != nil {
			return false, err
		}
		if end.Attempt != g.attempt || end.Tokens != len(g.tokens) {
			return false, kwcode.New(kwcode.StepGap, "the end frame counts %d tokens, %d arrived", end.Tokens, len(g.tokens))
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
		return false, kwcode.New(kwcode.StepGap, "token %d of attempt %d, want token %d of attempt %d", token.Index, token.Attempt, len(g.tokens), g.attempt)
	}
	if len(g.tokens) == 0 {
		g.timeToFirstToken = time.Since(g.startedAt)
		g.role.recordDuration("chat.first-token", g.timeToFirstToken)
	}
	g.tokens = append(g.tokens, token.Token)
	g.onToken(token.Text)
	return false, nil
}

// firstStageProbes is how many probes in a row must fail before the first stage counts as lost. Together they may take
// as long as the silence that preceded them, one step timeout.
const firstStageProbes = 2

// stageWatch watches the first stage of one attempt. It shares nothing with the generation, whose next attempt may begin
// before the watch has ended.
type stageWatch struct {
	role    *Role
	request kwid.RequestID
	attempt kwid.Attempt
	stage   kwmaxflow.Stage
}

// run cancels the attempt when the stage sends nothing and does not answer probes.
func (w stageWatch) run(ctx context.Context, cancel context.CancelCauseFunc, activity <-chan struct{}) {
	timer := time.NewTimer(w.role.cfg.StepTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-activity:
		case <-timer.C:
			if !w.probe(ctx) {
				err := kwcode.New(kwcode.StageLost, "the first stage sends nothing and answers no probe")
				cancel(err.WithEndpoint(string(w.stage.Endpoint)))
				return
			}
		}
		timer.Reset(w.role.cfg.StepTimeout)
	}
}

// probe reports whether one of the probes finds the stage and its engine alive.
func (w stageWatch) probe(ctx context.Context) bool {
	for range firstStageProbes {
		pause := time.NewTimer(w.role.cfg.StepTimeout / firstStageProbes)
		if w.alive(ctx) {
			pause.Stop()
			return true
		}
		select {
		case <-ctx.Done():
			pause.Stop()
			return false
		case <-pause.C:
		}
	}
	return false
}

func (w stageWatch) alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, w.role.cfg.StepTimeout/firstStageProbes)
	defer cancel()
	var reply kwagentproto.ProbeReply
	req := kwagentproto.Probe{Request: w.request, Attempt: w.attempt}
	err := w.role.transport.Call(ctx, w.stage.Address, w.stage.Agent, kwagentproto.KindProbe, req, &reply)
	return err == nil && reply.EngineAlive
}
