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

// Config declares a measurement.
type Config struct {
	Profile Profile
	Seconds float64
	Seed    uint64
	// Progress is told of each step, or nil.
	Progress func(text string)
}

// Names of the promises in a report.
const (
	promiseLayers   = "every layer runs once for each token, in order"
	promiseWhole    = "each caller gets the whole answer to its own request"
	promiseNotRun   = "a refusal that says not run is true"
	promiseOnce     = "a non-idempotent call runs at most once"
	promiseKept     = "an answered write is never lost"
	promiseLeaving  = "a leaving endpoint gets no new work"
	promiseGraceful = "a planned stop cuts off nothing"
)

const (
	warmUp       = 2 * time.Second
	binSpan      = 250 * time.Millisecond
	beforeFault  = 4 * time.Second
	afterFault   = 8 * time.Second
	recoveredAt  = 0.95
	recoveryBins = 4
)

// Run measures a profile: the policy and its baselines at saturation, then the loss of a VM, then a planned stop
// and a drain under load.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Progress == nil {
		cfg.Progress = func(string) {}
	}
	p := cfg.Profile
	out := Report{Profile: p.Name, Seed: cfg.Seed, Seconds: cfg.Seconds, Bound: p.bound()}
	total := newLedger()
	for _, policy := range []kwmaxflow.Policy{kwmaxflow.FlowTwoChoice, kwmaxflow.RoundRobin, kwmaxflow.Random, kwmaxflow.LeastOutstanding} {
		cfg.Progress("saturation, " + string(policy))
		m, err := cfg.saturate(ctx, policy)
		if err != nil {
			return out, err
		}
		total.merge(m.ledger)
		out.take(policy, m)
	}
	cfg.Progress("recovery after the loss of a VM")
	if err := cfg.recovery(ctx, &out, total); err != nil {
		return out, err
	}
	cfg.Progress("planned stop and drain")
	if err := cfg.planned(ctx, total); err != nil {
		return out, err
	}
	out.Invariants = total.promises()
	out.ErrorCounts = total.refusals()
	return out, nil
}

func (r *Report) take(policy kwmaxflow.Policy, m *measurement) {
	b := Baseline{
		Policy:          policy,
		TokensPerSecond: m.rate(),
		FirstToken:      quantiles(m.first),
		BetweenTokens:   quantiles(m.gaps),
	}
	b.BoundShare = b.TokensPerSecond / r.Bound
	if policy != kwmaxflow.FlowTwoChoice {
		r.Baselines = append(r.Baselines, b)
		return
	}
	r.TokensPerSecond, r.BoundShare = b.TokensPerSecond, b.BoundShare
	r.FirstToken, r.BetweenTokens = b.FirstToken, b.BetweenTokens
	r.Fairness = m.fairness()
	r.WastedShare = m.wasted
}

// measurement collects what callers saw; it is safe for concurrent use.
type measurement struct {
	mu     sync.Mutex
	start  time.Time
	from   time.Time
	until  time.Time
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	tokens int
	byWho  []int
	bins   []int
	useful int
	// unfinished bounds the tokens that the end of the run cut off.
	unfinished int
	wasted     float64
	ledger     *ledger
}

func newMeasurement(span time.Duration) *measurement {
	now := time.Now()
	return &measurement{
		start:  now,
		from:   now.Add(warmUp),
		until:  now.Add(warmUp + span),
		first:  newHistogram(),
		gaps:   newHistogram(),
		byWho:  make([]int, len(kwdemo.Workspaces())),
		ledger: newLedger(),
	}
}

// note counts tokens that the stages have run for a caller.
func (m *measurement) note(who, tokens int) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.useful += tokens
	bin := int(now.Sub(m.start) / binSpan)
	for len(m.bins) <= bin {
		m.bins = append(m.bins, 0)
	}
	m.bins[bin] += tokens
	if now.After(m.from) && now.Before(m.until) {
		m.tokens += tokens
		m.byWho[who] += tokens
	}
}

// cutOff counts the work of a request that the end of the run cut off, which is not wasted by the fleet.
func (m *measurement) cutOff(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unfinished += tokens
}

func (m *measurement) rate() float64 {
	return float64(m.tokens) / m.until.Sub(m.from).Seconds()
}

