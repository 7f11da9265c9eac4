// Package leader has what a control-plane node does with its replicas of the configuration and of
// the shards' jobs. Where it leads a replica group it answers operators and dispatchers; where it
// does not, it names the leader as far as it knows it. The package does no I/O and starts no
// goroutines: answers are given through callbacks, which may be called before the method returns,
// and the time comes from the caller's clocks.
//
// Two rules hold throughout. What confirms or rejects a request finally is either the result of a
// committed command, or was read from the state before the leader's lease was checked and found
// valid (a lease read; Ongaro's dissertation on Raft, section 6.4.1). And a process without a lease
// says nothing but who the leader may be.
package leader

import (
	"time"

	"basaltloft/coord/replica"
)

// Group is what a Configuration or a Shard needs of its replica group. *group.Group is one.
type Group interface {
	// Lease returns the epoch of this replica's leadership and when its lease ends, by the group's
	// clock; false: it holds no lease at this moment.
	Lease() (epoch uint64, until time.Duration, ok bool)
	// IsLeader reports whether this replica holds the leader's lease at this moment.
	IsLeader() bool
	// Leader returns the leader as far as is known; the zero value: it is not known.
	Leader() replica.Member
	// Propose asks that a command is committed. It calls done once, with the result of Apply.
	Propose(command []byte, done func(result any, err error))
}
