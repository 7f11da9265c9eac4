package replica_test

import (
	"fmt"
	"time"

	"basaltloft/coord/replica"
)

// A group of one voter, whose driver processes each Ready before the next input.
func ExampleNode() {
	timing := replica.Timing{
		HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: time.Second,
		MinElectionTimeout: 1200 * time.Millisecond, ElectionJitter: 600 * time.Millisecond,
	}
	now := time.Duration(0) // time of the driver's monotonic clock
	persisted := replica.PersistedState{Snapshot: replica.Snapshot{
		Index: 1, Term: 1, Membership: replica.Membership{Voters: []replica.Member{{ID: "a", Address: "10.0.0.1:7000"}}},
	}}
	node := replica.NewNode("a", "settings", timing, persisted, 42, now)

	processReady := func() {
		for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
			for _, entry := range ready.CommittedEntries {
				fmt.Printf("apply entry %d: %q\n", entry.Index, entry.Data)
			}
			// Here ready.Messages would be sent, and ready.HardState and ready.Entries written and synced.
			if count := len(ready.Entries); count > 0 {
				last := ready.Entries[count-1]
				node.Persisted(now, last.Index, last.Term)
			}
			// Only now ready.MessagesAfterSync would be sent.
		}
	}

	for node.Role() != replica.Leader {
		now = node.NextTick()
		node.Tick(now)
	}
	processReady()
	index, _, accepted := node.Propose(now, []byte("x=1"))
	fmt.Printf("proposed entry %d: %v\n", index, accepted)
	processReady()
	// Output:
	// apply entry 2: ""
	// proposed entry 3: true
	// apply entry 3: "x=1"
}
