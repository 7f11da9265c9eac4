package journal

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/accounting"

	"github.com/sirupsen/logrus"
)

// Settings bound a journal.
type Settings struct {
	SegmentBytes int64
	MaxBytes     int64
	MaxAge       time.Duration
	WriteDelay   time.Duration // records wait this long for others to be written with
	SyncInterval time.Duration // and this long to be safe from a power loss
}

// mostWaiting is how many records may wait for a disk that does not keep up.
const mostWaiting = 1 << 16

// Journal writes records as the core's goroutine adds them, from a goroutine
// of its own. Adding never waits. When anything fails the journal stops, says
// so, and drops what is added: no job depends on it.
type Journal struct {
	folder   Directory
	settings Settings
	log      logrus.FieldLogger
	found    Recovery
	differ   func([]accounting.Difference)

	mu      sync.Mutex
	waiting []Record
	closing bool
	wake    chan struct{}
	done    chan struct{}
	stopped atomic.Bool
	why     atomic.Value // string
	written atomic.Int64 // records

	// Owned by the writer's goroutine.
	balance  *balance
	segment  File
	header   Header
	names    []segmentInfo // all segments, the oldest first, the one that is written last
	size     int64
	encoder  *encoder
	unsynced bool
	spare    []Record
}

type segmentInfo struct {
	name    string
	size    int64
	created int64
}

// Open takes a folder over, closes what the last epoch left open, and begins a
// new one. When it returns, all of that is safe from a power loss. differ is
// told where a mark and the journal's own count differ.
func Open(f Directory, s Settings, now time.Time, log logrus.FieldLogger, differ func([]accounting.Difference)) (*Journal, error) {
	j := &Journal{
		folder: f, settings: s, log: log, differ: differ,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	var err error
	if j.balance, j.found, err = recovered(f); err != nil {
		return nil, err
	}
	names, err := f.Names()
	if err != nil {
		return nil, fmt.Errorf("listing segments: %w", err)
	}
	for _, name := range names {
		text, err := f.Read(name)
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
		h, _ := decodeHeader(text) // one that is damaged goes first
		j.names = append(j.names, segmentInfo{name, int64(len(text)), h.Created})
	}
	at := now.UnixMicro()
	j.balance.epoch = accounting.Totals{}
	if err := j.begin(Header{Version: Version, Epoch: j.found.Epoch, Index: 1, Created: at}, j.balance.closeEpoch(at)); err != nil {
		return nil, err
	}
	go j.run()
	return j, nil
}

// Recovery is what Open found.
func (j *Journal) Recovery() Recovery { return j.found }

// Stopped tells whether and why the journal has stopped writing.
func (j *Journal) Stopped() (bool, string) {
	why, _ := j.why.Load().(string)
	return j.stopped.Load(), why
}

// Written is how many records have been written.
func (j *Journal) Written() int64 { return j.written.Load() }

// JobAccepted adds an entry.
func (j *Journal) JobAccepted(number uint64, job accounting.Job, at time.Time) {
	j.add(Record{
		Kind: KindAccepted, Number: number, At: at.UnixMicro(), Series: Series{job.Front, job.Class, job.Tenant},
		LogicalRequest: accounting.LogicalRequestID(job.Class, job.Key), Retry: job.Retry,
	})
}

// JobEnded adds an end.
func (j *Journal) JobEnded(number uint64, group string, r accounting.Reason, at time.Time) {
	j.add(Record{Kind: KindEnded, Number: number, At: at.UnixMicro(), Group: group, Reason: r})
}

// Checkpoint adds the account's totals, to be held against the journal's count at
// the same place.
func (j *Journal) Checkpoint(t accounting.Totals, at time.Time) {
	j.add(Record{Kind: KindCheckpoint, At: at.UnixMicro(), Accepted: t.Taken, Open: t.Open, Ends: t.Ends})
}

func (j *Journal) add(r Record) {
	if j.stopped.Load() {
		return
	}
	j.mu.Lock()
	behind := len(j.waiting) >= mostWaiting
	if !behind {
		j.waiting = append(j.waiting, r)
	}
	first := len(j.waiting) == 1
	j.mu.Unlock()
	if behind {
		j.stop(fmt.Errorf("the folder does not keep up: %d records wait", mostWaiting))
	}
	if first || behind {
		j.poke()
	}
}

func (j *Journal) poke() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// stop stops the journal, once, and says why.
func (j *Journal) stop(err error) {
	if !j.stopped.Swap(true) {
		j.why.Store(err.Error())
		j.log.WithError(err).Error("the journal of figures has stopped: from here on nothing is written to it")
	}
}

// Close writes what waits, and that the epoch ended in order if nothing is
// open. It waits for that.
func (j *Journal) Close() error {
	j.mu.Lock()
	j.closing = true
	j.mu.Unlock()
	j.poke()
	<-j.done
	if stopped, why := j.Stopped(); stopped {
		return fmt.Errorf("the journal had stopped: %s", why)
	}
	return nil
}

// run writes what is added, in batches. A batch is begun by the first record
// that waits, and written WriteWithin later.
func (j *Journal) run() {
	defer close(j.done)
	defer j.folder.Close()
	pause := time.NewTimer(time.Hour)
	defer pause.Stop()
	synced := time.Now()
	for {
		wait := time.Hour
		if j.unsynced {
			wait = max(0, time.Until(synced.Add(j.settings.SyncInterval)))
		}
		pause.Reset(wait)
		select {
		case <-j.wake:
			if !j.ending() {
				pause.Reset(j.settings.WriteDelay)
				select {
				case <-pause.C:
				case <-j.wake: // the end, or too much
				}
			}
		case <-pause.C:
		}
		closing := j.ending()
		if err := j.write(closing); err != nil {
			j.stop(err)
		}
		if !j.stopped.Load() && j.unsynced && (closing || time.Since(synced) >= j.settings.SyncInterval) {
			if err := j.segment.Sync(); err != nil {
				j.stop(fmt.Errorf("syncing %s: %w", j.header.name(), err))
			}
			j.unsynced, synced = false, time.Now()
		}
		if closing || j.stopped.Load() {
			if err := j.segment.Close(); err != nil && !j.stopped.Load() {
				j.stop(err)
			}
			if closing {
				return
			}
			for !j.ending() { // stopped: only the end is waited for
				<-j.wake
			}
			return
		}
	}
}

func (j *Journal) ending() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.closing
}

