// Package group runs one replica of a replicated state machine. Engine contains the logic and does no
// I/O: it passes messages, proposals and the time to the Raft node of package replica, applies
// committed entries, manages the membership, and takes and transfers snapshots. Group drives an
// Engine: one goroutine owns it, and another writes to disk through package ringlog, so that a
// hanging disk delays neither heartbeats nor elections.
//
// A caller opens a Group, bootstraps it if the group is new, and runs it. It passes messages from other
// replicas to Receive, proposes commands with Propose, and acts as the leader only while Lease reports
// that this replica holds the lease.
package group
