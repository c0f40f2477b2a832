package kwdemo

import (
	"context"
	"fmt"
	"net"
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

// fleetSlots limits how many fleets run in parallel.
var fleetSlots = make(chan struct{}, maxParallelFleets)

// startFleet starts the fleet of a test, in parallel with other tests. A test must call it only once, since a second
// call could wait forever for a slot.
func startFleet(t *testing.T, modify func(*Config)) *Fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	cfg := DefaultConfig(t.TempDir(), logr.Discard())
	if modify != nil {
		modify(&cfg)
	}
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// newClient returns a client of an entry with the token of the first workspace.
func (f *Fleet) newClient(entry int) Client {
	return Client{URL: f.Entries[entry].URL(), Token: Workspaces()[0].Token}
}

// testContext returns a context that ends with the test, or after a minute.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// checkAnswer fails the test unless the answer is complete and equals the reference answer.
func checkAnswer(t *testing.T, got Answer, prompt string, maxTokens int) {
	t.Helper()
	want, _, _ := kwfake.ReferenceAnswer(modelLayers, RenderPrompt(prompt), maxTokens)
	if got.Text != want || !got.Done {
		t.Errorf("got %q done=%t error=%+v, want %q", got.Text, got.Done, got.Error, want)
	}
}

// checkChats sends n concurrent requests and checks each answer.
func checkChats(t *testing.T, f *Fleet, n int) {
	t.Helper()
	ctx := testContext(t)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			prompt := fmt.Sprintf("request number %d asks for a summary", i)
			got, err := f.newClient(i%len(f.Entries)).Chat(ctx, prompt, 16, true)
			if err != nil {
				t.Error(err)
				return
			}
			checkAnswer(t, got, prompt, 16)
		})
	}
	wg.Wait()
}

// TestSwappedEngineReplies makes engines exchange the replies of concurrent requests: each caller must still get the
// answer to its own request.
func TestSwappedEngineReplies(t *testing.T) {
	f := startFleet(t, nil)
	for _, e := range f.Engines {
		e.Fake.SetFaults(kwfake.Faults{SwapReplies: true, ReplyDelayMS: 2})
	}
	checkChats(t, f, 12)
}

// TestSwappedServiceReplies makes records servers exchange the replies of concurrent lookups and writes: each caller
// must still get its own reply, and each write must run once.
func TestSwappedServiceReplies(t *testing.T) {
	f := startFleet(t, nil)
	for _, s := range f.RecordsServers {
		s.Fake.SetFaults(kwfake.Faults{SwapReplies: true})
	}
	ctx := testContext(t)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			path := fmt.Sprintf("/runs/road-%d", i)
			got, err := f.newClient(i%2).CallService(ctx, http.MethodGet, path, "", "")
			want := fmt.Sprintf(`{"path":%q,"writes":[]}`, path)
			if err != nil || string(got.Body) != want {
				t.Errorf("got %s %v, want %s", got.Body, err, want)
			}
		})
		wg.Go(func() {
			body := fmt.Sprintf("alert-%d", i)
			got, err := f.newClient(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
			if err != nil || got.Status != http.StatusOK || !strings.Contains(string(got.Body), `"echo":"`+body+`"`) {
				t.Errorf("got %s %v, want the answer to %s", got.Body, err, body)
			}
			if runs := f.WriteRuns("/alerts", body); runs != 1 {
				t.Errorf("got %s run %d times, want 1", body, runs)
			}
		})
	}
	wg.Wait()
}

// TestStageDiesMidStream breaks each stage of a chain during a stream: the VM crashes, the engine crashes, the engine
// hangs, or one reply of the engine is lost. The stream must continue with the correct tokens.
func TestStageDiesMidStream(t *testing.T) {
	for _, fault := range []string{"vm", "engine", "hang", "drop"} {
		for stage := range 3 {
			t.Run(fmt.Sprintf("%s-%d", fault, stage), func(t *testing.T) {
				f := startFleet(t, nil)
				prompt := "a long note that survives the loss of a stage"
				client := f.newClient(0)
				var once sync.Once
				client.OnToken = func(string) { once.Do(func() { f.failBusyServer(t, fault, stage) }) }
				got, err := client.Chat(testContext(t), prompt, 32, true)
				if err != nil {
					t.Fatal(err)
				}
				checkAnswer(t, got, prompt, 32)
			})
		}
	}
}

