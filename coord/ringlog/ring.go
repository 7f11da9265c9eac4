package ringlog

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// Sizes of a ring.
type Sizes struct {
	SegmentBytes int
	Segments     int // at the start; the ring grows by one where none is free
}

// File is what the ring does with a file. *os.File is one.
type File interface {
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Close() error
}

// FileSystem opens and reads the files of a ring. Faults are injected here by the tests.
type FileSystem interface {
	MakeDir(path string) error
	Open(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	SyncDir(path string) error
}

// ErrDamaged is a log that lacks synced records: the replica must join anew, with an empty
// folder and another ID.
var ErrDamaged = errors.New("the log on disk is damaged: empty this replica's folder, so that it joins its group anew")

// segment is one file of the ring.
type segment struct {
	path      string
	file      File
	begun     bool
	first     uint64 // number of its first record
	lastIndex uint64 // highest index of an entry in it
	found     []byte // its content at the start, until it was replayed
}

// Ring is an open log. Its methods must not be called concurrently; they block on the disk.
type Ring struct {
	files    FileSystem
	folder   string
	sizes    Sizes
	segments []*segment // in the order of their use; the last is written to
	free     []*segment
	offset   int
	number   uint64 // of the next record
	state    replica.HardState
	base     uint64 // index of the newest snapshot
	baseTerm uint64
	slot     int // where the next snapshot goes
	buffer   []byte
	used     int  // bytes written since the newest snapshot
	unsynced bool // the current segment's beginning is written and not synced yet
}

// OSFileSystem are the files of the operating system.
type OSFileSystem struct{}

// MakeDir implements Files.
func (OSFileSystem) MakeDir(path string) error { return os.MkdirAll(path, 0o755) }

// Open implements Files.
func (OSFileSystem) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
}

// ReadFile implements Files.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// SyncDir implements Files.
func (OSFileSystem) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Open reads what the folder holds, creating it where it is not there.
func Open(files FileSystem, folder string, sizes Sizes) (*Ring, replica.PersistedState, error) {
	if err := files.MakeDir(folder); err != nil {
		return nil, replica.PersistedState{}, errors.Wrap(err, "make the log's folder")
	}
	r := &Ring{files: files, folder: folder, sizes: sizes, number: 1}
	found, err := r.recover()
	if err != nil {
		return nil, replica.PersistedState{}, err
	}
	if err := r.preallocate(); err != nil {
		return nil, replica.PersistedState{}, err
	}
	// What a loss of power tore may leave whole records behind the torn one. They must never
	// follow a new record: each life writes to a segment of its own. Its beginning is synced
	// with the first records, before which nothing rests on it.
	if err := r.openSegment(); err != nil {
		return nil, replica.PersistedState{}, err
	}
	return r, found, nil
}

func (r *Ring) segmentPath(n int) string {
	return filepath.Join(r.folder, fmt.Sprintf("segment-%02d", n))
}

// preallocate makes the files that are not there yet, filled with zeros.
func (r *Ring) preallocate() error {
	for n := len(r.segments) + len(r.free); n < r.sizes.Segments; n++ {
		if err := r.addSegment(n); err != nil {
			return err
		}
	}
	return errors.Wrap(r.files.SyncDir(r.folder), "sync the log's folder")
}

func (r *Ring) addSegment(n int) error {
	path := r.segmentPath(n)
	file, err := r.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "open a segment")
	}
	if _, err := file.WriteAt(make([]byte, r.sizes.SegmentBytes), 0); err != nil {
		return errors.Wrap(err, "preallocate a segment")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync a new segment")
	}
	r.free = append(r.free, &segment{path: path, file: file})
	return nil
}

// Append writes records and syncs them. After an error the same call may be made again.
func (r *Ring) Append(state *replica.HardState, entries []replica.Entry) error {
	if state != nil {
		r.state = *state
	}
	for {
		now, rest := r.split(entries)
		if err := r.appendPart(state, now); err != nil {
			return err
		}
		if len(rest) == 0 {
			return nil
		}
		state, entries = nil, rest
	}
}

