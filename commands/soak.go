package commands

import (
	"context"
	"os"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/platform/kwplatformtest"
)

type soakCmd struct {
	Program string        `required:"" type:"existingfile" help:"Path of the deployed program, knapweedproxyd."`
	Seed    uint64        `default:"1" help:"The first seed."`
	Seeds   int           `default:"1" help:"Number of seeds to run, one after another."`
	For     time.Duration `default:"15s" help:"How long faults are injected in each run."`
	Callers int           `default:"9" help:"Number of concurrent callers."`
	Folder  string        `type:"path" help:"Folder for the logs of failed seeds; a temporary folder by default."`
}

// Run injects faults into processes of the deployed program, and fails if a promise is broken.
func (c *soakCmd) Run(s *streams) error {
	folder := c.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "knapweedproxy-soak-"); err != nil {
			return kwcode.New(kwcode.DiskFailed, "%v", err)
		}
	}
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(i))
	}
	cfg := kwplatformtest.SoakConfig{Program: c.Program, Folder: folder, FaultDuration: c.For, Callers: c.Callers}
	failed, err := kwplatformtest.RunSoakSeeds(context.Background(), cfg, seeds, s.out)
	if err != nil {
		return kwcode.FromError(err)
	}
	if failed > 0 {
		return kwcode.New(kwcode.WrongAnswer, "%d of %d seeds broke a promise; their logs are in %s", failed, len(seeds), folder)
	}
	return os.RemoveAll(folder)
}
