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

// plantedFault is a fault planted to show that a check finds it.
type plantedFault int

const (
	noFault             plantedFault = iota
	leaseKept                        // 1: a lease is gone by for a while after its end
	sentBeforeLease                  // 1: messages that give a lease away leave before it is withdrawn
	numberOnly                       // 2: a change is told by its number alone
	digestsLost                      // 2: a restored snapshot has forgotten which changes were taken
	diskForgets                      // 3: a machine that lost its disk goes on under its old ID
	olderState                       // 4: a replica goes on with its older state at a snapshot's newer index
	acknowledgeUnsynced              // 4: what waits for a sync is acknowledged without it
	refusedAfterUnknown              // 5: a refusal after a try without an answer is passed on
	cancelLeavesNothing              // 5: the cancelling of a job that is not there leaves nothing behind
	unsealed                         // 5: an earlier shard says that it lacks an ID without closing itself to it
	heldTooLong                      // 1: a dispatcher is told that its question was held for longer than it was
	plantedFaultCount
)

// leaseOverrun is how long a lease is gone by after its end where that mistake is planted.
const leaseOverrun = 700 * time.Millisecond

// leaseEnd returns until when a process goes by a lease.
func (w *world) leaseEnd(until time.Duration) time.Duration {
	if w.planted == leaseKept && until > 0 {
		return until + leaseOverrun
	}
	return until
}

// executeEffects does what an engine asks for.
func (w *world) executeEffects(g *replicaGroup, effects group.Effects) {
	if w.planted != sentBeforeLease {
		effects.Execute(g.publishLease, g.queueWrites, g.send)
		return
	}
	for _, message := range effects.Messages {
		g.send(message)
	}
	g.queueWrites(effects.Writes)
	g.node.after(w.randomBetween(0, 300*time.Millisecond), func() { g.publishLease(effects.Lease, effects.Leader) })
}

// withPlantedFault returns the configuration's replica, with a mistake where one is planted.
func (w *world) withPlantedFault(c *leader.Configuration) group.StateMachine {
	return &faultyConfiguration{Configuration: c, w: w, seen: map[int64]bool{}}
}

// faultyConfiguration is a replica with a mistake.
type faultyConfiguration struct {
	*leader.Configuration
	w    *world
	seen map[int64]bool
}

func (m *faultyConfiguration) Apply(index uint64, command []byte) (any, error) {
	var change opconfig.Change
	if m.w.planted == numberOnly && gob.NewDecoder(bytes.NewReader(command)).Decode(&change) == nil {
		if m.seen[change.Version] {
			return opconfig.AlreadyAccepted, nil
		}
		m.seen[change.Version] = true
	}
	return m.Configuration.Apply(index, command)
}

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

// handleJobRequest passes a question on to a shard's owner, with a mistake where one is planted.
func (c *controlNode) handleJobRequest(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	shard := c.shards[request.Shard]
	if shard == nil {
		return
	}
	look := request
	look.Verb = protocol.GetJobState
	switch {
	case c.w.planted == unsealed && request.Verb == protocol.CheckFormerShard:
		look.Version = 1 << 60
		shard.HandleJobRequest(look, reply)
	case c.w.planted == cancelLeavesNothing && request.Verb == protocol.CancelJob:
		shard.HandleJobRequest(look, func(got protocol.JobResponse) {
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
