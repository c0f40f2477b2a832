package kwloadtest

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmaxflow"
)

// Quantiles holds quantiles of a latency distribution, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

const (
	histMinMicros  = 1
	histMaxMicros  = 600_000_000
	histDigits     = 3
	microsPerMilli = 1000
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histMinMicros, histMaxMicros, histDigits)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Baseline is the result of another routing policy on the same fleet and load.
type Baseline struct {
	Policy          kwmaxflow.Policy `json:"policy"`
	TokensPerSecond float64          `json:"tokens-per-second"`
	BoundShare      float64          `json:"throughput-against-bound"`
	FirstToken      Quantiles        `json:"first-token"`
	BetweenTokens   Quantiles        `json:"between-tokens"`
}

// Invariant counts the checks of one guaranteed property, and its violations.
type Invariant struct {
	Name       string `json:"name"`
	Checked    int    `json:"checked"`
	Violations int    `json:"breaches"`
}

// ErrorCount is the number of errors with one result code.
type ErrorCount struct {
	Code    kwcode.Code    `json:"code"`
	Name    string         `json:"name"`
	Outcome kwcode.Outcome `json:"outcome"`
	Count   int            `json:"count"`
}

// RateSample is the served load in one time bin of the recovery run.
type RateSample struct {
	Seconds         float64 `json:"seconds"`
	TokensPerSecond float64 `json:"tokens-per-second"`
}

// Recovery describes the run in which a VM is killed: the served load before the fault and over time, and the detection
// interval, after which the stages of a chain that produces no token are probed for a failure.
type Recovery struct {
	FaultSeconds     float64      `json:"fault-at-seconds"`
	Before           float64      `json:"tokens-per-second-before"`
	LowestRate       float64      `json:"lowest-tokens-per-second"`
	DetectionSeconds float64      `json:"detection-interval-seconds"`
	Samples          []RateSample `json:"points"`
}

// Report is the result of a load test. BoundShare is the measured throughput as a fraction of Bound, the max-flow of
// the stages.
type Report struct {
	Profile         string       `json:"profile"`
	Seed            uint64       `json:"seed"`
	Seconds         float64      `json:"seconds"`
	Bound           float64      `json:"bound-tokens-per-second"`
	TokensPerSecond float64      `json:"tokens-per-second"`
	BoundShare      float64      `json:"throughput-against-bound"`
	RecoverySeconds float64      `json:"recovery-seconds"`
	Recovery        Recovery     `json:"recovery"`
	FirstToken      Quantiles    `json:"first-token"`
	BetweenTokens   Quantiles    `json:"between-tokens"`
	Fairness        float64      `json:"fairness-between-workspaces"`
	WastedShare     float64      `json:"wasted-work-share"`
	ErrorCounts     []ErrorCount `json:"refusals"`
	Baselines       []Baseline   `json:"baselines"`
	Invariants      []Invariant  `json:"promises"`
}

// WriteTable writes the report as text tables.
func (r Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	p("profile %s, seed %d, %.0f s per run", r.Profile, r.Seed, r.Seconds)
	p("\npolicy\ttokens/s\tagainst bound\tfirst token p95\tbetween tokens p95")
	p("%s\t%.0f\t%.3f\t%.0f ms\t%.0f ms", kwmaxflow.FlowTwoChoice, r.TokensPerSecond, r.BoundShare, r.FirstToken.P95, r.BetweenTokens.P95)
	for _, b := range r.Baselines {
		p("%s\t%.0f\t%.3f\t%.0f ms\t%.0f ms", b.Policy, b.TokensPerSecond, b.BoundShare, b.FirstToken.P95, b.BetweenTokens.P95)
	}
	p("bound\t%.0f\t1.000", r.Bound)
	p("\nrecovery after the loss of a VM\t%.2f s (detection interval %.2f s)", r.RecoverySeconds, r.Recovery.DetectionSeconds)
	p("served before / lowest\t%.0f / %.0f tokens/s", r.Recovery.Before, r.Recovery.LowestRate)
	p("fairness between workspaces\t%.3f", r.Fairness)
	p("wasted work\t%.3f of all layer runs", r.WastedShare)
	p("\npromise\tchecked\tbreaches")
	for _, invariant := range r.Invariants {
		p("%s\t%d\t%d", invariant.Name, invariant.Checked, invariant.Violations)
	}
	for _, errorCount := range r.ErrorCounts {
		p("refusal %d %s\t%d", int(errorCount.Code), errorCount.Name, errorCount.Count)
	}
	return tw.Flush()
}

// Violations returns the number of violations of all invariants.
func (r Report) Violations() int {
	n := 0
	for _, p := range r.Invariants {
		n += p.Violations
	}
	return n
}
