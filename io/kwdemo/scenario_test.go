package kwdemo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwfake"
)

// places bounds how many fleets run at once.
var places = make(chan struct{}, fleetsAtOnce)

// start runs a demonstration fleet for a test, beside those of other tests; a test has one fleet.
func start(t *testing.T, change func(*Config)) *Fleet {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	cfg := DefaultConfig(t.TempDir(), logr.Discard())
	if change != nil {
		change(&cfg)
	}
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func (f *Fleet) caller(entry int) Client {
	return Client{URL: f.Entries[entry].URL(), Token: Workspaces()[0].Token}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// wantText fails the test unless the answer is the one of an undisturbed run.
func wantText(t *testing.T, got Answer, prompt string, maxTokens int) {
	t.Helper()
	want, _, _ := kwfake.ReferenceAnswer(modelLayers, RenderPrompt(prompt), maxTokens)
	if got.Text != want || !got.Done {
		t.Errorf("got %q done=%t error=%+v, want %q", got.Text, got.Done, got.Error, want)
	}
}

// chats sends many requests at once and checks each answer.
func chats(t *testing.T, f *Fleet, n int) {
	t.Helper()
	ctx := testContext(t)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			prompt := fmt.Sprintf("request number %d asks for a summary", i)
			got, err := f.caller(i%len(f.Entries)).Chat(ctx, prompt, 16, true)
			if err != nil {
				t.Error(err)
				return
			}
			wantText(t, got, prompt, 16)
		})
	}
	all.Wait()
}

// TestCrossedEngineAnswers swaps the engines' answers: each caller still gets the answer to its own request.
func TestCrossedEngineAnswers(t *testing.T) {
	f := start(t, nil)
	for _, e := range f.Engines {
		e.Fake.SetFaults(kwfake.Faults{SwapReplies: true, ReplyDelayMS: 2})
	}
	chats(t, f, 12)
}

// TestCrossedServiceAnswers swaps the records servers' answers, to lookups and to writes.
func TestCrossedServiceAnswers(t *testing.T) {
	f := start(t, nil)
	for _, s := range f.Servers {
		s.Fake.SetFaults(kwfake.Faults{SwapReplies: true})
	}
	ctx := testContext(t)
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() {
			path := fmt.Sprintf("/runs/road-%d", i)
			got, err := f.caller(i%2).CallService(ctx, http.MethodGet, path, "", "")
			want := fmt.Sprintf(`{"path":%q,"writes":[]}`, path)
			if err != nil || string(got.Body) != want {
				t.Errorf("got %s %v, want %s", got.Body, err, want)
			}
		})
		all.Go(func() {
			body := fmt.Sprintf("alert-%d", i)
			got, err := f.caller(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
			if err != nil || got.Status != http.StatusOK || !strings.Contains(string(got.Body), `"echo":"`+body+`"`) {
				t.Errorf("got %s %v, want the answer to %s", got.Body, err, body)
			}
			if ran := f.WriteRuns("/alerts", body); ran != 1 {
				t.Errorf("got %s run %d times, want 1", body, ran)
			}
		})
	}
	all.Wait()
}

// TestStageDiesMidStream kills a VM, an engine or an agent of each position in a chain while tokens stream.
func TestStageDiesMidStream(t *testing.T) {
	for _, how := range []string{"vm", "engine", "hang", "drop"} {
		for stage := range 3 {
			t.Run(fmt.Sprintf("%s-%d", how, stage), func(t *testing.T) {
				f := start(t, nil)
				prompt := "a long note that survives the loss of a stage"
				client := f.caller(0)
				var once sync.Once
				client.OnToken = func(string) { once.Do(func() { f.breakBusy(t, how, stage) }) }
				got, err := client.Chat(testContext(t), prompt, 32, true)
				if err != nil {
					t.Fatal(err)
				}
				wantText(t, got, prompt, 32)
			})
		}
	}
}

// breakBusy disturbs the server that works on the request at a stage.
func (f *Fleet) breakBusy(t *testing.T, how string, stage int) {
	cuts := []int{0, 5, 9}
	for _, e := range f.Engines {
		if int(e.Fake.Layers().From) != cuts[stage] || e.Agent.Active() == 0 {
			continue
		}
		switch how {
		case "vm":
			e.Agent.Kill()
			e.Fake.Close()
		case "engine":
			e.Fake.Close()
		case "hang":
			e.Fake.SetFaults(kwfake.Faults{Hang: true})
		case "drop":
			e.Fake.SetFaults(kwfake.Faults{DropNextReply: true})
		}
		return
	}
	t.Error("got no busy server, want one")
}

