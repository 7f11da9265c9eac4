package simworld_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// The tests of this file bring about, one by one, the five failures that
// docs/control-safety.md speaks of. Each plays its script with traffic on some seeds; what is
// checked is checked throughout, as in every play.

// playScenario plays a script on a deployment. The script gets control at 4 s, once all serve,
// and the world runs for the span after it.
func playScenario(t *testing.T, seed uint64, b deployment, span time.Duration, script func(w *world, f *faultInjector)) {
	t.Helper()
	w := newWorld(t, seed, b)
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
	w.run(startupTime + time.Duration(b.nodes-b.seeds)*startupTime/2)
	script(w, f)
	w.run(span)
	f.heal()
	w.noNewLoad = true
	w.awaitSettled()
	w.checkSettled()
	w.checkHistories()
}

// startupTime is when a core of three serves after its first start; larger ones take longer.
const startupTime = 4 * time.Second

// runCases runs a test for each case, on some seeds of its own.
func runCases(t *testing.T, seeds uint64, cases []string, run func(t *testing.T, at int, seed uint64)) {
	for at, name := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				run(t, at, 2_000_000+uint64(at)*1000+seed)
			}
		})
	}
}

// leaderOf returns the machine that holds a group's lease; the first one, where none does.
func (w *world) leaderOf(name string) *controlNode {
	for _, c := range w.nodes {
		if g := c.groups[name]; c.up && g != nil && g.lease.Until > c.clock() {
			return c
		}
	}
	return w.nodes[0]
}

// partition cuts a machine off from other processes.
func (w *world) partition(c *controlNode, in, out, edgesToo bool) {
	for name := range w.processes {
		if name == c.name || !edgesToo && w.nodeNamed(name) == nil {
			continue
		}
		w.partitioned[[2]string{c.name, name}] = out
		w.partitioned[[2]string{name, c.name}] = in
	}
}

// TestCutOffForTwentySeconds: failure 1. Operators and clients reach the machine that is cut
// off all the while; it must neither tell an old configuration nor refuse or confirm orders.
func TestCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	cases := []string{"both ways", "it hears nothing", "nobody hears it", "from edges too", "and frozen within"}
	runCases(t, 6, cases, func(t *testing.T, at int, seed uint64) {
		playScenario(t, seed, deployments[seed%4], 26*time.Second, func(w *world, f *faultInjector) {
			c := w.leaderOf(protocol.ConfigGroup)
			w.partition(c, at != 2, at != 1, at == 3)
			if at == 4 {
				w.schedule(time.Second, func() { w.freeze(c.process, 9*time.Second) })
			}
			w.schedule(20*time.Second, func() { clear(w.partitioned) })
		})
	})
}

// TestFrozenBetweenCheckAndAnswer: failure 1. The owner stands still in the middle of what it
// does, again and again, longer than its lease lasts.
func TestFrozenBetweenCheckAndAnswer(t *testing.T) {
	t.Parallel()
	runCases(t, 12, []string{"often", "now and then"}, func(t *testing.T, at int, seed uint64) {
		playScenario(t, seed, deployments[seed%4], 16*time.Second, func(w *world, f *faultInjector) {
			w.freezeChance = []float64{0.02, 0.002}[at]
		})
	})
}

// TestTwoOperatorsOneNumber: failure 2. Four operators choose among the same numbers on the
// same versions, most acknowledgements are lost, orders come again much later, and owners,
// disks and snapshots change meanwhile.
func TestTwoOperatorsOneNumber(t *testing.T) {
	t.Parallel()
	runCases(t, 8, []string{"nothing else", "owners change", "disks are lost", "all restart"}, func(t *testing.T, at int, seed uint64) {
		playScenario(t, seed, deployments[seed%4], 20*time.Second, func(w *world, f *faultInjector) {
			w.lossShare = 0.05
			for client := range 2 {
				w.runOperator(2+client, 30)
			}
			for round := range 3 {
				w.schedule(time.Duration(1+6*round)*time.Second, func() {
					switch at {
					case 1:
						f.transferLeadership()
						w.freeze(w.leaderOf(protocol.ConfigGroup).process, time.Second)
					case 2:
						f.wipeOne()
					case 3:
						f.exceedTolerance(f.killAll)
					}
				})
			}
		})
	})
}

// TestLossesAroundARepair: failure 3. A machine loses its disk or is replaced; at each step of
// its repair something else happens: it loses its disk once more, the others lose power, the
// leader dies or hands over, a cut. Then, as soon as the repair has had its time, the next
// disk is lost while all others lose power.
func TestLossesAroundARepair(t *testing.T) {
	t.Parallel()
	cases := []string{"wiped again", "others lose power", "leader dies", "leader hands over", "cut off again", "replaced instead", "all replaced in turn"}
	runCases(t, 14, cases, func(t *testing.T, at int, seed uint64) {
		b := deployments[seed%3]
		point := time.Duration(seed%14) * 130 * time.Millisecond
		playScenario(t, seed, b, 20*time.Second, func(w *world, f *faultInjector) {
			c := w.nodes[w.random.IntN(len(w.nodes))]
			if at == 5 || at == 6 {
				f.replaceOne()
				if at == 6 {
					w.schedule(w.deployment.catchUp+2*time.Second, func() { f.nodeReplaced = false; f.replaceOne() })
				}
			} else {
				l := &lostNode{node: c}
				f.lost = append(f.lost, l)
				f.wipe(l)
			}
			w.schedule(600*time.Millisecond+point, func() { w.disturbRepair(f, c, at) })
			w.schedule(8*time.Second, func() { w.loseNextDisk(f) })
		})
	})
}

