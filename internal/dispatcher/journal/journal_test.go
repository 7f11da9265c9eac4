package journal

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/logging"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// memoryDir is a Directory in memory with limited space. It can record its state after each step, so that a test
// can continue from the state that a crash would leave: after any step, with any part of a write done.
type memoryDir struct {
	mu          sync.Mutex
	files       map[string][]byte
	freeBytes   int                 // bytes that may still be written; below 0: no limit
	steps       []map[string][]byte // the files after each step, if recordSteps is set
	recordSteps bool
}

func newMemoryDir() *memoryDir { return &memoryDir{files: make(map[string][]byte), freeBytes: -1} }

func (m *memoryDir) recordStep() {
	if !m.recordSteps {
		return
	}
	state := make(map[string][]byte)
	for name, text := range m.files {
		state[name] = bytes.Clone(text)
	}
	m.steps = append(m.steps, state)
}

// copyOf returns a directory with copies of the files.
func copyOf(files map[string][]byte) *memoryDir {
	m := newMemoryDir()
	for name, text := range files {
		m.files[name] = bytes.Clone(text)
	}
	return m
}

func (m *memoryDir) Names() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryDir) Read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(text), nil
}

func (m *memoryDir) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.files[name]; ok {
		return nil, fs.ErrExist
	}
	m.files[name] = nil
	m.recordStep()
	return memoryFile{m, name}, nil
}

func (m *memoryDir) Truncate(name string, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name] = m.files[name][:size]
	return nil
}

func (m *memoryDir) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	m.recordStep()
	return nil
}

func (m *memoryDir) Sync() error  { return nil }
func (m *memoryDir) Close() error { return nil }

type memoryFile struct {
	m    *memoryDir
	name string
}

func (f memoryFile) Write(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	n := len(b)
	if f.m.freeBytes >= 0 && n > f.m.freeBytes {
		n = f.m.freeBytes
	}
	f.m.files[f.name] = append(f.m.files[f.name], b[:n]...)
	if f.m.freeBytes >= 0 {
		f.m.freeBytes -= n
	}
	f.m.recordStep()
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}
func (f memoryFile) Sync() error  { return nil }
func (f memoryFile) Close() error { return nil }

var (
	start        = time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)
	discardLog   = slog.New(slog.DiscardHandler)
	testSettings = Settings{SegmentBytes: 1 << 20, MaxBytes: 1 << 30, MaxAge: time.Hour, WriteDelay: 0, SyncInterval: 0}
	holdJob      = accounting.Job{Front: "http", Class: "place-hold", Tenant: "hrad-kamenec", Key: "k"}
)

func openJournal(t require.TestingT, f Directory, s Settings) *Journal {
	j, err := Open(f, s, start, discardLog, func(d []accounting.Difference) { require.Fail(t, "differs", "%v", d) })
	require.NoError(t, err)
	return j
}

func verify(t require.TestingT, f Directory) *Verification {
	v, err := Verify(f)
	require.NoError(t, err)
	return v
}

// waitWritten waits until the journal has written n records.
func waitWritten(t require.TestingT, j *Journal, n int64) {
	for until := time.Now().Add(10 * time.Second); j.Written() < n; {
		if stopped, why := j.Stopped(); stopped || time.Now().After(until) {
			require.Fail(t, "not written", why)
		}
		time.Sleep(time.Millisecond)
	}
}

// writeJobs writes a journal of the given number of jobs into a directory and returns how many ended. One job in
// three stays open.
func writeJobs(t require.TestingT, f Directory, s Settings, jobs int) (ended int64) {
	j := openJournal(t, f, s)
	for n := range jobs {
		at := start.Add(time.Duration(n) * time.Second)
		job := holdJob
		job.Tenant, job.Key = fmt.Sprint("t", n%3), fmt.Sprint("k", n)
		j.JobAccepted(uint64(n+1), job, at)
		if n%3 != 0 {
			j.JobEnded(uint64(n+1), "cell 0", accounting.Reason(n%int(accounting.Crashed)), at.Add(time.Second))
			ended++
		}
		waitWritten(t, j, int64(n+1)+ended) // so that each job has one or two batches of its own
	}
	require.NoError(t, j.Close())
	return ended
}

