package recordstore

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
)

// A snapshot is a header, the encoded records.State, the file of records, and a checksum of
// all that.
const (
	snapshotMagic   = "BASALTFR"
	snapshotVersion = 1
	headerSize      = 36 // magic, version, length of the encoded state, length of the file, checksum of these
	maxStateSize    = 1 << 30
)

// ErrSnapshot is returned for a snapshot or a fence that is incomplete, damaged or none at all.
var ErrSnapshot = errors.New("not a sound snapshot of records")

// ErrNewerVersion is returned for a snapshot or a fence written by a newer version of the
// program.
var ErrNewerVersion = errors.New("written by a newer version of the program")

// Snapshot is one consistent state of a store, which continues to change.
type Snapshot struct {
	store *Store
	file  *openFile
	tx    *bolt.Tx
	state []byte
}

// Snapshot returns a snapshot of the store as it is now, together with the encoded
// records.State that belongs to it. It must be released.
func (s *Store) Snapshot(state []byte) (*Snapshot, error) {
	f, err := s.acquire()
	if err != nil {
		return nil, err
	}
	tx, err := f.db.Begin(false)
	if err != nil {
		s.release(f)
		return nil, fmt.Errorf("taking a snapshot of records: %w", err)
	}
	return &Snapshot{s, f, tx, state}, nil
}

// Index returns the index of the last log entry in the snapshot.
func (s *Snapshot) Index() uint64 { return appliedIndex(s.tx) }

// WriteTo writes the snapshot.
func (s *Snapshot) WriteTo(w io.Writer) (int64, error) {
	sum := xxhash.New()
	out := bufio.NewWriterSize(io.MultiWriter(w, sum), 1<<20)
	header := append(make([]byte, 0, headerSize), snapshotMagic...)
	header = binary.LittleEndian.AppendUint32(header, snapshotVersion)
	header = binary.LittleEndian.AppendUint64(header, uint64(len(s.state)))
	header = binary.LittleEndian.AppendUint64(header, uint64(s.tx.Size()))
	header = binary.LittleEndian.AppendUint64(header, xxhash.Sum64(header))
	_, _ = out.Write(append(header, s.state...)) // Flush returns its error
	n, err := s.tx.WriteTo(out)
	n += int64(len(header) + len(s.state))
	if err == nil {
		err = out.Flush()
	}
	if err == nil {
		_, err = w.Write(binary.LittleEndian.AppendUint64(nil, sum.Sum64()))
		n += 8
	}
	if err != nil {
		return n, fmt.Errorf("writing a snapshot of records: %w", err)
	}
	return n, nil
}

// Release ends the snapshot.
func (s *Snapshot) Release() {
	if s.tx != nil {
		_ = s.tx.Rollback()
		s.tx = nil
		s.store.release(s.file)
	}
}

// Restore replaces the store by a snapshot, and returns the encoded records.State and the
// index of the last log entry in it. On an error the store is unchanged; the error wraps
// ErrNewerVersion or ErrSnapshot if the cause is the snapshot. Open reads continue to read
// the old file.
func (s *Store) Restore(r io.Reader) (state []byte, index uint64, err error) {
	fail := func(err error) ([]byte, uint64, error) {
		_ = os.Remove(s.path(incomingFile))
		return nil, 0, fmt.Errorf("restoring records: %w", err)
	}
	if state, err = s.receive(r); err != nil {
		return fail(err)
	}
	db, index, err := openReceived(s.path(incomingFile))
	if err != nil {
		return fail(err)
	}
	if err := os.Rename(s.path(incomingFile), s.path(recordsFile)); err != nil {
		_ = db.Close()
		return fail(err)
	}
	s.replace(&openFile{db: db})
	if err := syncDir(s.folder); err != nil {
		return nil, 0, fmt.Errorf("restoring records: %w", err)
	}
	return state, index, nil
}

// receive reads a snapshot, writes its file beside the present one, and returns its encoded
// state.
func (s *Store) receive(r io.Reader) (state []byte, err error) {
	sum := xxhash.New()
	in := io.TeeReader(r, sum)
	header := make([]byte, headerSize)
	if _, err := io.ReadFull(in, header); err != nil {
		return nil, fmt.Errorf("snapshot header: %w: %w", ErrSnapshot, err)
	}
	if string(header[:8]) != snapshotMagic || xxhash.Sum64(header[:headerSize-8]) != binary.LittleEndian.Uint64(header[headerSize-8:]) {
		return nil, fmt.Errorf("snapshot header: %w", ErrSnapshot)
	}
	if v := binary.LittleEndian.Uint32(header[8:]); v != snapshotVersion {
		return nil, fmt.Errorf("snapshot version %d, not %d: %w", v, snapshotVersion, ErrNewerVersion)
	}
	sizes := [2]uint64{binary.LittleEndian.Uint64(header[12:]), binary.LittleEndian.Uint64(header[20:])}
	if sizes[0] > maxStateSize || sizes[1] > 1<<40 {
		return nil, fmt.Errorf("snapshot header: %w", ErrSnapshot)
	}
	if state, err = io.ReadAll(io.LimitReader(in, int64(sizes[0]))); err != nil || uint64(len(state)) != sizes[0] {
		return nil, fmt.Errorf("snapshot is truncated: %w", errors.Join(ErrSnapshot, err))
	}
	file, err := os.Create(s.path(incomingFile))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	if _, err := io.CopyN(file, in, int64(sizes[1])); err != nil {
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("snapshot is truncated: %w", ErrSnapshot)
		}
		return nil, err
	}
	want, got := sum.Sum64(), make([]byte, 8)
	if _, err := io.ReadFull(r, got); err != nil || binary.LittleEndian.Uint64(got) != want {
		return nil, fmt.Errorf("snapshot checksum: %w", ErrSnapshot)
	}
	if n, _ := r.Read(make([]byte, 1)); n != 0 {
		return nil, fmt.Errorf("data after the end of the snapshot: %w", ErrSnapshot)
	}
	if err := file.Sync(); err != nil {
		return nil, err
	}
	return state, nil
}

// openReceived opens a received file, checks that it has the buckets of a store, and returns
// the index of its last log entry.
func openReceived(path string) (db *bolt.DB, index uint64, err error) {
	if db, err = openDB(path); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{recordsBucket, idsBucket, metaBucket} {
			if tx.Bucket(name) == nil {
				return fmt.Errorf("it has no %s: %w", name, ErrSnapshot)
			}
		}
		index = appliedIndex(tx)
		return nil
	})
	if err != nil {
		_ = db.Close()
	}
	return db, index, err
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
