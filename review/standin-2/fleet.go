package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine, as offsets from the first port of the run. All machines use the same ports.
const (
	internalOffset       = 0
	lastInternalOffset   = 8
	frontOffset          = 10
	readyOffset          = 11
	controlOffset        = 12
	entryMetricsOffset   = 13
	controlMetricsOffset = 14
	portCount            = 16
)

const (
	heartbeatMS = 1200
	graceTime   = 8 * time.Second
)

// machine is an edge machine with an entry and a control process, both at a loopback address of its own.
type machine struct {
	zone, ip string
	fleet    *fleet
	control  *process
	entry    *process
}

// fleet is a small deployment: one machine with a disk in each of three zones.
type fleet struct {
	program, folder string
	port            int
	machines        []*machine
	record          *record
	mu              sync.Mutex
	bootstrap       bool
	started         []*process
}

// process is a running role of the deployed program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func newFleet(program, folder string, rec *record) (*fleet, error) {
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, port: port, record: rec, bootstrap: true}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.machines = append(f.machines, &machine{zone: zone, ip: fmt.Sprintf("127.61.%d.10", i+1), fleet: f})
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// freePorts returns the first of some ports that are free on all loopback addresses that the run uses.
func freePorts() (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.61.1.10:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port+portCount < 65535 && allFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no range of free ports")
}

func allFree(port int) bool {
	for i := range 3 {
		for offset := range portCount {
			l, err := net.Listen("tcp", fmt.Sprintf("127.61.%d.10:%d", i+1, port+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.port+offset) }

// start starts both roles of a machine.
func (m *machine) start() error {
	var err error
	if m.control, err = m.launch("control", controlMetricsOffset); err != nil {
		return err
	}
	m.entry, err = m.launch("entry", entryMetricsOffset)
	return err
}

// launch starts a role with the command of the deploy file. The metrics get a loopback address, since all machines share this host.
func (m *machine) launch(role string, metricsOffset int) (*process, error) {
	f := m.fleet
	folder := filepath.Join(f.folder, m.zone, role)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	settings := filepath.Join(folder, "boot.yaml")
	if err := os.WriteFile(settings, []byte(m.settings(role)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(f.program, role, "--metrics="+m.address(metricsOffset))
	cmd.Env = []string{"KNAPWEEDPROXY_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: role + " of " + m.zone, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.mu.Lock()
	f.started = append(f.started, p)
	f.mu.Unlock()
	return p, nil
}

// settings returns the settings file of a role, with the bounds of the small installations.
func (m *machine) settings(role string) string {
	f := m.fleet
	serves := "edge"
	if role == "control" {
		serves = "control"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node: \"edge-%s-1\"\nrole: \"%s\"\nclass: \"edge\"\nserves:\n  - \"%s\"\n", m.zone, role, serves)
	fmt.Fprintf(&b, "ip: \"%s\"\nzone: \"%s\"\nregion: \"region-1\"\n", m.ip, m.zone)
	fmt.Fprintf(&b, "zones:\n  zone-a: \"region-1\"\n  zone-b: \"region-1\"\n  zone-c: \"region-1\"\n")
	b.WriteString("listen:\n")
	if role == "control" {
		fmt.Fprintf(&b, "  control: \"%s\"\n", m.address(controlOffset))
	} else {
		fmt.Fprintf(&b, "  front: \"%s\"\n  ready: \"%s\"\n", m.address(frontOffset), m.address(readyOffset))
	}
	fmt.Fprintf(&b, "internal_ports:\n  - %d\n  - %d\nseeds:\n", f.port+internalOffset, f.port+lastInternalOffset)
	for _, other := range f.machines {
		fmt.Fprintf(&b, "  - \"%s\"\n", other.address(controlOffset))
	}
	fmt.Fprintf(&b, "bootstrap: %v\nloss_counts: true\n", f.bootstrap)
	b.WriteString("limits:\n  cpu_share: 0.72\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 64\n")
	if role == "control" {
		fmt.Fprintf(&b, "data_dir: \"%s\"\n", filepath.Join(f.folder, m.zone, "data"))
	}
	fmt.Fprintf(&b, "discovery: \"self_register\"\nentry: \"vip\"\nheartbeat_ms: %d\n", heartbeatMS)
	b.WriteString("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"layers\"\n")
	b.WriteString("tolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n")
	fmt.Fprintf(&b, "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: %d\n", int(graceTime.Seconds()))
	b.WriteString("  lost_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_stretch_ms: 5000\n  strict_revoke: true\n  revoke_ms: 5000\n")
	b.WriteString("  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 204\n  recover_s: 12\n  pass_ms: 120\n  retry_after_s: 0\n  stall_ms: 3000\n  require_fence: false\n")
	b.WriteString("config_mode: \"highest\"\n")
	return b.String()
}

// controlAddresses returns where servers and the operator call.
func (f *fleet) controlAddresses() []string {
	var out []string
	for _, m := range f.machines {
		out = append(out, m.address(controlOffset))
	}
	return out
}

// killAll kills all processes at the same moment, and starts them again after a while. Their disks are kept.
func (f *fleet) killAll(down time.Duration) error {
	for _, m := range f.machines {
		_, _ = m.control.cmd.Process.Kill(), m.entry.cmd.Process.Kill()
	}
	for _, m := range f.machines {
		<-m.control.done
		<-m.entry.done
	}
	f.bootstrap = false
	time.Sleep(down)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the fleet has started, and waits for them.
func (f *fleet) stop() {
	f.mu.Lock()
	started := f.started
	f.mu.Unlock()
	for _, p := range started {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range started {
		<-p.done
	}
}
