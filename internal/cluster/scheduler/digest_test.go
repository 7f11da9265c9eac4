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

// digestFile has a line for each seed: seed, orders, commands, digest of both in their order.
const digestFile = "testdata/digests.txt"

// Seeds of the digests: calm days first, then days of trouble.
const (
	calmSeeds        = 100
	troubleSeeds     = 100
	firstTroubleSeed = 1000
)

// decisions records what the schedulers of a world decide; the zero value records nothing.
type decisions struct {
	trace    *digesttest.Trace
	orders   int
	commands int
}

// record also puts stops that leave together into the order in which the digests on file have them,
// for the runners too. Worlds that are not recorded take them as they come.
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

// decisionsOf plays a seed and returns what was decided.
func decisionsOf(t testing.TB, seed uint64, withText bool) decisions {
	trouble := seed >= firstTroubleSeed
	runners, rounds := 8, 40
	if trouble {
		runners, rounds = 6+int(seed%5), 50
	}
	w := newWorld(t, seed, runners)
	w.decisions.trace = digesttest.New(withText)
	play(w, rounds, trouble)
	return w.decisions
}

func digestLine(t testing.TB, seed uint64) string {
	d := decisionsOf(t, seed, false)
	return fmt.Sprintf("%d %d %d %s", seed, d.orders, d.commands, d.trace.Sum())
}

func digestSeeds() []uint64 {
	var seeds []uint64
	for seed := range uint64(calmSeeds) {
		seeds = append(seeds, seed)
	}
	for seed := range uint64(troubleSeeds) {
		seeds = append(seeds, firstTroubleSeed+seed)
	}
	return seeds
}

// TestDecisionDigests holds each decision of 200 days to those on file.
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

// TestSeedsAreRepeatable: the same seed, played again by the same process, decides the same.
func TestSeedsAreRepeatable(t *testing.T) {
	for _, seed := range []uint64{0, 1, firstTroubleSeed + 12, firstTroubleSeed + 13} {
		require.Equal(t, digestLine(t, seed), digestLine(t, seed))
	}
}
