package group

import (
	"time"

	"basaltloft/coord/replica"
)

// Status is the state of a replica for operators. It is sent by encoding/gob, so that its field
// names stay.
type Status struct {
	Role      replica.Role
	Term      uint64
	Leads     bool          // it is the leader and holds the lease
	LeaseLeft time.Duration // 0: it has none
	Applied   uint64        // highest index applied
	Last      uint64        // index of the log's last entry
	Snapshot  uint64        // index of the newest snapshot
	Unsynced  int           // bytes of writes that are not synced
	Digest    uint64        // of the applied state: equal at each replica with the same Applied
	Members   replica.Membership
	Lacks     map[string]uint64 // of a leader, by member ID: the lag in entries
	Receiving int               // bytes of an arriving snapshot
	Halted    string            // why it has halted; empty: it has not
}

// Status returns the state of the replica; now is by the driver's clock.
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
