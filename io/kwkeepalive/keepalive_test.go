package kwkeepalive

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestEnable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	Enable(c)
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	err = raw.Control(func(fd uintptr) {
		for name, option := range map[string]int{"user timeout": unix.TCP_USER_TIMEOUT, "keep-alive": unix.TCP_KEEPIDLE, "count": unix.TCP_KEEPCNT} {
			if got[name], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
				t.Error(err)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]int{"user timeout": int(UserTimeout / time.Millisecond), "keep-alive": int(probeInterval / time.Second), "count": maxFailedProbes}
	for name, w := range want {
		if got[name] != w {
			t.Errorf("%s: got %d, want %d", name, got[name], w)
		}
	}
}
