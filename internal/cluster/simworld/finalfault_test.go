package simworld_test

import (
	"net/http"
	"slices"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// The final fault: as many disks as are tolerated are lost, and at the same moment all other machines
// lose power, including the dispatchers.

// acknowledgement is the kind of change whose durability is acknowledged to an operator or a client.
type acknowledgement int

const (
	configAcknowledged acknowledgement = iota
	jobAcknowledged
	cancellationAcknowledged
	acknowledgementKinds
)

// acknowledged is called when a process sends an acknowledgement.
func (w *world) acknowledged(kind acknowledgement) {
	if w.onAcknowledged != nil {
		w.onAcknowledged(kind)
	}
}

// jobAnswered is called when a dispatcher sends the answer to a client.
func (w *world) jobAnswered(verb jobMethod, status protocol.Status) {
	switch {
	case verb == methodPost && status == http.StatusOK:
		w.acknowledged(jobAcknowledged)
	case verb == methodDelete && (status == http.StatusOK || status == http.StatusGone):
		w.acknowledged(cancellationAcknowledged)
	}
}

// afterAcknowledgement calls a function a pause after the next acknowledgement of a kind, or after
// latest if there is none.
func (w *world) afterAcknowledgement(kind acknowledgement, pause, latest time.Duration, do func()) {
	called := false
	once := func() {
		if !called {
			called = true
			w.onAcknowledged = nil
			do()
		}
	}
	w.onAcknowledged = func(got acknowledgement) {
		if got == kind {
			w.schedule(pause, once)
		}
	}
	w.schedule(latest, once)
}

// drawNodes returns count random nodes.
func (w *world) drawNodes(count int) []*controlNode {
	var drawn []*controlNode
	for _, at := range w.random.Perm(len(w.nodes))[:count] {
		drawn = append(drawn, w.nodes[at])
	}
	return drawn
}

// loseDisksAndPower wipes the disks of nodes while all other machines lose power: the other nodes keep
// what was synced, dispatchers keep nothing. All restart within 0.6 s of one another, in one case of
// three the empty nodes first; restored is called once all are back.
func (w *world) loseDisksAndPower(wiped []*controlNode, down time.Duration, restored func()) {
	const startsApart = 300 * time.Millisecond
	lead := time.Duration(0) // by which the empty nodes restart earlier
	if w.random.IntN(3) == 0 {
		lead = startsApart
	}
	for _, c := range w.nodes {
		if slices.Contains(wiped, c) {
			c.wipeDisk()
			w.schedule(down+w.randomBetween(0, startsApart), c.boot)
			continue
		}
		c.kill(true)
		w.schedule(down+lead+w.randomBetween(0, startsApart), c.boot)
	}
	for _, d := range w.dispatchers {
		d.stop()
		w.schedule(down+w.randomBetween(0, startsApart), d.boot)
	}
	w.schedule(down+lead+startsApart+time.Millisecond, restored)
}

// mayLoseAllDisks reports whether as many disks as are tolerated may be lost now.
func (f *faultInjector) mayLoseAllDisks() bool {
	leaving := slices.ContainsFunc(f.w.nodes, func(c *controlNode) bool { return c.removed })
	return f.w.now >= f.nextDiskLossAt && f.countLost() == 0 && !leaving
}

// wipeWhilePowerFails injects the final fault in the middle of a run, possibly with fewer disks.
func (f *faultInjector) wipeWhilePowerFails(ended func()) {
	w := f.w
	if !f.mayLoseAllDisks() {
		ended()
		return
	}
	wiped := w.drawNodes(1 + w.random.IntN(w.deployment.toleratedLosses))
	f.nextDiskLossAt = 1 << 62
	w.loseDisksAndPower(wiped, w.randomBetween(50*time.Millisecond, time.Second), func() {
		ended()
		f.awaitRepair(wiped...)
	})
}

// injectFinalFault injects the final fault in about half of all runs, most often right after an
// acknowledgement.
func (w *world) injectFinalFault(f *faultInjector) {
	if w.random.IntN(2) > 0 {
		return
	}
	for w.now < f.nextDiskLossAt && w.now < f.tolerableSince+60*time.Second {
		// A repair in progress gets its catch-up time.
		f.heal()
		w.run(100 * time.Millisecond)
	}
	if !f.mayLoseAllDisks() {
		return
	}
	const longestWait = 2 * time.Second
	down := w.randomBetween(200*time.Millisecond, 2*time.Second)
	kind := acknowledgement(w.random.IntN(int(acknowledgementKinds)))
	latest := time.Duration(w.random.IntN(4)) * longestWait / 3
	restored := false
	w.afterAcknowledgement(kind, w.randomBetween(0, 5*time.Millisecond), latest, func() {
		w.loseDisksAndPower(w.drawNodes(w.deployment.toleratedLosses), down, func() { restored = true })
	})
	for !restored {
		w.run(100 * time.Millisecond)
	}
	f.heal()
	w.checkBackInService()
}

// checkBackInService checks that all groups have leaders and all dispatchers have a valid view within
// the recovery time.
func (w *world) checkBackInService() {
	const look = 100 * time.Millisecond
	end := w.now + w.deployment.recovery
	for w.outOfService() != "" {
		if w.now >= end {
			w.fail("RECOVER: %s, %v after all machines are back", w.outOfService(), w.deployment.recovery)
		}
		w.run(look)
	}
}

// outOfService returns the first thing that is not in service; empty: everything is.
func (w *world) outOfService() string {
	if len(w.nodes[0].names) == 0 {
		return w.nodes[0].name + " has not opened its log"
	}
	for _, name := range w.nodes[0].names {
		g := w.leaderOf(name).groups[name]
		if g == nil || g.lease.Until <= g.node.clock() {
			return name + " has no leader"
		}
	}
	for _, d := range w.dispatchers {
		if _, ok := d.watcher.Current(d.clock()); !ok {
			return d.name + " has no valid view"
		}
	}
	return ""
}