// TestRestart tests that the jobs that the last epoch left open are ended as crashed, once, and that the next
// epochs continue the count.
func TestRestart(t *testing.T) {
	m := newMemoryDir()
	for epoch := int64(1); epoch <= 4; epoch++ {
		ended := writeJobs(t, m, testSettings, 30)
		v := verify(t, m)
		require.Empty(t, v.Inconsistencies)
		require.EqualValues(t, epoch, v.Epochs)
		require.EqualValues(t, 30*epoch, v.Totals.Taken)
		require.EqualValues(t, 30-ended, v.Totals.Open)
		require.EqualValues(t, (30-ended)*(epoch-1), v.Totals.Ends[accounting.Crashed])
		require.False(t, v.LastShutdownClean, "jobs were open at its end")
	}
	j := openJournal(t, m, testSettings)
	require.False(t, j.Recovery().CleanShutdown)
	require.Equal(t, 10, j.Recovery().CrashedJobs)
	require.NoError(t, j.Close())
	j = openJournal(t, m, testSettings)
	require.True(t, j.Recovery().CleanShutdown)
	require.NoError(t, j.Close())
	v := verify(t, m)
	require.Empty(t, v.Inconsistencies)
	require.True(t, v.LastShutdownClean)
	require.Zero(t, v.Totals.Open)
}

// TestTruncatedAtAnyByte truncates a journal at every byte: a restart must remove the torn end and continue the
// count from what is left.
func TestTruncatedAtAnyByte(t *testing.T) {
	whole := newMemoryDir()
	writeJobs(t, whole, testSettings, 6)
	name := "00000001-00000001.seg"
	text := whole.files[name]
	last := -1
	for size := len(text); size >= 0; size-- {
		m := copyOf(map[string][]byte{name: text[:size]})
		v := verify(t, m)
		require.Empty(t, v.Inconsistencies, "cut at %d", size)
		j := openJournal(t, m, testSettings)
		if v.Records == 0 { // the segment has no complete batch: it is removed
			require.Equal(t, size, j.Recovery().TruncatedBytes, "cut at %d", size)
		} else {
			require.Equal(t, v.TornBytes, j.Recovery().TruncatedBytes, "cut at %d", size)
		}
		require.NoError(t, j.Close())
		after := verify(t, m)
		require.Empty(t, after.Inconsistencies, "cut at %d", size)
		require.Zero(t, after.TornBytes)
		require.Equal(t, v.Totals.Taken, after.Totals.Taken)
		require.Equal(t, v.Totals.Open, after.Totals.Ends[accounting.Crashed])
		if last >= 0 {
			require.LessOrEqual(t, int(v.Totals.Taken), last, "a shorter journal must not have more jobs")
		}
		last = int(v.Totals.Taken)
	}
	require.Zero(t, last)
}

// TestFlippedBits flips each bit of a journal: the recount must report every one. A restart must report the damage
// and continue with what is undamaged.
func TestFlippedBits(t *testing.T) {
	whole := newMemoryDir()
	writeJobs(t, whole, testSettings, 4)
	name := "00000001-00000001.seg"
	text := whole.files[name]
	for i := range text {
		for bit := range 8 {
			m := copyOf(whole.files)
			m.files[name][i] ^= 1 << bit
			v := verify(t, m)
			require.NotEmpty(t, v.Inconsistencies, "bit %d of byte %d", bit, i)
			if bit == i%8 { // a restart for each bit would take too long
				j, err := Open(m, testSettings, start, discardLog, func([]accounting.Difference) {})
				if errors.Is(err, ErrNewerVersion) { // impossible: the header's checksum is verified before its version
					require.Fail(t, "newer")
				}
				require.NoError(t, err)
				require.NotEmpty(t, j.Recovery().Warnings, "bit %d of byte %d", bit, i)
				require.NoError(t, j.Close())
			}
		}
	}
}

