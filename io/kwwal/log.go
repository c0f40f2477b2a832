package kwwal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gofrs/flock"

	"knapweedproxy/core/kwcode"
)

const (
	segmentPattern   = "log-%016d.seg"
	snapshotPattern  = "snapshot-%016d.snap"
	tempSnapshotName = "snapshot.tmp"
	lockFileName     = "lock"
)

// Config configures a Log.
type Config struct {
	Files FileSystem
}

// Recovered is the content of a log when it was opened: the newest snapshot and the records after it. TornTail reports
// that an incomplete last record was cut off.
type Recovered struct {
	Snapshot []byte
	Records  [][]byte
	TornTail bool
}

// Log appends records to the newest segment. It is not safe for concurrent use.
type Log struct {
	files        FileSystem
	segment      uint64
	file         File
	size         int64
	nextSequence uint64
	broken       bool
	syncCount    uint64
}

// Lock locks the data folder for this process and returns the function that unlocks it. It returns FolderLocked if
// another process holds the lock.
func Lock(path string) (func(), error) {
	if _, err := OpenFolder(path); err != nil {
		return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	lock := flock.New(filepath.Join(path, lockFileName))
	held, err := lock.TryLock()
	if err != nil {
		return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if !held {
		return nil, kwcode.New(kwcode.FolderLocked, "%s is in use by another process", path)
	}
	return func() { _ = lock.Unlock() }, nil
}

// Open reads the newest snapshot and the records after it, and truncates a torn tail. Damage anywhere else is
// LogDamaged.
func Open(cfg Config) (*Log, Recovered, error) {
	l := &Log{files: cfg.Files}
	names, err := l.files.List()
	if err != nil {
		return nil, Recovered{}, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	base := newestNumber(names, snapshotPattern)
	segments := fileNumbers(names, segmentPattern)
	segments = slices.DeleteFunc(segments, func(n uint64) bool { return n < base })
	segments, err = l.removeEmptyTailSegments(segments)
	if err != nil {
		return nil, Recovered{}, err
	}
	recovered, err := l.recover(base, segments)
	if err != nil {
		if l.file != nil {
			_ = l.file.Close()
		}
		return nil, Recovered{}, err
	}
	if slices.Contains(names, tempSnapshotName) {
		_ = l.files.Remove(tempSnapshotName)
	}
	l.removeFilesBefore(names, base)
	return l, recovered, nil
}

// recover reads the snapshot numbered base, if base is not 0, and the segments from base on, which must be consecutive.
func (l *Log) recover(base uint64, segments []uint64) (Recovered, error) {
	var out Recovered
	if base > 0 {
		snapshot, err := l.readSnapshot(base)
		if err != nil {
			return out, err
		}
		out.Snapshot = snapshot
		if len(segments) == 0 || segments[0] != base {
			return out, kwcode.New(kwcode.LogDamaged, "segment %d is missing; restore this VM's data folder or rejoin it as a new member", base)
		}
	}
	if len(segments) == 0 {
		return out, l.startSegment(1)
	}
	for i, n := range segments {
		if n != segments[0]+uint64(i) {
			return out, kwcode.New(kwcode.LogDamaged, "segment %d is missing; restore this VM's data folder or rejoin it as a new member", segments[0]+uint64(i))
		}
		last := i == len(segments)-1
		if err := l.readSegment(n, last, &out); err != nil {
			return out, err
		}
	}
	return out, nil
}

// removeEmptyTailSegments removes the empty newest segments that unfinished snapshots left behind. While one of them stays, the segment before
// it is not the last one, whose tail may be torn.
func (l *Log) removeEmptyTailSegments(segments []uint64) ([]uint64, error) {
	for len(segments) > 1 {
		name := fmt.Sprintf(segmentPattern, segments[len(segments)-1])
		data, err := l.files.Read(name)
		if err != nil {
			return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
		}
		if len(data) > 0 {
			return segments, nil
		}
		if err := l.files.Remove(name); err != nil {
			return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
		}
		segments = segments[:len(segments)-1]
	}
	return segments, nil
}

// readSegment appends the segment's records to out. It opens the last segment for appending and truncates its torn
// tail.
func (l *Log) readSegment(n uint64, last bool, out *Recovered) error {
	name := fmt.Sprintf(segmentPattern, n)
	data, err := l.files.Read(name)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	got, err := scanRecords(name, data, 0, last)
	if err != nil {
		return err
	}
	out.Records = append(out.Records, got.payloads...)
	if !last {
		return nil
	}
	out.TornTail = got.validBytes < len(data)
	l.segment = n
	l.size = int64(got.validBytes)
	l.nextSequence = got.nextSequence
	l.file, err = l.files.Append(name)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if out.TornTail {
		return l.truncateTail()
	}
	return nil
}

// truncateTail removes the bytes after the last complete record.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(l.size); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := l.file.Sync(); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

// startSegment creates an empty segment durably and makes it the one that Append writes to.
func (l *Log) startSegment(segment uint64) error {
	file, err := l.files.Create(fmt.Sprintf(segmentPattern, segment))
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := syncFileAndFolder(file, l.files); err != nil {
		_ = file.Close()
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.segment = segment
	l.size = 0
	l.nextSequence = 0
	l.broken = false
	return nil
}

func syncFileAndFolder(file File, files FileSystem) error {
	if err := file.Sync(); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := files.SyncFolder(); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

// Append writes records and syncs them with a single call. After an error the caller must treat none of them as
// written.
func (l *Log) Append(records [][]byte) error {
	if l.broken {
		return kwcode.New(kwcode.DiskFailed, "the log accepts no records until a snapshot starts a new segment")
	}
	var data []byte
	for i, r := range records {
		if len(r) > MaxRecordBytes {
			return kwcode.New(kwcode.DiskFailed, "record of %d bytes exceeds the limit of %d", len(r), MaxRecordBytes)
		}
		data = appendRecord(data, l.nextSequence+uint64(i), r)
	}
	if err := l.write(data); err != nil {
		return err
	}
	l.size += int64(len(data))
	l.nextSequence += uint64(len(records))
	return nil
}

// write appends and syncs data. It marks the log as broken if the content of the segment on disk is unknown after a
// failure: when the partial write cannot be truncated, or the sync fails. Only a new segment clears that.
func (l *Log) write(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		if l.truncateTail() != nil {
			l.broken = true
		}
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	l.syncCount++
	if err := l.file.Sync(); err != nil {
		l.broken = true
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

// Broken reports whether Append is rejected until Snapshot starts a new segment.
func (l *Log) Broken() bool { return l.broken }

// SegmentSize returns the size of the current segment in bytes.
func (l *Log) SegmentSize() int64 { return l.size }

// SyncCount returns how many syncs Append has issued.
func (l *Log) SyncCount() uint64 { return l.syncCount }

// Snapshot writes the complete state, starts a new segment and removes the older files, which the snapshot supersedes. It refuses a state
// of more than MaxRecordBytes, which could not be read again.
func (l *Log) Snapshot(state []byte) error {
	if len(state) > MaxRecordBytes {
		return kwcode.New(kwcode.DiskFailed, "snapshot of %d bytes exceeds the limit of %d", len(state), MaxRecordBytes)
	}
	next := l.segment + 1
	if err := l.writeSnapshot(next, state); err != nil {
		return err
	}
	if err := l.startSegment(next); err != nil {
		l.broken = true
		return err
	}
	names, err := l.files.List()
	if err != nil {
		return nil
	}
	l.removeFilesBefore(names, next)
	return nil
}

// writeSnapshot writes snapshot n to a temporary file and creates its segment before it renames the snapshot into
// place, so that a crash in between never leaves a snapshot without its segment.
func (l *Log) writeSnapshot(n uint64, state []byte) error {
	file, err := l.files.Create(tempSnapshotName)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	_, err = file.Write(appendRecord(nil, n, state))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// What remains of it is overwritten by the next snapshot, but takes room until then.
		_ = l.files.Remove(tempSnapshotName)
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	segment, err := l.files.Create(fmt.Sprintf(segmentPattern, n))
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	err = syncFileAndFolder(segment, l.files)
	_ = segment.Close()
	if err != nil {
		return err
	}
	return l.publishSnapshot(n)
}

// publishSnapshot renames the snapshot into place. A failure leaves the log broken, because after a crash recovery may
// start at the new snapshot and no longer read the old segment.
func (l *Log) publishSnapshot(n uint64) error {
	if err := l.files.Rename(tempSnapshotName, fmt.Sprintf(snapshotPattern, n)); err != nil {
		l.broken = true
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := l.files.SyncFolder(); err != nil {
		l.broken = true
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

func (l *Log) readSnapshot(n uint64) ([]byte, error) {
	name := fmt.Sprintf(snapshotPattern, n)
	data, err := l.files.Read(name)
	if err != nil {
		return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	got, err := scanRecords(name, data, n, false)
	if err != nil {
		return nil, err
	}
	if len(got.payloads) != 1 {
		return nil, damageError(name, 0, "the snapshot holds %d records", len(got.payloads))
	}
	return got.payloads[0], nil
}

// removeFilesBefore removes segments and snapshots numbered below base; files that cannot be removed are left for
// later.
func (l *Log) removeFilesBefore(names []string, base uint64) {
	for _, pattern := range []string{segmentPattern, snapshotPattern} {
		for _, n := range fileNumbers(names, pattern) {
			if n < base {
				_ = l.files.Remove(fmt.Sprintf(pattern, n))
			}
		}
	}
}

// Close closes the current segment's file.
func (l *Log) Close() error {
	return l.file.Close()
}

// fileNumbers returns the numbers of the files whose names match the pattern, in ascending order.
func fileNumbers(names []string, pattern string) []uint64 {
	var out []uint64
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, pattern, &n); err != nil {
			continue
		}
		if strings.EqualFold(name, fmt.Sprintf(pattern, n)) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// newestNumber returns the highest number among the files that match the pattern, or 0.
func newestNumber(names []string, pattern string) uint64 {
	all := fileNumbers(names, pattern)
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1]
}
