package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwevent"
)

type statusCmd struct {
	adminFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the state of the leader, or of another control process if the leader does not respond, and an error for each
// process that does not respond.
func (c *statusCmd) Run(s *streams) error {
	var leader *kwcontrol.StatusReply
	var lastErr error
	for _, base := range c.Admin {
		var out kwcontrol.StatusReply
		if err := c.adminClient().CallOne(base, http.MethodGet, "/admin/status", nil, &out); err != nil {
			lastErr = err
			_, _ = fmt.Fprintf(s.err, "%s: %v\n", base, err)
			continue
		}
		if leader == nil || out.Leading {
			leader = &out
		}
	}
	if leader == nil {
		return lastErr
	}
	if c.JSON {
		return writeJSON(s.out, leader)
	}
	printStatus(s.out, leader)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return kwcode.New(kwcode.OperationFailed, "%v", err)
	}
	return nil
}

func printStatus(w io.Writer, st *kwcontrol.StatusReply) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	printf("control %s leading=%t term=%d voters=%v learners=%v\n", st.Node, st.Leading, st.Log.Term, st.Log.Members.Voters, st.Log.Members.Learners)
	printf("revision %d  fence %d  open journal rows %d  key expires %s\n", st.Revision, st.FencingToken, st.OpenRows, st.KeyExpiry.Format(time.RFC3339))
	if len(st.SilentVoters) > 0 {
		printf("NOTICE: voters that do not answer the leader: %v\n", st.SilentVoters)
	}
	if st.Notice != "" {
		printf("NOTICE: %s\n", st.Notice)
	}
	for _, o := range st.Owners {
		printf("writes of %s: site %s next %q\n", o.Workspace, o.Site, o.NextSite)
	}
	printf("\nentries:\n")
	for _, e := range st.Entries {
		printf("  %-16s site=%s revision=%d\n", e.ID, e.Site, e.Revision)
	}
	printf("\nendpoints:\n")
	for _, e := range st.Endpoints {
		holds := "service " + string(e.Service)
		if e.Model != "" {
			holds = fmt.Sprintf("%s layers %d-%d", e.Model, e.Layers.From, e.Layers.To-1)
		}
		printf("  %-20s %-8s %s/%s  %s  load=%d\n", e.ID, e.State, e.Site, e.Zone, holds, e.Load)
	}
}

type drainCmd struct {
	adminFlags
	Endpoint kwid.EndpointID `arg:"" help:"ID of the endpoint."`
	Off      bool            `help:"Put the endpoint back into service."`
}

// Run sets or clears the draining flag of the endpoint.
func (c *drainCmd) Run(s *streams) error {
	var out kwstatemachine.Drain
	if err := c.call(http.MethodPost, "/admin/drain", kwstatemachine.Drain{Endpoint: c.Endpoint, On: !c.Off}, &out); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "%s draining: %t\n", out.Endpoint, out.On)
	return nil
}

type moveCmd struct {
	adminFlags
	Workspace kwid.WorkspaceName `arg:"" help:"Name of the workspace."`
	To        kwid.Site          `arg:"" help:"Site that is to run the writes of the workspace."`
}

// Run starts the move.
func (c *moveCmd) Run(s *streams) error {
	var out kwstatemachine.Owner
	if err := c.call(http.MethodPost, "/admin/move", kwstatemachine.Move{Workspace: c.Workspace, To: c.To}, &out); err != nil {
		return err
	}
	if out.NextSite != "" {
		_, _ = fmt.Fprintf(s.out, "writes of %s move to %s once those in progress have ended; see the status command\n", out.Workspace, out.NextSite)
		return nil
	}
	_, _ = fmt.Fprintf(s.out, "writes of %s run at %s\n", out.Workspace, out.Site)
	return nil
}

type journalCmd struct {
	List   journalListCmd   `cmd:"" help:"List journal rows."`
	Show   journalShowCmd   `cmd:"" help:"Show one journal row."`
	Settle journalSettleCmd `cmd:"" help:"Settle a row whose outcome is unknown."`
}

type journalListCmd struct {
	adminFlags
	State string `enum:",granted,done,fenced,unknown" default:"" help:"List only the rows in this state."`
}

// journalRows returns the journal rows in a state, or all of them if state is empty.
func (f adminFlags) journalRows(state string) ([]kwstatemachine.JournalRow, error) {
	var rows []kwstatemachine.JournalRow
	err := f.call(http.MethodGet, "/admin/journal?state="+url.QueryEscape(state), nil, &rows)
	return rows, err
}

// Run prints the journal rows.
func (c *journalListCmd) Run(s *streams) error {
	rows, err := c.journalRows(c.State)
	if err != nil {
		return err
	}
	for _, r := range rows {
		_, _ = fmt.Fprintf(s.out, "%-8s %s %s %s %s attempt=%d at=%s %s\n", r.State, r.Scope.Workspace, r.Scope.Service, r.Scope.Key, r.Call, r.Grant.Attempt, r.Grant.Endpoint, r.Note)
	}
	return nil
}

// scopeArgs identify a journal row.
type scopeArgs struct {
	Workspace kwid.WorkspaceName `arg:"" help:"Name of the workspace."`
	Service   kwid.ServiceName   `arg:"" help:"Name of the service."`
	Key       string             `arg:"" help:"Idempotency key, as journal list shows it."`
}

func (a scopeArgs) scope() kwstatemachine.Scope {
	return kwstatemachine.Scope{Workspace: a.Workspace, Service: a.Service, Key: a.Key}
}

type journalShowCmd struct {
	adminFlags
	scopeArgs
}

// Run prints the journal row as JSON.
func (c *journalShowCmd) Run(s *streams) error {
	rows, err := c.journalRows("")
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.Scope == c.scope() {
			return writeJSON(s.out, r)
		}
	}
	return kwcode.New(kwcode.NotFound, "no journal row for key %q", c.Key)
}

type journalSettleCmd struct {
	adminFlags
	scopeArgs
	Verdict  kwstatemachine.Verdict `required:"" enum:"ran,not-run" help:"Whether the call has run: ran, or not-run, after which the next resend runs."`
	Operator string                 `required:"" help:"Name of the operator who found out."`
}

// Run settles the journal row.
func (c *journalSettleCmd) Run(s *streams) error {
	var row kwstatemachine.JournalRow
	body := kwstatemachine.Settle{Scope: c.scope(), Verdict: c.Verdict, Operator: c.Operator}
	if err := c.call(http.MethodPost, "/admin/journal/settle", body, &row); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "key %s is now %s\n", row.Scope.Key, row.State)
	return nil
}

type timelineCmd struct {
	Files []string `arg:"" type:"existingfile" help:"The events files of the processes."`
	JSON  bool     `help:"Print JSON lines."`
}

// Run merges the events files into one time line.
func (c *timelineCmd) Run(s *streams) error {
	var lists [][]kwevent.Record
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return kwcode.New(kwcode.SettingsFile, "%v", err)
		}
		records, err := kwevent.ReadRecords(path, file)
		_ = file.Close()
		if err != nil {
			return err
		}
		lists = append(lists, records)
	}
	merged := kwevent.MergeRecords(lists...)
	if c.JSON {
		return kwevent.WriteJSON(s.out, merged)
	}
	return kwevent.WriteText(s.out, merged)
}

type versionCmd struct{}

// Version is the release number.
const Version = "0.1.0"

// Run prints the version.
func (c *versionCmd) Run(s *streams) error {
	_, _ = fmt.Fprintf(s.out, "knapweedproxy %s\n", Version)
	return nil
}
