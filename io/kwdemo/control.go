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

// openControlSockets opens a loopback socket for each control process, so that they can be configured with the addresses of
// their peers before they start. The fleet holds the sockets until it closes: no other socket gets the port of a process
// that is down.
func (f *Fleet) openControlSockets() error {
	for i := range max(1, f.cfg.Controls) {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return kwcode.New(kwcode.ListenFailed, "%v", err)
		}
		f.controlSockets = append(f.controlSockets, socket)
		address := socket.LocalAddr().String()
		f.controlAddresses = append(f.controlAddresses, address)
		f.peers = append(f.peers, kwcontrol.Peer{Node: controlNode(i), Address: address})
	}
	return nil
}

// discardPeriod bounds how long the datagrams that were sent to a process that is down are discarded.
const discardPeriod = 5 * time.Millisecond

// controlSocket returns a duplicate of the socket of a control process, for the process to close. The datagrams that
// arrived while the process was down are lost.
func (f *Fleet) controlSocket(i int) (*net.UDPConn, error) {
	file, err := f.controlSockets[i].File()
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, kwcode.New(kwcode.ListenFailed, "%v", err)
	}
	socket := conn.(*net.UDPConn)
	_ = socket.SetReadDeadline(time.Now().Add(discardPeriod))
	for err == nil {
		_, _, err = socket.ReadFrom(make([]byte, 1))
	}
	_ = socket.SetReadDeadline(time.Time{})
	return socket, nil
}

func (f *Fleet) startControls() error {
	if err := f.openControlSockets(); err != nil {
		return err
	}
	f.Controls = make([]*kwcontrol.Role, len(f.controlSockets))
	f.adminURLs = make([]string, len(f.controlSockets))
	for i := range f.controlSockets {
		if err := f.StartControl(i, i == 0); err != nil {
			return err
		}
	}
	return f.waitVoters(len(f.controlSockets))
}

func controlNode(i int) kwid.NodeID {
	return kwid.NodeID(fmt.Sprintf("control-%d", i+1))
}

// DataFolder returns the data folder of a control process.
func (f *Fleet) DataFolder(i int) string {
	return filepath.Join(f.cfg.Folder, string(controlNode(i)))
}

// StartControl starts a control process on its socket with the present contents of its data folder.
func (f *Fleet) StartControl(i int, bootstrap bool) error {
	node := controlNode(i)
	keys, err := f.openKeys(node, kwkeys.RoleControl)
	if err != nil {
		return err
	}
	socket, err := f.controlSocket(i)
	if err != nil {
		return err
	}
	logCfg := kwraft.DefaultConfig("", f.cfg.Seed+uint64(i)+1)
	logCfg.MinElectionTimeout = minElectionTimeout
	logCfg.HeartbeatInterval = heartbeatInterval
	cfg := kwcontrol.Config{
		Node:        node,
		Listen:      f.controlAddresses[i],
		Socket:      socket,
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
	deps := kwcontrol.Deps{Keys: keys, Clock: f.clock, Events: f.newEmitter(node)}
	if f.cfg.Files != nil {
		deps.Files = f.cfg.Files(node)
	}
	role, err := kwcontrol.New(cfg, deps)
	if err != nil {
		_ = socket.Close()
		return err
	}
	role.Start()
	f.Controls[i] = role
	f.adminURLs[i] = role.AdminURL()
	return nil
}

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// WaitFor polls until ok returns true. After 30 s it returns OperationFailed with the name of the condition, which
// completes the phrase "waiting for".
func WaitFor(name string, ok func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			return kwcode.New(kwcode.OperationFailed, "waiting for %s: timed out after %s", name, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (f *Fleet) waitVoters(n int) error {
	return WaitFor("all control processes to become voters", func() bool {
		status, ok := f.Leader()
		return ok && len(status.Log.Members.Voters) == n
	})
}

// Leader returns the status of the leader among the control processes, or false if there is none.
func (f *Fleet) Leader() (kwcontrol.StatusReply, bool) {
	for i := range f.Controls {
		status, err := f.Status(i)
		if err == nil && status.Leading {
			return status, true
		}
	}
	return kwcontrol.StatusReply{}, false
}

// LeaderIndex returns the index of the leader among the control processes, or -1 if there is none.
func (f *Fleet) LeaderIndex() int {
	for i := range f.Controls {
		status, err := f.Status(i)
		if err == nil && status.Leading {
			return i
		}
	}
	return -1
}

// Status requests the status of a control process.
func (f *Fleet) Status(i int) (kwcontrol.StatusReply, error) {
	var out kwcontrol.StatusReply
	err := f.adminClient().CallOne(f.adminURLs[i], http.MethodGet, "/admin/status", nil, &out)
	return out, err
}
