package spool

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
)

// errSpoolFull is returned when the spool has reached Settings.MaxBytes.
var errSpoolFull = errors.New("the spool has reached its maximum size")

// writer writes the queue to segments. Only its own goroutine uses it.
type writer struct {
	spool    *Spool
	file     segment.File // nil: the next batch begins a segment
	segment  *segmentFile
	index    int
	next     uint64 // sequence number of the next record
	chain    uint64
	batch    []byte // the batch to be written, with room for its frame
	count    int
	unsynced bool
	torn     bool // a write failed and may have written a part
	stopped  chan struct{}
}

func (w *writer) run() {
	p := w.spool
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	synced := time.Now()
	for open := true; open; {
		timer.Reset(w.syncDelay(synced))
		select {
		case r := <-p.queue:
			open = w.gather(r, timer)
		case <-timer.C:
		case <-p.closing:
			open = false
		}
		for w.count > 0 && !w.writeBatch() { // retry; the queue fills meanwhile
			timer.Reset(p.settings.RetryInterval)
			select {
			case <-timer.C:
				continue
			case <-p.freed:
				continue
			case <-p.closing:
				open = false
			}
			break
		}
		if w.unsynced && (!open || time.Since(synced) >= p.settings.SyncInterval) {
			w.sync()
			synced = time.Now()
		}
	}
	w.drain()
}

func (w *writer) syncDelay(synced time.Time) time.Duration {
	if !w.unsynced {
		return time.Hour
	}
	return max(0, time.Until(synced.Add(w.spool.settings.SyncInterval)))
}

// gather adds queued records to the batch until it is full or WriteDelay has passed. It reports
// whether the spool is still open.
func (w *writer) gather(r records.Record, timer *time.Timer) (open bool) {
	w.add(r)
	timer.Reset(w.spool.settings.WriteDelay)
	for w.count < w.spool.settings.BatchSize {
		select {
		case r := <-w.spool.queue:
			w.add(r)
		case <-timer.C:
			return true
		case <-w.spool.closing:
			return false
		}
	}
	return true
}

func (w *writer) add(r records.Record) {
	r = records.Trim(r, w.spool.settings.MaxBodyBytes)
	r.Process, r.Epoch, r.Seq = "", 0, 0 // known from the segment and the position in it
	data, err := r.Encode()
	if err != nil {
		w.spool.dropped.Add(1)
		return
	}
	if w.count == 0 {
		w.batch = append(w.batch[:0], make([]byte, segment.FrameSize)...)
		w.spool.pendingSince.Store(max(r.Ended, 1))
	}
	w.batch = append(binary.AppendUvarint(w.batch, uint64(len(data))), data...)
	w.count++
}

// writeBatch writes the batch, and reports whether it did.
func (w *writer) writeBatch() bool {
	p := w.spool
	if err := w.appendBatch(); err != nil {
		p.recordFailure(err)
		return false
	}
	w.next += uint64(w.count)
	p.writtenCount.Add(int64(w.count))
	w.unsynced = true
	p.mu.Lock()
	w.segment.next, w.segment.size = w.next, w.segment.size+int64(len(w.batch))
	full := w.segment.size >= p.settings.SegmentBytes
	p.mu.Unlock()
	w.count = 0
	p.shippingSince.CompareAndSwap(0, p.pendingSince.Swap(0))
	signal(p.written)
	if full {
		w.sync()
		w.endSegment()
	}
	return true
}

func (w *writer) appendBatch() error {
	if w.file == nil {
		if err := w.beginSegment(); err != nil {
			return err
		}
	}
	chain := frameBatch(w.batch, w.chain)
	if _, err := w.file.Write(w.batch); err != nil {
		w.torn = true
		w.endSegment() // later batches go to a new segment
		return fmt.Errorf("writing the spool: %w", err)
	}
	w.chain = chain
	return nil
}

func (w *writer) beginSegment() error {
	p := w.spool
	if p.settings.MaxBytes > 0 && p.Stats().Bytes >= p.settings.MaxBytes {
		return fmt.Errorf("%d bytes: %w", p.settings.MaxBytes, errSpoolFull)
	}
	w.index++
	s := &segmentFile{name: segmentName(p.settings.Epoch, w.index), epoch: p.settings.Epoch, first: w.next, next: w.next, shippedThrough: w.next - 1, writing: true}
	data, err := codec.Encode(segmentOwner{p.settings.Process, s.epoch, s.first})
	if err != nil {
		return err
	}
	head := segmentHeader()
	first := append(make([]byte, segment.FrameSize), data...)
	chain := frameBatch(first, xxhash.Sum64(head))
	file, err := p.folder.Create(s.name)
	if err != nil {
		return fmt.Errorf("beginning a segment of the spool: %w", err)
	}
	head = append(head, first...)
	_, err = file.Write(head)
	if err == nil {
		err = p.folder.Sync()
	}
	if err != nil {
		// The file holds no records; if it can't be removed now, the next start removes it.
		return fmt.Errorf("beginning a segment of the spool: %w", errors.Join(err, file.Close(), p.folder.Remove(s.name)))
	}
	s.size = int64(len(head))
	w.file, w.segment, w.chain = file, s, chain
	p.mu.Lock()
	p.segments = append(p.segments, s)
	p.mu.Unlock()
	return nil
}

func (w *writer) sync() {
	w.unsynced = false
	if w.file == nil {
		return
	}
	if err := w.file.Sync(); err != nil {
		w.spool.recordFailure(fmt.Errorf("syncing the spool: %w", err))
		w.endSegment()
	}
}

// endSegment closes the segment, and truncates its torn end if there is one.
func (w *writer) endSegment() {
	if w.file == nil {
		return
	}
	p := w.spool
	if err := w.file.Close(); err != nil {
		p.recordFailure(fmt.Errorf("closing a segment of the spool: %w", err))
	}
	if w.torn {
		if err := p.folder.Truncate(w.segment.name, w.segment.size); err != nil {
			p.recordFailure(fmt.Errorf("truncating a segment of the spool: %w", err)) // the next start truncates it
		}
	}
	w.file, w.torn = nil, false
	p.mu.Lock()
	w.segment.writing = false
	p.mu.Unlock()
	signal(p.written)
}

// drain writes what is still queued, with one attempt for each batch, and closes the
// segment.
func (w *writer) drain() {
	for more := true; more; {
		select {
		case r := <-w.spool.queue:
			w.add(r)
		default:
			more = false
		}
		if w.count > 0 && (!more || w.count >= w.spool.settings.BatchSize) && !w.writeBatch() {
			w.spool.dropped.Add(int64(w.count))
			w.count = 0
			w.spool.pendingSince.Store(0)
		}
	}
	w.sync()
	w.endSegment()
	close(w.stopped)
}