// TestCrash simulates a crash after every single step of a run with many segments, of which some have been removed
// already, and after several parts of each write. A restart must find no damage, and the journal must then be
// consistent.
func TestCrash(t *testing.T) {
	m := newMemoryDir()
	m.recordSteps = true
	s := testSettings
	s.SegmentBytes, s.MaxBytes = 600, 2500
	writeJobs(t, m, s, 60)
	require.Greater(t, len(m.files), 2)
	require.NotContains(t, m.files, "00000001-00000001.seg", "the oldest has been removed")
	before := map[string][]byte{}
	for n, state := range m.steps {
		for _, name := range slices.Sorted(maps.Keys(state)) {
			grown := len(state[name]) - len(before[name])
			for _, part := range []int{1, grown / 3, grown / 2, grown - 1, grown} {
				if part <= 0 || part > grown {
					continue
				}
				f := copyOf(state)
				f.files[name] = f.files[name][:len(before[name])+part]
				j := openJournal(t, f, s)
				require.Empty(t, j.Recovery().Warnings)
				require.NoError(t, j.Close())
				v := verify(t, f)
				require.Empty(t, v.Inconsistencies, "step %d, %d of %d bytes of %s", n, part, grown, name)
				require.Zero(t, v.Totals.Open)
			}
		}
		before = state
	}
}

// TestDiskFull tests that a disk that becomes full at any byte stops the journal, which is logged as an error, and
// that what was written before is still consistent.
func TestDiskFull(t *testing.T) {
	whole := newMemoryDir()
	writeJobs(t, whole, testSettings, 4)
	size := len(whole.files["00000001-00000001.seg"])
	for free := 0; free < size; free += 3 {
		m := newMemoryDir()
		m.freeBytes = free
		var logged bytes.Buffer
		log := logging.New(&logged, logging.Text, slog.LevelInfo)
		j, err := Open(m, testSettings, start, log, func([]accounting.Difference) {})
		if err != nil {
			require.ErrorIs(t, err, syscall.ENOSPC)
		} else {
			for n := uint64(1); n <= 100; n++ { // adding never fails and never blocks
				j.JobAccepted(n, holdJob, start)
				j.JobEnded(n, "cell 0", accounting.Answered, start)
			}
			require.Error(t, j.Close())
			stopped, why := j.Stopped()
			require.True(t, stopped)
			require.Contains(t, why, "no space left")
			require.Contains(t, logged.String(), "level=error")
		}
		m.freeBytes = -1
		require.Empty(t, verify(t, m).Inconsistencies)
		j = openJournal(t, m, testSettings)
		require.NoError(t, j.Close())
		require.Empty(t, verify(t, m).Inconsistencies)
	}
}

// TestDiskTooSlow tests that a disk that is too slow stops the journal and doesn't block the jobs.
func TestDiskTooSlow(t *testing.T) {
	m := newMemoryDir()
	j := openJournal(t, m, testSettings)
	m.mu.Lock() // blocks every write
	for n := uint64(1); n <= 2*maxQueued; n++ {
		j.JobAccepted(n, holdJob, start)
	}
	stopped, why := j.Stopped()
	m.mu.Unlock()
	require.True(t, stopped)
	require.Contains(t, why, "does not keep up")
	require.Error(t, j.Close())
}

