// Package segment implements the storage format that the journal and the spool share: a directory of
// segment files that one process writes, and batches in them that are written completely or not at all.
// Each batch's checksum is seeded with the checksum of the batch before it, so that a missing, moved or torn
// batch is detected.
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

// Directory stores segments. Its methods return the errors of package os.
type Directory interface {
	Names() ([]string, error) // names of the segments, sorted
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // the segment must not exist
	Truncate(name string, size int64) error
	Remove(name string) error
	Sync() error // makes creations and removals durable
	Close() error
}

// File is a segment that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrInUse is returned by OpenDirectory when another process has the directory open for writing.
var ErrInUse = errors.New("in use by another process")

type osDirectory struct {
	path string
	lock *os.File // nil if the directory is open for reading only
}

// OpenDirectory opens a directory for writing, creates it if it does not exist, and locks it against
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

// ReadDirectory opens a directory for reading. It takes no lock, so another process may be writing to it.
func ReadDirectory(path string) (Directory, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", path)
	}
	return &osDirectory{path: path}, nil
}

func (d *osDirectory) filePath(name string) string { return filepath.Join(d.path, name) }

func (d *osDirectory) Names() ([]string, error) {
	entries, err := os.ReadDir(d.path)
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

func (d *osDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.filePath(name)) }

func (d *osDirectory) Create(name string) (File, error) {
	return os.OpenFile(d.filePath(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
}

func (d *osDirectory) Truncate(name string, size int64) error {
	return os.Truncate(d.filePath(name), size)
}
func (d *osDirectory) Remove(name string) error { return os.Remove(d.filePath(name)) }

func (d *osDirectory) Sync() error {
	file, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return file.Sync()
}

func (d *osDirectory) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}
