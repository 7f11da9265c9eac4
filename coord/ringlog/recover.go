package ringlog

import (
	"encoding/binary"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// recover reads the newest snapshot and the records after it.
func (r *Ring) recover() (replica.PersistedState, error) {
	found := replica.PersistedState{}
	snapshot, slot, ok := r.newestSnapshot()
	if ok {
		found.Snapshot, r.base, r.baseTerm, r.slot = snapshot, snapshot.Index, snapshot.Term, 1-slot
	}
	if err := r.openSegments(); err != nil {
		return found, err
	}
	for i, s := range r.segments {
		if err := r.replay(s, &found); err != nil {
			return found, errors.Wrapf(err, "segment %d", i)
		}
	}
	if err := r.syncRead(ok); err != nil {
		return found, err
	}
	found.HardState = r.state
	if len(found.Entries) > 0 && found.Entries[0].Index != found.Snapshot.Index+1 {
		return found, errors.Wrapf(ErrDamaged, "the first entry is %d after a snapshot of %d", found.Entries[0].Index, found.Snapshot.Index)
	}
	return found, nil
}

// syncRead makes durable what was read and may not be: the last life may have been killed
// between a write and its sync, and this life goes by what it read. That can be the last
// segment's tail and, where a snapshot was found, that one. Each earlier segment was synced
// before the next one was begun, and no record refers to a snapshot before its sync.
func (r *Ring) syncRead(snapshot bool) error {
	if last := len(r.segments) - 1; last >= 0 {
		if err := r.segments[last].file.Sync(); err != nil {
			return errors.Wrap(err, "sync the segment that was written last")
		}
	}
	if !snapshot {
		return nil
	}
	file, err := r.files.Open(r.slotPath(1 - r.slot))
	if err != nil {
		return errors.Wrap(err, "open a snapshot's slot")
	}
	defer file.Close()
	return errors.Wrap(file.Sync(), "sync a snapshot that was read")
}

// openSegments finds the segments in use, in the order of their records.
func (r *Ring) openSegments() error {
	for n := 0; ; n++ {
		path := r.segmentPath(n)
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
		if s.first, s.begun = begunWith(content); s.begun {
			s.found = content
			r.segments = append(r.segments, s)
		} else {
			r.free = append(r.free, s)
		}
	}
	slices.SortFunc(r.segments, func(a, b *segment) int { return int(int64(a.first) - int64(b.first)) })
	if len(r.segments) > 0 {
		r.number = r.segments[0].first
	}
	return nil
}

// begunWith returns the number of a segment's first record; false: none was synced in it, so
// that it counts as free.
func begunWith(content []byte) (first uint64, ok bool) {
	first, ok = readHeader(content)
	if !ok {
		return 0, false
	}
	_, _, ok = readRecord(content[headerBytes:], first)
	return first, ok
}

// replay reads a segment's records, up to the first that does not check.
func (r *Ring) replay(s *segment, found *replica.PersistedState) error {
	if s.first != r.number {
		return errors.Wrapf(ErrDamaged, "the segment begins with record %d, where %d is next", s.first, r.number)
	}
	rest := s.found[headerBytes:]
	s.found = nil
	for {
		next, after, ok := readRecord(rest, r.number)
		if !ok {
			return nil
		}
		if !r.replayRecord(s, next, found) {
			return errors.Wrapf(ErrDamaged, "record %d does not follow", next.number)
		}
		r.number++
		rest = after
	}
}

func (r *Ring) replayRecord(s *segment, next record, found *replica.PersistedState) bool {
	switch next.kind {
	case recordState:
		state, ok := decodeState(next.payload)
		r.state = state
		return ok
	case recordBase:
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
		r.used += len(next.payload)
		return replayEntry(found, entry)
	}
	return false
}

// replayEntry takes an entry in; its index cuts off what was there.
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
