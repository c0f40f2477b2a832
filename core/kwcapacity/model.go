package kwcapacity

import (
	"fmt"
	"io"
)

// Target is the fleet size to calculate for and the limits that users set for it.
type Target struct {
	Entries           float64 `toml:"entries"`
	Endpoints         float64 `toml:"endpoints"`
	Accelerators      float64 `toml:"accelerators"`
	Workspaces        float64 `toml:"workspaces"`
	Models            float64 `toml:"models"`
	RequestsPerSecond float64 `toml:"requests-per-second"`
	TokensPerSecond   float64 `toml:"tokens-per-second"`
	ChangesPerDay     float64 `toml:"changes-per-day"`
	RestartsPerDay    float64 `toml:"restarts-per-day"`
	CoreShare         float64 `toml:"core-share"`
	MemoryMB          float64 `toml:"memory-mb"`
	BytesPerSecond    float64 `toml:"bytes-per-second"`
	InForceSeconds    float64 `toml:"in-force-seconds"`
	ControlVMs        float64 `toml:"control-vms"`
	FirstTokenMS      float64 `toml:"first-token-ms"`
	BetweenTokensMS   float64 `toml:"between-tokens-ms"`
}

// UnitCosts are measured costs per unit of load or size; capacity --measure prints them.
type UnitCosts struct {
	AgentBytesPerSecond            float64 `toml:"agent-bytes-per-second"`
	EntryBytesPerSecond            float64 `toml:"entry-bytes-per-second"`
	EntryBytesPerSecondPerEndpoint float64 `toml:"entry-bytes-per-second-and-endpoint"`
	AgentCPU                       float64 `toml:"agent-and-control-cpu-seconds-per-second-and-agent"`
	EntryCPU                       float64 `toml:"entry-and-control-cpu-seconds-per-second-and-entry"`
	ProcessMB                      float64 `toml:"process-base-mb"`
	AgentMB                        float64 `toml:"agent-role-mb"`
	EntryMB                        float64 `toml:"entry-role-mb"`
	ConnectionKBPerSide            float64 `toml:"connection-kb-a-side"`
	ViewKBPerEndpoint              float64 `toml:"view-kb-per-endpoint"`
	ViewKBPerWorkspace             float64 `toml:"view-kb-per-workspace"`
	DeclarationBytesPerWorkspace   float64 `toml:"declaration-bytes-per-workspace"`
	ViewBuildMS                    float64 `toml:"view-build-ms-at-target"`
	ChainChoiceMicros              float64 `toml:"chain-choice-us-at-target"`
	JournalRowBytes                float64 `toml:"journal-row-bytes"`
	CommitsPerSecond               float64 `toml:"commits-per-second"`
	RestartMSPerThousandRows       float64 `toml:"restart-ms-per-thousand-rows"`
}

// Inputs are the target, the unit costs and the protocol timings.
type Inputs struct {
	Target    Target          `toml:"target"`
	UnitCosts UnitCosts       `toml:"slopes"`
	Timings   ProtocolTimings `toml:"spans"`
}

// ProtocolTimings are the settings that decide how soon a change is in force.
type ProtocolTimings struct {
	ViewLeaseSeconds   float64 `toml:"view-lease-seconds"`
	EntryLeaseSeconds  float64 `toml:"entry-lease-seconds"`
	ElectionMaxSeconds float64 `toml:"election-max-seconds"`
	GatherSeconds      float64 `toml:"gather-seconds"`
}

// Verdict says whether a row meets its bound.
type Verdict string

const (
	// MetByMeasurement rows were measured at the target size, on one machine.
	MetByMeasurement Verdict = "met by measurement"
	// MetByCalculation rows are calculated from unit costs and not measured at the target size.
	MetByCalculation Verdict = "met on paper"
	// NotMet rows exceed their bound.
	NotMet Verdict = "not met"
)

// Row is one metric at the target size, compared with its bound; a Bound of 0 means that there is none.
type Row struct {
	Role       string
	Metric     string
	Value      float64
	Bound      float64
	Unit       string
	Verdict    Verdict
	Derivation string
}

const (
	secondsPerDay = 86_400
	kbPerMB       = 1024
	bytesPerKB    = 1024
	percent       = 100
	// journalRetentionHours is how long completed journal rows are kept.
	journalRetentionHours = 24
	// endpointRowBytes is the encoded size of one endpoint in a view.
	endpointRowBytes = 86
	// maxJournalRows is the size limit of the journal.
	maxJournalRows = 200_000
	// workspacesPerChange is how many workspaces one change of the declaration affects.
	workspacesPerChange = 1
	// writeShare is the fraction of requests that go through the journal.
	writeShare = 0.01
)

// row returns the Row of a metric, with the verdict on its bound if it has one.
func row(role, metric string, value, bound float64, unit, derivation string) Row {
	r := Row{Role: role, Metric: metric, Value: value, Bound: bound, Unit: unit, Derivation: derivation, Verdict: MetByCalculation}
	if bound > 0 && value > bound {
		r.Verdict = NotMet
	}
	return r
}

