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

// mistake is a fault planted to show that a check finds it.
type mistake int

const (
	none                mistake = iota
	leaseKept                   // 1: a lease is gone by for a while after its end
	sentBeforeLease             // 1: messages that give a lease away leave before it is withdrawn
	numberOnly                  // 2: a change is told by its number alone
	digestsLost                 // 2: a restored snapshot has forgotten which changes were taken
	diskForgets                 // 3: a machine that lost its disk goes on under its old ID
	olderState                  // 4: a replica goes on with its older state at a snapshot's newer index
	acknowledgeUnsynced         // 4: what waits for a sync is acknowledged without it
	refusedAfterUnknown         // 5: a refusal after a try without an answer is passed on
	cancelLeavesNothing         // 5: the cancelling of a job that is not there leaves nothing behind
	unsealed                    // 5: an earlier shard says that it lacks an ID without closing itself to it
	heldTooLong                 // 1: a dispatcher is told that its question was held for longer than it was
	mistakes
)

// keptFor is how long a lease is gone by after its end where that mistake is planted.
const keptFor = 700 * time.Millisecond

// stretched returns until when a process goes by a lease.
func (w *world) stretched(until time.Duration) time.Duration {
	if w.mistake == leaseKept && until > 0 {
		return until + keptFor
	}
	return until
}

// carryOut does what an engine asks for.
func (w *world) carryOut(g *replicaGroup, effects group.Effects) {
	if w.mistake != sentBeforeLease {
		effects.Execute(g.publish, g.queue, g.send)
		return
	}
	for _, message := range effects.Messages {
		g.send(message)
	}
	g.queue(effects.Writes)
	g.core.after(w.between(0, 300*time.Millisecond), func() { g.publish(effects.Lease, effects.Leader) })
}

// mistaken returns the configuration's replica, with a mistake where one is planted.
func (w *world) mistaken(c *leader.Configuration) group.StateMachine {
	return &mistakenConfiguration{Configuration: c, w: w, seen: map[int64]bool{}}
}

// mistakenConfiguration is a replica with a mistake.
type mistakenConfiguration struct {
	*leader.Configuration
	w    *world
	seen map[int64]bool
}

func (m *mistakenConfiguration) Apply(index uint64, command []byte) (any, error) {
	var change opconfig.Change
	if m.w.mistake == numberOnly && gob.NewDecoder(bytes.NewReader(command)).Decode(&change) == nil {
		if m.seen[change.Version] {
			return opconfig.AlreadyAccepted, nil
		}
		m.seen[change.Version] = true
	}
	return m.Configuration.Apply(index, command)
}

func (m *mistakenConfiguration) Restore(content []byte) error {
	switch m.w.mistake {
	case olderState:
		if m.Current() != nil {
			return nil
		}
	case digestsLost:
		register := opconfig.NewRegister()
		if err := gob.NewDecoder(bytes.NewReader(content)).Decode(register); err != nil {
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

// askShard passes a question on to a shard's owner, with a mistake where one is planted.
func (c *core) askShard(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	shard := c.shards[request.Shard]
	if shard == nil {
		return
	}
	look := request
	look.Verb = protocol.GetJobState
	switch {
	case c.w.mistake == unsealed && request.Verb == protocol.CheckFormerShard:
		look.Version = 1 << 60
		shard.HandleJobRequest(look, reply)
	case c.w.mistake == cancelLeavesNothing && request.Verb == protocol.CancelJob:
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
