package ringlog_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/simdisk"
)

var sizes = ringlog.Sizes{SegmentBytes: 2 << 10, Segments: 3}

// model is the state that a ring must hold.
type model struct {
	hardState replica.HardState
	snapshot  replica.Snapshot
	entries   []replica.Entry
}

func (m *model) last() uint64 {
	if n := len(m.entries); n > 0 {
		return m.entries[n-1].Index
	}
	return m.snapshot.Index
}

func (m *model) append(state *replica.HardState, entries []replica.Entry) {
	if state != nil {
		m.hardState = *state
	}
	if len(entries) > 0 {
		keep := 0
		for keep < len(m.entries) && m.entries[keep].Index < entries[0].Index {
			keep++
		}
		m.entries = append(m.entries[:keep:keep], entries...)
	}
}

func (m *model) save(snapshot replica.Snapshot) {
	m.snapshot = snapshot
	for len(m.entries) > 0 && m.entries[0].Index <= snapshot.Index {
		m.entries = m.entries[1:]
	}
}

// operations generates a random sequence of operations from a seed. The caller stops at the first error.
type operations struct {
	random     *rand.Rand
	term       uint64
	model      model
	ring       *ringlog.Ring
	beforeLast model // the model before the last operation
}

func (s *operations) entries(from uint64) []replica.Entry {
	var entries []replica.Entry
	for i := range 1 + s.random.IntN(4) {
		entries = append(entries, replica.Entry{Index: from + uint64(i), Term: s.term, Data: []byte(fmt.Sprintf("%0*d", 5+s.random.IntN(120), i))})
	}
	return entries
}

// step applies one random operation to the model and the ring.
func (s *operations) step() error {
	s.beforeLast = s.model
	switch s.random.IntN(8) {
	case 0:
		s.term++
		state := replica.HardState{Term: s.term, Vote: "someone"}
		s.model.append(&state, nil)
		return s.ring.Append(&state, nil)
	case 1: // a new leader replaces the tail
		s.term++
		from := max(s.model.snapshot.Index+1, s.model.last()-min(s.model.last(), uint64(s.random.IntN(3))))
		state, entries := replica.HardState{Term: s.term}, s.entries(from)
		s.model.append(&state, entries)
		return s.ring.Append(&state, entries)
	case 2:
		if len(s.model.entries) == 0 {
			return nil
		}
		at := s.model.entries[s.random.IntN(len(s.model.entries))]
		snapshot := replica.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("state")}
		s.model.save(snapshot)
		return s.ring.SaveSnapshot(snapshot)
	case 3:
		if s.random.IntN(4) > 0 {
			return nil
		}
		snapshot := replica.Snapshot{Index: s.model.last() + 5, Term: s.term, Data: []byte("other")}
		s.model.snapshot, s.model.entries = snapshot, nil
		return s.ring.Reset(snapshot)
	}
	entries := s.entries(s.model.last() + 1)
	s.model.append(nil, entries)
	return s.ring.Append(nil, entries)
}

func (m *model) equals(found replica.PersistedState) bool {
	if m.hardState != found.HardState || m.snapshot.Index != found.Snapshot.Index || m.snapshot.Term != found.Snapshot.Term || len(m.entries) != len(found.Entries) {
		return false
	}
	for i, entry := range m.entries {
		other := found.Entries[i]
		if entry.Index != other.Index || entry.Term != other.Term || string(entry.Data) != string(other.Data) {
			return false
		}
	}
	return true
}

func TestReopenedRingHoldsSyncedRecords(t *testing.T) {
	for seed := range uint64(300) {
		disk := simdisk.New(seed)
		s := &operations{random: rand.New(rand.NewPCG(seed, 3)), term: 1}
		for range 12 {
			ring, found, err := ringlog.Open(disk, "log", sizes)
			require.NoError(t, err, "seed %d", seed)
			require.True(t, s.model.equals(found), "seed %d: wanted %v, found %v", seed, s.model, found)
			s.ring = ring
			for range s.random.IntN(25) {
				require.NoError(t, s.step(), "seed %d", seed)
			}
			if s.random.IntN(2) == 0 {
				disk.LosePower()
			}
		}
	}
}

