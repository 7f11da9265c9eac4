package spool

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// disk is a directory in memory. Tests make its file calls fail.
type disk struct {
	mu       sync.Mutex
	files    map[string][]byte
	calls    int
	fail     func(call int) error // returns nil for a call that works
	writable int                  // bytes that may be written until the crash; below 0: no crash
	stopped  bool                 // after the crash: nothing changes any more
}

var errCrash = errors.New("crashed")

func newDisk() *disk { return &disk{files: map[string][]byte{}, writable: -1} }

func (d *disk) call(change func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.stopped {
		return errCrash
	}
	if d.fail != nil {
		if err := d.fail(d.calls); err != nil {
			return err
		}
	}
	change()
	return nil
}

func (d *disk) Names() (n []string, err error) {
	return n, d.call(func() { n = slices.Sorted(maps.Keys(d.files)) })
}

func (d *disk) Read(name string) (b []byte, err error) {
	return b, d.call(func() { b = bytes.Clone(d.files[name]) })
}

func (d *disk) Create(name string) (segment.File, error) {
	exists := false
	err := d.call(func() {
		if _, exists = d.files[name]; !exists {
			d.files[name] = []byte{}
		}
	})
	if exists {
		err = fs.ErrExist
	}
	return file{d, name}, err
}

func (d *disk) Truncate(name string, size int64) error {
	return d.call(func() { d.files[name] = d.files[name][:size] })
}
func (d *disk) Remove(name string) error { return d.call(func() { delete(d.files, name) }) }
func (d *disk) Sync() error              { return d.call(func() {}) }
func (d *disk) Close() error             { return nil }

type file struct {
	d    *disk
	name string
}

func (f file) Write(b []byte) (n int, err error) {
	err = f.d.call(func() {
		if n = len(b); f.d.writable >= 0 {
			n = min(n, f.d.writable)
			f.d.writable -= n
			f.d.stopped = n < len(b)
		}
		f.d.files[f.name] = append(f.d.files[f.name], b[:n]...)
	})
	if err == nil && n < len(b) {
		err = errCrash
	} else if err != nil && !errors.Is(err, errCrash) { // half of the data is written
		n = len(b) / 2
		f.d.mu.Lock()
		defer f.d.mu.Unlock()
		f.d.files[f.name] = append(f.d.files[f.name], b[:n]...)
	}
	return n, err
}
func (f file) Sync() error  { return f.d.call(func() {}) }
func (f file) Close() error { return nil }

// fleet accepts records as the replicated state does, and stores their ids.
type fleet struct {
	records.Store
	mu    sync.Mutex
	state *records.State
	ids   []string
	calls int
	fail  func(call int) (before, after error)
}

func (f *fleet) Put(r *records.Record, _ []byte) error {
	f.ids = append(f.ids, r.ID)
	return nil
}

func (f *fleet) ship(_ context.Context, b records.Ship) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var before, after error
	if f.calls++; f.fail != nil {
		before, after = f.fail(f.calls)
	}
	if before != nil {
		return 0, before
	}
	done, err := f.state.Ship(0, f, b)
	return done.Through, errors.Join(err, after)
}

func (f *fleet) recordIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

var smallSettings = Settings{
	Process: "n1", QueueLength: 8, BatchSize: 4, MaxBodyBytes: 10, SegmentBytes: 300, WriteDelay: time.Millisecond, SyncInterval: 10 * time.Millisecond, RetryInterval: 20 * time.Millisecond,
}

func openSpool(t *testing.T, d segment.Directory, f *fleet, s Settings) (*Spool, *logtest.Recorder) {
	log, recorder := logtest.New()
	p, err := Open(d, s, time.Now(), log, f.ship)
	require.NoError(t, err)
	return p, recorder
}

// addRecords adds records one after the other, at least a millisecond apart.
func addRecords(p *Spool, from, to int) {
	for i := from; i < to; i++ {
		p.Add(records.Record{ID: fmt.Sprint(i), Tenant: "hrad", Ended: time.Now().UnixNano()})
		if time.Sleep(time.Millisecond); i%5 == 4 { // in the synctest bubble's time
			time.Sleep(40 * time.Millisecond)
		}
	}
}

func idsUpTo(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint(i))
	}
	return ids
}

func closeSpool(t *testing.T, p *Spool) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Second))
	defer cancel()
	require.NoError(t, p.Close(ctx))
}

