package kwdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwfake"
)

// demoScript runs the scenarios of the demonstration and checks their results.
type demoScript struct {
	fleet        *Fleet
	w            io.Writer
	failedChecks int
}

const (
	scriptTimeout     = 30 * time.Second
	shortAnswerTokens = 12
	longAnswerTokens  = 48
	killAfterTokens   = 8
)

// RunScript runs every scenario, prints it to w, and returns WrongAnswer if any check failed.
func RunScript(f *Fleet, w io.Writer) error {
	s := &demoScript{fleet: f, w: w}
	ctx, cancel := context.WithTimeout(context.Background(), 4*scriptTimeout)
	defer cancel()
	for _, scenario := range []func(context.Context) error{
		s.streamedChat, s.wholeChat, s.stageLostMidStream, s.recordsLookup, s.resentWrite,
		s.reusedKey, s.repeatWithoutKey, s.drainedServer, s.entryStoppedMidStream,
	} {
		if err := scenario(ctx); err != nil {
			return err
		}
	}
	if s.failedChecks > 0 {
		return kwcode.New(kwcode.WrongAnswer, "%d checks failed", s.failedChecks)
	}
	fmt.Fprintln(w, "\nevery check passed")
	return nil
}

func (s *demoScript) printTitle(format string, args ...any) {
	fmt.Fprintf(s.w, "\n== "+format+"\n", args...)
}

func (s *demoScript) printLine(format string, args ...any) {
	fmt.Fprintf(s.w, "   "+format+"\n", args...)
}

// check prints the result of a check and counts failures.
func (s *demoScript) check(name string, ok bool) {
	if ok {
		s.printLine("ok: %s", name)
		return
	}
	s.failedChecks++
	s.printLine("WRONG: %s", name)
}

// client returns a client of an entry with the token of a workspace, both given by index.
func (s *demoScript) client(entry, workspace int) Client {
	return Client{URL: s.fleet.Entries[entry].URL(), Token: Workspaces()[workspace].Token}
}

// askAndCheck sends a chat request, prints it with its answer, and checks the answer.
func (s *demoScript) askAndCheck(ctx context.Context, client Client, prompt string, maxTokens int, stream bool) error {
	got, err := client.Chat(ctx, prompt, maxTokens, stream)
	if err != nil {
		return err
	}
	s.printLine("asked:    %s", prompt)
	s.printLine("answered:%s", got.Text)
	s.checkAnswerText(got, prompt, maxTokens)
	return nil
}

func (s *demoScript) checkAnswerText(got Answer, prompt string, maxTokens int) {
	want, _, stopped := kwfake.ReferenceAnswer(modelLayers, RenderPrompt(prompt), maxTokens)
	reason := "length"
	if stopped {
		reason = "stop"
	}
	s.check("the answer is the one that every layer, run once for each token, gives", got.Text == want)
	s.check("the stream ended with its end mark", got.Done && got.FinishReason == reason)
}

func (s *demoScript) streamedChat(ctx context.Context) error {
	s.printTitle("a drafter asks for a section summary, streamed")
	return s.askAndCheck(ctx, s.client(0, 0), "summarise wet grip on section D20 km 4 to 9", shortAnswerTokens, true)
}

func (s *demoScript) wholeChat(ctx context.Context) error {
	s.printTitle("a parent asks at the counter, through the other entry, in one piece")
	return s.askAndCheck(ctx, s.client(1, 1), "which toys suit a child of four", shortAnswerTokens, false)
}

// stageLostMidStream kills the VM of a middle stage during a stream.
func (s *demoScript) stageLostMidStream(ctx context.Context) error {
	s.printTitle("a stage dies in the middle of a stream")
	client := s.client(0, 0)
	var once sync.Once
	tokens := 0
	client.OnToken = func(string) {
		tokens++
		if tokens == killAfterTokens {
			once.Do(s.killBusyMiddleStage)
		}
	}
	return s.askAndCheck(ctx, client, "write the long note on resurfacing for the district engineer", longAnswerTokens, true)
}

// killBusyMiddleStage kills the VM of the middle stage that serves the request.
func (s *demoScript) killBusyMiddleStage() {
	for _, e := range s.fleet.Engines {
		if e.Fake.Counts().Requests > 0 && e.Agent.ActiveRequests() > 0 && isMiddleStage(e) {
			e.Agent.Kill()
			e.Fake.Close()
			s.printLine("(the VM of a middle stage was killed after %d tokens)", killAfterTokens)
			return
		}
	}
}

