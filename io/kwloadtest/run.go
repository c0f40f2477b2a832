package kwloadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwdemo"
	"knapweedproxy/io/kwfake"
)

// Config configures a load test.
type Config struct {
	Profile Profile
	// Seconds is the length of each saturation run, without its warm-up.
	Seconds float64
	Seed    uint64
	// Progress, if not nil, is called at the start of each run.
	Progress func(text string)
}

// Names of the invariants in a report.
const (
	invariantLayers       = "every layer runs once for each token, in order"
	invariantWholeAnswer  = "each caller gets the whole answer to its own request"
	invariantNotRun       = "a refusal that says not run is true"
	invariantAtMostOnce   = "a non-idempotent call runs at most once"
	invariantDurableWrite = "an answered write is never lost"
	invariantDrained      = "a leaving endpoint gets no new work"
	invariantGracefulStop = "a planned stop cuts off nothing"
)

const (
	warmUp            = 2 * time.Second
	binWidth          = 250 * time.Millisecond
	timeBeforeFault   = 4 * time.Second
	timeAfterFault    = 8 * time.Second
	recoveredFraction = 0.95
	recoveryBins      = 4
)

// Run runs the load test of a profile: the routing policy and its baselines at saturation, then the loss of a VM, then
// graceful stops and a drain under load. It checks the invariants in every run.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Progress == nil {
		cfg.Progress = func(string) {}
	}
	p := cfg.Profile
	report := Report{Profile: p.Name, Seed: cfg.Seed, Seconds: cfg.Seconds, Bound: p.bound()}
	total := newInvariantChecker()
	for _, policy := range []kwmaxflow.Policy{kwmaxflow.FlowTwoChoice, kwmaxflow.RoundRobin, kwmaxflow.Random, kwmaxflow.LeastOutstanding} {
		cfg.Progress("saturation, " + string(policy))
		m, err := cfg.runSaturation(ctx, policy)
		if err != nil {
			return report, err
		}
		total.merge(m.invariants)
		report.addPolicyResult(policy, m)
	}
	cfg.Progress("recovery after the loss of a VM")
	if err := cfg.runRecovery(ctx, &report, total); err != nil {
		return report, err
	}
	cfg.Progress("planned stop and drain")
	if err := cfg.runPlannedStops(ctx, total); err != nil {
		return report, err
	}
	report.Invariants = total.invariants()
	report.ErrorCounts = total.errorCounts()
	return report, nil
}

// addPolicyResult adds a saturation run to the report. FlowTwoChoice is the policy under test, any other a baseline.
func (r *Report) addPolicyResult(policy kwmaxflow.Policy, m *measurement) {
	b := Baseline{
		Policy:          policy,
		TokensPerSecond: m.tokenRate(),
		FirstToken:      quantiles(m.firstToken),
		BetweenTokens:   quantiles(m.tokenGaps),
	}
	b.BoundShare = b.TokensPerSecond / r.Bound
	if policy != kwmaxflow.FlowTwoChoice {
		r.Baselines = append(r.Baselines, b)
		return
	}
	r.TokensPerSecond, r.BoundShare = b.TokensPerSecond, b.BoundShare
	r.FirstToken, r.BetweenTokens = b.FirstToken, b.BetweenTokens
	r.Fairness = m.fairness()
	r.WastedShare = m.wastedShare
}

// measurement collects the observations of the clients in one run; it is safe for concurrent use.
type measurement struct {
	mu                sync.Mutex
	start             time.Time
	measureFrom       time.Time
	measureUntil      time.Time
	firstToken        *hdrhistogram.Histogram
	tokenGaps         *hdrhistogram.Histogram
	tokens            int
	tokensByWorkspace []int
	tokenBins         []int
	usefulTokens      int
	// unfinishedTokens is an upper bound of the tokens computed for requests that the end of the run cancelled.
	unfinishedTokens int
	wastedShare      float64
	invariants       *invariantChecker
}

func newMeasurement(duration time.Duration) *measurement {
	now := time.Now()
	return &measurement{
		start:             now,
		measureFrom:       now.Add(warmUp),
		measureUntil:      now.Add(warmUp + duration),
		firstToken:        newHistogram(),
		tokenGaps:         newHistogram(),
		tokensByWorkspace: make([]int, len(kwdemo.Workspaces())),
		invariants:        newInvariantChecker(),
	}
}

// addTokens counts tokens that the stages have computed for a request of a workspace.
func (m *measurement) addTokens(workspace, tokens int) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usefulTokens += tokens
	bin := int(now.Sub(m.start) / binWidth)
	for len(m.tokenBins) <= bin {
		m.tokenBins = append(m.tokenBins, 0)
	}
	m.tokenBins[bin] += tokens
	if now.After(m.measureFrom) && now.Before(m.measureUntil) {
		m.tokens += tokens
		m.tokensByWorkspace[workspace] += tokens
	}
}

// addUnfinished counts the work for a request that the end of the run cancelled, which the fleet has not wasted.
func (m *measurement) addUnfinished(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unfinishedTokens += tokens
}

