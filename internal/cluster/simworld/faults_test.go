package simworld_test

import (
	"fmt"
	"slices"
	"time"
)

// Faults are injected at random or, by the scenarios, one by one. Most faults keep the number of lost
// control-plane nodes within the deployment's tolerance; a node counts as lost until the deployment's
// catch-up time after it is back. Faults beyond the tolerance kill any number of nodes, cut their
// power, or split the control plane into halves, but never lose more disks than tolerated.

// lostNode is a node that counts as lost.
type lostNode struct {
	node        *controlNode
	countsUntil time.Duration // 0: it is not back yet
}

// faultInjector injects faults and records how much of the tolerance they use.
type faultInjector struct {
	w    *world
	lost []*lostNode
	// nextDiskLossAt is when the next disk may be lost: once the last node that lost its disk has
	// had its catch-up time, counted only while there was no other fault.
	nextDiskLossAt    time.Duration
	leadershipMovedAt time.Duration // when leadership was last transferred by injection
	healed            bool          // all faults have ended, and no further one begins
	nodeReplaced      bool          // a node was replaced
	freezeCounts      bool          // a frozen node counts as a fault in the time of another node's repair
	tolerableSince    time.Duration // when the last fault beyond the tolerance ended; 0: it is active
}

// countLost returns how many nodes count as lost.
func (f *faultInjector) countLost() int {
	f.lost = slices.DeleteFunc(f.lost, func(l *lostNode) bool { return l.countsUntil > 0 && l.countsUntil < f.w.now })
	return len(f.lost)
}

// pickVictim picks a random node and counts it as lost. It returns nil if no node may be lost now, or
// if the picked node counts as lost already.
func (f *faultInjector) pickVictim() *lostNode {
	if f.countLost() >= f.w.deployment.toleratedLosses || f.tolerableSince == 0 || f.w.now < f.tolerableSince+f.w.deployment.catchUp {
		return nil
	}
	c := f.w.nodes[f.w.random.IntN(len(f.w.nodes))]
	for _, l := range f.lost {
		if l.node == c {
			return nil
		}
	}
	l := &lostNode{node: c}
	f.lost = append(f.lost, l)
	return l
}

// restored starts the catch-up time of a node that is back.
func (f *faultInjector) restored(l *lostNode) { l.countsUntil = f.w.now + f.w.deployment.catchUp }

// injectOne injects a fault of a random kind.
func (f *faultInjector) injectOne() {
	kinds := []func(){
		f.killOne, f.killOne, f.killOne, f.partitionOne, f.freezeOne, f.loseMessages, f.delayMessages, f.killAll, f.loseQuorum,
		f.impairDisk, f.freezeDispatcher, f.loseOrders, f.transferLeadership, f.stepWallClock, f.wipeOne, f.wipeOne, f.freezeWithin,
		f.terminateOne, f.replaceOne,
	}
	kinds[f.w.random.IntN(len(kinds))]()
}

// loseMessages loses a share of all messages for a while.
func (f *faultInjector) loseMessages() {
	w := f.w
	w.lossShare = w.random.Float64() * 0.15
	w.schedule(w.randomBetween(0, 3*time.Second), func() { w.lossShare = 0 })
}

// delayMessages delays a share of all messages for a while, by up to several seconds.
func (f *faultInjector) delayMessages() {
	w := f.w
	w.lateShare = w.random.Float64() * 0.1
	w.schedule(w.randomBetween(0, 4*time.Second), func() { w.lateShare = 0 })
}

// loseOrders makes a share of the orders to runners arrive seconds late and stay unanswered, for a
// while.
func (f *faultInjector) loseOrders() {
	w := f.w
	w.lostOrderShare = w.random.Float64() * 0.5
	w.schedule(w.randomBetween(0, 4*time.Second), func() { w.lostOrderShare = 0 })
}

// freezeWithin makes processes freeze at random in the middle of a function, for a while.
func (f *faultInjector) freezeWithin() {
	w := f.w
	w.freezeChance = 0.002 * w.random.Float64()
	w.schedule(w.randomBetween(0, 3*time.Second), func() { w.freezeChance = 0 })
}

// killAll kills all control-plane nodes, beyond the tolerance.
func (f *faultInjector) killAll() { f.exceedTolerance(f.killAllNodes) }

// loseQuorum injects a random fault that may take the quorum from all groups for a while.
func (f *faultInjector) loseQuorum() {
	ways := []func(func()){f.split, f.killSeveral, f.wipeBesideLaggingMinority, f.wipeWhilePowerFails}
	f.exceedTolerance(ways[f.w.random.IntN(len(ways))])
}

