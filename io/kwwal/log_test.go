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

// memFile is a file whose unsynced bytes a crash may lose.
type memFile struct {
	data   []byte
	synced int
}

// memFiles is a data folder in memory with a fault at a chosen operation.
type memFiles struct {
	files  map[string]*memFile
	stable map[string]*memFile
	ops    int
	failAt int
	sticky bool
	short  bool
}

func newMemFiles() *memFiles {
	return &memFiles{files: make(map[string]*memFile), stable: make(map[string]*memFile), failAt: -1}
}

// fault counts an operation and tells whether it must fail; a sticky fault is a crash: nothing works after it.
func (m *memFiles) fault() bool {
	m.ops++
	return m.ops == m.failAt || m.sticky && m.failAt > 0 && m.ops > m.failAt
}

type memHandle struct {
	fs   *memFiles
	file *memFile
}

func (h memHandle) Write(p []byte) (int, error) {
	if h.fs.fault() {
		n := 0
		if h.fs.short {
			n = len(p) / 2
			h.file.data = append(h.file.data, p[:n]...)
		}
		return n, errInjected
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h memHandle) Sync() error {
	if h.fs.fault() {
		return errInjected
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h memHandle) Truncate(size int64) error {
	if h.fs.fault() {
		return errInjected
	}
	h.file.data = h.file.data[:size]
	h.file.synced = min(h.file.synced, int(size))
	return nil
}

func (h memHandle) Close() error { return nil }

func (m *memFiles) Create(name string) (File, error) {
	if m.fault() {
		return nil, errInjected
	}
	m.files[name] = &memFile{}
	return memHandle{m, m.files[name]}, nil
}

func (m *memFiles) Append(name string) (File, error) {
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
	if m.fault() {
		return errInjected
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFiles) Remove(name string) error {
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
	if m.fault() {
		return errInjected
	}
	m.stable = make(map[string]*memFile)
	for name, f := range m.files {
		m.stable[name] = f
	}
	return nil
}

// crash returns the folder after a power loss: names as last synced or as last written, files cut anywhere after
// their synced part.
func (m *memFiles) crash(rng *rand.Rand) *memFiles {
	out := newMemFiles()
	names := m.stable
	if rng.IntN(2) == 0 {
		names = m.files
	}
	for name, f := range names {
		keep := f.synced + rng.IntN(len(f.data)-f.synced+1)
		out.files[name] = &memFile{data: slices.Clone(f.data[:keep]), synced: keep}
	}
	return out
}

// history is what a run of appends and snapshots was told.
type history struct {
	acked [][]byte
}

// state is the snapshot of all records so far.
func state(records [][]byte) []byte { return bytes.Join(records, []byte{'\n'}) }

func workload(l *Log, h *history) {
	for i := range 30 {
		record := []byte(fmt.Sprintf("record-%02d", i))
		if err := l.Append([][]byte{record}); err != nil {
			_ = l.Snapshot(state(h.acked))
			continue
		}
		h.acked = append(h.acked, record)
		if i%7 == 6 {
			_ = l.Snapshot(state(h.acked))
		}
	}
}

func recoverAll(t *testing.T, files FileSystem) [][]byte {
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

// TestCrashAtEveryWritePoint cuts the power at each operation: every acknowledged record must come back, in order.
func TestCrashAtEveryWritePoint(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for failAt := 1; failAt < 260; failAt++ {
		for _, short := range []bool{false, true} {
			fs := newMemFiles()
			fs.failAt, fs.sticky, fs.short = failAt, true, short
			l, _, err := Open(Config{Files: fs})
			var h history
			if err == nil {
				workload(l, &h)
			}
			for range 4 {
				checkPrefix(t, failAt, recoverAll(t, fs.crash(rng)), h)
			}
		}
	}
}

func checkPrefix(t *testing.T, failAt int, got [][]byte, h history) {
	t.Helper()
	if len(got) < len(h.acked) {
		t.Fatalf("fault at %d: got %d records, want at least the %d acknowledged", failAt, len(got), len(h.acked))
	}
	for i, want := range h.acked {
		if !bytes.Equal(got[i], want) {
			t.Fatalf("fault at %d: got record %d %q, want %q", failAt, i, got[i], want)
		}
	}
}

// TestSingleFault fails one operation and goes on: what was acknowledged before and after must come back.
func TestSingleFault(t *testing.T) {
	for failAt := 3; failAt < 200; failAt++ {
		fs := newMemFiles()
		fs.failAt, fs.short = failAt, true
		l, _, err := Open(Config{Files: fs})
		if err != nil {
			continue
		}
		var h history
		workload(l, &h)
		if len(h.acked) < 28 {
			t.Errorf("fault at %d: got %d of 30 records acknowledged, want at least 28", failAt, len(h.acked))
		}
		checkPrefix(t, failAt, recoverAll(t, fs), h)
	}
}

// TestBitFlip flips each bit of a log with three records: damage before the last record is refused, never skipped.
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

// TestDamagedSnapshot requires that a damaged snapshot is refused and the older state not put in its place.
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

// TestFolderLock requires that a second process is turned away.
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
	again, err := Lock(folder)
	if err != nil {
		t.Fatalf("got %v, want the lock after its release", err)
	}
	again()
}

func FuzzScan(f *testing.F) {
	f.Add(appendRecord(nil, 0, []byte("x")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := scan("fuzz", data, 0, true)
		if err == nil && got.good > len(data) {
			t.Errorf("got %d good bytes of %d", got.good, len(data))
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
