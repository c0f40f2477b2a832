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

// script plays the demonstration's sessions and checks each answer.
type script struct {
	fleet *Fleet
	w     io.Writer
	wrong int
}

const (
	scriptTimeout = 30 * time.Second
	shortAnswer   = 12
	longAnswer    = 48
	killAfter     = 8
)

// RunScript runs every session, writes it to w and returns WrongAnswer if any check failed.
func RunScript(f *Fleet, w io.Writer) error {
	s := &script{fleet: f, w: w}
	ctx, cancel := context.WithTimeout(context.Background(), 4*scriptTimeout)
	defer cancel()
	for _, session := range []func(context.Context) error{
		s.streamed, s.whole, s.stageLost, s.lookup, s.write, s.reusedKey, s.unkeyedRepeat, s.drain, s.entryStop,
	} {
		if err := session(ctx); err != nil {
			return err
		}
	}
	if s.wrong > 0 {
		return kwcode.New(kwcode.WrongAnswer, "%d checks failed", s.wrong)
	}
	fmt.Fprintln(w, "\nevery check passed")
	return nil
}

func (s *script) title(format string, args ...any) {
	fmt.Fprintf(s.w, "\n== "+format+"\n", args...)
}

func (s *script) line(format string, args ...any) {
	fmt.Fprintf(s.w, "   "+format+"\n", args...)
}

// check prints a finding and counts it if it is wrong.
func (s *script) check(name string, ok bool) {
	if ok {
		s.line("ok: %s", name)
		return
	}
	s.wrong++
	s.line("WRONG: %s", name)
}

// client returns a caller of an entry, as one of the demonstration's workspaces.
func (s *script) client(entry, workspace int) Client {
	return Client{URL: s.fleet.Entries[entry].URL(), Token: Workspaces()[workspace].Token}
}

// ask sends a chat request, prints it with its answer and checks the answer.
func (s *script) ask(ctx context.Context, client Client, prompt string, maxTokens int, stream bool) error {
	got, err := client.Chat(ctx, prompt, maxTokens, stream)
	if err != nil {
		return err
	}
	s.line("asked:    %s", prompt)
	s.line("answered:%s", got.Text)
	s.checkText(got, prompt, maxTokens)
	return nil
}

func (s *script) checkText(got Answer, prompt string, maxTokens int) {
	want, _, stopped := kwfake.ReferenceAnswer(modelLayers, RenderPrompt(prompt), maxTokens)
	reason := "length"
	if stopped {
		reason = "stop"
	}
	s.check("the answer is the one that every layer, run once for each token, gives", got.Text == want)
	s.check("the stream ended with its end mark", got.Done && got.FinishReason == reason)
}

func (s *script) streamed(ctx context.Context) error {
	s.title("a drafter asks for a section summary, streamed")
	return s.ask(ctx, s.client(0, 0), "summarise wet grip on section D20 km 4 to 9", shortAnswer, true)
}

func (s *script) whole(ctx context.Context) error {
	s.title("a parent asks at the counter, through the other entry, in one piece")
	return s.ask(ctx, s.client(1, 1), "which toys suit a child of four", shortAnswer, false)
}

// stageLost kills the VM of a middle stage while its tokens stream.
func (s *script) stageLost(ctx context.Context) error {
	s.title("a stage dies in the middle of a stream")
	client := s.client(0, 0)
	var once sync.Once
	seen := 0
	client.OnToken = func(string) {
		seen++
		if seen == killAfter {
			once.Do(s.killBusyStage)
		}
	}
	return s.ask(ctx, client, "write the long note on resurfacing for the district engineer", longAnswer, true)
}

// killBusyStage kills the middle stage that works on a request.
func (s *script) killBusyStage() {
	for _, e := range s.fleet.Engines {
		if e.Fake.Counts().Requests > 0 && e.Agent.Active() > 0 && middle(e) {
			e.Agent.Kill()
			e.Fake.Close()
			s.line("(the VM of a middle stage was killed after %d tokens)", killAfter)
			return
		}
	}
}