// TestCheckpoints tests that a wrong count is found at the next checkpoint, independently by the running journal
// and by the recount.
func TestCheckpoints(t *testing.T) {
	m := newMemoryDir()
	found := make(chan []accounting.Difference, 10)
	j, err := Open(m, testSettings, start, discardLog, func(d []accounting.Difference) { found <- d })
	require.NoError(t, err)
	ledger := accounting.New(accounting.DefaultLimits())
	runJob := func(journalled bool) {
		e := ledger.JobAccepted(holdJob, start)
		if journalled {
			j.JobAccepted(e.Number, e.Job, start)
		}
		number := e.Number
		ledger.JobEnded(e, accounting.Answered, start)
		if journalled {
			j.JobEnded(number, "cell 0", accounting.Answered, start)
		}
	}
	runJob(true)
	j.Checkpoint(ledger.Totals(), start)
	waitWritten(t, j, 3)
	require.Empty(t, found)
	require.Empty(t, verify(t, m).Inconsistencies)
	runJob(false) // the fault: the journal misses a job
	j.Checkpoint(ledger.Totals(), start)
	require.NoError(t, j.Close())
	require.NotEmpty(t, <-found)
	require.NotEmpty(t, verify(t, m).Inconsistencies)
}

// TestClockSetBack tests that times that go backward are written and read unchanged.
func TestClockSetBack(t *testing.T) {
	m := newMemoryDir()
	j := openJournal(t, m, testSettings)
	j.JobAccepted(1, holdJob, start.Add(time.Hour))
	j.JobEnded(1, "cell 0", accounting.Answered, start.Add(-24*time.Hour))
	require.NoError(t, j.Close())
	require.NoError(t, openJournal(t, m, testSettings).Close()) // an hour before the last record
	v := verify(t, m)
	require.Empty(t, v.Inconsistencies)
	require.True(t, v.Latest.Equal(start.Add(time.Hour)))
	rows, _, err := Report(m, Query{})
	require.NoError(t, err)
	require.EqualValues(t, 1, rows[0].Accepted)
	require.EqualValues(t, 1, rows[0].Outcome(accounting.Served))
}

// TestReadsVersion1 tests that a journal written in format version 1 can be read and its count continued, and
// that a journal of a newer version is left unchanged.
func TestReadsVersion1(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "version1.seg"))
	require.NoError(t, err)
	m := copyOf(map[string][]byte{"00000001-00000001.seg": text})
	j := openJournal(t, m, testSettings)
	require.Equal(t, 1, j.Recovery().CrashedJobs)
	j.JobAccepted(1, holdJob, start)
	require.NoError(t, j.Close())
	v := verify(t, m)
	require.Empty(t, v.Inconsistencies)
	require.EqualValues(t, 3, v.Totals.Taken)
	require.EqualValues(t, 1, v.Totals.Ends[accounting.Answered])
	require.EqualValues(t, 1, v.Totals.Ends[accounting.Crashed])
	// A segment of a newer version is left unchanged.
	h := Header{Version: Version + 1, Epoch: 9, Index: 1}
	m.files["00000009-00000001.seg"] = append(h.encode(), "whatever"...)
	_, err = Open(m, testSettings, start, discardLog, nil)
	require.ErrorIs(t, err, ErrNewerVersion)
	require.Contains(t, m.files, "00000009-00000001.seg")
}

// TestReport tests that the equation of ReportRow holds for each row, by any dimensions, and that the rows
// together count every job of the report's time range once.
func TestReport(t *testing.T) {
	m := newMemoryDir()
	s := testSettings
	s.SegmentBytes = 700
	writeJobs(t, m, s, 40)
	writeJobs(t, m, s, 40)
	for _, by := range [][]string{nil, {"tenant"}, {"front", "class", "tenant", "group"}, {"minute", "tenant"}, {"hour"}, {"day"}} {
		for _, span := range [][2]time.Time{{}, {start.Add(5 * time.Second)}, {start.Add(5 * time.Second), start.Add(20 * time.Second)}} {
			rows, warnings, err := Report(m, Query{From: span[0], To: span[1], By: by})
			require.NoError(t, err)
			require.Empty(t, warnings)
			var taken int64
			for _, r := range rows {
				require.Equal(t, r.OpenBefore+r.Accepted, r.Outcome(accounting.Served)+r.Outcome(accounting.Refused)+r.Outcome(accounting.Failed)+r.Open)
				taken += r.Accepted
			}
			switch {
			case span[0].IsZero():
				require.EqualValues(t, 80, taken)
			case !span[1].IsZero():
				require.EqualValues(t, 30, taken)
			}
		}
	}
	require.Error(t, Query{By: []string{"moon"}}.Validate())
	require.Error(t, Query{From: start, To: start}.Validate())
}

