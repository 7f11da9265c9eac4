package group

import "basaltloft/coord/replica"

// DefaultSnapshotChunkBytes is how much of a snapshot goes in one message where Settings say nothing
// else.
const DefaultSnapshotChunkBytes = 96 << 10

// DefaultLogRetention is what stays in memory of the log before a snapshot where Settings say nothing
// else: a replica that was away for a moment catches up from it.
var DefaultLogRetention = replica.LogRetention{Entries: 2000, Bytes: 8 << 20}

// Settings of a group's replica.
type Settings struct {
	Name   string         // of the group, the same at each member
	Self   replica.Member // an ID that belongs to this disk
	Timing replica.Timing
	// VoterCount is the number of voters that the group should have: learners are promoted up to it.
	VoterCount int
	// Seed of the random election timeouts; it must differ from one start to the next.
	Seed uint64
	// SnapshotThresholdBytes of log after which a snapshot is due.
	SnapshotThresholdBytes int
	// SnapshotChunkBytes of a snapshot go in one message; 0: DefaultSnapshotChunkBytes.
	SnapshotChunkBytes int
	// LogRetention is what stays in memory before a snapshot; zero: DefaultLogRetention.
	LogRetention replica.LogRetention
}

func (s *Settings) setDefaults() {
	if s.SnapshotChunkBytes == 0 {
		s.SnapshotChunkBytes = DefaultSnapshotChunkBytes
	}
	if s.LogRetention == (replica.LogRetention{}) {
		s.LogRetention = DefaultLogRetention
	}
}
