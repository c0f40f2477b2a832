package kwcontrol

import (
	"sync"
	"syscall"
	"testing"

	"knapweedproxy/io/kwwal"
)

// smallDisk is a folder on a disk of a size in bytes.
type smallDisk struct {
	kwwal.FileSystem
	mu    sync.Mutex
	size  int64
	files map[string]*smallFile
}

type smallFile struct {
	kwwal.File
	disk  *smallDisk
	bytes int64
}

func newSmallDisk(t *testing.T, path string, size int64) *smallDisk {
	t.Helper()
	return &smallDisk{FileSystem: openFolder(t, path), size: size, files: make(map[string]*smallFile)}
}

func (d *smallDisk) used() int64 {
	n := int64(0)
	for _, f := range d.files {
		n += f.bytes
	}
	return n
}

func (d *smallDisk) Create(name string) (kwwal.File, error) {
	f, err := d.FileSystem.Create(name)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &smallFile{File: f, disk: d}
	d.files[name] = out
	return out, nil
}

func (d *smallDisk) Append(name string) (kwwal.File, error) {
	f, err := d.FileSystem.Append(name)
	if err != nil {
		return nil, err
	}
	data, err := d.Read(name)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := &smallFile{File: f, disk: d, bytes: int64(len(data))}
	d.files[name] = out
	return out, nil
}

func (d *smallDisk) Rename(from, to string) error {
	if err := d.FileSystem.Rename(from, to); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *smallDisk) Remove(name string) error {
	if err := d.FileSystem.Remove(name); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

func (f *smallFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	room := f.disk.size - f.disk.used()
	f.disk.mu.Unlock()
	if int64(len(p)) > room {
		n, _ := f.File.Write(p[:max(0, room)])
		f.grow(n)
		return n, syscall.ENOSPC
	}
	n, err := f.File.Write(p)
	f.grow(n)
	return n, err
}

func (f *smallFile) Truncate(size int64) error {
	if err := f.File.Truncate(size); err != nil {
		return err
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.bytes = size
	return nil
}

func (f *smallFile) grow(n int) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.bytes += int64(n)
}
