package spool

import (
	"context"
	"errors"
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"

	"github.com/sirupsen/logrus"
)

// sender ships what is written, the oldest first. It belongs to its goroutine.
type sender struct {
	spool          *Spool
	shippedThrough map[uint64]uint64 // by epoch, as acknowledged by the fleet
	gapBefore      bool              // what precedes the next records is lost
	failureLogged  bool              // since the last success
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
				ended = nil // once more: it may have written
			case <-ctx.Done():
			}
			continue
		default:
			p.shippingSince.Store(max(ship.Records[0].Ended, 1))
			if err = s.send(ctx, ship, last); err == nil {
				continue
			}
			if !s.failureLogged && ctx.Err() == nil {
				p.log.WithError(err).Warn("shipping job records failed; they wait in the spool")
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

// nextBatch reads the next records to be shipped; none: there is nothing. It removes
// segments that the fleet has completely.
func (s *sender) nextBatch() (ship records.Ship, last uint64, err error) {
	p := s.spool
	for {
		ship = records.Ship{}
		p.mu.Lock()
		if len(p.segments) == 0 {
			p.mu.Unlock()
			return ship, 0, nil
		}
		g := *p.segments[0]
		g.shippedThrough = max(g.shippedThrough, min(s.shippedThrough[g.epoch], g.next-1))
		p.segments[0].shippedThrough = g.shippedThrough
		idle := g.shippedThrough+1 >= g.next
		if idle && !g.writing {
			p.segments = p.segments[1:]
		}
		p.mu.Unlock()
		if idle && g.writing {
			return ship, 0, nil
		}
		if idle {
			if g.damaged {
				continue
			}
			if err := p.folder.Remove(g.name); err != nil {
				p.recordFailure(fmt.Errorf("removing a shipped segment of the spool: %w", err)) // the fleet counts once
			}
			signal(p.freed)
			continue
		}
		text, err := p.folder.Read(g.name)
		if err != nil {
			return ship, 0, fmt.Errorf("reading the spool: %w", err)
		}
		ship = records.Ship{Process: p.settings.Process, Epoch: g.epoch, FirstSeq: g.shippedThrough + 1, GapLost: s.gapBefore}
		found, err := scanSegment(text[:min(int64(len(text)), g.size)], func(first uint64, texts [][]byte) error {
			if skip := ship.FirstSeq - first; first < ship.FirstSeq {
				texts = texts[min(skip, uint64(len(texts))):]
			}
			all, err := decodeRecords(texts)
			if err != nil {
				return err
			}
			if ship.Records = append(ship.Records, all...); len(ship.Records) >= p.settings.BatchSize {
				return errBatchComplete
			}
			return nil
		})
		if err != nil && !errors.Is(err, errBatchComplete) {
			return ship, 0, fmt.Errorf("reading the spool: %w", err)
		}
		if len(ship.Records) == 0 { // it was sound when it was written or found
			p.log.WithError(found.Err).WithFields(logrus.Fields{"segment": g.name, "records": g.next - ship.FirstSeq}).Error("spool segment can't be read any more; its records are lost")
			p.lost.Add(int64(g.next - ship.FirstSeq))
			s.gapBefore = true
			s.shippedThrough[g.epoch] = max(s.shippedThrough[g.epoch], g.next-1)
			continue
		}
		return ship, ship.FirstSeq + uint64(len(ship.Records)) - 1, nil
	}
}

// send ships records and takes in how far the fleet has them.
func (s *sender) send(ctx context.Context, ship records.Ship, last uint64) error {
	p := s.spool
	through, err := p.ship(ctx, ship)
	switch {
	case errors.Is(err, records.ErrGap):
		p.mu.Lock()
		first := p.segments[0].first
		if through+1 >= first && through+1 < ship.FirstSeq { // it is still here
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
		return fmt.Errorf("the fleet has records up to %d after %d were shipped", through, last)
	}
	if s.failureLogged {
		p.log.Info("shipping job records recovered")
	}
	s.gapBefore, s.failureLogged = false, false
	p.shipped.Add(int64(last + 1 - ship.FirstSeq))
	s.shippedThrough[ship.Epoch] = through
	return nil
}
