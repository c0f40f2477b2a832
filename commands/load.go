package commands

import (
	"context"
	"fmt"
	"time"

	"github.com/schollz/progressbar/v3"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmaxflow"
	"knapweedproxy/io/kwloadtest"
)

type loadCmd struct {
	Profile string  `default:"drafting" enum:"drafting,loan-desk" help:"Load profile: drafting or loan-desk."`
	JSON    bool    `help:"Print the report as JSON."`
	Seconds float64 `default:"10" help:"Duration of each run at saturation, in seconds."`
	Seed    uint64  `default:"1" help:"Seed of the prompts and of the random choices."`
	Plot    string  `type:"path" help:"Plot the served load of the recovery run to this SVG or PNG file."`
	Trials  bool    `help:"Compare the routing policies in simulations on a fake clock instead of running a profile."`
}

// loadSteps is the number of progress steps of a load test.
const loadSteps = 6

// Run runs the load test and prints the report; it fails if a promise was broken.
func (c *loadCmd) Run(s *streams) error {
	if c.Trials {
		return c.runTrials(s)
	}
	if c.Seconds <= 0 {
		return kwcode.New(kwcode.Usage, "--seconds: must be greater than 0")
	}
	profile, ok := kwloadtest.FindProfile(c.Profile)
	if !ok {
		return kwcode.New(kwcode.Usage, "unknown profile %q", c.Profile)
	}
	bar := progressbar.NewOptions(loadSteps, progressbar.OptionSetWriter(s.err), progressbar.OptionShowCount())
	report, err := kwloadtest.Run(context.Background(), kwloadtest.Config{
		Profile: profile,
		Seconds: c.Seconds,
		Seed:    c.Seed,
		Progress: func(text string) {
			bar.Describe(text)
			_ = bar.Add(1)
		},
	})
	_ = bar.Finish()
	_, _ = fmt.Fprintln(s.err)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.WritePlot(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		err = writeJSON(s.out, report)
	} else {
		err = report.WriteTable(s.out)
	}
	if err == nil && report.Violations() > 0 {
		err = kwcode.New(kwcode.WrongAnswer, "%d promises broken", report.Violations())
	}
	return err
}

// trialRow is one trial in the JSON output.
type trialRow struct {
	Fleet  string  `json:"fleet"`
	LagSec float64 `json:"load-lag-seconds"`
	kwloadtest.SimulationResult
}

// runTrials simulates each fleet with each routing policy and load report delay.
func (c *loadCmd) runTrials(s *streams) error {
	var rows []trialRow
	for _, fleet := range kwloadtest.SimulatedFleets() {
		for _, lag := range []time.Duration{0, time.Second, 2 * time.Second} {
			for _, policy := range []kwmaxflow.Policy{kwmaxflow.FlowTwoChoice, kwmaxflow.RoundRobin, kwmaxflow.Random, kwmaxflow.LeastOutstanding} {
				result, err := kwloadtest.RunSimulation(fleet.Config(policy, c.Seed, lag))
				if err != nil {
					return err
				}
				rows = append(rows, trialRow{Fleet: fleet.Name, LagSec: lag.Seconds(), SimulationResult: result})
			}
		}
	}
	if c.JSON {
		return writeJSON(s.out, rows)
	}
	_, _ = fmt.Fprintf(s.out, "%-8s %-9s %-18s %12s %8s %s\n", "fleet", "load lag", "policy", "tokens/s", "against", "longest queue")
	for _, r := range rows {
		_, _ = fmt.Fprintf(s.out, "%-8s %-9s %-18s %12.0f %8.3f %d\n", r.Fleet, fmt.Sprintf("%gs", r.LagSec), r.Policy, r.TokensPerSecond, r.BoundShare, r.LongestQueue)
	}
	return nil
}
