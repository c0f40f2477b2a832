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
	Serve      bool `help:"Keep the fleet running and print its addresses, a token and commands to try."`
	JSON       bool `help:"With --serve: print one line of JSON once the fleet is ready, for scripts."`
	Timeline   bool `help:"Print every event of the time line, not only the main ones."`
	NoTimeline bool `help:"Omit the time line."`
	Platform   bool `help:"Run on a stand-in for the users' platform instead."`
	Controls   int  `default:"1" help:"Number of control processes, 1 to 5."`
	Verbose    bool `help:"Write detailed logs to standard error."`
}

const maxDemoControls = 5

// Run runs the demonstration, or keeps its fleet running with --serve.
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
		return runPlatformDemo(folder, s.out)
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
	scriptErr := kwdemo.RunScript(fleet, s.out)
	if !c.NoTimeline {
		if err := c.printTimeline(fleet, s.out); err != nil {
			return err
		}
	}
	return scriptErr
}

// runPlatformDemo runs the demonstration with the roles of the deployed program.
func runPlatformDemo(folder string, w io.Writer) error {
	ctx := context.Background()
	testbed, err := kwplatformtest.NewTestbed(ctx, "demo", folder, "rennes", "quimper", "saint-brieuc")
	if testbed != nil {
		defer testbed.Close()
	}
	if err != nil {
		return kwcode.FromError(err)
	}
	return kwplatformtest.RunDemo(ctx, testbed, w)
}

func (c *demoCmd) printTimeline(f *kwdemo.Fleet, w io.Writer) error {
	records := f.Timeline()
	if !c.Timeline {
		records = mainEvents(records)
	}
	_, _ = fmt.Fprintln(w, "\n== time line")
	return kwevent.WriteText(w, records)
}

// mainEvents removes the events that only verbose logs contain.
func mainEvents(records []kwevent.Record) []kwevent.Record {
	var out []kwevent.Record
	for _, r := range records {
		if kwevent.Describe(r.ID).Level == 0 {
			out = append(out, r)
		}
	}
	return out
}

// serveInfo is the JSON line that demo --serve --json prints.
type serveInfo struct {
	Entries    []string           `json:"entries"`
	Model      kwid.ModelName     `json:"model"`
	Workspaces []kwdemo.Workspace `json:"workspaces"`
	Services   []serviceInfo      `json:"services"`
	StandIns   []string           `json:"stand-ins"`
	Admin      string             `json:"admin"`
	Admins     []string           `json:"admins"`
	Engines    []string           `json:"engines"`
}

type serviceInfo struct {
	Name   kwid.ServiceName `json:"name"`
	Lookup callInfo         `json:"lookup"`
	Write  callInfo         `json:"write"`
}

type callInfo struct {
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
	out.Services = []serviceInfo{{
		Name:   kwdemo.ServiceName,
		Lookup: callInfo{Method: http.MethodGet, Path: prefix + "/runs/d20"},
		Write:  callInfo{Method: http.MethodPost, Path: prefix + "/alerts", Body: `{"section":"D20","grip":0.31}`},
	}}
	for _, e := range f.Entries {
		out.Entries = append(out.Entries, e.URL())
	}
	// The records servers share one record store, so the counts of any of them cover all writes.
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
		printServeInfo(w, info)
	}
	<-interrupt
	return nil
}

func printServeInfo(w io.Writer, info serveInfo) {
	entry, token := info.Entries[0], info.Workspaces[0].Token
	_, _ = fmt.Fprintf(w, "entries:  %v\nmodel:    %s\nadmin:    %s\ntoken:    %s\n\n", info.Entries, info.Model, info.Admin, token)
	_, _ = fmt.Fprintf(w, "Ask the model:\n  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"summarise section D20\"}]}'\n\n", entry, token, info.Model)
	call := info.Services[0]
	_, _ = fmt.Fprintf(w, "Look a record up:\n  curl %s%s -H 'Authorization: Bearer %s'\n\n", entry, call.Lookup.Path, token)
	_, _ = fmt.Fprintf(w, "Write a record once, however often this is sent:\n  curl %s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: alert-1' -d '%s'\n\n", entry, call.Write.Path, token, call.Write.Body)
	_, _ = fmt.Fprintf(w, "See how often each write ran:\n  curl %s\n\nSee the fleet:\n  knapweedproxy status --admin %s\n\nInterrupt to stop.\n", info.StandIns[0], info.Admin)
}