// fairness is Jain's index over the workspaces' tokens.
func (m *measurement) fairness() float64 {
	sum, squares := 0.0, 0.0
	for _, n := range m.byWho {
		sum += float64(n)
		squares += float64(n) * float64(n)
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(m.byWho)) * squares)
}

func (m *measurement) times(a kwdemo.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Tokens == 0 {
		return
	}
	_ = m.first.RecordValue(max(histMinMicros, a.TimeToFirstToken.Microseconds()))
	for _, g := range a.TokenGaps {
		_ = m.gaps.RecordValue(max(histMinMicros, g.Microseconds()))
	}
}

// callers keeps n chat requests and the profile's writes in progress until the context ends.
func (cfg Config) callers(ctx context.Context, f *kwdemo.Fleet, n int, m *measurement) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { cfg.chatLoop(ctx, f, i, m) })
	}
	for i := range cfg.Profile.Writers {
		all.Go(func() { cfg.writeLoop(ctx, f, i, m) })
	}
	return &all
}

// words are the vocabulary of the prompts.
var words = strings.Fields("wet grip road section camel toy loan hold return bridge bend rain gravel shelf abacus")

func (p Profile) prompt(rng *rand.Rand) string {
	var out []string
	for range p.PromptWords {
		out = append(out, words[rng.IntN(len(words))]+fmt.Sprint(rng.IntN(1000)))
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

// arrive starts requests at a steady rate, whatever becomes of the ones before, until the context ends.
func (cfg Config) arrive(ctx context.Context, f *kwdemo.Fleet, m *measurement) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / cfg.Profile.arrivals()))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
			all.Go(func() { cfg.chatOnce(ctx, f, i, rng, m) })
		}
	})
	for i := range cfg.Profile.Writers {
		all.Go(func() { cfg.writeLoop(ctx, f, i, m) })
	}
	return &all
}

// chatOnce sends one request and checks its answer; false means that the caller got an error.
func (cfg Config) chatOnce(ctx context.Context, f *kwdemo.Fleet, i int, rng *rand.Rand, m *measurement) bool {
	who := i % len(kwdemo.Workspaces())
	prompt := cfg.Profile.prompt(rng)
	client := kwdemo.Client{URL: f.Entries[i%len(f.Entries)].URL(), Token: kwdemo.Workspaces()[who].Token}
	// A token of the answer proves that the stages ran what comes before it: the prompt, then one token each.
	ran := len(kwfake.Tokenize(kwdemo.RenderPrompt(prompt)))
	client.OnToken = func(string) {
		m.note(who, ran)
		ran = 1
	}
	got, err := client.Chat(ctx, prompt, cfg.Profile.AnswerTokens, true)
	m.times(got)
	if ctx.Err() != nil {
		m.cutOff(got.Tokens + len(kwfake.Tokenize(kwdemo.RenderPrompt(prompt))))
		return true
	}
	m.ledger.chat(prompt, cfg.Profile.AnswerTokens, got, err)
	return err == nil && got.Error == nil
}

const retryPause = 50 * time.Millisecond

func (cfg Config) writeLoop(ctx context.Context, f *kwdemo.Fleet, i int, m *measurement) {
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf("write-%d-%d", i, n)
		client := kwdemo.Client{URL: f.Entries[(i+n)%len(f.Entries)].URL(), Token: kwdemo.Workspaces()[0].Token}
		got, err := client.CallService(context.WithoutCancel(ctx), http.MethodPost, "/alerts", body, body)
		m.ledger.write(f, body, got, err)
		time.Sleep(writePause)
	}
}

const writePause = 20 * time.Millisecond

// withFleet starts a fleet in a folder of its own and stops it afterwards.
func (cfg Config) withFleet(policy kwmaxflow.Policy, use func(f *kwdemo.Fleet) error) error {
	folder, err := os.MkdirTemp("", "knapweedproxy-load-")
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := cfg.Profile.fleet(folder, policy, cfg.Seed)
	if err != nil {
		return err
	}
	defer f.Close()
	return use(f)
}

func (cfg Config) saturate(ctx context.Context, policy kwmaxflow.Policy) (*measurement, error) {
	span := time.Duration(cfg.Seconds * float64(time.Second))
	var m *measurement
	err := cfg.withFleet(policy, func(f *kwdemo.Fleet) error {
		m = newMeasurement(span)
		run, cancel := context.WithDeadline(ctx, m.until)
		defer cancel()
		cfg.callers(run, f, cfg.Profile.Callers, m).Wait()
		m.wasted = wasted(f, m)
		m.ledger.finish(f)
		return nil
	})
	return m, err
}

