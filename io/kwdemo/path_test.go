package kwdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwreconcile"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwengine"
	"knapweedproxy/io/kwfake"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// TestMalformedRequests sends randomly corrupted requests. Each must get a valid answer or an error with a result code,
// and the entry must keep serving.
func TestMalformedRequests(t *testing.T) {
	f := startFleet(t, nil)
	rng := rand.New(rand.NewPCG(21, 22))
	good := `{"model":"drafting","max_tokens":1,"messages":[{"role":"user","content":"hello there"}]}`
	paths := []string{"/v1/chat/completions", "/services/records/alerts", "/services/none/x", "/services/records/..%2fx", "/v1/none"}
	refused := 0
	for i := range 300 {
		body := []byte(good)
		for range 1 + rng.IntN(4) {
			body[rng.IntN(len(body))] = byte(rng.IntN(256))
		}
		method := []string{http.MethodPost, http.MethodPut, "BREW"}[rng.IntN(3)]
		req, err := http.NewRequest(method, f.Entries[0].URL()+paths[i%len(paths)], bytes.NewReader(body[:rng.IntN(len(body))]))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+Workspaces()[rng.IntN(2)].Token)
		req.Header.Set("X-Request-Timeout", []string{"", "5s", "soon", "-1s"}[rng.IntN(4)])
		if checkRefusal(t, req) {
			refused++
		}
	}
	if refused < 200 {
		t.Errorf("got %d of 300 refused, want most", refused)
	}
	huge, err := f.newClient(0).CallService(testContext(t), http.MethodPost, "/alerts", "huge", strings.Repeat("x", 2<<20))
	if err == nil && (huge.Error == nil || huge.Error.Code != kwcode.BodyTooLarge) {
		t.Errorf("got %+v, want %d", huge.Error, kwcode.BodyTooLarge)
	}
	checkChats(t, f, 2)
}

// checkRefusal sends a request and reports whether it was refused; a refusal must carry a specific result code.
func checkRefusal(t *testing.T, req *http.Request) bool {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return false
	}
	var reply kwcontrol.ErrorReply
	if err := json.Unmarshal(body, &reply); err != nil || reply.Error.Code == 0 || reply.Error.Code == kwcode.OperationFailed {
		t.Errorf("got %d %s, want an error with a result code", resp.StatusCode, body)
	}
	return true
}

// TestRefusedWritesDoNotRun checks that writes refused by the limit of a workspace or for lack of endpoints are
// reported as not run and never reach the service.
func TestRefusedWritesDoNotRun(t *testing.T) {
	f := startFleet(t, func(cfg *Config) {
		cfg.Base = BaseTOML(modelLayers, 2)
	})
	ctx := testContext(t)
	for _, s := range f.RecordsServers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 300})
	}
	codes := make(chan kwcode.Code, 20)
	for i := range 20 {
		go func() {
			body := fmt.Sprintf("limit-%d", i)
			got, err := f.newClient(i%2).CallService(ctx, http.MethodPost, "/alerts", body, body)
			if err != nil || got.Error == nil {
				codes <- 0
				return
			}
			if runs := f.WriteRuns("/alerts", body); got.Error.Outcome != kwcode.NotRun || runs != 0 {
				t.Errorf("got %+v for %s, which ran %d times", got.Error, body, runs)
			}
			codes <- got.Error.Code
		}()
	}
	limited := 0
	for range 20 {
		if <-codes == kwcode.WorkspaceLimit {
			limited++
		}
	}
	if limited == 0 {
		t.Errorf("got no refusal with %d, want some", kwcode.WorkspaceLimit)
	}
	for _, s := range f.RecordsServers {
		s.Agent.Stop()
	}
	err := WaitFor("every entry to see both endpoints as gone", func() bool {
		return f.AllEntriesSee(f.RecordsServers[0], "gone") && f.AllEntriesSee(f.RecordsServers[1], "gone")
	})
	if err != nil {
		t.Fatal(err)
	}
	got, err := f.newClient(0).CallService(ctx, http.MethodPost, "/alerts", "none", "none")
	if err != nil || got.Error == nil || got.Error.Code != kwcode.NoEndpoint || got.Error.Outcome != kwcode.NotRun {
		t.Errorf("got %+v %v, want %d", got.Error, err, kwcode.NoEndpoint)
	}
	if runs := f.WriteRuns("/alerts", "none"); runs != 0 {
		t.Errorf("got the write run %d times, want 0", runs)
	}
}