// tokenRate returns the served load, in tokens per second.
func (m *measurement) tokenRate() float64 {
	return float64(m.tokens) / m.measureUntil.Sub(m.measureFrom).Seconds()
}

// fairness returns Jain's fairness index of the tokens per workspace.
func (m *measurement) fairness() float64 {
	sum, squares := 0.0, 0.0
	for _, n := range m.tokensByWorkspace {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(m.tokensByWorkspace)) * squares)
}

// recordLatencies adds the latencies of an answer to the histograms.
func (m *measurement) recordLatencies(a kwdemo.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Tokens == 0 {
		return
	}
	_ = m.firstToken.RecordValue(max(histMinMicros, a.TimeToFirstToken.Microseconds()))
	for _, g := range a.TokenGaps {
		_ = m.tokenGaps.RecordValue(max(histMinMicros, g.Microseconds()))
	}
}

// startClosedLoop keeps n chat requests and the writes of the profile in progress until the context ends: each client
// sends its next request when the one before has ended.
func (cfg Config) startClosedLoop(ctx context.Context, f *kwdemo.Fleet, n int, m *measurement) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { cfg.chatLoop(ctx, f, i, m) })
	}
	for i := range cfg.Profile.Writers {
		wg.Go(func() { cfg.writeLoop(ctx, f, i, m) })
	}
	return &wg
}

// promptWords is the vocabulary of the prompts.
var promptWords = strings.Fields("wet grip road section camel toy loan hold return bridge bend rain gravel shelf abacus")

func (p Profile) prompt(rng *rand.Rand) string {
	var out []string
	for range p.PromptWords {
		out = append(out, promptWords[rng.IntN(len(promptWords))]+fmt.Sprint(rng.IntN(1000)))
	}
	return strings.Join(out, " ")
}

func (cfg Config) chatLoop(ctx context.Context, f *kwdemo.Fleet, i int, m *measurement) {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
	for ctx.Err() == nil {
		if !cfg.chatOnce(ctx, f, i, rng, m) {
			time.Sleep(retryPause)
		}
	}
}

// startOpenLoop starts chat requests at a fixed rate, whether or not earlier ones have ended, until the context ends.
// The writes of the profile run as in startClosedLoop.
func (cfg Config) startOpenLoop(ctx context.Context, f *kwdemo.Fleet, m *measurement) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / cfg.Profile.arrivalRate()))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
			wg.Go(func() { cfg.chatOnce(ctx, f, i, rng, m) })
		}
	})
	for i := range cfg.Profile.Writers {
		wg.Go(func() { cfg.writeLoop(ctx, f, i, m) })
	}
	return &wg
}

// chatOnce sends one chat request and checks its answer. It returns false if the request failed.
func (cfg Config) chatOnce(ctx context.Context, f *kwdemo.Fleet, i int, rng *rand.Rand, m *measurement) bool {
	workspace := i % len(kwdemo.Workspaces())
	prompt := cfg.Profile.prompt(rng)
	client := kwdemo.Client{URL: f.Entries[i%len(f.Entries)].URL(), Token: kwdemo.Workspaces()[workspace].Token}
	// A token of the answer shows that the stages have computed all tokens before it: the whole prompt for the first
	// one, and one more for each of the others.
	tokens := len(kwfake.Tokenize(kwdemo.RenderPrompt(prompt)))
	client.OnToken = func(string) {
		m.addTokens(workspace, tokens)
		tokens = 1
	}
	got, err := client.Chat(ctx, prompt, cfg.Profile.AnswerTokens, true)
	m.recordLatencies(got)
	if ctx.Err() != nil {
		m.addUnfinished(got.Tokens + len(kwfake.Tokenize(kwdemo.RenderPrompt(prompt))))
		return true
	}
	m.invariants.checkChat(prompt, cfg.Profile.AnswerTokens, got, err)
	return err == nil && got.Error == nil
}

const retryPause = 50 * time.Millisecond

func (cfg Config) writeLoop(ctx context.Context, f *kwdemo.Fleet, i int, m *measurement) {
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf("write-%d-%d", i, n)
		client := kwdemo.Client{URL: f.Entries[(i+n)%len(f.Entries)].URL(), Token: kwdemo.Workspaces()[0].Token}
		got, err := client.CallService(context.WithoutCancel(ctx), http.MethodPost, "/alerts", body, body)
		m.invariants.checkWrite(f, body, got, err)
		time.Sleep(writePause)
	}
}

const writePause = 20 * time.Millisecond

// withFleet calls use with a new fleet in a temporary folder, then stops the fleet and removes the folder.
func (cfg Config) withFleet(policy kwmaxflow.Policy, use func(f *kwdemo.Fleet) error) error {
	folder, err := os.MkdirTemp("", "knapweedproxy-load-")
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := cfg.Profile.startFleet(folder, policy, cfg.Seed)
	if err != nil {
		return err
	}
	defer f.Close()
	return use(f)
}