// wasted is the share of all layer runs that served no answer.
func wasted(f *kwdemo.Fleet, m *measurement) float64 {
	var runs uint64
	for _, e := range f.Engines {
		runs += e.Fake.Counts().LayerRuns
	}
	if runs == 0 {
		return 0
	}
	useful := float64(m.useful+m.unfinished) * loadLayers
	return max(0, 1-useful/float64(runs))
}

// recovery kills the VM of the fastest middle stage under an offered load that the others can carry.
func (cfg Config) recovery(ctx context.Context, out *Report, total *ledger) error {
	return cfg.withFleet(kwmaxflow.FlowTwoChoice, func(f *kwdemo.Fleet) error {
		m := newMeasurement(beforeFault + afterFault)
		run, cancel := context.WithDeadline(ctx, m.until)
		defer cancel()
		all := cfg.arrive(run, f, m)
		time.Sleep(time.Until(m.from.Add(beforeFault)))
		fault := time.Since(m.start)
		victim := f.Engines[2*len(cfg.Profile.TokenRates)-1]
		victim.Agent.Kill()
		victim.Fake.Close()
		all.Wait()
		m.ledger.finish(f)
		total.merge(m.ledger)
		out.recovered(m, fault)
		return nil
	})
}

// recovered finds the first second after the fault in which the served load is back at its level before.
func (r *Report) recovered(m *measurement, fault time.Duration) {
	perBin := binSpan.Seconds()
	first := int(warmUp / binSpan)
	at := int(fault / binSpan)
	before := mean(m.bins[first:at]) / perBin
	r.Recovery = Recovery{FaultSeconds: fault.Seconds(), Before: before, LowestRate: before, DetectionSeconds: stepTimeout.Seconds()}
	for i, n := range m.bins {
		r.Recovery.Samples = append(r.Recovery.Samples, RateSample{Seconds: float64(i) * perBin, TokensPerSecond: float64(n) / perBin})
		if i > at && i < int(m.until.Sub(m.start)/binSpan) {
			r.Recovery.LowestRate = min(r.Recovery.LowestRate, float64(n)/perBin)
		}
	}
	r.RecoverySeconds = (m.until.Sub(m.start) - fault).Seconds()
	for i := at; i+recoveryBins <= len(m.bins); i++ {
		if i == at && m.bins[i+1] < m.bins[at-1]/2 {
			continue
		}
		if mean(m.bins[i:i+recoveryBins])/perBin >= recoveredAt*before {
			r.RecoverySeconds = max(0, float64(i)*perBin-fault.Seconds())
			return
		}
	}
}

func mean(bins []int) float64 {
	if len(bins) == 0 {
		return 0
	}
	sum := 0
	for _, n := range bins {
		sum += n
	}
	return float64(sum) / float64(len(bins))
}

// planned drains a records server, then stops an agent and an entry gracefully, all under load.
func (cfg Config) planned(ctx context.Context, total *ledger) error {
	return cfg.withFleet(kwmaxflow.FlowTwoChoice, func(f *kwdemo.Fleet) error {
		m := newMeasurement(afterFault)
		run, cancel := context.WithDeadline(ctx, m.until)
		defer cancel()
		all := cfg.callers(run, f, cfg.Profile.PlannedStopCallers, m)
		time.Sleep(warmUp)
		leaving := f.Servers[0]
		drain := kwstatemachine.Drain{Endpoint: leaving.Endpoint, On: true}
		if err := f.CallAdmin("/admin/drain", drain, &kwstatemachine.Drain{}); err != nil {
			return err
		}
		f.Engines[0].Agent.Stop()
		time.Sleep(kwdemo.DrainGrace)
		before := leaving.Fake.ReceivedCalls()
		all.Wait()
		m.ledger.leaving(leaving.Fake.ReceivedCalls() - before)
		m.ledger.graceful()
		m.ledger.finish(f)
		total.merge(m.ledger)
		return nil
	})
}

// sortedCodes lists codes in ascending order.
func sortedCodes(counts map[kwcode.Code]int) []kwcode.Code {
	var out []kwcode.Code
	for c := range counts {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}
