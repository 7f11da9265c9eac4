package journal

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// Settings limit what a journal keeps and what a crash can lose.
type Settings struct {
	SegmentBytes int64         // size at which a segment is ended and the next one started
	MaxBytes     int64         // maximum size of all segments; the oldest are removed beyond it
	MaxAge       time.Duration // age beyond which a segment is removed
	WriteDelay   time.Duration // how long a record waits for others, to be written with them in one batch
	SyncInterval time.Duration // time between syncs, after which written records survive a power loss
}

// maxQueued is the maximum number of records that wait to be written. If the disk is so slow that more would
// wait, the journal stops.
const maxQueued = 1 << 16

// Journal writes records to segments. The engine's goroutine adds records, which never blocks; a goroutine of
// the journal writes them. After any failure the journal stops, logs the reason, and drops further records:
// no job depends on it. Close must be called.
type Journal struct {
	dir               Directory
	settings          Settings
	log               *slog.Logger
	recovery          Recovery
	reportDifferences func([]accounting.Difference)

	mu         sync.Mutex
	queue      []Record // records that are not yet written
	closing    bool
	wake       chan struct{} // wakes the writer's goroutine
	done       chan struct{} // closed when the writer has ended
	stopped    atomic.Bool
	stopReason atomic.Value // string
	written    atomic.Int64 // the number of records written

	// Owned by the writer's goroutine.
	balance      *balance
	file         File
	header       Header
	segments     []segmentInfo // all segments, from the oldest to the one being written
	segmentBytes int64         // bytes written to the current segment
	encoder      *encoder
	unsynced     bool     // something was written since the last sync
	spare        []Record // the slice of the last batch, reused for the next queue
}

type segmentInfo struct {
	name    string
	size    int64
	created int64
}

// Open opens the journal in dir for writing: it ends the jobs that the last epoch left open as crashed and
// begins a new epoch. When it returns, this has been synced to disk. The journal closes dir. reportDifferences
// is called on the writer's goroutine when a checkpoint differs from the journal's own count, or when a record
// contradicts those before it. The error wraps ErrNewerVersion or an error of dir.
func Open(dir Directory, settings Settings, now time.Time, log *slog.Logger, reportDifferences func([]accounting.Difference)) (*Journal, error) {
	j := &Journal{
		dir: dir, settings: settings, log: log, reportDifferences: reportDifferences,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	var err error
	if j.balance, j.recovery, err = recoverLastEpoch(dir); err != nil {
		return nil, err
	}
	names, err := dir.Names()
	if err != nil {
		return nil, fmt.Errorf("listing segments: %w", err)
	}
	for _, name := range names {
		text, err := dir.Read(name)
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
		h, _ := decodeHeader(text) // with a damaged header, Created is 0 and the segment counts as the oldest
		j.segments = append(j.segments, segmentInfo{name, int64(len(text)), h.Created})
	}
	at := now.UnixMicro()
	j.balance.epochTotals = accounting.Totals{}
	if err := j.startSegment(Header{Version: Version, Epoch: j.recovery.Epoch, Index: 1, Created: at}, j.balance.crashedEnds(at)); err != nil {
		return nil, err
	}
	go j.run()
	return j, nil
}

// Recovery returns what Open found in the directory.
func (j *Journal) Recovery() Recovery { return j.recovery }

// Stopped reports whether and why the journal has stopped writing.
func (j *Journal) Stopped() (bool, string) {
	why, _ := j.stopReason.Load().(string)
	return j.stopped.Load(), why
}

// Written returns the number of records that have been written.
func (j *Journal) Written() int64 { return j.written.Load() }

// JobAccepted adds the record of an accepted job. number is the job's number within this process.
func (j *Journal) JobAccepted(number uint64, job accounting.Job, at time.Time) {
	j.add(Record{
		Kind: KindAccepted, Number: number, At: at.UnixMicro(), Series: Series{job.Front, job.Class, job.Tenant},
		LogicalRequest: accounting.LogicalRequestID(job.Class, job.Key), Retry: job.Retry,
	})
}

// JobEnded adds the record of a job's end. group is that of the pool member that answered last.
func (j *Journal) JobEnded(number uint64, group string, r accounting.Reason, at time.Time) {
	j.add(Record{Kind: KindEnded, Number: number, At: at.UnixMicro(), Group: group, Reason: r})
}

// Checkpoint adds the ledger's totals, which are compared with the journal's count at the same point.
func (j *Journal) Checkpoint(t accounting.Totals, at time.Time) {
	j.add(Record{Kind: KindCheckpoint, At: at.UnixMicro(), Accepted: t.Taken, Open: t.Open, Ends: t.Ends})
}

func (j *Journal) add(r Record) {
	if j.stopped.Load() {
		return
	}
	j.mu.Lock()
	full := len(j.queue) >= maxQueued
	if !full {
		j.queue = append(j.queue, r)
	}
	first := len(j.queue) == 1
	j.mu.Unlock()
	if full {
		j.fail(fmt.Errorf("the disk does not keep up: %d records wait", maxQueued))
	}
	if first || full {
		j.wakeWriter()
	}
}

func (j *Journal) wakeWriter() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// fail stops the journal, once, and logs why.
func (j *Journal) fail(err error) {
	if !j.stopped.Swap(true) {
		j.stopReason.Store(err.Error())
		j.log.Error("journal stopped: nothing more is written to it", "error", err)
	}
}

// Close writes the queued records and, if no job is open, a record of a clean shutdown. It returns after the
// sync. If the journal had stopped, the error contains the reason.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	j.wakeWriter()
	<-j.done
	if stopped, why := j.Stopped(); stopped {
		return fmt.Errorf("the journal had stopped: %s", why)
	}
	return nil
}