// TestLayersRunOnce compares the engines' own counts with the tokens that were answered.
func TestLayersRunOnce(t *testing.T) {
	f := start(t, nil)
	prompt := "count every layer of every token"
	got, err := f.caller(0).Chat(testContext(t), prompt, 10, false)
	if err != nil {
		t.Fatal(err)
	}
	wantText(t, got, prompt, 10)
	var runs uint64
	for _, e := range f.Engines {
		runs += e.Fake.Counts().LayerRuns
	}
	_, tokens, _ := kwfake.ReferenceAnswer(modelLayers, RenderPrompt(prompt), 10)
	want := uint64(modelLayers * (len(kwfake.Tokenize(RenderPrompt(prompt))) + tokens - 1))
	if runs != want {
		t.Errorf("got %d layer runs, want %d", runs, want)
	}
}

// TestSlowIsNotDead makes a stage slower than the probe interval: it must not be given up.
func TestSlowIsNotDead(t *testing.T) {
	f := start(t, nil)
	for _, e := range f.Engines {
		e.Fake.SetFaults(kwfake.Faults{StartDelayMS: (2*quickStep + quickStep/2).Milliseconds()})
	}
	prompt := "slow but alive"
	got, err := f.caller(0).Chat(testContext(t), prompt, 2, false)
	if err != nil {
		t.Fatal(err)
	}
	wantText(t, got, prompt, 2)
	for _, r := range f.Timeline() {
		if r.Name == "attempt-failed" || r.Name == "stage-blamed" {
			t.Errorf("got %s %v, want no failed attempt", r.Name, r.Fields)
		}
	}
}

// TestPlannedStops stops each role while requests stream and writes are in progress: nothing is cut off.
func TestPlannedStops(t *testing.T) {
	stops := map[string]func(f *Fleet){
		"entry":   func(f *Fleet) { f.Entries[1].Stop() },
		"agent":   func(f *Fleet) { f.Engines[0].Agent.Stop() },
		"service": func(f *Fleet) { f.Servers[0].Agent.Stop() },
		"control": func(f *Fleet) { f.Controls[f.LeaderIndex()].Stop() },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(cfg *Config) { cfg.Controls = 3 })
			for _, s := range f.Servers {
				s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 100})
			}
			ctx := testContext(t)
			var begun, all sync.WaitGroup
			for i := range 8 {
				begun.Add(1)
				all.Go(func() {
					prompt := fmt.Sprintf("long answer %d", i)
					client := f.caller(i % 2)
					var once sync.Once
					client.OnToken = func(string) { once.Do(begun.Done) }
					got, err := client.Chat(ctx, prompt, 40, true)
					once.Do(begun.Done)
					if err != nil {
						t.Error(err)
						return
					}
					wantText(t, got, prompt, 40)
				})
				all.Go(func() {
					body := fmt.Sprintf("alert-%d", i)
					got, err := f.caller(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
					if err != nil || got.Status != http.StatusOK {
						t.Errorf("got %d %s %v, want %d", got.Status, got.Body, err, http.StatusOK)
					}
				})
			}
			begun.Wait()
			stop(f)
			all.Wait()
			for i := range 8 {
				if got := f.WriteRuns("/alerts", fmt.Sprintf("alert-%d", i)); got != 1 {
					t.Errorf("got alert %d run %d times, want 1", i, got)
				}
			}
		})
	}
}