func middle(e *Engine) bool {
	return e.Fake.Layers().From > 0 && int(e.Fake.Layers().To) < modelLayers
}

func (s *script) lookup(ctx context.Context) error {
	s.title("a tablet looks past runs up")
	got, err := s.client(0, 0).CallService(ctx, http.MethodGet, "/runs/d20", "", "")
	if err != nil {
		return err
	}
	s.line("GET /runs/d20 -> %d %s", got.Status, got.Body)
	s.check("the lookup was answered", got.Status == http.StatusOK)
	return nil
}

func (s *script) write(ctx context.Context) error {
	s.title("a low-grip alert, sent again after a lost answer")
	body := `{"section":"D20","grip":0.31}`
	first, err := s.client(0, 0).CallService(ctx, http.MethodPost, "/alerts", "alert-1", body)
	if err != nil {
		return err
	}
	again, err := s.client(1, 0).CallService(ctx, http.MethodPost, "/alerts", "alert-1", body)
	if err != nil {
		return err
	}
	s.line("POST /alerts -> %d %s", first.Status, first.Body)
	s.line("resent       -> %d %s", again.Status, again.Body)
	s.check("the resend got the recorded answer", string(first.Body) == string(again.Body))
	s.check("the resend is marked as replayed", again.Headers.Get(kwagententry.HeaderReplayed) == "true")
	s.check("the service ran the alert once", s.fleet.WriteRuns("/alerts", body) == 1)
	return nil
}

func (s *script) reusedKey(ctx context.Context) error {
	s.title("the same key with another body")
	body := `{"section":"D21","grip":0.5}`
	got, err := s.client(0, 0).CallService(ctx, http.MethodPost, "/alerts", "alert-1", body)
	if err != nil {
		return err
	}
	s.line("POST /alerts -> %d %s", got.Status, got.Body)
	s.check("it is refused as not run", got.Error != nil && got.Error.Code == kwcode.KeyReused && got.Error.Outcome == kwcode.NotRun)
	s.check("the service did not run it", s.fleet.WriteRuns("/alerts", body) == 0)
	return nil
}

func (s *script) unkeyedRepeat(ctx context.Context) error {
	s.title("a family reserves the wooden camel set twice, without a key")
	body := `{"toy":"wooden camel set","family":"Bat"}`
	for range 2 {
		got, err := s.client(1, 1).CallService(ctx, http.MethodPost, "/holds", "", body)
		if err != nil {
			return err
		}
		s.line("POST /holds -> %d %s", got.Status, got.Body)
	}
	s.check("the rule's repeat window left one hold", s.fleet.WriteRuns("/holds", body) == 1)
	return nil
}

func (s *script) drain(ctx context.Context) error {
	s.title("an operator drains a records server")
	leaving := s.fleet.Servers[0]
	body := kwstatemachine.Drain{Endpoint: leaving.Endpoint, On: true}
	if err := s.fleet.CallAdmin("/admin/drain", body, &kwstatemachine.Drain{}); err != nil {
		return err
	}
	if err := WaitFor("the drain at every entry", func() bool { return s.fleet.AllEntriesSee(leaving, "leaving") }); err != nil {
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
	s.line("%d of %d lookups answered", answered, lookups)
	s.check("every lookup was answered", answered == lookups)
	s.check("the leaving endpoint got no new work", leaving.Fake.ReceivedCalls() == before)
	return nil
}

// entryStop stops an entry while it streams.
func (s *script) entryStop(ctx context.Context) error {
	s.title("an entry is stopped in the middle of a stream")
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
	if err := s.ask(ctx, client, "list the loans of the Bayanzurkh branch", longAnswer, true); err != nil {
		return err
	}
	<-stopped
	return nil
}