// open opens the ring of a disk and requires success.
func open(t *testing.T, disk *simdisk.Disk, seed uint64, point int) (*ringlog.Ring, replica.PersistedState) {
	t.Helper()
	ring, found, err := ringlog.Open(disk, "log", sizes)
	require.NoError(t, err, "seed %d point %d", seed, point)
	return ring, found
}

// runUntilCrash runs operations on a new disk until the disk operation with the number point crashes. It
// returns false if there are fewer disk operations.
func runUntilCrash(t *testing.T, seed uint64, point int, stream uint64) (*simdisk.Disk, *operations, bool) {
	t.Helper()
	disk := simdisk.New(seed*1000 + uint64(point))
	s := &operations{random: rand.New(rand.NewPCG(seed, stream)), term: 1}
	s.ring, _ = open(t, disk, seed, point)
	disk.CrashAtOperation = disk.OperationCount + point
	for range 30 {
		if s.step() != nil {
			return disk, s, true
		}
	}
	return disk, s, false
}

// TestCrashAtEachOperation crashes a sequence at each of its writes and syncs in turn. All synced
// records must be recovered; the interrupted operation may be recovered in part.
func TestCrashAtEachOperation(t *testing.T) {
	for seed := range uint64(25) {
		for point := 1; ; point++ {
			disk, s, crashed := runUntilCrash(t, seed, point, 4)
			if !crashed {
				break
			}
			disk.LosePower()
			_, found := open(t, disk, seed, point)
			require.GreaterOrEqual(t, found.HardState.Term, s.beforeLast.hardState.Term, "seed %d point %d", seed, point)
			requireSyncedEntries(t, s, found, seed, point)
		}
	}
}

// TestPowerLossSoonAfterAStart loses power at each of the first writes and syncs after a process has
// started on a ring that uses its segments again. It guards against a log that is reported damaged
// though nothing that was synced is missing.
func TestPowerLossSoonAfterAStart(t *testing.T) {
	for seed := range uint64(400) {
		for point := 1; point <= 8; point++ {
			disk := simdisk.New(seed*1000 + uint64(point))
			disk.TornBySector = seed%2 == 0
			s := &operations{random: rand.New(rand.NewPCG(seed, 7)), term: 1}
			for range 2 + seed%3 {
				s.ring, _ = open(t, disk, seed, point)
				for range 15 {
					require.NoError(t, s.step())
				}
			}
			s.ring, _ = open(t, disk, seed, point)
			disk.CrashAtOperation = disk.OperationCount + point
			for s.step() == nil {
				continue
			}
			disk.LosePower()
			_, found := open(t, disk, seed, point)
			requireSyncedEntries(t, s, found, seed, point)
		}
	}
}

// TestRecoveredRecordsSurvivePowerLoss kills the process at each point, which leaves unsynced writes
// readable. Records that the next process has read must survive a later power failure.
func TestRecoveredRecordsSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(25) {
		for point := 1; ; point++ {
			disk, _, crashed := runUntilCrash(t, seed, point, 6)
			if !crashed {
				break
			}
			disk.CrashAtOperation = 0
			_, read := open(t, disk, seed, point)
			disk.LosePower()
			_, again := open(t, disk, seed, point)
			require.Equal(t, read, again, "seed %d point %d", seed, point)
		}
	}
}

// requireSyncedEntries requires each entry that was synced before the interrupted operation, unless
// that operation may have replaced it.
func requireSyncedEntries(t *testing.T, s *operations, found replica.PersistedState, seed uint64, point int) {
	t.Helper()
	foundTerms := map[uint64]uint64{}
	for _, entry := range found.Entries {
		foundTerms[entry.Index] = entry.Term
	}
	for _, entry := range s.beforeLast.entries {
		if entry.Index <= found.Snapshot.Index || foundTerms[entry.Index] == entry.Term {
			continue
		}
		replaced := !slices.ContainsFunc(s.model.entries, func(after replica.Entry) bool {
			return after.Index == entry.Index && after.Term == entry.Term
		})
		require.True(t, replaced, "seed %d point %d: entry %d of term %d is lost", seed, point, entry.Index, entry.Term)
	}
}

