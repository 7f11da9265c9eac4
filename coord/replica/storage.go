package replica

// EntryKind is the kind of a log entry. The numeric values are stored and sent.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command of the application in Data.
	EntryCommand EntryKind = iota
	// EntryNoop is a new leader's first entry. Once it is committed, all entries of earlier terms are
	// committed too (paper, section 8).
	EntryNoop
	// EntryMembership carries a Membership, which takes effect as soon as it is appended
	// (dissertation 4.1).
	EntryMembership
)

// Entry is one entry of the log. It is stored and sent by encoding/gob: its field names are part of
// the format and must not change.
type Entry struct {
	Index      uint64 // begins with 1 and rises without gaps
	Term       uint64 // term of the leader that appended it
	Kind       EntryKind
	Data       []byte      // of an EntryCommand
	Membership *Membership // of an EntryMembership
}

// HardState is the state that a replica must have on disk before it sends a message that depends on
// it (paper, figure 2: currentTerm and votedFor).
type HardState struct {
	Term uint64
	Vote string // ID of the member that this replica voted for in Term; empty if none
}

// Snapshot covers all entries up to and including Index. It is stored and sent by encoding/gob: its
// field names are part of the format and must not change.
type Snapshot struct {
	Index      uint64
	Term       uint64     // term of the entry at Index
	Membership Membership // in effect at Index
	Data       []byte     // the application's state
}

// PersistedState is the state that a replica's disk holds at startup; the zero value is that of an
// empty disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // contiguous, from Snapshot.Index+1 on
}
