package commands

import (
	"fmt"
	"os"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwevent"
)

type explainCmd struct {
	ID   string   `required:"" help:"ID of the request."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of entries and control processes."`
}

// Run prints the time line of a request across all processes.
func (c *explainCmd) Run(s *streams) error {
	var lines []kwevent.LogLine
	for _, name := range c.Logs {
		file, err := os.Open(name)
		if err != nil {
			return kwcode.New(kwcode.SettingsFile, "%v", err)
		}
		got, err := kwevent.ReadLines(file)
		_ = file.Close()
		if err != nil {
			return kwcode.New(kwcode.SettingsFile, "%s: %v", name, err)
		}
		lines = append(lines, got...)
	}
	found := kwevent.Explain(lines, kwid.RequestID(c.ID))
	if len(found) == 0 {
		return kwcode.New(kwcode.NotFound, "the logs contain no line on request %q", c.ID)
	}
	for _, l := range found {
		_, _ = fmt.Fprintln(s.out, l)
	}
	return nil
}