// killOne kills a node, with or without a power failure, for a while.
func (f *faultInjector) killOne() {
	l := f.pickVictim()
	if l == nil {
		return
	}
	l.node.kill(f.w.random.IntN(2) == 0)
	f.w.schedule(f.w.randomBetween(50*time.Millisecond, 6*time.Second), func() {
		l.node.boot()
		f.restored(l)
	})
}

// wipeOne wipes a node's disk, if the next disk may be lost.
func (f *faultInjector) wipeOne() {
	if f.w.now < f.nextDiskLossAt {
		return
	}
	if l := f.pickVictim(); l != nil {
		f.wipe(l)
	}
}

// wipe wipes the disk of a lost node and starts the node again.
func (f *faultInjector) wipe(l *lostNode) {
	f.nextDiskLossAt = 1 << 62
	l.node.wipeDisk()
	f.w.schedule(f.w.randomBetween(50*time.Millisecond, 2*time.Second), func() {
		l.node.boot()
		f.restored(l)
		f.awaitRepair(l.node)
	})
}

// terminateOne stops a node by SIGTERM, kills it if it takes too long, and starts it again.
func (f *faultInjector) terminateOne() {
	l := f.pickVictim()
	if l == nil || !l.node.up {
		if l != nil {
			f.restored(l)
		}
		return
	}
	incarnation := l.node.incarnation
	f.w.schedule(6*time.Second, func() { // the platform kills it
		if l.node.up && l.node.incarnation == incarnation {
			l.node.kill(false)
			l.node.boot()
			f.restored(l)
		}
	})
	l.node.terminate(func() {
		f.w.schedule(f.w.randomBetween(50*time.Millisecond, time.Second), func() {
			if l.node.incarnation == incarnation {
				l.node.boot()
				f.restored(l)
			}
		})
	})
}

// replaceOne removes a node permanently and adds an empty one at another address, shortly before or
// after.
func (f *faultInjector) replaceOne() {
	w := f.w
	if w.now < f.nextDiskLossAt || f.nodeReplaced {
		return
	}
	l := f.pickVictim()
	if l == nil {
		return
	}
	f.nextDiskLossAt, f.nodeReplaced = 1<<62, true
	old := l.node
	next := w.addNode(fmt.Sprint("core-", w.nodesMade))
	next.bootstrap = false
	w.tracef("%s is replaced by %s", old.name, next.name)
	arrived := func() {
		next.boot()
		l.node = next
		f.restored(l)
		f.awaitRepair(next)
	}
	remove := func() {
		w.nodes = slices.DeleteFunc(w.nodes, func(c *controlNode) bool { return c == old })
	}
	if old.up && w.random.IntN(2) == 0 { // planned
		arrived()
		w.schedule(time.Second, func() { w.retire(old, remove) })
		return
	}
	old.kill(true)
	remove()
	w.schedule(w.randomBetween(500*time.Millisecond, 1500*time.Millisecond), arrived)
}

// retire stops a node permanently, by SIGTERM, and by SIGKILL after the platform's grace period.
func (w *world) retire(old *controlNode, remove func()) {
	const grace, pollInterval, polls = 6 * time.Second, 100 * time.Millisecond, 60
	if !old.up {
		remove()
		return
	}
	old.removed = true // it is never started again, for whatever reason it stops
	old.terminate(remove)
	for poll := range polls {
		w.schedule(time.Duration(poll)*pollInterval, func() {
			if !old.up {
				remove()
			}
		})
	}
	w.schedule(grace, func() {
		if old.up {
			old.kill(true)
		}
		remove()
	})
}

// awaitRepair permits the next loss of a disk as soon as these nodes have had their catch-up time
// without another fault. It waits no longer, since the deployment's settings promise no more time.
func (f *faultInjector) awaitRepair(repaired ...*controlNode) {
	began := f.w.now
	disturbed := func() bool {
		down := slices.ContainsFunc(repaired, func(c *controlNode) bool { return !c.up || c.frozen > 0 })
		return down || f.anyFreezeCounts() || f.leadershipMovedAt > began || f.tolerableSince == 0 || f.countLost() > 1 || f.w.lossShare+f.w.lateShare+f.w.freezeChance > 0 || len(f.w.partitioned) > 0 || f.anyDiskImpaired()
	}
	var check func()
	check = func() {
		if disturbed() {
			began = f.w.now
		}
		if f.w.now >= began+f.w.deployment.catchUp {
			for _, c := range repaired {
				f.w.checkRepaired(c)
			}
			f.nextDiskLossAt = f.w.now
			return
		}
		f.w.schedule(50*time.Millisecond, check)
	}
	check()
}

