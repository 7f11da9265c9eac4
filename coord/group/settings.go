package group

import "basaltloft/coord/replica"

// DefaultSnapshotChunkBytes is the default of Settings.SnapshotChunkBytes.
const DefaultSnapshotChunkBytes = 96 << 10

// DefaultLogRetention is the default of Settings.LogRetention. A replica that was unreachable for a
// short time catches up from the retained entries, without a snapshot.
var DefaultLogRetention = replica.LogRetention{Entries: 2000, Bytes: 8 << 20}

// Settings configure a replica of a group.
type Settings struct {
	Name   string         // of the group; the same on each member
	Self   replica.Member // its ID belongs to this disk: a replica that lost its disk gets a new one
	Timing replica.Timing
	// VoterCount is the target number of voters: learners are promoted until the group has that many.
	VoterCount int
	// Seed seeds the random election timeouts. It must differ between starts of the replica.
	Seed uint64
	// SnapshotThresholdBytes is the number of bytes written to the log after which a snapshot is due.
	SnapshotThresholdBytes int
	// SnapshotChunkBytes is how much of a snapshot is sent in one message; 0 means
	// DefaultSnapshotChunkBytes.
	SnapshotChunkBytes int
	// LogRetention limits the entries that stay in memory although a snapshot covers them; the zero
	// value means DefaultLogRetention.
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