// longWait is how long the writer waits when nothing is due; a new record or Close wakes it earlier.
const longWait = time.Hour

// run writes the added records in batches until the journal is closed or fails. A batch is written WriteDelay
// after its first record was queued.
func (j *Journal) run() {
	defer close(j.done)
	defer func() { _ = j.dir.Close() }() // an error doesn't matter: the records have been synced
	timer := time.NewTimer(longWait)
	defer timer.Stop()
	synced := time.Now()
	for {
		j.waitForBatch(timer, synced)
		closing := j.isClosing()
		if err := j.write(closing); err != nil {
			j.fail(err)
		}
		if !j.stopped.Load() && j.unsynced && (closing || time.Since(synced) >= j.settings.SyncInterval) {
			if err := j.file.Sync(); err != nil {
				j.fail(fmt.Errorf("syncing %s: %w", j.header.name(), err))
			}
			j.unsynced, synced = false, time.Now()
		}
		if closing || j.stopped.Load() {
			j.finish(closing)
			return
		}
	}
}

// waitForBatch waits until a write or a sync is due.
func (j *Journal) waitForBatch(timer *time.Timer, synced time.Time) {
	wait := longWait
	if j.unsynced {
		wait = max(0, time.Until(synced.Add(j.settings.SyncInterval)))
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return
	case <-j.wake:
	}
	if j.isClosing() {
		return
	}
	timer.Reset(j.settings.WriteDelay)
	select {
	case <-timer.C:
	case <-j.wake: // Close was called, or the queue is full
	}
}

// finish closes the file. If the journal stopped because of a failure, it then waits for Close.
func (j *Journal) finish(closing bool) {
	if err := j.file.Close(); err != nil && !j.stopped.Load() {
		j.fail(err)
	}
	if closing {
		return
	}
	for !j.isClosing() {
		<-j.wake
	}
}

func (j *Journal) isClosing() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.closing
}

