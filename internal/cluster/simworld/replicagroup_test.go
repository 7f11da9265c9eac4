package simworld_test

import (
	"time"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// replicaGroup drives a group.Engine, as group.Group does outside of tests.
type replicaGroup struct {
	node          *controlNode
	name          string
	engine        *group.Engine
	ring          *ringlog.Ring
	stateMachine  group.StateMachine
	lease         group.Lease
	leader        replica.Member
	pendingWrites []group.DiskWrite
	writing       bool // pendingWrites are being written
	wakeAt        time.Duration
}

// openGroup opens the replica of one group.
func (c *controlNode) openGroup(name string, states group.StateMachine) *replicaGroup {
	g := &replicaGroup{node: c, name: name, stateMachine: states}
	ring, found, err := ringlog.Open(c.disk, c.name+"/"+name, ringlog.Sizes{SegmentBytes: segmentBytes, Segments: 3})
	if err != nil {
		c.stopAndRestart(err)
	}
	g.ring = ring
	settings := group.Settings{
		Name: name, Self: replica.Member{ID: c.identity.id, Address: c.name}, Timing: timing, VoterCount: 2*c.w.deployment.toleratedLosses + 1,
		Seed: c.w.random.Uint64(), SnapshotThresholdBytes: snapshotThreshold, SnapshotChunkBytes: chunkBytes, LogRetention: replica.LogRetention{Entries: 12, Bytes: 4 << 10},
	}
	if g.engine, err = group.NewEngine(settings, found, c.w.recorder.recordCommits(g), c.clock(), c.w.log); err != nil {
		c.w.fail("%s can't restore %s: %v", c.name, name, err)
	}
	c.groups[name] = g
	c.names = append(c.names, name)
	return g
}

// bootstrapIfFounder writes the first snapshot if the node is one of those that form the group.
func (g *replicaGroup) bootstrapIfFounder() {
	founding := g.node.identity.founding
	if founding == nil || g.engine.IsBootstrapped() {
		return
	}
	first, err := group.InitialSnapshot(*founding, g.stateMachine)
	if err != nil {
		g.node.w.fail("first snapshot: %v", err)
	}
	if g.ring.Reset(first) == nil {
		g.engine.Bootstrap(first, g.node.clock())
	}
}

// step gives the engine an input and executes its effects.
func (g *replicaGroup) step(input func(now time.Duration)) {
	input(g.node.readClock())
	now := g.node.readClock()
	g.engine.Tick(now)
	effects := g.engine.TakeEffects(now)
	g.node.w.executeEffects(g, effects)
	g.wake()
}

// wake schedules the engine's next tick.
func (g *replicaGroup) wake() {
	at := g.engine.NextTick()
	if g.wakeAt != 0 && g.wakeAt <= at && g.wakeAt > g.node.clock() {
		return
	}
	g.wakeAt = at
	const least, most = 2 * time.Millisecond, time.Second
	g.node.after(min(most, max(least, g.node.delayUntil(at))), func() {
		if g.wakeAt != at {
			return
		}
		g.wakeAt = 0
		g.step(func(time.Duration) {})
	})
}

// publishLease stores the lease and the leader from the engine's effects, and checks the lease.
func (g *replicaGroup) publishLease(lease group.Lease, leader replica.Member) {
	g.lease, g.leader = lease, leader
	g.node.w.checkLease(g)
}

// send sends a message to another replica. While messages are delayed, some are also duplicated.
func (g *replicaGroup) send(message group.Envelope) {
	w := g.node.w
	w.recorder.message(w, g, message)
	copies := 1
	if w.chance(w.lateShare / 4) {
		copies = 2
	}
	for range copies {
		w.deliver(g.node.name, message.Address, func() {
			to := w.nodeNamed(message.Address)
			if to == nil || to.groups == nil || to.groups[g.name] == nil {
				return
			}
			at := to.groups[g.name]
			at.step(func(now time.Duration) { at.engine.Receive(now, message.Message) })
		})
	}
}

// queueWrites queues writes for the disk, which executes them in order.
func (g *replicaGroup) queueWrites(writes []group.DiskWrite) {
	g.pendingWrites = append(g.pendingWrites, writes...)
	g.writeNext()
}

// diskRetryDelay is the pause after a write that failed.
const diskRetryDelay = 300 * time.Millisecond

// writeNext begins the next batch of pending writes, unless a write is in progress.
func (g *replicaGroup) writeNext() {
	if g.writing || len(g.pendingWrites) == 0 {
		return
	}
	g.writing = true
	n := group.SyncBatchSize(g.pendingWrites)
	g.node.after(g.node.syncTime(), func() { g.writesDone(n) })
}

// writesDone completes the first n pending writes; if the disk refuses them, it retries later.
func (g *replicaGroup) writesDone(n int) {
	done := g.pendingWrites[:n:n]
	if group.PersistWrites(g.ring, done) != nil {
		g.node.after(diskRetryDelay, func() { g.writesDone(n) })
		return
	}
	g.pendingWrites, g.writing = g.pendingWrites[n:], false
	nearlyFull := g.ring.NearlyFull() || g.ring.BytesSinceSnapshot() > snapshotThreshold
	g.step(func(now time.Duration) { g.engine.Persisted(now, done, nearlyFull) })
	g.writeNext()
}

// Lease implements leader.Group.
func (g *replicaGroup) Lease() (epoch uint64, until time.Duration, ok bool) {
	return g.lease.Epoch, g.lease.Until, g.node.readClock() < g.node.w.leaseEnd(g.lease.Until)
}

// IsLeader implements leader.Group.
func (g *replicaGroup) IsLeader() bool {
	_, _, ok := g.Lease()
	return ok
}

// Leader implements leader.Group.
func (g *replicaGroup) Leader() replica.Member { return g.leader }

// Propose implements leader.Group.
func (g *replicaGroup) Propose(command []byte, done func(result any, err error)) {
	g.node.after(0, func() {
		g.step(func(now time.Duration) { g.engine.Propose(now, command, done) })
	})
}
