// Package recordstore keeps the records of finished jobs in a bbolt file. The file is a
// cache of the replicated log: it is written without syncing, discarded at a start, and
// rebuilt from the last snapshot and the log, which are durable.
package recordstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"basaltloft/internal/dispatcher/fleet/records"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
)

const (
	recordsFile  = "records.db"
	incomingFile = "records.new"
	// initialMapSize is the address space reserved for the file: once the file outgrows it, a
	// write has to wait for open reads.
	initialMapSize = 8 << 30
)

// Buckets, and the key in metaBucket.
var (
	recordsBucket   = []byte("records") // tenant, position -> record
	idsBucket       = []byte("ids")     // hash of the id, tenant, position -> nothing
	metaBucket      = []byte("meta")
	appliedIndexKey = []byte("index")
)

// ErrInUse is returned by Open if another process uses the directory.
var ErrInUse = errors.New("in use by another process")

// ErrClosed is returned by methods of a closed store.
var ErrClosed = errors.New("the store of records is closed")

// openFile is an open bbolt file with the number of its users. A file that a restore has
// replaced is closed when its last user releases it.
type openFile struct {
	db       *bolt.DB
	users    int
	replaced bool
}

// Store keeps records in a directory of this process. It is safe for concurrent use, except
// that Update, Snapshot and Restore must be called one at a time.
type Store struct {
	folder string
	lock   *os.File

	mu   sync.Mutex
	file *openFile // nil: closed
}

// Open opens an empty store in a directory, which it creates if it doesn't exist, and locks
// the directory against other processes until the store is closed. Files that an earlier run
// left there are removed, so that no pruned record is served again from them.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, fmt.Errorf("directory of the records: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("directory of the records: %w", err)
	}
	s := &Store{folder: folder, lock: lock}
	if err := s.initialize(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) initialize() error {
	if err := syscall.Flock(int(s.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%s: %w", s.folder, ErrInUse)
	}
	for _, name := range []string{recordsFile, incomingFile} {
		if err := os.Remove(s.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("removing the records of an earlier run: %w", err)
		}
	}
	db, err := openDB(s.path(recordsFile))
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{recordsBucket, idsBucket, metaBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(appliedIndexKey, make([]byte, 8))
	})
	if err != nil {
		_ = db.Close()
		return fmt.Errorf("creating a store of records: %w", err)
	}
	s.file = &openFile{db: db}
	return nil
}

func openDB(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o640, &bolt.Options{NoSync: true, NoFreelistSync: true, FreelistType: bolt.FreelistMapType, InitialMmapSize: initialMapSize})
	if err != nil {
		return nil, fmt.Errorf("opening a store of records: %w", err)
	}
	return db, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// acquire returns the present file, which stays open until the caller releases it.
func (s *Store) acquire() (*openFile, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return nil, ErrClosed
	}
	s.file.users++
	return s.file, nil
}

func (s *Store) release(f *openFile) {
	s.mu.Lock()
	f.users--
	last := f.replaced && f.users == 0
	s.mu.Unlock()
	if last {
		_ = f.db.Close()
	}
}

// replace replaces the present file by another one, or by none.
func (s *Store) replace(next *openFile) {
	s.mu.Lock()
	old := s.file
	s.file = next
	last := old != nil && old.users == 0
	if old != nil {
		old.replaced = true
	}
	s.mu.Unlock()
	if last {
		_ = old.db.Close()
	}
}

// Close closes the store. Open reads and snapshots continue until they end.
func (s *Store) Close() error {
	s.replace(nil)
	return s.lock.Close()
}

// Update runs a change in one transaction, which also stores the index of the last log entry
// that the change covers. If Update returns an error, nothing has changed.
func (s *Store) Update(index uint64, change func(records.Store) error) error {
	f, err := s.acquire()
	if err != nil {
		return err
	}
	defer s.release(f)
	return f.db.Update(func(tx *bolt.Tx) error {
		if err := change(transaction{tx}); err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(appliedIndexKey, binary.BigEndian.AppendUint64(nil, index))
	})
}

// View calls read with one consistent state of the store.
func (s *Store) View(read func(records.Reader) error) error {
	f, err := s.acquire()
	if err != nil {
		return err
	}
	defer s.release(f)
	return f.db.View(func(tx *bolt.Tx) error { return read(transaction{tx}) })
}

// Index returns the index of the last log entry in the store.
func (s *Store) Index() (index uint64, err error) {
	f, err := s.acquire()
	if err != nil {
		return 0, err
	}
	defer s.release(f)
	return index, f.db.View(func(tx *bolt.Tx) error {
		index = appliedIndex(tx)
		return nil
	})
}

