package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwapp"
	"knapweedproxy/io/kwdemo"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/platform/kwplatformtest"
)

type demoCmd struct {
	Serve      bool `help:"Stay up and print addresses, a token and commands to try."`
	JSON       bool `help:"With --serve: print one JSON line once ready, for scripts."`
	Timeline   bool `help:"Print every event of the time line, not only the main ones."`
	NoTimeline bool `help:"Leave the time line out."`
	Platform   bool `help:"Play on a stand-in of the users' platform instead."`
	Controls   int  `default:"1" help:"Number of control processes, 1 to 5."`
	Verbose    bool `help:"Write detailed logs to standard error."`
}

const maxDemoControls = 5

// Run plays the demonstration or serves it.
func (c *demoCmd) Run(s *streams) error {
	if c.JSON && !c.Serve {
		return kwcode.New(kwcode.Usage, "--json goes with --serve")
	}
	if c.Controls < 1 || c.Controls > maxDemoControls {
		return kwcode.New(kwcode.Usage, "--controls: want 1 to %d", maxDemoControls)
	}
	folder, err := os.MkdirTemp("", "knapweedproxy-demo-")
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if c.Platform {
		return playPlatform(folder, s.out)
	}
	log := logr.Discard()
	if c.Verbose {
		log = kwapp.NewLogger(kwapp.Options{Verbose: true})
	}
	cfg := kwdemo.DefaultConfig(folder, log)
	cfg.Controls = c.Controls
	fleet, err := kwdemo.New(cfg)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if c.Serve {
		return c.serve(fleet, s.out)
	}
	failed := kwdemo.RunScript(fleet, s.out)
	if !c.NoTimeline {
		if err := c.timeline(fleet, s.out); err != nil {
			return err
		}
	}
	return failed
}

// playPlatform plays the demonstration with the deployed roles.
func playPlatform(folder string, w io.Writer) error {
	ctx := context.Background()
	site, err := kwplatformtest.NewSite(ctx, "demo", folder, "rennes", "quimper", "saint-brieuc")
	if site != nil {
		defer site.Close()
	}
	if err != nil {
		return kwcode.FromError(err)
	}
	return kwplatformtest.Play(ctx, site, w)
}

func (c *demoCmd) timeline(f *kwdemo.Fleet, w io.Writer) error {
	records := f.Timeline()
	if !c.Timeline {
		records = mainEvents(records)
	}
	_, _ = fmt.Fprintln(w, "\n== time line")
	return kwevent.WriteText(w, records)
}

// mainEvents leaves out the events that only detailed logs hold.
func mainEvents(records []kwevent.Record) []kwevent.Record {
	var out []kwevent.Record
	for _, r := range records {
		if kwevent.Describe(r.ID).Level == 0 {
			out = append(out, r)
		}
	}
	return out
}

// serveInfo is the JSON line of demo --serve --json.
type serveInfo struct {
	Entries    []string           `json:"entries"`
	Model      kwid.ModelName     `json:"model"`
	Workspaces []kwdemo.Workspace `json:"workspaces"`
	Services   []serveService     `json:"services"`
	StandIns   []string           `json:"stand-ins"`
	Admin      string             `json:"admin"`
	Admins     []string           `json:"admins"`
	Engines    []string           `json:"engines"`
}

type serveService struct {
	Name   kwid.ServiceName `json:"name"`
	Lookup serveCall        `json:"lookup"`
	Write  serveCall        `json:"write"`
}

type serveCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

func describeFleet(f *kwdemo.Fleet) serveInfo {
	out := serveInfo{
		Model:      kwdemo.ModelName,
		Workspaces: kwdemo.Workspaces(),
		Admin:      f.AdminURLs()[0],
		Admins:     f.AdminURLs(),
	}
	prefix := "/services/" + string(kwdemo.ServiceName)
	out.Services = []serveService{{
		Name:   kwdemo.ServiceName,
		Lookup: serveCall{Method: http.MethodGet, Path: prefix + "/runs/d20"},
		Write:  serveCall{Method: http.MethodPost, Path: prefix + "/alerts", Body: `{"section":"D20","grip":0.31}`},
	}}
	for _, e := range f.Entries {
		out.Entries = append(out.Entries, e.URL())
	}
	// The records servers share one ledger, so one address tells of all writes.
	out.StandIns = []string{f.RecordsServers[0].Fake.CountsURL()}
	for _, e := range f.Engines {
		out.Engines = append(out.Engines, e.Fake.URL())
	}
	return out
}

func (c *demoCmd) serve(f *kwdemo.Fleet, w io.Writer) error {
	interrupt := onInterrupt()
	info := describeFleet(f)
	if c.JSON {
		if err := json.NewEncoder(w).Encode(info); err != nil {
			return kwcode.New(kwcode.OperationFailed, "%v", err)
		}
	} else {
		printServe(w, info)
	}
	<-interrupt
	return nil
}

func printServe(w io.Writer, info serveInfo) {
	entry, token := info.Entries[0], info.Workspaces[0].Token
	_, _ = fmt.Fprintf(w, "entries:  %v\nmodel:    %s\nadmin:    %s\ntoken:    %s\n\n", info.Entries, info.Model, info.Admin, token)
	_, _ = fmt.Fprintf(w, "Ask the model:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"summarise section D20\"}]}'\n\n", entry, token, info.Model)
	call := info.Services[0]
	_, _ = fmt.Fprintf(w, "Look a record up:\n  curl %s%s -H 'Authorization: Bearer %s'\n\n", entry, call.Lookup.Path, token)
	_, _ = fmt.Fprintf(w, "Write a record once, however often this is sent:\n  curl %s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: alert-1' -d '%s'\n\n", entry, call.Write.Path, token, call.Write.Body)
	_, _ = fmt.Fprintf(w, "See how often each write ran:\n  curl %s\n\nSee the fleet:\n  knapweedproxy status --admin %s\n\nInterrupt to stop.\n", info.StandIns[0], info.Admin)
}
