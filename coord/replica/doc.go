// Package replica implements the Raft consensus algorithm as a deterministic state machine: elections
// with a pre-vote, a leader lease, log replication, joint changes of the membership and leadership
// transfer. It does no I/O, starts no goroutines and has no clock of its own. Sources are "In Search
// of an Understandable Consensus Algorithm", extended version ("the paper"), and Diego Ongaro's
// dissertation "Consensus: Bridging Theory and Practice"; comments name sections of both.
//
// # Use
//
// A Node is one replica of a group. Its driver calls Step for a message of another replica, Tick when
// time has passed (at the latest at NextTick), Propose and ChangeMembers at the leader, and Persisted
// after a sync of the disk. Each call passes the current time of the driver's monotonic clock. The
// clock must not run backwards, and its value must always exceed the durations of Timing, because zero
// stands for "never". After one or several of these calls the driver calls Node.Ready. It must process
// each Ready as follows:
//
//  1. If Ready.Snapshot is set, the application's state is replaced by the snapshot's.
//  2. Ready.CommittedEntries are applied in order.
//  3. Ready.Messages may be sent at any time; they may be lost, duplicated or reordered. Components
//     that rely on the lease must have the new LeaseUntil before: a message may give up the lease.
//  4. Ready.Snapshot, Ready.HardState and Ready.Entries are written to disk and synced, in this
//     order and in the order of the Readys.
//  5. Only after that sync, Ready.MessagesAfterSync are sent, and Node.Persisted is called with the
//     last entry's index and term, and for a snapshot with the snapshot's.
//
// The disk may lag behind by any number of Readys: a leader sends entries before its own sync
// (dissertation 10.2.1) and counts itself in a majority only after Persisted. A message that is sent
// before the sync never depends on state that a restart could lose.
//
// At startup the driver passes NewNode the state that its disk holds. A replica that lost its disk must
// come back under another ID: under the old one it could vote twice in one term.
//
// # Deviations from the paper
//
//   - A candidate asks for pre-votes first (dissertation 9.6), so that a replica that was partitioned
//     does not depose a working leader when it returns.
//   - The leader holds a lease, during which it may answer reads and act alone (dissertation 6.4.1).
//     The lease relies on two conditions: a voter in contact with a leader grants no vote for
//     Timing.MinElectionTimeout (dissertation 4.2.3), and within one lease clocks drift apart by less
//     than the difference between MinElectionTimeout and LeaseDuration.
//   - A restarted replica grants no vote for MinElectionTimeout, since its previous incarnation may
//     have supported a lease. The cold start check of coldstart.go shortens this wait if all
//     voters have restarted.
//   - Membership changes always go through a joint membership (dissertation 4.3), even if only a
//     single voter is replaced.
//   - Leadership transfer (dissertation 3.10) gives up the lease for the rest of the term.
//   - A leader without contact to a majority steps down (dissertation 6.2).
//   - Snapshots are sent by the driver, which splits them into chunks: the node only requests that one
//     be sent.
package replica
