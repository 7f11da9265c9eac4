package spool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"
)

// sender ships the written records, the oldest first. Only its own goroutine uses it.
type sender struct {
	spool          *Spool
	shippedThrough map[uint64]uint64 // by epoch, as acknowledged by the fleet
	gapBefore      bool              // the records before the next ones are lost
	failureLogged  bool              // a failure was logged since the last success
}

func (s *sender) run(ctx context.Context) {
	p := s.spool
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ended := p.writer.stopped
	for ctx.Err() == nil {
		ship, last, err := s.nextBatch()
		switch {
		case err != nil:
			p.recordFailure(err)
		case ship.Process == "":
			p.shippingSince.Store(0)
			if ended == nil {
				return
			}
			select {
			case <-p.written:
			case <-ended:
				ended = nil // look once more: the writer may have written before it stopped
			case <-ctx.Done():
			}
			continue
		default:
			p.shippingSince.Store(max(ship.Records[0].Ended, 1))
			if err = s.send(ctx, ship, last); err == nil {
				continue
			}
			if !s.failureLogged && ctx.Err() == nil {
				p.log.Warn("shipping job records failed; they wait in the spool", "error", err)
			}
			s.failureLogged = true
		}
		timer.Reset(p.settings.RetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// nextBatch reads the next records to be shipped, and returns the sequence number of the last
// one. The batch is empty if there is nothing to ship. Segments of which the fleet has all
// records are removed.
func (s *sender) nextBatch() (ship records.Ship, last uint64, err error) {
	for {
		g, ok := s.nextSegment()
		if !ok {
			return records.Ship{}, 0, nil
		}
		ship, found, err := s.readBatch(g)
		if err != nil {
			return ship, 0, fmt.Errorf("reading the spool: %w", err)
		}
		if len(ship.Records) > 0 {
			return ship, ship.FirstSeq + uint64(len(ship.Records)) - 1, nil
		}
		// The segment was intact when it was written or recovered.
		p := s.spool
		p.log.Error("spool segment can't be read any more; its records are lost", "error", found.Err, "segment", g.name, "records", g.next-ship.FirstSeq)
		p.lost.Add(int64(g.next - ship.FirstSeq))
		s.gapBefore = true
		s.shippedThrough[g.epoch] = max(s.shippedThrough[g.epoch], g.next-1)
	}
}

// nextSegment returns the oldest segment with records to be shipped, and removes those
// before it.
func (s *sender) nextSegment() (g segmentFile, ok bool) {
	p := s.spool
	for {
		p.mu.Lock()
		if len(p.segments) == 0 {
			p.mu.Unlock()
			return segmentFile{}, false
		}
		g = *p.segments[0]
		g.shippedThrough = max(g.shippedThrough, min(s.shippedThrough[g.epoch], g.next-1))
		p.segments[0].shippedThrough = g.shippedThrough
		allShipped := g.shippedThrough+1 >= g.next
		if allShipped && !g.writing {
			p.segments = p.segments[1:]
		}
		p.mu.Unlock()
		switch {
		case !allShipped:
			return g, true
		case g.writing:
			return segmentFile{}, false
		case g.damaged:
			continue
		}
		if err := p.folder.Remove(g.name); err != nil {
			// The next start ships it again; the fleet counts each record once.
			p.recordFailure(fmt.Errorf("removing a shipped segment of the spool: %w", err))
		}
		signal(p.freed)
	}
}

// readBatch reads a segment's unshipped records until there are at least BatchSize of them.
func (s *sender) readBatch(g segmentFile) (ship records.Ship, found segmentScan, err error) {
	p := s.spool
	data, err := p.folder.Read(g.name)
	if err != nil {
		return ship, found, err
	}
	ship = records.Ship{Process: p.settings.Process, Epoch: g.epoch, FirstSeq: g.shippedThrough + 1, GapLost: s.gapBefore}
	found, err = scanSegment(data[:min(int64(len(data)), g.size)], func(first uint64, encoded [][]byte) error {
		if skip := ship.FirstSeq - first; first < ship.FirstSeq {
			encoded = encoded[min(skip, uint64(len(encoded))):]
		}
		all, err := decodeRecords(encoded)
		if err != nil {
			return err
		}
		if ship.Records = append(ship.Records, all...); len(ship.Records) >= p.settings.BatchSize {
			return errBatchComplete
		}
		return nil
	})
	if errors.Is(err, errBatchComplete) {
		err = nil
	}
	return ship, found, err
}

// send ships records and stores the sequence number up to which the fleet has them.
func (s *sender) send(ctx context.Context, ship records.Ship, last uint64) error {
	p := s.spool
	through, err := p.ship(ctx, ship)
	switch {
	case errors.Is(err, records.ErrGap):
		p.mu.Lock()
		first := p.segments[0].first
		if through+1 >= first && through+1 < ship.FirstSeq { // the missing records are still in the segment
			p.segments[0].shippedThrough, s.shippedThrough[ship.Epoch] = through, through
		} else {
			s.gapBefore = true
			p.lost.Add(int64(ship.FirstSeq - 1 - min(through, ship.FirstSeq-1)))
		}
		p.mu.Unlock()
		return err
	case err != nil:
		return err
	case through < last:
		return fmt.Errorf("the fleet has records up to %d after those up to %d were shipped", through, last)
	}
	if s.failureLogged {
		p.log.Info("shipping job records recovered")
	}
	s.gapBefore, s.failureLogged = false, false
	p.shipped.Add(int64(last + 1 - ship.FirstSeq))
	s.shippedThrough[ship.Epoch] = through
	return nil
}
