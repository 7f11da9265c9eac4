package group

import "github.com/cockroachdb/errors"

// StateMachine is the application that is replicated. Its methods are called one at a time, by
// whoever calls the engine: for a Group its goroutine, so that they must not block.
type StateMachine interface {
	// Apply carries out a committed command and returns its result. It must be deterministic. An
	// error means that this program can't read the command: the replica halts then, since its state
	// would differ from the others' from here on.
	Apply(index uint64, command []byte) (any, error)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state, or leaves it as it was and returns an error.
	Restore(snapshot []byte) error
	// Digest returns a hash of the state: equal states have equal digests.
	Digest() uint64
	// BecameLeader tells that this replica is the leader and holds the lease. Everything that was
	// committed before is applied. The epoch, Raft's term, is above that of any earlier leader: it
	// serves as a fencing token.
	BecameLeader(epoch uint64)
	// LostLeadership tells that this replica is not the leader any more. It is called once after each
	// BecameLeader, unless the process stops first.
	LostLeadership()
}

// Errors of proposals.
var (
	// ErrNotLeader: nothing was proposed. The leader may accept it.
	ErrNotLeader = errors.New("this replica does not lead its group: ask the leader")
	// ErrBusy: nothing was proposed, as too many proposals are pending.
	ErrBusy = errors.New("too much is waiting to be committed: try again later")
	// ErrOutcomeUnknown: the command may be committed or not, now or later. Operators get this text
	// as an answer; it stays.
	ErrOutcomeUnknown = errors.New("the lead was lost before the commit was seen: the command may or may not take effect")
	// ErrHalted is the reason in Status of a replica that has halted.
	ErrHalted = errors.New("this replica has halted: run the same version on all core machines and restart it")
)
