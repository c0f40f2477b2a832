package kwupstream

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"knapweedproxy/core/kwchainsearch"
)

// silentAddress returns an address whose host drops all connection attempts: that of a socket with a full backlog.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	const maxBacklog = 16
	for range maxBacklog {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the backlog does not fill up")
	return ""
}

// A silent VM must be found before callers notice the pause: a stream is silent for 100 ms until its chain is probed, and a chain
// elsewhere takes about 80 ms to go on, of the 250 ms that callers accept. Attempts one after the other took 120 ms.
func TestProbeFindsSilentVMSoon(t *testing.T) {
	const longest, tries = 90 * time.Millisecond, 5
	address := silentAddress(t)
	shortest := time.Hour
	for range tries {
		begin := time.Now()
		if got := Probe(t.Context(), address); got != kwchainsearch.Unresponsive {
			t.Fatalf("got result %d, want %d", got, kwchainsearch.Unresponsive)
		}
		shortest = min(shortest, time.Since(begin))
	}
	if shortest > longest {
		t.Errorf("got %v at least for a probe, want %v at most", shortest, longest)
	}
}
