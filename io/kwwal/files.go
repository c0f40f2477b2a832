package kwwal

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file in the data folder.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FileSystem is the set of file operations that the log needs. Names are relative to the data folder.
type FileSystem interface {
	Create(name string) (File, error)
	Append(name string) (File, error)
	Read(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncFolder() error
}

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Folder is the FileSystem of a folder on disk.
type Folder struct {
	path string
}

// OpenFolder returns the folder at path, which it creates if it does not exist.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	return &Folder{path: path}, nil
}

// Create opens a file for writing. It truncates a file that already exists.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens an existing file for writing at its end.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Read returns the content of a file.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Rename renames a file, replacing a file of the new name.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove removes a file.
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// List returns the names of all files.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		out = append(out, e.Name())
	}
	return out, nil
}

// SyncFolder syncs the folder itself, which makes created, renamed and removed names durable.
func (f *Folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
