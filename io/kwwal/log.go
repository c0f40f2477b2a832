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
	segmentPattern  = "log-%016d.seg"
	snapshotPattern = "snapshot-%016d.snap"
	temporaryName   = "snapshot.tmp"
	lockName        = "lock"
)

// Config holds the folder of a log.
type Config struct {
	Files FileSystem
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	Snapshot []byte
	Records  [][]byte
	TornTail bool
}

// Log appends records to the newest segment; it is owned by one goroutine.
type Log struct {
	files   FileSystem
	segment uint64
	file    File
	size    int64
	next    uint64
	broken  bool
	syncs   uint64
}

// Lock takes the data folder for this process; it returns FolderLocked if another holds it.
func Lock(path string) (func(), error) {
	if _, err := OpenFolder(path); err != nil {
		return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	lock := flock.New(filepath.Join(path, lockName))
	held, err := lock.TryLock()
	if err != nil {
		return nil, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if !held {
		return nil, kwcode.New(kwcode.FolderLocked, "%s is in use by another process", path)
	}
	return func() { _ = lock.Unlock() }, nil
}

// Open reads the newest snapshot and the records after it, and cuts a torn tail off.
func Open(cfg Config) (*Log, Recovered, error) {
	l := &Log{files: cfg.Files}
	names, err := l.files.List()
	if err != nil {
		return nil, Recovered{}, kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	base := newest(names, snapshotPattern)
	segments := numbers(names, segmentPattern)
	segments = slices.DeleteFunc(segments, func(n uint64) bool { return n < base })
	segments = l.dropEmptyTail(segments)
	recovered, err := l.recover(base, segments)
	if err != nil {
		return nil, Recovered{}, err
	}
	l.removeBefore(names, base)
	return l, recovered, nil
}

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
		return out, l.start(1)
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

// dropEmptyTail removes segments that an unfinished snapshot left behind.
func (l *Log) dropEmptyTail(segments []uint64) []uint64 {
	for len(segments) > 1 {
		name := fmt.Sprintf(segmentPattern, segments[len(segments)-1])
		data, err := l.files.Read(name)
		if err != nil || len(data) > 0 {
			return segments
		}
		if err := l.files.Remove(name); err != nil {
			return segments
		}
		segments = segments[:len(segments)-1]
	}
	return segments
}

func (l *Log) readSegment(n uint64, last bool, out *Recovered) error {
	name := fmt.Sprintf(segmentPattern, n)
	data, err := l.files.Read(name)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	got, err := scan(name, data, 0, last)
	if err != nil {
		return err
	}
	out.Records = append(out.Records, got.payloads...)
	if !last {
		return nil
	}
	out.TornTail = got.good < len(data)
	l.segment = n
	l.size = int64(got.good)
	l.next = got.next
	l.file, err = l.files.Append(name)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if out.TornTail {
		return l.cut()
	}
	return nil
}

// cut removes the bytes after the last whole record.
func (l *Log) cut() error {
	if err := l.file.Truncate(l.size); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := l.file.Sync(); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

func (l *Log) start(segment uint64) error {
	file, err := l.files.Create(fmt.Sprintf(segmentPattern, segment))
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := syncBoth(file, l.files); err != nil {
		_ = file.Close()
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.segment = segment
	l.size = 0
	l.next = 0
	l.broken = false
	return nil
}

func syncBoth(file File, files FileSystem) error {
	if err := file.Sync(); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := files.SyncFolder(); err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

// Append writes records and syncs them with one call; after an error none of them counts.
func (l *Log) Append(records [][]byte) error {
	if l.broken {
		return kwcode.New(kwcode.DiskFailed, "the log is waiting for a new segment")
	}
	var data []byte
	for i, r := range records {
		if len(r) > MaxRecordBytes {
			return kwcode.New(kwcode.DiskFailed, "a record of %d bytes, limit %d", len(r), MaxRecordBytes)
		}
		data = appendRecord(data, l.next+uint64(i), r)
	}
	if err := l.write(data); err != nil {
		return err
	}
	l.size += int64(len(data))
	l.next += uint64(len(records))
	return nil
}

// write leaves the log broken when the bytes on disk are no longer known; only a new segment mends that.
func (l *Log) write(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		if l.cut() != nil {
			l.broken = true
		}
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	l.syncs++
	if err := l.file.Sync(); err != nil {
		l.broken = true
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return nil
}

// Broken tells whether appends are refused until Snapshot starts a new segment.
func (l *Log) Broken() bool { return l.broken }

// SegmentSize returns the bytes in the present segment.
func (l *Log) SegmentSize() int64 { return l.size }

// SyncCount returns how many times Append has synced.
func (l *Log) SyncCount() uint64 { return l.syncs }

// Snapshot writes the whole state, starts a new segment and removes the files that it covers.
func (l *Log) Snapshot(state []byte) error {
	next := l.segment + 1
	if err := l.writeSnapshot(next, state); err != nil {
		return err
	}
	if err := l.start(next); err != nil {
		l.broken = true
		return err
	}
	names, err := l.files.List()
	if err != nil {
		return nil
	}
	l.removeBefore(names, next)
	return nil
}

// writeSnapshot makes the segment of the snapshot first, so that a crash between the two leaves a valid pair.
func (l *Log) writeSnapshot(n uint64, state []byte) error {
	file, err := l.files.Create(temporaryName)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	_, err = file.Write(appendRecord(nil, n, state))
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	segment, err := l.files.Create(fmt.Sprintf(segmentPattern, n))
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	err = syncBoth(segment, l.files)
	_ = segment.Close()
	if err != nil {
		return err
	}
	return l.publishSnapshot(n)
}

// publishSnapshot leaves the log broken on failure: the old segment may no longer be read after a crash.
func (l *Log) publishSnapshot(n uint64) error {
	if err := l.files.Rename(temporaryName, fmt.Sprintf(snapshotPattern, n)); err != nil {
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
	got, err := scan(name, data, n, false)
	if err != nil {
		return nil, err
	}
	if len(got.payloads) != 1 {
		return nil, damaged(name, 0, "the snapshot holds %d records", len(got.payloads))
	}
	return got.payloads[0], nil
}

func (l *Log) removeBefore(names []string, base uint64) {
	for _, pattern := range []string{segmentPattern, snapshotPattern} {
		for _, n := range numbers(names, pattern) {
			if n < base {
				_ = l.files.Remove(fmt.Sprintf(pattern, n))
			}
		}
	}
}

// Close closes the present segment.
func (l *Log) Close() error {
	return l.file.Close()
}

func numbers(names []string, pattern string) []uint64 {
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

func newest(names []string, pattern string) uint64 {
	all := numbers(names, pattern)
	if len(all) == 0 {
		return 0
	}
	return all[len(all)-1]
}
