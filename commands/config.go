package commands

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/google/uuid"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwcontrol"
)

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check a declaration without a running fleet."`
	Diff  configDiffCmd  `cmd:"" help:"Compare a declaration with the one in force."`
	Apply configApplyCmd `cmd:"" help:"Put a declaration in force."`
	Show  configShowCmd  `cmd:"" help:"Show the declaration in force."`
}

// sourceFlags name the files of a fleet declaration.
type sourceFlags struct {
	Base    string   `required:"" type:"path" help:"File with the declarations that all sites share."`
	Overlay []string `required:"" type:"path" help:"File with the overlay of a site; one for each site."`
}

func (f sourceFlags) load() (kwsiteconfig.Source, *kwsiteconfig.Fleet, error) {
	var src kwsiteconfig.Source
	base, err := readFile(f.Base)
	if err != nil {
		return src, nil, err
	}
	src.Base = base
	for _, path := range f.Overlay {
		overlay, err := readFile(path)
		if err != nil {
			return src, nil, err
		}
		src.Overlays = append(src.Overlays, overlay)
	}
	fleet, err := kwsiteconfig.Load(src)
	return src, fleet, err
}

func readFile(path string) (kwsiteconfig.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return kwsiteconfig.File{}, kwcode.New(kwcode.SettingsFile, "%v", err)
	}
	return kwsiteconfig.File{Name: path, Text: string(text)}, nil
}

type configCheckCmd struct {
	sourceFlags
}

// Run checks the files and prints what they declare.
func (c *configCheckCmd) Run(s *streams) error {
	_, fleet, err := c.load()
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "fleet %q: %d models, %d services, %d sites\n", fleet.Name, len(fleet.Models), len(fleet.Services), len(fleet.Sites))
	for _, site := range fleet.Sites {
		modelServers, serviceServers := 0, 0
		for _, p := range site.Pools {
			modelServers += p.Servers
		}
		for _, p := range site.ServicePools {
			serviceServers += p.Servers
		}
		_, _ = fmt.Fprintf(s.out, "site %q: %d availability zones, %d model servers, %d service servers, %d workspaces\n",
			site.Site, len(site.AvailabilityZones), modelServers, serviceServers, len(site.Workspaces))
	}
	return nil
}

type configDiffCmd struct {
	adminFlags
	sourceFlags
}

// Run prints the lines that differ from the declaration in force, file by file.
func (c *configDiffCmd) Run(s *streams) error {
	src, _, err := c.load()
	if err != nil {
		return err
	}
	var current kwcontrol.ConfigBody
	if err := c.call(http.MethodGet, "/admin/config", nil, &current); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "against revision %d\n", current.Revision)
	diffFile(s, "base", current.Base.Text, src.Base.Text)
	for i := range max(len(current.Overlays), len(src.Overlays)) {
		var before, after string
		if i < len(current.Overlays) {
			before = current.Overlays[i].Text
		}
		if i < len(src.Overlays) {
			after = src.Overlays[i].Text
		}
		diffFile(s, fmt.Sprintf("overlay %d", i+1), before, after)
	}
	return nil
}

// diffFile prints the lines of before that are not in after, then the lines of after that are not in before.
func diffFile(s *streams, name, before, after string) {
	if before == after {
		_, _ = fmt.Fprintf(s.out, "%s: equal\n", name)
		return
	}
	_, _ = fmt.Fprintf(s.out, "%s:\n", name)
	oldLines, newLines := strings.Split(before, "\n"), strings.Split(after, "\n")
	for _, line := range oldLines {
		if !slices.Contains(newLines, line) {
			_, _ = fmt.Fprintf(s.out, "- %s\n", line)
		}
	}
	for _, line := range newLines {
		if !slices.Contains(oldLines, line) {
			_, _ = fmt.Fprintf(s.out, "+ %s\n", line)
		}
	}
}

type configApplyCmd struct {
	adminFlags
	sourceFlags
	Edited   kwid.Revision `required:"" help:"Revision on which the declaration is based; 0 for the first one."`
	ChangeID string        `help:"ID of this change; repeat the command with the same ID to learn the outcome after a lost response."`
}

// Run applies the declaration and waits until it is in force everywhere, up to 90% of the request timeout.
func (c *configApplyCmd) Run(s *streams) error {
	src, _, err := c.load()
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	body := kwcontrol.ConfigBody{
		Revision: c.Edited,
		ChangeID: c.ChangeID,
		Base:     kwcontrol.FileBody(src.Base),
		WaitMS:   (c.Timeout - c.Timeout/10).Milliseconds(),
	}
	for _, o := range src.Overlays {
		body.Overlays = append(body.Overlays, kwcontrol.FileBody(o))
	}
	var out kwcontrol.ApplyReply
	if err := c.call(http.MethodPost, "/admin/config", body, &out); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "change %s accepted as revision %d; in force everywhere: %t\n", c.ChangeID, out.Revision, out.InForce)
	return nil
}

type configShowCmd struct {
	adminFlags
}

// Run prints the files of the declaration in force.
func (c *configShowCmd) Run(s *streams) error {
	var out kwcontrol.ConfigBody
	if err := c.call(http.MethodGet, "/admin/config", nil, &out); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "# revision %d\n# base %s\n%s\n", out.Revision, out.Base.Name, out.Base.Text)
	for _, o := range out.Overlays {
		_, _ = fmt.Fprintf(s.out, "# overlay %s\n%s\n", o.Name, o.Text)
	}
	return nil
}
