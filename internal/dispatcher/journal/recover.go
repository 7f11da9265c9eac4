package journal

import (
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/accounting"
)

// Recovery is what a start finds in its folder.
type Recovery struct {
	Epoch          uint32   // of this start
	CrashedJobs    int      // jobs that the last epoch left open
	CleanShutdown  bool     // the last epoch ended as it should, or there was none
	TruncatedBytes int      // bytes of a torn end that were cut
	Warnings       []string // what is damaged; the count goes on from what is sound
}

// recovered reads what the last epoch left, from its last segment alone.
func recovered(f Directory) (b *balance, found Recovery, err error) {
	names, err := f.Names()
	if err != nil {
		return nil, found, fmt.Errorf("listing segments: %w", err)
	}
	found.Epoch, found.CleanShutdown = 1, true
	for i := len(names) - 1; i >= 0; i-- {
		text, err := f.Read(names[i])
		if err != nil {
			return nil, found, fmt.Errorf("reading %s: %w", names[i], err)
		}
		b = newBalance()
		inOrder := false
		s, err := Scan(text, func(r *Record) error {
			inOrder = r.Kind == KindCleanShutdown
			if !b.apply(r) {
				found.Warnings = append(found.Warnings, fmt.Sprintf("%s: job %d does not fit", names[i], r.Number))
			}
			return nil
		})
		if err != nil {
			return nil, found, err
		}
		if errors.Is(s.Err, ErrNewerVersion) {
			return nil, found, fmt.Errorf("%s: %w", names[i], s.Err)
		}
		if s.Err != nil {
			found.Warnings = append(found.Warnings, fmt.Sprintf("%s: %v; %d bytes are not counted", names[i], s.Err, len(text)-s.ValidBytes))
		}
		if s.Batches == 0 { // it was being begun: all that counts is in the one before it
			if s.Err != nil { // damaged: kept as a witness, and its number is not used again
				found.Epoch = max(found.Epoch, numberOf(names[i])+1)
				continue
			}
			found.TruncatedBytes += len(text)
			if err := f.Remove(names[i]); err != nil {
				return nil, found, fmt.Errorf("removing an unfinished segment: %w", err)
			}
			continue
		}
		if s.Torn {
			found.TruncatedBytes += len(text) - s.ValidBytes
			if err := f.Truncate(names[i], int64(s.ValidBytes)); err != nil {
				return nil, found, fmt.Errorf("cutting a torn end: %w", err)
			}
		}
		found.Epoch = max(found.Epoch, s.Header.Epoch+1)
		found.CleanShutdown = inOrder && s.Err == nil && !s.Torn
		found.CrashedJobs = len(b.open)
		return b, found, nil
	}
	return newBalance(), found, nil
}

func numberOf(name string) (epoch uint32) {
	fmt.Sscanf(name, "%08d-", &epoch)
	return epoch
}

// close ends what the last epoch left open, and begins a new one.
func (b *balance) closeEpoch(at int64) (ends []Record) {
	for _, r := range b.opening() {
		if r.Kind == KindCarriedOver {
			ends = append(ends, Record{Kind: KindEnded, Number: r.Number, At: max(at, r.At), Reason: accounting.Crashed, Group: accounting.NoGroup})
		}
	}
	return ends
}
