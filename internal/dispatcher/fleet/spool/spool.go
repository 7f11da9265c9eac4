// Package spool stores the records of finished jobs in this process's directory until the
// fleet (the state that the processes replicate through Raft) has them. No job's answer waits
// for the spool: a record is put into a bounded queue, one goroutine writes the queue to
// segments (package segment), and another ships the records in order. Records written before a
// crash are shipped after the next start; the fleet counts each record once, by epoch and
// sequence number.
package spool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/segment"
)

// Settings configure a spool.
type Settings struct {
	Process       string
	Epoch         uint64 // of this start, greater than that of every earlier start; 0: taken from the clock
	QueueLength   int    // records that may wait for the disk; further ones are dropped and counted
	BatchSize     int    // records that are written or shipped together
	MaxBodyBytes  int    // a longer body is omitted
	SegmentBytes  int64
	MaxBytes      int64         // of the whole spool; at this size the queue fills; 0: unlimited
	WriteDelay    time.Duration // how long a record waits for others, to be written in one batch
	SyncInterval  time.Duration // how long a written record may wait to be synced
	RetryInterval time.Duration // after a failed write or shipment
}

// ShipFunc ships records to the fleet and returns the sequence number up to which the fleet
// has all records of the epoch. It sets the batch's incarnation. With records.ErrGap the number
// is valid too: the spool continues from there, or declares the missing records lost.
type ShipFunc func(ctx context.Context, batch records.Ship) (through uint64, err error)

// Stats are the statistics of a spool since it was opened.
type Stats struct {
	Added       int64 // records passed to Add
	Dropped     int64 // of those added: the queue was full, the spool closed, the record too large or unwritable
	Written     int64 // of those added: written to a segment
	Shipped     int64 // records that the fleet has acknowledged
	Lost        int64 // records that the fleet lacks and no file has any more: it was damaged or removed
	Failures    int64 // failed file operations
	Unsent      int64 // records written and not yet shipped
	Bytes       int64 // of all segments
	OldestEnded int64 // when the oldest unshipped record's job ended, in nanoseconds since 1970; 0: there is none
	LastError   string
}

// Spool is one process's spool. It is safe for concurrent use.
type Spool struct {
	folder   segment.Directory
	settings Settings
	log      *slog.Logger
	ship     ShipFunc

	queue     chan records.Record
	closing   chan struct{} // closed: nothing is added any more
	written   chan struct{} // signalled when there is more to ship
	freed     chan struct{} // signalled when a file was removed
	workers   sync.WaitGroup
	cancel    context.CancelFunc
	closeOnce sync.Once
	adding    sync.RWMutex // held for reading by Add, so that nothing is queued after Close has set closed
	closed    bool

	added, dropped, writtenCount, shipped, lost, failures atomic.Int64
	pendingSince, shippingSince                           atomic.Int64
	lastError                                             atomic.Value // string

	mu       sync.Mutex
	segments []*segmentFile // the oldest first; the last may be the one being written

	writer writer
	sender sender
}

// Lag returns the age of the oldest unshipped record at a time: if this machine's disk were
// lost, the records since then could be lost with it.
func (r Stats) Lag(now time.Time) time.Duration {
	if r.OldestEnded == 0 {
		return 0
	}
	return max(0, time.Duration(now.UnixNano()-r.OldestEnded))
}

// Open opens a spool in a directory, truncates the torn ends of segments, and starts to ship
// the records found there. It fails, without changing anything, for the spool of another
// process (ErrForeign) or program version (ErrVersion). The spool owns the directory from then
// on, and closes it.
func Open(f segment.Directory, s Settings, now time.Time, log *slog.Logger, ship ShipFunc) (*Spool, error) {
	if s.Process == "" || s.QueueLength < 1 || s.BatchSize < 1 || s.SegmentBytes < 1 {
		return nil, fmt.Errorf("invalid settings %+v", s)
	}
	p := &Spool{
		folder: f, settings: s, log: log, ship: ship, queue: make(chan records.Record, s.QueueLength),
		closing: make(chan struct{}), written: make(chan struct{}, 1), freed: make(chan struct{}, 1),
	}
	last, err := p.recoverSegments()
	if err != nil {
		return nil, err
	}
	if p.settings.Epoch == 0 {
		p.settings.Epoch = max(last+1, uint64(now.UnixNano()))
	}
	if p.settings.Epoch <= last {
		return nil, fmt.Errorf("epoch %d is not above %d, the latest in the directory", p.settings.Epoch, last)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.writer = writer{spool: p, next: 1, stopped: make(chan struct{})}
	p.sender = sender{spool: p, shippedThrough: map[uint64]uint64{}}
	p.workers.Add(2)
	go func() { defer p.workers.Done(); p.writer.run() }()
	go func() { defer p.workers.Done(); p.sender.run(ctx) }()
	return p, nil
}

// Add queues a record and reports whether it did. It never blocks: if the queue is full or the
// spool is closed, the record is dropped and counted. The record's slices must not be changed
// afterwards.
func (s *Spool) Add(r records.Record) bool {
	s.added.Add(1)
	s.adding.RLock()
	defer s.adding.RUnlock()
	if !s.closed {
		select {
		case s.queue <- r:
			return true
		default:
		}
	}
	s.dropped.Add(1)
	return false
}

// Close writes the queued records, ships until everything is shipped or ctx ends, and closes
// the directory. Records that were not shipped are shipped after the next start.
func (s *Spool) Close(ctx context.Context) (err error) {
	s.closeOnce.Do(func() {
		s.adding.Lock()
		s.closed = true
		s.adding.Unlock()
		close(s.closing)
		defer context.AfterFunc(ctx, s.cancel)()
		s.workers.Wait()
		s.cancel()
		err = s.folder.Close()
	})
	return err
}

// Stats returns the spool's statistics.
func (s *Spool) Stats() Stats {
	r := Stats{
		Added: s.added.Load(), Dropped: s.dropped.Load(), Written: s.writtenCount.Load(), Shipped: s.shipped.Load(),
		Lost: s.lost.Load(), Failures: s.failures.Load(), OldestEnded: s.shippingSince.Load(),
	}
	if since := s.pendingSince.Load(); since != 0 && (r.OldestEnded == 0 || since < r.OldestEnded) {
		r.OldestEnded = since
	}
	r.LastError, _ = s.lastError.Load().(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, s := range s.segments {
		r.Bytes += s.size
		r.Unsent += int64(s.next - max(s.first, min(s.shippedThrough+1, s.next)))
	}
	return r
}

// recordFailure counts a failed file operation, and logs the first one.
func (s *Spool) recordFailure(err error) {
	if s.failures.Add(1) == 1 {
		s.log.Error("spool can't be written; jobs are served, records wait in memory and are dropped beyond the queue's length", "error", err)
	}
	s.lastError.Store(err.Error())
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// errBatchComplete is returned by a scan's callback once the batch has enough records.
var errBatchComplete = errors.New("enough")