// TestStalledLoopIsNotReady blocks the event loop of a control process: the process must report that it is alive but
// not ready.
func TestStalledLoopIsNotReady(t *testing.T) {
	f := startFleet(t, nil)
	release := make(chan struct{})
	go f.Controls[0].Loop().Do(func(time.Time, *kwreconcile.Tables) { <-release })
	defer close(release)
	err := WaitFor("the process to report that it is not ready", func() bool { return f.probe("/readyz") == http.StatusServiceUnavailable })
	if err != nil {
		t.Fatal(err)
	}
	if got := f.probe("/healthz"); got != http.StatusOK {
		t.Errorf("got %d, want %d: the process is alive", got, http.StatusOK)
	}
}

// probe returns the status of a GET request to the first control process, or 0 on an error.
func (f *Fleet) probe(path string) int {
	resp, err := http.Get(f.adminURLs[0] + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestOrdersAreFenced sends orders, which assign layers to engines, as an old and a new leader would. Agents must
// refuse an outdated fencing token even if the engine ignores it, and an agent that has just started must refuse orders
// until it knows the current token.
func TestOrdersAreFenced(t *testing.T) {
	f := startFleet(t, nil)
	leader, err := f.openKeys("control-9", kwkeys.RoleControl)
	if err != nil {
		t.Fatal(err)
	}
	node, err := kwquic.Listen(kwquic.Config{Listen: loopback, Keys: leader, Clock: f.clock})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	status, ok := f.Leader()
	if !ok {
		t.Fatal("got no leader, want one")
	}
	order := func(e *Engine, fence kwid.FencingToken) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req := kwagentproto.Order{FencingToken: fence, Model: ModelName}
		return node.Call(ctx, e.Agent.Address(), "", kwagentproto.KindOrder, req, &kwagentproto.OrderReply{})
	}
	for _, e := range f.Engines[:2] {
		if err := order(e, status.FencingToken+1); err != nil {
			t.Errorf("got %v, want the order of the newer leader to run", err)
		}
		if err := order(e, status.FencingToken); !kwcode.Is(err, kwcode.StaleFence) {
			t.Errorf("got %v, want %d for the older leader", err, kwcode.StaleFence)
		}
		if got := e.Fake.Counts().LayerAssignments; got != 1 {
			t.Errorf("got %d orders at the engine, want 1", got)
		}
	}
	f.Controls[0].Kill()
	fresh := Stage{Name: "fresh", Zone: "east", Layers: kwid.LayerRange{To: 5}, TokenRate: stageTokenRate}
	if err := f.StartEngine("fresh-1", fresh); err != nil {
		t.Fatal(err)
	}
	if err := order(f.Engines[len(f.Engines)-1], status.FencingToken+5); !kwcode.Is(err, kwcode.FenceUnknown) {
		t.Errorf("got %v, want %d", err, kwcode.FenceUnknown)
	}
}

// newFastFleet starts a fleet whose engines take almost no time, so that a benchmark measures the proxy alone.
func newFastFleet(b *testing.B) *Fleet {
	b.Helper()
	cfg := DefaultConfig(b.TempDir(), logr.Discard())
	for i := range cfg.Stages {
		cfg.Stages[i].TokenRate = 1e8
	}
	cfg.Overlay = OverlayTOML(cfg.Site, cfg.Stages, cfg.RecordsServers)
	f, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// measureLatency runs step once per iteration and reports CPU time and latency quantiles.
func measureLatency(b *testing.B, step func() error) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	b.ReportAllocs()
	cpu := cpuMicros(b)
	for b.Loop() {
		begin := time.Now()
		if err := step(); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(max(1, time.Since(begin).Microseconds()))
	}
	b.ReportMetric((cpuMicros(b)-cpu)/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(95)), "p95-us")
}

