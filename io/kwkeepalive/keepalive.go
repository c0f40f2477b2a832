package kwkeepalive

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent bytes may stay without an acknowledgement before the kernel drops the connection.
	UserTimeout = 1500 * time.Millisecond
	// keepAlive is the time between two questions on a quiet connection, keepAliveCount how many may stay unanswered.
	keepAlive      = time.Second
	keepAliveCount = 2
)

// Enable makes the kernel drop a connection whose peer has gone silent.
func Enable(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	// Without these options the connection works, and its silence is noticed by the timeouts of calls.
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount})
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout/time.Millisecond))
	})
}