// TestEveryFault makes each file call in turn fail, once or four times in a row, with half of
// the data of a write written. All records must reach the fleet once and in order, and at most
// one line is logged.
func TestEveryFault(t *testing.T) {
	reached := true
	for k := 2; reached; k++ { // the first calls are Open's
		for _, times := range []int{1, 4} {
			synctest.Test(t, func(t *testing.T) {
				d, f, s := newDisk(), &fleet{state: records.New()}, smallSettings
				s.QueueLength = 32
				p, recorder := openSpool(t, d, f, s)
				d.mu.Lock()
				d.fail = func(call int) error {
					if call >= k && call < k+times {
						return syscall.ENOSPC
					}
					return nil
				}
				d.mu.Unlock()
				addRecords(p, 0, 15)
				time.Sleep(time.Second)
				r := p.Stats()
				closeSpool(t, p)
				require.Equal(t, idsUpTo(15), f.ids, "call %d", k)
				require.Zero(t, r.Dropped+r.Unsent+r.Lost+r.OldestEnded)
				require.EqualValues(t, 15, r.Shipped)
				reached = d.calls >= k+times+1
				require.Equal(t, reached || r.Failures > 0, r.Failures > 0, "call %d", k)
				require.LessOrEqual(t, len(recorder.Records()), 1)
			})
		}
	}
}

// TestEveryCrash crashes the spool after each number of written bytes, with some replies of
// the fleet lost. The next start must ship all records that had been written, and the fleet
// counts each once.
func TestEveryCrash(t *testing.T) {
	for writable := 0; ; writable++ {
		crashed := true
		synctest.Test(t, func(t *testing.T) {
			d, f := newDisk(), &fleet{state: records.New()}
			f.fail = func(call int) (before, after error) {
				switch call % 3 {
				case 0:
					return nil, errors.New("the reply is lost")
				case 1:
					return errors.New("the fleet is unreachable"), nil
				}
				return nil, nil
			}
			d.writable = writable
			p, _ := openSpool(t, d, f, smallSettings)
			addRecords(p, 0, 9)
			d.mu.Lock()
			d.stopped, crashed = true, d.stopped
			d.mu.Unlock()
			written := p.Stats().Written
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			require.NoError(t, p.Close(ctx))
			again := newDisk()
			again.files = d.files
			f.fail = nil
			p, _ = openSpool(t, again, f, smallSettings)
			addRecords(p, 100, 102)
			closeSpool(t, p)
			n := len(f.ids) - 2
			require.GreaterOrEqual(t, n, int(written), "after %d bytes", writable)
			require.Equal(t, append(idsUpTo(n), "100", "101"), f.ids, "after %d bytes", writable)
			require.Empty(t, again.files, "all was shipped")
		})
		if !crashed {
			return
		}
	}
}

// TestNeverWaits checks that Add doesn't block while all file calls fail, and that records are
// counted as dropped if they don't fit into the queue or can't be written at Close.
func TestNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := newDisk(), &fleet{state: records.New()}
		p, recorder := openSpool(t, d, f, smallSettings)
		d.mu.Lock()
		d.fail = func(int) error { return syscall.ENOSPC }
		d.mu.Unlock()
		begun := time.Now()
		for range 100 {
			p.Add(records.Record{ID: "x", Ended: begun.UnixNano()})
			synctest.Wait()
		}
		require.Equal(t, begun, time.Now())
		time.Sleep(time.Minute)
		r := p.Stats()
		require.EqualValues(t, 100-smallSettings.QueueLength-smallSettings.BatchSize, r.Dropped)
		require.Equal(t, time.Minute, r.Lag(time.Now()))
		require.Greater(t, r.Failures, int64(1000))
		require.Contains(t, r.LastError, syscall.ENOSPC.Error())
		require.Len(t, recorder.Records(), 1)
		closeSpool(t, p)
		require.EqualValues(t, 100, p.Stats().Dropped)
		require.False(t, p.Add(records.Record{}), "closed")
	})
}

// TestBoundAndLostFleet checks that the spool stops at its maximum size while the fleet is
// unreachable, and that it declares records lost to a fleet that has lost its state.
func TestBoundAndLostFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f, s := newDisk(), &fleet{state: records.New()}, smallSettings
		s.MaxBytes = 600
		p, _ := openSpool(t, d, f, s)
		addRecords(p, 0, 6)
		time.Sleep(time.Second)
		require.Equal(t, idsUpTo(6), f.recordIDs())
		f.mu.Lock()
		f.fail = func(int) (error, error) { return errors.New("the fleet is unreachable"), nil }
		f.mu.Unlock()
		addRecords(p, 6, 60)
		r := p.Stats()
		require.Positive(t, r.Dropped)
		require.Less(t, r.Bytes, s.MaxBytes+s.SegmentBytes+200)
		require.Greater(t, r.Lag(time.Now()), 100*time.Millisecond)
		f.mu.Lock()
		f.fail, f.state = nil, records.New()
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		require.Positive(t, p.Stats().Lost)
		require.EqualValues(t, p.Stats().Lost, f.state.Counts().Missing)
		closeSpool(t, p)
		require.Equal(t, int64(60), int64(len(f.ids))+p.Stats().Dropped)
	})
	synctest.Test(t, func(t *testing.T) { // records that are still in the directory are shipped again
		f, s := &fleet{state: records.New()}, smallSettings
		s.SegmentBytes = 1 << 20
		p, _ := openSpool(t, newDisk(), f, s)
		addRecords(p, 0, 6)
		f.mu.Lock()
		f.state, f.ids = records.New(), nil
		f.mu.Unlock()
		addRecords(p, 6, 8)
		closeSpool(t, p)
		require.Equal(t, idsUpTo(8), f.ids)
		require.Zero(t, p.Stats().Lost)
	})
}

