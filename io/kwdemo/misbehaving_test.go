package kwdemo

import (
	"fmt"
	"io"
	"net"
	"net/url"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

// TestMisbehavingClientsOfAgentFleet guards against processes of a fleet with agents that end for lack of memory since clients send heads
// of short names, or bodies, that stay open. The bound is that of a small VM for the process, all roles and clients together.
func TestMisbehavingClientsOfAgentFleet(t *testing.T) {
	const clients, maxGrowth = 64, 216 << 20
	f := startFleet(t, nil)
	names := &strings.Builder{}
	for i := 0; names.Len() < 1000<<10; i++ {
		fmt.Fprintf(names, "%x:\r\n", i)
	}
	token := "Authorization: Bearer " + Workspaces()[0].Token + "\r\n"
	crowds := []struct{ name, address, sent string }{
		{"heads at an entry", f.Entries[0].URL(), "GET /readyz HTTP/1.1\r\nHost: x\r\n" + names.String()},
		{"heads at control", f.Controls[0].AdminURL(), "GET /status HTTP/1.1\r\nHost: x\r\n" + names.String()},
		{"bodies at an entry", f.Entries[0].URL(), "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + token + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 999_000)},
	}
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			debug.FreeOSMemory()
			before, peak := heapInUse(), uint64(0)
			target, err := url.Parse(c.address)
			if err != nil {
				t.Fatal(err)
			}
			for range clients {
				conn, err := net.Dial("tcp", target.Host)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.WriteString(conn, c.sent) }()
			}
			for range 100 {
				peak = max(peak, heapInUse())
				time.Sleep(20 * time.Millisecond)
			}
			if peak > before && peak-before > maxGrowth {
				t.Errorf("the heap grew by %d MB, want at most %d", (peak-before)>>20, maxGrowth>>20)
			}
			checkChats(t, f, 2)
		})
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}
