package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// logOf returns a log that follows a snapshot of index 10 and term 2. It has one entry for each of the
// terms, from index 11 on.
func logOf(terms ...uint64) *raftLog {
	l := &raftLog{}
	l.reset(Snapshot{Index: 10, Term: 2})
	l.append(entriesFrom(11, terms...))
	return l
}

func entriesFrom(index uint64, terms ...uint64) []Entry {
	var entries []Entry
	for i, term := range terms {
		entries = append(entries, Entry{Index: index + uint64(i), Term: term, Data: make([]byte, 10)})
	}
	return entries
}

func indexes(entries []Entry) []uint64 {
	var all []uint64
	for _, entry := range entries {
		all = append(all, entry.Index)
	}
	return all
}

func TestLogTerm(t *testing.T) {
	l := logOf(3, 3, 4)
	for index, want := range map[uint64]uint64{9: 0, 10: 2, 11: 3, 13: 4, 14: 0} {
		require.Equal(t, want, l.term(index), "index %d", index)
	}
}

func TestLogMissing(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []Entry
		want    []uint64
	}{
		{"all present", entriesFrom(11, 3, 3), nil},
		{"covered by the snapshot", entriesFrom(9, 2, 2), nil},
		{"after the end", entriesFrom(14, 4, 4), []uint64{14, 15}},
		{"another term", entriesFrom(12, 5, 5), []uint64{12, 13}},
		{"equal prefix", entriesFrom(11, 3, 5), []uint64{12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, indexes(logOf(3, 3, 4).missing(c.entries)))
		})
	}
}

func TestLogAppendReplacesTheTail(t *testing.T) {
	l := logOf(3, 3, 4)
	l.stable = 13
	returned := l.slice(11, 13)
	l.append(entriesFrom(12, 5, 5, 5))
	require.Equal(t, uint64(14), l.last())
	require.Equal(t, uint64(5), l.term(12))
	require.Equal(t, uint64(11), l.stable, "the new entries are not on disk")
	require.Equal(t, uint64(3), returned[1].Term, "a slice that was returned does not change")
}

func TestLogSkipsATermAtOnce(t *testing.T) {
	l := logOf(3, 3, 4, 4, 4)
	require.Equal(t, uint64(12), l.indexBeforeTermOf(15))
	require.Equal(t, uint64(10), l.indexBeforeTermOf(12))
	require.Equal(t, uint64(29), l.indexBeforeTermOf(30), "an index that the log lacks")
}

func TestLogCompactRetains(t *testing.T) {
	for _, c := range []struct {
		name      string
		retention LogRetention
		wantFirst uint64
	}{
		{"nothing", LogRetention{}, 15},
		{"two entries", LogRetention{Entries: 2, Bytes: 1000}, 13},
		{"as many as the bytes allow", LogRetention{Entries: 100, Bytes: 35}, 12},
		{"all after an index", LogRetention{AfterIndex: 11}, 12},
		{"all entries that the log has", LogRetention{Entries: 100, Bytes: 1000}, 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := logOf(3, 3, 4, 4, 4)
			l.compact(Snapshot{Index: 14, Term: 4}, c.retention)
			require.Equal(t, c.wantFirst, l.first)
			require.Equal(t, uint64(15), l.last())
			require.NotZero(t, l.term(c.wantFirst-1), "the term before the first entry is known")
		})
	}
}