// TestDirectory tests a directory on disk: it allows one writer at a time, and readers while a process writes.
func TestDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "figures")
	f, err := OpenDirectory(path)
	require.NoError(t, err)
	_, err = OpenDirectory(path)
	require.ErrorIs(t, err, ErrInUse)
	j := openJournal(t, f, testSettings)
	j.JobAccepted(1, holdJob, start)
	waitWritten(t, j, 1)
	r, err := ReadDirectory(path)
	require.NoError(t, err)
	require.Empty(t, verify(t, r).Inconsistencies)
	require.NoError(t, j.Close())
	f, err = OpenDirectory(path)
	require.NoError(t, err)
	require.NoError(t, openJournal(t, f, testSettings).Close())
	require.Empty(t, verify(t, r).Inconsistencies)
}

// TestRandomJobsAndCrashes tests a journal with random jobs, checkpoints, crashes and restarts.
func TestRandomJobsAndCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryDir()
		s := testSettings
		s.SegmentBytes = int64(rapid.IntRange(200, 3000).Draw(t, "segment"))
		j, now, total := openJournal(t, m, s), start, int64(0)
		var open []uint64
		var sum accounting.Totals
		var last uint64
		var added int64
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				last++
				added++
				total++
				j.JobAccepted(last, holdJob, now)
				open = append(open, last)
				sum.Taken++
				sum.Open++
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "job")
				r := accounting.Reason(rapid.IntRange(0, int(accounting.Crashed)-1).Draw(t, "reason"))
				j.JobEnded(open[i], "cell 0", r, now)
				open = slices.Delete(open, i, i+1)
				sum.Open--
				sum.Ends[r]++
				added++
			},
			"checkpoint": func(*rapid.T) { j.Checkpoint(sum, now); added++ },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"crash": func(t *rapid.T) {
				waitWritten(t, j, added)
				m.mu.Lock()
				left := copyOf(m.files)
				m.mu.Unlock()
				_ = j.Close() // what it writes now is lost in the crash
				m = left
				j = openJournal(t, m, s)
				require.Equal(t, len(open), j.Recovery().CrashedJobs)
				open, sum, last, added = nil, accounting.Totals{}, 0, 0
			},
		})
		require.NoError(t, j.Close())
		v := verify(t, m)
		require.Empty(t, v.Inconsistencies)
		require.Equal(t, total, v.Totals.Taken)
		require.EqualValues(t, len(open), v.Totals.Open)
	})
}

// FuzzScan tests that no input makes Scan return an error, panic or loop forever.
func FuzzScan(f *testing.F) {
	m := newMemoryDir()
	writeJobs(f, m, testSettings, 3)
	f.Add(m.files["00000001-00000001.seg"])
	f.Fuzz(func(t *testing.T, text []byte) {
		n := 0
		s, err := Scan(text, func(*Record) error { n++; return nil })
		require.NoError(t, err)
		require.LessOrEqual(t, s.ValidBytes, len(text))
		d := &decoder{version: Version}
		_ = d.records(text, func(*Record) error { return nil }) // as if the checksum were valid
	})
}

// BenchmarkAdd measures the cost of the journal per job for the engine's goroutine.
func BenchmarkAdd(b *testing.B) {
	f, err := OpenDirectory(b.TempDir())
	require.NoError(b, err)
	s := testSettings
	s.SegmentBytes, s.WriteDelay, s.SyncInterval = 8<<20, 10*time.Millisecond, time.Second
	j := openJournal(b, f, s)
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		j.JobAccepted(n, holdJob, start)
		j.JobEnded(n, "cell 0", accounting.Answered, start)
		if n%8192 == 0 { // keeps the queue within what the disk can write
			b.StopTimer()
			waitWritten(b, j, int64(2*n))
			b.StartTimer()
		}
	}
	require.NoError(b, j.Close())
}
