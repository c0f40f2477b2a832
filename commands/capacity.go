package commands

import (
	"time"

	"knapweedproxy/core/kwcapacity"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwloadtest"
)

type capacityCmd struct {
	Inputs  string  `default:"docs/capacity.toml" type:"path" help:"TOML file with the target size, the measured slopes and the timings of the protocols."`
	Measure bool    `help:"Measure the slopes on an idle fleet on this machine instead."`
	Seconds float64 `default:"15" help:"With --measure: duration of each observation in seconds."`
}

// Run prints the capacity model, or measures its slopes on an idle fleet.
func (c *capacityCmd) Run(s *streams) error {
	if c.Measure {
		return kwloadtest.MeasureIdleCost(s.out, time.Duration(c.Seconds*float64(time.Second)))
	}
	file, err := readFile(c.Inputs)
	if err != nil {
		return err
	}
	var in kwcapacity.Inputs
	if err := kwsiteconfig.Decode(file, &in); err != nil {
		return err
	}
	if in.Target.Entries <= 0 || in.Target.Endpoints <= 0 {
		return kwcode.New(kwcode.SettingsMissing, "%s: target.entries and target.endpoints are required", c.Inputs)
	}
	kwcapacity.WriteTable(s.out, in.Compute())
	return nil
}