// write writes the queued records as one batch, and starts a new segment if the current one is full.
func (j *Journal) write(closing bool) error {
	j.mu.Lock()
	records := j.queue
	j.queue = j.spare[:0]
	j.mu.Unlock()
	defer func() {
		clear(records) // the reused slice must not keep old strings in memory
		j.spare = records[:0]
	}()
	if j.stopped.Load() {
		return nil
	}
	var latest int64
	for i := range records {
		r := &records[i]
		latest = r.At
		if r.Kind == KindCheckpoint {
			ledger := accounting.Totals{Taken: r.Accepted, Open: r.Open, Ends: r.Ends}
			if d := ledger.Compare(accounting.AuditJournal, j.balance.epochTotals); len(d) > 0 {
				j.reportDifferences(d)
			}
		} else if !j.balance.apply(r) {
			j.reportDifferences([]accounting.Difference{{Audit: accounting.AuditJournal, What: fmt.Sprintf("job %d ends or enters twice", r.Number), Ledger: 1}})
		}
		j.encoder.add(r)
	}
	if closing && len(j.balance.open) == 0 {
		j.encoder.add(&Record{Kind: KindCleanShutdown, At: max(latest, j.encoder.at)})
	}
	if err := j.flush(len(records)); err != nil {
		return err
	}
	if j.segmentBytes >= j.settings.SegmentBytes && !closing {
		return j.rotate()
	}
	return nil
}

func (j *Journal) flush(records int) error {
	if j.encoder.empty() {
		return nil
	}
	b := j.encoder.endBatch()
	n, err := j.file.Write(b)
	j.segmentBytes += int64(n)
	if err != nil {
		return fmt.Errorf("writing %s: %w", j.header.name(), err)
	}
	j.encoder.startBatch()
	j.unsynced = true
	j.written.Add(int64(records))
	return nil
}

// rotate ends the current segment, starts the next one and removes old ones.
func (j *Journal) rotate() error {
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("syncing %s: %w", j.header.name(), err)
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("closing %s: %w", j.header.name(), err)
	}
	j.segments[len(j.segments)-1].size = j.segmentBytes
	h := j.header
	h.Index++
	h.Created = j.encoder.at
	if err := j.startSegment(h, nil); err != nil {
		return err
	}
	j.removeOldSegments()
	return nil
}

// startSegment creates a segment and writes its first batch: the balance so far, the open jobs, and the ends of
// crashed jobs. It returns after the sync.
func (j *Journal) startSegment(h Header, crashedEnds []Record) error {
	var err error
	if j.file, err = j.dir.Create(h.name()); err != nil {
		return fmt.Errorf("beginning a segment: %w", err)
	}
	if _, err := j.file.Write(h.encode()); err != nil {
		return fmt.Errorf("beginning %s: %w", h.name(), err)
	}
	j.header, j.encoder, j.segmentBytes = h, newEncoder(h), headerSize
	epochTotals := j.balance.epochTotals
	j.encoder.add(&Record{Kind: KindSegmentStart, At: h.Created, Accepted: epochTotals.Taken, Open: epochTotals.Open, Ends: epochTotals.Ends})
	startRecords := j.balance.segmentStart()
	for i := range startRecords {
		j.encoder.add(&startRecords[i])
	}
	for i := range crashedEnds {
		j.balance.apply(&crashedEnds[i])
		j.encoder.add(&crashedEnds[i])
	}
	if err := j.flush(0); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("syncing %s: %w", h.name(), err)
	}
	if err := j.dir.Sync(); err != nil {
		return fmt.Errorf("syncing the directory: %w", err)
	}
	j.unsynced = false
	j.segments = append(j.segments, segmentInfo{h.name(), j.segmentBytes, h.Created})
	return nil
}

// removeOldSegments removes the oldest segments while the total size or their age exceeds the settings. The age
// of a segment is counted from the start of the next one. The two newest are always kept.
func (j *Journal) removeOldSegments() {
	var total int64
	for _, s := range j.segments {
		total += s.size
	}
	for len(j.segments) > 2 {
		age := j.header.Created - j.segments[1].created
		if total <= j.settings.MaxBytes && age <= j.settings.MaxAge.Microseconds() {
			return
		}
		if err := j.dir.Remove(j.segments[0].name); err != nil {
			j.log.Warn("old journal segment not removed", "error", err)
			return
		}
		total -= j.segments[0].size
		j.segments = j.segments[1:]
	}
}