// write takes what waits and writes it as one batch.
func (j *Journal) write(closing bool) error {
	j.mu.Lock()
	records := j.waiting
	j.waiting = j.spare[:0]
	j.mu.Unlock()
	defer func() {
		clear(records) // texts of the past must not be held
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
			there := j.balance.epoch
			here := accounting.Totals{Taken: r.Accepted, Open: r.Open, Ends: r.Ends}
			if d := here.Compare(accounting.AuditJournal, there); len(d) > 0 {
				j.differ(d)
			}
		} else if !j.balance.apply(r) {
			j.differ([]accounting.Difference{{Audit: accounting.AuditJournal, What: fmt.Sprintf("job %d ends or enters twice", r.Number), Ledger: 1}})
		}
		j.encoder.add(r)
	}
	if closing && len(j.balance.open) == 0 {
		j.encoder.add(&Record{Kind: KindCleanShutdown, At: max(latest, j.encoder.at)})
	}
	if err := j.flush(len(records)); err != nil {
		return err
	}
	if j.size >= j.settings.SegmentBytes && !closing {
		return j.change()
	}
	return nil
}

func (j *Journal) flush(records int) error {
	if j.encoder.empty() {
		return nil
	}
	b := j.encoder.batch()
	n, err := j.segment.Write(b)
	j.size += int64(n)
	if err != nil {
		return fmt.Errorf("writing %s: %w", j.header.name(), err)
	}
	j.encoder.begin()
	j.unsynced = true
	j.written.Add(int64(records))
	return nil
}

// change closes the segment and begins the next.
func (j *Journal) change() error {
	if err := j.segment.Sync(); err != nil {
		return fmt.Errorf("syncing %s: %w", j.header.name(), err)
	}
	if err := j.segment.Close(); err != nil {
		return fmt.Errorf("closing %s: %w", j.header.name(), err)
	}
	j.names[len(j.names)-1].size = j.size
	h := j.header
	h.Index++
	h.Created = j.encoder.at
	if err := j.begin(h, nil); err != nil {
		return err
	}
	j.retain()
	return nil
}

// begin writes the beginning of a segment: the balance so far, the jobs that
// are open, and what follows from that, all in one batch. It returns when that
// is safe.
func (j *Journal) begin(h Header, after []Record) error {
	var err error
	if j.segment, err = j.folder.Create(h.name()); err != nil {
		return fmt.Errorf("beginning a segment: %w", err)
	}
	if _, err := j.segment.Write(h.encode()); err != nil {
		return fmt.Errorf("beginning %s: %w", h.name(), err)
	}
	j.header, j.encoder, j.size = h, newEncoder(h), headerSize
	sums := j.balance.epoch
	j.encoder.add(&Record{Kind: KindSegmentStart, At: h.Created, Accepted: sums.Taken, Open: sums.Open, Ends: sums.Ends})
	opening := j.balance.opening()
	for i := range opening {
		j.encoder.add(&opening[i])
	}
	for i := range after {
		j.balance.apply(&after[i])
		j.encoder.add(&after[i])
	}
	if err := j.flush(0); err != nil {
		return err
	}
	if err := j.segment.Sync(); err != nil {
		return fmt.Errorf("syncing %s: %w", h.name(), err)
	}
	if err := j.folder.Sync(); err != nil {
		return fmt.Errorf("syncing the folder: %w", err)
	}
	j.unsynced = false
	j.names = append(j.names, segmentInfo{h.name(), j.size, h.Created})
	return nil
}

// retain removes what is too old or too much, the oldest first. A segment is as
// old as the beginning of the next one.
func (j *Journal) retain() {
	var total int64
	for _, s := range j.names {
		total += s.size
	}
	for len(j.names) > 2 {
		old := j.header.Created - j.names[1].created
		if total <= j.settings.MaxBytes && old <= j.settings.MaxAge.Microseconds() {
			return
		}
		if err := j.folder.Remove(j.names[0].name); err != nil {
			j.log.WithError(err).Warn("an old segment can't be removed")
			return
		}
		total -= j.names[0].size
		j.names = j.names[1:]
	}
}

// String says what a start found, for the log.
func (f Recovery) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "epoch %d", f.Epoch)
	if !f.CleanShutdown {
		fmt.Fprintf(&b, ", the last one did not end in order: %d jobs closed as cut off, %d torn bytes cut", f.CrashedJobs, f.TruncatedBytes)
	}
	return b.String()
}
