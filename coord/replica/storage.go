package replica

// EntryKind is the kind of a log entry. The numbers are stored and sent.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command of the application in Data.
	EntryCommand EntryKind = iota
	// EntryNoop is a new leader's first entry: once it is committed, so are all entries of earlier
	// terms (paper, section 8).
	EntryNoop
	// EntryMembership carries a Membership, in force from the moment when it is appended
	// (dissertation 4.1).
	EntryMembership
)

// Entry is one entry of the log. It is stored and sent by encoding/gob, so that its field names
// stay.
type Entry struct {
	Index      uint64 // 1 and up, without a gap
	Term       uint64 // of the leader that appended it
	Kind       EntryKind
	Data       []byte      // of an EntryCommand
	Membership *Membership // of an EntryMembership
}

// HardState is what a replica must have on disk before it sends a message that rests on it (paper,
// figure 2: currentTerm and votedFor).
type HardState struct {
	Term uint64
	Vote string // ID of the member that got this replica's vote in Term; empty: none
}

// Snapshot covers all entries up to and including Index. It is stored and sent by encoding/gob,
// so that its field names stay.
type Snapshot struct {
	Index      uint64
	Term       uint64     // of the entry at Index
	Membership Membership // in force at Index
	Data       []byte     // the application's state
}

// PersistedState is what a replica finds on its disk at its start; the zero value is an empty disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // without a gap after Snapshot.Index
}