// failBusyServer injects a fault into the server that serves the request at the given stage.
func (f *Fleet) failBusyServer(t *testing.T, fault string, stage int) {
	firstLayers := []int{0, 5, 9}
	for _, e := range f.Engines {
		if int(e.Fake.Layers().From) != firstLayers[stage] || e.Agent.ActiveRequests() == 0 {
			continue
		}
		switch fault {
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

// TestLayersRunOnce checks by the counters of the engines that each layer ran once for each token.
func TestLayersRunOnce(t *testing.T) {
	f := startFleet(t, nil)
	prompt := "count every layer of every token"
	got, err := f.newClient(0).Chat(testContext(t), prompt, 10, false)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, got, prompt, 10)
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

// TestSlowIsNotDead makes each engine step take 2.5 step timeouts: a slow stage must not be treated as failed.
func TestSlowIsNotDead(t *testing.T) {
	f := startFleet(t, nil)
	for _, e := range f.Engines {
		e.Fake.SetFaults(kwfake.Faults{StartDelayMS: (2*stepTimeout + stepTimeout/2).Milliseconds()})
	}
	prompt := "slow but alive"
	got, err := f.newClient(0).Chat(testContext(t), prompt, 2, false)
	if err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, got, prompt, 2)
	for _, r := range f.Timeline() {
		if r.Name == "attempt-failed" || r.Name == "stage-blamed" {
			t.Errorf("got %s %v, want no failed attempt", r.Name, r.Fields)
		}
	}
}

// TestGracefulStops stops one process of each role while streams and writes are in progress: none may fail or be cut
// off.
func TestGracefulStops(t *testing.T) {
	stops := map[string]func(f *Fleet){
		"entry":   func(f *Fleet) { f.Entries[1].Stop() },
		"agent":   func(f *Fleet) { f.Engines[0].Agent.Stop() },
		"service": func(f *Fleet) { f.RecordsServers[0].Agent.Stop() },
		"control": func(f *Fleet) { f.Controls[awaitLeader(t, f)].Stop() },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, func(cfg *Config) { cfg.Controls = 3 })
			for _, s := range f.RecordsServers {
				s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 100})
			}
			ctx := testContext(t)
			var started, wg sync.WaitGroup
			for i := range 8 {
				started.Add(1)
				wg.Go(func() {
					prompt := fmt.Sprintf("long answer %d", i)
					client := f.newClient(i % 2)
					var once sync.Once
					client.OnToken = func(string) { once.Do(started.Done) }
					got, err := client.Chat(ctx, prompt, 40, true)
					once.Do(started.Done)
					if err != nil {
						t.Error(err)
						return
					}
					checkAnswer(t, got, prompt, 40)
				})
				wg.Go(func() {
					body := fmt.Sprintf("alert-%d", i)
					got, err := f.newClient(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
					if err != nil || got.Status != http.StatusOK {
						t.Errorf("got %d %s %v, want %d", got.Status, got.Body, err, http.StatusOK)
					}
				})
			}
			started.Wait()
			stop(f)
			wg.Wait()
			for i := range 8 {
				if got := f.WriteRuns("/alerts", fmt.Sprintf("alert-%d", i)); got != 1 {
					t.Errorf("got alert %d run %d times, want 1", i, got)
				}
			}
		})
	}
}

// awaitLeader waits until a control process leads, and returns its index: there is none during an election.
func awaitLeader(tb testing.TB, f *Fleet) int {
	tb.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if i := f.LeaderIndex(); i >= 0 {
			return i
		}
	}
	tb.Fatal("no control process leads after 10s")
	return -1
}

