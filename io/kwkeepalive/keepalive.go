package kwkeepalive

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
	UserTimeout = 1500 * time.Millisecond
	// probeInterval is the time between two keep-alive probes of an idle connection, maxFailedProbes how many may stay
	// unanswered.
	probeInterval   = time.Second
	maxFailedProbes = 2
)

// Enable makes the kernel close a connection whose peer no longer responds. It has no effect on connections other than
// TCP.
func Enable(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	// Errors are ignored: without these options the connection works, and the timeouts of calls detect the loss.
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxFailedProbes})
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout/time.Millisecond))
	})
}
