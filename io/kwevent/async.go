package kwevent

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncMaxBytes limits the log lines buffered for a slow reader.
	asyncMaxBytes = 256 << 10
	// asyncBatchBytes is the buffered size that triggers a write, so that many lines share the cost of a system call.
	asyncBatchBytes = 8 << 10
	// asyncFlushInterval limits how long a line stays buffered.
	asyncFlushInterval = 200 * time.Millisecond
	// asyncCloseTimeout limits how long Close waits for the last lines to be written.
	asyncCloseTimeout = 300 * time.Millisecond
)

// AsyncWriter buffers lines for a writer that may stall. It never blocks: it drops lines that do not fit its buffer and
// logs their number.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	dropped int
	// full signals that a batch is ready to be written.
	full    chan struct{}
	closing chan struct{}
	closed  chan struct{}
	// closeOnce lets Close be called several times.
	closeOnce sync.Once
}

// NewAsyncWriter returns a writer that writes lines to out in the background.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		out:     out,
		full:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go a.run()
	return a
}

// Write buffers one line or drops it; in both cases it reports the whole line as written.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buf)+len(line) > asyncMaxBytes {
		a.dropped++
		return len(line), nil
	}
	a.buf = append(a.buf, line...)
	if len(a.buf) >= asyncBatchBytes {
		select {
		case a.full <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing; lines are written within asyncFlushInterval.
func (a *AsyncWriter) Sync() error { return nil }

func (a *AsyncWriter) run() {
	defer close(a.closed)
	tick := time.NewTicker(asyncFlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-a.full:
		case <-a.closing:
			a.flush()
			return
		}
		a.flush()
	}
}

func (a *AsyncWriter) flush() {
	a.mu.Lock()
	buf, dropped := a.buf, a.dropped
	a.buf, a.dropped = nil, 0
	a.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "{\"level\":\"info\",\"msg\":%q,\"event\":%d,\"lines\":%d}\n",
			Describe(LogLinesDropped).Name, LogLinesDropped, dropped)
	}
	if len(buf) == 0 {
		return
	}
	// The error is ignored: when standard output fails, there is nowhere to report it.
	_, _ = a.out.Write(buf)
}

// Close writes the buffered lines; it waits for at most asyncCloseTimeout.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.closing) })
	select {
	case <-a.closed:
	case <-time.After(asyncCloseTimeout):
	}
}
