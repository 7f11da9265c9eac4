package spool

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// recoverSegments finds the segments in the directory, truncates torn ends and returns the
// latest epoch. Everything is read before anything is changed.
func (p *Spool) recoverSegments() (last uint64, err error) {
	names, err := p.folder.Names()
	if err != nil {
		return 0, fmt.Errorf("listing the spool of records: %w", err)
	}
	type torn struct {
		name   string
		to, of int
	}
	var cut []torn
	for _, name := range names {
		text, err := p.folder.Read(name)
		if err != nil {
			return 0, fmt.Errorf("reading %s of the spool: %w", name, err)
		}
		s, err := scanSegment(text, func(uint64, [][]byte) error { return nil })
		if err != nil {
			return 0, fmt.Errorf("%s of the spool: %w", name, err)
		}
		var epoch uint64 // a name is not used again, whatever is in the file
		if _, err := fmt.Sscanf(name, "%d-", &epoch); err != nil {
			return 0, fmt.Errorf("%s of the spool: its name: %w", name, ErrForeign)
		}
		last = max(last, epoch)
		if s.Err != nil { // kept as a witness
			p.log.WithError(s.Err).WithFields(logrus.Fields{"segment": name, "bytes": len(text) - s.ValidBytes}).Error("spool segment is damaged; the bytes can't be shipped and the file stays until it is removed by hand")
		}
		if s.owner.Process != "" && s.owner.Process != p.settings.Process {
			return 0, fmt.Errorf("%s is of process %q, this is %q: %w", name, s.owner.Process, p.settings.Process, ErrForeign)
		}
		if s.Torn {
			cut = append(cut, torn{name, s.ValidBytes, len(text)})
		}
		if s.records > 0 {
			p.segments = append(p.segments, &segmentFile{
				name: name, epoch: s.owner.Epoch, first: s.owner.First, next: s.owner.First + s.records, shippedThrough: s.owner.First - 1, size: int64(s.ValidBytes), damaged: s.Err != nil,
			})
		} else if s.Err == nil && !s.Torn {
			cut = append(cut, torn{name, 0, len(text)})
		}
	}
	kept := func(name string) bool {
		for _, s := range p.segments {
			if s.name == name {
				return true
			}
		}
		return false
	}
	for _, c := range cut {
		if kept(c.name) {
			p.log.WithFields(logrus.Fields{"segment": c.name, "bytes": c.of - c.to}).Warn("torn end of a spool segment truncated")
			if err := p.folder.Truncate(c.name, int64(c.to)); err != nil {
				return 0, fmt.Errorf("cutting a torn end: %w", err)
			}
			continue
		}
		p.log.WithField("segment", c.name).Info("incomplete spool segment removed")
		if err := p.folder.Remove(c.name); err != nil {
			return 0, fmt.Errorf("removing a segment that was only begun: %w", err)
		}
	}
	return last, nil
}