func cpuMicros(b *testing.B) float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return float64(time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds())
}

// BenchmarkPath compares calls through the proxy with direct calls to the fake servers.
func BenchmarkPath(b *testing.B) {
	f := newFastFleet(b)
	ctx := b.Context()
	direct := Client{URL: f.RecordsServers[0].Fake.URL()}
	b.Run("lookup-direct", func(b *testing.B) {
		measureLatency(b, func() error { return discardBody(direct.send(ctx, http.MethodGet, "/runs/x", "", nil)) })
	})
	b.Run("lookup-path", func(b *testing.B) {
		measureLatency(b, func() error {
			return discardBody(f.newClient(0).send(ctx, http.MethodGet, "/services/records/runs/x", "", nil))
		})
	})
	b.Run("write-direct", func(b *testing.B) {
		measureLatency(b, func() error { return discardBody(direct.send(ctx, http.MethodPost, "/alerts", "", []byte("x"))) })
	})
	n := 0
	b.Run("write-path", func(b *testing.B) {
		measureLatency(b, func() error {
			n++
			return discardBody(f.newClient(0).send(ctx, http.MethodPost, "/services/records/alerts", fmt.Sprint("k", n), []byte("x")))
		})
	})
	b.Run("token-direct", func(b *testing.B) { benchDirectTokens(b, f) })
	b.Run("token-path", func(b *testing.B) { benchPathTokens(b, f) })
}

// discardBody reads a response to its end and returns an error unless its status is 200.
func discardBody(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return kwcode.New(kwcode.OperationFailed, "status %d", resp.StatusCode)
	}
	return err
}

// benchDirectTokens steps the three engines of a chain directly, one token per iteration.
func benchDirectTokens(b *testing.B, f *Fleet) {
	engines := []*kwengine.Client{
		kwengine.New(kwengine.Config{BaseURL: f.Engines[0].Fake.URL()}),
		kwengine.New(kwengine.Config{BaseURL: f.Engines[1].Fake.URL()}),
		kwengine.New(kwengine.Config{BaseURL: f.Engines[2].Fake.URL()}),
	}
	position := kwid.Position(0)
	request := kwid.RequestID(fmt.Sprint("direct-", time.Now().UnixNano()))
	measureLatency(b, func() error {
		step := kwengine.StepRequest{Request: request, Attempt: 1, Position: position, Tokens: []kwid.Token{5}}
		for i, e := range engines {
			step.Layer = f.Engines[i].Fake.Layers().From
			reply, err := e.Step(b.Context(), step)
			if err != nil {
				return err
			}
			step.Tokens, step.HiddenStates = nil, reply.HiddenStates
		}
		position++
		return nil
	})
}

// benchPathTokens opens sessions at the first agent of a chain and receives one token per iteration.
func benchPathTokens(b *testing.B, f *Fleet) {
	keys, err := f.openKeys("entry-9", kwkeys.RoleEntry)
	if err != nil {
		b.Fatal(err)
	}
	node, err := kwquic.Listen(kwquic.Config{Listen: loopback, Keys: keys, Clock: f.clock})
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	var chain []kwmaxflow.Stage
	for _, e := range f.Engines[:3] {
		chain = append(chain, kwmaxflow.Stage{Endpoint: e.Endpoint, Incarnation: e.Agent.Incarnation(), Address: e.Agent.Address(), Layers: e.Fake.Layers()})
	}
	var s *kwquic.Stream
	sessions := 0
	measureLatency(b, func() error {
		for {
			if s == nil {
				sessions++
				s, err = openBenchSession(b, node, chain, sessions)
				if err != nil {
					return err
				}
			}
			f, err := s.Recv()
			if err != nil {
				return err
			}
			if f.Kind == kwagentproto.KindToken {
				return nil
			}
			s.Close()
			s = nil
		}
	})
	if s != nil {
		s.Close()
	}
}