// runSaturation measures a policy under a closed-loop load that exceeds the capacity of the fleet.
func (cfg Config) runSaturation(ctx context.Context, policy kwmaxflow.Policy) (*measurement, error) {
	duration := time.Duration(cfg.Seconds * float64(time.Second))
	var m *measurement
	err := cfg.withFleet(policy, func(f *kwdemo.Fleet) error {
		m = newMeasurement(duration)
		run, cancel := context.WithDeadline(ctx, m.measureUntil)
		defer cancel()
		cfg.startClosedLoop(run, f, cfg.Profile.Callers, m).Wait()
		m.wastedShare = wastedShare(f, m)
		m.invariants.checkWriteCounts(f)
		return nil
	})
	return m, err
}

// wastedShare returns the fraction of all layer runs that contributed to no answer.
func wastedShare(f *kwdemo.Fleet, m *measurement) float64 {
	var runs uint64
	for _, e := range f.Engines {
		runs += e.Fake.Counts().LayerRuns
	}
	if runs == 0 {
		return 0
	}
	usefulRuns := float64(m.usefulTokens+m.unfinishedTokens) * modelLayers
	return max(0, 1-usefulRuns/float64(runs))
}

// runRecovery kills the VM of the fastest middle stage under an open-loop load that the remaining servers can serve.
func (cfg Config) runRecovery(ctx context.Context, report *Report, total *invariantChecker) error {
	return cfg.withFleet(kwmaxflow.FlowTwoChoice, func(f *kwdemo.Fleet) error {
		m := newMeasurement(timeBeforeFault + timeAfterFault)
		run, cancel := context.WithDeadline(ctx, m.measureUntil)
		defer cancel()
		wg := cfg.startOpenLoop(run, f, m)
		time.Sleep(time.Until(m.measureFrom.Add(timeBeforeFault)))
		fault := time.Since(m.start)
		failed := f.Engines[2*len(cfg.Profile.TokenRates)-1]
		failed.Agent.Kill()
		failed.Fake.Close()
		wg.Wait()
		m.invariants.checkWriteCounts(f)
		total.merge(m.invariants)
		report.setRecovery(m, fault)
		return nil
	})
}

// setRecovery computes the recovery time: from the fault to the first second in which the served load is again at
// recoveredFraction of its level before the fault.
func (r *Report) setRecovery(m *measurement, fault time.Duration) {
	perBin := binWidth.Seconds()
	warmUpBins := int(warmUp / binWidth)
	faultBin := int(fault / binWidth)
	before := meanBin(m.tokenBins[warmUpBins:faultBin]) / perBin
	r.Recovery = Recovery{FaultSeconds: fault.Seconds(), Before: before, LowestRate: before, DetectionSeconds: stepTimeout.Seconds()}
	for i, n := range m.tokenBins {
		r.Recovery.Samples = append(r.Recovery.Samples, RateSample{Seconds: float64(i) * perBin, TokensPerSecond: float64(n) / perBin})
		if i > faultBin && i < int(m.measureUntil.Sub(m.start)/binWidth) {
			r.Recovery.LowestRate = min(r.Recovery.LowestRate, float64(n)/perBin)
		}
	}
	r.RecoverySeconds = (m.measureUntil.Sub(m.start) - fault).Seconds()
	for i := faultBin; i+recoveryBins <= len(m.tokenBins); i++ {
		// The bin of the fault includes time before the fault: skip it if the served load halves in the next bin.
		if i == faultBin && m.tokenBins[i+1] < m.tokenBins[faultBin-1]/2 {
			continue
		}
		if meanBin(m.tokenBins[i:i+recoveryBins])/perBin >= recoveredFraction*before {
			r.RecoverySeconds = max(0, float64(i)*perBin-fault.Seconds())
			return
		}
	}
}

func meanBin(tokenBins []int) float64 {
	if len(tokenBins) == 0 {
		return 0
	}
	sum := 0
	for _, n := range tokenBins {
		sum += n
	}
	return float64(sum) / float64(len(tokenBins))
}

// runPlannedStops drains a records server and stops an agent gracefully under load.
func (cfg Config) runPlannedStops(ctx context.Context, total *invariantChecker) error {
	return cfg.withFleet(kwmaxflow.FlowTwoChoice, func(f *kwdemo.Fleet) error {
		m := newMeasurement(timeAfterFault)
		run, cancel := context.WithDeadline(ctx, m.measureUntil)
		defer cancel()
		wg := cfg.startClosedLoop(run, f, cfg.Profile.PlannedStopCallers, m)
		time.Sleep(warmUp)
		leaving := f.RecordsServers[0]
		drain := kwstatemachine.Drain{Endpoint: leaving.Endpoint, On: true}
		if err := f.CallAdmin("/admin/drain", drain, &kwstatemachine.Drain{}); err != nil {
			return err
		}
		f.Engines[0].Agent.Stop()
		time.Sleep(kwdemo.DrainGrace)
		before := leaving.Fake.ReceivedCalls()
		wg.Wait()
		m.invariants.checkDrained(leaving.Fake.ReceivedCalls() - before)
		m.invariants.checkGracefulStops()
		m.invariants.checkWriteCounts(f)
		total.merge(m.invariants)
		return nil
	})
}

// sortedCodes returns the codes in ascending order.
func sortedCodes(counts map[kwcode.Code]int) []kwcode.Code {
	var out []kwcode.Code
	for c := range counts {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}
