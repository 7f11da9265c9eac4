package simworld_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// The tests of this file inject, one by one, the five failures of docs/control-safety.md. Each test
// runs its script under load on some seeds, with the same checks as in every run.

// script injects a scenario's faults into a world that serves.
type script func(w *world, f *faultInjector)

// runScenario runs a script on a deployment. The script is called once all nodes serve, and the world
// runs for the span after it.
func runScenario(t testing.TB, seed uint64, on deployment, span time.Duration, inject script) {
	t.Helper()
	runFaultyScenario(t, seed, on, noFault, span, inject)
}

// runFaultyScenario runs a script with a planted fault.
func runFaultyScenario(t testing.TB, seed uint64, on deployment, planted plantedFault, span time.Duration, inject script) {
	t.Helper()
	w := newWorld(t, seed, on)
	w.planted = planted
	_, w.tracing = envNumber("BASALTLOFT_TRACE")
	f := &faultInjector{w: w, nextDiskLossAt: w.now, tolerableSince: w.now}
	for _, c := range w.nodes {
		w.schedule(w.randomBetween(0, 300*time.Millisecond), c.boot)
	}
	for _, d := range w.dispatchers {
		w.schedule(0, d.boot)
	}
	for client := range 2 {
		w.schedule(w.randomBetween(0, 2*time.Second), func() { w.runOperator(client, 1+int(span/time.Second)) })
	}
	w.schedule(time.Second, func() { w.runClient(int(3 * span / time.Second)) })
	w.run(startupTime + time.Duration(on.nodes-on.seeds)*startupTime/2)
	inject(w, f)
	w.run(span)
	f.heal()
	w.noNewLoad = true
	w.awaitSettled()
	w.checkSettled()
	w.checkHistories()
}

// startupTime is how long three nodes take from their first start until they serve; more nodes take
// longer.
const startupTime = 4 * time.Second

// deploymentOf returns one of the first count deployments.
func deploymentOf(seed uint64, count int) deployment { return deployments[seed%uint64(count)] }

// runCases runs a subtest for each case, each on its own seeds.
func runCases(t *testing.T, seeds uint64, names []string, run func(t *testing.T, at int, seed uint64)) {
	t.Helper()
	const firstSeed, seedsApart = 2_000_000, 1000
	for at, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				run(t, at, firstSeed+uint64(at)*seedsApart+seed)
			}
		})
	}
}

// leaderOf returns the node that holds a group's lease, or the first node if none does.
func (w *world) leaderOf(group string) *controlNode {
	for _, c := range w.nodes {
		if g := c.groups[group]; c.up && g != nil && g.lease.Until > c.clock() {
			return c
		}
	}
	return w.nodes[0]
}

// partition blocks messages between a node and the other nodes, inbound, outbound or both, and between
// it and the dispatchers if dispatchersToo is set.
func (w *world) partition(c *controlNode, in, out, dispatchersToo bool) {
	for name := range w.processes {
		if name == c.name || !dispatchersToo && w.nodeNamed(name) == nil {
			continue
		}
		w.partitioned[[2]string{c.name, name}] = out
		w.partitioned[[2]string{name, c.name}] = in
	}
}

// TestCutOffForTwentySeconds tests failure 1: a node is partitioned from the others while operators and
// clients still reach it. It must neither return an old configuration nor reject or confirm changes.
func TestCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	const inboundOnly, outboundOnly, fromDispatchers, frozen = 1, 2, 3, 4 // cases
	names := []string{"both ways", "inbound only", "outbound only", "from dispatchers too", "and frozen within"}
	runCases(t, 6, names, func(t *testing.T, at int, seed uint64) {
		runScenario(t, seed, deploymentOf(seed, 4), 26*time.Second, func(w *world, _ *faultInjector) {
			c := w.leaderOf(protocol.ConfigGroup)
			w.partition(c, at != outboundOnly, at != inboundOnly, at == fromDispatchers)
			if at == frozen {
				w.schedule(time.Second, func() { w.freeze(c.process, 9*time.Second) })
			}
			w.schedule(20*time.Second, func() { clear(w.partitioned) })
		})
	})
}

// TestFrozenBetweenCheckAndAnswer tests failure 1: processes freeze repeatedly in the middle of a
// function, for up to several times the duration of a lease.
func TestFrozenBetweenCheckAndAnswer(t *testing.T) {
	t.Parallel()
	chances := []float64{0.02, 0.002}
	runCases(t, 12, []string{"often", "now and then"}, func(t *testing.T, at int, seed uint64) {
		runScenario(t, seed, deploymentOf(seed, 4), 16*time.Second, func(w *world, _ *faultInjector) {
			w.freezeChance = chances[at]
		})
	})
}

