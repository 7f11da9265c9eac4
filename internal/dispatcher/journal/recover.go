package journal

import (
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/accounting"
)

// Found is what a start finds in its folder.
type Found struct {
	Epoch    uint32   // of this start
	CutOff   int      // jobs that the last epoch left open
	InOrder  bool     // the last epoch ended as it should, or there was none
	Cut      int      // bytes of a torn end that were cut
	Complain []string // what is damaged; the count goes on from what is sound
}

// recovered reads what the last epoch left, from its last segment alone.
func recovered(f Folder) (b *balance, found Found, err error) {
	names, err := f.Names()
	if err != nil {
		return nil, found, fmt.Errorf("listing segments: %w", err)
	}
	found.Epoch, found.InOrder = 1, true
	for i := len(names) - 1; i >= 0; i-- {
		text, err := f.Read(names[i])
		if err != nil {
			return nil, found, fmt.Errorf("reading %s: %w", names[i], err)
		}
		b = newBalance()
		inOrder := false
		s, err := Scan(text, func(r *Record) error {
			inOrder = r.Kind == KindClosed
			if !b.apply(r) {
				found.Complain = append(found.Complain, fmt.Sprintf("%s: job %d does not fit", names[i], r.Number))
			}
			return nil
		})
		if err != nil {
			return nil, found, err
		}
		if errors.Is(s.Err, ErrNewer) {
			return nil, found, fmt.Errorf("%s: %w", names[i], s.Err)
		}
		if s.Err != nil {
			found.Complain = append(found.Complain, fmt.Sprintf("%s: %v; %d bytes are not counted", names[i], s.Err, len(text)-s.Valid))
		}
		if s.Batches == 0 { // it was being begun: all that counts is in the one before it
			if s.Err != nil { // damaged: kept as a witness, and its number is not used again
				found.Epoch = max(found.Epoch, numberOf(names[i])+1)
				continue
			}
			found.Cut += len(text)
			if err := f.Remove(names[i]); err != nil {
				return nil, found, fmt.Errorf("removing an unfinished segment: %w", err)
			}
			continue
		}
		if s.Torn {
			found.Cut += len(text) - s.Valid
			if err := f.Truncate(names[i], int64(s.Valid)); err != nil {
				return nil, found, fmt.Errorf("cutting a torn end: %w", err)
			}
		}
		found.Epoch = max(found.Epoch, s.Header.Epoch+1)
		found.InOrder = inOrder && s.Err == nil && !s.Torn
		found.CutOff = len(b.open)
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
		if r.Kind == KindCarried {
			ends = append(ends, Record{Kind: KindEnd, Number: r.Number, At: max(at, r.At), Reason: accounting.CutOff, Group: accounting.Nowhere})
		}
	}
	return ends
}
