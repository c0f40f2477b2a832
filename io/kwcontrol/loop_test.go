package kwcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwevent"
	"knapweedproxy/io/kwwal"
)

type nobody struct{}

func (nobody) Send(kwraft.Message) {}

func newLoop(t testing.TB, files kwwal.FileSystem, compact int) *Loop {
	t.Helper()
	clock := kwhlc.New(kwhlc.Config{})
	cfg := LoopConfig{
		Member:         "c@1",
		Files:          files,
		Bootstrap:      true,
		Log:            kwraft.DefaultConfig("c@1", 1),
		State:          kwstatemachine.DefaultConfig(),
		Timing:         DefaultTiming(),
		Events:         kwevent.New(kwevent.Config{Node: "c", Clock: clock, Log: logr.Discard()}),
		Sender:         nobody{},
		CompactEntries: compact,
	}
	l, err := NewLoop(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func runLoop(t testing.TB, l *Loop) {
	t.Helper()
	go func() { _ = l.Run() }()
	t.Cleanup(l.Stop)
}

func folder(t testing.TB, path string) kwwal.FileSystem {
	t.Helper()
	files, err := kwwal.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func claimOf(key string) kwstatemachine.Command {
	return kwstatemachine.Command{Claim: &kwstatemachine.Claim{
		Scope:  kwstatemachine.Scope{Workspace: "w", Service: "s", Key: key},
		Digest: "d",
		Grant:  kwstatemachine.Grant{Request: kwid.RequestID(key), Entry: "e", Agent: "a", Endpoint: "x", Address: "10.0.0.1:1"},
	}}
}

// claimUntil proposes a claim until it is granted.
func claimUntil(t testing.TB, l *Loop, key string) {
	t.Helper()
	for range 2000 {
		got := l.Propose(context.Background(), claimOf(key))
		if got.Err == nil && got.Granted {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("got no grant of %s", key)
}

// TestRestartKnowsAll restarts control after hundreds of changes, with and without snapshots.
func TestRestartKnowsAll(t *testing.T) {
	for _, compact := range []int{50, 100_000} {
		path := t.TempDir()
		l := newLoop(t, folder(t, path), compact)
		go func() { _ = l.Run() }()
		for i := range 300 {
			claimUntil(t, l, fmt.Sprint(i))
		}
		l.Stop()
		again := newLoop(t, folder(t, path), compact)
		runLoop(t, again)
		claimUntil(t, again, "new")
		for i := range 300 {
			got := again.Propose(t.Context(), claimOf(fmt.Sprint(i)))
			if got.Err != nil || got.Row.Grant.Attempt != 1 {
				t.Fatalf("compact %d: got %+v for %d, want its first grant", compact, got, i)
			}
		}
	}
}

var errFull = errors.New("no space left on device")

// flaky is a folder whose writes can be made to fail.
type flaky struct {
	kwwal.FileSystem
	mu   sync.Mutex
	full bool
}

func (f *flaky) set(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

func (f *flaky) fails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.full
}

type flakyFile struct {
	kwwal.File
	folder *flaky
}

func (f flakyFile) Write(p []byte) (int, error) {
	if f.folder.fails() {
		return 0, errFull
	}
	return f.File.Write(p)
}

func (f flakyFile) Sync() error {
	if f.folder.fails() {
		return errFull
	}
	return f.File.Sync()
}

func (f *flaky) Create(name string) (kwwal.File, error) {
	file, err := f.FileSystem.Create(name)
	return flakyFile{file, f}, err
}

func (f *flaky) Append(name string) (kwwal.File, error) {
	file, err := f.FileSystem.Append(name)
	return flakyFile{file, f}, err
}

// TestFullDisk requires truthful refusals while the disk takes nothing, and service afterwards without a restart.
func TestFullDisk(t *testing.T) {
	files := &flaky{FileSystem: folder(t, t.TempDir())}
	l := newLoop(t, files, 1000)
	runLoop(t, l)
	claimUntil(t, l, "before")
	files.set(true)
	got := l.Propose(t.Context(), claimOf("during"))
	if got.Err == nil || got.Err.Code != kwcode.DiskFailed || got.Err.RetryAfter <= 0 {
		t.Errorf("got %+v, want %d with a time to come back", got, kwcode.DiskFailed)
	}
	files.set(false)
	claimUntil(t, l, "after")
	if got := l.Propose(t.Context(), claimOf("before")); got.Err != nil || got.Row.Grant.Attempt != 1 {
		t.Errorf("got %+v, want the grant from before", got)
	}
}

// BenchmarkCommits measures claims by how many callers share a group commit.
func BenchmarkCommits(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			l := newLoop(b, folder(b, b.TempDir()), 1<<30)
			runLoop(b, l)
			claimUntil(b, l, "first")
			syncs := l.disk.wal.SyncCount()
			b.ResetTimer()
			var all sync.WaitGroup
			for c := range callers {
				all.Go(func() {
					for i := c; i < b.N; i += callers {
						if got := l.Propose(context.Background(), claimOf(fmt.Sprint("k", i))); got.Err != nil {
							b.Error(got.Err)
							return
						}
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(l.disk.wal.SyncCount()-syncs)/float64(b.N), "syncs/claim")
		})
	}
}

// BenchmarkRestart measures recovery after a number of changes, without a snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("changes-%d", rows), func(b *testing.B) {
			path := b.TempDir()
			l := newLoop(b, folder(b, path), 1<<30)
			go func() { _ = l.Run() }()
			claimUntil(b, l, "first")
			var all sync.WaitGroup
			const callers = 256
			for c := range callers {
				all.Go(func() {
					for i := c; i < rows; i += callers {
						l.Propose(context.Background(), claimOf(fmt.Sprint("k", i)))
					}
				})
			}
			all.Wait()
			l.Stop()
			b.ResetTimer()
			for b.Loop() {
				again := newLoop(b, folder(b, path), 1<<30)
				go func() { _ = again.Run() }()
				claimUntil(b, again, fmt.Sprint("n", time.Now().UnixNano()))
				again.Stop()
			}
		})
	}
}
