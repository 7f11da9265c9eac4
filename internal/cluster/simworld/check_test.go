package simworld_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"basaltloft/coord/group"
)

// operation returns an operation of a history; from and to are stamps.
func operation(client int, from, to int64, in, out any) porcupine.Operation {
	return porcupine.Operation{ClientId: client, Input: in, Call: from, Return: to, Output: out}
}

// checkLease checks that no two processes hold a group's lease at the same time, each by its own
// clock.
func (w *world) checkLease(g *replicaGroup) {
	held := w.leases[g.name]
	if held == nil {
		held = map[string]group.Lease{}
		w.leases[g.name] = held
	}
	delete(held, g.node.name)
	until := w.leaseEnd(g.lease.Until)
	if until <= g.node.clock() {
		return
	}
	for _, c := range w.nodes {
		other, ok := held[c.name]
		if ok && c.up && c.clock() < other.Until {
			w.fail("%s and %s both hold the lease of %s, epochs %d and %d", g.node.name, c.name, g.name, g.lease.Epoch, other.Epoch)
		}
	}
	held[g.node.name] = group.Lease{Epoch: g.lease.Epoch, Until: until}
}

// checkTimeout bounds the search for a linearization of a history.
const checkTimeout = 20 * time.Second

// checkHistories checks that the histories of operators and clients are linearizable.
func (w *world) checkHistories() {
	if got := porcupine.CheckOperationsTimeout(configModel, w.config.operations, checkTimeout); got != porcupine.Ok {
		w.fail("CONFIG: the operators' history is %v:\n%s", got, w.config)
	}
	for _, id := range w.jobIDs {
		if got := porcupine.CheckOperationsTimeout(jobModel, w.jobs[id].operations, checkTimeout); got != porcupine.Ok {
			w.fail("the history of job %s is %v:\n%s", id, got, w.jobs[id])
		}
	}
}

// String lists the operations, for the message of a failed check.
func (h configHistory) String() string {
	text := ""
	for _, o := range h.operations {
		in, out := o.Input.(configInput), o.Output.(configOutput)
		text += fmt.Sprintf("%v-%v read %v %d on %d: %d %.30s | %.12s\n", stampTime(o.Call), stampTime(o.Return), in.read, in.version, in.base, out.status, out.content, in.content)
	}
	return text
}

// String lists the operations, for the message of a failed check.
func (j *jobHistory) String() string {
	text := ""
	for _, o := range j.operations {
		in, out := o.Input.(jobInput), o.Output.(jobOutput)
		text += fmt.Sprintf("%v-%v %d %.24s: %d %s\n", stampTime(o.Call), stampTime(o.Return), in.method, in.body, out.status, out.state)
	}
	return text
}

// stampTime converts a stamp to the time since the start of the simulation; -1: there was no answer.
func stampTime(stamp int64) time.Duration {
	if stamp == noReturn {
		return -1
	}
	return time.Duration(stamp) - time.Hour
}
