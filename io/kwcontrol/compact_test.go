package kwcontrol

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwwal"
)

// noSnapshotDisk refuses to create a snapshot while it is full.
type noSnapshotDisk struct {
	kwwal.FileSystem
	full     atomic.Bool
	refusals atomic.Int64
}

func (d *noSnapshotDisk) Create(name string) (kwwal.File, error) {
	if d.full.Load() {
		d.refusals.Add(1)
		return nil, syscall.ENOSPC
	}
	return d.FileSystem.Create(name)
}

// TestFailedCompactionIsRepeated guards against a log that is forgotten in memory though its snapshot did not reach the full disk, and that
// grows by as many entries again before the next try.
func TestFailedCompactionIsRepeated(t *testing.T) {
	const entries = 20
	disk := &noSnapshotDisk{FileSystem: openFolder(t, t.TempDir())}
	l := newLoop(t, disk, entries)
	runLoop(t, l)
	mustClaim(t, l, "first")
	snapshotIndex := func() (index kwraft.Index) {
		l.Log(func(_ time.Time, n *kwraft.Node) { index = n.Status().SnapshotIndex })
		return index
	}
	disk.full.Store(true)
	for i := range entries {
		declare(t, l, i+1, 10)
	}
	time.Sleep(2 * diskRetryInterval)
	if got := snapshotIndex(); got != 0 {
		t.Errorf("while the disk is full: got a snapshot at %d, want the whole log", got)
	}
	if got := disk.refusals.Load(); got < 2 || got > 5 {
		t.Errorf("in twice the retry interval: got %d tries, want one after each interval", got)
	}
	disk.full.Store(false)
	for end := time.Now().Add(3 * diskRetryInterval); snapshotIndex() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the disk has room again: got no snapshot, want one without further entries")
		}
	}
}
