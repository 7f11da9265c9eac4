package journal

import (
	"errors"
	"fmt"
)

// Recovery is what a start found in its directory.
type Recovery struct {
	Epoch          uint32   // of this start
	CrashedJobs    int      // jobs that the last epoch left open
	CleanShutdown  bool     // the last epoch left no job open, or there was none
	TruncatedBytes int      // of a torn end
	Warnings       []string // what is damaged: the count goes on from what can be read
}

// String describes a recovery for the log.
func (r Recovery) String() string {
	text := fmt.Sprintf("epoch %d", r.Epoch)
	if !r.CleanShutdown {
		text += fmt.Sprintf(", the last one did not end in order: %d jobs closed as cut off, %d torn bytes cut", r.CrashedJobs, r.TruncatedBytes)
	}
	return text
}

// recoverLastEpoch reads what the last epoch left, from its last segment alone: the
// latest one that has a batch. It removes those after it and truncates a torn end.
func recoverLastEpoch(dir Directory) (b *balance, found Recovery, err error) {
	names, err := dir.Names()
	if err != nil {
		return nil, found, fmt.Errorf("listing segments: %w", err)
	}
	found.Epoch, found.CleanShutdown = 1, true
	for i := len(names) - 1; i >= 0; i-- {
		b, err := found.segment(dir, names[i])
		if err != nil {
			return nil, found, err
		}
		if b != nil {
			return b, found, nil
		}
	}
	return newBalance(), found, nil
}

// segment recovers from one segment. The balance is nil if the segment has no batch: a
// crash left it so, and all that counts is in the one before it.
func (r *Recovery) segment(dir Directory, name string) (*balance, error) {
	text, err := dir.Read(name)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	b, clean := newBalance(), false
	scan, err := Scan(text, func(record *Record) error {
		clean = record.Kind == KindCleanShutdown
		if !b.apply(record) {
			r.Warnings = append(r.Warnings, fmt.Sprintf("%s: job %d does not fit", name, record.Number))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if errors.Is(scan.Err, ErrNewerVersion) {
		return nil, fmt.Errorf("%s: %w", name, scan.Err)
	}
	if scan.Err != nil {
		r.Warnings = append(r.Warnings, fmt.Sprintf("%s: %v; %d bytes are not counted", name, scan.Err, len(text)-scan.ValidBytes))
	}
	if scan.Batches == 0 {
		return nil, r.unfinishedSegment(dir, name, len(text), scan.Err != nil)
	}
	if scan.Torn {
		r.TruncatedBytes += len(text) - scan.ValidBytes
		if err := dir.Truncate(name, int64(scan.ValidBytes)); err != nil {
			return nil, fmt.Errorf("cutting a torn end: %w", err)
		}
	}
	r.Epoch = max(r.Epoch, scan.Header.Epoch+1)
	r.CleanShutdown = clean && scan.Err == nil && !scan.Torn
	r.CrashedJobs = len(b.open)
	return b, nil
}

// unfinishedSegment removes a segment without a batch. A damaged one is kept as evidence,
// and its epoch is not used again.
func (r *Recovery) unfinishedSegment(dir Directory, name string, size int, damaged bool) error {
	if damaged {
		r.Epoch = max(r.Epoch, epochOf(name)+1)
		return nil
	}
	r.TruncatedBytes += size
	if err := dir.Remove(name); err != nil {
		return fmt.Errorf("removing an unfinished segment: %w", err)
	}
	return nil
}

// epochOf is the epoch in the name of a segment, 0 in another name.
func epochOf(name string) (epoch uint32) {
	if _, err := fmt.Sscanf(name, "%08d-", &epoch); err != nil {
		return 0
	}
	return epoch
}
