package group

import (
	"time"

	"basaltloft/coord/replica"
)

// Status describes the state of a replica to operators. It is encoded by encoding/gob, so its field
// names must not change.
type Status struct {
	Role      replica.Role
	Term      uint64
	Leads     bool          // whether it is the leader and holds the lease
	LeaseLeft time.Duration // until the lease expires; 0 without a lease
	Applied   uint64        // index of the last applied entry
	Last      uint64        // index of the log's last entry
	Snapshot  uint64        // index of the newest snapshot
	Unsynced  int           // bytes of writes that are not synced yet
	Digest    uint64        // of the applied state; equal on all replicas with the same Applied
	Members   replica.Membership
	Lacks     map[string]uint64 // on a leader, by member ID: how many entries are not known to be on its disk
	Receiving int               // bytes received of an incoming snapshot
	Halted    string            // why it has halted; empty if it has not
}

// Status returns the state of the replica at a time by the driver's clock.
func (e *Engine) Status(now time.Duration) Status {
	status := Status{
		Role:     e.node.Role(),
		Term:     e.node.Term(),
		Applied:  e.node.Applied(),
		Last:     e.node.LastIndex(),
		Snapshot: e.node.SnapshotIndex(),
		Unsynced: e.unsyncedBytes,
		Digest:   e.stateMachine.Digest(),
		Members:  e.node.Membership(),
	}
	if lease := e.lease(); lease.Until > now && e.haltCause == nil {
		status.Leads, status.LeaseLeft = true, lease.Until-now
	}
	if status.Role == replica.Leader {
		status.Lacks = map[string]uint64{}
		for _, member := range status.Members.AllMembers() {
			status.Lacks[member.ID] = e.node.Lag(member.ID)
		}
	}
	if e.receiver != nil {
		status.Receiving = len(e.receiver.data)
	}
	if e.haltCause != nil {
		status.Halted = e.haltCause.Error()
	}
	return status
}
