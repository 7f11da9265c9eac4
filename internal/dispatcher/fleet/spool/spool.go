// Package spool keeps the records of finished jobs in this process's folder until the
// fleet has them. A final answer waits for nothing here: a record is put into a
// bounded queue, one goroutine writes the queue to segments, another ships them in
// order. After a crash what was written is shipped at the next start; the fleet counts
// each once by epoch and number.
package spool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/segment"

	"github.com/sirupsen/logrus"
)

// Settings bound a spool.
type Settings struct {
	Process       string
	Epoch         uint64 // of this start, above all before it; 0: taken from the clock
	QueueLength   int    // records that may wait for the disk; more are dropped and counted
	BatchSize     int    // records written or shipped together
	MaxBodyBytes  int    // bytes of a body that are kept; a longer one is left out
	SegmentBytes  int64
	MaxBytes      int64         // of the whole spool; beyond it the queue fills; 0: no bound
	WriteDelay    time.Duration // records wait this long for others to be written with
	SyncInterval  time.Duration // and this long to be safe from a power loss
	RetryInterval time.Duration // between tries, of writing and of shipping
}

// ShipFunc brings records to the fleet and returns the number of the epoch up to which it
// has them all. The incarnation is for it to fill in. With records.ErrGap the number
// counts too: the spool goes back to it, or says that what is missing is lost.
type ShipFunc func(ctx context.Context, batch records.Ship) (through uint64, err error)

// Stats is what a spool says of itself. Each count is of this run.
type Stats struct {
	Added       int64 // records that were given to it
	Dropped     int64 // of them: the queue was full, the spool closed, or too large
	Written     int64 // of them: in a segment
	Shipped     int64 // records that the fleet has said to have
	Lost        int64 // records of which a damaged or removed file left nothing to ship
	Failures    int64 // of file calls
	Unsent      int64 // records written and not yet shipped
	Bytes       int64 // of all segments
	OldestEnded int64 // when the oldest unshipped one ended, nanoseconds since 1970; 0: there is none
	LastError   string
}

// Spool is one process's. Its methods may be called by any goroutine.
type Spool struct {
	folder   segment.Directory
	settings Settings
	log      logrus.FieldLogger
	ship     ShipFunc

	queue     chan records.Record
	closing   chan struct{} // closed: nothing is added any more
	written   chan struct{} // poked when there is more to ship
	freed     chan struct{} // poked when a file was removed
	workers   sync.WaitGroup
	cancel    context.CancelFunc
	closeOnce sync.Once
	adding    sync.RWMutex // closing may not fall into an Add
	closed    bool

	added, dropped, writtenCount, shipped, lost, failures atomic.Int64
	pendingSince, shippingSince                           atomic.Int64
	lastError                                             atomic.Value // string

	mu       sync.Mutex
	segments []*segmentFile // the oldest first; the last may be the one that is written

	writer writer
	sender sender
}

// Lag is how old the oldest unshipped record is at a time: what the loss of this
// machine's disk would cost, in time.
func (r Stats) Lag(now time.Time) time.Duration {
	if r.OldestEnded == 0 {
		return 0
	}
	return max(0, time.Duration(now.UnixNano()-r.OldestEnded))
}

// Open takes a folder over, cuts torn ends with a line in the log, and begins to ship
// what is there. It refuses what another process's spool or a program of another
// version wrote, and changes nothing then. The folder is the spool's from then on.
func Open(f segment.Directory, s Settings, now time.Time, log logrus.FieldLogger, ship ShipFunc) (*Spool, error) {
	if s.Process == "" || s.QueueLength < 1 || s.BatchSize < 1 || s.SegmentBytes < 1 {
		return nil, fmt.Errorf("the spool of records: settings %+v", s)
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
		return nil, fmt.Errorf("the spool of records: epoch %d, and the folder has %d", p.settings.Epoch, last)
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

// Add gives the spool a record. It never waits; a record for which there is no room
// is dropped and counted. The record's slices must not be changed afterwards.
func (p *Spool) Add(r records.Record) bool {
	p.added.Add(1)
	p.adding.RLock()
	defer p.adding.RUnlock()
	if !p.closed {
		select {
		case p.queue <- r:
			return true
		default:
		}
	}
	p.dropped.Add(1)
	return false
}

// Close writes what waits, ships until all is shipped or ctx ends, and lets the folder
// go. What was not shipped is shipped at the next start.
func (p *Spool) Close(ctx context.Context) (err error) {
	p.closeOnce.Do(func() {
		p.adding.Lock()
		p.closed = true
		p.adding.Unlock()
		close(p.closing)
		defer context.AfterFunc(ctx, p.cancel)()
		p.workers.Wait()
		p.cancel()
		err = p.folder.Close()
	})
	return err
}

// Stats reads the spool's figures.
func (p *Spool) Stats() Stats {
	r := Stats{
		Added: p.added.Load(), Dropped: p.dropped.Load(), Written: p.writtenCount.Load(), Shipped: p.shipped.Load(),
		Lost: p.lost.Load(), Failures: p.failures.Load(), OldestEnded: p.shippingSince.Load(),
	}
	if since := p.pendingSince.Load(); since != 0 && (r.OldestEnded == 0 || since < r.OldestEnded) {
		r.OldestEnded = since
	}
	r.LastError, _ = p.lastError.Load().(string)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.segments {
		r.Bytes += s.size
		r.Unsent += int64(s.next - max(s.first, min(s.shippedThrough+1, s.next)))
	}
	return r
}

// recordFailure counts a failed file call, and says so once a run: jobs are served on.
func (p *Spool) recordFailure(err error) {
	if p.failures.Add(1) == 1 {
		p.log.WithError(err).Error("the spool of records can't be written: jobs are served on, records wait in memory and are dropped when there are too many")
	}
	p.lastError.Store(err.Error())
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// errBatchComplete ends a reading.
var errBatchComplete = errors.New("enough")
