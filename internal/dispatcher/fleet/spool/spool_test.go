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

// disk is a folder in memory. Its file calls fail as a test says.
type disk struct {
	mu    sync.Mutex
	files map[string][]byte
	calls int
	fail  func(call int) error // nil error: it works
	room  int                  // bytes that may be written until the crash; below 0: no crash
	dead  bool                 // crashed: nothing changes any more
}

var errCrash = errors.New("crashed")

func newDisk() *disk { return &disk{files: map[string][]byte{}, room: -1} }

func (d *disk) call(change func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.dead {
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
		if n = len(b); f.d.room >= 0 {
			n = min(n, f.d.room)
			f.d.room -= n
			f.d.dead = n < len(b)
		}
		f.d.files[f.name] = append(f.d.files[f.name], b[:n]...)
	})
	if err == nil && n < len(b) {
		err = errCrash
	} else if err != nil && !errors.Is(err, errCrash) { // half of it is there
		n = len(b) / 2
		f.d.mu.Lock()
		defer f.d.mu.Unlock()
		f.d.files[f.name] = append(f.d.files[f.name], b[:n]...)
	}
	return n, err
}
func (f file) Sync() error  { return f.d.call(func() {}) }
func (f file) Close() error { return nil }

// fleet takes records in as the replicated state does, and keeps their ids.
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

func (f *fleet) taken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

var tight = Settings{
	Process: "n1", QueueLength: 8, BatchSize: 4, MaxBodyBytes: 10, SegmentBytes: 300, WriteDelay: time.Millisecond, SyncInterval: 10 * time.Millisecond, RetryInterval: 20 * time.Millisecond,
}

func begin(t *testing.T, d segment.Directory, f *fleet, s Settings) (*Spool, *logtest.Recorder) {
	log, recorder := logtest.New()
	p, err := Open(d, s, time.Now(), log, f.ship)
	require.NoError(t, err)
	return p, recorder
}

// feed adds records one after the other, a millisecond and more apart.
func feed(p *Spool, from, to int) {
	for i := from; i < to; i++ {
		p.Add(records.Record{ID: fmt.Sprint(i), Tenant: "hrad", Ended: time.Now().UnixNano()})
		if time.Sleep(time.Millisecond); i%5 == 4 { // of the bubble's time
			time.Sleep(40 * time.Millisecond)
		}
	}
}

func upTo(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint(i))
	}
	return ids
}

func end(t *testing.T, p *Spool) {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Second))
	defer cancel()
	require.NoError(t, p.Close(ctx))
}

// TestEveryFault: whichever file call fails, with half of a write done, for once or for
// a while, all records reach the fleet once and in order, and one error is logged.
func TestEveryFault(t *testing.T) {
	reached := true
	for k := 2; reached; k++ { // the first calls are Open's
		for _, times := range []int{1, 4} {
			synctest.Test(t, func(t *testing.T) {
				d, f, s := newDisk(), &fleet{state: records.New()}, tight
				s.QueueLength = 32
				p, recorder := begin(t, d, f, s)
				d.mu.Lock()
				d.fail = func(call int) error {
					if call >= k && call < k+times {
						return syscall.ENOSPC
					}
					return nil
				}
				d.mu.Unlock()
				feed(p, 0, 15)
				time.Sleep(time.Second)
				r := p.Stats()
				end(t, p)
				require.Equal(t, upTo(15), f.ids, "call %d", k)
				require.Zero(t, r.Dropped+r.Unsent+r.Lost+r.OldestEnded)
				require.EqualValues(t, 15, r.Shipped)
				reached = d.calls >= k+times+1
				require.Equal(t, reached || r.Failures > 0, r.Failures > 0, "call %d", k)
				require.LessOrEqual(t, len(recorder.Records()), 1)
			})
		}
	}
}

// TestEveryCrash: cut off after any byte, with some replies of the fleet lost, a new
// start ships all that had been written, each counted once.
func TestEveryCrash(t *testing.T) {
	for room := 0; ; room++ {
		crashed := true
		synctest.Test(t, func(t *testing.T) {
			d, f := newDisk(), &fleet{state: records.New()}
			f.fail = func(call int) (before, after error) {
				switch call % 3 {
				case 0:
					return nil, errors.New("the reply is lost")
				case 1:
					return errors.New("no way there"), nil
				}
				return nil, nil
			}
			d.room = room
			p, _ := begin(t, d, f, tight)
			feed(p, 0, 9)
			d.mu.Lock()
			d.dead, crashed = true, d.dead
			d.mu.Unlock()
			written := p.Stats().Written
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			require.NoError(t, p.Close(ctx))
			again := newDisk()
			again.files = d.files
			f.fail = nil
			p, _ = begin(t, again, f, tight)
			feed(p, 100, 102)
			end(t, p)
			n := len(f.ids) - 2
			require.GreaterOrEqual(t, n, int(written), "after %d bytes", room)
			require.Equal(t, append(upTo(n), "100", "101"), f.ids, "after %d bytes", room)
			require.Empty(t, again.files, "all was shipped")
		})
		if !crashed {
			return
		}
	}
}

