package simworld_test

import (
	"fmt"
	"net/http"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// awaitSettled runs the world until isSettled holds, for no longer than the deployment allows.
func (w *world) awaitSettled() {
	const least, look = 2500 * time.Millisecond, 500 * time.Millisecond
	w.run(least)
	for end := w.now + w.deployment.recovery + w.deployment.catchUp + settleSlack; w.now < end; {
		w.run(look)
		if w.isSettled() {
			return
		}
	}
}

// isSettled reports whether all groups are without fault, all dispatchers have a valid view, and all
// accepted jobs have ended.
func (w *world) isSettled() bool {
	for _, name := range w.nodes[0].names {
		if w.groupFault(name) != "" {
			return false
		}
	}
	for _, d := range w.dispatchers {
		if _, ok := d.watcher.Current(d.clock()); !ok {
			return false
		}
	}
	for _, c := range w.nodes {
		if c.groups[protocol.ConfigGroup].leader.ID == "" {
			return false
		}
	}
	for _, id := range w.jobIDs {
		if j := w.jobs[id]; j.accepted && !w.hasEnded(j) {
			return false
		}
	}
	return true
}

// hasEnded reports whether a job has ended, according to the leader of one of the shards.
func (w *world) hasEnded(j *jobHistory) bool {
	over := false
	for _, service := range twoServices {
		number := protocol.ShardOf(service)
		shard := w.leaderOf(protocol.ShardGroup(number)).shards[number]
		if shard == nil {
			return false
		}
		shard.HandleJobRequest(protocol.JobRequest{Verb: protocol.GetJobState, Queue: j.queue, ID: j.id, Version: 1 << 60}, func(got protocol.JobResponse) {
			over = over || got.Status == http.StatusOK && got.State.Terminal()
		})
	}
	return over
}

// checkSettled checks, some time after all faults have ended, that everything is served and the
// replicas have equal states; so it also finds a system that makes no progress.
func (w *world) checkSettled() {
	const heartbeats = 3 // for the replicas to apply a change that was just committed, such as a resent one
	for _, name := range w.nodes[0].names {
		wrong := w.groupFault(name)
		for range heartbeats {
			if wrong == "" {
				break
			}
			w.run(timing.HeartbeatInterval)
			wrong = w.groupFault(name)
		}
		if wrong != "" {
			w.fail("%s", wrong)
		}
	}
	w.checkServed()
}

// groupFault returns what is wrong with a replica group; empty: nothing. There must be as many
// voters as the deployment wants, all of them up, caught up and with the same state.
func (w *world) groupFault(name string) string {
	var leader *replicaGroup
	for _, c := range w.nodes {
		g := c.groups[name]
		if g == nil {
			return fmt.Sprintf("%s has no replica of %s", c.name, name)
		}
		if g.lease.Until > c.clock() {
			leader = g
		}
	}
	if leader == nil {
		return fmt.Sprintf("%s has no leader", name)
	}
	wanted := leader.engine.Status(leader.node.clock())
	if len(wanted.Members.Voters) != min(2*w.deployment.toleratedLosses+1, len(w.nodes)) || wanted.Members.IsJoint() {
		return fmt.Sprintf("%s has %d voters: %+v", name, len(wanted.Members.Voters), wanted.Members)
	}
	for _, member := range wanted.Members.Voters {
		c := w.nodeNamed(member.Address)
		if c == nil {
			return fmt.Sprintf("%s has the voter %s, whose machine was removed", name, member.ID)
		}
		if c.identity.id != member.ID {
			return fmt.Sprintf("%s has the voter %s, whose disk is lost: its new ID is %s", name, member.ID, c.identity.id)
		}
		got := c.groups[name].engine.Status(c.clock())
		if got.Halted != "" || got.Applied != wanted.Applied {
			return fmt.Sprintf("%s has applied %d of %d of %s, term %d of %d %s", c.name, got.Applied, wanted.Applied, name, got.Term, wanted.Term, got.Halted)
		}
		if got.Digest != wanted.Digest {
			return fmt.Sprintf("%s and %s have applied the same entries of %s but their states differ", c.name, leader.node.name, name)
		}
	}
	return ""
}

// checkRepaired checks that no group has a voter whose disk is lost. It is called once a node that lost
// its disk, or replaced another one, has had its catch-up time: now the next loss is permitted.
func (w *world) checkRepaired(repaired *controlNode) {
	for _, name := range w.nodes[0].names {
		leader := w.leaderOf(name).groups[name]
		if leader == nil {
			continue
		}
		for _, member := range leader.engine.Membership().Voters {
			c := w.nodeNamed(member.Address)
			if c == nil || c.identity.id != member.ID {
				w.fail("%s still has the lost voter %s %v after %s is back: %+v", name, member.ID, w.deployment.catchUp, repaired.name, leader.engine.Status(leader.node.clock()))
			}
		}
	}
}

// checkServed checks that every control-plane node returns the newest configuration, and that every
// accepted job is known and has ended.
func (w *world) checkServed() {
	missing := len(w.nodes)
	for _, c := range w.nodes {
		w.callFromOutside(c.process, operatorTimeout, func(reply func(any)) {
			c.serveOperator(protocol.OperatorRequest{}, func(a protocol.OperatorResponse) { reply(a) })
		}, func(answer any, ok bool) {
			got, _ := answer.(protocol.OperatorResponse)
			if !ok || got.Status != http.StatusOK && w.config.newest > 0 {
				w.fail("LOST: %s does not answer with the configuration: %v %d %s", c.name, ok, got.Status, got.Reason)
			}
			missing--
			stamp := w.nextStamp()
			w.config.add(9, stamp, stamp, configInput{read: true}, configOutput{content: string(got.Content)})
		})
	}
	for _, id := range w.jobIDs {
		w.checkKnown(w.jobs[id])
	}
	w.run(clientTimeout)
	if missing > 0 {
		w.fail("LOST: %d nodes do not answer with the configuration", missing)
	}
}

// checkKnown checks that an accepted job is known and has ended.
func (w *world) checkKnown(j *jobHistory) {
	if !j.accepted {
		return
	}
	w.sendJobRequest(j, j.queue, methodGet, "", 3, func(got protocol.JobResponse) {
		if got.Status != http.StatusOK {
			w.fail("LOST: job %s is answered %d", j.id, got.Status)
		}
		if !got.State.Terminal() {
			w.fail("LOST: job %s is %s long after all faults have ended", j.id, got.State)
		}
	})
}
