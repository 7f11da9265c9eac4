package spool

import (
	"fmt"
	"slices"
)

// recoverSegments finds the segments in the directory, truncates torn ends and returns the
// latest epoch. Everything is read before anything is changed.
func (s *Spool) recoverSegments() (last uint64, err error) {
	names, err := s.folder.Names()
	if err != nil {
		return 0, fmt.Errorf("listing the spool of records: %w", err)
	}
	var ends []tornEnd
	for _, name := range names {
		epoch, torn, err := s.inspectSegment(name)
		if err != nil {
			return 0, err
		}
		last = max(last, epoch)
		if torn != nil {
			ends = append(ends, *torn)
		}
	}
	for _, end := range ends {
		if err := s.repairSegment(end); err != nil {
			return 0, err
		}
	}
	return last, nil
}

// tornEnd describes the incomplete end of a segment, which is to be truncated.
type tornEnd struct {
	name        string
	valid, size int // in bytes
}

// inspectSegment reads a segment, adds it if it has records, and returns its epoch and its
// torn end, if there is one.
func (s *Spool) inspectSegment(name string) (epoch uint64, torn *tornEnd, err error) {
	data, err := s.folder.Read(name)
	if err != nil {
		return 0, nil, fmt.Errorf("reading %s of the spool: %w", name, err)
	}
	found, err := scanSegment(data, func(uint64, [][]byte) error { return nil })
	if err != nil {
		return 0, nil, fmt.Errorf("%s of the spool: %w", name, err)
	}
	// The epoch is taken from the name: it must not be used again, whatever the file contains.
	if _, err := fmt.Sscanf(name, "%d-", &epoch); err != nil {
		return 0, nil, fmt.Errorf("%s of the spool: invalid file name: %w", name, ErrForeign)
	}
	if found.Err != nil { // the file is kept for inspection
		s.log.Error("spool segment is damaged; the bytes can't be shipped and the file stays until it is removed by hand", "error", found.Err, "segment", name, "bytes", len(data)-found.ValidBytes)
	}
	if found.owner.Process != "" && found.owner.Process != s.settings.Process {
		return 0, nil, fmt.Errorf("%s belongs to process %q, this process is %q: %w", name, found.owner.Process, s.settings.Process, ErrForeign)
	}
	if found.Torn {
		torn = &tornEnd{name, found.ValidBytes, len(data)}
	}
	if found.records > 0 {
		s.segments = append(s.segments, &segmentFile{
			name: name, epoch: found.owner.Epoch, first: found.owner.First, next: found.owner.First + found.records, shippedThrough: found.owner.First - 1, size: int64(found.ValidBytes), damaged: found.Err != nil,
		})
	} else if found.Err == nil && !found.Torn {
		torn = &tornEnd{name, 0, len(data)}
	}
	return epoch, torn, nil
}

// repairSegment truncates a torn end, or removes a segment without records.
func (s *Spool) repairSegment(end tornEnd) error {
	if slices.ContainsFunc(s.segments, func(s *segmentFile) bool { return s.name == end.name }) {
		s.log.Warn("torn end of a spool segment truncated", "segment", end.name, "bytes", end.size-end.valid)
		if err := s.folder.Truncate(end.name, int64(end.valid)); err != nil {
			return fmt.Errorf("truncating the torn end of a spool segment: %w", err)
		}
		return nil
	}
	s.log.Info("incomplete spool segment removed", "segment", end.name)
	if err := s.folder.Remove(end.name); err != nil {
		return fmt.Errorf("removing an incomplete spool segment: %w", err)
	}
	return nil
}
