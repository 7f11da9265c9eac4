package ringlog

import "os"

// File is what a ring does with a file. *os.File is one.
type File interface {
	// WriteAt writes at an offset; it extends the file where need be.
	WriteAt(p []byte, offset int64) (int, error)
	// Sync returns once all that was written to the file before is durable.
	Sync() error
	Close() error
}

// FileSystem opens and reads the files of a ring. Tests inject faults here.
type FileSystem interface {
	// MakeDir makes a directory with its parents; it may exist.
	MakeDir(path string) error
	// Open opens a file for reading and writing, and creates it where it does not exist.
	Open(path string) (File, error)
	// ReadFile returns a file's content. The error is os.ErrNotExist where there is no such file.
	ReadFile(path string) ([]byte, error)
	// SyncDir makes the names of the files in a directory durable.
	SyncDir(path string) error
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// MakeDir implements FileSystem.
func (OSFileSystem) MakeDir(path string) error { return os.MkdirAll(path, 0o755) }

// Open implements FileSystem.
func (OSFileSystem) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
}

// ReadFile implements FileSystem.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// SyncDir implements FileSystem.
func (OSFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer closeFile(dir)
	return dir.Sync()
}

// closeFile closes a file whose writes are synced, so that nothing depends on the close.
func closeFile(file File) { _ = file.Close() }
