package kwdirectentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// serveAfterSilence runs a server that opens no connections for a time, as a VM does that is silent, and then answers all requests with
// the bytes that answer returns.
func serveAfterSilence(t *testing.T, length time.Duration, answer func(id string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// The kernel drops the first packets of further connections while the queue of those that were not accepted is full.
	if err := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	time.AfterFunc(length, func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if _, err := io.WriteString(c, answer(req.Header.Get("Id"))); err != nil {
						return
					}
				}
			}()
		}
	})
	return l.Addr().String()
}

// TestSilentServerThatOpensNoConnectionsRefusesNothing guards against requests that are refused because the only server of their route
// opens no connections for a while.
func TestSilentServerThatOpensNoConnectionsRefusesNothing(t *testing.T) {
	for _, path := range []string{"/notes/x", "/lookups/x", "/alerts/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			address := serveAfterSilence(t, testSilence, func(id string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", id)
			})
			g := newTestGateway(t, address, address)
			begin := time.Now()
			status, body := post(t, http.DefaultClient, g, path, "q")
			if took := time.Since(begin); status != http.StatusOK || body != "id: 1\n\n" || took > testSilence+silenceSlack {
				t.Errorf("got %d %q after %v, want 200 within %v", status, body, took, testSilence+silenceSlack)
			}
		})
	}
}