func isMiddleStage(e *Engine) bool {
	return e.Fake.Layers().From > 0 && int(e.Fake.Layers().To) < modelLayers
}

func (s *demoScript) recordsLookup(ctx context.Context) error {
	s.printTitle("a tablet looks past runs up")
	got, err := s.client(0, 0).CallService(ctx, http.MethodGet, "/runs/d20", "", "")
	if err != nil {
		return err
	}
	s.printLine("GET /runs/d20 -> %d %s", got.Status, got.Body)
	s.check("the lookup was answered", got.Status == http.StatusOK)
	return nil
}

// resentWrite sends a write again through another entry, as a caller does that has not received the answer.
func (s *demoScript) resentWrite(ctx context.Context) error {
	s.printTitle("a low-grip alert, sent again after a lost answer")
	body := `{"section":"D20","grip":0.31}`
	first, err := s.client(0, 0).CallService(ctx, http.MethodPost, "/alerts", "alert-1", body)
	if err != nil {
		return err
	}
	again, err := s.client(1, 0).CallService(ctx, http.MethodPost, "/alerts", "alert-1", body)
	if err != nil {
		return err
	}
	s.printLine("POST /alerts -> %d %s", first.Status, first.Body)
	s.printLine("resent       -> %d %s", again.Status, again.Body)
	s.check("the resend got the recorded answer", string(first.Body) == string(again.Body))
	s.check("the resend is marked as replayed", again.Headers.Get(kwagententry.HeaderReplayed) == "true")
	s.check("the service ran the alert once", s.fleet.WriteRuns("/alerts", body) == 1)
	return nil
}

func (s *demoScript) reusedKey(ctx context.Context) error {
	s.printTitle("the same key with another body")
	body := `{"section":"D21","grip":0.5}`
	got, err := s.client(0, 0).CallService(ctx, http.MethodPost, "/alerts", "alert-1", body)
	if err != nil {
		return err
	}
	s.printLine("POST /alerts -> %d %s", got.Status, got.Body)
	s.check("it is refused as not run", got.Error != nil && got.Error.Code == kwcode.KeyReused && got.Error.Outcome == kwcode.NotRun)
	s.check("the service did not run it", s.fleet.WriteRuns("/alerts", body) == 0)
	return nil
}

func (s *demoScript) repeatWithoutKey(ctx context.Context) error {
	s.printTitle("a family reserves the wooden camel set twice, without a key")
	body := `{"toy":"wooden camel set","family":"Bat"}`
	for range 2 {
		got, err := s.client(1, 1).CallService(ctx, http.MethodPost, "/holds", "", body)
		if err != nil {
			return err
		}
		s.printLine("POST /holds -> %d %s", got.Status, got.Body)
	}
	s.check("the rule's repeat window left one hold", s.fleet.WriteRuns("/holds", body) == 1)
	return nil
}

func (s *demoScript) drainedServer(ctx context.Context) error {
	s.printTitle("an operator drains a records server")
	leaving := s.fleet.RecordsServers[0]
	body := kwstatemachine.Drain{Endpoint: leaving.Endpoint, On: true}
	if err := s.fleet.CallAdmin("/admin/drain", body, &kwstatemachine.Drain{}); err != nil {
		return err
	}
	if err := WaitFor("every entry to see the drain", func() bool { return s.fleet.AllEntriesSee(leaving, "leaving") }); err != nil {
		return err
	}
	before := leaving.Fake.ReceivedCalls()
	const lookups = 10
	answered := 0
	for range lookups {
		got, err := s.client(0, 0).CallService(ctx, http.MethodGet, "/alerts", "", "")
		if err == nil && got.Status == http.StatusOK {
			answered++
		}
	}
	s.printLine("%d of %d lookups answered", answered, lookups)
	s.check("every lookup was answered", answered == lookups)
	s.check("the leaving endpoint got no new work", leaving.Fake.ReceivedCalls() == before)
	return nil
}

// entryStoppedMidStream stops an entry gracefully during a stream.
func (s *demoScript) entryStoppedMidStream(ctx context.Context) error {
	s.printTitle("an entry is stopped in the middle of a stream")
	client := s.client(1, 1)
	stopped := make(chan struct{})
	var once sync.Once
	client.OnToken = func(string) {
		once.Do(func() {
			go func() {
				s.fleet.Entries[1].Stop()
				close(stopped)
			}()
		})
	}
	if err := s.askAndCheck(ctx, client, "list the loans of the Bayanzurkh branch", longAnswerTokens, true); err != nil {
		return err
	}
	<-stopped
	return nil
}
