package commands

import (
	"fmt"
	"os"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/platform"
)

// deployCmd groups the commands for the users' platform.
type deployCmd struct {
	Check deployCheckCmd `cmd:"" help:"Check the deploy file and, if given, the settings file of a process, without a running fleet."`
}

type deployCheckCmd struct {
	File     string `arg:"" default:"deploy/system.toml" help:"The deploy file."`
	Settings string `help:"A settings file as the platform writes it." placeholder:"FILE"`
}

// Run prints a summary of the files, or fails with the file, line and key of the first error.
func (c *deployCheckCmd) Run(s *streams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return kwcode.New(kwcode.SettingsFile, "%v", err)
	}
	d, err := kwplatform.ParseDeployment(kwsiteconfig.File{Name: c.File, Text: string(text)})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "%s: %d roles\n", c.File, len(d.Roles))
	if c.Settings == "" {
		return nil
	}
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return kwcode.New(kwcode.SettingsFile, "%v", err)
	}
	settings, err := kwplatform.ParseSettings(data)
	if err != nil {
		return kwcode.New(kwcode.FromError(err).Code, "%s: %s", c.Settings, kwcode.FromError(err).Detail)
	}
	_, _ = fmt.Fprintf(s.out, "%s: node %s, role %s, %d seeds\n", c.Settings, settings.Node, settings.Role, len(settings.Seeds))
	return nil
}
