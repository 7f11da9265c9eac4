package raftnode

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// boltOptions: a log that another process holds is an error soon, not a wait.
var boltOptions = &bbolt.Options{Timeout: time.Second}

// folder is a keeper's own.
type folder struct {
	path  string
	lock  *os.File
	snaps *raft.FileSnapshotStore
	mark  mark
}

// mark says whose a folder is and how often it was started with.
type mark struct {
	V      uint8
	Keeper string
	Starts uint64
}

const (
	markName    = "keeper"
	markVersion = 1
)

// ErrFolder says that a folder can't be this keeper's.
var ErrFolder = errors.New("the fleet's folder can't be used")

// openFolder takes the folder, and refuses one that is another keeper's, of another
// version, or in use.
func (k *Node) openFolder() (*folder, error) {
	path := k.s.Folder
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFolder, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%w: another process uses %s", ErrFolder, path)
	}
	f := &folder{path: path, lock: lock, mark: mark{V: markVersion, Keeper: k.s.Name}}
	text, err := os.ReadFile(filepath.Join(path, markName))
	switch {
	case errors.Is(err, os.ErrNotExist):
		if _, err := os.Stat(filepath.Join(path, "log.db")); err == nil {
			lock.Close()
			return nil, fmt.Errorf("%w: %s has a log, and no mark of whose it is", ErrFolder, path)
		}
		return f, nil
	case err == nil:
		err = codec.Decode(text, &f.mark)
	}
	switch {
	case err != nil:
		err = fmt.Errorf("%w: its mark can't be read: %w", ErrFolder, err)
	case f.mark.V != markVersion:
		err = fmt.Errorf("%w: it is of version %d, this program reads %d", ErrFolder, f.mark.V, markVersion)
	case f.mark.Keeper != k.s.Name:
		err = fmt.Errorf("%w: %s is that of keeper %s, not of %s", ErrFolder, path, f.mark.Keeper, k.s.Name)
	default:
		return f, nil
	}
	lock.Close()
	return nil, err
}

// countStart writes one more start into the mark, whole or not at all.
func (f *folder) countStart() error {
	f.mark.Starts++
	text, err := codec.Encode(f.mark)
	if err != nil {
		return err
	}
	temp, err := os.CreateTemp(f.path, "new-*")
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFolder, err)
	}
	defer os.Remove(temp.Name())
	_, err = temp.Write(text)
	err = errors.Join(err, temp.Sync(), temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), filepath.Join(f.path, markName))
	}
	if err == nil {
		err = f.sync()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFolder, err)
	}
	return nil
}

func (f *folder) sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// wipe clears the folder of all but its lock.
func (f *folder) wipe() error {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Name() != "lock" {
			err = errors.Join(err, os.RemoveAll(filepath.Join(f.path, e.Name())))
		}
	}
	f.mark.Starts = 0
	return errors.Join(err, f.sync())
}

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