// split cuts off as many entries as half a segment takes.
func (r *Ring) split(entries []replica.Entry) (now, rest []replica.Entry) {
	size := 0
	for i, entry := range entries {
		size += framingBytes + 17 + len(entry.Data)
		if i > 0 && size > r.sizes.SegmentBytes/2 {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

func (r *Ring) appendPart(state *replica.HardState, entries []replica.Entry) error {
	r.buffer = r.buffer[:0]
	if err := r.room(entries); err != nil {
		return err
	}
	start, number, current := r.offset, r.number, r.segments[len(r.segments)-1]
	if state != nil {
		r.put(recordState, encodeState(*state))
	}
	for _, entry := range entries {
		payload, err := encodeEntry(entry)
		if err != nil {
			return errors.Wrap(err, "encode an entry")
		}
		r.put(recordEntry, payload)
		current.lastIndex = max(current.lastIndex, entry.Index)
	}
	if err := r.flush(current, start); err != nil {
		r.number, r.offset = number, start
		return err
	}
	r.used += len(r.buffer)
	return nil
}

func (r *Ring) put(kind recordKind, payload []byte) {
	r.buffer = appendRecord(r.buffer, record{number: r.number, kind: kind, payload: payload})
	r.number++
}

func (r *Ring) flush(current *segment, at int) error {
	if _, err := current.file.WriteAt(r.buffer, int64(at)); err != nil {
		return errors.Wrap(err, "write to the log")
	}
	if err := current.file.Sync(); err != nil {
		return errors.Wrap(err, "sync the log")
	}
	r.offset = at + len(r.buffer)
	r.unsynced = false
	return nil
}

// room makes sure that the current segment takes the records, beginning the next if not.
func (r *Ring) room(entries []replica.Entry) error {
	need := framingBytes + 8 + 64
	for _, entry := range entries {
		need += framingBytes + 17 + len(entry.Data)
		if entry.Membership != nil {
			need += 1024 + 128*len(entry.Membership.AllMembers())
		}
	}
	if len(r.segments) > 0 && r.offset+need <= r.sizes.SegmentBytes {
		return nil
	}
	return r.beginSegment()
}

// beginSegment takes a free segment, or one whose entries are all in a snapshot, or a new
// one, and begins it with the hard state.
func (r *Ring) beginSegment() error {
	if err := r.syncBegun(); err != nil {
		return err
	}
	if err := r.openSegment(); err != nil {
		return err
	}
	return r.syncBegun()
}

// syncBegun syncs the beginning of the current segment, where that was not done yet. No
// segment may follow one whose beginning can still be lost.
func (r *Ring) syncBegun() error {
	if !r.unsynced {
		return nil
	}
	if err := r.segments[len(r.segments)-1].file.Sync(); err != nil {
		return errors.Wrap(err, "sync a segment")
	}
	r.unsynced = false
	return nil
}

// openSegment begins the next segment without syncing it.
func (r *Ring) openSegment() error {
	r.reclaim()
	if len(r.free) == 0 {
		if err := r.addSegment(len(r.segments)); err != nil {
			return err
		}
		if err := r.files.SyncDir(r.folder); err != nil {
			return errors.Wrap(err, "sync the log's folder")
		}
	}
	next := r.free[0]
	content := appendHeader(nil, r.number)
	content = appendRecord(content, record{number: r.number, kind: recordState, payload: encodeState(r.state)})
	if _, err := next.file.WriteAt(content, 0); err != nil {
		return errors.Wrap(err, "begin a segment")
	}
	next.begun, next.first, next.lastIndex = true, r.number, 0
	r.free = r.free[1:]
	r.segments = append(r.segments, next)
	r.number++
	r.offset = len(content)
	r.unsynced = true
	return nil
}

// reclaim frees the oldest segments as far as the newest snapshot stands for them.
func (r *Ring) reclaim() {
	for len(r.segments) > 1 && r.segments[0].lastIndex <= r.base {
		r.free = append(r.free, r.segments[0])
		r.segments = r.segments[1:]
	}
}

// BytesSinceSnapshot returns the bytes of entries written since the newest snapshot.
func (r *Ring) BytesSinceSnapshot() int { return r.used }

// Reset begins the log anew after a snapshot that was installed from another replica.
func (r *Ring) Reset(snapshot replica.Snapshot) error {
	if err := r.SaveSnapshot(snapshot); err != nil {
		return err
	}
	for _, s := range r.segments {
		s.lastIndex = 0
	}
	if err := r.beginSegment(); err != nil {
		return err
	}
	r.buffer = r.buffer[:0]
	r.put(recordBase, binary.LittleEndian.AppendUint64(nil, snapshot.Index))
	return r.flush(r.segments[len(r.segments)-1], r.offset)
}

// NearlyFull tells whether most of the ring is in use, so that a snapshot is due.
func (r *Ring) NearlyFull() bool {
	r.reclaim()
	return len(r.segments) > r.sizes.Segments/2
}

// Close closes the files.
func (r *Ring) Close() {
	for _, s := range append(slices.Clone(r.segments), r.free...) {
		s.file.Close()
	}
}