// TestLeavingEndpointGetsNoNewWork drains a stage and a records server under traffic.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := start(t, nil)
	for _, endpoint := range []kwid.EndpointID{f.Engines[1].Endpoint, f.Servers[0].Endpoint} {
		body := kwstatemachine.Drain{Endpoint: endpoint, On: true}
		if err := f.CallAdmin("/admin/drain", body, &kwstatemachine.Drain{}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(DrainGrace)
	requests, calls := f.Engines[1].Fake.Counts().Requests, f.Servers[0].Fake.ReceivedCalls()
	chats(t, f, 10)
	for range 10 {
		if got, err := f.caller(0).CallService(testContext(t), http.MethodGet, "/alerts", "", ""); err != nil || got.Status != http.StatusOK {
			t.Errorf("got %d %v, want %d", got.Status, err, http.StatusOK)
		}
	}
	if got := f.Engines[1].Fake.Counts().Requests; got != requests {
		t.Errorf("got %d new requests at the leaving stage, want none", got-requests)
	}
	if got := f.Servers[0].Fake.ReceivedCalls(); got != calls {
		t.Errorf("got %d new calls at the leaving server, want none", got-calls)
	}
}

// TestNotRunIsTrue sends writes while servers die, drop answers, hang and leave: each refusal that says "not run"
// must agree with the service's own count, and no key may run twice.
func TestNotRunIsTrue(t *testing.T) {
	f := start(t, func(cfg *Config) { cfg.Records = 3 })
	ctx := testContext(t)
	var all sync.WaitGroup
	var refused, answered, unknown atomic.Int64
	disturb := func(i int) {
		s := f.Servers[i/12%3].Fake
		switch i % 12 {
		case 2:
			s.SetFaults(kwfake.Faults{DropNextReply: true})
		case 5:
			s.SetFaults(kwfake.Faults{StartDelayMS: 40, DropReplies: true})
		case 8:
			s.SetFaults(kwfake.Faults{ReplyDelayMS: 300})
		case 11:
			s.SetFaults(kwfake.Faults{})
		}
	}
	for i := range 120 {
		disturb(i)
		all.Go(func() {
			body := fmt.Sprintf("hold-%d", i)
			got, err := f.caller(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
			ran := f.WriteRuns("/alerts", body)
			switch {
			case err != nil:
				t.Error(err)
			case ran > 1:
				t.Errorf("got %s run %d times, want at most 1", body, ran)
			case got.Error == nil:
				answered.Add(1)
				if ran != 1 {
					t.Errorf("got an answer to %s, which ran %d times", body, ran)
				}
			case got.Error.Outcome == kwcode.NotRun:
				refused.Add(1)
				if ran != 0 {
					t.Errorf("got %q for %s, which ran %d times", got.Error.Outcome, body, ran)
				}
			default:
				unknown.Add(1)
			}
		})
		if i == 60 {
			f.Servers[1].Fake.Close()
		}
		time.Sleep(2 * time.Millisecond)
	}
	all.Wait()
	t.Logf("answered %d, refused as not run %d, unknown %d", answered.Load(), refused.Load(), unknown.Load())
	if answered.Load() == 0 || unknown.Load() == 0 {
		t.Errorf("got %d answered and %d unknown, want some of each", answered.Load(), unknown.Load())
	}
	for _, w := range f.RecordStore.Counts().Writes {
		if w.Count > 1 {
			t.Errorf("got %s run %d times, want 1", w.Body, w.Count)
		}
	}
}

// TestEntryDiesWithWrite kills the entry while the service works on its write: a resend elsewhere gets the one outcome.
func TestEntryDiesWithWrite(t *testing.T) {
	f := start(t, nil)
	for _, s := range f.Servers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 300})
	}
	ctx := testContext(t)
	go func() { _, _ = f.caller(0).CallService(ctx, http.MethodPost, "/alerts", "k", "b") }()
	if err := WaitFor("the call at a server", func() bool { return f.Servers[0].Fake.ReceivedCalls()+f.Servers[1].Fake.ReceivedCalls() > 0 }); err != nil {
		t.Fatal(err)
	}
	f.Entries[0].Kill()
	var got Answer
	err := WaitFor("an answer to the resend", func() bool {
		var err error
		got, err = f.caller(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		return err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		t.Fatalf("%v; last %d %s", err, got.Status, got.Body)
	}
	if ran := f.WriteRuns("/alerts", "b"); ran != 1 {
		t.Errorf("got it run %d times, want 1", ran)
	}
}

// TestAgentRestartLeavesUnknown kills the agent in the middle of a write: the outcome is unknown, the key never
// runs again, and an operator can settle it.
func TestAgentRestartLeavesUnknown(t *testing.T) {
	f := start(t, func(cfg *Config) { cfg.Records = 1 })
	s := f.Servers[0]
	s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 200})
	ctx := testContext(t)
	done := make(chan Answer, 1)
	go func() {
		got, _ := f.caller(0).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		done <- got
	}()
	if err := WaitFor("the call at the server", func() bool { return s.Fake.ReceivedCalls() > 0 }); err != nil {
		t.Fatal(err)
	}
	s.Agent.Kill()
	if err := f.StartServerAgent(s); err != nil {
		t.Fatal(err)
	}
	got := <-done
	if got.Error == nil || got.Error.Outcome != kwcode.Unknown {
		t.Errorf("got %+v, want an unknown outcome", got.Error)
	}
	err := WaitFor("the unknown outcome", func() bool {
		got, err := f.caller(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		return err == nil && got.Error != nil && got.Error.Code == kwcode.OutcomeUnknown
	})
	if err != nil {
		t.Fatal(err)
	}
	settle := kwstatemachine.Settle{
		Scope:    kwstatemachine.Scope{Workspace: "road-crews", Service: ServiceName, Key: "caller-k"},
		Verdict:  kwstatemachine.VerdictRan,
		Operator: "test",
	}
	var row kwstatemachine.JournalRow
	if err := f.CallAdmin("/admin/journal/settle", settle, &row); err != nil {
		t.Fatal(err)
	}
	got, err = f.caller(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
	if err != nil || got.Status != http.StatusOK || got.Headers.Get(kwagententry.HeaderReplayed) != "true" {
		t.Errorf("got %d %s %v, want the settled answer", got.Status, got.Body, err)
	}
	if ran := f.WriteRuns("/alerts", "b"); ran > 1 {
		t.Errorf("got it run %d times, want at most 1", ran)
	}
}

// TestResendWhileInFlight sends the same key through both entries at once: both get the one outcome.
func TestResendWhileInFlight(t *testing.T) {
	f := start(t, nil)
	for _, s := range f.Servers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 200})
	}
	ctx := testContext(t)
	bodies := make([]string, 10)
	var all sync.WaitGroup
	for i := range bodies {
		all.Go(func() {
			got, err := f.caller(i%2).CallService(ctx, http.MethodPost, "/alerts", "same", "b")
			if err != nil || got.Status != http.StatusOK {
				t.Errorf("got %d %s %v, want %d", got.Status, got.Body, err, http.StatusOK)
			}
			bodies[i] = string(got.Body)
		})
	}
	all.Wait()
	for _, b := range bodies {
		if b != bodies[0] {
			t.Errorf("got %s, want %s", b, bodies[0])
		}
	}
	if ran := f.WriteRuns("/alerts", "b"); ran != 1 {
		t.Errorf("got it run %d times, want 1", ran)
	}
}

