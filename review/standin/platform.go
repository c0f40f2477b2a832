package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine; every machine has a loopback address of its own.
const (
	frontPort         = 18227
	readyPort         = 18220
	controlPort       = 18229
	firstInternalPort = 17340
	lastInternalPort  = 17355
	entryMetricsPort  = 19464
	ctrlMetricsPort   = 19465
	serverPort        = 18080
)

// Bounds and limits of the settings file, those of the small deployments.
const (
	heartbeatInterval = 1200 * time.Millisecond
	configApply       = 2 * time.Second
	catchUp           = 4 * time.Second
	recoverTime       = 12 * time.Second
	memoryMB          = 284
	diskMB            = 64
	restartDelay      = 150 * time.Millisecond
	gracePeriod       = 8 * time.Second
)

// platform starts the processes of a deployment and restarts those that end, as the users' platform does.
type platform struct {
	program  string
	folder   string
	subnet   string
	machines []*machine
	seeds    []string
	record   *record
}

// machine is one machine with its two roles.
type machine struct {
	name, zone, ip string
	// dataDir is empty on a machine without a disk.
	dataDir   string
	bootstrap bool
	control   *process
	entry     *process
}

// newPlatform prepares machines, the first disks of which have a disk and the control role; all of them run an entry.
func newPlatform(r *record, folder string, count, disks int) (*platform, error) {
	p := &platform{program: "target/knapweedproxyd", folder: folder, record: r}
	for range 50 {
		p.subnet = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if p.portsFree(count) {
			break
		}
	}
	for i := range count {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%3), ip: p.ip(i + 1), bootstrap: true}
		if i < disks {
			m.dataDir = filepath.Join(folder, "data", m.name)
			if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
				return nil, err
			}
			m.control = &process{platform: p, machine: m, role: "control", metrics: m.address(ctrlMetricsPort)}
			p.seeds = append(p.seeds, m.address(controlPort))
		}
		m.entry = &process{platform: p, machine: m, role: "entry", metrics: m.address(entryMetricsPort)}
		p.machines = append(p.machines, m)
	}
	return p, nil
}

// ip returns the loopback address with a number.
func (p *platform) ip(n int) string { return p.subnet + strconv.Itoa(n) }

