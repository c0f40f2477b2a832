package kwwal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"knapweedproxy/core/kwcode"
)

var errInjected = errors.New("injected fault")

// memFile is a file in memory. A crash may lose the bytes after syncedBytes.
type memFile struct {
	data        []byte
	syncedBytes int
}

// memFiles is a FileSystem in memory that fails at operation failAt, counted from 1, and with failAfter at all later
// ones too, as in a crash. With shortWrites a failed write still writes half of its bytes.
type memFiles struct {
	files       map[string]*memFile
	syncedNames map[string]*memFile
	ops         int
	failAt      int
	failAfter   bool
	shortWrites bool
	// refuseRemoval lets no file be removed.
	refuseRemoval bool
	// open counts the files that are open.
	open int
}

func newMemFiles() *memFiles {
	return &memFiles{files: make(map[string]*memFile), syncedNames: make(map[string]*memFile), failAt: -1}
}

// nextOpFails counts an operation and reports whether it must fail.
func (m *memFiles) nextOpFails() bool {
	m.ops++
	return m.ops == m.failAt || m.failAfter && m.failAt > 0 && m.ops > m.failAt
}

type memHandle struct {
	fs   *memFiles
	file *memFile
}

func (h memHandle) Write(p []byte) (int, error) {
	if h.fs.nextOpFails() {
		n := 0
		if h.fs.shortWrites {
			n = len(p) / 2
			h.file.data = append(h.file.data, p[:n]...)
		}
		return n, errInjected
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h memHandle) Sync() error {
	if h.fs.nextOpFails() {
		return errInjected
	}
	h.file.syncedBytes = len(h.file.data)
	return nil
}

func (h memHandle) Truncate(size int64) error {
	if h.fs.nextOpFails() {
		return errInjected
	}
	h.file.data = h.file.data[:size]
	h.file.syncedBytes = min(h.file.syncedBytes, int(size))
	return nil
}

func (h memHandle) Close() error {
	h.fs.open--
	return nil
}

func (m *memFiles) Create(name string) (File, error) {
	if m.nextOpFails() {
		return nil, errInjected
	}
	m.files[name] = &memFile{}
	m.open++
	return memHandle{m, m.files[name]}, nil
}

func (m *memFiles) Append(name string) (File, error) {
	m.open++
	return memHandle{m, m.files[name]}, nil
}

func (m *memFiles) Read(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, errInjected
	}
	return slices.Clone(f.data), nil
}

