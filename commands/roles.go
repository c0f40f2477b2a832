package commands

import (
	"knapweedproxy/io/kwapp"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwsettings"
)

// processFlags are the flags that all roles have in common.
type processFlags struct {
	Settings string `required:"" type:"path" help:"Settings file of the process (TOML)."`
	Verbose  bool   `help:"Write detailed logs."`
}

func (f processFlags) run(role kwkeys.Role, bootstrap bool) error {
	p, err := kwsettings.Load(f.Settings, role)
	if err != nil {
		return err
	}
	return kwapp.Run(p, kwapp.Options{Verbose: f.Verbose, Bootstrap: bootstrap})
}

type entryCmd struct {
	processFlags
}

// Run serves until a signal or a failure.
func (c *entryCmd) Run() error {
	return c.run(kwkeys.RoleEntry, false)
}

type agentCmd struct {
	processFlags
}

// Run serves until a signal or a failure.
func (c *agentCmd) Run() error {
	return c.run(kwkeys.RoleAgent, false)
}

type controlCmd struct {
	processFlags
	Bootstrap bool `help:"Bootstrap a new fleet with this process as its only control member; only for the very first start."`
}

// Run serves until a signal or a failure.
func (c *controlCmd) Run() error {
	return c.run(kwkeys.RoleControl, c.Bootstrap)
}
