package main

import (
	"cmp"
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

// Bounds of a small deployment, as its sheet gives them.
const (
	heartbeatMS   = 1200
	configApplyMS = 2000
	revokeMS      = 5000
	graceS        = 8
)

const (
	// The ports of a machine, as offsets from the first port of the fleet; that of metrics is increased by the length of the role's name.
	metricsPort   = 12
	entryPort     = 20
	readyPort     = 21
	controlPort   = 22
	portsPerFleet = 40
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 150 * time.Millisecond
	// The machines of a fleet have addresses in one of these loopback networks.
	firstLoopback  = 60
	loopbackRanges = 120
)

// fleet is a small deployment: one machine for each zone, with an entry and a control process on a loopback address of its own.
type fleet struct {
	program, folder string
	network, port   int
	machines        []*machine
}

type machine struct {
	fleet *fleet
	zone  string
	ip    string
	// bootstrap is true for the first start of all processes alone.
	bootstrap      bool
	control, entry *process
}

// newFleet starts all processes of a deployment with some zones.
func newFleet(program, folder string, zones ...string) (*fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	port := min(l.Addr().(*net.TCPAddr).Port, 65535-portsPerFleet)
	_ = l.Close()
	f := &fleet{program: program, folder: folder, network: firstLoopback + os.Getpid()%loopbackRanges, port: port}
	for i, zone := range zones {
		f.machines = append(f.machines, &machine{fleet: f, zone: zone, ip: fmt.Sprintf("127.0.%d.%d", f.network, 10+i), bootstrap: true})
	}
	for _, m := range f.machines {
		m.control, m.entry = newProcess(m, "control"), newProcess(m, "entry")
		if err := cmp.Or(m.control.start(), m.entry.start()); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) controls() []string {
	var out []string
	for _, m := range f.machines {
		out = append(out, m.address(controlPort))
	}
	return out
}

// stop ends all processes.
func (f *fleet) stop() { f.each(func(p *process) { p.end() }) }

// killAll kills all processes at once; they stay down until startAll, which is no first start any more.
func (f *fleet) killAll() {
	f.each(func(p *process) { p.holdDown(true) })
	f.each(func(p *process) { p.signal(syscall.SIGKILL) })
	f.each(func(p *process) { p.awaitExit() })
	for _, m := range f.machines {
		m.bootstrap = false
	}
}

func (f *fleet) startAll() error {
	var failed error
	f.each(func(p *process) {
		p.holdDown(false)
		failed = cmp.Or(failed, p.start())
	})
	return failed
}

// each calls a function with every process.
func (f *fleet) each(do func(*process)) {
	for _, m := range f.machines {
		for _, p := range []*process{m.entry, m.control} {
			if p != nil {
				do(p)
			}
		}
	}
}

func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.port+offset) }

// settings returns the settings file of a role, with the fields of a small deployment.
func (m *machine) settings(role string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node: \"edge-%s-1\"\nrole: %q\nclass: \"edge\"\nserves:\n  - %q\nip: %q\nzone: %q\nregion: \"one\"", m.zone, role,
		map[string]string{"entry": "edge", "control": "control"}[role], m.ip, m.zone)
	line("listen:\n  front: %q\n  ready: %q\n  control: %q", m.address(entryPort), m.address(readyPort), m.address(controlPort))
	line("internal_ports:\n  - %d\n  - %d\nseeds:", m.fleet.port, m.fleet.port+10)
	for _, seed := range m.fleet.controls() {
		line("  - %q", seed)
	}
	line("bootstrap: %v\nloss_counts: true\nlimits:\n  cpu_share: 0.72\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  disk_mb: 64", m.bootstrap)
	if role == "control" {
		line("data_dir: %q", filepath.Join(m.fleet.folder, m.zone+"-data"))
	}
	line("heartbeat_ms: %d\ntolerate:\n  machines: 1\n  zones: 0\n  regions: 0", heartbeatMS)
	line("bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: %d", graceS)
	line("  lost_slack_ms: 200\n  config_apply_ms: %d\n  rollback_slack_ms: 250\n  max_stretch_ms: 5000\n  strict_revoke: true\n  revoke_ms: %d",
		configApplyMS, revokeMS)
	line("  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 204\n  recover_s: 12\n  pass_ms: 120\n  retry_after_s: 0\n  stall_ms: 3000\n  require_fence: false")
	line("config_mode: \"highest\"")
	return b.String()
}

// process is one process of the system. It is started again after it has ended, unless it is held down.
type process struct {
	machine *machine
	role    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	down    bool
	exited  chan struct{}
	// exits counts the ends that this program has not caused.
	exits int
}

func newProcess(m *machine, role string) *process { return &process{machine: m, role: role} }

func (p *process) file(suffix string) string {
	return filepath.Join(p.machine.fleet.folder, p.machine.zone+"-"+p.role+suffix)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.cmd != nil {
		return nil
	}
	if err := os.WriteFile(p.file(".yaml"), []byte(p.machine.settings(p.role)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.machine.fleet.program, p.role, "--metrics="+p.machine.address(metricsPort+len(p.role)))
	cmd.Env = append(os.Environ(), "KNAPWEEDPROXY_BOOT="+p.file(".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	// The process must not outlive this program.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go p.await(cmd, log, p.exited)
	return nil
}

func (p *process) await(cmd *exec.Cmd, log *os.File, exited chan struct{}) {
	_ = cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.cmd = nil
	if !p.down {
		p.exits++
	}
	p.mu.Unlock()
	close(exited)
	time.Sleep(restartDelay)
	_ = p.start()
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// holdDown keeps the process from being started again after its end, or no longer does.
func (p *process) holdDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *process) awaitExit() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.holdDown(true)
	p.signal(syscall.SIGKILL)
	p.awaitExit()
}
