package spool

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
)

// recoverSegments finds the segments in the directory, truncates torn ends and returns the
// latest epoch. Everything is read before anything is changed.
func (p *Spool) recoverSegments() (last uint64, err error) {
	names, err := p.folder.Names()
	if err != nil {
		return 0, fmt.Errorf("listing the spool of records: %w", err)
	}
	var ends []tornEnd
	for _, name := range names {
		epoch, torn, err := p.inspectSegment(name)
		if err != nil {
			return 0, err
		}
		last = max(last, epoch)
		if torn != nil {
			ends = append(ends, *torn)
		}
	}
	for _, end := range ends {
		if err := p.repairSegment(end); err != nil {
			return 0, err
		}
	}
	return last, nil
}

// tornEnd is what is to be cut off a segment.
type tornEnd struct {
	name        string
	valid, size int // in bytes
}

// inspectSegment reads a segment, adds it if it has records, and returns its epoch and its
// torn end, if there is one.
func (p *Spool) inspectSegment(name string) (epoch uint64, torn *tornEnd, err error) {
	text, err := p.folder.Read(name)
	if err != nil {
		return 0, nil, fmt.Errorf("reading %s of the spool: %w", name, err)
	}
	s, err := scanSegment(text, func(uint64, [][]byte) error { return nil })
	if err != nil {
		return 0, nil, fmt.Errorf("%s of the spool: %w", name, err)
	}
	// The epoch is that of the name: it is not used again, whatever is in the file.
	if _, err := fmt.Sscanf(name, "%d-", &epoch); err != nil {
		return 0, nil, fmt.Errorf("%s of the spool: its name: %w", name, ErrForeign)
	}
	if s.Err != nil { // kept for inspection
		p.log.WithError(s.Err).WithFields(logrus.Fields{"segment": name, "bytes": len(text) - s.ValidBytes}).Error("spool segment is damaged; the bytes can't be shipped and the file stays until it is removed by hand")
	}
	if s.owner.Process != "" && s.owner.Process != p.settings.Process {
		return 0, nil, fmt.Errorf("%s is of process %q, this is %q: %w", name, s.owner.Process, p.settings.Process, ErrForeign)
	}
	if s.Torn {
		torn = &tornEnd{name, s.ValidBytes, len(text)}
	}
	if s.records > 0 {
		p.segments = append(p.segments, &segmentFile{
			name: name, epoch: s.owner.Epoch, first: s.owner.First, next: s.owner.First + s.records, shippedThrough: s.owner.First - 1, size: int64(s.ValidBytes), damaged: s.Err != nil,
		})
	} else if s.Err == nil && !s.Torn {
		torn = &tornEnd{name, 0, len(text)}
	}
	return epoch, torn, nil
}

// repairSegment truncates a torn end, or removes a segment that has nothing else.
func (p *Spool) repairSegment(end tornEnd) error {
	if slices.ContainsFunc(p.segments, func(s *segmentFile) bool { return s.name == end.name }) {
		p.log.WithFields(logrus.Fields{"segment": end.name, "bytes": end.size - end.valid}).Warn("torn end of a spool segment truncated")
		if err := p.folder.Truncate(end.name, int64(end.valid)); err != nil {
			return fmt.Errorf("cutting a torn end: %w", err)
		}
		return nil
	}
	p.log.WithField("segment", end.name).Info("incomplete spool segment removed")
	if err := p.folder.Remove(end.name); err != nil {
		return fmt.Errorf("removing a segment that was only begun: %w", err)
	}
	return nil
}