// TestLeaderLoss kills the leading control process under writes: each is answered and runs once.
func TestLeaderLoss(t *testing.T) {
	f := start(t, func(cfg *Config) { cfg.Controls = 3 })
	ctx := testContext(t)
	var all sync.WaitGroup
	for i := range 60 {
		if i == 20 {
			f.Controls[f.LeaderIndex()].Kill()
		}
		all.Go(func() {
			body := fmt.Sprintf("alert-%d", i)
			err := WaitFor("an answer to "+body, func() bool {
				got, err := f.caller(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
				return err == nil && got.Status == http.StatusOK
			})
			if err != nil {
				t.Error(err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	for i := range 60 {
		if ran := f.WriteRuns("/alerts", fmt.Sprintf("alert-%d", i)); ran != 1 {
			t.Errorf("got alert %d run %d times, want 1", i, ran)
		}
	}
}

// TestSecondLossAfterRepair loses one control disk, repairs the VM as a new member, and then loses another.
func TestSecondLossAfterRepair(t *testing.T) {
	f := start(t, func(cfg *Config) { cfg.Controls = 3 })
	ctx := testContext(t)
	write := func(key string) {
		t.Helper()
		err := WaitFor("an answer to "+key, func() bool {
			got, err := f.caller(0).CallService(ctx, http.MethodPost, "/alerts", key, key)
			return err == nil && got.Status == http.StatusOK
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	write("before")
	for _, lost := range []int{2, 1} {
		old := f.Controls[lost].Member()
		f.Controls[lost].Kill()
		if err := f.replaceDisk(lost); err != nil {
			t.Fatal(err)
		}
		err := WaitFor("the new member as a voter", func() bool {
			st, ok := f.Leader()
			m := st.Log.Members
			return ok && m.IsVoter(f.Controls[lost].Member()) && !m.IsVoter(old) && len(m.Voters) == 3
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	write("before")
	write("after")
	for _, key := range []string{"before", "after"} {
		if ran := f.WriteRuns("/alerts", key); ran != 1 {
			t.Errorf("got %s run %d times, want 1", key, ran)
		}
	}
}

// TestOldConfigurationNeverReturns restarts control and an entry after changes: revisions only rise.
func TestOldConfigurationNeverReturns(t *testing.T) {
	f := start(t, nil)
	change := func(edited kwid.Revision, id string) (kwcontrol.ApplyReply, error) {
		body := kwcontrol.ConfigBody{
			Revision: edited,
			ChangeID: id,
			Base:     kwcontrol.FileBody{Name: "base.toml", Text: f.cfg.Base + "# " + id + "\n"},
			Overlays: []kwcontrol.FileBody{{Name: "site.toml", Text: f.cfg.Overlay}},
			WaitMS:   (20 * time.Second).Milliseconds(),
		}
		var out kwcontrol.ApplyReply
		err := f.CallAdmin("/admin/config", body, &out)
		return out, err
	}
	got, err := change(1, "second")
	if err != nil || got.Revision != 2 || !got.InForce {
		t.Fatalf("got %+v %v, want revision 2 in force", got, err)
	}
	if again, err := change(1, "second"); err != nil || again.Revision != 2 {
		t.Errorf("got %+v %v, want the first answer to the resend", again, err)
	}
	if _, err := change(1, "racer"); !kwcode.Is(err, kwcode.RevisionConflict) {
		t.Errorf("got %v, want %d", err, kwcode.RevisionConflict)
	}
	f.Controls[0].Stop()
	if err := f.StartControl(0, false); err != nil {
		t.Fatal(err)
	}
	e, err := f.StartEntry(SiteName)
	if err != nil {
		t.Fatal(err)
	}
	if err := WaitFor("the new entry", e.Serving); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Entries {
		if e.Revision() != 2 {
			t.Errorf("got revision %d, want 2", e.Revision())
		}
	}
}

// TestCutOffEntryStopsServing takes control away: an entry that cannot confirm its view refuses truthfully.
func TestCutOffEntryStopsServing(t *testing.T) {
	f := start(t, func(cfg *Config) { cfg.ViewLease = time.Second })
	f.Controls[0].Kill()
	ctx := testContext(t)
	var got Answer
	err := WaitFor("a refusal", func() bool {
		var err error
		got, err = f.caller(0).CallService(ctx, http.MethodGet, "/alerts", "", "")
		return err == nil && got.Error != nil && got.Error.Code == kwcode.ViewExpired
	})
	if err != nil {
		t.Fatal(err)
	}
	if got.Error.Outcome != kwcode.NotRun || got.Headers.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a refusal as not run that says when to come back", got.Error)
	}
	if ready, err := http.Get(f.Entries[0].URL() + "/readyz"); err != nil || ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v %v, want an entry that is not ready", ready, err)
	}
}

// TestLostClaimIsReleased takes control away while a write waits for its claim: the refusal as not run must hold, and a
// resend after control is back must run the write without waiting for an operator.
func TestLostClaimIsReleased(t *testing.T) {
	f := start(t, nil)
	f.Controls[0].Stop()
	ctx := testContext(t)
	client := f.caller(0)
	client.Timeout = 500 * time.Millisecond
	got, err := client.CallService(ctx, http.MethodPost, "/alerts", "k", "b")
	if err != nil || got.Error == nil || got.Error.Outcome != kwcode.NotRun {
		t.Errorf("got %+v %v, want a refusal as not run", got.Error, err)
	}
	if ran := f.WriteRuns("/alerts", "b"); ran != 0 {
		t.Errorf("got it run %d times, want 0", ran)
	}
	if err := f.StartControl(0, false); err != nil {
		t.Fatal(err)
	}
	err = WaitFor("the resend's answer", func() bool {
		got, err := f.caller(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		return err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		t.Fatal(err)
	}
	if ran := f.WriteRuns("/alerts", "b"); ran != 1 {
		t.Errorf("got it run %d times, want 1", ran)
	}
}
