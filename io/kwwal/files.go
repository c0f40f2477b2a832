package kwwal

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file of the data folder.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FileSystem is the part of a file system that the log uses; names are relative to the data folder.
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

// Folder is a Files on a real folder.
type Folder struct {
	path string
}

// OpenFolder makes the folder if needed.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	return &Folder{path: path}, nil
}

// Create makes a new file or empties an old one.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens a file for writing at its end.
func (f *Folder) Append(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Read returns a whole file.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Rename replaces a file.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove deletes a file.
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

// SyncFolder makes creations, renames and removals durable.
func (f *Folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