func openBenchSession(b *testing.B, node *kwquic.Node, chain []kwmaxflow.Stage, n int) (*kwquic.Stream, error) {
	s, err := node.Open(b.Context(), chain[0].Address, "")
	if err != nil {
		return nil, err
	}
	return s, s.Send(kwagentproto.KindSession, kwagentproto.Session{
		Request:       kwid.RequestID(fmt.Sprint("bench-", n)),
		Attempt:       1,
		Model:         ModelName,
		Prompt:        fmt.Sprint("prompt ", n),
		MaxTokens:     1000,
		Chain:         chain,
		TimeoutMillis: time.Minute.Milliseconds(),
	})
}

// TestDeadlineThatCannotBeMet checks that a request is refused at once, before any engine sees it, if recent answers
// took longer than its timeout.
func TestDeadlineThatCannotBeMet(t *testing.T) {
	f := startFleet(t, nil)
	for _, e := range f.Engines {
		e.Fake.SetFaults(kwfake.Faults{StartDelayMS: 60})
	}
	ctx := testContext(t)
	client := f.newClient(0)
	for i := range 24 {
		if _, err := client.Chat(ctx, fmt.Sprint("warm up ", i), 2, false); err != nil {
			t.Fatal(err)
		}
	}
	requests := func() (n int) {
		for _, e := range f.Engines {
			n += e.Fake.Counts().Requests
		}
		return n
	}
	before := requests()
	client.Timeout = 100 * time.Millisecond
	got, err := client.Chat(ctx, "too late", 2, false)
	if err != nil || got.Error == nil || got.Error.Code != kwcode.DeadlineTooShort || got.Headers.Get("Retry-After") == "" {
		t.Errorf("got %+v %v, want %d with Retry-After", got.Error, err, kwcode.DeadlineTooShort)
	}
	if after := requests(); after != before {
		t.Errorf("got %d requests at the engines, want none", after-before)
	}
}

// TestWriteToUnreachableAgentsIsNotRun kills the agents while the entry still considers them live. A write that reaches
// no agent must be refused as not run, and a resend must run once an agent is back.
func TestWriteToUnreachableAgentsIsNotRun(t *testing.T) {
	f := startFleet(t, func(cfg *Config) { cfg.Timing.EndpointLease = time.Minute })
	for _, s := range f.RecordsServers {
		s.Agent.Kill()
	}
	ctx := testContext(t)
	client := f.newClient(0)
	client.Timeout = 20 * time.Second
	got, err := client.CallService(ctx, http.MethodPost, "/alerts", "k", "b")
	if err != nil || got.Error == nil || got.Error.Outcome != kwcode.NotRun {
		t.Errorf("got %+v %v, want a refusal as not run", got.Error, err)
	}
	if err := f.StartRecordsAgent(f.RecordsServers[0]); err != nil {
		t.Fatal(err)
	}
	err = WaitFor("an answer to the resend", func() bool {
		got, err := f.newClient(0).CallService(ctx, http.MethodPost, "/alerts", "k", "b")
		return err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		t.Fatal(err)
	}
	if runs := f.WriteRuns("/alerts", "b"); runs != 1 {
		t.Errorf("got the write run %d times, want 1", runs)
	}
}

// BenchmarkLeaderLoss reports the longest time for which writes fail or wait after the leading control process has
// crashed.
func BenchmarkLeaderLoss(b *testing.B) {
	worst := time.Duration(0)
	for b.Loop() {
		cfg := DefaultConfig(b.TempDir(), logr.Discard())
		cfg.Controls = 3
		f, err := New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		write := func(key string) bool {
			got, err := f.newClient(0).CallService(b.Context(), http.MethodPost, "/alerts", key, key)
			return err == nil && got.Status == http.StatusOK
		}
		if !write("before") {
			b.Fatal("got no answer before the leader crashed, want one")
		}
		f.Controls[awaitLeader(b, f)].Kill()
		begin := time.Now()
		if err := WaitFor("a write to be answered", func() bool { return write("after") }); err != nil {
			b.Fatal(err)
		}
		worst = max(worst, time.Since(begin))
		f.Close()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
