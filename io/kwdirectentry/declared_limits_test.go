package kwdirectentry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/io/kwguard"
)

// TestDeclaredLimitsOfHeads guards against limits of a declaration that are decoded and used nowhere. A head of exactly the limit is served
// under each declaration, one far beyond it is refused without a run, and an open one ends with the declared time.
func TestDeclaredLimitsOfHeads(t *testing.T) {
	runs := 0
	server := serveRaw(t, func(w io.Writer, id string) bool {
		runs++
		_, _ = io.WriteString(w, strings.Replace(unaryAnswer, "%s", id, 1))
		return true
	})
	g := newTestGateway(t, "127.0.0.1:1", server)
	address, _ := g.Addresses()
	ask := func(sent string) int {
		t.Helper()
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		go func() { _, _ = io.WriteString(c, sent) }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	const beginning, end = "GET /lookups/x HTTP/1.1\r\nHost: h\r\nId: r\r\nA: ", "\r\n\r\n"
	for i, limit := range []int{4 << 10, 128 << 10, 0, 16 << 10} {
		declare(g, func(d *kwdeclaration.Declaration) {
			d.Limits.MaxHeaderBytes, d.Limits.HeaderTimeout = limit, 500*time.Millisecond
		})
		if limit == 0 {
			limit = maxHeaderBytes
		}
		if got := ask(beginning + strings.Repeat("x", limit-len(beginning)-len(end)) + end); got != http.StatusOK {
			t.Errorf("head of exactly %d bytes: got status %d, want 200", limit, got)
		}
		if got := ask(beginning + strings.Repeat("x", 2*limit) + end); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("head of twice %d bytes: got status %d, want 431", limit, got)
		}
		if runs != i+1 {
			t.Errorf("limit of %d: got %d runs, want %d", limit, runs, i+1)
		}
		begin := time.Now()
		if got := ask(beginning); got != 0 || time.Since(begin) > headerTimeout/2 {
			t.Errorf("open head: got status %d after %v, want a closed connection soon after 500ms", got, time.Since(begin))
		}
	}
}

// TestMissingLimitsKeepThoseOfTheEntry guards against limits that a declaration does not have and that count as 0, or as none at all.
func TestMissingLimitsKeepThoseOfTheEntry(t *testing.T) {
	runs := 0
	g := newTestGateway(t, "127.0.0.1:1", serveRaw(t, func(w io.Writer, id string) bool {
		runs++
		_, _ = io.WriteString(w, strings.Replace(unaryAnswer, "%s", id, 1))
		return true
	}))
	address, _ := g.Addresses()
	if got, want := g.callerLimits(), (kwguard.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}); got != want {
		t.Errorf("limits of heads and connections: got %+v, want %+v", got, want)
	}
	for size, want := range map[int]int{defaultMaxBodyBytes: http.StatusOK, defaultMaxBodyBytes + 1: http.StatusRequestEntityTooLarge} {
		for _, hasLength := range []bool{true, false} {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/lookups/x", strings.NewReader(strings.Repeat("x", size)))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h"
			req.Header.Set("Id", "r")
			if !hasLength {
				req.ContentLength = -1
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want {
				t.Errorf("body of %d bytes, length known %v: got status %d, want %d", size, hasLength, resp.StatusCode, want)
			}
		}
	}
	if runs != 2 {
		t.Errorf("got %d runs, want 2", runs)
	}
}