// TestTwoOperatorsOneNumber tests failure 2: four operators send changes with the same numbers based on
// the same versions. Acknowledgements are lost, changes are sent again much later, and meanwhile
// leaders change, disks are lost and snapshots are restored.
func TestTwoOperatorsOneNumber(t *testing.T) {
	t.Parallel()
	disturb := []script{
		func(*world, *faultInjector) {},
		func(w *world, f *faultInjector) {
			f.transferLeadership()
			w.freeze(w.leaderOf(protocol.ConfigGroup).process, time.Second)
		},
		func(_ *world, f *faultInjector) { f.wipeOne() },
		func(_ *world, f *faultInjector) { f.killAll() },
	}
	names := []string{"nothing else", "leaders change", "disks are lost", "all restart"}
	runCases(t, 8, names, func(t *testing.T, at int, seed uint64) {
		runScenario(t, seed, deploymentOf(seed, 4), 20*time.Second, func(w *world, f *faultInjector) {
			w.lossShare = 0.05
			for client := range 2 {
				w.runOperator(2+client, 30)
			}
			for round := range 3 {
				w.schedule(time.Duration(1+6*round)*time.Second, func() { disturb[at](w, f) })
			}
		})
	})
}

// repairCase is what happens while a node that lost its disk, or replaced another, is repaired.
type repairCase int

// The cases of TestLossesAroundARepair, in the order of their names there.
const (
	wipedAgain repairCase = iota
	othersLosePower
	leaderDies
	leaderTransfers
	cutOffAgain
	replacedInstead
	allReplaced
)

// TestLossesAroundARepair tests failure 3: a node loses its disk or is replaced, and at each step of its
// repair another fault occurs: it loses its disk again, the others lose power, the leader dies or
// transfers its leaderships, or the node is partitioned. Then, as soon as the catch-up time for the
// repair is over, the next disk is lost while all others lose power.
func TestLossesAroundARepair(t *testing.T) {
	t.Parallel()
	const points = 14 // in time
	names := []string{"wiped again", "others lose power", "leader dies", "leader transfers", "cut off again", "replaced instead", "all replaced in turn"}
	runCases(t, points, names, func(t *testing.T, at int, seed uint64) {
		point := time.Duration(seed%points) * 130 * time.Millisecond
		runScenario(t, seed, deploymentOf(seed, 3), 20*time.Second, func(w *world, f *faultInjector) {
			c := w.nodes[w.random.IntN(len(w.nodes))]
			w.beginRepair(f, c, repairCase(at))
			w.schedule(600*time.Millisecond+point, func() { w.disturbRepair(f, c, repairCase(at)) })
			w.schedule(8*time.Second, func() { w.loseNextDisk(f) })
		})
	})
}

// beginRepair wipes a node, or replaces a random one.
func (w *world) beginRepair(f *faultInjector, c *controlNode, disturbance repairCase) {
	switch disturbance {
	case replacedInstead:
		f.replaceOne()
	case allReplaced:
		f.replaceOne()
		w.schedule(w.deployment.catchUp+2*time.Second, func() { f.nodeReplaced = false; f.replaceOne() })
	default:
		l := &lostNode{node: c}
		f.lost = append(f.lost, l)
		f.wipe(l)
	}
}

// disturbRepair injects a fault in the middle of a node's repair.
func (w *world) disturbRepair(f *faultInjector, c *controlNode, disturbance repairCase) {
	const downTime = 700 * time.Millisecond
	restart := func(c *controlNode, power bool) {
		if !c.up {
			return
		}
		c.kill(power)
		w.schedule(downTime, c.boot)
	}
	switch disturbance {
	case wipedAgain:
		if c.up {
			c.wipeDisk()
			w.schedule(downTime, c.boot)
		}
	case othersLosePower:
		for _, other := range w.nodes {
			if other != c {
				restart(other, true)
			}
		}
	case leaderDies:
		restart(w.leaderOf(protocol.ConfigGroup), false)
	case leaderTransfers:
		f.transferLeadership()
	case cutOffAgain:
		w.partition(c, true, true, true)
		w.schedule(downTime, func() { clear(w.partitioned) })
	case replacedInstead, allReplaced:
	}
}

// loseNextDisk wipes the next disk as soon as the catch-up time for the last repair is over, while all
// other nodes lose power.
func (w *world) loseNextDisk(f *faultInjector) {
	if w.now < f.nextDiskLossAt {
		w.schedule(50*time.Millisecond, func() { w.loseNextDisk(f) })
		return
	}
	w.loseDisksAndPower(w.drawNodes(1), 300*time.Millisecond, func() {})
}

