package ringlog_test

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/internal/shared/goldentest"
)

// goldenFolder was written by commit 352ebf2. Disks of running replicas hold logs and snapshots of that
// build.
const goldenFolder = "testdata/ring"

var goldenSizes = ringlog.Sizes{SegmentBytes: 4 << 10, Segments: 3}

func member(id string, host int) replica.Member {
	return replica.Member{ID: id, Address: fmt.Sprintf("10.1.0.%d:7660", host)}
}

// Memberships of the golden log. Member c has lost its disk and comes back as member d.
var (
	membersAtFirst = replica.Membership{Voters: []replica.Member{member("a", 1), member("b", 2), member("c", 3)}}
	membersLearn   = replica.Membership{Voters: membersAtFirst.Voters, Learners: []replica.Member{member("d", 3), member("e", 4)}}
	membersJoint   = replica.Membership{
		Voters:   []replica.Member{member("a", 1), member("b", 2), member("d", 3)},
		Outgoing: membersAtFirst.Voters,
		Learners: []replica.Member{member("e", 4)},
	}
	membersAfter = replica.Membership{Voters: membersJoint.Voters, Learners: membersJoint.Learners}
)

func command(index, term uint64) replica.Entry {
	data := fmt.Appendf(nil, "command %d: %0300d", index, index) // long enough for several segments
	return replica.Entry{Index: index, Term: term, Kind: replica.EntryCommand, Data: data}
}

func membershipEntry(index, term uint64, members replica.Membership) replica.Entry {
	return replica.Entry{Index: index, Term: term, Kind: replica.EntryMembership, Membership: &members}
}

// Snapshots of the golden log; the newer one covers the entries up to 20.
var (
	olderSnapshot = replica.Snapshot{Index: 10, Term: 2, Membership: membersAtFirst, Data: []byte("state at 10")}
	newerSnapshot = replica.Snapshot{Index: 20, Term: 4, Membership: membersLearn, Data: bytes.Repeat([]byte("state at 20; "), 40)}
)

// writeLog writes the golden log to a folder: two runs of a process, two snapshots, entries that a new
// leader replaced, and a member that is replaced after the newer snapshot.
func writeLog(t *testing.T, folder string) {
	t.Helper()
	ring, _, err := ringlog.Open(ringlog.OSFileSystem{}, folder, goldenSizes)
	require.NoError(t, err)
	require.NoError(t, ring.Append(&replica.HardState{Term: 2, Vote: "b"}, []replica.Entry{
		{Index: 1, Term: 1, Kind: replica.EntryNoop}, membershipEntry(2, 1, membersAtFirst),
	}))
	for index := uint64(3); index <= 14; index++ {
		require.NoError(t, ring.Append(nil, []replica.Entry{command(index, 2)}))
	}
	require.NoError(t, ring.SaveSnapshot(olderSnapshot))
	ring.Close()

	ring, _, err = ringlog.Open(ringlog.OSFileSystem{}, folder, goldenSizes)
	require.NoError(t, err)
	require.NoError(t, ring.Append(&replica.HardState{Term: 4, Vote: "a"}, []replica.Entry{
		{Index: 13, Term: 4, Kind: replica.EntryNoop}, command(14, 4), membershipEntry(15, 4, membersLearn),
	}))
	for index := uint64(16); index <= 22; index++ {
		require.NoError(t, ring.Append(nil, []replica.Entry{command(index, 4)}))
	}
	require.NoError(t, ring.SaveSnapshot(newerSnapshot))
	require.NoError(t, ring.Append(&replica.HardState{Term: 6, Vote: "d"}, []replica.Entry{
		membershipEntry(23, 4, membersJoint), membershipEntry(24, 6, membersAfter), {Index: 25, Term: 6, Kind: replica.EntryNoop}, command(26, 6),
	}))
	ring.Close()
}

// goldenRestored returns the state that the golden log holds.
func goldenRestored() replica.PersistedState {
	return replica.PersistedState{
		HardState: replica.HardState{Term: 6, Vote: "d"},
		Snapshot:  newerSnapshot,
		Entries: []replica.Entry{
			command(21, 4), command(22, 4), membershipEntry(23, 4, membersJoint), membershipEntry(24, 6, membersAfter),
			{Index: 25, Term: 6, Kind: replica.EntryNoop, Data: []byte{}}, command(26, 6),
		},
	}
}

// writeMissingFolder writes the golden folder if it does not exist yet and the run is to create missing
// golden files.
func writeMissingFolder(t *testing.T) {
	t.Helper()
	if goldentest.Missing(goldenFolder) {
		writeLog(t, goldenFolder)
	}
}

// TestGoldenLogIsRead checks that a folder that was written by 352ebf2 can be opened and appended to.
func TestGoldenLogIsRead(t *testing.T) {
	writeMissingFolder(t)
	folder := goldentest.CopyFolder(t, goldenFolder)
	ring, found, err := ringlog.Open(ringlog.OSFileSystem{}, folder, goldenSizes)
	require.NoError(t, err)
	wanted := goldenRestored()
	require.Equal(t, wanted.HardState, found.HardState)
	require.Equal(t, wanted.Snapshot, found.Snapshot)
	require.Len(t, found.Entries, len(wanted.Entries))
	for i, entry := range wanted.Entries {
		require.Equal(t, entry, found.Entries[i], "entry %d", entry.Index)
	}

	wanted.HardState = replica.HardState{Term: 7, Vote: "e"}
	require.NoError(t, ring.Append(&wanted.HardState, []replica.Entry{command(27, 7), membershipEntry(28, 7, membersAtFirst)}))
	wanted.Snapshot = replica.Snapshot{Index: 27, Term: 7, Membership: membersAfter, Data: []byte("state at 27")}
	require.NoError(t, ring.SaveSnapshot(wanted.Snapshot))
	ring.Close()
	ring, found, err = ringlog.Open(ringlog.OSFileSystem{}, folder, goldenSizes)
	require.NoError(t, err)
	defer ring.Close()
	wanted.Entries = []replica.Entry{membershipEntry(28, 7, membersAtFirst)}
	require.Equal(t, wanted, found)
}

