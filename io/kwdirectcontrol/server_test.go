package kwdirectcontrol

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwhlc"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwtime"
)

// TestStopWhileDataFolderOpens guards against a control process that never ends, as it was told to stop before its member of the
// replicated log ran.
func TestStopWhileDataFolderOpens(t *testing.T) {
	const (
		starts     = 200
		step       = 50 * time.Microsecond
		stopWithin = 30 * time.Second
	)
	for n := range starts {
		s, err := New(Config{Address: "127.0.0.1:0", DataFolder: t.TempDir()}, Deps{
			Events:  kwevent.New(kwevent.Config{Node: "c", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), MaxRecords: 16}),
			Metrics: metrics.NewRegistry(),
			Now:     kwtime.BootTime,
		})
		if err != nil {
			t.Fatal(err)
		}
		delay := time.Duration(n) * step
		s.Start()
		time.Sleep(delay)
		stopped := make(chan struct{})
		go func() {
			s.Stop()
			close(stopped)
		}()
		select {
		case <-stopped:
		case <-time.After(stopWithin):
			t.Fatalf("stop %v after the start: not ended within %v", delay, stopWithin)
		}
	}
}

// TestAbandonedCallDoesNotRun guards against a call on the control goroutine that writes the results of a caller which no longer
// waits for them, as its connection has closed.
func TestAbandonedCallDoesNotRun(t *testing.T) {
	var late abandonableCall
	late.abandon()
	late.run(func() { t.Error("a call that was abandoned before it began: got it run, want it dropped") })

	var running abandonableCall
	result, begun := 0, make(chan struct{})
	go running.run(func() {
		close(begun)
		result = 1
	})
	<-begun
	running.abandon()
	// The race detector checks that the call has ended.
	if result++; result != 2 {
		t.Errorf("a call that was abandoned while it ran: got result %d, want 2", result)
	}
}
