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

// boltOptions bound the wait for a log that another process has locked.
var boltOptions = &bbolt.Options{Timeout: time.Second}

// dataDir is a node's data directory, locked for this process.
type dataDir struct {
	path      string
	lock      *os.File
	snapshots *raft.FileSnapshotStore
	identity  identity
}

// identity names the node that a data directory belongs to, and counts the node's starts
// with it. It is stored under its field names, or the names in their tags.
type identity struct {
	Version uint8  `cbor:"V"`
	Node    string `cbor:"Keeper"`
	Starts  uint64
}

const (
	identityFile    = "keeper"
	identityVersion = 1
)

// ErrDataDir is returned for a data directory that this node can't use.
var ErrDataDir = errors.New("the fleet's folder can't be used")

// openDir locks the data directory. It fails for the directory of another node or version,
// and for one in use.
func (node *Node) openDir() (*dataDir, error) {
	path := node.settings.DataDir
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDataDir, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%w: another process uses %s", ErrDataDir, path)
	}
	dir := &dataDir{path: path, lock: lock, identity: identity{Version: identityVersion, Node: node.settings.Name}}
	text, err := os.ReadFile(filepath.Join(path, identityFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
		if _, err := os.Stat(filepath.Join(path, "log.db")); err == nil {
			_ = lock.Close()
			return nil, fmt.Errorf("%w: %s has a log, but no identity file", ErrDataDir, path)
		}
		return dir, nil
	case err == nil:
		err = codec.Decode(text, &dir.identity)
	}
	switch {
	case err != nil:
		err = fmt.Errorf("%w: its identity file can't be read: %w", ErrDataDir, err)
	case dir.identity.Version != identityVersion:
		err = fmt.Errorf("%w: it is of version %d, this program reads %d", ErrDataDir, dir.identity.Version, identityVersion)
	case dir.identity.Node != node.settings.Name:
		err = fmt.Errorf("%w: %s belongs to raft node %s, not to %s", ErrDataDir, path, dir.identity.Node, node.settings.Name)
	default:
		return dir, nil
	}
	_ = lock.Close()
	return nil, err
}

// claim stores the identity of a directory that has none yet, before a log is written to it.
// A node that stops while it waits for the others can then use its directory again.
func (d *dataDir) claim() error {
	if _, err := os.Stat(filepath.Join(d.path, identityFile)); !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return d.storeIdentity()
}

// countStart atomically stores one more start in the identity file.
func (d *dataDir) countStart() error {
	d.identity.Starts++
	return d.storeIdentity()
}

// storeIdentity atomically replaces the identity file.
func (d *dataDir) storeIdentity() error {
	text, err := codec.Encode(d.identity)
	if err != nil {
		return err
	}
	temp, err := os.CreateTemp(d.path, "new-*")
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDataDir, err)
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	_, err = temp.Write(text)
	err = errors.Join(err, temp.Sync(), temp.Close())
	if err == nil {
		err = os.Rename(temp.Name(), filepath.Join(d.path, identityFile))
	}
	if err == nil {
		err = d.sync()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDataDir, err)
	}
	return nil
}

// sync makes the creation, renaming and removal of files in the directory durable.
func (d *dataDir) sync() error {
	file, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// wipe removes everything but the lock.
func (d *dataDir) wipe() error {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if e.Name() != "lock" {
			err = errors.Join(err, os.RemoveAll(filepath.Join(d.path, e.Name())))
		}
	}
	d.identity.Starts = 0
	return errors.Join(err, d.sync())
}

func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
