package ringlog

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

const (
	// maxHardStateBytes is what ensureSpace reserves for a hard state: a term and a member's ID.
	maxHardStateBytes = termBytes + 64
	// ensureSpace reserves for an encoded membership gob's description of the types, and each member.
	membershipBytes       = 1024
	membershipMemberBytes = 128
)

// segment is one file of the ring.
type segment struct {
	path        string
	file        File
	firstNumber uint64 // of its first record
	lastIndex   uint64 // highest index of its entries; 0: it has none that matter
	content     []byte // as read by Open, until it is replayed
}

func (r *Ring) currentSegment() *segment { return r.segments[len(r.segments)-1] }

func (r *Ring) segmentPath(fileNumber int) string {
	return filepath.Join(r.folder, fmt.Sprintf("segment-%02d", fileNumber))
}

// preallocate makes the segment files that do not exist yet, filled with zeros, so that
// appends change no file's size.
func (r *Ring) preallocate() error {
	for fileNumber := len(r.segments) + len(r.free); fileNumber < r.sizes.Segments; fileNumber++ {
		if err := r.addSegment(fileNumber); err != nil {
			return err
		}
	}
	return errors.Wrap(r.files.SyncDir(r.folder), "sync the log's folder")
}

// addSegment makes a segment file, filled with zeros and synced, and adds it to the free ones.
func (r *Ring) addSegment(fileNumber int) error {
	path := r.segmentPath(fileNumber)
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

// ensureSpace starts the next segment where a hard state and the entries may not fit in the current
// one.
func (r *Ring) ensureSpace(entries []replica.Entry) error {
	needed := recordHeaderBytes + maxHardStateBytes
	for _, entry := range entries {
		needed += recordHeaderBytes + entryHeaderBytes + len(entry.Data)
		if entry.Membership != nil {
			needed += membershipBytes + membershipMemberBytes*len(entry.Membership.AllMembers())
		}
	}
	if len(r.segments) > 0 && r.offset+needed <= r.sizes.SegmentBytes {
		return nil
	}
	return r.startSegmentSynced()
}

// startSegmentSynced starts the next segment and syncs its start.
func (r *Ring) startSegmentSynced() error {
	if err := r.syncSegmentStart(); err != nil {
		return err
	}
	if err := r.startSegmentUnsynced(); err != nil {
		return err
	}
	return r.syncSegmentStart()
}

// syncSegmentStart syncs the start of the current segment, where that was not done yet. No segment
// may follow one whose start can still be lost: its records would seem to be missing.
func (r *Ring) syncSegmentStart() error {
	if !r.segmentStartUnsynced {
		return nil
	}
	if err := r.currentSegment().file.Sync(); err != nil {
		return errors.Wrap(err, "sync a segment")
	}
	r.segmentStartUnsynced = false
	return nil
}

// startSegmentUnsynced makes a free segment, or a new one where none is free, the current one. It
// writes the segment's header and the hard state without a sync: the caller syncs them, or the first
// append does.
func (r *Ring) startSegmentUnsynced() error {
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
	content := appendSegmentHeader(nil, r.nextNumber)
	content = appendRecord(content, record{number: r.nextNumber, kind: recordHardState, payload: encodeHardState(r.hardState)})
	if _, err := next.file.WriteAt(content, 0); err != nil {
		return errors.Wrap(err, "begin a segment")
	}
	next.firstNumber, next.lastIndex = r.nextNumber, 0
	r.free = r.free[1:]
	r.segments = append(r.segments, next)
	r.nextNumber++
	r.offset = len(content)
	r.segmentStartUnsynced = true
	return nil
}

// reclaim frees the oldest segments whose entries are all in the newest snapshot.
func (r *Ring) reclaim() {
	for len(r.segments) > 1 && r.segments[0].lastIndex <= r.snapshotIndex {
		r.free = append(r.free, r.segments[0])
		r.segments = r.segments[1:]
	}
}
