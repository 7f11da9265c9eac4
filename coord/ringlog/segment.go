package ringlog

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

const (
	// maxHardStateBytes is the room that makeRoom takes for a hard state: a term and a member's ID.
	maxHardStateBytes = 8 + 64
	// Room for an encoded membership: gob's description of the types, and each member.
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

func (r *Ring) segmentPath(n int) string {
	return filepath.Join(r.folder, fmt.Sprintf("segment-%02d", n))
}

// preallocate makes the segment files that do not exist yet, filled with zeros, so that
// appends change no file's size.
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

// makeRoom begins the next segment where the current one may not take a hard state and entries.
func (r *Ring) makeRoom(entries []replica.Entry) error {
	need := recordHeaderBytes + maxHardStateBytes
	for _, entry := range entries {
		need += recordHeaderBytes + entryHeaderBytes + len(entry.Data)
		if entry.Membership != nil {
			need += membershipBytes + membershipMemberBytes*len(entry.Membership.AllMembers())
		}
	}
	if len(r.segments) > 0 && r.offset+need <= r.sizes.SegmentBytes {
		return nil
	}
	return r.beginSegment()
}

// beginSegment begins the next segment and syncs its beginning.
func (r *Ring) beginSegment() error {
	if err := r.syncSegmentStart(); err != nil {
		return err
	}
	if err := r.startSegment(); err != nil {
		return err
	}
	return r.syncSegmentStart()
}

// syncSegmentStart syncs the beginning of the current segment, where that was not done yet. No
// segment may follow one whose beginning can still be lost: its records would seem to be missing.
func (r *Ring) syncSegmentStart() error {
	if !r.startUnsynced {
		return nil
	}
	if err := r.currentSegment().file.Sync(); err != nil {
		return errors.Wrap(err, "sync a segment")
	}
	r.startUnsynced = false
	return nil
}

// startSegment takes a free segment, or a new one where there is none, and begins it with the hard
// state, without a sync.
func (r *Ring) startSegment() error {
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
	r.startUnsynced = true
	return nil
}

// reclaim frees the oldest segments whose entries are all in the newest snapshot.
func (r *Ring) reclaim() {
	for len(r.segments) > 1 && r.segments[0].lastIndex <= r.snapshotIndex {
		r.free = append(r.free, r.segments[0])
		r.segments = r.segments[1:]
	}
}