// TestDamagedMeanwhile checks that records of a segment that is damaged on the disk before it
// is shipped are counted as lost and declared lost to the fleet, and that later ones are shipped.
func TestDamagedMeanwhile(t *testing.T) {
	for _, last := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { damagedMeanwhile(t, last) })
	}
}

func damagedMeanwhile(t *testing.T, last bool) {
	d, f := newDisk(), &fleet{state: records.New(), fail: func(int) (error, error) { return errors.New("the fleet is unreachable"), nil }}
	s := smallSettings
	s.QueueLength = 32
	p, _ := openSpool(t, d, f, s)
	addRecords(p, 0, 20)
	d.mu.Lock()
	names := slices.Sorted(maps.Keys(d.files))
	require.Greater(t, len(names), 2)
	which := names[1]
	if last {
		which = names[len(names)-1]
	}
	d.files[which][headerSize+segment.FrameSize+60] ^= 1
	d.mu.Unlock()
	f.mu.Lock()
	f.fail = nil
	f.mu.Unlock()
	closeSpool(t, p)
	r := p.Stats()
	require.Positive(t, r.Lost)
	// A loss is declared to the fleet with the records after it: there are none after the last segment.
	require.True(t, last || uint64(r.Lost) == f.state.Counts().Missing)
	require.EqualValues(t, 20, int64(len(f.ids))+r.Lost)
	require.Equal(t, !last, f.ids[len(f.ids)-1] == "19")
}

// TestRefused checks that Open refuses a directory that is in use or belongs to another process,
// segments of other versions, and an epoch that is not new; and how it recovers torn and damaged ones.
func TestRefused(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	path := t.TempDir()
	dir, err := segment.OpenDirectory(path)
	require.NoError(t, err)
	_, err = segment.OpenDirectory(path)
	require.ErrorIs(t, err, segment.ErrInUse)
	f := &fleet{state: records.New(), fail: func(int) (error, error) { return errors.New("the fleet is unreachable"), nil }}
	oneSegment := smallSettings
	oneSegment.SegmentBytes = 1 << 20
	p, _ := openSpool(t, dir, f, oneSegment)
	for i := range 8 {
		require.True(t, p.Add(records.Record{ID: fmt.Sprint(i), Body: make([]byte, 11)}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, p.Close(ctx))
	dir, err = segment.OpenDirectory(path)
	require.NoError(t, err, "the lock is released")
	names, err := dir.Names()
	require.NoError(t, err)
	text, err := dir.Read(names[0])
	require.NoError(t, err)
	require.NoError(t, dir.Close())
	other := smallSettings
	other.Process = "n2"
	old := smallSettings
	old.Epoch = 1
	versioned := func(v byte) []byte {
		b := bytes.Clone(text)
		b[len(magic)] = v
		binary.LittleEndian.PutUint64(b[12:], xxhash.Sum64(b[:12]))
		return b
	}
	for _, c := range []struct {
		text []byte
		s    Settings
		err  error
	}{{text, other, ErrForeign}, {versioned(0), smallSettings, ErrVersion}, {versioned(2), smallSettings, ErrVersion}, {text, old, nil}} {
		d := newDisk()
		d.files[names[0]] = bytes.Clone(c.text)
		log := logtest.Discard()
		_, err := Open(d, c.s, time.Now(), log, f.ship)
		require.Error(t, err)
		if c.err != nil {
			require.ErrorIs(t, err, c.err)
		}
		require.Equal(t, c.text, d.files[names[0]], "nothing changed")
	}
	// A torn end is truncated and logged; a file with a damaged batch is kept.
	f.fail = nil
	for _, kept := range []bool{false, true} {
		d, at := newDisk(), len(text)-3
		d.files[names[0]] = bytes.Clone(text)
		if d.files[names[0]][at] ^= 0xff; !kept {
			d.files[names[0]] = text[:at]
		}
		f.state, f.ids = records.New(), nil
		p, recorder := openSpool(t, d, f, smallSettings)
		closeSpool(t, p)
		require.Len(t, recorder.Records(), 1)
		require.Equal(t, idsUpTo(len(f.ids)), f.ids)
		require.True(t, len(f.ids) >= 4 && len(f.ids) < 8, "all but the last batch, of 4 at most")
		require.Equal(t, kept, len(d.files) == 1)
	}
}
