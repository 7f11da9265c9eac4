package ringlog

import (
	"cmp"
	"encoding/binary"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// recover reads the newest snapshot and the records after it.
func (r *Ring) recover() (replica.PersistedState, error) {
	found := replica.PersistedState{}
	snapshot, slot, hasSnapshot := r.newestSnapshot()
	if hasSnapshot {
		found.Snapshot, r.snapshotIndex, r.nextSlot = snapshot, snapshot.Index, 1-slot
	}
	if err := r.findSegments(); err != nil {
		return found, err
	}
	for i, s := range r.segments {
		if err := r.replay(s, &found); err != nil {
			return found, errors.Wrapf(err, "segment %d", i)
		}
	}
	if err := r.syncRecovered(hasSnapshot); err != nil {
		return found, err
	}
	found.HardState = r.hardState
	if len(found.Entries) > 0 && found.Entries[0].Index != found.Snapshot.Index+1 {
		return found, errors.Wrapf(ErrDamaged, "the first entry is %d after a snapshot of %d", found.Entries[0].Index, found.Snapshot.Index)
	}
	return found, nil
}

// syncRecovered makes durable what was read and may not be: the process may have been killed between
// a write and its sync, and this one acts on what it read. That can be the tail of the last segment
// and the snapshot, where one was found. Each earlier segment was synced before the next one was
// begun, and no record refers to a snapshot before its sync.
func (r *Ring) syncRecovered(hasSnapshot bool) error {
	if len(r.segments) > 0 {
		if err := r.currentSegment().file.Sync(); err != nil {
			return errors.Wrap(err, "sync the segment that was written last")
		}
	}
	if !hasSnapshot {
		return nil
	}
	file, err := r.files.Open(r.slotPath(1 - r.nextSlot))
	if err != nil {
		return errors.Wrap(err, "open a snapshot's slot")
	}
	defer closeFile(file)
	return errors.Wrap(file.Sync(), "sync a snapshot that was read")
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
			return errors.Wrap(err, "read a segment")
		}
		file, err := r.files.Open(path)
		if err != nil {
			return errors.Wrap(err, "open a segment")
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

// firstRecordNumber returns the number of a segment's first record; false: it has no whole record, so
// that it counts as free.
func firstRecordNumber(content []byte) (first uint64, ok bool) {
	first, ok = readSegmentHeader(content)
	if !ok {
		return 0, false
	}
	_, _, ok = readRecord(content[segmentHeaderBytes:], first)
	return first, ok
}

// replay reads a segment's records, up to the first that is torn or missing.
func (r *Ring) replay(s *segment, found *replica.PersistedState) error {
	if s.firstNumber != r.nextNumber {
		return errors.Wrapf(ErrDamaged, "the segment begins with record %d, where %d is next", s.firstNumber, r.nextNumber)
	}
	remaining := s.content[segmentHeaderBytes:]
	s.content = nil
	for {
		next, after, ok := readRecord(remaining, r.nextNumber)
		if !ok {
			return nil
		}
		if !r.replayRecord(s, next, found) {
			return errors.Wrapf(ErrDamaged, "record %d does not follow", next.number)
		}
		r.nextNumber++
		remaining = after
	}
}

// replayRecord applies a record to what was found so far; false: it can't be read, or leaves a gap.
func (r *Ring) replayRecord(s *segment, next record, found *replica.PersistedState) bool {
	switch next.kind {
	case recordHardState:
		state, ok := decodeHardState(next.payload)
		r.hardState = state
		return ok
	case recordReset:
		if len(next.payload) < 8 {
			return false
		}
		if binary.LittleEndian.Uint64(next.payload) <= found.Snapshot.Index {
			found.Entries = nil
		}
		return true
	case recordEntry:
		entry, ok := decodeEntry(next.payload)
		if !ok {
			return false
		}
		s.lastIndex = max(s.lastIndex, entry.Index)
		r.bytesSinceSnapshot += len(next.payload)
		return replayEntry(found, entry)
	}
	return false
}

// replayEntry appends an entry, in place of those of its index and after; false: it leaves a gap.
func replayEntry(found *replica.PersistedState, entry replica.Entry) bool {
	if entry.Index <= found.Snapshot.Index {
		found.Entries = nil
		return true
	}
	if len(found.Entries) == 0 {
		found.Entries = append(found.Entries, entry)
		return true
	}
	first := found.Entries[0].Index
	switch {
	case entry.Index < first:
		found.Entries = []replica.Entry{entry}
	case entry.Index <= first+uint64(len(found.Entries)):
		found.Entries = append(found.Entries[:entry.Index-first], entry)
	default:
		return false
	}
	return true
}
