package records

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Ship stores records, each once. A record below its tenant's watermark is stored only if a
// hold covers it. After ErrGap or ErrIncarnation nothing has changed; the reply's Through is
// valid with ErrGap too.
func (s *State) Ship(_ time.Duration, st Store, c Ship) (done Shipped, err error) {
	if err := c.check(); err != nil {
		return done, err
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
		// Too many later epochs were processed for this one still to be active.
		p.Incarnation = c.Incarnation
		s.counts.Again += int64(len(c.Records))
		return Shipped{Through: last, Duplicates: len(c.Records)}, nil
	case known:
		done.Through = p.Epochs[i].Through
	}
	if c.FirstSeq > done.Through+1 && !c.GapLost {
		return done, fmt.Errorf("process %s, epoch %d: records from sequence number %d on, stored up to %d: %w", c.Process, c.Epoch, c.FirstSeq, done.Through, ErrGap)
	}
	for n := range c.Records {
		seq := c.FirstSeq + uint64(n)
		if seq <= done.Through {
			done.Duplicates++
			continue
		}
		r := Trim(c.Records[n], len(c.Records[n].Body))
		r.Process, r.Epoch, r.Seq = c.Process, c.Epoch, seq
		if err := s.storeRecord(st, &r, &done); err != nil {
			return done, err
		}
	}
	if c.FirstSeq > done.Through+1 {
		done.Missing = c.FirstSeq - done.Through - 1
	}
	done.Through = max(done.Through, last)
	s.processes[p.Name] = p
	p.advanceEpoch(c.Epoch, done.Through, done.Missing)
	p.Incarnation = c.Incarnation
	s.counts.Taken += int64(done.Stored)
	s.counts.Again += int64(done.Duplicates)
	s.counts.Below += int64(done.AlreadyPruned)
	s.counts.TooLarge += int64(done.TooLarge)
	s.counts.Missing += done.Missing
	return done, nil
}

// check validates the process and the sequence numbers of a Ship.
func (c *Ship) check() error {
	switch {
	case c.Process == "" || len(c.Process) > 255 || !isValidText(c.Process) || strings.ContainsRune(c.Process, 0):
		return fmt.Errorf("a process's name %.40q: %w", c.Process, ErrInvalid)
	case c.FirstSeq == 0 || c.FirstSeq+uint64(len(c.Records)) < c.FirstSeq:
		return fmt.Errorf("records from number %d on: %w", c.FirstSeq, ErrInvalid)
	}
	return nil
}

// storeRecord stores one record that is new, unless it is pruned already or too large,
// and counts it in the reply.
func (s *State) storeRecord(st Store, r *Record, done *Shipped) error {
	r.Tenant = s.storedTenant(r.Tenant)
	r.Ended = max(r.Ended, 0) // the least watermark is at 0
	text, err := r.Encode()
	if err != nil {
		done.TooLarge++
		return nil // the record is only counted; the other records are stored
	}
	t := s.tenant(r.Tenant)
	below := t.isPruned(r)
	if below && !s.isHeld(r) && !faultResurrectPruned {
		done.AlreadyPruned++
		return nil
	}
	if err := st.Put(r, text); err != nil {
		return errors.Join(ErrStore, err)
	}
	done.Stored++
	l := &t.Classes[r.RetentionClass()]
	l.All.add(text)
	if below {
		l.BelowWatermark.add(text)
	}
	return nil
}

// advanceEpoch sets the progress of an epoch, and forgets the oldest epoch if there are
// more than maxEpochs.
func (p *processState) advanceEpoch(number, through, missing uint64) {
	i, known := slices.BinarySearchFunc(p.Epochs, number, func(e epochProgress, of uint64) int { return cmp.Compare(e.Epoch, of) })
	if !known {
		p.Epochs = slices.Insert(p.Epochs, i, epochProgress{Epoch: number})
	}
	p.Epochs[i].Through = through
	p.Epochs[i].Missing += missing
	if len(p.Epochs) > maxEpochs {
		p.Forgotten = p.Epochs[0].Epoch
		p.Epochs = slices.Delete(p.Epochs, 0, 1)
	}
}
