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

// discardSender drops all messages, as the loop is its cluster's only member.
type discardSender struct{}

func (discardSender) Send(kwraft.Message) {}

func newLoop(t testing.TB, files kwwal.FileSystem, compactEntries int) *Loop {
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
		Sender:         discardSender{},
		CompactEntries: compactEntries,
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

// openFolder returns the real file system under path.
func openFolder(t testing.TB, path string) kwwal.FileSystem {
	t.Helper()
	files, err := kwwal.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func claimCommand(key string) kwstatemachine.Command {
	return kwstatemachine.Command{Claim: &kwstatemachine.Claim{
		Scope:  kwstatemachine.Scope{Workspace: "w", Service: "s", Key: key},
		Digest: "d",
		Grant:  kwstatemachine.Grant{Request: kwid.RequestID(key), Entry: "e", Agent: "a", Endpoint: "x", Address: "10.0.0.1:1"},
	}}
}

// mustClaim proposes a claim until it is granted; the loop rejects proposals until it leads and the disk works.
func mustClaim(t testing.TB, l *Loop, key string) {
	t.Helper()
	for range 2000 {
		got := l.Propose(context.Background(), claimCommand(key))
		if got.Err == nil && got.Granted {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("claim %s was not granted", key)
}

// TestRestartKeepsGrants restarts control after 300 claims, with and without snapshots, and requires that each claim
// still has its first grant.
func TestRestartKeepsGrants(t *testing.T) {
	for _, compactEntries := range []int{50, 100_000} {
		path := t.TempDir()
		l := newLoop(t, openFolder(t, path), compactEntries)
		go func() { _ = l.Run() }()
		for i := range 300 {
			mustClaim(t, l, fmt.Sprint(i))
		}
		l.Stop()
		restarted := newLoop(t, openFolder(t, path), compactEntries)
		runLoop(t, restarted)
		mustClaim(t, restarted, "new")
		for i := range 300 {
			got := restarted.Propose(t.Context(), claimCommand(fmt.Sprint(i)))
			if got.Err != nil || got.Row.Grant.Attempt != 1 {
				t.Fatalf("snapshots every %d entries: got %+v for claim %d, want its first grant", compactEntries, got, i)
			}
		}
	}
}

var errDiskFull = errors.New("no space left on device")

// fullDiskFiles is a file system whose writes and syncs fail while full is set.
type fullDiskFiles struct {
	kwwal.FileSystem
	mu   sync.Mutex
	full bool
}

func (f *fullDiskFiles) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

func (f *fullDiskFiles) isFull() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.full
}

type fullDiskFile struct {
	kwwal.File
	files *fullDiskFiles
}

func (f fullDiskFile) Write(p []byte) (int, error) {
	if f.files.isFull() {
		return 0, errDiskFull
	}
	return f.File.Write(p)
}

func (f fullDiskFile) Sync() error {
	if f.files.isFull() {
		return errDiskFull
	}
	return f.File.Sync()
}

func (f *fullDiskFiles) Create(name string) (kwwal.File, error) {
	file, err := f.FileSystem.Create(name)
	return fullDiskFile{file, f}, err
}

func (f *fullDiskFiles) Append(name string) (kwwal.File, error) {
	file, err := f.FileSystem.Append(name)
	return fullDiskFile{file, f}, err
}

// TestFullDisk requires that proposals fail with DiskFailed and a retry time while the disk is full, and that the loop
// serves again without a restart once there is space. Claims granted before must survive.
func TestFullDisk(t *testing.T) {
	files := &fullDiskFiles{FileSystem: openFolder(t, t.TempDir())}
	l := newLoop(t, files, 1000)
	runLoop(t, l)
	mustClaim(t, l, "before")
	files.setFull(true)
	got := l.Propose(t.Context(), claimCommand("during"))
	if got.Err == nil || got.Err.Code != kwcode.DiskFailed || got.Err.RetryAfter <= 0 {
		t.Errorf("got %+v, want code %d with a retry time", got, kwcode.DiskFailed)
	}
	files.setFull(false)
	mustClaim(t, l, "after")
	if got := l.Propose(t.Context(), claimCommand("before")); got.Err != nil || got.Row.Grant.Attempt != 1 {
		t.Errorf("got %+v, want the grant from before the disk was full", got)
	}
}

// BenchmarkCommits measures the throughput of claims and the syncs for each, by the number of concurrent callers that
// share group commits.
func BenchmarkCommits(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			l := newLoop(b, openFolder(b, b.TempDir()), 1<<30)
			runLoop(b, l)
			mustClaim(b, l, "first")
			syncs := l.disk.wal.SyncCount()
			b.ResetTimer()
			var wg sync.WaitGroup
			for c := range callers {
				wg.Go(func() {
					for i := c; i < b.N; i += callers {
						if got := l.Propose(context.Background(), claimCommand(fmt.Sprint("k", i))); got.Err != nil {
							b.Error(got.Err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(l.disk.wal.SyncCount()-syncs)/float64(b.N), "syncs/claim")
		})
	}
}

// BenchmarkRestart measures recovery from a log of the given number of changes, without a snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("changes-%d", changes), func(b *testing.B) {
			path := b.TempDir()
			l := newLoop(b, openFolder(b, path), 1<<30)
			go func() { _ = l.Run() }()
			mustClaim(b, l, "first")
			var wg sync.WaitGroup
			const callers = 256
			for c := range callers {
				wg.Go(func() {
					for i := c; i < changes; i += callers {
						l.Propose(context.Background(), claimCommand(fmt.Sprint("k", i)))
					}
				})
			}
			wg.Wait()
			l.Stop()
			b.ResetTimer()
			for b.Loop() {
				restarted := newLoop(b, openFolder(b, path), 1<<30)
				go func() { _ = restarted.Run() }()
				mustClaim(b, restarted, fmt.Sprint("n", time.Now().UnixNano()))
				restarted.Stop()
			}
		})
	}
}
