package group

import "github.com/cockroachdb/errors"

// StateMachine is the replicated application. Its methods are called one at a time, during calls of the
// Engine's methods. A Group makes these calls on one goroutine, so the methods must not block.
type StateMachine interface {
	// Apply applies a committed command and returns its result. It must be deterministic. An error
	// means that this version of the program can't decode the command; the replica then halts, because
	// its state would diverge from that of the other replicas.
	Apply(index uint64, command []byte) (any, error)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot. On error it leaves the state unchanged.
	Restore(snapshot []byte) error
	// Digest returns a hash of the state. Equal states have equal digests.
	Digest() uint64
	// BecameLeader is called when this replica has become the leader and holds the lease. All entries
	// that were committed before are applied. The epoch is the Raft term: it is higher than that of any
	// earlier leader, so it serves as a fencing token.
	BecameLeader(epoch uint64)
	// LostLeadership is called when this replica is no longer the leader, once after each BecameLeader
	// unless the process stops first.
	LostLeadership()
}

// Errors of proposals, and of a halted replica.
var (
	// ErrNotLeader is returned when this replica is not the leader or has halted. Nothing was proposed;
	// the leader may accept the command.
	ErrNotLeader = errors.New("this replica is not the leader of its group: send the command to the leader")
	// ErrBusy is returned when too many proposals are pending. Nothing was proposed.
	ErrBusy = errors.New("too much is waiting to be committed: try again later")
	// ErrOutcomeUnknown is returned when this replica loses the leadership, or halts, before the
	// proposal is committed and applied. The command may or may not be committed, now or later.
	// Responses to operators contain this text, so it must not change.
	ErrOutcomeUnknown = errors.New("the lead was lost before the commit was seen: the command may or may not take effect")
	// ErrHalted is the error in Status.Halted of a replica that has halted.
	ErrHalted = errors.New("this replica has halted: run the same version on all core machines and restart it")
)
