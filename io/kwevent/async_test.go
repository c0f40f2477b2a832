package kwevent

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledWriter blocks each Write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// TestAsyncWriterNeverBlocks writes far more lines than the buffer holds while the output is stalled, then releases the
// output. No write may block, the buffered lines must arrive, and the drop must be logged.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 199) + "\n")
	begin := time.Now()
	const lines = 20_000
	for range lines {
		if n, err := a.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d bytes and error %v, want the whole line", n, err)
		}
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("writing with a stalled output took %v, want at most 2s", took)
	}
	close(out.release)
	a.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	got := out.buf.String()
	written := strings.Count(got, "xxx\n")
	if written == 0 || written*len(line) > 3*asyncMaxBytes {
		t.Errorf("got %d lines written, want some, but no more than three buffers hold", written)
	}
	if !strings.Contains(got, Describe(LogLinesDropped).Name) {
		t.Errorf("no event log-lines-dropped is logged")
	}
}
