package ringlog

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// Sizes configures the size of a ring. The values may differ from those with which the ring was created:
// existing files keep their size.
type Sizes struct {
	SegmentBytes int
	Segments     int // minimum number of segments; the ring grows by one if none is free
}

// ErrDamaged is returned by Open if synced records are missing from the log or can't be decoded. The
// replica must rejoin its group with an empty folder and another ID.
var ErrDamaged = errors.New("the log on disk is damaged: empty this replica's folder, so that it rejoins its group as a new member")

// Ring is an open log. Its methods must not be called concurrently; they block on the disk.
type Ring struct {
	files  FileSystem
	folder string
	sizes  Sizes

	segments   []*segment // in use, in the order of their records; the last one is written to
	free       []*segment
	offset     int    // offset of the next record in the last segment
	nextNumber uint64 // number of the next record
	// segmentStartUnsynced is true while the header and hard state of the last segment are written but
	// not synced.
	segmentStartUnsynced bool
	buffer               []byte // records that are being written

	hardState          replica.HardState // the last one written; each segment begins with it
	snapshotIndex      uint64            // index of the newest snapshot
	nextSlot           int               // slot of the next snapshot; the other has the newest, if there is one
	bytesSinceSnapshot int               // size of the records written since the newest snapshot
}

// Open opens the log in a folder and returns the state that it holds. The folder is created if it does
// not exist. The returned state is synced. An error is ErrDamaged or an error of the file system.
func Open(files FileSystem, folder string, sizes Sizes) (*Ring, replica.PersistedState, error) {
	if err := files.MakeDir(folder); err != nil {
		return nil, replica.PersistedState{}, errors.Wrap(err, "create log folder")
	}
	r := &Ring{files: files, folder: folder, sizes: sizes, nextNumber: 1}
	found, err := r.recover()
	if err != nil {
		return nil, replica.PersistedState{}, err
	}
	if err := r.preallocate(); err != nil {
		return nil, replica.PersistedState{}, err
	}
	// A power failure may leave complete records after a torn one. Recovery must never read them as the
	// successors of a new record, so each start of the process begins a new segment. Its start is synced
	// before any record follows: otherwise a power failure may leave the record without the header, and
	// the header of an earlier use of the file, whose records it has overwritten.
	if err := r.startSegmentSynced(); err != nil {
		return nil, replica.PersistedState{}, err
	}
	return r, found, nil
}

// Append writes and syncs a hard state, unless it is nil, and entries. After an error it may be called
// again with the same arguments.
func (r *Ring) Append(hardState *replica.HardState, entries []replica.Entry) error {
	if hardState != nil {
		r.hardState = *hardState
	}
	for {
		batch, remaining := r.split(entries)
		if err := r.appendBatch(hardState, batch); err != nil {
			return err
		}
		if len(remaining) == 0 {
			return nil
		}
		hardState, entries = nil, remaining
	}
}

// split returns as many of the first entries as fit in half a segment, at least one, and the remaining
// ones.
func (r *Ring) split(entries []replica.Entry) (batch, remaining []replica.Entry) {
	size := 0
	for i, entry := range entries {
		size += recordHeaderBytes + entryHeaderBytes + len(entry.Data)
		if i > 0 && size > r.sizes.SegmentBytes/2 {
			return entries[:i], entries[i:]
		}
	}
	return entries, nil
}

// appendBatch writes and syncs a hard state, unless it is nil, and entries to one segment.
func (r *Ring) appendBatch(hardState *replica.HardState, entries []replica.Entry) error {
	r.buffer = r.buffer[:0]
	if err := r.ensureSpace(entries); err != nil {
		return err
	}
	start, number, current := r.offset, r.nextNumber, r.currentSegment()
	if hardState != nil {
		r.bufferRecord(recordHardState, encodeHardState(*hardState))
	}
	for _, entry := range entries {
		payload, err := encodeEntry(entry)
		if err != nil {
			return errors.Wrap(err, "encode entry")
		}
		r.bufferRecord(recordEntry, payload)
		current.lastIndex = max(current.lastIndex, entry.Index)
	}
	if err := r.flush(current, start); err != nil {
		r.nextNumber, r.offset = number, start
		return err
	}
	r.bytesSinceSnapshot += len(r.buffer)
	return nil
}

// bufferRecord adds the next record to the buffer, to be written by flush.
func (r *Ring) bufferRecord(kind recordKind, payload []byte) {
	r.buffer = appendRecord(r.buffer, record{number: r.nextNumber, kind: kind, payload: payload})
	r.nextNumber++
}

// flush writes and syncs the buffered records at an offset of the current segment.
func (r *Ring) flush(current *segment, offset int) error {
	if _, err := current.file.WriteAt(r.buffer, int64(offset)); err != nil {
		return errors.Wrap(err, "write log records")
	}
	if err := current.file.Sync(); err != nil {
		return errors.Wrap(err, "sync log records")
	}
	r.offset = offset + len(r.buffer)
	r.segmentStartUnsynced = false
	return nil
}

// Reset replaces the log by a snapshot, which comes from another replica or is the initial state of a new
// group. After an error it may be called again.
func (r *Ring) Reset(snapshot replica.Snapshot) error {
	if err := r.SaveSnapshot(snapshot); err != nil {
		return err
	}
	for _, s := range r.segments {
		s.lastIndex = 0 // so that the snapshot covers all of them
	}
	if err := r.startSegmentSynced(); err != nil {
		return err
	}
	r.buffer = r.buffer[:0]
	r.bufferRecord(recordReset, binary.LittleEndian.AppendUint64(nil, snapshot.Index))
	return r.flush(r.currentSegment(), r.offset)
}

// BytesSinceSnapshot returns the size in bytes of the records written since the newest snapshot.
func (r *Ring) BytesSinceSnapshot() int { return r.bytesSinceSnapshot }

// NearlyFull reports whether more than half of the segments are in use, so that a snapshot is due.
func (r *Ring) NearlyFull() bool {
	r.reclaim()
	return len(r.segments) > r.sizes.Segments/2
}

// Close closes the files. All acknowledged writes are synced already.
func (r *Ring) Close() {
	for _, s := range r.segments {
		closeFile(s.file)
	}
	for _, s := range r.free {
		closeFile(s.file)
	}
}
