// Package leader has what a core process does with its replicas of the configuration and of a
// shard's jobs: it answers operators and dispatchers where it leads the group, and says who
// may lead it where it does not. It does no I/O and starts no goroutines: answers are given
// through callbacks, and the time comes from the caller's clocks.
//
// Two rules hold throughout. What confirms or refuses for good is either the result of a
// committed command, or was read from the state before the lease was looked at and found to
// last. And a process without a lease says nothing but who may have it.
package leader

import (
	"time"

	"basaltloft/coord/replica"
)

// Group is what an owner needs of its replica. *group.Group is one.
type Group interface {
	// Lease returns the epoch of this replica's lead and when it ends; false: it does not
	// lead at this moment.
	Lease() (epoch uint64, until time.Duration, ok bool)
	// IsLeader tells whether the replica holds the lease at this moment.
	IsLeader() bool
	// Leader returns the member that leads as far as is known; the zero value: none.
	Leader() replica.Member
	// Propose asks for a command to be committed; done is called once.
	Propose(command []byte, done func(result any, err error))
}