// TestLogMatchesGolden checks that the same operations produce the same files, records and snapshots.
func TestLogMatchesGolden(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "ring")
	writeLog(t, folder)
	require.Equal(t, filesOf(t, goldenFolder), filesOf(t, folder))
	for _, name := range filesOf(t, goldenFolder) {
		golden, written := readFile(t, goldenFolder, name), readFile(t, folder, name)
		if filepath.Base(name)[:4] == "snap" {
			require.Equal(t, storedSnapshotOf(t, golden), storedSnapshotOf(t, written), name)
			continue
		}
		require.Len(t, written, len(golden), name)
		require.Equal(t, storedRecordsOf(t, golden), storedRecordsOf(t, written), name)
	}
}

func filesOf(t *testing.T, folder string) []string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

func readFile(t *testing.T, folder, name string) []byte {
	t.Helper()
	return goldentest.Read(t, filepath.Join(folder, name))
}

// The types and functions from here on read files as a process of 352ebf2 does, without the code
// under test. Their field names are stored and must never change.
type (
	storedMember     struct{ ID, Address string }
	storedMembership struct{ Voters, Outgoing, Learners []storedMember }
	storedSnapshot   struct {
		Index      uint64
		Term       uint64
		Membership storedMembership
		Data       []byte
	}
	storedRecord struct {
		number     uint64
		kind       byte
		payload    string
		membership storedMembership // membership of an entry that has one; payload is then only the part before it
	}
)

const (
	headerBytes    = 16 // magic number, checksum, number of the first record
	framingBytes   = 17 // length, checksum, number, kind
	entryBytes     = 17 // index, term, kind
	entryRecord    = 2
	membershipKind = 2
)

func storedSnapshotOf(t *testing.T, slot []byte) storedSnapshot {
	t.Helper()
	require.Equal(t, uint32(0x62736c31), binary.LittleEndian.Uint32(slot))
	length := binary.LittleEndian.Uint64(slot[8:])
	require.Len(t, slot, headerBytes+int(length))
	var stored storedSnapshot
	require.NoError(t, gob.NewDecoder(bytes.NewReader(slot[headerBytes:])).Decode(&stored))
	return stored
}

func storedRecordsOf(t *testing.T, segment []byte) []storedRecord {
	t.Helper()
	if binary.LittleEndian.Uint32(segment) == 0 {
		return nil // the segment was never used
	}
	require.Equal(t, uint32(0x62736c31), binary.LittleEndian.Uint32(segment))
	var records []storedRecord
	next := binary.LittleEndian.Uint64(segment[8:])
	for rest := segment[headerBytes:]; len(rest) > framingBytes; {
		number, end := binary.LittleEndian.Uint64(rest[8:]), framingBytes+int(binary.LittleEndian.Uint32(rest))
		if number != next || end > len(rest) {
			break // zeros, or content from before the segment was reused
		}
		next++
		record := storedRecord{number: number, kind: rest[16], payload: string(rest[framingBytes:end])}
		if record.kind == entryRecord && record.payload[entryBytes-1] == membershipKind {
			body := rest[framingBytes+entryBytes : end]
			require.NoError(t, gob.NewDecoder(bytes.NewReader(body)).Decode(&record.membership))
			record.payload = record.payload[:entryBytes]
		}
		records = append(records, record)
		rest = rest[end:]
	}
	return records
}

// TestGoldenRecordsFieldByField checks the golden files themselves, without the code under test.
func TestGoldenRecordsFieldByField(t *testing.T) {
	require.Equal(t, storedSnapshot{
		Index: 20, Term: 4, Data: bytes.Repeat([]byte("state at 20; "), 40),
		Membership: storedMembership{
			Voters:   []storedMember{{"a", "10.1.0.1:7660"}, {"b", "10.1.0.2:7660"}, {"c", "10.1.0.3:7660"}},
			Learners: []storedMember{{"d", "10.1.0.3:7660"}, {"e", "10.1.0.4:7660"}},
		},
	}, storedSnapshotOf(t, readFile(t, goldenFolder, "snapshot-1")))
	require.Equal(t, storedSnapshot{
		Index: 10, Term: 2, Data: []byte("state at 10"),
		Membership: storedMembership{Voters: []storedMember{{"a", "10.1.0.1:7660"}, {"b", "10.1.0.2:7660"}, {"c", "10.1.0.3:7660"}}},
	}, storedSnapshotOf(t, readFile(t, goldenFolder, "snapshot-0")))
	var joint, records int
	for _, name := range filesOf(t, goldenFolder) {
		if filepath.Base(name)[:4] == "snap" {
			continue
		}
		for _, record := range storedRecordsOf(t, readFile(t, goldenFolder, name)) {
			records++
			if len(record.membership.Outgoing) > 0 {
				joint++
				require.Equal(t, storedMembership{
					Voters:   []storedMember{{"a", "10.1.0.1:7660"}, {"b", "10.1.0.2:7660"}, {"d", "10.1.0.3:7660"}},
					Outgoing: []storedMember{{"a", "10.1.0.1:7660"}, {"b", "10.1.0.2:7660"}, {"c", "10.1.0.3:7660"}},
					Learners: []storedMember{{"e", "10.1.0.4:7660"}},
				}, record.membership)
			}
		}
	}
	require.Equal(t, 21, records)
	require.Equal(t, 1, joint, "number of records with a joint membership")
}
