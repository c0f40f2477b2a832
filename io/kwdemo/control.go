package kwdemo

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwkeys"
)

// freeAddresses reserves loopback ports, so that control processes can name each other before they start.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		socket, err := net.ListenPacket("udp", loopback)
		if err != nil {
			return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
		}
		defer func() { _ = socket.Close() }()
		out = append(out, socket.LocalAddr().String())
	}
	return out, nil
}

func (f *Fleet) startControls() error {
	addresses, err := freeAddresses(max(1, f.cfg.Controls))
	if err != nil {
		return err
	}
	f.control = addresses
	for i, a := range addresses {
		f.peers = append(f.peers, kwcontrol.Peer{Node: controlNode(i), Address: a})
	}
	f.Controls = make([]*kwcontrol.Role, len(addresses))
	f.admins = make([]string, len(addresses))
	for i := range addresses {
		if err := f.StartControl(i, i == 0); err != nil {
			return err
		}
	}
	return f.waitVoters(len(addresses))
}

func controlNode(i int) kwid.NodeID {
	return kwid.NodeID(fmt.Sprintf("control-%d", i+1))
}

// DataFolder returns the data folder of a control process.
func (f *Fleet) DataFolder(i int) string {
	return filepath.Join(f.cfg.Folder, string(controlNode(i)))
}

// StartControl starts a control process on its address, with what its data folder holds.
func (f *Fleet) StartControl(i int, bootstrap bool) error {
	node := controlNode(i)
	keys, err := f.store(node, kwkeys.RoleControl)
	if err != nil {
		return err
	}
	logCfg := kwraft.DefaultConfig("", f.cfg.Seed+uint64(i)+1)
	logCfg.MinElectionTimeout = quickElection
	logCfg.HeartbeatInterval = quickHeartbeat
	cfg := kwcontrol.Config{
		Node:        node,
		Listen:      f.control[i],
		AdminListen: loopback,
		DataFolder:  f.DataFolder(i),
		Bootstrap:   bootstrap,
		Timing:      f.cfg.Timing,
		State:       kwstatemachine.DefaultConfig(),
		Log:         logCfg,
	}
	for k, p := range f.peers {
		if k != i {
			cfg.Peers = append(cfg.Peers, p)
		}
	}
	deps := kwcontrol.Deps{Keys: keys, Clock: f.clock, Events: f.emitter(node)}
	if f.cfg.Files != nil {
		deps.Files = f.cfg.Files(node)
	}
	role, err := kwcontrol.New(cfg, deps)
	if err != nil {
		return err
	}
	role.Start()
	f.Controls[i] = role
	f.admins[i] = role.AdminURL()
	return nil
}

const (
	waitLimit  = 30 * time.Second
	waitPeriod = 10 * time.Millisecond
)

// WaitFor polls a condition; it returns OperationFailed with the name if it does not hold within 30 s.
func WaitFor(name string, ok func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			return kwcode.New(kwcode.OperationFailed, "%s did not happen within %s", name, waitLimit)
		}
		time.Sleep(waitPeriod)
	}
	return nil
}

func (f *Fleet) waitVoters(n int) error {
	return WaitFor("a full set of voters", func() bool {
		status, ok := f.Leader()
		return ok && len(status.Log.Members.Voters) == n
	})
}

// Leader returns the status of the leading control process, or false.
func (f *Fleet) Leader() (kwcontrol.StatusReply, bool) {
	for i := range f.Controls {
		status, err := f.Status(i)
		if err == nil && status.Leading {
			return status, true
		}
	}
	return kwcontrol.StatusReply{}, false
}

// LeaderIndex returns which control process leads, or -1.
func (f *Fleet) LeaderIndex() int {
	for i := range f.Controls {
		status, err := f.Status(i)
		if err == nil && status.Leading {
			return i
		}
	}
	return -1
}

// Status asks a control process for its status.
func (f *Fleet) Status(i int) (kwcontrol.StatusReply, error) {
	var out kwcontrol.StatusReply
	err := f.operator().Once(f.admins[i], http.MethodGet, "/admin/status", nil, &out)
	return out, err
}