func appliedIndex(tx *bolt.Tx) uint64 {
	if text := tx.Bucket(metaBucket).Get(appliedIndexKey); len(text) == 8 {
		return binary.BigEndian.Uint64(text)
	}
	return 0
}

// Size returns the size of the file in bytes. Space that prunes have freed is reused, but
// the file does not shrink before the next restore.
func (s *Store) Size() (int64, error) {
	info, err := os.Stat(s.path(recordsFile))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// transaction implements records.Store within one transaction.
type transaction struct{ tx *bolt.Tx }

// tenantPrefix returns the prefix of all keys of a tenant.
func tenantPrefix(tenant string) []byte {
	return append(binary.BigEndian.AppendUint16(make([]byte, 0, 64+len(tenant)), uint16(len(tenant))), tenant...)
}

// appendPosition appends a position, so that keys sort as positions do. Names of processes
// have no zero byte.
func appendPosition(key []byte, o records.Position) []byte {
	key = binary.BigEndian.AppendUint64(key, uint64(o.Ended)^1<<63)
	key = append(append(key, o.Process...), 0)
	key = binary.BigEndian.AppendUint64(key, o.Epoch)
	return binary.BigEndian.AppendUint64(key, o.Seq)
}

func idPrefix(id string) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, 128), xxhash.Sum64String(id))
}

func (t transaction) Put(r *records.Record, text []byte) error {
	key := appendPosition(tenantPrefix(r.Tenant), r.Position())
	if err := t.tx.Bucket(recordsBucket).Put(key, text); err != nil {
		return fmt.Errorf("storing a record: %w", err)
	}
	if err := t.tx.Bucket(idsBucket).Put(append(idPrefix(r.ID), key...), nil); err != nil {
		return fmt.Errorf("storing a record's id: %w", err)
	}
	return nil
}

func (t transaction) Delete(r *records.Record) error {
	key := appendPosition(tenantPrefix(r.Tenant), r.Position())
	if err := t.tx.Bucket(recordsBucket).Delete(key); err != nil {
		return fmt.Errorf("removing a record: %w", err)
	}
	if err := t.tx.Bucket(idsBucket).Delete(append(idPrefix(r.ID), key...)); err != nil {
		return fmt.Errorf("removing a record's id: %w", err)
	}
	return nil
}

func (t transaction) Ascend(tenant string, from records.Position, yield func(*records.Record, []byte) bool) error {
	prefix, c := tenantPrefix(tenant), t.tx.Bucket(recordsBucket).Cursor()
	for k, v := c.Seek(appendPosition(tenantPrefix(tenant), from)); bytes.HasPrefix(k, prefix); k, v = c.Next() {
		if more, err := yieldRecord(v, yield); !more || err != nil {
			return err
		}
	}
	return nil
}

func (t transaction) Descend(tenant string, before records.Position, yield func(*records.Record, []byte) bool) error {
	prefix, c := tenantPrefix(tenant), t.tx.Bucket(recordsBucket).Cursor()
	var v []byte
	k, _ := c.Seek(appendPosition(tenantPrefix(tenant), before))
	if k == nil {
		k, v = c.Last()
	} else {
		k, v = c.Prev()
	}
	for ; bytes.HasPrefix(k, prefix); k, v = c.Prev() {
		if more, err := yieldRecord(v, yield); !more || err != nil {
			return err
		}
	}
	return nil
}

func (t transaction) ByID(id string, yield func(*records.Record, []byte) bool) error {
	prefix, c, stored := idPrefix(id), t.tx.Bucket(idsBucket).Cursor(), t.tx.Bucket(recordsBucket)
	for k, _ := c.Seek(prefix); bytes.HasPrefix(k, prefix); k, _ = c.Next() {
		v := stored.Get(k[len(prefix):])
		if v == nil {
			return fmt.Errorf("the store of records: the index of id %.40q refers to a record that does not exist", id)
		}
		more, err := yieldRecord(v, func(r *records.Record, text []byte) bool { return r.ID != id || yield(r, text) })
		if !more || err != nil {
			return err
		}
	}
	return nil
}

func yieldRecord(text []byte, yield func(*records.Record, []byte) bool) (more bool, err error) {
	r, err := records.DecodeRecord(text)
	if err != nil {
		return false, fmt.Errorf("reading the store of records: %w", err)
	}
	return yield(&r, text), nil
}
