package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	broken  []string
	written int
}

// maxRecordLines bounds the record.
const maxRecordLines = 4000

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// logf writes a line with the time since the begin of the scenario.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written++; r.written > maxRecordLines {
		return
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// breakf records that a rule was broken.
func (r *record) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
	r.logf("BROKEN: %s", text)
}

// breaks returns the broken rules.
func (r *record) breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
