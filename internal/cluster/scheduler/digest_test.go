package scheduler_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/jobtrace"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/digesttest"
)

// digestFile has one line per seed: the seed, the number of orders, the number of commands, and the
// digest of both in their order.
const digestFile = "testdata/digests.txt"

// Seeds of the digests: workloads without faults, then workloads with faults.
const (
	faultFreeSeeds = 100
	faultSeeds     = 100
	firstFaultSeed = 1000
)

// decisions records the output of the schedulers of a simulation. The zero value records nothing.
type decisions struct {
	trace    *digesttest.Trace
	orders   int
	commands int
}

// record records the output of a scheduler. It also sorts stop orders that are sent together into
// the order that the digests on file are based on, before the runners get them. Simulations that
// are not recorded leave their order unchanged.
func (d *decisions) record(now time.Duration, out *scheduler.Output) {
	if d.trace == nil {
		return
	}
	jobtrace.SortStops(out.Orders)
	for at := range out.Commands {
		d.trace.Begin(now, "command").Uint(out.Batch)
		jobtrace.Command(d.trace, &out.Commands[at])
		d.trace.End()
	}
	for at := range out.Orders {
		d.trace.Begin(now, "order")
		jobtrace.Order(d.trace, &out.Orders[at])
		d.trace.End()
	}
	d.commands += len(out.Commands)
	d.orders += len(out.Orders)
}

// decisionsOf runs the workload of a seed and returns the recorded decisions.
func decisionsOf(t testing.TB, seed uint64, withText bool) decisions {
	faults := seed >= firstFaultSeed
	runners, rounds := 8, 40
	if faults {
		runners, rounds = 6+int(seed%5), 50
	}
	sim := newSimulation(t, seed, runners)
	sim.decisions.trace = digesttest.New(withText)
	runWorkload(sim, rounds, faults)
	return sim.decisions
}

// digestLine returns the line of a seed in digestFile.
func digestLine(t testing.TB, seed uint64) string {
	d := decisionsOf(t, seed, false)
	return fmt.Sprintf("%d %d %d %s", seed, d.orders, d.commands, d.trace.Sum())
}

func digestSeeds() []uint64 {
	var seeds []uint64
	for seed := range uint64(faultFreeSeeds) {
		seeds = append(seeds, seed)
	}
	for seed := range uint64(faultSeeds) {
		seeds = append(seeds, firstFaultSeed+seed)
	}
	return seeds
}

// TestDecisionDigests compares the decisions of 200 workloads with the digests on file.
func TestDecisionDigests(t *testing.T) {
	if wanted, ok := digesttest.Traced(); ok {
		seed, err := strconv.ParseUint(wanted, 10, 64)
		require.NoError(t, err)
		d := decisionsOf(t, seed, true)
		fmt.Print(d.trace.Text())
		return
	}
	var lines []string
	for _, seed := range digesttest.SampleUnderRace(digestSeeds()) {
		lines = append(lines, digestLine(t, seed))
	}
	digesttest.Compare(t, digestFile, lines)
}

// TestSeedsAreRepeatable checks that the same seed leads to the same decisions if it is run again
// in the same process.
func TestSeedsAreRepeatable(t *testing.T) {
	for _, seed := range []uint64{0, 1, firstFaultSeed + 12, firstFaultSeed + 13} {
		require.Equal(t, digestLine(t, seed), digestLine(t, seed))
	}
}
