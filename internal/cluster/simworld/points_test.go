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

// scenario plays a script on a deployment. The script gets control at 4 s, once all serve,
// and the world runs for the span after it.
func scenario(t *testing.T, seed uint64, b bounds, span time.Duration, script func(w *world, f *troubles)) {
	t.Helper()
	w := newWorld(t, seed, b)
	_, w.tracing = number("BASALTLOFT_TRACE")
	f := &troubles{w: w, diskAt: w.now, calmAt: w.now}
	for _, c := range w.cores {
		w.later(w.between(0, 300*time.Millisecond), c.boot)
	}
	for _, e := range w.edges {
		w.later(0, e.boot)
	}
	for client := range 2 {
		w.later(w.between(0, 2*time.Second), func() { w.operator(client, 1+int(span/time.Second)) })
	}
	w.later(time.Second, func() { w.client(int(3 * span / time.Second)) })
	w.run(growTime + time.Duration(b.cores-b.seeds)*growTime/2)
	script(w, f)
	w.run(span)
	f.heal()
	w.calm = true
	w.settle()
	w.checkSettled()
	w.checkHistories()
}

// growTime is when a core of three serves after its first start; larger ones take longer.
const growTime = 4 * time.Second

// each runs a test for each case, on some seeds of its own.
func each(t *testing.T, seeds uint64, cases []string, run func(t *testing.T, at int, seed uint64)) {
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
func (w *world) leaderOf(name string) *core {
	for _, c := range w.cores {
		if g := c.groups[name]; c.up && g != nil && g.lease.Until > c.clock() {
			return c
		}
	}
	return w.cores[0]
}

// cutOff cuts a machine off from other processes.
func (w *world) cutOff(c *core, in, out, edgesToo bool) {
	for name := range w.processes {
		if name == c.name || !edgesToo && w.coreNamed(name) == nil {
			continue
		}
		w.cut[[2]string{c.name, name}] = out
		w.cut[[2]string{name, c.name}] = in
	}
}

// TestCutOffForTwentySeconds: failure 1. Operators and clients reach the machine that is cut
// off all the while; it must neither tell an old configuration nor refuse or confirm orders.
func TestCutOffForTwentySeconds(t *testing.T) {
	t.Parallel()
	cases := []string{"both ways", "it hears nothing", "nobody hears it", "from edges too", "and frozen within"}
	each(t, 6, cases, func(t *testing.T, at int, seed uint64) {
		scenario(t, seed, deployments[seed%4], 26*time.Second, func(w *world, f *troubles) {
			c := w.leaderOf(protocol.ConfigGroup)
			w.cutOff(c, at != 2, at != 1, at == 3)
			if at == 4 {
				w.later(time.Second, func() { w.freeze(c.process, 9*time.Second) })
			}
			w.later(20*time.Second, func() { clear(w.cut) })
		})
	})
}

// TestFrozenBetweenCheckAndAnswer: failure 1. The owner stands still in the middle of what it
// does, again and again, longer than its lease lasts.
func TestFrozenBetweenCheckAndAnswer(t *testing.T) {
	t.Parallel()
	each(t, 12, []string{"often", "now and then"}, func(t *testing.T, at int, seed uint64) {
		scenario(t, seed, deployments[seed%4], 16*time.Second, func(w *world, f *troubles) {
			w.freezing = []float64{0.02, 0.002}[at]
		})
	})
}

// TestTwoOperatorsOneNumber: failure 2. Four operators choose among the same numbers on the
// same versions, most acknowledgements are lost, orders come again much later, and owners,
// disks and snapshots change meanwhile.
func TestTwoOperatorsOneNumber(t *testing.T) {
	t.Parallel()
	each(t, 8, []string{"nothing else", "owners change", "disks are lost", "all restart"}, func(t *testing.T, at int, seed uint64) {
		scenario(t, seed, deployments[seed%4], 20*time.Second, func(w *world, f *troubles) {
			w.loss = 0.05
			for client := range 2 {
				w.operator(2+client, 30)
			}
			for round := range 3 {
				w.later(time.Duration(1+6*round)*time.Second, func() {
					switch at {
					case 1:
						f.handOver()
						w.freeze(w.leaderOf(protocol.ConfigGroup).process, time.Second)
					case 2:
						f.wipeOne()
					case 3:
						f.beyond(f.killAll)
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
	each(t, 14, cases, func(t *testing.T, at int, seed uint64) {
		b := deployments[seed%3]
		point := time.Duration(seed%14) * 130 * time.Millisecond
		scenario(t, seed, b, 20*time.Second, func(w *world, f *troubles) {
			c := w.cores[w.random.IntN(len(w.cores))]
			if at == 5 || at == 6 {
				f.replaceOne()
				if at == 6 {
					w.later(w.bounds.catchUp+2*time.Second, func() { f.replaced = false; f.replaceOne() })
				}
			} else {
				l := &lost{core: c}
				f.lost = append(f.lost, l)
				f.wipe(l)
			}
			w.later(600*time.Millisecond+point, func() { w.during(f, c, at) })
			w.later(8*time.Second, func() { w.nextDisk(f) })
		})
	})
}

// during does what a case of the test above does in the middle of a repair.
func (w *world) during(f *troubles, c *core, at int) {
	const dark = 700 * time.Millisecond
	restart := func(c *core, power bool) {
		if !c.up {
			return
		}
		c.kill(power)
		w.later(dark, c.boot)
	}
	switch at {
	case 0:
		if c.up {
			c.wipe()
			w.later(dark, c.boot)
		}
	case 1:
		for _, other := range w.cores {
			if other != c {
				restart(other, true)
			}
		}
	case 2:
		restart(w.leaderOf(protocol.ConfigGroup), false)
	case 3:
		f.handOver()
	case 4:
		w.cutOff(c, true, true, true)
		w.later(dark, func() { clear(w.cut) })
	}
}

// nextDisk lets the next disk be lost as soon as the last repair has had its time, while all
// other machines lose power.
func (w *world) nextDisk(f *troubles) {
	if w.now < f.diskAt {
		w.later(50*time.Millisecond, func() { w.nextDisk(f) })
		return
	}
	struck := w.cores[w.random.IntN(len(w.cores))]
	for _, c := range w.cores {
		if c == struck {
			c.wipe()
		} else {
			c.kill(true)
		}
		w.later(w.between(300*time.Millisecond, 600*time.Millisecond), c.boot)
	}
	for _, e := range w.edges {
		e.end()
		w.later(300*time.Millisecond, e.boot)
	}
}

// TestFoundersDie: failure 3. One of the founders dies at each step of the first start and
// comes back with the settings of a later one.
func TestFoundersDie(t *testing.T) {
	t.Parallel()
	each(t, 20, []string{"killed", "power lost", "wiped"}, func(t *testing.T, at int, seed uint64) {
		w := newWorld(t, seed, deployments[seed%4])
		f := &troubles{w: w, diskAt: w.now, calmAt: w.now}
		for _, c := range w.cores {
			c.boot()
		}
		for _, e := range w.edges {
			e.boot()
		}
		c := w.cores[seed%uint64(w.bounds.seeds)]
		w.later(time.Duration(seed%20)*15*time.Millisecond, func() {
			switch at {
			case 2:
				c.wipe()
			default:
				c.kill(at == 1)
			}
			c.bootstrap = false
			w.later(w.between(0, time.Second), c.boot)
		})
		w.operator(0, 5)
		w.run(6 * time.Second)
		f.heal()
		w.settle()
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
	each(t, 12, cases, func(t *testing.T, at int, seed uint64) {
		point := time.Duration(seed%12) * 40 * time.Millisecond
		scenario(t, seed, deployments[seed%4], 18*time.Second, func(w *world, f *troubles) {
			for client := range 3 {
				w.operator(2+client, 60)
			}
			c := w.cores[w.random.IntN(len(w.cores))]
			c.kill(true)
			w.later(9*time.Second, func() {
				c.boot()
				w.later(point, func() { w.whileCatchingUp(f, c, at) })
			})
		})
	})
}

func (w *world) whileCatchingUp(f *troubles, c *core, at int) {
	const span = 900 * time.Millisecond
	switch at {
	case 1, 2:
		c.kill(at == 2)
		w.later(span, c.boot)
	case 3:
		for _, other := range w.cores {
			w.freeze(other.process, time.Duration(w.random.IntN(2))*span)
		}
	case 4:
		w.loss = 0.2
		w.later(span, func() { w.loss = 0 })
	case 5:
		c.stalled = w.now + 2*span
	case 6:
		c.disk.Full = true
		w.later(2*span, func() { c.disk.Full = false })
	}
}

// TestRepeatedCalls: failure 5. Answers are lost, late and doubled on all ways, orders to
// runners are carried out seconds later, dispatchers and owners change: each job runs once,
// each cancelling holds, whatever was asked how often.
func TestRepeatedCalls(t *testing.T) {
	t.Parallel()
	cases := []string{"lost", "late", "orders late", "queues move", "dispatchers restart", "owners change"}
	each(t, 8, cases, func(t *testing.T, at int, seed uint64) {
		scenario(t, seed, deployments[seed%4], 20*time.Second, func(w *world, f *troubles) {
			w.client(60)
			switch at {
			case 0:
				w.loss = 0.1
			case 1:
				w.late = 0.15
			case 2:
				w.lostLate = 0.4
			case 3:
				w.late = 0.05
				for client := range 3 {
					w.operator(2+client, 60)
				}
			}
			for round := range 12 {
				w.later(time.Duration(round)*1500*time.Millisecond, func() {
					switch at {
					case 4:
						f.freezeEdge()
					case 5:
						f.handOver()
						w.freeze(w.leaderOf(protocol.ShardGroup(protocol.ShardOf(services[round%2]))).process, 800*time.Millisecond)
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
	b.cores, b.tolerated = 7, 3
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario(t, 3_000_000+seed, b, 20*time.Second, func(w *world, f *troubles) {
				for range 24 {
					w.later(w.between(0, 18*time.Second), f.one)
				}
			})
		})
	}
}
