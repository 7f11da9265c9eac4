package simworld_test

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// Times and numbers of a random scenario.
const (
	faultTime   = 22 * time.Second
	maxFaults   = 30
	settleSlack = 3 * time.Second
)

// seedRunner runs a scenario of a seed.
type seedRunner func(t testing.TB, seed uint64, planted plantedFault, tracing bool)

// runSeed runs the random scenario of a seed.
func runSeed(t testing.TB, seed uint64, planted plantedFault, tracing bool) {
	w := newWorld(t, seed, deployments[seed%uint64(len(deployments))])
	w.planted, w.tracing = planted, tracing
	w.runRandomScenario()
}

// runRandomScenario runs a new world: first the start, then load with random faults, then neither, and
// at the end all checks. Each of more schedules further faults.
func (w *world) runRandomScenario(more ...func(*faultInjector)) {
	f := &faultInjector{w: w, nextDiskLossAt: w.now + 10*time.Second, tolerableSince: w.now + 4*time.Second}
	w.firstStart(f)
	for client := range 2 {
		w.schedule(w.randomBetween(0, 2*time.Second), func() { w.runOperator(client, 14) })
	}
	w.schedule(time.Second, func() { w.runClient(26) })
	for range w.random.IntN(maxFaults) {
		w.schedule(w.randomBetween(2*time.Second, faultTime), f.injectOne)
	}
	for _, schedule := range more {
		schedule(f)
	}
	w.run(faultTime)
	w.injectFinalFault(f)
	f.heal()
	w.noNewLoad = true
	w.awaitSettled()
	w.checkSettled()
	w.checkHistories()
}

// firstStart starts all processes within 0.3 s of one another; in one case of four a node dies during
// its start.
func (w *world) firstStart(f *faultInjector) {
	for _, c := range w.nodes {
		w.schedule(w.randomBetween(0, 300*time.Millisecond), c.boot)
	}
	for _, d := range w.dispatchers {
		w.schedule(w.randomBetween(0, 300*time.Millisecond), d.boot)
	}
	if w.random.IntN(4) > 0 {
		return
	}
	c := w.nodes[w.random.IntN(w.deployment.seeds)]
	f.tolerableSince = w.now + 8*time.Second
	w.schedule(w.randomBetween(0, 700*time.Millisecond), func() {
		if !c.up {
			return
		}
		c.kill(w.random.IntN(2) == 0)
		c.bootstrap = false // as in the settings of later starts
		w.schedule(w.randomBetween(50*time.Millisecond, time.Second), c.boot)
	})
}

// TestManySeeds runs defaultSeeds seeds, or as many as BASALTLOFT_SEEDS sets, on all processors;
// BASALTLOFT_FIRST is the first one. With BASALTLOFT_SEED it runs that seed only, with its trace.
func TestManySeeds(t *testing.T) {
	runManySeeds(t, runSeed)
}

// runManySeeds runs the seeds that the environment names, as TestManySeeds describes.
func runManySeeds(t *testing.T, run seedRunner) {
	t.Helper()
	if seed, ok := envNumber("BASALTLOFT_SEED"); ok {
		run(t, seed, noFault, true)
		return
	}
	seeds, ok := envNumber("BASALTLOFT_SEEDS")
	if !ok {
		seeds = defaultSeeds
	}
	first, _ := envNumber("BASALTLOFT_FIRST")
	var next atomic.Uint64
	for part := range runtime.GOMAXPROCS(0) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for {
				seed := next.Add(1) - 1
				if seed >= seeds {
					return
				}
				runSeedGuarded(t, run, first+seed)
			}
		})
	}
}

// envNumber returns the number in an environment variable, or false if there is none.
func envNumber(variable string) (uint64, bool) {
	value, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	return value, err == nil
}

// runSeedGuarded runs a seed, and names the seed if the run panics.
func runSeedGuarded(t *testing.T, run seedRunner, seed uint64) {
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: %v\n%s", seed, r, debug.Stack())
		}
	}()
	run(t, seed, noFault, false)
}