// portsFree reports whether nothing listens on the ports of the machines.
func (p *platform) portsFree(count int) bool {
	for i := range count {
		for _, port := range []int{frontPort, readyPort, controlPort, firstInternalPort, entryMetricsPort, ctrlMetricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(p.ip(i+1), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// start starts all processes.
func (p *platform) start() {
	for _, m := range p.machines {
		if m.control != nil {
			m.control.start()
		}
		m.entry.start()
	}
	for _, m := range p.machines {
		m.bootstrap = false
	}
}

// stop ends all processes.
func (p *platform) stop() {
	for _, m := range p.machines {
		for _, proc := range []*process{m.control, m.entry} {
			if proc != nil {
				proc.hold()
			}
		}
	}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settings returns the settings file of a process, as the users' pages describe it.
func (p *process) settings() string {
	m := p.machine
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("node: %q\nrole: %q\nclass: \"edge\"\nserves:\n  - %q\nip: %q\nzone: %q\nregion: \"region\"", m.name, p.role, map[string]string{"entry": "edge", "control": "control"}[p.role], m.ip, m.zone)
	line("zones:\n  zone-a: \"region\"\n  zone-b: \"region\"\n  zone-c: \"region\"")
	line("listen:\n  front: %q\n  ready: %q\n  control: %q", m.address(frontPort), m.address(readyPort), m.address(controlPort))
	line("internal_ports:\n  - %d\n  - %d\nseeds:", firstInternalPort, lastInternalPort)
	for _, s := range p.platform.seeds {
		line("  - %q", s)
	}
	line("bootstrap: %v\nloss_counts: %v", m.bootstrap, m.dataDir != "")
	line("limits:\n  cpu_share: 0.72\n  cores: 1\n  memory_mb: %d\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: %d", memoryMB, diskMB)
	if p.role == "control" {
		line("data_dir: %q", m.dataDir)
	}
	line("discovery: \"self_register\"\nentry: \"vip\"\nheartbeat_ms: %d", heartbeatInterval.Milliseconds())
	line("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"layers\"")
	line("tolerate:\n  machines: 1\n  zones: 0\n  regions: 0")
	line("bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8")
	line("  lost_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_stretch_ms: 5000\n  strict_revoke: true\n  revoke_ms: 5000")
	line("  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 204\n  recover_s: 12\n  pass_ms: 120\n  retry_after_s: 0\n  stall_ms: 2000\n  require_fence: false")
	line("config_mode: \"highest\"")
	return b.String()
}

// process is one process of the deployed program.
type process struct {
	platform *platform
	machine  *machine
	role     string
	metrics  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	held   bool
	// ownEnds counts the ends that the test did not cause, killing means that it does.
	ownEnds int
	killing bool
}

// start starts the process unless it runs.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = false
	p.launch()
}

// launch starts the process; the caller holds the lock.
func (p *process) launch() {
	if p.cmd != nil || p.held {
		return
	}
	base := filepath.Join(p.platform.folder, p.machine.name+"-"+p.role)
	if err := os.WriteFile(base+".yaml", []byte(p.settings()), 0o600); err != nil {
		p.platform.record.logf("settings of %s: %v", p.machine.name, err)
		return
	}
	out, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.platform.record.logf("log of %s: %v", p.machine.name, err)
		return
	}
	cmd := exec.Command(p.platform.program, p.role, "--metrics="+p.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "KNAPWEEDPROXY_BOOT=" + base + ".yaml"}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.platform.record.logf("start %s of %s: %v", p.role, p.machine.name, err)
		_ = out.Close()
		return
	}
	p.cmd, p.exited, p.killing = cmd, make(chan struct{}), false
	go p.wait(cmd, p.exited, out)
}

// wait restarts the process after it has ended, unless it is held down.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	p.cmd = nil
	if !p.killing {
		p.ownEnds++
		p.platform.record.logf("the %s process of %s has ended by itself: %v", p.role, p.machine.name, err)
	}
	held := p.held
	close(exited)
	p.mu.Unlock()
	if held {
		return
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.launch()
}

// signal sends a signal to the process if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killing = true
	}
	_ = p.cmd.Process.Signal(s)
}

// hold kills the process and keeps it down until start is called.
func (p *process) hold() {
	p.mu.Lock()
	p.held = true
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

// pid returns the process id, 0 if the process does not run.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// ends returns how often the process has ended by itself.
func (p *process) ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

// residentMB returns the resident memory of the process in binary megabytes, 0 if it does not run.
func (p *process) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// wipe deletes the files of a machine's disk; its control process must be down.
func (m *machine) wipe() error {
	if err := os.RemoveAll(m.dataDir); err != nil {
		return err
	}
	return os.MkdirAll(m.dataDir, 0o700)
}

// leader returns the machine whose control process says last in its log that it leads. The platform stops "the one that acted last";
// the log stands in for its knowledge of that. It decides only which machine is lost.
func (p *platform) leader() (*machine, error) {
	var leader *machine
	latest := 0.0
	for _, m := range p.machines {
		data, err := os.ReadFile(filepath.Join(p.folder, m.name+"-control.log"))
		if err != nil {
			continue
		}
		for _, l := range strings.Split(string(data), "\n") {
			var event struct {
				Msg string  `json:"msg"`
				At  float64 `json:"ts"`
			}
			if json.Unmarshal([]byte(l), &event) == nil && event.Msg == "leader-elected" && event.At > latest {
				leader, latest = m, event.At
			}
		}
	}
	if leader == nil {
		return nil, errors.New("no control process says that it leads")
	}
	return leader, nil
}