// TestFoundersDie tests failure 3: one of the first nodes dies at each step of the first start and
// restarts with the settings of a later start.
func TestFoundersDie(t *testing.T) {
	t.Parallel()
	const points = 20 // in time
	kill := []func(c *controlNode){
		func(c *controlNode) { c.kill(false) },
		func(c *controlNode) { c.kill(true) },
		(*controlNode).wipeDisk,
	}
	runCases(t, points, []string{"killed", "power lost", "wiped"}, func(t *testing.T, at int, seed uint64) {
		w := newWorld(t, seed, deploymentOf(seed, 4))
		f := &faultInjector{w: w, nextDiskLossAt: w.now, tolerableSince: w.now}
		for _, c := range w.nodes {
			c.boot()
		}
		for _, d := range w.dispatchers {
			d.boot()
		}
		c := w.nodes[seed%uint64(w.deployment.seeds)]
		w.schedule(time.Duration(seed%points)*15*time.Millisecond, func() {
			kill[at](c)
			c.bootstrap = false
			w.schedule(w.randomBetween(0, time.Second), c.boot)
		})
		w.runOperator(0, 5)
		w.run(6 * time.Second)
		f.heal()
		w.awaitSettled()
		w.checkSettled()
		w.checkHistories()
	})
}

// TestCatchingUp tests failure 4: a node is down while hundreds of changes and jobs are committed and the
// log is compacted to a few entries. Then it restarts, and at each step of its catching up a fault occurs.
func TestCatchingUp(t *testing.T) {
	t.Parallel()
	const points = 12 // in time
	const span = 900 * time.Millisecond
	disturb := []func(w *world, c *controlNode){
		func(*world, *controlNode) {},
		func(w *world, c *controlNode) {
			c.kill(false)
			w.schedule(span, c.boot)
		},
		func(w *world, c *controlNode) {
			c.kill(true)
			w.schedule(span, c.boot)
		},
		func(w *world, _ *controlNode) {
			for _, other := range w.nodes {
				w.freeze(other.process, time.Duration(w.random.IntN(2))*span)
			}
		},
		func(w *world, _ *controlNode) {
			w.lossShare = 0.2
			w.schedule(span, func() { w.lossShare = 0 })
		},
		func(w *world, c *controlNode) { c.diskStalledUntil = w.now + 2*span },
		func(w *world, c *controlNode) {
			c.disk.Full = true
			w.schedule(2*span, func() { c.disk.Full = false })
		},
	}
	names := []string{"undisturbed", "killed within", "power lost within", "leader changes within", "parts are lost", "disk hangs within", "disk is full within"}
	runCases(t, points, names, func(t *testing.T, at int, seed uint64) {
		point := time.Duration(seed%points) * 40 * time.Millisecond
		runScenario(t, seed, deploymentOf(seed, 4), 18*time.Second, func(w *world, _ *faultInjector) {
			for client := range 3 {
				w.runOperator(2+client, 60)
			}
			c := w.nodes[w.random.IntN(len(w.nodes))]
			c.kill(true)
			w.schedule(9*time.Second, func() {
				c.boot()
				w.schedule(point, func() { disturb[at](w, c) })
			})
		})
	})
}

// TestRepeatedCalls tests failure 5: answers are lost, late and duplicated, orders to runners are
// executed seconds later, dispatchers restart and leaders change. Each job must run once and each
// cancellation must hold, no matter which requests were sent how often.
func TestRepeatedCalls(t *testing.T) {
	t.Parallel()
	atStart := map[string]func(w *world){
		"lost":        func(w *world) { w.lossShare = 0.1 },
		"late":        func(w *world) { w.lateShare = 0.15 },
		"orders late": func(w *world) { w.lostOrderShare = 0.4 },
		"queues move": func(w *world) {
			w.lateShare = 0.05
			for client := range 3 {
				w.runOperator(2+client, 60)
			}
		},
	}
	inRound := map[string]func(w *world, f *faultInjector, round int){
		"dispatchers restart": func(_ *world, f *faultInjector, _ int) { f.freezeDispatcher() },
		"leaders change": func(w *world, f *faultInjector, round int) {
			f.transferLeadership()
			w.freeze(w.leaderOf(protocol.ShardGroup(protocol.ShardOf(twoServices[round%2]))).process, 800*time.Millisecond)
		},
	}
	names := []string{"lost", "late", "orders late", "queues move", "dispatchers restart", "leaders change"}
	runCases(t, 8, names, func(t *testing.T, at int, seed uint64) {
		runScenario(t, seed, deploymentOf(seed, 4), 20*time.Second, func(w *world, f *faultInjector) {
			w.runClient(60)
			if disturb := atStart[names[at]]; disturb != nil {
				disturb(w)
			}
			for round := range 12 {
				if disturb := inRound[names[at]]; disturb != nil {
					w.schedule(time.Duration(round)*1500*time.Millisecond, func() { disturb(w, f, round) })
				}
			}
		})
	})
}

// TestSevenReplicas injects random faults into deployments of seven nodes, of which three may be lost.
func TestSevenReplicas(t *testing.T) {
	t.Parallel()
	seven := deployments[2]
	seven.nodes, seven.toleratedLosses = 7, 3
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 3_000_000+seed, seven, 20*time.Second, func(w *world, f *faultInjector) {
				for range 24 {
					w.schedule(w.randomBetween(0, 18*time.Second), f.injectOne)
				}
			})
		})
	}
}