// disturbRepair does what a case of the test above does in the middle of a repair.
func (w *world) disturbRepair(f *faultInjector, c *controlNode, at int) {
	const dark = 700 * time.Millisecond
	restart := func(c *controlNode, power bool) {
		if !c.up {
			return
		}
		c.kill(power)
		w.schedule(dark, c.boot)
	}
	switch at {
	case 0:
		if c.up {
			c.wipeDisk()
			w.schedule(dark, c.boot)
		}
	case 1:
		for _, other := range w.nodes {
			if other != c {
				restart(other, true)
			}
		}
	case 2:
		restart(w.leaderOf(protocol.ConfigGroup), false)
	case 3:
		f.transferLeadership()
	case 4:
		w.partition(c, true, true, true)
		w.schedule(dark, func() { clear(w.partitioned) })
	}
}

// loseNextDisk lets the next disk be lost as soon as the last repair has had its time, while all
// other machines lose power.
func (w *world) loseNextDisk(f *faultInjector) {
	if w.now < f.nextDiskLossAt {
		w.schedule(50*time.Millisecond, func() { w.loseNextDisk(f) })
		return
	}
	struck := w.nodes[w.random.IntN(len(w.nodes))]
	for _, c := range w.nodes {
		if c == struck {
			c.wipeDisk()
		} else {
			c.kill(true)
		}
		w.schedule(w.randomBetween(300*time.Millisecond, 600*time.Millisecond), c.boot)
	}
	for _, d := range w.dispatchers {
		d.stop()
		w.schedule(300*time.Millisecond, d.boot)
	}
}

// TestFoundersDie: failure 3. One of the founders dies at each step of the first start and
// comes back with the settings of a later one.
func TestFoundersDie(t *testing.T) {
	t.Parallel()
	runCases(t, 20, []string{"killed", "power lost", "wiped"}, func(t *testing.T, at int, seed uint64) {
		w := newWorld(t, seed, deployments[seed%4])
		f := &faultInjector{w: w, nextDiskLossAt: w.now, tolerableSince: w.now}
		for _, c := range w.nodes {
			c.boot()
		}
		for _, d := range w.dispatchers {
			d.boot()
		}
		c := w.nodes[seed%uint64(w.deployment.seeds)]
		w.schedule(time.Duration(seed%20)*15*time.Millisecond, func() {
			switch at {
			case 2:
				c.wipeDisk()
			default:
				c.kill(at == 1)
			}
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

// TestCatchingUp: failure 4. A machine is away while changes and jobs by the hundred go by
// and the log is compacted behind a few entries; then it comes back, and at each step of its
// catching up something happens.
func TestCatchingUp(t *testing.T) {
	t.Parallel()
	cases := []string{"undisturbed", "killed within", "power lost within", "leader changes within", "parts are lost", "disk hangs within", "disk is full within"}
	runCases(t, 12, cases, func(t *testing.T, at int, seed uint64) {
		point := time.Duration(seed%12) * 40 * time.Millisecond
		playScenario(t, seed, deployments[seed%4], 18*time.Second, func(w *world, f *faultInjector) {
			for client := range 3 {
				w.runOperator(2+client, 60)
			}
			c := w.nodes[w.random.IntN(len(w.nodes))]
			c.kill(true)
			w.schedule(9*time.Second, func() {
				c.boot()
				w.schedule(point, func() { w.disturbCatchUp(f, c, at) })
			})
		})
	})
}

func (w *world) disturbCatchUp(f *faultInjector, c *controlNode, at int) {
	const span = 900 * time.Millisecond
	switch at {
	case 1, 2:
		c.kill(at == 2)
		w.schedule(span, c.boot)
	case 3:
		for _, other := range w.nodes {
			w.freeze(other.process, time.Duration(w.random.IntN(2))*span)
		}
	case 4:
		w.lossShare = 0.2
		w.schedule(span, func() { w.lossShare = 0 })
	case 5:
		c.diskStalledUntil = w.now + 2*span
	case 6:
		c.disk.Full = true
		w.schedule(2*span, func() { c.disk.Full = false })
	}
}

// TestRepeatedCalls: failure 5. Answers are lost, late and doubled on all ways, orders to
// runners are carried out seconds later, dispatchers and owners change: each job runs once,
// each cancelling holds, whatever was asked how often.
func TestRepeatedCalls(t *testing.T) {
	t.Parallel()
	cases := []string{"lost", "late", "orders late", "queues move", "dispatchers restart", "owners change"}
	runCases(t, 8, cases, func(t *testing.T, at int, seed uint64) {
		playScenario(t, seed, deployments[seed%4], 20*time.Second, func(w *world, f *faultInjector) {
			w.runClient(60)
			switch at {
			case 0:
				w.lossShare = 0.1
			case 1:
				w.lateShare = 0.15
			case 2:
				w.lostOrderShare = 0.4
			case 3:
				w.lateShare = 0.05
				for client := range 3 {
					w.runOperator(2+client, 60)
				}
			}
			for round := range 12 {
				w.schedule(time.Duration(round)*1500*time.Millisecond, func() {
					switch at {
					case 4:
						f.freezeDispatcher()
					case 5:
						f.transferLeadership()
						w.freeze(w.leaderOf(protocol.ShardGroup(protocol.ShardOf(twoServices[round%2]))).process, 800*time.Millisecond)
					}
				})
			}
		})
	})
}

// TestSevenReplicas plays days on a core of seven, of which three may be lost.
func TestSevenReplicas(t *testing.T) {
	t.Parallel()
	b := deployments[2]
	b.nodes, b.toleratedLosses = 7, 3
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playScenario(t, 3_000_000+seed, b, 20*time.Second, func(w *world, f *faultInjector) {
				for range 24 {
					w.schedule(w.randomBetween(0, 18*time.Second), f.injectOne)
				}
			})
		})
	}
}