func (m *memFiles) Rename(from, to string) error {
	if m.nextOpFails() {
		return errInjected
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFiles) Remove(name string) error {
	if m.refuseRemoval {
		return errInjected
	}
	delete(m.files, name)
	return nil
}

func (m *memFiles) List() ([]string, error) {
	var out []string
	for name := range m.files {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

func (m *memFiles) SyncFolder() error {
	if m.nextOpFails() {
		return errInjected
	}
	m.syncedNames = make(map[string]*memFile)
	for name, f := range m.files {
		m.syncedNames[name] = f
	}
	return nil
}

// crash returns the folder after a power loss: file names as of the last folder sync or as of now, and each file cut at
// a random point after its synced bytes.
func (m *memFiles) crash(rng *rand.Rand) *memFiles {
	out := newMemFiles()
	names := m.syncedNames
	if rng.IntN(2) == 0 {
		names = m.files
	}
	for name, f := range names {
		keep := f.syncedBytes + rng.IntN(len(f.data)-f.syncedBytes+1)
		out.files[name] = &memFile{data: slices.Clone(f.data[:keep]), syncedBytes: keep}
	}
	return out
}

// runResult holds the records that a run of appends and snapshots has acknowledged.
type runResult struct {
	acked [][]byte
}

// snapshotOf returns the snapshot of the given records.
func snapshotOf(records [][]byte) []byte { return bytes.Join(records, []byte{'\n'}) }

// runWorkload appends 30 records with a snapshot after every seventh, and after each failed append, which repairs a
// broken log.
func runWorkload(l *Log, run *runResult) {
	for i := range 30 {
		record := []byte(fmt.Sprintf("record-%02d", i))
		if err := l.Append([][]byte{record}); err != nil {
			_ = l.Snapshot(snapshotOf(run.acked))
			continue
		}
		run.acked = append(run.acked, record)
		if i%7 == 6 {
			_ = l.Snapshot(snapshotOf(run.acked))
		}
	}
}

// reopenRecords opens the log and returns all records that its snapshot and its segments hold.
func reopenRecords(t *testing.T, files FileSystem) [][]byte {
	t.Helper()
	_, got, err := Open(Config{Files: files})
	if err != nil {
		t.Fatal(err)
	}
	var out [][]byte
	if len(got.Snapshot) > 0 {
		out = bytes.Split(got.Snapshot, []byte{'\n'})
	}
	return append(out, got.Records...)
}

// TestCrashAtEveryOperation crashes at each file operation, with and without a partial write: every acknowledged record
// must be recovered, in order.
func TestCrashAtEveryOperation(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for failAt := 1; failAt < 260; failAt++ {
		for _, short := range []bool{false, true} {
			fs := newMemFiles()
			fs.failAt, fs.failAfter, fs.shortWrites = failAt, true, short
			l, _, err := Open(Config{Files: fs})
			var run runResult
			if err == nil {
				runWorkload(l, &run)
			}
			for range 4 {
				requireAcked(t, failAt, reopenRecords(t, fs.crash(rng)), run)
			}
		}
	}
}

// requireAcked requires that all acknowledged records are at the start of got, in order.
func requireAcked(t *testing.T, failAt int, got [][]byte, run runResult) {
	t.Helper()
	if len(got) < len(run.acked) {
		t.Fatalf("fault at %d: got %d records, want at least the %d acknowledged", failAt, len(got), len(run.acked))
	}
	for i, want := range run.acked {
		if !bytes.Equal(got[i], want) {
			t.Fatalf("fault at %d: got record %d %q, want %q", failAt, i, got[i], want)
		}
	}
}

// TestSingleFault fails one file operation and continues: records acknowledged before and after it must be recovered,
// and at most two of 30 appends may fail.
func TestSingleFault(t *testing.T) {
	for failAt := 3; failAt < 200; failAt++ {
		fs := newMemFiles()
		fs.failAt, fs.shortWrites = failAt, true
		l, _, err := Open(Config{Files: fs})
		if err != nil {
			continue
		}
		var run runResult
		runWorkload(l, &run)
		if len(run.acked) < 28 {
			t.Errorf("fault at %d: got %d of 30 records acknowledged, want at least 28", failAt, len(run.acked))
		}
		requireAcked(t, failAt, reopenRecords(t, fs), run)
	}
}

// TestBitFlip flips each bit of a log with three records. Damage before the last record must be reported, never
// skipped; damage in the last one may only lose that record, as it looks like a torn tail.
func TestBitFlip(t *testing.T) {
	fs := newMemFiles()
	l, _, err := Open(Config{Files: fs})
	if err != nil {
		t.Fatal(err)
	}
	want := [][]byte{[]byte("first"), []byte("second"), []byte("third")}
	for _, r := range want {
		if err := l.Append([][]byte{r}); err != nil {
			t.Fatal(err)
		}
	}
	name := fmt.Sprintf(segmentPattern, 1)
	whole := slices.Clone(fs.files[name].data)
	lastStart := len(whole) - headerBytes - len(want[2])
	for bit := range len(whole) * 8 {
		fs.files[name].data = slices.Clone(whole)
		fs.files[name].data[bit/8] ^= 1 << (bit % 8)
		_, got, err := Open(Config{Files: fs})
		if bit/8 < lastStart {
			if !kwcode.Is(err, kwcode.LogDamaged) {
				t.Fatalf("bit %d: got %v, want %d", bit, err, kwcode.LogDamaged)
			}
			continue
		}
		if err == nil && len(got.Records) != 2 {
			t.Fatalf("bit %d: got %d records, want the 2 intact ones", bit, len(got.Records))
		}
	}
}

// TestDamagedSnapshot requires that a damaged snapshot is reported and that no older state is recovered instead.
func TestDamagedSnapshot(t *testing.T) {
	fs := newMemFiles()
	l, _, err := Open(Config{Files: fs})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Snapshot([]byte("state")); err != nil {
		t.Fatal(err)
	}
	name := fmt.Sprintf(snapshotPattern, 2)
	fs.files[name].data[headerBytes] ^= 1
	if _, _, err := Open(Config{Files: fs}); !kwcode.Is(err, kwcode.LogDamaged) {
		t.Errorf("got %v, want %d", err, kwcode.LogDamaged)
	}
}

// TestFolderLock requires that the folder cannot be locked twice, and can be locked again after its release.
func TestFolderLock(t *testing.T) {
	folder := t.TempDir()
	unlock, err := Lock(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder); !kwcode.Is(err, kwcode.FolderLocked) {
		t.Errorf("got %v, want %d", err, kwcode.FolderLocked)
	}
	unlock()
	unlockAgain, err := Lock(folder)
	if err != nil {
		t.Fatalf("got %v, want the folder to be locked again after its release", err)
	}
	unlockAgain()
}

func FuzzScan(f *testing.F) {
	f.Add(appendRecord(nil, 0, []byte("x")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := scanRecords("fuzz", data, 0, true)
		if err == nil && got.validBytes > len(data) {
			t.Errorf("got %d valid bytes of %d", got.validBytes, len(data))
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("records-%d", batch), func(b *testing.B) {
			folder, err := OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			l, _, err := Open(Config{Files: folder})
			if err != nil {
				b.Fatal(err)
			}
			record := make([]byte, 300)
			var records [][]byte
			for range batch {
				records = append(records, record)
			}
			for b.Loop() {
				if err := l.Append(records); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(batch)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// TestRefusedRemovalIsNoDamage guards against a process that ends for good, as if its log were damaged, since a full disk refuses to remove
// the empty segment of an unfinished snapshot behind a torn one.
func TestRefusedRemovalIsNoDamage(t *testing.T) {
	fs := newMemFiles()
	l, _, err := Open(Config{Files: fs})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Append([][]byte{[]byte("kept")}); err != nil {
		t.Fatal(err)
	}
	torn := fs.files[fmt.Sprintf(segmentPattern, 1)]
	torn.data = append(torn.data, 1, 2, 3)
	fs.files[fmt.Sprintf(segmentPattern, 2)] = &memFile{}
	fs.refuseRemoval = true
	if _, _, err := Open(Config{Files: fs}); !kwcode.Is(err, kwcode.DiskFailed) {
		t.Errorf("while the disk is full: got %v, want %v", err, kwcode.DiskFailed)
	}
	fs.refuseRemoval = false
	if got := reopenRecords(t, fs); len(got) != 1 {
		t.Errorf("with room again: got %d records, want 1", len(got))
	}
}

// TestFailedOpenLeavesNoFileOpen guards against a process that runs out of file descriptors while its disk is full: it opens its log twice a
// second until that succeeds.
func TestFailedOpenLeavesNoFileOpen(t *testing.T) {
	for failAt := 1; failAt <= 4; failAt++ {
		fs := newMemFiles()
		l, _, err := Open(Config{Files: fs})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		segment := fs.files[fmt.Sprintf(segmentPattern, 1)]
		segment.data = append(segment.data, 1, 2, 3)
		fs.ops, fs.failAt, fs.open = 0, failAt, 0
		_, _, err = Open(Config{Files: fs})
		if err != nil && fs.open != 0 {
			t.Errorf("operation %d fails: got %d open files, want none", failAt, fs.open)
		}
		if err == nil && fs.open != 1 {
			t.Errorf("no operation fails: got %d open files, want the segment", fs.open)
		}
	}
}

// TestUnfinishedSnapshotTakesNoRoom guards against a temporary file that stays on a full disk and takes the room of what follows.
func TestUnfinishedSnapshotTakesNoRoom(t *testing.T) {
	fs := newMemFiles()
	l, _, err := Open(Config{Files: fs})
	if err != nil {
		t.Fatal(err)
	}
	fs.ops, fs.failAt, fs.shortWrites = 0, 2, true
	if err := l.Snapshot([]byte("a state")); err == nil {
		t.Fatal("a write that fails: got a snapshot, want an error")
	}
	if _, ok := fs.files[tempSnapshotName]; ok {
		t.Errorf("after a snapshot that failed: got the file %s, want none", tempSnapshotName)
	}
	fs.files[tempSnapshotName] = &memFile{data: []byte("of a process that crashed")}
	if _, _, err := Open(Config{Files: fs}); err != nil {
		t.Fatal(err)
	}
	if _, ok := fs.files[tempSnapshotName]; ok {
		t.Errorf("after a start: got the file %s, want none", tempSnapshotName)
	}
}
