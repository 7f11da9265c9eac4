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

// Times and numbers of a day.
const (
	faultTime   = 22 * time.Second
	maxFaults   = 30
	settleSlack = 3 * time.Second
)

// play plays the day of a seed.
func play(t testing.TB, seed uint64, planted plantedFault, tracing bool) {
	w := newWorld(t, seed, deployments[seed%uint64(len(deployments))])
	w.planted, w.tracing = planted, tracing
	w.playDay()
}

// playDay plays the day of a new world: the first start, load and faults, then neither, and all
// checks.
func (w *world) playDay() {
	f := &faultInjector{w: w, nextDiskLossAt: w.now + 10*time.Second, tolerableSince: w.now + 4*time.Second}
	w.firstStart(f)
	for client := range 2 {
		w.schedule(w.randomBetween(0, 2*time.Second), func() { w.runOperator(client, 14) })
	}
	w.schedule(time.Second, func() { w.runClient(26) })
	for range w.random.IntN(maxFaults) {
		w.schedule(w.randomBetween(2*time.Second, faultTime), f.injectOne)
	}
	w.run(faultTime)
	w.injectFinalFault(f)
	f.heal()
	w.noNewLoad = true
	w.awaitSettled()
	w.checkSettled()
	w.checkHistories()
}

// firstStart starts all processes within 0.3 s of one another; now and then a node dies at once.
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

// TestManySeeds plays defaultSeeds seeds, or as many as BASALTLOFT_SEEDS says, on all processors;
// BASALTLOFT_FIRST is the first. BASALTLOFT_SEED plays one seed alone, with its trace.
func TestManySeeds(t *testing.T) {
	if seed, ok := envNumber("BASALTLOFT_SEED"); ok {
		play(t, seed, noFault, true)
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
				playGuarded(t, first+seed)
			}
		})
	}
}

// envNumber returns the number in an environment variable; false: there is none.
func envNumber(variable string) (uint64, bool) {
	value, err := strconv.ParseUint(os.Getenv(variable), 10, 64)
	return value, err == nil
}

// playGuarded plays a seed, and names it where the play panics.
func playGuarded(t *testing.T, seed uint64) {
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: %v\n%s", seed, r, debug.Stack())
		}
	}()
	play(t, seed, noFault, false)
}
