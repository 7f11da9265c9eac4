package replica

import "slices"

// maxAppendBytes limits the size of the entries' data in one message. The first entry is always sent,
// even if it is larger.
const maxAppendBytes = 256 << 10

// LogRetention limits which of the entries that a snapshot covers stay in memory. Entries and Bytes
// both apply.
type LogRetention struct {
	Entries uint64
	Bytes   int // size of the entries' data
	// AfterIndex retains all entries after this index regardless of the other limits; 0 means no such
	// index.
	AfterIndex uint64
}

// raftLog holds in memory the log after the newest snapshot, and some of the entries that the snapshot
// covers.
type raftLog struct {
	snapshot  Snapshot // the newest one, without its Data
	entries   []Entry  // contiguous; they begin at the latest just after the snapshot's index
	first     uint64   // index of entries[0], or of the next entry if there are none
	priorTerm uint64   // term of the entry before first
	stable    uint64   // highest index on this replica's disk
}

// reset replaces the log by a snapshot.
func (l *raftLog) reset(snapshot Snapshot) {
	snapshot.Data = nil
	l.snapshot = snapshot
	l.entries = nil
	l.first = snapshot.Index + 1
	l.priorTerm = snapshot.Term
	l.stable = snapshot.Index
}

func (l *raftLog) last() uint64 { return l.first + uint64(len(l.entries)) - 1 }

// term returns the term of the entry at an index, or zero if it is not known here.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index >= l.first && index <= l.last():
		return l.entries[index-l.first].Term
	case index == l.snapshot.Index:
		return l.snapshot.Term
	case index == l.first-1:
		return l.priorTerm
	}
	return 0
}

// matches reports whether the log has an entry of that index and term, or a snapshot that covers it.
func (l *raftLog) matches(index, term uint64) bool {
	return index == 0 || index < l.snapshot.Index || l.term(index) == term
}

// slice returns the entries from one index to another, both included; the log must hold them.
func (l *raftLog) slice(from, to uint64) []Entry { return l.entries[from-l.first : to-l.first+1] }

// append adds entries. They replace all entries from the first one's index on.
func (l *raftLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keptCount := entries[0].Index - l.first
	if keptCount < uint64(len(l.entries)) { // slices that were returned to callers must not change
		l.entries = slices.Clip(l.entries[:keptCount])
	}
	l.entries = append(l.entries, entries...)
	l.stable = min(l.stable, entries[0].Index-1)
}

// missing returns the entries from the first one on that the log lacks or has with another term.
func (l *raftLog) missing(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index {
			continue
		}
		if entry.Index > l.last() || l.term(entry.Index) != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// batch returns the entries from an index on that fit in one message.
func (l *raftLog) batch(from uint64) []Entry {
	if from > l.last() {
		return nil
	}
	size := 0
	remaining := l.entries[from-l.first:]
	for i, entry := range remaining {
		size += len(entry.Data)
		if i > 0 && size > maxAppendBytes {
			return remaining[:i]
		}
	}
	return remaining
}

// indexBeforeTermOf returns the index before the first entry of the term at an index: a leader that
// has another entry there skips the whole term at once (paper, end of section 5.3).
func (l *raftLog) indexBeforeTermOf(index uint64) uint64 {
	term := l.term(index)
	if term == 0 {
		return index - 1
	}
	for index > l.first && l.term(index-1) == term {
		index--
	}
	return index - 1
}

// compact records a newer snapshot and drops entries that it covers, except those to retain.
func (l *raftLog) compact(snapshot Snapshot, retention LogRetention) {
	if snapshot.Index <= l.snapshot.Index {
		return
	}
	snapshot.Data = nil
	l.snapshot = snapshot
	first := l.firstRetained(snapshot.Index, retention)
	if first <= l.first {
		return
	}
	l.priorTerm = l.term(first - 1)
	l.entries = append([]Entry(nil), l.entries[first-l.first:]...) // a copy, so that the dropped ones are freed
	l.first = first
}

// firstRetained returns the index of the first entry to retain when a snapshot covers the log up to
// snapshotIndex.
func (l *raftLog) firstRetained(snapshotIndex uint64, retention LogRetention) uint64 {
	first, size := snapshotIndex+1, 0
	for first > l.first && snapshotIndex-first+1 < retention.Entries {
		size += len(l.entries[first-1-l.first].Data)
		if size > retention.Bytes {
			break
		}
		first--
	}
	if retention.AfterIndex > 0 {
		first = min(first, retention.AfterIndex+1)
	}
	return max(first, l.first)
}

// membership returns the newest membership, committed or not.
func (l *raftLog) membership() Membership { return l.membershipAt(l.last()) }

// membershipAt returns the membership in force at an index.
func (l *raftLog) membershipAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := &l.entries[i]
		if entry.Index <= index && entry.Index > l.snapshot.Index && entry.Kind == EntryMembership {
			return *entry.Membership
		}
	}
	return l.snapshot.Membership
}

// membershipIndex returns the index of the newest membership.
func (l *raftLog) membershipIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := &l.entries[i]
		if entry.Kind == EntryMembership {
			return entry.Index
		}
	}
	return l.snapshot.Index
}