// TestCrashWhileOpening crashes the opening of a ring at each of its writes and syncs in turn, twice in
// a row. No synced record may be lost, and Open must not return ErrDamaged afterwards.
func TestCrashWhileOpening(t *testing.T) {
	for seed := range uint64(40) {
		for point := 1; point < 40; point++ {
			disk := simdisk.New(seed*1000 + uint64(point))
			s := &operations{random: rand.New(rand.NewPCG(seed, 5)), term: 1}
			for range 3 {
				s.ring, _ = open(t, disk, seed, point)
				for range 10 {
					require.NoError(t, s.step())
				}
			}
			for range 2 {
				disk.CrashAtOperation = disk.OperationCount + point
				_, _, _ = ringlog.Open(disk, "log", sizes) // may crash at that operation
				disk.LosePower()
			}
			for range 3 {
				_, found := open(t, disk, seed, point)
				require.True(t, s.model.equals(found), "seed %d point %d", seed, point)
			}
		}
	}
}

// TestKilledWhileOpening kills a process at a point of its operations, and the next process while it opens
// the ring. Records that the process after that has read must survive a power failure.
func TestKilledWhileOpening(t *testing.T) {
	for seed := range uint64(60) {
		for point := 1; point < 24; point++ {
			disk := simdisk.New(seed*1000 + uint64(point))
			s := &operations{random: rand.New(rand.NewPCG(seed, 6)), term: 1}
			s.ring, _ = open(t, disk, seed, point)
			disk.CrashAtOperation = disk.OperationCount + point
			for range 12 {
				if s.step() != nil {
					break
				}
			}
			disk.CrashAtOperation = disk.OperationCount + 1 + int(seed%9)
			_, _, _ = ringlog.Open(disk, "log", sizes) // may crash at that operation
			disk.CrashAtOperation = 0
			_, read := open(t, disk, seed, point)
			requireSyncedEntries(t, s, read, seed, point)
			disk.LosePower()
			_, found := open(t, disk, seed, point)
			require.Equal(t, read, found, "seed %d point %d", seed, point)
		}
	}
}

func TestAppendIsRepeatedAfterAFullDisk(t *testing.T) {
	disk := simdisk.New(1)
	ring, _, err := ringlog.Open(disk, "log", sizes)
	require.NoError(t, err)
	entries := []replica.Entry{{Index: 1, Term: 1, Data: []byte("a")}}
	require.NoError(t, ring.Append(&replica.HardState{Term: 1}, entries))
	disk.Full = true
	more := []replica.Entry{{Index: 2, Term: 1, Data: []byte("b")}}
	require.ErrorIs(t, ring.Append(nil, more), simdisk.ErrFull)
	disk.Full = false
	require.NoError(t, ring.Append(nil, more), "the same call is repeated")
	_, found, err := ringlog.Open(disk, "log", sizes)
	require.NoError(t, err)
	require.Len(t, found.Entries, 2)
}

func TestDamageIsDistinguishedFromATornTail(t *testing.T) {
	disk := simdisk.New(1)
	ring, _, err := ringlog.Open(disk, "log", sizes)
	require.NoError(t, err)
	for index := uint64(1); index < 60; index++ {
		require.NoError(t, ring.Append(nil, []replica.Entry{{Index: index, Term: 1, Data: make([]byte, 100)}}))
	}
	file, err := disk.Open("log/segment-00")
	require.NoError(t, err)
	_, err = file.WriteAt([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9}, 600)
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	_, _, err = ringlog.Open(disk, "log", sizes)
	require.ErrorIs(t, err, ringlog.ErrDamaged)
}