// anyFreezeCounts reports whether a node is frozen, in scenarios in which that is a fault beside a repair.
func (f *faultInjector) anyFreezeCounts() bool {
	return f.freezeCounts && slices.ContainsFunc(f.w.nodes, func(c *controlNode) bool { return c.frozen > 0 })
}

// anyDiskImpaired reports whether a disk is slow, hangs or refuses writes.
func (f *faultInjector) anyDiskImpaired() bool {
	return slices.ContainsFunc(f.w.nodes, func(c *controlNode) bool { return c.diskStalledUntil > f.w.now || c.diskSlowdown > 1 || c.disk.Full })
}

// partitionOne partitions a node from the other nodes, in both directions or in one, and at random
// from the dispatchers too.
func (f *faultInjector) partitionOne() {
	l := f.pickVictim()
	if l == nil {
		return
	}
	w := f.w
	direction := w.random.IntN(3)
	dispatchersToo := w.random.IntN(2) == 0
	w.tracef("%s is cut off, way %d, from dispatchers too: %v", l.node.name, direction, dispatchersToo)
	for name := range w.processes {
		other := w.processes[name]
		if name == l.node.name || !dispatchersToo && w.nodeNamed(other.name) == nil {
			continue
		}
		if direction != 1 {
			w.partitioned[[2]string{l.node.name, name}] = true
		}
		if direction != 2 {
			w.partitioned[[2]string{name, l.node.name}] = true
		}
	}
	w.schedule(w.randomBetween(100*time.Millisecond, 20*time.Second), func() {
		w.tracef("%s is not cut off any more", l.node.name)
		for key := range w.partitioned {
			if key[0] == l.node.name || key[1] == l.node.name {
				delete(w.partitioned, key)
			}
		}
		f.restored(l)
	})
}

// freezeOne freezes a node for a while.
func (f *faultInjector) freezeOne() {
	if l := f.pickVictim(); l != nil {
		span := f.w.randomBetween(50*time.Millisecond, 8*time.Second)
		f.w.freeze(l.node.process, span)
		f.w.schedule(span, func() { f.restored(l) })
	}
}

// freezeDispatcher freezes a dispatcher for a while, or restarts it.
func (f *faultInjector) freezeDispatcher() {
	d := f.w.dispatchers[f.w.random.IntN(len(f.w.dispatchers))]
	if f.w.random.IntN(3) == 0 {
		d.stop()
		d.after(0, func() {})
		f.w.schedule(f.w.randomBetween(50*time.Millisecond, time.Second), d.boot)
		return
	}
	f.w.freeze(d.process, f.w.randomBetween(50*time.Millisecond, 5*time.Second))
}

// exceedTolerance injects a fault beyond the tolerance, unless one is active. Until the fault calls
// its argument, the system need not serve anything.
func (f *faultInjector) exceedTolerance(do func(ended func())) {
	if f.tolerableSince == 0 || f.w.now < f.tolerableSince {
		return
	}
	f.tolerableSince = 0
	do(func() { f.tolerableSince = f.w.now })
}

// killAllNodes kills all control-plane nodes at the same moment, with or without a power failure.
func (f *faultInjector) killAllNodes(ended func()) {
	w := f.w
	power := w.random.IntN(2) == 0
	w.tracef("all nodes are killed, power %v", power)
	waiting := 0
	for _, c := range w.nodes {
		if !c.up {
			continue
		}
		c.kill(power)
		waiting++
		w.schedule(w.randomBetween(10*time.Millisecond, time.Second), func() {
			c.boot()
			if waiting--; waiting == 0 {
				ended()
			}
		})
	}
	if waiting == 0 {
		ended()
	}
}

// killSeveral kills a random set of nodes, which may exceed the tolerance; their disks stay.
func (f *faultInjector) killSeveral(ended func()) {
	w := f.w
	waiting := 1
	done := func() {
		if waiting--; waiting == 0 {
			ended()
		}
	}
	for _, c := range w.nodes {
		if !c.up || w.random.IntN(3) == 0 {
			continue
		}
		waiting++
		w.schedule(w.randomBetween(0, 2*time.Second), func() {
			if !c.up || f.healed {
				done()
				return
			}
			c.kill(w.random.IntN(2) == 0)
			w.schedule(w.randomBetween(100*time.Millisecond, 5*time.Second), func() {
				c.boot()
				done()
			})
		})
	}
	done()
}

