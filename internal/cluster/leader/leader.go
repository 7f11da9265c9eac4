// Package leader implements a control-plane node's replicas of the configuration and of the shards' jobs.
// A node that leads a replica group answers operators and dispatchers; another node returns the leader's
// address, if that is known. The package does no I/O and starts no goroutines: responses are passed to
// callbacks, which may be called before the method returns, and the time comes from the caller's clocks.
//
// Two rules hold throughout. A response that finally confirms or rejects a request is either the result of
// a committed command, or was read from the state before a check that found the leader's lease valid (a
// lease read; Ongaro's dissertation on Raft, section 6.4.1). And a process without a lease returns nothing
// except the address of the presumed leader.
package leader

import (
	"time"

	"basaltloft/coord/replica"
)

// Group is the part of a replica group that Configuration and Shard use. *group.Group implements it.
type Group interface {
	// Lease returns the epoch of this replica's leadership and when its lease ends, by the group's
	// clock. ok is false if it holds no lease now.
	Lease() (epoch uint64, until time.Duration, ok bool)
	// IsLeader reports whether this replica holds the leader's lease now.
	IsLeader() bool
	// Leader returns the last known leader, or the zero value if it is not known.
	Leader() replica.Member
	// Propose proposes a command to the group. It calls done once, with the result of Apply or an error.
	Propose(command []byte, done func(result any, err error))
}
