package ringlog

import "os"

// File is an open file of a ring. *os.File implements it.
type File interface {
	// WriteAt writes at an offset. It extends the file if necessary.
	WriteAt(p []byte, offset int64) (int, error)
	// Sync returns once all earlier writes to the file are durable.
	Sync() error
	Close() error
}

// FileSystem opens and reads the files of a ring. Tests implement it to inject faults.
type FileSystem interface {
	// MakeDir creates a directory and its parents. It is no error if the directory exists.
	MakeDir(path string) error
	// Open opens a file for reading and writing, and creates it if it does not exist.
	Open(path string) (File, error)
	// ReadFile returns a file's content. The error is os.ErrNotExist if there is no such file.
	ReadFile(path string) ([]byte, error)
	// SyncDir makes the directory entries of the files in a directory durable.
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

// closeFile closes a file whose writes are synced, so that an error of the close can be ignored.
func closeFile(file File) { _ = file.Close() }