// TestDrainedEndpointGetsNoNewWork drains a stage and a records server, then checks that neither receives the requests
// that follow.
func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	f := startFleet(t, nil)
	for _, endpoint := range []kwid.EndpointID{f.Engines[1].Endpoint, f.RecordsServers[0].Endpoint} {
		body := kwstatemachine.Drain{Endpoint: endpoint, On: true}
		if err := f.CallAdmin("/admin/drain", body, &kwstatemachine.Drain{}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(DrainGrace)
	requests, calls := f.Engines[1].Fake.Counts().Requests, f.RecordsServers[0].Fake.ReceivedCalls()
	checkChats(t, f, 10)
	for range 10 {
		if got, err := f.newClient(0).CallService(testContext(t), http.MethodGet, "/alerts", "", ""); err != nil || got.Status != http.StatusOK {
			t.Errorf("got %d %v, want %d", got.Status, err, http.StatusOK)
		}
	}
	if got := f.Engines[1].Fake.Counts().Requests; got != requests {
		t.Errorf("got %d new requests at the drained stage, want none", got-requests)
	}
	if got := f.RecordsServers[0].Fake.ReceivedCalls(); got != calls {
		t.Errorf("got %d new calls at the drained server, want none", got-calls)
	}
}

// TestNotRunMatchesServiceCount sends writes while records servers lose replies, reply late and crash. A write refused
// as not run must not have run by the count of the service, an answered write must have run once, and no key may run
// twice.
func TestNotRunMatchesServiceCount(t *testing.T) {
	f := startFleet(t, func(cfg *Config) { cfg.RecordsServers = 3 })
	ctx := testContext(t)
	var wg sync.WaitGroup
	var refused, answered, unknown atomic.Int64
	injectFault := func(i int) {
		s := f.RecordsServers[i/12%3].Fake
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
		injectFault(i)
		wg.Go(func() {
			body := fmt.Sprintf("hold-%d", i)
			got, err := f.newClient(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
			runs := f.WriteRuns("/alerts", body)
			switch {
			case err != nil:
				t.Error(err)
			case runs > 1:
				t.Errorf("got %s run %d times, want at most 1", body, runs)
			case got.Error == nil:
				answered.Add(1)
				if runs != 1 {
					t.Errorf("got an answer to %s, which ran %d times", body, runs)
				}
			case got.Error.Outcome == kwcode.NotRun:
				refused.Add(1)
				if runs != 0 {
					t.Errorf("got %q for %s, which ran %d times", got.Error.Outcome, body, runs)
				}
			default:
				unknown.Add(1)
			}
		})
		if i == 60 {
			f.RecordsServers[1].Fake.Close()
		}
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
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

// TestEntryCrashDuringWrite kills an entry while the service runs its write: a resend through another entry must get
// the outcome of that run, and the write must not run again.
func TestEntryCrashDuringWrite(t *testing.T) {
	f := startFleet(t, nil)
	for _, s := range f.RecordsServers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 300})
	}
	ctx := testContext(t)
	go func() { _, _ = f.newClient(0).CallService(ctx, http.MethodPost, "/alerts", "k", "b") }()
	if err := WaitFor("a server to receive the call", func() bool {
		return f.RecordsServers[0].Fake.ReceivedCalls()+f.RecordsServers[1].Fake.ReceivedCalls() > 0
	}); err != nil {
		t.Fatal(err)
	}
	f.Entries[0].Kill()
	var got Answer
	err := WaitFor("an answer to the resend", func() bool {
		var err error
		got, err = f.newClient(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		return err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		t.Fatalf("%v; last %d %s", err, got.Status, got.Body)
	}
	if runs := f.WriteRuns("/alerts", "b"); runs != 1 {
		t.Errorf("got the write run %d times, want 1", runs)
	}
}

// TestAgentRestartMakesOutcomeUnknown restarts the agent during a write: the outcome must be reported as unknown, the
// write must not run again, and an operator must be able to settle the outcome.
func TestAgentRestartMakesOutcomeUnknown(t *testing.T) {
	f := startFleet(t, func(cfg *Config) { cfg.RecordsServers = 1 })
	s := f.RecordsServers[0]
	s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 200})
	ctx := testContext(t)
	done := make(chan Answer, 1)
	go func() {
		got, _ := f.newClient(0).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		done <- got
	}()
	if err := WaitFor("the server to receive the call", func() bool { return s.Fake.ReceivedCalls() > 0 }); err != nil {
		t.Fatal(err)
	}
	s.Agent.Kill()
	if err := f.StartRecordsAgent(s); err != nil {
		t.Fatal(err)
	}
	got := <-done
	if got.Error == nil || got.Error.Outcome != kwcode.Unknown {
		t.Errorf("got %+v, want an unknown outcome", got.Error)
	}
	err := WaitFor("the outcome to be reported as unknown", func() bool {
		got, err := f.newClient(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
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
	got, err = f.newClient(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
	if err != nil || got.Status != http.StatusOK || got.Headers.Get(kwagententry.HeaderReplayed) != "true" {
		t.Errorf("got %d %s %v, want the outcome that the operator settled", got.Status, got.Body, err)
	}
	if runs := f.WriteRuns("/alerts", "b"); runs > 1 {
		t.Errorf("got the write run %d times, want at most 1", runs)
	}
}

// TestResendWhileInFlight sends writes with the same key through both entries at once: the write must run once, and all
// must get its outcome.
func TestResendWhileInFlight(t *testing.T) {
	f := startFleet(t, nil)
	for _, s := range f.RecordsServers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 200})
	}
	ctx := testContext(t)
	bodies := make([]string, 10)
	var wg sync.WaitGroup
	for i := range bodies {
		wg.Go(func() {
			got, err := f.newClient(i%2).CallService(ctx, http.MethodPost, "/alerts", "same", "b")
			if err != nil || got.Status != http.StatusOK {
				t.Errorf("got %d %s %v, want %d", got.Status, got.Body, err, http.StatusOK)
			}
			bodies[i] = string(got.Body)
		})
	}
	wg.Wait()
	for _, b := range bodies {
		if b != bodies[0] {
			t.Errorf("got %s, want %s", b, bodies[0])
		}
	}
	if runs := f.WriteRuns("/alerts", "b"); runs != 1 {
		t.Errorf("got the write run %d times, want 1", runs)
	}
}

// TestLeaderLoss kills the leading control process while writes arrive: each write must be answered in the end, and
// must run once.
func TestLeaderLoss(t *testing.T) {
	f := startFleet(t, func(cfg *Config) { cfg.Controls = 3 })
	ctx := testContext(t)
	var wg sync.WaitGroup
	for i := range 60 {
		if i == 20 {
			f.Controls[awaitLeader(t, f)].Kill()
		}
		wg.Go(func() {
			body := fmt.Sprintf("alert-%d", i)
			err := WaitFor("an answer to "+body, func() bool {
				got, err := f.newClient(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
				return err == nil && got.Status == http.StatusOK
			})
			if err != nil {
				t.Error(err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	for i := range 60 {
		if runs := f.WriteRuns("/alerts", fmt.Sprintf("alert-%d", i)); runs != 1 {
			t.Errorf("got alert %d run %d times, want 1", i, runs)
		}
	}
}

// TestSecondDiskLossAfterRepair loses the disk of one control process, waits until the process has rejoined as a new
// member, then does the same with another. Writes from before must still be answered without running again.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	f := startFleet(t, func(cfg *Config) { cfg.Controls = 3 })
	ctx := testContext(t)
	write := func(key string) {
		t.Helper()
		err := WaitFor("an answer to "+key, func() bool {
			got, err := f.newClient(0).CallService(ctx, http.MethodPost, "/alerts", key, key)
			return err == nil && got.Status == http.StatusOK
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	write("before")
	for _, lost := range []int{2, 1} {
		oldMember := f.Controls[lost].Member()
		f.Controls[lost].Kill()
		if err := f.restartOnEmptyDisk(lost); err != nil {
			t.Fatal(err)
		}
		err := WaitFor("the new member to become a voter", func() bool {
			status, ok := f.Leader()
			m := status.Log.Members
			return ok && m.IsVoter(f.Controls[lost].Member()) && !m.IsVoter(oldMember) && len(m.Voters) == 3
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	write("before")
	write("after")
	for _, key := range []string{"before", "after"} {
		if runs := f.WriteRuns("/alerts", key); runs != 1 {
			t.Errorf("got %s run %d times, want 1", key, runs)
		}
	}
}

// TestOldConfigurationNeverReturns restarts the control process and adds an entry after a change of the declaration: no
// process may go back to the old revision. It also checks that a repeated change is applied once, and that a change
// based on an old revision is refused.
func TestOldConfigurationNeverReturns(t *testing.T) {
	f := startFleet(t, nil)
	change := func(editedRevision kwid.Revision, id string) (kwcontrol.ApplyReply, error) {
		body := kwcontrol.ConfigBody{
			Revision: editedRevision,
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
		t.Errorf("got %+v %v, want the reply to the first send again", again, err)
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
	if err := WaitFor("the new entry to serve", e.Serving); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Entries {
		if e.Revision() != 2 {
			t.Errorf("got revision %d, want 2", e.Revision())
		}
	}
}

// TestCutOffEntryStopsServing kills the control process: an entry that cannot renew the lease of its view must refuse
// requests as not run, with Retry-After, and report that it is not ready.
func TestCutOffEntryStopsServing(t *testing.T) {
	f := startFleet(t, func(cfg *Config) { cfg.ViewLease = time.Second })
	f.Controls[0].Kill()
	ctx := testContext(t)
	var got Answer
	err := WaitFor("the entry to refuse requests", func() bool {
		var err error
		got, err = f.newClient(0).CallService(ctx, http.MethodGet, "/alerts", "", "")
		return err == nil && got.Error != nil && got.Error.Code == kwcode.ViewExpired
	})
	if err != nil {
		t.Fatal(err)
	}
	if got.Error.Outcome != kwcode.NotRun || got.Headers.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a refusal as not run with Retry-After", got.Error)
	}
	if ready, err := http.Get(f.Entries[0].URL() + "/readyz"); err != nil || ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v %v, want an entry that is not ready", ready, err)
	}
}

// TestControlKeepsItsPort stops and then kills the control process. No other socket may get its port meanwhile, since the
// process listens there again.
func TestControlKeepsItsPort(t *testing.T) {
	f := startFleet(t, nil)
	for _, end := range []func(){func() { f.Controls[0].Stop() }, func() { f.Controls[0].Kill() }} {
		end()
		if other, err := net.ListenPacket("udp", f.controlAddresses[0]); err == nil {
			_ = other.Close()
			t.Error("got another socket at the port of the control process, want an error")
		}
		if err := f.StartControl(0, false); err != nil {
			t.Fatal(err)
		}
		if err := WaitFor("the control process to lead again", func() bool { return f.LeaderIndex() == 0 }); err != nil {
			t.Fatal(err)
		}
	}
	checkChats(t, f, 2)
}

// TestLostClaimIsReleased stops the control process, so that a write times out while it waits for its claim. The write
// must be refused as not run and must not have run. A resend after the restart must run without an operator settling
// the claim.
func TestLostClaimIsReleased(t *testing.T) {
	f := startFleet(t, nil)
	f.Controls[0].Stop()
	ctx := testContext(t)
	client := f.newClient(0)
	client.Timeout = 500 * time.Millisecond
	got, err := client.CallService(ctx, http.MethodPost, "/alerts", "k", "b")
	if err != nil || got.Error == nil || got.Error.Outcome != kwcode.NotRun {
		t.Errorf("got %+v %v, want a refusal as not run", got.Error, err)
	}
	if runs := f.WriteRuns("/alerts", "b"); runs != 0 {
		t.Errorf("got the write run %d times, want 0", runs)
	}
	if err := f.StartControl(0, false); err != nil {
		t.Fatal(err)
	}
	err = WaitFor("an answer to the resend", func() bool {
		got, err := f.newClient(1).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		return err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		t.Fatal(err)
	}
	if runs := f.WriteRuns("/alerts", "b"); runs != 1 {
		t.Errorf("got the write run %d times, want 1", runs)
	}
}
