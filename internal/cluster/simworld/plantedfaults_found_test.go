package simworld_test

import (
	"testing"

	"basaltloft/internal/shared/failuretest"
)

// plantedFaults has, for each planted fault, a name, the number of seeds within which a check finds
// it, and the function that runs a seed.
var plantedFaults = map[plantedFault]struct {
	name    string
	seeds   uint64
	runSeed func(t testing.TB, seed uint64, planted plantedFault, tracing bool)
}{
	leaseKept:            {"a lease is relied on after its end", 20, runSeed},
	sentBeforeWithdrawal: {"a message gives up a lease that is still relied on", 100, runSeed},
	matchedByNumberOnly:  {"a change is recognized by its number alone", 20, runSeed},
	digestsLost:          {"a snapshot loses which changes were accepted", 100, runSeed},
	oldIDKept:            {"a node that lost its disk keeps its old ID", 150, runSeed},
	olderState:           {"an older state at a snapshot's newer index", 150, runSeed},
	acknowledgeUnsynced:  {"an acknowledgement without a sync", 20, runSeed},
	refusedAfterUnknown:  {"a refusal after an attempt without an answer is passed on", 400, runSeed},
	cancelNotRecorded:    {"the cancellation of an unknown job is not recorded", 100, runSeed},
	queueNotSealed:       {"a former shard does not seal the queue for an unknown ID", 100, runSeed},
	holdTimeOverstated:   {"a watch response overstates its hold time", 200, runSeed},
	foundsAlone:          {"empty nodes that find no others form all groups again", 60, runTwoDisksLost},
}

// TestPlantedMistakesAreFound plants one fault at a time and requires that a check finds it within
// its number of seeds.
func TestPlantedMistakesAreFound(t *testing.T) {
	for planted := noFault + 1; planted < plantedFaultCount; planted++ {
		wanted := plantedFaults[planted]
		t.Run(wanted.name, func(t *testing.T) {
			t.Parallel()
			for seed := range wanted.seeds {
				found := failuretest.CatchFatal(t, func(t testing.TB) { wanted.runSeed(t, 1_000_000+seed, planted, false) })
				if found != "" {
					t.Logf("after %d seeds: %.300s", seed+1, found)
					return
				}
			}
			t.Fatalf("no check found it in %d seeds", wanted.seeds)
		})
	}
}