// TestNeverWaits: with a disk that takes nothing Add does not wait; what has no room
// is counted, and so is what is left at the end.
func TestNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := newDisk(), &fleet{state: records.New()}
		p, recorder := begin(t, d, f, tight)
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
		require.EqualValues(t, 100-tight.QueueLength-tight.BatchSize, r.Dropped)
		require.Equal(t, time.Minute, r.Lag(time.Now()))
		require.Greater(t, r.Failures, int64(1000))
		require.Contains(t, r.LastError, syscall.ENOSPC.Error())
		require.Len(t, recorder.Records(), 1)
		end(t, p)
		require.EqualValues(t, 100, p.Stats().Dropped)
		require.False(t, p.Add(records.Record{}), "closed")
	})
}

// TestBoundAndLostFleet: a fleet out of reach fills the spool to its bound; a fleet
// that has forgotten what it had is told what is lost.
func TestBoundAndLostFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f, s := newDisk(), &fleet{state: records.New()}, tight
		s.MaxBytes = 600
		p, _ := begin(t, d, f, s)
		feed(p, 0, 6)
		time.Sleep(time.Second)
		require.Equal(t, upTo(6), f.taken())
		f.mu.Lock()
		f.fail = func(int) (error, error) { return errors.New("no way there"), nil }
		f.mu.Unlock()
		feed(p, 6, 60)
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
		end(t, p)
		require.Equal(t, int64(60), int64(len(f.ids))+p.Stats().Dropped)
	})
	synctest.Test(t, func(t *testing.T) { // what is still in the folder comes again
		f, s := &fleet{state: records.New()}, tight
		s.SegmentBytes = 1 << 20
		p, _ := begin(t, newDisk(), f, s)
		feed(p, 0, 6)
		f.mu.Lock()
		f.state, f.ids = records.New(), nil
		f.mu.Unlock()
		feed(p, 6, 8)
		end(t, p)
		require.Equal(t, upTo(8), f.ids)
		require.Zero(t, p.Stats().Lost)
	})
}

// TestDamagedMeanwhile: a segment that is damaged on the disk before it was shipped is
// lost, counted and told; what follows is shipped.
func TestDamagedMeanwhile(t *testing.T) {
	for _, last := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { damagedMeanwhile(t, last) })
	}
}

func damagedMeanwhile(t *testing.T, last bool) {
	d, f := newDisk(), &fleet{state: records.New(), fail: func(int) (error, error) { return errors.New("no way there"), nil }}
	s := tight
	s.QueueLength = 32
	p, _ := begin(t, d, f, s)
	feed(p, 0, 20)
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
	end(t, p)
	r := p.Stats()
	require.Positive(t, r.Lost)
	require.True(t, last || uint64(r.Lost) == f.state.Counts().Missing) // what is last has nothing after it that could tell
	require.EqualValues(t, 20, int64(len(f.ids))+r.Lost)
	require.Equal(t, !last, f.ids[len(f.ids)-1] == "19")
}

// TestRefused: a folder that another process has, or had, and other versions.
func TestRefused(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	path := t.TempDir()
	dir, err := segment.OpenDirectory(path)
	require.NoError(t, err)
	_, err = segment.OpenDirectory(path)
	require.ErrorIs(t, err, segment.ErrInUse)
	f := &fleet{state: records.New(), fail: func(int) (error, error) { return errors.New("no way there"), nil }}
	long := tight
	long.SegmentBytes = 1 << 20
	p, _ := begin(t, dir, f, long)
	for i := range 8 {
		require.True(t, p.Add(records.Record{ID: fmt.Sprint(i), Body: make([]byte, 11)}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, p.Close(ctx))
	dir, err = segment.OpenDirectory(path)
	require.NoError(t, err, "the lock is let go")
	names, err := dir.Names()
	require.NoError(t, err)
	text, err := dir.Read(names[0])
	require.NoError(t, err)
	require.NoError(t, dir.Close())
	other := tight
	other.Process = "n2"
	old := tight
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
	}{{text, other, ErrForeign}, {versioned(0), tight, ErrVersion}, {versioned(2), tight, ErrVersion}, {text, old, nil}} {
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
	// A torn end is cut with a line; a damaged middle keeps the file.
	f.fail = nil
	for _, kept := range []bool{false, true} {
		d, at := newDisk(), len(text)-3
		d.files[names[0]] = bytes.Clone(text)
		if d.files[names[0]][at] ^= 0xff; !kept {
			d.files[names[0]] = text[:at]
		}
		f.state, f.ids = records.New(), nil
		p, recorder := begin(t, d, f, tight)
		end(t, p)
		require.Len(t, recorder.Records(), 1)
		require.Equal(t, upTo(len(f.ids)), f.ids)
		require.True(t, len(f.ids) >= 4 && len(f.ids) < 8, "all but the last batch, of 4 at most")
		require.Equal(t, kept, len(d.files) == 1)
	}
}
