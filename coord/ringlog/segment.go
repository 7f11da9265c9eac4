package ringlog

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

const (
	// maxHardStateBytes is the space that ensureSpace reserves for a hard state: a term and a member's ID.
	maxHardStateBytes = termBytes + 64
	// membershipBytes and membershipMemberBytes are the space that ensureSpace reserves for an encoded
	// membership: for gob's description of the types, and for each member.
	membershipBytes       = 1024
	membershipMemberBytes = 128
)

// segment is one file of the ring.
type segment struct {
	path        string
	file        File
	firstNumber uint64 // number of its first record
	lastIndex   uint64 // highest index of its entries; 0 if it has none that are still needed
	content     []byte // content read by Open, until it is replayed
}

func (r *Ring) currentSegment() *segment { return r.segments[len(r.segments)-1] }

func (r *Ring) segmentPath(fileNumber int) string {
	return filepath.Join(r.folder, fmt.Sprintf("segment-%02d", fileNumber))
}

// preallocate creates the segment files that do not exist yet, filled with zeros, so that appends change
// no file's size.
func (r *Ring) preallocate() error {
	for fileNumber := len(r.segments) + len(r.free); fileNumber < r.sizes.Segments; fileNumber++ {
		if err := r.addSegment(fileNumber); err != nil {
			return err
		}
	}
	return errors.Wrap(r.files.SyncDir(r.folder), "sync log folder")
}

// addSegment creates a segment file, fills it with zeros, syncs it and adds it to the free ones.
func (r *Ring) addSegment(fileNumber int) error {
	path := r.segmentPath(fileNumber)
	file, err := r.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	if _, err := file.WriteAt(make([]byte, r.sizes.SegmentBytes), 0); err != nil {
		return errors.Wrap(err, "preallocate segment")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync new segment")
	}
	r.free = append(r.free, &segment{path: path, file: file})
	return nil
}

// ensureSpace starts the next segment if a hard state and the entries may not fit in the current one.
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

// syncSegmentStart syncs the start of the current segment, unless it is synced already. It must be synced
// before the next segment is started: if it were lost, its records would be missing before those of the
// next segment, and Open would return ErrDamaged.
func (r *Ring) syncSegmentStart() error {
	if !r.segmentStartUnsynced {
		return nil
	}
	if err := r.currentSegment().file.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	r.segmentStartUnsynced = false
	return nil
}

// startSegmentUnsynced makes a free segment the current one, or a new segment if none is free. It writes
// the segment's header and the hard state without a sync: the caller or the first append syncs them.
func (r *Ring) startSegmentUnsynced() error {
	r.reclaim()
	if len(r.free) == 0 {
		if err := r.addSegment(len(r.segments)); err != nil {
			return err
		}
		if err := r.files.SyncDir(r.folder); err != nil {
			return errors.Wrap(err, "sync log folder")
		}
	}
	next := r.free[0]
	content := appendSegmentHeader(nil, r.nextNumber)
	content = appendRecord(content, record{number: r.nextNumber, kind: recordHardState, payload: encodeHardState(r.hardState)})
	if _, err := next.file.WriteAt(content, 0); err != nil {
		return errors.Wrap(err, "write segment header")
	}
	next.firstNumber, next.lastIndex = r.nextNumber, 0
	r.free = r.free[1:]
	r.segments = append(r.segments, next)
	r.nextNumber++
	r.offset = len(content)
	r.segmentStartUnsynced = true
	return nil
}

// reclaim frees the oldest segments, as long as the newest snapshot covers all of their entries.
func (r *Ring) reclaim() {
	for len(r.segments) > 1 && r.segments[0].lastIndex <= r.snapshotIndex {
		r.free = append(r.free, r.segments[0])
		r.segments = r.segments[1:]
	}
}
