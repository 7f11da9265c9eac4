package simworld_test

import (
	"fmt"
	"slices"
	"time"
)

// Faults come by chance or, in the tests of single points, one by one. Machines with a disk
// are lost within what is tolerated: one counts as lost until the deployment's catch-up time
// after it is back. Beyond that, all may be killed or lose power, and the core may be cut
// into halves, as long as no more disks are lost.

// lostNode is a machine that counts as lost.
type lostNode struct {
	node        *controlNode
	countsUntil time.Duration // 0: it is not back yet
}

// faultInjector keeps what is lost.
type faultInjector struct {
	w    *world
	lost []*lostNode
	// nextDiskLossAt is when the last machine that had lost its disk has had its time, counted only
	// while nothing else was wrong.
	nextDiskLossAt    time.Duration
	leadershipMovedAt time.Duration // when leads were last handed over
	healed            bool          // all is well again: nothing harmful begins any more
	nodeReplaced      bool          // a machine was replaced
	tolerableSince    time.Duration // when the last trouble beyond the tolerance ended; 0: it lasts
}

func (f *faultInjector) countLost() int {
	f.lost = slices.DeleteFunc(f.lost, func(l *lostNode) bool { return l.countsUntil > 0 && l.countsUntil < f.w.now })
	return len(f.lost)
}

// pickVictim tells whether one more machine may be lost now, and counts it.
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

func (f *faultInjector) restored(l *lostNode) { l.countsUntil = f.w.now + f.w.deployment.catchUp }

// injectOne does one harmful thing.
func (f *faultInjector) injectOne() {
	w := f.w
	switch w.random.IntN(19) {
	case 0, 1, 2:
		f.killOne()
	case 3:
		f.partitionOne()
	case 4:
		f.freezeOne()
	case 5:
		w.lossShare = w.random.Float64() * 0.15
		w.schedule(w.randomBetween(0, 3*time.Second), func() { w.lossShare = 0 })
	case 6:
		w.lateShare = w.random.Float64() * 0.1
		w.schedule(w.randomBetween(0, 4*time.Second), func() { w.lateShare = 0 })
	case 7:
		f.exceedTolerance(f.killAll)
	case 8:
		f.exceedTolerance([]func(func()){f.split, f.killSeveral, f.wipeBesideLaggingMinority}[w.random.IntN(3)])
	case 9:
		f.impairDisk()
	case 10:
		f.freezeDispatcher()
	case 11:
		w.lostOrderShare = w.random.Float64() * 0.5
		w.schedule(w.randomBetween(0, 4*time.Second), func() { w.lostOrderShare = 0 })
	case 12:
		f.transferLeadership()
	case 13:
		f.stepWallClock()
	case 14, 15:
		f.wipeOne()
	case 17:
		f.terminateOne()
	case 18:
		f.replaceOne()
	case 16:
		w.freezeChance = 0.002 * w.random.Float64()
		w.schedule(w.randomBetween(0, 3*time.Second), func() { w.freezeChance = 0 })
	}
}

// killOne kills a machine, or takes its power, for a while.
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

// wipeOne lets a machine lose its disk, once the last one that did has caught up.
func (f *faultInjector) wipeOne() {
	if f.w.now < f.nextDiskLossAt {
		return
	}
	if l := f.pickVictim(); l != nil {
		f.wipe(l)
	}
}

func (f *faultInjector) wipe(l *lostNode) {
	f.nextDiskLossAt = 1 << 62
	l.node.wipeDisk()
	f.w.schedule(f.w.randomBetween(50*time.Millisecond, 2*time.Second), func() {
		l.node.boot()
		f.restored(l)
		f.awaitRepair(l.node)
	})
}

// terminateOne ends a process in order; it starts again.
func (f *faultInjector) terminateOne() {
	l := f.pickVictim()
	if l == nil || !l.node.up {
		if l != nil {
			f.restored(l)
		}
		return
	}
	life := l.node.incarnation
	f.w.schedule(6*time.Second, func() { // the platform's kill
		if l.node.up && l.node.incarnation == life {
			l.node.kill(false)
			l.node.boot()
			f.restored(l)
		}
	})
	l.node.terminate(func() {
		f.w.schedule(f.w.randomBetween(50*time.Millisecond, time.Second), func() {
			if l.node.incarnation == life {
				l.node.boot()
				f.restored(l)
			}
		})
	})
}

// replaceOne takes a machine away for good; an empty one comes at another address, before it
// or soon after.
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
		w.schedule(time.Second, func() {
			if !old.up {
				remove()
				return
			}
			old.removed = true // whoever kills it now, it does not come back
			old.terminate(remove)
			for wait := range 60 {
				w.schedule(time.Duration(wait)*100*time.Millisecond, func() {
					if !old.up {
						remove()
					}
				})
			}
			w.schedule(6*time.Second, func() {
				if old.up {
					old.kill(true)
				}
				remove()
			})
		})
		return
	}
	old.kill(true)
	remove()
	w.schedule(w.randomBetween(500*time.Millisecond, 1500*time.Millisecond), arrived)
}

