package ringlog

import (
	"cmp"
	"encoding/binary"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// recover reads the newest snapshot and the records of all segments in use, and returns the state that
// they hold.
func (r *Ring) recover() (replica.PersistedState, error) {
	recovered := replica.PersistedState{}
	snapshot, slot, hasSnapshot := r.newestSnapshot()
	if hasSnapshot {
		recovered.Snapshot, r.snapshotIndex, r.nextSlot = snapshot, snapshot.Index, 1-slot
	}
	if err := r.findSegments(); err != nil {
		return recovered, err
	}
	for i, s := range r.segments {
		if err := r.replay(s, &recovered); err != nil {
			return recovered, errors.Wrapf(err, "segment %d", i)
		}
	}
	if err := r.syncRecovered(hasSnapshot); err != nil {
		return recovered, err
	}
	recovered.HardState = r.hardState
	if len(recovered.Entries) > 0 && recovered.Entries[0].Index != recovered.Snapshot.Index+1 {
		return recovered, errors.Wrapf(ErrDamaged, "the first entry is %d after a snapshot of %d", recovered.Entries[0].Index, recovered.Snapshot.Index)
	}
	return recovered, nil
}

// syncRecovered syncs recovered data that may not be durable yet: an earlier process may have been killed
// between a write and its sync, and this process acts on the data. Only the tail of the last segment and
// the snapshot, if one was found, can be affected. Each earlier segment was synced before the next one was
// begun, and no record refers to a snapshot before its sync.
func (r *Ring) syncRecovered(hasSnapshot bool) error {
	if len(r.segments) > 0 {
		if err := r.currentSegment().file.Sync(); err != nil {
			return errors.Wrap(err, "sync last segment")
		}
	}
	if !hasSnapshot {
		return nil
	}
	file, err := r.files.Open(r.slotPath(1 - r.nextSlot))
	if err != nil {
		return errors.Wrap(err, "open snapshot slot")
	}
	defer closeFile(file)
	return errors.Wrap(file.Sync(), "sync recovered snapshot")
}

// findSegments reads the segment files and finds those in use, in the order of their records.
func (r *Ring) findSegments() error {
	for fileNumber := 0; ; fileNumber++ {
		path := r.segmentPath(fileNumber)
		content, err := r.files.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) {
			break
		}
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		file, err := r.files.Open(path)
		if err != nil {
			return errors.Wrap(err, "open segment")
		}
		s := &segment{path: path, file: file}
		var inUse bool
		if s.firstNumber, inUse = firstRecordNumber(content); inUse {
			s.content = content
			r.segments = append(r.segments, s)
		} else {
			r.free = append(r.free, s)
		}
	}
	slices.SortFunc(r.segments, func(a, b *segment) int { return cmp.Compare(a.firstNumber, b.firstNumber) })
	if len(r.segments) > 0 {
		r.nextNumber = r.segments[0].firstNumber
	}
	return nil
}

// firstRecordNumber returns the number of a segment's first record. It returns false if the segment has
// no complete record and is therefore free.
func firstRecordNumber(content []byte) (first uint64, ok bool) {
	first, ok = readSegmentHeader(content)
	if !ok {
		return 0, false
	}
	_, _, ok = readRecord(content[segmentHeaderBytes:], first)
	return first, ok
}

// replay applies a segment's records to the recovered state, up to the first record that is torn or
// missing.
func (r *Ring) replay(s *segment, recovered *replica.PersistedState) error {
	if s.firstNumber != r.nextNumber {
		return errors.Wrapf(ErrDamaged, "the segment begins with record %d instead of %d", s.firstNumber, r.nextNumber)
	}
	remaining := s.content[segmentHeaderBytes:]
	s.content = nil
	for {
		next, after, ok := readRecord(remaining, r.nextNumber)
		if !ok {
			return nil
		}
		if !r.replayRecord(s, next, recovered) {
			return errors.Wrapf(ErrDamaged, "record %d can't be decoded or leaves a gap in the log", next.number)
		}
		r.nextNumber++
		remaining = after
	}
}

// replayRecord applies a record to the state recovered so far. It returns false if the record can't be
// decoded or leaves a gap between entries.
func (r *Ring) replayRecord(s *segment, next record, recovered *replica.PersistedState) bool {
	switch next.kind {
	case recordHardState:
		state, ok := decodeHardState(next.payload)
		r.hardState = state
		return ok
	case recordReset:
		if len(next.payload) < 8 {
			return false
		}
		if binary.LittleEndian.Uint64(next.payload) <= recovered.Snapshot.Index {
			recovered.Entries = nil
		}
		return true
	case recordEntry:
		entry, ok := decodeEntry(next.payload)
		if !ok {
			return false
		}
		s.lastIndex = max(s.lastIndex, entry.Index)
		r.bytesSinceSnapshot += len(next.payload)
		return replayEntry(recovered, entry)
	}
	return false
}

// replayEntry appends an entry, which replaces those of the same and higher indexes. It returns false if
// the entry leaves a gap.
func replayEntry(recovered *replica.PersistedState, entry replica.Entry) bool {
	if entry.Index <= recovered.Snapshot.Index {
		recovered.Entries = nil
		return true
	}
	if len(recovered.Entries) == 0 {
		recovered.Entries = append(recovered.Entries, entry)
		return true
	}
	first := recovered.Entries[0].Index
	switch {
	case entry.Index < first:
		recovered.Entries = []replica.Entry{entry}
	case entry.Index <= first+uint64(len(recovered.Entries)):
		recovered.Entries = append(recovered.Entries[:entry.Index-first], entry)
	default:
		return false
	}
	return true
}
