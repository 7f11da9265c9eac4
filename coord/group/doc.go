// Package group runs one replica of a replicated state machine. Engine decides: it feeds the Raft
// node of package replica with messages, proposals and time, applies what is committed, manages the
// membership, takes snapshots and transfers them, all without I/O. Group drives it: one goroutine
// owns the engine; another writes to the disk through package ringlog, so that a disk that hangs
// delays neither heartbeats nor elections.
//
// A caller opens a Group, bootstraps it where its group is new, and runs it. It routes messages of
// other replicas to Receive, proposes commands, and acts for the group only while Lease says that
// this replica is the leader.
package group