// wipeBesideLaggingMinority partitions a node, which misses changes. Then another node loses its disk
// while the rest lose power, and the partition ends: for a while, only the lagging node and the empty
// one are up.
func (f *faultInjector) wipeBesideLaggingMinority(ended func()) {
	w := f.w
	if w.now < f.nextDiskLossAt || f.countLost() > 0 || len(w.nodes) > 2*w.deployment.toleratedLosses+1 {
		ended()
		return
	}
	order := w.random.Perm(len(w.nodes))
	minority, wiped, powerless := w.nodes[order[0]], w.nodes[order[1]], order[2:]
	w.tracef("%s falls behind, %s will lose its disk", minority.name, wiped.name)
	for _, c := range w.nodes {
		if c != minority {
			w.partitioned[[2]string{c.name, minority.name}], w.partitioned[[2]string{minority.name, c.name}] = true, true
		}
	}
	f.nextDiskLossAt = 1 << 62
	w.schedule(w.randomBetween(time.Second, 4*time.Second), func() {
		if f.healed {
			f.nextDiskLossAt = w.now
			ended()
			return
		}
		wiped.wipeDisk()
		for _, at := range powerless {
			w.nodes[at].kill(true)
		}
		clear(w.partitioned)
		w.schedule(w.randomBetween(50*time.Millisecond, 500*time.Millisecond), wiped.boot)
		w.schedule(w.randomBetween(time.Second, 4*time.Second), func() {
			for _, at := range powerless {
				w.nodes[at].boot()
			}
			ended()
			f.awaitRepair(wiped)
		})
	})
}

// split partitions the nodes into two halves for some seconds; all other processes reach both.
func (f *faultInjector) split(ended func()) {
	w := f.w
	w.tracef("the control plane is split into halves")
	half := len(w.nodes) / 2
	first := w.random.Perm(len(w.nodes))
	for at, one := range first {
		for other, two := range first {
			if (at < half) != (other < half) {
				w.partitioned[[2]string{w.nodes[one].name, w.nodes[two].name}] = true
			}
		}
	}
	w.schedule(w.randomBetween(500*time.Millisecond, 8*time.Second), func() {
		w.tracef("the halves are joined")
		clear(w.partitioned)
		ended()
	})
}

// impairDisk makes a node's disk slow, hang, or refuse writes for a while.
func (f *faultInjector) impairDisk() {
	l := f.pickVictim()
	if l == nil {
		return
	}
	w, c := f.w, l.node
	span := w.randomBetween(100*time.Millisecond, 5*time.Second)
	switch w.random.IntN(3) {
	case 0:
		c.diskSlowdown = 30
	case 1:
		c.diskStalledUntil = w.now + span
	case 2:
		c.disk.Full = true
	}
	w.tracef("the disk of %s is impaired for %v", c.name, span)
	w.schedule(span, func() {
		c.diskSlowdown, c.diskStalledUntil, c.disk.Full = 1, 0, false
		f.restored(l)
	})
}

// transferLeadership makes a node transfer its leaderships, as a node does after SIGTERM.
func (f *faultInjector) transferLeadership() {
	c := f.w.nodes[f.w.random.IntN(len(f.w.nodes))]
	if !c.up {
		return
	}
	f.leadershipMovedAt = f.w.now // it counts as a fault, since in production a node does so only when it stops
	f.w.tracef("%s transfers its leaderships", c.name)
	c.after(0, func() {
		for _, name := range c.names {
			c.groups[name].step(c.groups[name].engine.TransferLeadership)
		}
	})
}

// stepWallClock shifts a node's wall clock for a while.
func (f *faultInjector) stepWallClock() {
	c := f.w.nodes[f.w.random.IntN(len(f.w.nodes))]
	c.wallStep = f.w.randomBetween(-5*time.Second, 5*time.Second)
	f.w.schedule(f.w.randomBetween(0, 5*time.Second), func() { c.wallStep = 0 })
}

// heal ends all faults.
func (f *faultInjector) heal() {
	w := f.w
	if !f.healed {
		w.tracef("all faults have ended")
	}
	f.healed = true
	clear(w.partitioned)
	w.lossShare, w.lateShare, w.freezeChance, w.lostOrderShare = 0, 0, 0, 0
	for _, c := range slices.Clone(w.nodes) {
		c.diskSlowdown, c.diskStalledUntil, c.disk.Full, c.wallStep = 1, 0, false, 0
		c.endFreezes()
		c.boot()
	}
	for _, d := range w.dispatchers {
		d.endFreezes()
		d.boot()
	}
}
