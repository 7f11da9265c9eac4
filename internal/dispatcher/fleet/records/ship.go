package records

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Ship stores records, each once. What is below its tenant's watermark is stored only if a
// hold covers it. ErrGap and ErrIncarnation change nothing; with ErrGap the reply's Through
// is valid all the same.
func (s *State) Ship(_ time.Duration, st Store, c Ship) (done Shipped, err error) {
	switch {
	case c.Process == "" || len(c.Process) > 255 || !isValidText(c.Process) || strings.ContainsRune(c.Process, 0):
		return done, fmt.Errorf("a process's name %.40q: %w", c.Process, ErrInvalid)
	case c.FirstSeq == 0 || c.FirstSeq+uint64(len(c.Records)) < c.FirstSeq:
		return done, fmt.Errorf("records from number %d on: %w", c.FirstSeq, ErrInvalid)
	}
	p := &processState{Name: c.Process}
	if known := s.processes[c.Process]; known != nil {
		p = known
	}
	if c.Incarnation < p.Incarnation {
		return done, fmt.Errorf("records of process %s, incarnation %d: %w", c.Process, c.Incarnation, ErrIncarnation)
	}
	last := c.FirstSeq + uint64(len(c.Records)) - 1
	i, known := slices.BinarySearchFunc(p.Epochs, c.Epoch, func(e epochProgress, of uint64) int { return cmp.Compare(e.Epoch, of) })
	switch {
	case !known && len(p.Epochs) >= maxEpochs && i == 0, !known && c.Epoch <= p.Forgotten && p.Forgotten > 0:
		// So many epochs after it were taken in that it is over.
		p.Incarnation = c.Incarnation
		s.counts.Again += int64(len(c.Records))
		return Shipped{Through: last, Duplicates: len(c.Records)}, nil
	case known:
		done.Through = p.Epochs[i].Through
	}
	if c.FirstSeq > done.Through+1 && !c.GapLost {
		return done, fmt.Errorf("process %s, epoch %d: records from %d on, and taken in up to %d: %w", c.Process, c.Epoch, c.FirstSeq, done.Through, ErrGap)
	}
	for n := range c.Records {
		seq := c.FirstSeq + uint64(n)
		if seq <= done.Through {
			done.Duplicates++
			continue
		}
		r := Trim(c.Records[n], len(c.Records[n].Body))
		r.Process, r.Epoch, r.Seq, r.Tenant = c.Process, c.Epoch, seq, s.storedTenant(r.Tenant)
		r.Ended = max(r.Ended, 0) // the least mark is at 0
		text, err := r.Encode()
		if err != nil {
			done.TooLarge++
			continue
		}
		t := s.tenant(r.Tenant)
		below := t.isPruned(&r)
		if below && !s.isHeld(&r) && !faultResurrectPruned {
			done.AlreadyPruned++
			continue
		}
		if err := st.Put(&r, text); err != nil {
			return done, errors.Join(ErrStore, err)
		}
		done.Stored++
		l := &t.Classes[r.RetentionClass()]
		l.All.add(text)
		if below {
			l.BelowWatermark.add(text)
		}
	}
	if c.FirstSeq > done.Through+1 {
		done.Missing = c.FirstSeq - done.Through - 1
	}
	done.Through = max(done.Through, last)
	s.processes[p.Name] = p
	if !known {
		p.Epochs = slices.Insert(p.Epochs, i, epochProgress{Epoch: c.Epoch})
	}
	p.Epochs[i].Through = done.Through
	p.Epochs[i].Missing += done.Missing
	if len(p.Epochs) > maxEpochs {
		p.Forgotten = p.Epochs[0].Epoch
		p.Epochs = slices.Delete(p.Epochs, 0, 1)
	}
	p.Incarnation = c.Incarnation
	s.counts.Taken += int64(done.Stored)
	s.counts.Again += int64(done.Duplicates)
	s.counts.Below += int64(done.AlreadyPruned)
	s.counts.TooLarge += int64(done.TooLarge)
	s.counts.Missing += done.Missing
	return done, nil
}
