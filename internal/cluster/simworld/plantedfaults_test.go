package simworld_test

import (
	"bytes"
	"encoding/gob"
	"net/http"
	"time"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// plantedFault is a fault in the code, planted to show that a check finds it. The numbers are those
// of the failures in docs/control-safety.md.
type plantedFault int

const (
	noFault              plantedFault = iota
	leaseKept                         // 1: a lease is relied on for a while after its end
	sentBeforeWithdrawal              // 1: messages that give up a lease are sent before the lease is withdrawn
	matchedByNumberOnly               // 2: a change is recognized by its version number alone
	digestsLost                       // 2: a restored snapshot lacks the digests of accepted changes
	oldIDKept                         // 3: a node that lost its disk keeps its old ID
	olderState                        // 4: a replica keeps its older state at a snapshot's newer index
	acknowledgeUnsynced               // 4: writes are acknowledged without a sync
	refusedAfterUnknown               // 5: a refusal after an attempt without an answer is passed on to the client
	cancelNotRecorded                 // 5: the cancellation of an unknown job is not recorded
	queueNotSealed                    // 5: a former shard answers that an ID is unknown without sealing the queue
	holdTimeOverstated                // 1: a watch response reports a longer hold time than the actual one
	foundsAlone                       // 3: empty nodes that find no others form all groups again
	plantedFaultCount
)

// leaseOverrun is how long a lease is relied on after its end if leaseKept is planted.
const leaseOverrun = 700 * time.Millisecond

// leaseEnd returns until when a process relies on a lease.
func (w *world) leaseEnd(until time.Duration) time.Duration {
	if w.planted == leaseKept && until > 0 {
		return until + leaseOverrun
	}
	return until
}

// executeEffects executes an engine's effects.
func (w *world) executeEffects(g *replicaGroup, effects group.Effects) {
	if w.planted != sentBeforeWithdrawal {
		effects.Execute(g.publishLease, g.queueWrites, g.send)
		return
	}
	for _, message := range effects.Messages {
		g.send(message)
	}
	g.queueWrites(effects.Writes)
	g.node.after(w.randomBetween(0, 300*time.Millisecond), func() { g.publishLease(effects.Lease, effects.Leader) })
}

// withPlantedFault returns the configuration's state machine, with the planted fault if there is one.
func (w *world) withPlantedFault(c *leader.Configuration) group.StateMachine {
	return &faultyConfiguration{Configuration: c, w: w, seen: map[int64]bool{}}
}

// faultyConfiguration is a state machine that may have a planted fault.
type faultyConfiguration struct {
	*leader.Configuration
	w    *world
	seen map[int64]bool
}

// Apply implements group.StateMachine.
func (m *faultyConfiguration) Apply(index uint64, command []byte) (any, error) {
	var change opconfig.Change
	if m.w.planted == matchedByNumberOnly && gob.NewDecoder(bytes.NewReader(command)).Decode(&change) == nil {
		if m.seen[change.Version] {
			return opconfig.AlreadyAccepted, nil
		}
		m.seen[change.Version] = true
	}
	return m.Configuration.Apply(index, command)
}

// Restore implements group.StateMachine.
func (m *faultyConfiguration) Restore(content []byte) error {
	switch m.w.planted {
	case olderState:
		if m.Current() != nil {
			return nil
		}
	case digestsLost:
		register := opconfig.NewRegister()
		if err := register.Restore(content); err != nil {
			return err
		}
		register.AcceptedDigests, register.AcceptedVersions = nil, []int64{}
		without, err := register.Snapshot()
		if err != nil {
			return err
		}
		content = without
	}
	return m.Configuration.Restore(content)
}

// handleJobRequest passes a request to a shard's leader, with the planted fault if there is one.
func (c *controlNode) handleJobRequest(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	shard := c.shards[request.Shard]
	if shard == nil {
		return
	}
	lookup := request
	lookup.Verb = protocol.GetJobState
	switch {
	case c.w.planted == queueNotSealed && request.Verb == protocol.CheckFormerShard:
		lookup.Version = 1 << 60
		shard.HandleJobRequest(lookup, reply)
	case c.w.planted == cancelNotRecorded && request.Verb == protocol.CancelJob:
		shard.HandleJobRequest(lookup, func(got protocol.JobResponse) {
			if got.Status == http.StatusGone {
				reply(got)
				return
			}
			shard.HandleJobRequest(request, reply)
		})
	default:
		shard.HandleJobRequest(request, reply)
	}
}
