package replica

import "slices"

// log holds the entries after a snapshot, in memory.
type log struct {
	base    Snapshot // Data is empty once it is installed
	entries []Entry  // the first has index base.Index+1, or the base was moved within them
	first   uint64   // index of entries[0]
	before  uint64   // term of the entry before that
	stable  uint64   // last index that is on this replica's disk
}

func (l *log) reset(snapshot Snapshot) {
	snapshot.Data = nil
	l.base, l.entries, l.first, l.stable = snapshot, nil, snapshot.Index+1, snapshot.Index
	l.before = snapshot.Term
}

func (l *log) last() uint64 { return l.first + uint64(len(l.entries)) - 1 }

// term returns the term of the entry at an index; zero: it is not known here.
func (l *log) term(index uint64) uint64 {
	switch {
	case index >= l.first && index <= l.last():
		return l.entries[index-l.first].Term
	case index == l.base.Index:
		return l.base.Term
	case index == l.first-1:
		return l.before
	}
	return 0
}

// has tells whether the log holds that entry, or a snapshot that stands for it.
func (l *log) has(index, term uint64) bool {
	return index == 0 || index < l.base.Index || l.term(index) == term
}

func (l *log) slice(from, to uint64) []Entry { return l.entries[from-l.first : to-l.first+1] }

// append takes entries in; the first one's index cuts off what was there.
func (l *log) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.first
	if keep < uint64(len(l.entries)) { // what was handed out before must stay as it was
		l.entries = slices.Clip(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
	l.stable = min(l.stable, entries[0].Index-1)
}

// conflict returns the entries that the log lacks or holds otherwise.
func (l *log) conflict(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= l.base.Index {
			continue
		}
		if entry.Index > l.last() || l.term(entry.Index) != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// batch returns entries from an index on, within the bound on one message.
func (l *log) batch(from uint64) []Entry {
	if from > l.last() {
		return nil
	}
	size := 0
	rest := l.entries[from-l.first:]
	for i, entry := range rest {
		size += len(entry.Data)
		if i > 0 && size > maxAppendBytes {
			return rest[:i]
		}
	}
	return rest
}

// beforeTermOf returns the index before the first entry of the term that the log has at an
// index: a leader that has another entry there skips the whole term at once.
func (l *log) beforeTermOf(index uint64) uint64 {
	term := l.term(index)
	if term == 0 {
		return index - 1
	}
	for index > l.first && l.term(index-1) == term {
		index--
	}
	return index - 1
}

func (l *log) compact(snapshot Snapshot, keep LogRetention) {
	if snapshot.Index <= l.base.Index {
		return
	}
	snapshot.Data = nil
	l.base = snapshot
	first := l.firstKept(snapshot.Index, keep)
	if first <= l.first {
		return
	}
	l.before = l.term(first - 1)
	l.entries = append([]Entry(nil), l.entries[first-l.first:]...)
	l.first = first
}

// firstKept returns the first index to keep of those up to a snapshot's.
func (l *log) firstKept(upTo uint64, keep LogRetention) uint64 {
	first, size := upTo+1, 0
	for first > l.first && upTo-first+1 < keep.Entries {
		size += len(l.entries[first-1-l.first].Data)
		if size > keep.Bytes {
			break
		}
		first--
	}
	if keep.AfterIndex > 0 {
		first = min(first, keep.AfterIndex+1)
	}
	return max(first, l.first)
}

func (l *log) membership() Membership { return l.membershipAt(l.last()) }

func (l *log) membershipAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.Index <= index && entry.Index > l.base.Index && entry.Kind == EntryMembership {
			return *entry.Membership
		}
	}
	return l.base.Membership
}

func (l *log) membershipIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return l.entries[i].Index
		}
	}
	return l.base.Index
}
