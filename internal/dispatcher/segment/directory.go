// Package segment is the storage format that the journal and the spool share: a directory
// of segment files that one process writes, and batches in them that are written completely
// or not at all. Each batch's checksum is seeded with that of the batch before, so that a
// missing, moved or torn batch is detected.
package segment

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// Directory is where segments are kept. Its methods fail with the errors of package os.
type Directory interface {
	Names() ([]string, error) // the segments, sorted
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // the segment must not exist
	Truncate(name string, size int64) error
	Remove(name string) error
	Sync() error // makes creations and removals durable
	Close() error
}

// File is a segment that is being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrInUse says that another process writes to a directory.
var ErrInUse = errors.New("in use by another process")

type osDirectory struct {
	path string
	lock *os.File // nil: read only
}

// OpenDirectory opens a directory for writing, creates it if need be, and locks it against
// other processes until it is closed.
func OpenDirectory(path string) (Directory, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	}
	return &osDirectory{path, lock}, nil
}

// ReadDirectory opens a directory for reading, also while a process writes to it.
func ReadDirectory(path string) (Directory, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is no folder", path)
	}
	return &osDirectory{path: path}, nil
}

func (f *osDirectory) filePath(name string) string { return filepath.Join(f.path, name) }

func (f *osDirectory) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".seg") {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f *osDirectory) Read(name string) ([]byte, error) { return os.ReadFile(f.filePath(name)) }

func (f *osDirectory) Create(name string) (File, error) {
	return os.OpenFile(f.filePath(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

func (f *osDirectory) Truncate(name string, size int64) error {
	return os.Truncate(f.filePath(name), size)
}
func (f *osDirectory) Remove(name string) error { return os.Remove(f.filePath(name)) }

func (f *osDirectory) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

func (f *osDirectory) Close() error {
	if f.lock == nil {
		return nil
	}
	return f.lock.Close()
}
