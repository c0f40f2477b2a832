package kwloadtest

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"gonum.org/v1/gonum/stat"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/io/kwagent"
	"knapweedproxy/io/kwagententry"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwdemo"
	"knapweedproxy/io/kwquic"
)

// IdleCost is the cost of an idle fleet: CPU in seconds per second, and sent plus received bytes per agent, per entry
// and for the control process.
type IdleCost struct {
	Agents                int
	Entries               int
	CPU                   float64
	HeapMB                float64
	AgentBytesPerSecond   float64
	EntryBytesPerSecond   float64
	ControlBytesPerSecond float64
}

// idleSizes returns the fleet sizes to measure: three numbers of agents and three of entries, with the other one fixed.
func idleSizes() []IdleCost {
	return []IdleCost{
		{Agents: 20, Entries: 2},
		{Agents: 80, Entries: 2},
		{Agents: 160, Entries: 2},
		{Agents: 20, Entries: 12},
		{Agents: 20, Entries: 32},
	}
}

// MeasureIdleCost measures an idle fleet of each size, with the timing of a deployed fleet, and prints the results and
// linear fits over the numbers of agents and entries.
func MeasureIdleCost(w io.Writer, window time.Duration) error {
	var points []IdleCost
	_, _ = fmt.Fprintln(w, "agents entries  cpu-s/s  heap-MB  agent-B/s  entry-B/s  control-B/s")
	for _, size := range idleSizes() {
		p, err := measureIdle(size, window)
		if err != nil {
			return err
		}
		points = append(points, p)
		_, _ = fmt.Fprintf(w, "%6d %7d  %.5f  %7.2f  %9.0f  %9.0f  %11.0f\n", p.Agents, p.Entries, p.CPU, p.HeapMB, p.AgentBytesPerSecond, p.EntryBytesPerSecond, p.ControlBytesPerSecond)
	}
	varyingAgents, varyingEntries := points[:3], []IdleCost{points[0], points[3], points[4]}
	agents := func(p IdleCost) float64 { return float64(p.Agents) }
	entries := func(p IdleCost) float64 { return float64(p.Entries) }
	fit := func(name string, points []IdleCost, x, y func(IdleCost) float64) {
		var xs, ys []float64
		for _, p := range points {
			xs = append(xs, x(p))
			ys = append(ys, y(p))
		}
		intercept, slope := stat.LinearRegression(xs, ys, nil, false)
		_, _ = fmt.Fprintf(w, "%-44s slope %.6g  base %.6g  r2 %.3f\n", name, slope, intercept, stat.RSquared(xs, ys, nil, intercept, slope))
	}
	fit("cpu seconds a second and agent", varyingAgents, agents, func(p IdleCost) float64 { return p.CPU })
	fit("cpu seconds a second and entry", varyingEntries, entries, func(p IdleCost) float64 { return p.CPU })
	fit("heap MB an agent, both sides", varyingAgents, agents, func(p IdleCost) float64 { return p.HeapMB })
	fit("heap MB an entry, both sides", varyingEntries, entries, func(p IdleCost) float64 { return p.HeapMB })
	fit("entry bytes a second and endpoint", varyingAgents, agents, func(p IdleCost) float64 { return p.EntryBytesPerSecond })
	fit("agent bytes a second and agent", varyingAgents, agents, func(p IdleCost) float64 { return p.AgentBytesPerSecond })
	return nil
}

func measureIdle(size IdleCost, window time.Duration) (IdleCost, error) {
	folder, err := os.MkdirTemp("", "knapweedproxy-idle-")
	if err != nil {
		return size, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := kwdemo.DefaultConfig(folder, logr.Discard())
	cfg.Stages = cfg.Stages[:1]
	cfg.Stages[0].Servers = 0
	cfg.RecordsServers = size.Agents
	cfg.Entries = size.Entries
	cfg.Timing = kwcontrol.DefaultTiming()
	cfg.AgentAnnounceInterval = kwagent.DefaultAnnounceInterval
	cfg.ViewRenewInterval = kwagententry.DefaultViewRenewInterval
	cfg.ViewLease = kwagententry.DefaultViewLease
	cfg.Base = kwdemo.BaseTOML(cfg.Layers, maxInFlight)
	cfg.Overlay = kwdemo.OverlayTOML(cfg.Site, nil, size.Agents)
	f, err := kwdemo.New(cfg)
	if err != nil {
		return size, err
	}
	defer f.Close()
	return measureFleet(f, size, window), nil
}

// settleTime is how long a new fleet runs before it is measured.
const settleTime = 3 * time.Second

func measureFleet(f *kwdemo.Fleet, p IdleCost, window time.Duration) IdleCost {
	time.Sleep(settleTime)
	agents, entries, control := traffic(f)
	cpu := cpuSeconds()
	time.Sleep(window)
	p.CPU = (cpuSeconds() - cpu) / window.Seconds()
	agentsAfter, entriesAfter, controlAfter := traffic(f)
	rate := func(after, before kwquic.Traffic, n int) float64 {
		return float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes) / window.Seconds() / float64(n)
	}
	p.AgentBytesPerSecond = rate(agentsAfter, agents, p.Agents)
	p.EntryBytesPerSecond = rate(entriesAfter, entries, p.Entries)
	p.ControlBytesPerSecond = rate(controlAfter, control, 1)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.HeapMB = float64(m.HeapAlloc+m.StackInuse) / (1 << 20)
	return p
}

// traffic returns the sums of the traffic of all agents, entries and control processes.
func traffic(f *kwdemo.Fleet) (agents, entries, control kwquic.Traffic) {
	add := func(sum *kwquic.Traffic, t kwquic.Traffic) {
		sum.SentBytes += t.SentBytes
		sum.ReceivedBytes += t.ReceivedBytes
	}
	for _, s := range f.RecordsServers {
		add(&agents, s.Agent.Traffic())
	}
	for _, e := range f.Entries {
		add(&entries, e.Traffic())
	}
	for _, c := range f.Controls {
		add(&control, c.Traffic())
	}
	return agents, entries, control
}

// cpuSeconds returns the CPU time of this process, in seconds.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