// Compute returns each role's metrics at the target size.
func (in Inputs) Compute() []Row {
	t, c := in.Target, in.UnitCosts
	var rows []Row
	rows = append(rows, in.agent()...)
	rows = append(rows, in.entry()...)
	rows = append(rows, in.control()...)
	longestSeconds := in.Timings.EntryLeaseSeconds + in.Timings.ElectionMaxSeconds + in.Timings.GatherSeconds
	return append(
		rows,
		row("fleet", "a change in force everywhere, entry cut off", in.Timings.EntryLeaseSeconds, t.InForceSeconds, "s", "entry lease"),
		row("fleet", "a change in force everywhere, leader lost too", longestSeconds, t.InForceSeconds, "s", "entry lease + election + gather"),
		row("fleet", "chain choices", t.RequestsPerSecond/t.Entries*c.ChainChoiceMicros/1e6*percent, 0, "% of a core an entry", "requests an entry x choice"),
	)
}

func (in Inputs) agent() []Row {
	t, c := in.Target, in.UnitCosts
	connections := 2.0
	return []Row{
		row("agent", "control traffic", c.AgentBytesPerSecond, t.BytesPerSecond, "B/s", "announcement once a second"),
		row("agent", "control CPU", c.AgentCPU*percent, t.CoreShare*percent, "% of a core", "slope, control's part included"),
		row("agent", "memory for control", c.ProcessMB+c.AgentMB+connections*c.ConnectionKBPerSide/kbPerMB, t.MemoryMB, "MB", "process + role + 2 connections"),
	}
}

func (in Inputs) entry() []Row {
	t, c := in.Target, in.UnitCosts
	bytesPerChange := workspacesPerChange * c.DeclarationBytesPerWorkspace
	firstViewBytes := t.Workspaces*c.DeclarationBytesPerWorkspace + t.Endpoints*endpointRowBytes
	traffic := c.EntryBytesPerSecond + c.EntryBytesPerSecondPerEndpoint*t.Endpoints
	viewChanges := (t.ChangesPerDay + 2*t.RestartsPerDay) / secondsPerDay
	memory := c.ProcessMB + c.EntryMB + (t.Endpoints*c.ViewKBPerEndpoint+t.Workspaces*c.ViewKBPerWorkspace)/kbPerMB
	return []Row{
		row("entry", "control traffic, steady", traffic, t.BytesPerSecond, "B/s", "confirmation and load table once a second"),
		row("entry", "control traffic of changes, day's mean", t.ChangesPerDay/secondsPerDay*bytesPerChange, t.BytesPerSecond-traffic, "B/s", "patch of one changed workspace a change"),
		row("entry", "first view after a start", firstViewBytes/bytesPerKB, 0, "KB", "whole declaration and endpoint table, once a start"),
		row("entry", "control CPU, steady", c.EntryCPU*percent, t.CoreShare*percent, "% of a core", "slope, control's part included"),
		row("entry", "control CPU of view changes, day's mean", viewChanges*c.ViewBuildMS/1000*percent, t.CoreShare*percent, "% of a core", "view rebuilt a change"),
		row("entry", "memory for control", memory, t.MemoryMB, "MB", "process + role + view"),
		row("entry", "memory with a connection to every endpoint", memory+t.Endpoints*c.ConnectionKBPerSide/kbPerMB, t.MemoryMB, "MB", "plus connections"),
	}
}

func (in Inputs) control() []Row {
	t, c := in.Target, in.UnitCosts
	traffic := t.Endpoints*c.AgentBytesPerSecond + t.Entries*(c.EntryBytesPerSecond+c.EntryBytesPerSecondPerEndpoint*t.Endpoints)
	cpu := t.Endpoints*c.AgentCPU + t.Entries*c.EntryCPU
	writes := t.RequestsPerSecond * writeShare
	rows := writes * journalRetentionHours * 3600
	return []Row{
		row("control leader", "traffic", traffic/bytesPerKB, 0, "KB/s", "agents + entries; a VM set aside, no bound a node"),
		row("control leader", "CPU", cpu*percent, percent, "% of a core", "slopes, agents' and entries' parts included"),
		row("control leader", "journal commits", 2*writes, c.CommitsPerSecond, "a second", fmt.Sprintf("claim and outcome of %.0f writes a second", writes)),
		row("control leader", "journal rows kept", rows, maxJournalRows, "rows", "ended rows are kept for 24 h"),
		row("control leader", "journal kept a day", rows*c.JournalRowBytes/bytesPerKB/kbPerMB, 0, "MB", "rows x bytes; a VM set aside, no bound a node"),
		row("control leader", "restart with a day's journal", rows/1000*c.RestartMSPerThousandRows/1000, 0, "s", "rows x slope"),
		row("control", "VMs set aside", 5, t.ControlVMs, "VMs", "5 voters over 5 availability zones"),
	}
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, rows []Row) {
	_, _ = fmt.Fprint(w, "| role | figure | at the target | bound | | worked out as |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		bound := "-"
		verdict := ""
		if r.Bound > 0 {
			bound = fmt.Sprintf("%.4g %s", r.Bound, r.Unit)
			verdict = string(r.Verdict)
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %.3g %s | %s | %s | %s |\n", r.Role, r.Metric, r.Value, r.Unit, bound, verdict, r.Derivation)
	}
}
