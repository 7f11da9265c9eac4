package journal

import (
	"errors"
	"fmt"
)

// Recovery describes what Open found in the directory.
type Recovery struct {
	Epoch          uint32   // the epoch that begins
	CrashedJobs    int      // jobs that the last epoch left open
	CleanShutdown  bool     // the last epoch ended with no job open, or there was none
	TruncatedBytes int      // length of the torn end that was removed
	Warnings       []string // damage found; the count continues from what could be read
}

// String returns a description of the recovery for the log.
func (r Recovery) String() string {
	text := fmt.Sprintf("epoch %d", r.Epoch)
	if !r.CleanShutdown {
		text += fmt.Sprintf(", the last one did not end cleanly: %d jobs ended as crashed, %d torn bytes truncated", r.CrashedJobs, r.TruncatedBytes)
	}
	return text
}

// recoverLastEpoch returns the balance at the end of the last epoch. It reads the latest segment that has a
// batch, which is enough since each segment starts with the balance. Undamaged segments after it, which have no
// batch, are removed, and a torn end is truncated.
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

// segment recovers the balance from one segment. The balance is nil if the segment has no complete batch, since
// a crash interrupted its creation or it is damaged; the segment before it is to be read then.
func (r *Recovery) segment(dir Directory, name string) (*balance, error) {
	text, err := dir.Read(name)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	b, clean := newBalance(), false
	scan, err := Scan(text, func(record *Record) error {
		clean = record.Kind == KindCleanShutdown
		if !b.apply(record) {
			r.Warnings = append(r.Warnings, fmt.Sprintf("%s: job %d is accepted twice, or ends without being open", name, record.Number))
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
		return nil, r.removeUnfinishedSegment(dir, name, len(text), scan.Err != nil)
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

// removeUnfinishedSegment removes a segment without a batch. A damaged one is kept for analysis, and its epoch
// is not used again.
func (r *Recovery) removeUnfinishedSegment(dir Directory, name string, size int, damaged bool) error {
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

// epochOf returns the epoch in the name of a segment, or 0 if name is not a segment's name.
func epochOf(name string) (epoch uint32) {
	if _, err := fmt.Sscanf(name, "%08d-", &epoch); err != nil {
		return 0
	}
	return epoch
}
