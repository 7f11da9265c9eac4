package group

import (
	"time"

	"basaltloft/coord/replica"
)

// Status is how a replica stands.
type Status struct {
	Role      replica.Role
	Term      uint64
	Leads     bool          // it holds the lease
	LeaseLeft time.Duration // 0: it has none
	Applied   uint64
	Last      uint64 // index of the log's last entry
	Snapshot  uint64 // index of the newest snapshot
	Unsynced  int    // bytes that wait for the disk
	Digest    uint64 // of the applied state: equal at each replica that has applied as much
	Members   replica.Membership
	Lacks     map[string]uint64 // by member: entries that it lacks, as far as a leader knows
	Receiving int               // bytes of a snapshot that have come
	Halted    string            // why it has halted; empty: it has not
}

// Status tells how the replica stands.
func (e *Engine) Status(now time.Duration) Status {
	status := Status{
		Role: e.machine.Role(), Term: e.machine.Term(), Applied: e.machine.Applied(), Last: e.machine.LastIndex(),
		Snapshot: e.machine.SnapshotIndex(), Unsynced: e.unsynced, Digest: e.states.Digest(), Members: e.machine.Membership(),
	}
	if lease := e.currentLease(); lease.Until > now && e.halted == nil {
		status.Leads, status.LeaseLeft = true, lease.Until-now
	}
	if status.Role == replica.Leader {
		status.Lacks = map[string]uint64{}
		for _, member := range status.Members.AllMembers() {
			status.Lacks[member.ID] = e.machine.Lag(member.ID)
		}
	}
	if e.incoming != nil {
		status.Receiving = len(e.incoming.data)
	}
	if e.halted != nil {
		status.Halted = e.halted.Error()
	}
	return status
}
