package kwagententry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwretry"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// failingStage is an agent whose first attempt of a request sends some tokens and fails when told to; the next attempt sends one
// more token and ends.
type failingStage struct {
	tokens   int
	received chan struct{}
	fail     chan struct{}
}

func (f *failingStage) onSession(ctx context.Context, first kwquic.Frame, s *kwquic.Stream) error {
	var session kwagentproto.Session
	if err := first.Decode(&session); err != nil {
		return err
	}
	have := len(session.Delivered)
	send := func(n int) error {
		for i := range n {
			if err := s.Send(kwagentproto.KindToken, kwagentproto.Token{Attempt: session.Attempt, Index: have + i, Text: "x"}); err != nil {
				return err
			}
		}
		return nil
	}
	if session.Attempt > 1 {
		if err := send(1); err != nil {
			return err
		}
		return s.Send(kwagentproto.KindEnd, kwagentproto.End{Attempt: session.Attempt, Tokens: have + 1})
	}
	if err := send(f.tokens); err != nil {
		return err
	}
	close(f.received)
	select {
	case <-f.fail:
	case <-ctx.Done():
	}
	return kwcode.New(kwcode.EngineFailed, "the engine failed")
}

// TestGenerationsOutliveTheirModel guards against answers that are rejected or cut between two attempts because their model, or
// something else that they were admitted under, has left the fleet meanwhile.
func TestGenerationsOutliveTheirModel(t *testing.T) {
	changes := map[string]func(*kwsiteconfig.Fleet){
		"no change":     func(*kwsiteconfig.Fleet) {},
		"model removed": func(f *kwsiteconfig.Fleet) { f.Models = nil },
		"workspaces removed": func(f *kwsiteconfig.Fleet) {
			f.Sites = []kwsiteconfig.SiteFleet{{Site: "s"}}
		},
		"timeout and limits lowered": func(f *kwsiteconfig.Fleet) {
			f.Models = []kwsiteconfig.Model{{Name: f.Models[0].Name, Layers: f.Models[0].Layers, MaxTokens: 1, RequestTimeout: kwsiteconfig.Duration{Value: time.Millisecond}}}
		},
	}
	folder := t.TempDir()
	if err := kwkeys.CreateAuthority(folder, time.Now()); err != nil {
		t.Fatal(err)
	}
	transport := listenAs(t, folder, "entry", kwkeys.RoleEntry, nil)
	for name, change := range changes {
		for _, tokens := range []int{0, 2} {
			stage := &failingStage{tokens: tokens, received: make(chan struct{}), fail: make(chan struct{})}
			agentName := kwid.NodeID(fmt.Sprintf("agent-%d-%d", len(name), tokens))
			agent := listenAs(t, folder, agentName, kwkeys.RoleAgent, []kwquic.Route{
				{Kind: kwagentproto.KindSession, Roles: []kwkeys.Role{kwkeys.RoleEntry}, Handle: stage.onSession},
			})
			r := newTestRole()
			r.cfg.StepTimeout = 10 * time.Second
			r.budget = kwretry.NewBudget(kwretry.DefaultBudgetConfig())
			r.metrics = metrics.NewRegistry()
			r.chooser = kwmaxflow.NewChooser(kwmaxflow.FlowTwoChoice, 1)
			r.transport = transport
			view := newFullView(2, 1, 1)
			for i := range view.Endpoints {
				view.Endpoints[i].Agent, view.Endpoints[i].Address = agentName, agent.Address()
				view.Endpoints[i].Layers = kwid.LayerRange{To: kwid.Layer(view.Fleet.Models[0].Layers)}
			}
			if _, err := r.applyView(view); err != nil {
				t.Fatal(err)
			}
			got := 0
			g := &generation{
				role: r, request: "request", model: view.Fleet.Models[0], maxTokens: tokens + 1, startedAt: time.Now(),
				onToken: func(string) { got++ },
			}
			result := make(chan error, 1)
			go func() { result <- g.run(t.Context()) }()
			<-stage.received
			fleet := *view.Fleet
			change(&fleet)
			if _, err := r.applyView(&kwagentproto.View{Version: 2, Revision: 2, Fleet: &fleet, EntryCount: 1}); err != nil {
				t.Fatal(err)
			}
			close(stage.fail)
			if err := <-result; err != nil || got != tokens+1 {
				t.Errorf("%s after %d tokens: got error %v and %d tokens, want a whole answer of %d", name, tokens, err, got, tokens+1)
			}
		}
	}
}