// awaitRepair lets the next disk be lost once this machine has had its time without other
// troubles: exactly then, since nothing more is promised to it.
func (f *faultInjector) awaitRepair(c *controlNode) {
	began := f.w.now
	var look func()
	look = func() {
		if f.leadershipMovedAt > began || f.tolerableSince == 0 || !c.up || c.frozen > 0 || f.countLost() > 1 || f.w.lossShare+f.w.lateShare+f.w.freezeChance > 0 || len(f.w.partitioned) > 0 || f.anyDiskImpaired() {
			began = f.w.now
		}
		if f.w.now >= began+f.w.deployment.catchUp {
			f.w.checkRepaired(c)
			f.nextDiskLossAt = f.w.now
			return
		}
		f.w.schedule(50*time.Millisecond, look)
	}
	look()
}

func (f *faultInjector) anyDiskImpaired() bool {
	return slices.ContainsFunc(f.w.nodes, func(c *controlNode) bool { return c.diskStalledUntil > f.w.now || c.diskSlowdown > 1 || c.disk.Full })
}

// partitionOne cuts a machine off from the others of the core, both ways or one way.
func (f *faultInjector) partitionOne() {
	l := f.pickVictim()
	if l == nil {
		return
	}
	w := f.w
	way := w.random.IntN(3)
	edgesToo := w.random.IntN(2) == 0
	w.tracef("%s is cut off, way %d, from edges too: %v", l.node.name, way, edgesToo)
	for name := range w.processes {
		other := w.processes[name]
		if name == l.node.name || !edgesToo && w.nodeNamed(other.name) == nil {
			continue
		}
		if way != 1 {
			w.partitioned[[2]string{l.node.name, name}] = true
		}
		if way != 2 {
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

func (f *faultInjector) freezeOne() {
	if l := f.pickVictim(); l != nil {
		span := f.w.randomBetween(50*time.Millisecond, 8*time.Second)
		f.w.freeze(l.node.process, span)
		f.w.schedule(span, func() { f.restored(l) })
	}
}

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

// exceedTolerance does something that goes beyond the tolerance; service may rest meanwhile.
func (f *faultInjector) exceedTolerance(do func(over func())) {
	if f.tolerableSince == 0 || f.w.now < f.tolerableSince {
		return
	}
	f.tolerableSince = 0
	do(func() { f.tolerableSince = f.w.now })
}

// killAll kills all core processes at one moment, or takes all power.
func (f *faultInjector) killAll(over func()) {
	w := f.w
	power := w.random.IntN(2) == 0
	w.tracef("all of the core is killed, power %v", power)
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
				over()
			}
		})
	}
	if waiting == 0 {
		over()
	}
}

// killSeveral lets machines be lost that overlap beyond the tolerance, their disks excepted.
func (f *faultInjector) killSeveral(over func()) {
	w := f.w
	waiting := 1
	done := func() {
		if waiting--; waiting == 0 {
			over()
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

// wipeBesideLaggingMinority lets a minority miss changes; then one of the others loses its disk while the rest
// are dark, and the cut heals: only the minority and an empty disk are there for a while.
func (f *faultInjector) wipeBesideLaggingMinority(over func()) {
	w := f.w
	if w.now < f.nextDiskLossAt || f.countLost() > 0 || len(w.nodes) > 2*w.deployment.toleratedLosses+1 {
		over()
		return
	}
	order := w.random.Perm(len(w.nodes))
	minority, wiped, dark := w.nodes[order[0]], w.nodes[order[1]], order[2:]
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
			over()
			return
		}
		wiped.wipeDisk()
		for _, at := range dark {
			w.nodes[at].kill(true)
		}
		clear(w.partitioned)
		w.schedule(w.randomBetween(50*time.Millisecond, 500*time.Millisecond), wiped.boot)
		w.schedule(w.randomBetween(time.Second, 4*time.Second), func() {
			for _, at := range dark {
				w.nodes[at].boot()
			}
			over()
			f.awaitRepair(wiped)
		})
	})
}

// split cuts the core into two halves for some seconds; all others reach both.
func (f *faultInjector) split(over func()) {
	w := f.w
	w.tracef("the core is cut into halves")
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
		over()
	})
}

// impairDisk makes a disk slow, hang, or refuse writes for a while.
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
	w.tracef("the disk of %s is in trouble for %v", c.name, span)
	w.schedule(span, func() {
		c.diskSlowdown, c.diskStalledUntil, c.disk.Full = 1, 0, false
		f.restored(l)
	})
}

// transferLeadership lets a process give its leads away, as one that is told to end does.
func (f *faultInjector) transferLeadership() {
	c := f.w.nodes[f.w.random.IntN(len(f.w.nodes))]
	if !c.up {
		return
	}
	f.leadershipMovedAt = f.w.now // no process does so unless it ends
	f.w.tracef("%s hands its leads over", c.name)
	c.after(0, func() {
		for _, name := range c.names {
			c.groups[name].step(c.groups[name].engine.TransferLeadership)
		}
	})
}

// stepWallClock lets the time of day jump somewhere.
func (f *faultInjector) stepWallClock() {
	c := f.w.nodes[f.w.random.IntN(len(f.w.nodes))]
	c.wallStep = f.w.randomBetween(-5*time.Second, 5*time.Second)
	f.w.schedule(f.w.randomBetween(0, 5*time.Second), func() { c.wallStep = 0 })
}

// heal ends all troubles.
func (f *faultInjector) heal() {
	w := f.w
	if !f.healed {
		w.tracef("all is well again")
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
